package forward

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/balance"
)

// secondPicker has no free slot at the first call, and calls onSecond at the second one.
type secondPicker struct {
	calls    int
	onSecond func()
}

func (p *secondPicker) Pick(now time.Time, endpoints []*catalog.Endpoint, r balance.Request) *catalog.Endpoint {
	if p.calls++; p.calls == 1 {
		return nil
	}
	p.onSecond()
	return firstPicker{}.Pick(now, endpoints, r)
}

// suspectedLater finds a request suspected once it is told to.
type suspectedLater struct {
	poisonDetector
	suspected bool
}

func (s *suspectedLater) Check(ident.Fingerprint) error {
	if s.suspected {
		return code.PoisonRequest.New("suspected")
	}
	return nil
}

// TestSuspectedWhileWaiting guards against a request that became suspected in the queue and is sent, and
// against a slot that stays counted for it.
func TestSuspectedWhileWaiting(t *testing.T) {
	c := qt.New(t)
	sender := &fakeSender{clock: clockwork.NewFakeClock()}
	f := newTestForwarder(sender)
	detector := &suspectedLater{poisonDetector: f.Poison}
	f.Poison, f.Picker = detector, &secondPicker{onSecond: func() { detector.suspected = true }}
	err := f.Forward(context.Background(), &proxy.Request{
		ID: "r", Method: "POST", Host: "h", Target: "/stream/1", Path: "/stream/1", Credential: "k", Model: testModel, Received: sender.clock.Now(),
	}, new(fakeSink))
	c.Check(code.Of(err), qt.Equals, code.PoisonRequest)
	c.Check(sender.attempts, qt.HasLen, 0)
	f.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) { c.Check(e.Load.InFlight(), qt.Equals, unit.Requests(0)) })
}

// fullPicker has no free slot.
type fullPicker struct{}

func (fullPicker) Pick(time.Time, []*catalog.Endpoint, balance.Request) *catalog.Endpoint {
	return nil
}

// TestCallerLeavesQueue guards against a caller that leaves the queue and counts as refused.
func TestCallerLeavesQueue(t *testing.T) {
	c := qt.New(t)
	sender := &fakeSender{clock: clockwork.NewFakeClock()}
	f := newTestForwarder(sender)
	f.Picker = fullPicker{}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := f.Forward(ctx, &proxy.Request{
		ID: "r", Method: "POST", Host: "h", Target: "/stream/1", Path: "/stream/1", Credential: "k", Model: testModel, Received: sender.clock.Now(),
	}, new(fakeSink))
	c.Check(code.Of(err), qt.Equals, code.CallerClosed)
	refusals := make(chan prometheus.Metric, 1)
	f.Telemetry.refusals.Collect(refusals)
	c.Check(refusals, qt.HasLen, 0)
}

// fixedContention is contention that another daemon has seen.
type fixedContention unit.Priority

func (f fixedContention) Contended(ident.Service, ident.Model) (unit.Priority, bool) {
	return unit.Priority(f), true
}

// limitPicker notes the utilisation that requests may use.
type limitPicker struct {
	firstPicker
	limits []float64
}

func (p *limitPicker) Pick(now time.Time, endpoints []*catalog.Endpoint, r balance.Request) *catalog.Endpoint {
	p.limits = append(p.limits, r.MaxUtilisation)
	return p.firstPicker.Pick(now, endpoints, r)
}

