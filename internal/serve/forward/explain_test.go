package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/balance"
	"cuminbay/internal/route/cost"
	"cuminbay/internal/route/ratelimit"
)

// secretKey is the key of the organisation, which no explanation may have.
const secretKey = "secret-key"

// explainState is the state of a daemon in which a request is explained and then sent.
type explainState struct {
	path, key string
	model     ident.Model
	choice    balance.Choice
	// busy has the requests in flight of this daemon at servers, and avoided those that failed.
	busy    map[ident.Instance]int
	avoided []ident.Instance
	// paused says that all servers want no requests.
	paused bool
	cutOff bool
	// running is the number of requests of this daemon that occupy slots, waiting that of requests in the
	// queue, and refused that of requests that were refused before.
	running, waiting, refused int
}

// explainRun is a daemon in the state.
type explainRun struct {
	*Forwarder
	registry *prometheus.Registry
	log      bytes.Buffer
}

// newExplainRun returns a daemon in the state. Its requests wait until the context ends.
func newExplainRun(ctx context.Context, s *explainState) *explainRun {
	sender := &fakeSender{clock: clockwork.NewFakeClock(), replies: make(map[ident.Instance][]scriptedReply)}
	o := newTestForwarder(sender).Options
	run := &explainRun{registry: prometheus.NewRegistry()}
	clk := clock.Real()
	cat := catalog.New(clk)
	config := testConfig()
	config.Organisations = []cluster.Organisation{{Name: "o", Keys: []string{secretKey}}}
	config.Services[engines].Engine.MeanOutput = 100
	cat.Apply(catalog.Update{Config: config, Servers: testServers(), Synced: true})
	limits := ratelimit.New(ratelimit.Options{Clock: clk, Log: zerolog.Nop(), Self: "d", Daemons: fakeDaemons{}, Catalog: cat})
	balancer := balance.New(balance.Options{
		DataCentre: "z", Daemons: fakeDaemons{}, Fleet: fakeDaemons{}, Limits: limits, Times: cost.New(), Choice: s.choice, PlainQueueRatio: 1,
	})
	o.Clock, o.Catalog, o.Limits, o.Picker, o.Explainer, o.Log = clk, cat, limits, balancer, balancer, zerolog.New(&run.log)
	o.Links, o.Relays = &fakeLinks{cutOff: s.cutOff}, fakeRelays{"other"}
	var err error
	if o.Telemetry, err = NewTelemetry(run.registry); err != nil {
		panic(err)
	}
	for _, register := range []func(prometheus.Registerer) error{balancer.Register, limits.Register} {
		if err := register(run.registry); err != nil {
			panic(err)
		}
	}
	run.Forwarder = New(o)
	run.prepare(ctx, s, sender)
	return run
}

// prepare sets the state.
func (r *explainRun) prepare(ctx context.Context, s *explainState, sender *fakeSender) {
	now := r.Clock.Now()
	r.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		for range s.busy[e.ID] {
			e.Load.RequestStarted()
		}
		if s.paused {
			r.Limits.Pause(e, time.Second)
		}
		for _, id := range s.avoided {
			if id == e.ID {
				e.Load.AvoidUntil(now.Add(time.Minute))
			}
		}
		sender.replies[e.ID] = []scriptedReply{{body: eventA}}
	})
	sender.replies["other"] = []scriptedReply{{body: eventA}}
	x := r.exchangeOf(s)
	flow := r.monitor.Flow(x.queueKey())
	for range s.running {
		flow.SlotTaken()
	}
	for range s.refused {
		flow.Return(0, flow.Forecast(x.estimate.Work), time.Second)
	}
	for range s.waiting {
		request := x.slotRequest()
		w := x.waitRequest(&request, now)
		w.Deadline = now.Add(time.Minute)
		w.Admission, _ = r.shares.Admit(x.shareRecord(), math.MaxInt32)
		go r.queue.Wait(ctx, w, func(admit.Turn) bool { return false })
	}
	synctest.Wait()
	if s.waiting > 0 {
		r.Clock.Sleep(time.Millisecond)
	}
}

func (r *explainRun) request(s *explainState) *proxy.Request {
	return &proxy.Request{ID: "r", Method: "POST", Host: "h", Target: s.path, Path: s.path, Credential: s.key, Model: s.model, PromptTokens: 500, OutputTokens: 200, Received: r.Clock.Now()}
}

