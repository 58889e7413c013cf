package forward

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/balance"
)

// TestDemand guards against demand that counts a request again when it is passed on, resumed or
// repeated, that leaves out refused requests, or that counts requests that are not admitted.
func TestDemand(t *testing.T) {
	event := []scriptedReply{{body: eventA}}
	tests := map[string]struct {
		path    string
		key     string
		replies map[ident.Instance][]scriptedReply
		relayed *proxy.Relay
		// noEndpoint says that no endpoint can be chosen.
		noEndpoint                            bool
		wantArrivals, wantRefusals, wantWaits int
	}{
		"served":                    {path: "/stream/1", key: "k", replies: map[ident.Instance][]scriptedReply{"x": event}, wantArrivals: 1},
		"resumed elsewhere":         {path: "/stream/1", key: "k", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, bodyCutOff: true}}, "y": {{body: eventB}}}, wantArrivals: 1},
		"repeated":                  {path: "/stream/1", key: "k", replies: map[ident.Instance][]scriptedReply{"x": {{unreachable: true}}, "y": event}, wantArrivals: 1},
		"refused after a wait":      {path: "/stream/1", key: "k", noEndpoint: true, wantArrivals: 1, wantRefusals: 1, wantWaits: 1},
		"passed on by another":      {path: "/stream/1", key: "k", relayed: &proxy.Relay{From: "o"}, replies: map[ident.Instance][]scriptedReply{"x": event}},
		"passed on and refused":     {path: "/stream/1", key: "k", relayed: &proxy.Relay{From: "o"}, noEndpoint: true, wantWaits: 1},
		"without a valid key":       {path: "/stream/1"},
		"without a route":           {path: "/none", key: "k"},
		"refused by every endpoint": {path: "/stream/1", key: "k", replies: map[ident.Instance][]scriptedReply{"x": {{status: 503, disposition: proxy.Refused}}, "y": {{status: 503, disposition: proxy.Refused}}}, wantArrivals: 1, wantRefusals: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			f := newTestForwarder(&fakeSender{clock: clk, replies: test.replies})
			if test.noEndpoint {
				f.Picker = emptyPicker{}
			}
			meter := f.Demand.(*fakeDemand)
			done := make(chan error, 1)
			go func() {
				done <- f.Forward(context.Background(), &proxy.Request{
					ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: test.key, Model: testModel,
					PromptTokens: 100, OutputTokens: 10, Received: clk.Now(), Deadline: clk.Now().Add(4 * time.Second), Relayed: test.relayed,
				}, new(fakeSink))
			}()
			_ = waitFor(clk, done, test.wantWaits > 0)
			c.Check(meter.arrivals, qt.Equals, test.wantArrivals)
			c.Check(meter.refusals, qt.Equals, test.wantRefusals)
			c.Check(meter.waits, qt.Equals, test.wantWaits)
			// 100 prompt tokens at 50,000 a second and 10 steps of 6 ms.
			c.Check(meter.work, qt.Equals, time.Duration(test.wantArrivals)*64*time.Millisecond)
		})
	}
}

// TestWorkAtEndpoint guards against prompts that count as pending after the first event, and against
// work that still counts after the end of a request, however it ends.
func TestWorkAtEndpoint(t *testing.T) {
	tests := map[string]map[ident.Instance][]scriptedReply{
		"served":                   {"x": {{body: eventA}}},
		"ends before an event":     {"x": {{}}},
		"resumed elsewhere":        {"x": {{body: eventA, bodyCutOff: true}}, "y": {{body: eventB}}},
		"cut off without an event": {"x": {{bodyCutOff: true}}, "y": {{body: eventB}}},
		"unreachable":              {"x": {{unreachable: true}}, "y": {{body: eventA}}},
		"refused":                  {"x": {{status: 503, disposition: proxy.Refused}}, "y": {{status: 503, disposition: proxy.Refused}}},
		"no stream":                {"x": {{status: 400, body: "bad"}}},
	}
	for name, replies := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			sender := &loadCheckingSender{fakeSender: &fakeSender{clock: clk, replies: replies}}
			f := newTestForwarder(sender.fakeSender)
			f.Sender, sender.endpoints = sender, f.Catalog.Current().ModelEndpoints(engines, testModel)
			sink := &loadCheckingSink{sender: sender}
			_ = f.Forward(context.Background(), &proxy.Request{
				ID: "r", Method: "POST", Host: "h", Target: "/stream/1", Path: "/stream/1", Credential: "k", Model: testModel,
				PromptTokens: 100, OutputTokens: 10, Received: clk.Now(), Deadline: clk.Now().Add(4 * time.Second),
			}, sink)
			c.Check(len(sender.pendingPrefill) > 0, qt.IsTrue)
			for i := range sender.pendingPrefill {
				c.Check(sender.pendingPrefill[i], qt.Equals, unit.Tokens(100))
				c.Check(sender.work[i], qt.Equals, 64*time.Millisecond)
			}
			if len(sink.body) > 0 && sink.status == 200 {
				c.Check(sink.pendingPrefill, qt.Equals, unit.Tokens(0))
				c.Check(sink.work, qt.Equals, 64*time.Millisecond)
			}
			pendingPrefill, work := sender.load()
			c.Check(pendingPrefill, qt.Equals, unit.Tokens(0))
			c.Check(work, qt.Equals, time.Duration(0))
		})
	}
}

// loadCheckingSender records the load of the endpoints at each attempt.
type loadCheckingSender struct {
	*fakeSender
	endpoints      []*catalog.Endpoint
	pendingPrefill []unit.Tokens
	work           []time.Duration
}

func (s *loadCheckingSender) load() (pendingPrefill unit.Tokens, work time.Duration) {
	for _, e := range s.endpoints {
		pendingPrefill += e.Load.PendingPrefill() + e.Load.PeerPendingPrefill()
		work += e.Load.TotalWork()
	}
	return pendingPrefill, work
}

func (s *loadCheckingSender) Send(ctx context.Context, a *proxy.Attempt, keepWaiting func(time.Duration) bool) (Reply, error) {
	pendingPrefill, work := s.load()
	s.pendingPrefill, s.work = append(s.pendingPrefill, pendingPrefill), append(s.work, work)
	return s.fakeSender.Send(ctx, a, keepWaiting)
}

// loadCheckingSink records the load of the endpoints when an event is written.
type loadCheckingSink struct {
	fakeSink
	sender         *loadCheckingSender
	pendingPrefill unit.Tokens
	work           time.Duration
}

func (s *loadCheckingSink) Write(p []byte) error {
	s.pendingPrefill, s.work = s.sender.load()
	return s.fakeSink.Write(p)
}

// emptyPicker picks no endpoint.
type emptyPicker struct{}

func (emptyPicker) Pick(time.Time, []*catalog.Endpoint, balance.Request) *catalog.Endpoint {
	return nil
}
