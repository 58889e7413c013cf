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

const (
	eventA = "id: 1\ndata: a\n\n"
	eventB = "id: 2\ndata: b\n\n"
	eventC = "id: 3\ndata: c\n\n"
)

type forwardTest struct {
	path       string
	key        string
	resume     proxy.EventID
	runs       map[ident.Instance][]fakeRun
	callerLeft bool

	code    code.Code
	outcome code.Outcome
	status  int
	body    string
	aborted bool
	sent    []ident.Instance
	resumed []proxy.EventID
}

// TestForward guards against a request that runs twice though it must not, a
// refusal of one that may have run, a stream with events missing or twice, an
// answer that is cut off and looks whole, and a failure kept from a caller who
// could have been served elsewhere.
func TestForward(t *testing.T) {
	ok := []fakeRun{{body: "done"}}
	tests := map[string]forwardTest{
		"safe":                           {path: "/safe/1", runs: map[ident.Instance][]fakeRun{"a": ok}, status: 200, body: "done", sent: []ident.Instance{"a"}},
		"unknown path":                   {path: "/none/1", code: code.UnknownPath, outcome: code.NotRun},
		"unknown key":                    {path: "/safe/1", key: "x", code: code.UnknownOrganisation, outcome: code.NotRun},
		"public without a key":           {path: "/open/1", key: "x", runs: map[ident.Instance][]fakeRun{"a": ok}, status: 200, body: "done", sent: []ident.Instance{"a"}},
		"safe after a reset":             {path: "/safe/1", runs: map[ident.Instance][]fakeRun{"a": {{reset: true}}, "b": ok}, status: 200, body: "done", sent: []ident.Instance{"a", "b"}},
		"safe after a broken body":       {path: "/safe/1", runs: map[ident.Instance][]fakeRun{"a": {{body: "do", broken: true}}, "b": ok}, status: 200, body: "done", sent: []ident.Instance{"a", "b"}},
		"safe after a failure":           {path: "/safe/1", runs: map[ident.Instance][]fakeRun{"a": {{status: 500, body: "bad"}}, "b": ok}, status: 200, body: "done", sent: []ident.Instance{"a", "b"}},
		"safe, the failure is passed on": {path: "/safe/1", runs: map[ident.Instance][]fakeRun{"a": {{status: 500, body: "bad"}}, "b": {{reset: true}}}, status: 500, body: "bad", sent: []ident.Instance{"a", "b"}},
		"safe at a silent server":        {path: "/safe/1", runs: map[ident.Instance][]fakeRun{"a": {{silent: time.Minute}}, "b": ok}, status: 200, body: "done", sent: []ident.Instance{"a", "b"}},
		"safe fails twice":               {path: "/safe/1", runs: map[ident.Instance][]fakeRun{"a": {{reset: true}}, "b": {{reset: true}}}, code: code.CutOff, outcome: code.Unknown, sent: []ident.Instance{"a", "b"}},
		"unsafe":                         {path: "/unsafe/1", runs: map[ident.Instance][]fakeRun{"a": ok}, status: 200, body: "done", sent: []ident.Instance{"a"}},
		"unsafe, the failure is passed on": {
			path: "/unsafe/1", runs: map[ident.Instance][]fakeRun{"a": {{status: 500, body: "bad"}}, "b": ok}, status: 500, body: "bad", sent: []ident.Instance{"a"},
		},
		"unsafe after a reset is not sent again": {
			path: "/unsafe/1", runs: map[ident.Instance][]fakeRun{"a": {{reset: true}}, "b": ok}, code: code.CutOff, outcome: code.Unknown, sent: []ident.Instance{"a"},
		},
		"unsafe without a connection is sent elsewhere": {
			path: "/unsafe/1", runs: map[ident.Instance][]fakeRun{"a": {{refused: true}}, "b": ok}, status: 200, body: "done", sent: []ident.Instance{"a", "b"},
		},
		"unsafe that a server refused": {
			path: "/unsafe/1", runs: map[ident.Instance][]fakeRun{"a": {{status: 503, verdict: proxy.Refused}}, "b": ok}, code: code.Overloaded, outcome: code.NotRun, sent: []ident.Instance{"a"},
		},
		"stream": {path: "/stream/1", runs: map[ident.Instance][]fakeRun{"x": {{body: eventA + eventB}}}, status: 200, body: eventA + eventB, sent: []ident.Instance{"x"}, resumed: []proxy.EventID{0}},
		"stream resumed by its caller": {
			path: "/stream/1", resume: 1, runs: map[ident.Instance][]fakeRun{"x": {{body: eventB}}}, status: 200, body: eventB, sent: []ident.Instance{"x"}, resumed: []proxy.EventID{1},
		},
		"stream goes on elsewhere": {
			path: "/stream/1", runs: map[ident.Instance][]fakeRun{"x": {{body: eventA + "id: 2\nda", broken: true}}, "y": {{body: eventB + eventC}}},
			status: 200, body: eventA + eventB + eventC, sent: []ident.Instance{"x", "y"}, resumed: []proxy.EventID{0, 1},
		},
		"stream goes on after a silence": {
			path: "/stream/1", runs: map[ident.Instance][]fakeRun{"x": {{body: eventA, silent: time.Minute}}, "y": {{body: eventB}}},
			status: 200, body: eventA + eventB, sent: []ident.Instance{"x", "y"}, resumed: []proxy.EventID{0, 1},
		},
		"stream that ends in an event is broken": {
			path: "/stream/1", runs: map[ident.Instance][]fakeRun{"x": {{body: eventA + "id: 2\nda"}}, "y": {{body: eventB}}},
			status: 200, body: eventA + eventB, sent: []ident.Instance{"x", "y"}, resumed: []proxy.EventID{0, 1},
		},
		"stream breaks twice": {
			path: "/stream/1", runs: map[ident.Instance][]fakeRun{"x": {{body: eventA, broken: true}}, "y": {{body: eventB, broken: true}}},
			code: code.CutOff, outcome: code.Unknown, status: 200, body: eventA + eventB, aborted: true, sent: []ident.Instance{"x", "y"}, resumed: []proxy.EventID{0, 1},
		},
		"stream with an event missing": {
			path: "/stream/1", runs: map[ident.Instance][]fakeRun{"x": {{body: eventA, broken: true}}, "y": {{body: eventC}}},
			code: code.ForeignAnswer, outcome: code.Unknown, status: 200, body: eventA, aborted: true, sent: []ident.Instance{"x", "y"}, resumed: []proxy.EventID{0, 1},
		},
		"stream that another server answers": {
			path: "/stream/1", runs: map[ident.Instance][]fakeRun{"x": {{status: 421, verdict: proxy.Misdirected}}, "y": {{body: eventA}}},
			status: 200, body: eventA, sent: []ident.Instance{"x", "y"}, resumed: []proxy.EventID{0, 0},
		},
		"stream refused everywhere": {
			path: "/stream/1", runs: map[ident.Instance][]fakeRun{"x": {{status: 503, verdict: proxy.Refused}}, "y": {{status: 503, verdict: proxy.Refused}}},
			code: code.Overloaded, outcome: code.NotRun, sent: []ident.Instance{"x", "y"}, resumed: []proxy.EventID{0, 0},
		},
		"stream that may not be resumed": {
			path: "/once/1", runs: map[ident.Instance][]fakeRun{"x": {{body: eventA, broken: true}}, "y": {{body: eventB}}},
			code: code.CutOff, outcome: code.Unknown, status: 200, body: eventA, aborted: true, sent: []ident.Instance{"x"}, resumed: []proxy.EventID{0},
		},
		"stream whose caller leaves": {
			path: "/stream/1", callerLeft: true, runs: map[ident.Instance][]fakeRun{"x": {{body: eventA + eventB}}, "y": {{body: eventB}}},
			code: code.CallerClosed, outcome: code.Ran, status: 200, aborted: true, sent: []ident.Instance{"x"}, resumed: []proxy.EventID{0},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test.check(qt.New(t)) })
	}
}

