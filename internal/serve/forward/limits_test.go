package forward

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/balance"
	"cuminbay/internal/route/ratelimit"
)

// TestLimits guards against requests that wait although every server is at the limit that it
// names or wants a pause, against a rejection without the time of the next admission, against a
// limit that a server named for another one, against an interrupted stream that is given up for a
// limit, and against a request that may have run and is refused as not run.
func TestLimits(t *testing.T) {
	limit := unit.RequestRate(2)
	reply := func(r scriptedReply) []scriptedReply { return []scriptedReply{r, r} }
	tests := map[string]struct {
		// limited are the servers that have named a limit, which is used up.
		limited []ident.Instance
		// paused are the servers that want no requests for longer than a request waits.
		paused  []ident.Instance
		path    string
		replies map[ident.Instance][]scriptedReply
		// wait lets time pass during the request.
		wait       bool
		wantCode   code.Code
		wantServer ident.Instance
		// wantLimited are the plain servers that are at a limit or paused afterwards.
		wantLimited []ident.Instance
	}{
		"all at their limits":         {limited: []ident.Instance{"a", "b"}, path: "/safe/1", wantCode: code.Overloaded, wantLimited: []ident.Instance{"a", "b"}},
		"unsafe, all at their limits": {limited: []ident.Instance{"a", "b"}, path: "/unsafe/1", wantCode: code.Overloaded, wantLimited: []ident.Instance{"a", "b"}},
		"stream, all at their limits": {limited: []ident.Instance{"x", "y", "z"}, path: "/stream/1", wantCode: code.Overloaded},
		"all paused":                  {paused: []ident.Instance{"a", "b"}, path: "/safe/1", wantCode: code.Overloaded, wantLimited: []ident.Instance{"a", "b"}},
		"one paused, one at a limit":  {limited: []ident.Instance{"a"}, paused: []ident.Instance{"b"}, path: "/unsafe/1", wantCode: code.Overloaded, wantLimited: []ident.Instance{"a", "b"}},
		"one paused":                  {paused: []ident.Instance{"a"}, path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"b": reply(scriptedReply{body: "done"})}, wantServer: "b", wantLimited: []ident.Instance{"a"}},
		"may have run, the other server is paused": {
			paused: []ident.Instance{"b"}, path: "/safe/1", wait: true, wantCode: code.CutOff, wantServer: "a", wantLimited: []ident.Instance{"b"},
			replies: map[ident.Instance][]scriptedReply{"a": reply(scriptedReply{reset: true})},
		},
		"one server without a limit": {limited: []ident.Instance{"a"}, path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"b": reply(scriptedReply{body: "done"})}, wantServer: "b", wantLimited: []ident.Instance{"a"}},
		"limit named in the reply": {
			limited: []ident.Instance{"b"}, path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": reply(scriptedReply{body: "done", limit: &limit})}, wantLimited: []ident.Instance{"a", "b"},
		},
		"limit named by another server at the address": {
			path: "/unsafe/1", wantCode: code.ForeignAnswer,
			replies: map[ident.Instance][]scriptedReply{"a": reply(scriptedReply{status: 421, disposition: proxy.Misdirected, limit: &limit}), "b": reply(scriptedReply{status: 421, disposition: proxy.Misdirected, limit: &limit})},
		},
		"interrupted stream waits": {
			limited: []ident.Instance{"y", "z"}, path: "/stream/1", wait: true, wantServer: "x",
			replies: map[ident.Instance][]scriptedReply{"x": reply(scriptedReply{body: eventA, bodyCutOff: true}), "y": reply(scriptedReply{body: eventB}), "z": reply(scriptedReply{body: eventB})},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			sender := &fakeSender{clock: clk, replies: test.replies}
			f := newTestForwarder(sender)
			limits := f.Limits.(*ratelimit.Limits)
			f.Picker = balance.New(balance.Options{DataCentre: "z", Daemons: fakeDaemons{}, Fleet: fakeDaemons{}, Limits: limits, PlainQueueRatio: 1})
			f.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
				if slices.Contains(test.paused, e.ID) {
					limits.Pause(e, time.Second)
				}
				if slices.Contains(test.limited, e.ID) {
					limits.Observe(e, &limit)
					for at := clk.Now(); !limits.Admit(at, e); at = at.Add(time.Millisecond) {
						continue
					}
				}
			})
			sentAt := clk.Now()
			done := make(chan error, 1)
			go func() {
				done <- f.Forward(context.Background(), &proxy.Request{
					ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel, Received: sentAt,
				}, new(fakeSink))
			}()
			err := waitFor(clk, done, test.wait)
			c.Check(code.Of(err), qt.Equals, cmp.Or(test.wantCode, code.Answered), qt.Commentf("%v", err))
			if test.wantCode == code.Overloaded {
				c.Check(clk.Now(), qt.Equals, sentAt)
				c.Check(code.RetryAfter(err) > 0, qt.IsTrue)
				c.Check(sender.attempts, qt.HasLen, 0)
			}
			if test.wantServer != "" {
				c.Check(sender.attempts[0].Server, qt.Equals, test.wantServer)
			}
			for _, e := range f.Catalog.Current().PlainEndpoints(ledger) {
				_, exhausted := limits.Exhausted(clk.Now(), []*catalog.Endpoint{e})
				c.Check(exhausted, qt.Equals, slices.Contains(test.wantLimited, e.ID), qt.Commentf("%s", e.ID))
			}
		})
	}
}

// TestPauseInRejection guards against a second request to a server that wants none for a time,
// as it has said with its rejection.
func TestPauseInRejection(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	rejection := []scriptedReply{{status: 503, disposition: proxy.Refused, retryAfter: time.Minute}}
	sender := &fakeSender{clock: clk, replies: map[ident.Instance][]scriptedReply{"a": rejection, "b": rejection}}
	f := newTestForwarder(sender)
	f.Picker = balance.New(balance.Options{DataCentre: "z", Daemons: fakeDaemons{}, Fleet: fakeDaemons{}, Limits: f.Limits.(*ratelimit.Limits), PlainQueueRatio: 1})
	for _, id := range []ident.Request{"r1", "r2", "r3"} {
		err := f.Forward(context.Background(), &proxy.Request{
			ID: id, Method: "POST", Host: "h", Target: "/unsafe/1", Path: "/unsafe/1", Credential: "k", Received: clk.Now(),
		}, new(fakeSink))
		c.Check(code.Of(err), qt.Equals, code.Overloaded)
		c.Check(code.OutcomeOf(err), qt.Equals, code.NotRun)
	}
	var servers []ident.Instance
	for _, a := range sender.attempts {
		servers = append(servers, a.Server)
	}
	slices.Sort(servers)
	c.Check(servers, qt.DeepEquals, []ident.Instance{"a", "b"})
}

// waitFor returns the result. If advance is set, time passes while the request waits.
func waitFor(clk *clockwork.FakeClock, done <-chan error, advance bool) error {
	// A waiting request has a timer for its deadline and one for its next check.
	const timersOfWait = 2
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		result <- <-done
		cancel()
	}()
	for advance && clk.BlockUntilContext(ctx, timersOfWait) == nil {
		clk.Advance(queueRecheck)
	}
	return <-result
}
