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
	"cuminbay/internal/serve/poison"
)

// failedEndpoints records the endpoints that failed.
type failedEndpoints struct {
	fakeDaemons
	failed []ident.Instance
}

func (f *failedEndpoints) EndpointFailed(e *catalog.Endpoint, _ code.Code) {
	f.failed = append(f.failed, e.ID)
}

// sentAttempt is an attempt at a server, on a new connection or on one that may have been kept.
type sentAttempt struct {
	Server        ident.Instance
	NewConnection bool
}

// TestEndpointFailures guards against an endpoint whose server has restarted, or left its
// replica, and which attracts all requests as it rejects them at once and has none in flight. It
// also guards against a sound endpoint that is avoided since it closed an idle connection.
func TestEndpointFailures(t *testing.T) {
	misdirected := scriptedReply{status: 421, disposition: proxy.Misdirected}
	tests := map[string]struct {
		path           string
		replies        map[ident.Instance][]scriptedReply
		serversCrashed bool
		cutOff         bool
		wantFailed     []ident.Instance
		wantAttempts   []sentAttempt
	}{
		"misdirected, stream": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {misdirected}, "y": {{body: eventA}}},
			wantFailed: []ident.Instance{"x"}, wantAttempts: []sentAttempt{{"x", false}, {"y", false}},
		},
		"misdirected, plain": {
			path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {misdirected}}, wantFailed: []ident.Instance{"a"}, wantAttempts: []sentAttempt{{"a", true}},
		},
		"full server":     {path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {{status: 503, disposition: proxy.Refused}}}, wantAttempts: []sentAttempt{{"a", true}}},
		"event missing":   {path: "/not-resumable/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + eventC}}}, wantAttempts: []sentAttempt{{"x", true}}},
		"error of server": {path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {{status: 500}}}, wantAttempts: []sentAttempt{{"a", true}}},
		"kept connection closed, stream": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{closed: true}, {body: eventA}}}, wantAttempts: []sentAttempt{{"x", false}, {"x", true}},
		},
		"kept connection closed, plain": {
			path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {{closed: true}, {body: "done"}}}, wantAttempts: []sentAttempt{{"a", false}, {"a", true}},
		},
		"kept connection closed by a crash": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{closed: true}}, "y": {{body: eventA}}}, serversCrashed: true,
			wantFailed: []ident.Instance{"x"}, wantAttempts: []sentAttempt{{"x", false}, {"y", true}},
		},
		"connection lost with all links, plain": {
			path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {{reset: true}}, "b": {{reset: true}}}, serversCrashed: true, cutOff: true,
			wantAttempts: []sentAttempt{{"a", false}, {"b", false}},
		},
		"kept connection lost with all links": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{closed: true}, {unreachable: true}}, "y": {{body: eventA}}}, serversCrashed: true, cutOff: true,
			wantAttempts: []sentAttempt{{"x", false}, {"x", true}, {"y", true}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			sender := &fakeSender{clock: clk, replies: test.replies, serversCrashed: test.serversCrashed}
			f := newTestForwarder(sender)
			f.Links = &fakeLinks{cutOff: test.cutOff}
			observer := new(failedEndpoints)
			f.Observer = observer
			// The result of the request is tested elsewhere.
			_ = f.Forward(context.Background(), &proxy.Request{
				ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel, Received: clk.Now(),
			}, new(fakeSink))
			c.Check(observer.failed, qt.DeepEquals, test.wantFailed)
			if test.cutOff {
				c.Check(f.Poison.(*poison.Detector).CrashReport(time.Minute), qt.HasLen, 0, qt.Commentf("a lost link is taken for a crash during the request"))
			}
			var attempts []sentAttempt
			for _, a := range sender.attempts {
				attempts = append(attempts, sentAttempt{a.Server, a.NewConnection})
			}
			c.Check(attempts, qt.DeepEquals, test.wantAttempts)
			snapshot := f.Catalog.Current()
			var avoided []ident.Instance
			for _, e := range append(snapshot.PlainEndpoints(ledger), snapshot.ModelEndpoints(engines, testModel)...) {
				if e.Load.Avoided(clk.Now()) {
					avoided = append(avoided, e.ID)
				}
			}
			c.Check(avoided, qt.DeepEquals, test.wantFailed)
		})
	}
}
