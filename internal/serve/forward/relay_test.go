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
)

// TestRelay guards against a daemon that refuses requests, or tries one server after the other,
// while it has lost its links and other daemons have not.
func TestRelay(t *testing.T) {
	done := []scriptedReply{{body: "done"}}
	rejected := func(c code.Code) []scriptedReply { return []scriptedReply{{err: c.New("rejected")}} }
	tests := map[string]struct {
		path        string
		cutOff      bool
		unreachable []ident.Instance
		relays      fakeRelays
		replies     map[ident.Instance][]scriptedReply
		relayed     *proxy.Relay

		wantCode code.Code
		wantBody string
		// wantServers are the servers and daemons of the attempts.
		wantServers []ident.Instance
		// waits says that the request waits in the queue for a free slot.
		waits bool
		// wantRuns is what the last daemon is told of earlier runs.
		wantRuns int
	}{
		"links work":               {path: "/unsafe/1", relays: fakeRelays{"p"}, replies: map[ident.Instance][]scriptedReply{"a": done}, wantBody: "done", wantServers: []ident.Instance{"a"}},
		"cut off, unsafe":          {path: "/unsafe/1", cutOff: true, relays: fakeRelays{"p"}, replies: map[ident.Instance][]scriptedReply{"p": done}, wantBody: "done", wantServers: []ident.Instance{"p"}},
		"cut off, safe":            {path: "/safe/1", cutOff: true, relays: fakeRelays{"p"}, replies: map[ident.Instance][]scriptedReply{"p": done}, wantBody: "done", wantServers: []ident.Instance{"p"}},
		"cut off, stream":          {path: "/stream/1", cutOff: true, relays: fakeRelays{"p"}, replies: map[ident.Instance][]scriptedReply{"p": {{body: eventA}}}, wantBody: eventA, wantServers: []ident.Instance{"p"}},
		"cut off, no other daemon": {path: "/safe/1", cutOff: true, replies: map[ident.Instance][]scriptedReply{"a": done}, wantBody: "done", wantServers: []ident.Instance{"a"}},
		"one server unreachable":   {path: "/safe/1", unreachable: []ident.Instance{"a"}, relays: fakeRelays{"p"}, replies: map[ident.Instance][]scriptedReply{"b": done}, wantBody: "done", wantServers: []ident.Instance{"b"}},
		"servers of the service unreachable": {
			path: "/unsafe/1", unreachable: []ident.Instance{"a", "b"}, relays: fakeRelays{"p"}, replies: map[ident.Instance][]scriptedReply{"p": done}, wantBody: "done", wantServers: []ident.Instance{"p"},
		},
		"daemon unreachable": {
			path: "/unsafe/1", cutOff: true, relays: fakeRelays{"p", "q"}, replies: map[ident.Instance][]scriptedReply{"p": {{unreachable: true}}, "q": done}, wantBody: "done", wantServers: []ident.Instance{"p", "q"},
		},
		"daemon stops": {
			path: "/unsafe/1", cutOff: true, relays: fakeRelays{"p", "q"}, replies: map[ident.Instance][]scriptedReply{"p": rejected(code.Draining), "q": done}, wantBody: "done", wantServers: []ident.Instance{"p", "q"},
		},
		"no free slot for the daemon": {
			path: "/safe/1", cutOff: true, relays: fakeRelays{"p", "q"}, replies: map[ident.Instance][]scriptedReply{"p": rejected(code.Overloaded), "q": done}, wantCode: code.Overloaded, wantServers: []ident.Instance{"p"},
		},
		"connection to the daemon reset, unsafe": {
			path: "/unsafe/1", cutOff: true, relays: fakeRelays{"p", "q"}, replies: map[ident.Instance][]scriptedReply{"p": {{reset: true}}, "q": done}, wantCode: code.CutOff, wantServers: []ident.Instance{"p"},
		},
		"connection to the daemon reset, stream": {
			path: "/stream/1", cutOff: true, relays: fakeRelays{"p", "q"}, replies: map[ident.Instance][]scriptedReply{"p": {{body: eventA, bodyCutOff: true}}, "q": {{body: eventB}}},
			wantBody: eventA + eventB, wantServers: []ident.Instance{"p", "q"}, wantRuns: 1,
		},
		"daemon has run it as often as allowed": {
			path: "/safe/1", cutOff: true, relays: fakeRelays{"p", "q"}, replies: map[ident.Instance][]scriptedReply{"p": {{err: code.WithRuns(code.CutOff.New("reset"), 2)}}, "q": done},
			wantCode: code.CutOff, wantServers: []ident.Instance{"p"},
		},
		"daemon has run it once": {
			path: "/safe/1", cutOff: true, relays: fakeRelays{"p", "q"}, replies: map[ident.Instance][]scriptedReply{"p": {{err: code.WithRuns(code.CutOff.New("reset"), 1)}}, "q": done},
			wantBody: "done", wantServers: []ident.Instance{"p", "q"}, wantRuns: 1,
		},
		"error of the server": {path: "/safe/1", cutOff: true, relays: fakeRelays{"p", "q"}, replies: map[ident.Instance][]scriptedReply{"p": {{status: 500, body: "bad"}}, "q": done}, wantBody: "bad", wantServers: []ident.Instance{"p"}},
		"passed on by another daemon": {
			path: "/unsafe/1", relays: fakeRelays{"p"}, relayed: &proxy.Relay{From: "o"}, replies: map[ident.Instance][]scriptedReply{"a": done}, wantBody: "done", wantServers: []ident.Instance{"a"},
		},
		"some servers unreachable, the other one rejects": {
			path: "/safe/1", unreachable: []ident.Instance{"a"}, relays: fakeRelays{"p"}, replies: map[ident.Instance][]scriptedReply{"b": {{status: 503, disposition: proxy.Refused}}}, wantCode: code.Overloaded, wantServers: []ident.Instance{"b"}, waits: true,
		},
		"passed on, servers out of reach of both": {
			path: "/unsafe/1", unreachable: []ident.Instance{"a", "b"}, relays: fakeRelays{"p"}, relayed: &proxy.Relay{From: "o"}, wantCode: code.Overloaded, waits: true,
		},
		"servers out of reach, another daemon fails": {
			path: "/safe/1", unreachable: []ident.Instance{"a", "b"}, relays: fakeRelays{"p", "q"}, replies: map[ident.Instance][]scriptedReply{"p": {{unreachable: true}}, "a": done}, wantBody: "done", wantServers: []ident.Instance{"p", "a"},
		},
		"passed on to a cut-off daemon":                     {path: "/unsafe/1", cutOff: true, relays: fakeRelays{"p"}, relayed: &proxy.Relay{From: "o"}, wantCode: code.EndpointUnreachable},
		"passed on to a daemon with an older configuration": {path: "/unsafe/1", relayed: &proxy.Relay{From: "o", ConfigVersion: 4}, wantCode: code.NotReady},
		"passed on after a run": {
			path: "/safe/1", relayed: &proxy.Relay{From: "o", PossibleRuns: 1}, replies: map[ident.Instance][]scriptedReply{"a": {{reset: true}}, "b": done}, wantCode: code.CutOff, wantServers: []ident.Instance{"a"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			sender := &fakeSender{clock: clk, replies: test.replies}
			f := newTestForwarder(sender)
			f.Links, f.Relays = &fakeLinks{cutOff: test.cutOff}, test.relays
			observer := new(failedEndpoints)
			f.Observer = observer
			for _, e := range f.Catalog.Current().PlainEndpoints(ledger) {
				for _, id := range test.unreachable {
					if e.ID == id {
						e.Load.SetUnreachable(true)
					}
				}
			}
			sink := new(fakeSink)
			done := make(chan error, 1)
			go func() {
				done <- f.Forward(context.Background(), &proxy.Request{
					ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel, Received: clk.Now(),
					Deadline: clk.Now().Add(4 * time.Second), Relayed: test.relayed,
				}, sink)
			}()
			err := waitFor(clk, done, test.waits)
			if test.wantCode == 0 {
				c.Assert(err, qt.IsNil)
			} else {
				c.Check(code.Of(err), qt.Equals, test.wantCode)
			}
			c.Check(string(sink.body), qt.Equals, test.wantBody)
			var servers []ident.Instance
			runs := 0
			for _, a := range sender.attempts {
				servers = append(servers, a.Server)
				if a.Relay != nil {
					c.Check(a.Relay.ConfigVersion, qt.Equals, uint64(3))
					runs = a.Relay.PossibleRuns
				}
			}
			c.Check(servers, qt.DeepEquals, test.wantServers)
			c.Check(runs, qt.Equals, test.wantRuns)
			for _, id := range observer.failed {
				c.Check(test.relays, qt.Not(qt.Contains), id, qt.Commentf("a daemon is reported as a failed endpoint"))
			}
		})
	}
}
