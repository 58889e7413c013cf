// Package report computes the figures of an experiment from the recorded results,
// observations and samples, and writes them as text, JSON or an HTML page.
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

// Machine describes when and on which machine the experiment ran. Load is the load
// average at the start, as other programs may have been running.
type Machine struct {
	Started time.Time `json:"started"`
	CPUs    int       `json:"cpus"`
	Load    string    `json:"load"`
}

// Table holds the figures of an experiment that varies one parameter. If
// HasChart is true, the page also draws each further column over the first column.
type Table struct {
	Title    string      `json:"title"`
	Columns  []string    `json:"columns"`
	Rows     [][]float64 `json:"rows"`
	HasChart bool        `json:"-"`
}

// Quantiles holds quantiles of a duration in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// PhaseSpan is the name and the time span of a phase of a run.
type PhaseSpan struct {
	Name     string        `json:"name"`
	From, To time.Duration `json:"-"`
}

// Phase holds the figures of a phase of a run: of the requests that were scheduled
// in it, and of the site during that time. From and Seconds are in seconds.
type Phase struct {
	Name    string  `json:"name"`
	From    float64 `json:"from"`
	Seconds float64 `json:"seconds"`

	// Sent counts all scheduled requests, including the Unsent ones.
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	CutOff   int `json:"cutOff"`
	Failed   int `json:"failed"`
	Retried  int `json:"retried"`
	Unsent   int `json:"unsent"`
	// Codes counts the requests without a complete answer by result code.
	Codes map[string]int `json:"codes"`
	// RetriedCodes counts the retried requests by the code of the first attempt.
	RetriedCodes map[string]int `json:"repeated"`

	FirstToken Quantiles `json:"firstToken"`
	TokenGap   Quantiles `json:"between"`
	CallTime   Quantiles `json:"calls"`
	SendLag    Quantiles `json:"lag"`
	AnswerRate float64   `json:"requestsPerSecond"`
	TokenRate  float64   `json:"tokensPerSecond"`

	// Downtime is the downtime of target replicas in replica-seconds.
	// AvoidableDowntime counts only replicas that the live engines sufficed
	// for. Stranded is the time of live accelerators outside serving replicas,
	// in accelerator-seconds. AvoidableStranded counts only accelerators that
	// a target replica could have used.
	Downtime          float64 `json:"downtime"`
	AvoidableDowntime float64 `json:"avoidableDowntime"`
	Stranded          float64 `json:"stranded"`
	AvoidableStranded float64 `json:"avoidableStranded"`

	PlatformReadRate  float64 `json:"platformReadsPerSecond"`
	PlatformWriteRate float64 `json:"platformWritesPerSecond"`
	PlatformWatches   int64   `json:"platformWatches"`
	// CPU (in cores) and PeerByteRate (per second) are means over the daemons.
	// Memory is the memory of the daemon that uses most, in bytes.
	CPU          float64 `json:"cpuPerDaemon"`
	PeerByteRate float64 `json:"peerBytesPerDaemon"`
	Memory       int64   `json:"memory"`

	firstTokenDistribution []float64
}

// Run holds the figures of one run of load on a site.
type Run struct {
	Name         string               `json:"name"`
	Site         string               `json:"site"`
	Seed         uint64               `json:"seed"`
	Rate         float64              `json:"rate"`
	Phases       []Phase              `json:"phases"`
	Events       []site.InjectedFault `json:"events"`
	Series       []Bin                `json:"series"`
	Observations []site.Observation   `json:"looks"`
	Samples      []site.Sample        `json:"samples"`
	Problems     []string             `json:"problems,omitempty"`
}

// Input holds the records of a run.
type Input struct {
	Name         string
	Site         string
	Traffic      scenario.Traffic
	Spans        []PhaseSpan
	Results      []load.Result
	Events       []site.InjectedFault
	Observations []site.Observation
	Samples      []site.Sample
}