func (test forwardTest) check(c *qt.C) {
	clk := clockwork.NewFakeClock()
	sender := &fakeSender{clock: clk, runs: test.runs}
	f := newForwarder(sender)
	key := test.key
	if key == "" {
		key = "k"
	}
	r := &proxy.Request{
		ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: key, Model: testModel,
		Received: clk.Now(), Deadline: clk.Now().Add(3 * time.Second), LastEventID: test.resume,
	}
	sink := &fakeSink{callerLeft: test.callerLeft}
	err := f.Forward(context.Background(), r, sink)
	if test.code == 0 {
		c.Assert(err, qt.IsNil)
		c.Check(sink.ended, qt.IsTrue)
	} else {
		c.Check(code.Of(err), qt.Equals, test.code, qt.Commentf("%v", err))
		c.Check(code.OutcomeOf(err), qt.Equals, test.outcome)
		c.Check(sink.ended, qt.IsFalse)
	}
	c.Check(sink.status, qt.Equals, test.status)
	c.Check(string(sink.body), qt.Equals, test.body)
	c.Check(sink.aborted, qt.Equals, test.aborted)
	var sent []ident.Instance
	var resumed []proxy.EventID
	for _, a := range sender.attempts {
		sent = append(sent, a.Server)
		resumed = append(resumed, a.ResumeAfter)
		c.Check(a.Timeout > 0, qt.IsTrue)
	}
	c.Check(sent, qt.DeepEquals, test.sent)
	if test.resumed != nil {
		c.Check(resumed, qt.DeepEquals, test.resumed)
	}
}