// exchangeOf returns a request that is not sent.
func (r *explainRun) exchangeOf(s *explainState) *exchange {
	x := &exchange{Forwarder: r.Forwarder, request: r.request(s), sink: new(fakeSink)}
	if err := x.resolveRoute(r.Catalog.Current()); err == nil {
		x.admission = r.shares.Preview(x.shareRecord())
	}
	return x
}

// metrics returns the values of all metrics as text.
func (r *explainRun) metrics() string {
	families, err := r.registry.Gather()
	if err != nil {
		panic(err)
	}
	var out bytes.Buffer
	for _, family := range families {
		out.WriteString(family.String())
	}
	return out.String()
}

// endedLine is what the log has of the request.
type endedLine struct {
	Endpoint  ident.Instance `json:"endpoint"`
	Refusal   string         `json:"refusal"`
	Waited    int64          `json:"waited_ms"`
	Predicted int64          `json:"predicted_ms"`
	Code      string         `json:"code"`
	Detail    string         `json:"detail"`
}

// explainTests has the states and whether a request is refused or waits in them.
var explainTests = map[string]struct {
	explainState
	// refusal is the code of a refusal at once, and reason the reason of any refusal.
	refusal, reason string
	waits           bool
}{
	"by cost":              {explainState: explainState{path: "/stream/1", key: secretKey, model: testModel, choice: balance.ByCost, busy: map[ident.Instance]int{"x": 4, "y": 2, "z": 8}}},
	"by count":             {explainState: explainState{path: "/stream/1", key: secretKey, model: testModel, choice: balance.ByCount, busy: map[ident.Instance]int{"x": 2, "y": 2, "z": 8}}},
	"plain service":        {explainState: explainState{path: "/safe/1", key: secretKey, choice: balance.ByCost}},
	"all avoided":          {explainState: explainState{path: "/stream/1", key: secretKey, model: testModel, choice: balance.ByCost, avoided: []ident.Instance{"x", "y", "z"}}},
	"no server in reach":   {explainState: explainState{path: "/stream/1", key: secretKey, model: testModel, choice: balance.ByCost, cutOff: true}},
	"unknown path":         {explainState: explainState{path: "/none/1", key: secretKey}, refusal: "2005 unknown-path"},
	"unknown organisation": {explainState: explainState{path: "/stream/1", key: "wrong", model: testModel}, refusal: "2003 unknown-organisation"},
	"no free slot":         {explainState: explainState{path: "/stream/1", key: secretKey, model: testModel, choice: balance.ByCost, busy: fullServers, running: 24}, waits: true, reason: refusedAfterWait},
	"no free slot, behind others that wait": {
		explainState: explainState{path: "/stream/1", key: secretKey, model: testModel, choice: balance.ByCost, busy: fullServers, running: 24, waiting: 3}, waits: true, reason: refusedAfterWait,
	},
	"no slot in time": {
		explainState: explainState{path: "/stream/1", key: secretKey, model: testModel, choice: balance.ByCost, busy: fullServers, running: 24, waiting: 60, refused: 3}, refusal: "3002 overloaded", reason: refusedAtOnce,
	},
	"plain service, no free slot": {explainState: explainState{path: "/safe/1", key: secretKey, choice: balance.ByCost, busy: map[ident.Instance]int{"a": 16, "b": 16}}, waits: true, reason: refusedAfterWait},
	"no replica":                  {explainState: explainState{path: "/stream/1", key: secretKey, model: "unknown", choice: balance.ByCost}, waits: true, reason: refusedNoReplica},
	"all servers paused":          {explainState: explainState{path: "/safe/1", key: secretKey, choice: balance.ByCost, paused: true}, refusal: "3002 overloaded"},
	"full queue":                  {explainState: explainState{path: "/safe/1", key: secretKey, choice: balance.ByCost, busy: map[ident.Instance]int{"a": 16, "b": 16}, waiting: queueLimit}, refusal: "3002 overloaded", reason: refusedDisplaced},
}

var fullServers = map[ident.Instance]int{"x": 8, "y": 8, "z": 8}

