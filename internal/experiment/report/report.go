// Package report turns the records of experiments into figures, as text, JSON
// and a page.
package report

import (
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/experiment/load"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/experiment/site"
)

// Report is the result of an experiment.
type Report struct {
	Experiment string  `json:"experiment"`
	Command    string  `json:"command"`
	Purpose    string  `json:"purpose"`
	Machine    Machine `json:"machine"`
	Runs       []*Run  `json:"runs,omitempty"`
	Tables     []Table `json:"tables,omitempty"`
}

// Machine says where and when the experiment ran. The load average is the one
// at the start, as other programs may run beside it.
type Machine struct {
	Started time.Time `json:"started"`
	CPUs    int       `json:"cpus"`
	Load    string    `json:"load"`
}

// Table has figures of an experiment that varies one thing. If Chart is true,
// its columns are drawn over the first one.
type Table struct {
	Title   string      `json:"title"`
	Columns []string    `json:"columns"`
	Rows    [][]float64 `json:"rows"`
	Chart   bool        `json:"-"`
}

// Quantiles are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// PhaseSpan is a phase of a run before its figures are known.
type PhaseSpan struct {
	Name     string        `json:"name"`
	From, To time.Duration `json:"-"`
}

// Phase has the figures of the requests that were sent in a phase and of the
// site meanwhile.
type Phase struct {
	Name    string  `json:"name"`
	From    float64 `json:"from"`
	Seconds float64 `json:"seconds"`

	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	CutOff   int `json:"cutOff"`
	Failed   int `json:"failed"`
	Retried  int `json:"retried"`
	Unsent   int `json:"unsent"`
	// Codes counts the results other than answers, by code.
	Codes map[string]int `json:"codes"`
	// RetriedCodes counts the results for which callers repeated a request.
	RetriedCodes map[string]int `json:"repeated"`

	FirstToken Quantiles `json:"firstToken"`
	TokenGap   Quantiles `json:"between"`
	CallTime   Quantiles `json:"calls"`
	SendLag    Quantiles `json:"lag"`
	AnswerRate float64   `json:"requestsPerSecond"`
	TokenRate  float64   `json:"tokensPerSecond"`

	// Downtime is in replica-seconds: of the wanted replicas, and of those
	// that the live engines sufficed for. Stranded is in accelerator-seconds:
	// all outside serving replicas, and those that a wanted replica could use.
	Downtime          float64 `json:"downtime"`
	AvoidableDowntime float64 `json:"avoidableDowntime"`
	Stranded          float64 `json:"stranded"`
	AvoidableStranded float64 `json:"avoidableStranded"`

	PlatformReadRate  float64 `json:"platformReadsPerSecond"`
	PlatformWriteRate float64 `json:"platformWritesPerSecond"`
	PlatformWatches   int64   `json:"platformWatches"`
	// CPU and PeerBytes are means a daemon and second, Memory is the largest
	// daemon's.
	CPU          float64 `json:"cpuPerDaemon"`
	PeerByteRate float64 `json:"peerBytesPerDaemon"`
	Memory       int64   `json:"memory"`

	firstTokenDistribution []float64
}

// Run is one run of load on a site.
type Run struct {
	Name         string             `json:"name"`
	Site         string             `json:"site"`
	Seed         uint64             `json:"seed"`
	Rate         float64            `json:"rate"`
	Phases       []Phase            `json:"phases"`
	Events       []site.Event       `json:"events"`
	Series       []Bin              `json:"series"`
	Observations []site.Observation `json:"looks"`
	Samples      []site.Sample      `json:"samples"`
	Problems     []string           `json:"problems,omitempty"`
}

// Input is what a run recorded.
type Input struct {
	Name         string
	Site         string
	Traffic      scenario.Traffic
	Spans        []PhaseSpan
	Results      []load.Result
	Events       []site.Event
	Observations []site.Observation
	Samples      []site.Sample
}

// New computes the figures of a run.
func New(in *Input) *Run {
	r := &Run{
		Name: in.Name, Site: in.Site, Seed: in.Traffic.Seed, Rate: in.Traffic.Rate,
		Events: in.Events, Observations: in.Observations, Samples: in.Samples, Series: newSeries(in.Results, in.Traffic.Duration),
	}
	for _, span := range in.Spans {
		p := Phase{Name: span.Name, From: span.From.Seconds(), Seconds: (span.To - span.From).Seconds(), Codes: make(map[string]int), RetriedCodes: make(map[string]int)}
		p.addResults(in.Results, span)
		p.addObservations(in.Observations, span)
		p.addSamples(in.Samples, span)
		r.Phases = append(r.Phases, p)
	}
	return r
}