// TestPermittedUtilisation guards against contention at other daemons that is ignored, against a request
// to a plain service that leaves slots to others, and against an interrupted stream that does.
func TestPermittedUtilisation(t *testing.T) {
	tests := map[string]struct {
		path       string
		contention []contentionSource
		// remaining is the time that the caller has left, of 4 s.
		remaining time.Duration
		replies   map[ident.Instance][]scriptedReply
		want      []float64
		urgencies []proxy.Urgency
	}{
		"no contention":        {path: "/stream/1", remaining: 4 * time.Second, want: []float64{0.9}, urgencies: []proxy.Urgency{proxy.Timely}},
		"higher rank is short": {path: "/stream/1", contention: []contentionSource{fixedContention(1)}, remaining: 4 * time.Second, want: []float64{0.85}, urgencies: []proxy.Urgency{proxy.Timely}},
		"lower rank is short":  {path: "/stream/1", contention: []contentionSource{fixedContention(-1)}, remaining: 4 * time.Second, want: []float64{0.9}, urgencies: []proxy.Urgency{proxy.Timely}},
		"late":                 {path: "/stream/1", contention: []contentionSource{fixedContention(-1)}, remaining: 3 * time.Second, want: []float64{0.8}, urgencies: []proxy.Urgency{proxy.Late}},
		"plain service":        {path: "/safe/1", contention: []contentionSource{fixedContention(1)}, remaining: 3 * time.Second, want: []float64{0.9}, urgencies: []proxy.Urgency{proxy.Unspecified}},
		"interrupted stream": {
			path: "/stream/1", contention: []contentionSource{fixedContention(1)}, remaining: 4 * time.Second,
			replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, bodyCutOff: true}}, "y": {{body: eventB}}},
			want:    []float64{0.85, 1}, urgencies: []proxy.Urgency{proxy.Timely, proxy.Resumed},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sender := &fakeSender{clock: clockwork.NewFakeClock(), replies: test.replies}
			if test.replies == nil {
				sender.replies = map[ident.Instance][]scriptedReply{"a": {{body: "done"}}, "x": {{body: eventA}}}
			}
			f := newTestForwarder(sender)
			picker := new(limitPicker)
			f.Picker, f.Contentions, f.Rules.Fill = picker, test.contention, 0.9
			now := sender.clock.Now()
			err := f.Forward(context.Background(), &proxy.Request{
				ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel, Received: now, Deadline: now.Add(test.remaining),
			}, new(fakeSink))
			c.Check(err, qt.IsNil)
			c.Check(picker.limits, qt.DeepEquals, test.want)
			var urgencies []proxy.Urgency
			for _, a := range sender.attempts {
				urgencies = append(urgencies, a.Urgency)
			}
			c.Check(urgencies, qt.DeepEquals, test.urgencies)
		})
	}
}

// TestFreeSlot guards against a request that waits, is refused or counts as short of slots although a
// slot is free for it, and against a stream that takes a slot before those that wait for it.
func TestFreeSlot(t *testing.T) {
	tests := map[string]struct {
		service   ident.Service
		path      string
		remaining time.Duration
		// another says that another request waits, which finds no slot.
		another   bool
		wantWaits int
	}{
		"stream in time":                    {service: engines, path: "/stream/1", remaining: 4 * time.Second},
		"late stream":                       {service: engines, path: "/stream/1", remaining: 3 * time.Second},
		"plain service":                     {service: ledger, path: "/safe/1", remaining: 4 * time.Second},
		"stream in time, another one waits": {service: engines, path: "/stream/1", remaining: 4 * time.Second, another: true, wantWaits: 1},
		"plain service, another one waits":  {service: ledger, path: "/safe/1", remaining: 4 * time.Second, another: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sender := &fakeSender{clock: clockwork.NewFakeClock(), replies: map[ident.Instance][]scriptedReply{"a": {{body: "done"}}, "x": {{body: eventA}}}}
			f := newTestForwarder(sender)
			picker := new(limitPicker)
			f.Picker = picker
			now := sender.clock.Now()
			ctx, cancel := context.WithCancel(context.Background())
			var other sync.WaitGroup
			defer other.Wait()
			defer cancel()
			if test.another {
				admission, err := f.shares.Admit(&record.Organisation{Name: "other", Weight: 1}, 100)
				c.Assert(err, qt.IsNil)
				offered := make(chan struct{})
				var once sync.Once
				waiting := admit.WaitRequest{Key: admit.QueueKey(string(test.service) + " " + string(testModel)), Received: now, Admission: admission, Deadline: now.Add(time.Minute)}
				other.Go(func() {
					f.queue.Wait(ctx, waiting, func(admit.Turn) bool {
						once.Do(func() { close(offered) })
						return false
					})
				})
				<-offered
				c.Assert(f.queue.Length(), qt.Equals, 1)
			}
			err := f.Forward(context.Background(), &proxy.Request{
				ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel, Received: now, Deadline: now.Add(test.remaining),
			}, new(fakeSink))
			c.Check(err, qt.IsNil)
			c.Check(sender.attempts, qt.HasLen, 1)
			c.Check(picker.limits, qt.HasLen, 1)
			c.Check(f.Demand.(*fakeDemand).waits, qt.Equals, test.wantWaits)
			c.Check(f.Demand.(*fakeDemand).refusals, qt.Equals, 0)
		})
	}
}
