package cost

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

var testStart = time.Unix(1_000_000, 0)

// TestPredict guards against estimates that ignore what the caller or the engine says, and against
// work at a model of other times than its own.
func TestPredict(t *testing.T) {
	engine := &cluster.Engine{
		StepTime: 10 * time.Millisecond, PrefillRate: 50_000, MeanOutput: 100,
		Models: []cluster.Model{{Name: "slow", TimeFactor: 1}, {Name: "fast", TimeFactor: 0.5}},
	}
	shared := &cluster.Engine{
		Slots: 20, StepTime: 10 * time.Millisecond, StepTimePerSequence: time.Millisecond, PrefillRate: 50_000,
		Models: []cluster.Model{{Name: "slow", TimeFactor: 1}},
	}
	tests := map[string]struct {
		profile Profile
		engine  *cluster.Engine
		want    Estimate
	}{
		"published mean":               {Profile{Model: "slow", PromptTokens: 1000, MaxOutputTokens: 400}, engine, Estimate{100, 100, 230, 1020 * time.Millisecond}},
		"hint of the caller":           {Profile{Model: "slow", PromptTokens: 1000, LengthHint: 20}, engine, Estimate{20, 20, 46, 220 * time.Millisecond}},
		"times of the model":           {Profile{Model: "fast", PromptTokens: 1000}, engine, Estimate{100, 100, 230, 510 * time.Millisecond}},
		"prefill holds up the others":  {Profile{Model: "slow", PromptTokens: 1000, LengthHint: 20}, shared, Estimate{20, 20, 46, 5*20*time.Millisecond + 20*15*time.Millisecond}},
		"unknown model":                {Profile{Model: "other", PromptTokens: 1000}, engine, Estimate{100, 100, 230, 0}},
		"bound below the mean":         {Profile{Model: "slow", MaxOutputTokens: 60}, engine, Estimate{60, 60, 60, 600 * time.Millisecond}},
		"service without engine times": {Profile{MaxOutputTokens: 400}, nil, Estimate{400, 400, 400, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, New().Predict(test.profile, test.engine), qt.Equals, test.want)
		})
	}
}

// TestLearnOutput guards against estimates that don't follow what callers get, that apply what was
// learned of some requests to others, or that follow old answers.
func TestLearnOutput(t *testing.T) {
	type answers struct {
		profile Profile
		mean    float64
		count   int
		after   time.Duration
	}
	tests := map[string]struct {
		answers  []answers
		profile  Profile
		min, max unit.Tokens
	}{
		"mean of a route":             {[]answers{{Profile{Route: "r"}, 116, 300, 0}}, Profile{Route: "r"}, 100, 132},
		"another route":               {[]answers{{Profile{Route: "r"}, 116, 300, 0}}, Profile{Route: "s", MaxOutputTokens: 900}, 900, 900},
		"few answers":                 {[]answers{{Profile{Route: "r", MaxOutputTokens: 900}, 1, 1, 0}}, Profile{Route: "r", MaxOutputTokens: 900}, 700, 750},
		"another bound":               {[]answers{{Profile{Route: "r", MaxOutputTokens: 100}, 20, 300, 0}}, Profile{Route: "r", MaxOutputTokens: 2000}, 2000, 2000},
		"hints that are half as long": {[]answers{{Profile{Route: "r", LengthHint: 100}, 200, 300, 0}}, Profile{Route: "r", LengthHint: 120}, 205, 280},
		"hint, learned without one":   {[]answers{{Profile{Route: "r"}, 200, 300, 0}}, Profile{Route: "r", LengthHint: 30}, 30, 30},
		"later answers are shorter": {
			[]answers{{Profile{Route: "r"}, 1000, 300, 0}, {Profile{Route: "r"}, 20, 300, 10 * time.Minute}}, Profile{Route: "r"}, 15, 26,
		},
		"never above the bound": {[]answers{{Profile{Route: "r", MaxOutputTokens: 255}, 200, 300, 0}}, Profile{Route: "r", MaxOutputTokens: 130}, 130, 130},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, now, random := New(), testStart, rand.New(rand.NewPCG(1, 2))
			for _, a := range test.answers {
				now = now.Add(a.after)
				for range a.count {
					m.Record(now, a.profile, m.Predict(a.profile, nil), unit.Tokens(1+a.mean*random.ExpFloat64()))
				}
			}
			got := m.Predict(test.profile, nil)
			qt.Check(t, got.OutputTokens >= test.min && got.OutputTokens <= test.max, qt.IsTrue, qt.Commentf("%+v", got))
			qt.Check(t, got.MedianOutput <= got.HighOutput, qt.IsTrue)
		})
	}
}

