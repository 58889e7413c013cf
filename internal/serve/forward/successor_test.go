package forward

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/fleet/catalog"
)

// slotPicker picks the first endpoint that was not tried and has a free slot.
type slotPicker struct {
	// freeFrom has the time since the start from which each endpoint has a free slot.
	freeFrom map[ident.Instance]time.Duration
	start    time.Time
}

func (p slotPicker) Pick(now time.Time, endpoints []*catalog.Endpoint, tried []ident.Instance, _ float64) *catalog.Endpoint {
	var free []*catalog.Endpoint
	for _, e := range endpoints {
		if from, hasSlots := p.freeFrom[e.ID]; hasSlots && now.Sub(p.start) >= from {
			free = append(free, e)
		}
	}
	return firstPicker{}.Pick(now, free, tried, 1)
}

// noRetries is a retry budget that is used up.
type noRetries struct{}

func (noRetries) RecordRequest(ident.Service)   {}
func (noRetries) HasRetry(ident.Service) bool   { return false }
func (noRetries) AllowRetry(ident.Service) bool { return false }

// stallReports counts the failures of endpoints that are reported.
type stallReports struct {
	fakeDaemons
	reported map[ident.Instance]int
}

func (f *stallReports) EndpointFailed(e *catalog.Endpoint, _ code.Code) { f.reported[e.ID]++ }

// avoid has the endpoint avoided for the time.
func avoid(f *Forwarder, id ident.Instance, d time.Duration) {
	f.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		if e.ID == id {
			e.Load.AvoidUntil(f.Clock.Now().Add(d))
		}
	})
}

// TestSilentEndpoint guards against an answer that is given up for the silence of its endpoint,
// which is sound, although no other endpoint can take the request over, and against a silence that
// is not reported meanwhile.
func TestSilentEndpoint(t *testing.T) {
	const pause = time.Second
	onlyX := map[ident.Instance]time.Duration{"x": 0}
	tests := map[string]struct {
		path     string
		freeFrom map[ident.Instance]time.Duration
		replies  map[ident.Instance][]scriptedReply
		// usedUp says that the retry budget is used up, and avoided has the endpoints that
		// have failed before.
		usedUp  bool
		avoided []ident.Instance

		wantCode    code.Code
		wantBody    string
		wantServers []ident.Instance
	}{
		"stream, no other replica": {
			path: "/stream/1", freeFrom: onlyX, replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + eventB, silence: pause}}}, wantBody: eventA + eventB, wantServers: []ident.Instance{"x"},
		},
		"stream, no other replica, longer than a sound server's": {
			path: "/stream/1", freeFrom: onlyX, replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + eventB, silence: 2 * pause}}}, wantBody: eventA + eventB, wantServers: []ident.Instance{"x"},
		},
		"stream, retry budget used up": {
			path: "/stream/1", freeFrom: map[ident.Instance]time.Duration{"x": 0, "y": 0}, usedUp: true, replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, silence: pause}}}, wantBody: eventA, wantServers: []ident.Instance{"x"},
		},
		"stream, the others have failed": {
			path: "/stream/1", freeFrom: map[ident.Instance]time.Duration{"x": 0, "y": 0}, avoided: []ident.Instance{"y", "z"}, replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, silence: pause}}}, wantBody: eventA, wantServers: []ident.Instance{"x"},
		},
		"stream, slot free elsewhere": {
			path: "/stream/1", freeFrom: map[ident.Instance]time.Duration{"x": 0, "y": 0}, replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, silence: pause}}, "y": {{body: eventB}}}, wantBody: eventA + eventB, wantServers: []ident.Instance{"x", "y"},
		},
		"stream, slot free elsewhere later": {
			path: "/stream/1", freeFrom: map[ident.Instance]time.Duration{"x": 0, "y": 500 * time.Millisecond}, replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, silence: pause}}, "y": {{body: eventB}}}, wantBody: eventA + eventB, wantServers: []ident.Instance{"x", "y"},
		},
		"stream, before the first event": {
			path: "/stream/1", freeFrom: onlyX, replies: map[ident.Instance][]scriptedReply{"x": {{silence: pause, then: eventA}}}, wantBody: eventA, wantServers: []ident.Instance{"x"},
		},
		"stream, before the first event, for good": {
			path: "/stream/1", freeFrom: onlyX, replies: map[ident.Instance][]scriptedReply{"x": {{silence: time.Minute}}}, wantCode: code.Stalled, wantServers: []ident.Instance{"x"},
		},
		"safe, no other server": {
			path: "/safe/1", freeFrom: map[ident.Instance]time.Duration{"a": 0}, replies: map[ident.Instance][]scriptedReply{"a": {{body: "done", silence: pause}}}, wantBody: "done", wantServers: []ident.Instance{"a"},
		},
		"safe, retry budget used up": {
			path: "/safe/1", freeFrom: map[ident.Instance]time.Duration{"a": 0, "b": 0}, usedUp: true, replies: map[ident.Instance][]scriptedReply{"a": {{body: "done", silence: pause}}}, wantBody: "done", wantServers: []ident.Instance{"a"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestForwarder(&fakeSender{clock: clockwork.NewFakeClock(), replies: test.replies})
			f.Picker = slotPicker{freeFrom: test.freeFrom, start: f.Clock.Now()}
			failed := &stallReports{reported: make(map[ident.Instance]int)}
			f.Observer = failed
			if test.usedUp {
				f.RetryBudget = noRetries{}
			}
			for _, id := range test.avoided {
				avoid(f, id, 2*pause)
			}
			sink := &fakeSink{}
			// A request that waits for a slot would wait for good, as the clock stands still.
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			err := f.Forward(ctx, &proxy.Request{
				ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel, Received: f.Clock.Now(),
			}, sink)
			c.Check(code.Of(err) == code.Answered, qt.Equals, test.wantCode == 0, qt.Commentf("%v", err))
			if test.wantCode != 0 {
				c.Check(code.Of(err), qt.Equals, test.wantCode)
			}
			c.Check(string(sink.body), qt.Equals, test.wantBody)
			c.Check(sink.aborted, qt.IsFalse)
			var servers []ident.Instance
			for _, a := range f.Sender.(*fakeSender).attempts {
				servers = append(servers, a.Server)
			}
			c.Check(servers, qt.DeepEquals, test.wantServers)
			c.Check(failed.reported[test.wantServers[0]] > 0, qt.IsTrue, qt.Commentf("the silence was not reported"))
		})
	}
}