// NewRun computes the figures of a run from its records.
func NewRun(input *Input) *Run {
	r := &Run{
		Name: input.Name, Site: input.Site, Seed: input.Traffic.Seed, Rate: input.Traffic.Rate,
		Events: input.Events, Observations: input.Observations, Samples: input.Samples, Series: newSeries(input.Results, input.Traffic.Duration),
	}
	for _, span := range input.Spans {
		p := Phase{Name: span.Name, From: span.From.Seconds(), Seconds: (span.To - span.From).Seconds(), Codes: make(map[string]int), RetriedCodes: make(map[string]int)}
		p.addResults(input.Results, span)
		p.addObservations(input.Observations, span)
		p.addSamples(input.Samples, span)
		r.Phases = append(r.Phases, p)
	}
	return r
}

const (
	// Histograms range from one microsecond to two minutes, with three
	// significant digits.
	maxMicroseconds   = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// durationHistogram is a histogram of durations in microseconds.
type durationHistogram struct {
	*hdrhistogram.Histogram
}

func newDurationHistogram() durationHistogram {
	return durationHistogram{hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

func (h durationHistogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

func (h durationHistogram) milliseconds(quantile float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func (h durationHistogram) quantiles() Quantiles {
	return Quantiles{
		Count: h.TotalCount(), P50: h.milliseconds(50), P95: h.milliseconds(95), P99: h.milliseconds(99), Max: h.milliseconds(100),
	}
}

// addResults adds the figures of the requests that were scheduled in the phase.
func (p *Phase) addResults(results []load.Result, span PhaseSpan) {
	firstToken, tokenGap, callTime, sendLag := newDurationHistogram(), newDurationHistogram(), newDurationHistogram(), newDurationHistogram()
	answered, tokens := 0, 0
	for i := range results {
		r := &results[i]
		if r.ScheduledAt < span.From || r.ScheduledAt >= span.To {
			continue
		}
		p.countResult(r)
		sendLag.add(r.SendLag)
		if r.Complete {
			answered++
		}
		tokens += r.Tokens
		for _, g := range r.TokenGaps {
			tokenGap.add(g)
		}
		switch {
		case !r.Started || r.FirstTokenTime == 0:
		case r.Kind == scenario.ServiceCall:
			callTime.add(r.TotalTime)
		default:
			firstToken.add(r.FirstTokenTime)
		}
	}
	p.FirstToken, p.TokenGap, p.CallTime, p.SendLag = firstToken.quantiles(), tokenGap.quantiles(), callTime.quantiles(), sendLag.quantiles()
	p.AnswerRate, p.TokenRate = float64(answered)/p.Seconds, float64(tokens)/p.Seconds
	for q := 0.0; q < 100; q += 2 {
		p.firstTokenDistribution = append(p.firstTokenDistribution, firstToken.milliseconds(q))
	}
	p.firstTokenDistribution = append(p.firstTokenDistribution, firstToken.milliseconds(99), firstToken.milliseconds(99.9))
}

func (p *Phase) countResult(r *load.Result) {
	p.Sent++
	switch {
	case r.Unsent:
		p.Unsent++
	case r.Complete:
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
		p.RetriedCodes[codeName(r.FirstAttemptCode)]++
	}
	if !r.Complete && !r.Unsent {
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

// addObservations integrates the downtime and the stranded accelerators over the
// phase.
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

// addSamples computes rates from the samples nearest to the start and the end of the
// phase. The means include only daemons whose process ran throughout the phase.
func (p *Phase) addSamples(samples []site.Sample, span PhaseSpan) {
	if len(samples) < 2 {
		return
	}
	start, end := nearestSample(samples, span.From), nearestSample(samples, span.To)
	seconds := (end.At - start.At).Seconds()
	if seconds <= 0 {
		return
	}
	p.PlatformReadRate = float64(end.PlatformCalls.Reads-start.PlatformCalls.Reads) / seconds
	p.PlatformWriteRate = float64(end.PlatformCalls.Writes-start.PlatformCalls.Writes) / seconds
	p.PlatformWatches = end.PlatformCalls.Watches
	daemons := 0.0
	for _, after := range end.Daemons {
		p.Memory = max(p.Memory, after.Memory)
		for _, before := range start.Daemons {
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

// WriteJSON writes the report as JSON, including the time series.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}