// TestOutputQuantiles guards against quantiles that are far from those of the answers.
func TestOutputQuantiles(t *testing.T) {
	m, random, p := New(), rand.New(rand.NewPCG(3, 4)), Profile{Route: "r"}
	for range 2000 {
		m.Record(testStart, p, Estimate{MedianOutput: 80}, unit.Tokens(1+116*random.ExpFloat64()))
	}
	got := m.Predict(p, nil)
	within := func(n unit.Tokens, want float64) bool { return math.Abs(float64(n)/want-1) < 0.1 }
	qt.Check(t, within(got.MedianOutput, 116*math.Ln2+1) && within(got.HighOutput, 116*math.Log(10)+1), qt.IsTrue, qt.Commentf("%+v", got))
	// Predicted by its median, an exponential distribution has a mean error of 0.9.
	logError := math.Float64frombits(m.errors.output.logError.Load())
	qt.Check(t, logError > 0.6 && logError < 1.2, qt.IsTrue, qt.Commentf("%f", logError))
}

// TestOutputsAreBounded guards against a table that grows with the routes that were ever seen, and
// against the loss of the routes in use.
func TestOutputsAreBounded(t *testing.T) {
	m := New()
	for i := range 10 * outputCells {
		p := Profile{Route: strconv.Itoa(i)}
		m.Record(testStart.Add(time.Duration(i)*time.Second), p, Estimate{}, 50)
		qt.Assert(t, m.Predict(p, nil).OutputTokens, qt.Equals, unit.Tokens(50))
	}
}

// TestFirstEvent guards against forecasts that are far from the medians that were observed at replicas of
// 34 and 20 slots, of which about 120 ms are not published. The engine's times are typical ones.
func TestFirstEvent(t *testing.T) {
	const prompt, unpublished, tolerance = 674, 120 * time.Millisecond, 0.2
	tests := map[string]struct {
		slots, inFlight unit.Requests
		pendingPrefill  unit.Tokens
		observed        time.Duration
	}{
		"34 slots, 10":                   {34, 10, 0, 175 * time.Millisecond},
		"34 slots, 2,000 pending tokens": {34, 16, 2000, 197 * time.Millisecond},
		"34 slots, 4,000 pending tokens": {34, 16, 4000, 237 * time.Millisecond},
		"34 slots, 24":                   {34, 24, 0, 211 * time.Millisecond},
		"34 slots, 32":                   {34, 32, 0, 228 * time.Millisecond},
		"34 slots, 36":                   {34, 36, 0, 251 * time.Millisecond},
		"34 slots, 40":                   {34, 40, 0, 329 * time.Millisecond},
		"34 slots, 48":                   {34, 48, 0, 556 * time.Millisecond},
		"20 slots, 16":                   {20, 16, 0, 187 * time.Millisecond},
		"20 slots, 20":                   {20, 20, 0, 205 * time.Millisecond},
		"20 slots, 24":                   {20, 24, 0, 312 * time.Millisecond},
		"20 slots, 28":                   {20, 28, 0, 466 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engine := &cluster.Engine{
				Slots: test.slots, StepTime: 6 * time.Millisecond, StepTimePerSequence: 45 * time.Microsecond, StepsPerPass: 7, PrefillRate: 50_000, MeanOutput: 116,
				Models: []cluster.Model{{Name: "m1", TimeFactor: 0.6}},
			}
			times := New().Times("s", engine, &engine.Models[0])
			times.slotTime = float64(650 * time.Millisecond)
			f := times.FirstEvent(EndpointState{InFlight: test.inFlight, Slots: test.slots, PendingPrefill: test.pendingPrefill, Correction: unpublished}, prompt)
			qt.Check(t, math.Abs(float64(f.Mean)/float64(test.observed)-1) < tolerance, qt.IsTrue, qt.Commentf("%s, spread %s", f.Mean, f.Spread))
		})
	}
}

// newTestEndpoint returns an endpoint of a model and its engine.
func newTestEndpoint() (*catalog.Endpoint, *cluster.Engine) {
	engine := &cluster.Engine{
		Slots: 8, StepTime: 6 * time.Millisecond, StepsPerPass: 7, PrefillRate: 50_000, MeanOutput: 116,
		Models: []cluster.Model{{Name: "m", TimeFactor: 1}},
	}
	return &catalog.Endpoint{Server: &cluster.Server{ID: "e", Service: "s", Slots: 8}, Engine: engine, Model: &engine.Models[0], Load: new(catalog.Load)}, engine
}