// TestPoison guards against a request that crashes one server after the other as
// its caller repeats it, and against a refusal of one whose answers only broke
// off.
func TestPoison(t *testing.T) {
	broken := func() map[ident.Instance][]fakeRun {
		return map[ident.Instance][]fakeRun{
			"a": {{reset: true}, {body: "done"}}, "b": {{body: "do", broken: true}},
			"x": {{body: eventA, broken: true}, {body: eventA}}, "y": {{reset: true}},
		}
	}
	tests := map[string]struct {
		path    string
		crashes bool
		// ran says that an equal request has run before.
		ran     bool
		refused bool
	}{
		"safe, the servers crash":         {path: "/safe/1", crashes: true, refused: true},
		"safe, the answers break off":     {path: "/safe/1"},
		"safe, an equal one has run":      {path: "/safe/1", crashes: true, ran: true},
		"a stream, an equal one has run":  {path: "/stream/1", crashes: true, ran: true},
		"a stream, the servers crash":     {path: "/stream/1", crashes: true, refused: true},
		"a stream, the answers break off": {path: "/stream/1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sender := &fakeSender{clock: clockwork.NewFakeClock(), runs: broken(), crashes: test.crashes}
			f := newForwarder(sender)
			forward := func(id ident.Request, fingerprint ident.Fingerprint) error {
				return f.Forward(context.Background(), &proxy.Request{
					ID: id, Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel,
					Received: f.Clock.Now(), Fingerprint: fingerprint,
				}, &fakeSink{})
			}
			if test.ran {
				sender.runs = map[ident.Instance][]fakeRun{"a": {{body: "done"}}, "x": {{body: eventA}}}
				c.Check(forward("r0", 7), qt.IsNil)
				sender.runs, sender.attempts = broken(), nil
			}
			c.Check(code.Of(forward("r1", 7)), qt.Equals, code.CutOff)
			sent := len(sender.attempts)
			c.Check(sent, qt.Equals, 2)
			err := forward("r2", 7)
			if !test.refused {
				c.Check(err, qt.IsNil)
				return
			}
			c.Check(code.Of(err), qt.Equals, code.PoisonRequest)
			c.Check(code.OutcomeOf(err), qt.Equals, code.NotRun)
			c.Check(sender.attempts, qt.HasLen, sent)
			c.Check(forward("r3", 8), qt.IsNil, qt.Commentf("another request"))
		})
	}
}

// TestNotReady guards against a daemon that answers 404 or 401 for what it does
// not know yet.
func TestNotReady(t *testing.T) {
	c := qt.New(t)
	f := newForwarder(&fakeSender{clock: clockwork.NewFakeClock()})
	f.Catalog = emptyCatalog{}
	err := f.Forward(context.Background(), &proxy.Request{Host: "h", Path: "/safe/1"}, &fakeSink{})
	c.Check(code.Of(err), qt.Equals, code.NotReady)
	c.Check(code.OutcomeOf(err), qt.Equals, code.NotRun)
}
