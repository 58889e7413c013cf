package forward

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/fleet/catalog"
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
			c.Check(meter.work, qt.Equals, time.Duration(test.wantArrivals)*62*time.Millisecond)
		})
	}
}

// emptyPicker picks no endpoint.
type emptyPicker struct{}

func (emptyPicker) Pick(time.Time, []*catalog.Endpoint, []ident.Instance) *catalog.Endpoint {
	return nil
}