const (
	// Histograms go from a microsecond to two minutes with three digits.
	maxMicroseconds   = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// durationHistogram is a histogram of durations.
type durationHistogram struct {
	*hdrhistogram.Histogram
}

func newDurationHistogram() durationHistogram {
	return durationHistogram{hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

func (r durationHistogram) add(d time.Duration) {
	_ = r.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

func (r durationHistogram) milliseconds(quantile float64) float64 {
	if r.TotalCount() == 0 {
		return 0
	}
	return float64(r.ValueAtQuantile(quantile)) / 1000
}

func (r durationHistogram) quantiles() Quantiles {
	return Quantiles{
		Count: r.TotalCount(), P50: r.milliseconds(50), P95: r.milliseconds(95), P99: r.milliseconds(99), Max: r.milliseconds(100),
	}
}

func (p *Phase) addResults(results []load.Result, span PhaseSpan) {
	firstToken, tokenGap, calls, lag := newDurationHistogram(), newDurationHistogram(), newDurationHistogram(), newDurationHistogram()
	answered, tokens := 0, 0
	for i := range results {
		r := &results[i]
		if r.At < span.From || r.At >= span.To {
			continue
		}
		p.count(r)
		lag.add(r.Lag)
		if r.Whole {
			answered++
		}
		tokens += r.Tokens
		for _, g := range r.Gaps {
			tokenGap.add(g)
		}
		switch {
		case !r.Begun || r.FirstToken == 0:
		case r.Kind == scenario.Call:
			calls.add(r.Total)
		default:
			firstToken.add(r.FirstToken)
		}
	}
	p.FirstToken, p.TokenGap, p.CallTime, p.SendLag = firstToken.quantiles(), tokenGap.quantiles(), calls.quantiles(), lag.quantiles()
	p.AnswerRate, p.TokenRate = float64(answered)/p.Seconds, float64(tokens)/p.Seconds
	for q := 0.0; q < 100; q += 2 {
		p.firstTokenDistribution = append(p.firstTokenDistribution, firstToken.milliseconds(q))
	}
	p.firstTokenDistribution = append(p.firstTokenDistribution, firstToken.milliseconds(99), firstToken.milliseconds(99.9))
}

func (p *Phase) count(r *load.Result) {
	p.Sent++
	switch {
	case r.Unsent:
		p.Unsent++
	case r.Whole:
		p.Answered++
	case r.CutOff():
		p.CutOff++
	case r.Refused():
		p.Refused++
	default:
		p.Failed++
	}
	if r.Retries > 0 {
		p.Retried++
		p.RetriedCodes[codeName(r.FirstCode)]++
	}
	if !r.Whole && !r.Unsent {
		p.Codes[codeName(r.Code)]++
	}
}

func codeName(c code.Code) string {
	switch {
	case c == load.NoAnswer:
		return "no answer"
	case c < code.Answered:
		return "HTTP status " + strconv.Itoa(int(c))
	}
	return c.String()
}

// addObservations integrates what was not serving and not used.
func (p *Phase) addObservations(observations []site.Observation, span PhaseSpan) {
	for i := 1; i < len(observations); i++ {
		from, to := max(observations[i-1].At, span.From), min(observations[i].At, span.To)
		if to <= from {
			continue
		}
		seconds := (to - from).Seconds()
		for _, c := range observations[i].DataCentres {
			p.Downtime += seconds * float64(max(c.TargetReplicas-c.ServingReplicas, 0))
			p.AvoidableDowntime += seconds * float64(max(c.PossibleReplicas-c.ServingReplicas, 0))
			p.Stranded += seconds * float64(max(c.StrandedAccelerators, 0))
			p.AvoidableStranded += seconds * float64(max(c.StrandedAccelerators-c.SpareAccelerators, 0))
		}
	}
}

// addSamples takes rates from the samples nearest to the ends of the phase.
// Only daemons that ran throughout count.
func (p *Phase) addSamples(samples []site.Sample, span PhaseSpan) {
	if len(samples) < 2 {
		return
	}
	first, last := nearestSample(samples, span.From), nearestSample(samples, span.To)
	seconds := (last.At - first.At).Seconds()
	if seconds <= 0 {
		return
	}
	p.PlatformReadRate = float64(last.Calls.Reads-first.Calls.Reads) / seconds
	p.PlatformWriteRate = float64(last.Calls.Writes-first.Calls.Writes) / seconds
	p.PlatformWatches = last.Calls.Watches
	daemons := 0.0
	for _, after := range last.Daemons {
		p.Memory = max(p.Memory, after.Memory)
		for _, before := range first.Daemons {
			if before.PID == after.PID {
				daemons++
				p.CPU += (after.CPU - before.CPU) / seconds
				p.PeerByteRate += (after.PeerBytes - before.PeerBytes) / seconds
			}
		}
	}
	if daemons > 0 {
		p.CPU /= daemons
		p.PeerByteRate /= daemons
	}
}

func nearestSample(samples []site.Sample, at time.Duration) *site.Sample {
	closest := &samples[0]
	for i := range samples {
		if (samples[i].At - at).Abs() < (closest.At - at).Abs() {
			closest = &samples[i]
		}
	}
	return closest
}

// WriteJSON writes everything that was computed.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}