// TestCorrection guards against a fixed time of the engine that is not learned, a correction without
// bounds, and an endpoint that is avoided for good because it was slow.
func TestCorrection(t *testing.T) {
	tests := map[string]struct {
		observed []time.Duration
		// idle is the time without requests after the observations.
		idle     time.Duration
		min, max time.Duration
	}{
		"none":                 {nil, 0, 60 * time.Millisecond, 90 * time.Millisecond},
		"fixed time":           {repeat(200*time.Millisecond, 20), 0, 190 * time.Millisecond, 210 * time.Millisecond},
		"far too slow":         {repeat(5*time.Second, 100), 0, time.Second, 1100 * time.Millisecond},
		"far too quick":        {repeat(0, 100), 0, 30 * time.Millisecond, 45 * time.Millisecond},
		"slow for a while":     {append(repeat(200*time.Millisecond, 200), repeat(time.Second, 8)...), 0, 500 * time.Millisecond, 800 * time.Millisecond},
		"slow a long time ago": {append(repeat(200*time.Millisecond, 200), repeat(time.Second, 8)...), time.Minute, 200 * time.Millisecond, 450 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, now := New(), testStart
			e, _ := newTestEndpoint()
			start := func() Run {
				return m.StartRun(now, e, Profile{Service: "s", Model: "m", PromptTokens: 500}, Estimate{OutputTokens: 100})
			}
			for _, observed := range test.observed {
				r := start()
				now = now.Add(observed)
				r.FirstEvent(now)
				r.End()
			}
			now = now.Add(test.idle)
			r := start()
			qt.Check(t, r.Expected() >= test.min && r.Expected() <= test.max, qt.IsTrue, qt.Commentf("%s", r.Expected()))
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	values := make([]time.Duration, n)
	for i := range values {
		values[i] = d
	}
	return values
}

// TestRunLoad guards against pending prefill tokens or work that stay in an endpoint's load after the attempt.
func TestRunLoad(t *testing.T) {
	tests := map[string]func(r *Run){
		"complete answer": func(r *Run) { r.FirstEvent(testStart); r.FirstEvent(testStart); r.Completed(testStart); r.End() },
		"no event":        func(r *Run) { r.End() },
		"ended twice":     func(r *Run) { r.FirstEvent(testStart); r.End(); r.End() },
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e, _ := newTestEndpoint()
			r := New().StartRun(testStart, e, Profile{PromptTokens: 500}, Estimate{OutputTokens: 100, Work: time.Second})
			c.Check(e.Load.PendingPrefill(), qt.Equals, unit.Tokens(500))
			c.Check(e.Load.Reserved(), qt.Equals, unit.Tokens(600))
			c.Check(e.Load.Work(), qt.Equals, time.Second)
			play(&r)
			c.Check(e.Load.PendingPrefill(), qt.Equals, unit.Tokens(0))
			c.Check(e.Load.Reserved(), qt.Equals, unit.Tokens(0))
			c.Check(e.Load.Work(), qt.Equals, time.Duration(0))
		})
	}
}

// TestStreamTokens guards against counting an event of an engine with several steps in a pass as one
// token.
func TestStreamTokens(t *testing.T) {
	tests := map[string]struct {
		engine *cluster.Engine
		events int
		want   unit.Tokens
	}{
		"no engine":           {nil, 12, 12},
		"one step in a pass":  {&cluster.Engine{StepsPerPass: 1}, 12, 12},
		"seven steps":         {&cluster.Engine{StepsPerPass: 7}, 12, 81},
		"no event of engines": {&cluster.Engine{StepsPerPass: 7}, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, StreamTokens(test.engine, test.events), qt.Equals, test.want)
		})
	}
}

// TestLearnedModels guards against more learned models than the limit, and against a known model that is
// no longer learned at the limit.
func TestLearnedModels(t *testing.T) {
	m := New()
	for i := range maxLearnedModels {
		m.learned(modelKey{model: ident.Model(strconv.Itoa(i))})
	}
	tests := map[string]struct {
		model       ident.Model
		wantLearned bool
	}{
		"known model":  {"0", true},
		"last model":   {ident.Model(strconv.Itoa(maxLearnedModels - 1)), true},
		"one too many": {"other", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			learned, ok := m.learned(modelKey{model: test.model})
			c.Check(ok, qt.Equals, test.wantLearned)
			c.Check(learned != nil, qt.Equals, test.wantLearned)
		})
	}
}

// TestLearnedTimesDoNotAllocate guards against allocations by a request of a model that had requests before.
func TestLearnedTimesDoNotAllocate(t *testing.T) {
	m := New()
	e, engine := newTestEndpoint()
	p := Profile{Service: "s", Model: "m"}
	tests := map[string]func(){
		"times": func() { m.Times(p.Service, engine, &engine.Models[0]) },
		"run": func() {
			r := m.StartRun(testStart, e, p, Estimate{OutputTokens: 100, Work: time.Second})
			r.FirstEvent(testStart)
			r.Completed(testStart)
			r.End()
		},
	}
	tests["run"]()
	for name, observe := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, testing.AllocsPerRun(100, observe), qt.Equals, 0.0)
		})
	}
}

// BenchmarkPredict measures an estimate from a learned distribution.
func BenchmarkPredict(b *testing.B) {
	m, p := New(), Profile{Service: "s", Model: "m", Route: "r", PromptTokens: 500, MaxOutputTokens: 400}
	_, engine := newTestEndpoint()
	m.Record(testStart, p, Estimate{}, 100)
	b.ReportAllocs()
	for b.Loop() {
		m.Predict(p, engine)
	}
}