// TestExplain guards against an explanation that differs from what then happens to a request: which
// endpoints it may go to, how long it waits, with which reason and Retry-After it is refused.
func TestExplain(t *testing.T) {
	for name, test := range explainTests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				run := newExplainRun(ctx, &test.explainState)
				x := run.Explain(run.request(&test.explainState))
				c.Check(x.Refusal, qt.Equals, test.refusal)
				c.Check(x.Waits, qt.Equals, test.waits)
				err := run.Forward(ctx, run.request(&test.explainState), new(fakeSink))
				var line endedLine
				c.Assert(json.Unmarshal(bytes.TrimSpace(run.log.Bytes()), &line), qt.IsNil, qt.Commentf("%s", &run.log))
				c.Check(line.Refusal, qt.Equals, test.reason)
				if x.Refusal != "" {
					c.Check(line.Code, qt.Equals, x.Refusal)
					c.Check(line.Detail, qt.Equals, x.Reason)
					c.Check(line.Waited, qt.Equals, int64(0))
					c.Check(code.RetryAfter(err).Milliseconds(), qt.Equals, x.RetryAfter)
				}
				if a := x.Admission; a != nil {
					c.Check(a.Reason, qt.Equals, test.reason)
					c.Check(line.Predicted, qt.Equals, a.Predicted)
					c.Check(line.Waited, qt.Equals, a.Wait)
					c.Check(code.RetryAfter(err).Milliseconds(), qt.Equals, a.RetryAfter)
					c.Check(a.Until.IsZero() || a.Until.Equal(run.Clock.Now()), qt.IsTrue, qt.Commentf("%s, ended at %s", a.Until, run.Clock.Now()))
					return
				}
				c.Check(err == nil, qt.Equals, test.refusal == "", qt.Commentf("%v", err))
				if x.Relay != "" {
					c.Check(line.Endpoint, qt.Equals, x.Relay)
				}
			})
		})
	}
}

// TestExplainedEndpoints guards against probabilities that differ from the choices of real requests.
func TestExplainedEndpoints(t *testing.T) {
	const requests, tolerance = 400, 0.12
	for _, name := range []string{"by cost", "by count", "plain service", "all avoided"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				state := explainTests[name].explainState
				explained := newExplainRun(t.Context(), &state)
				x := explained.Explain(explained.request(&state))
				chosen := make(map[ident.Instance]float64)
				for range requests {
					run := newExplainRun(t.Context(), &state)
					c.Assert(run.Forward(t.Context(), run.request(&state), new(fakeSink)), qt.IsNil)
					chosen[run.Sender.(*fakeSender).attempts[0].Server] += 1.0 / requests
				}
				for _, candidate := range x.Candidates {
					c.Check(math.Abs(candidate.Probability-chosen[candidate.Endpoint]) < tolerance, qt.IsTrue, qt.Commentf("%s: explained %.3f, chosen %.3f", candidate.Endpoint, candidate.Probability, chosen[candidate.Endpoint]))
				}
			})
		})
	}
}

// TestExplainChangesNothing guards against an explanation that sends or counts a request, that takes a slot
// or a place in a schedule, or that has a key.
func TestExplainChangesNothing(t *testing.T) {
	for name, test := range explainTests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				run := newExplainRun(ctx, &test.explainState)
				metrics, waiting, inFlight := run.metrics(), run.queue.Length(), run.shares.InFlight()
				loads := make(map[ident.Instance]unit.Requests)
				run.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) { loads[e.ID] = e.Load.InFlight() })
				var first []byte
				for i := range 5 {
					text, err := json.Marshal(run.Explain(run.request(&test.explainState)))
					c.Assert(err, qt.IsNil)
					c.Check(bytes.Contains(text, []byte(secretKey)), qt.IsFalse)
					if i == 0 {
						first = text
					}
					c.Check(string(text), qt.Equals, string(first))
				}
				synctest.Wait()
				c.Check(run.metrics(), qt.Equals, metrics)
				c.Check(run.queue.Length(), qt.Equals, waiting)
				c.Check(run.shares.InFlight(), qt.Equals, inFlight)
				c.Check(run.log.Len(), qt.Equals, 0)
				c.Check(run.Sender.(*fakeSender).attempts, qt.HasLen, 0)
				demand := run.Demand.(*fakeDemand)
				c.Check([]int{demand.arrivals, demand.refusals, demand.waits}, qt.DeepEquals, []int{0, 0, 0})
				run.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) { c.Check(e.Load.InFlight(), qt.Equals, loads[e.ID]) })
			})
		})
	}
}
