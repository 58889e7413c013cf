package forward

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

const (
	eventA = "id: 1\ndata: a\n\n"
	eventB = "id: 2\ndata: b\n\n"
	eventC = "id: 3\ndata: c\n\n"
)

type forwardTest struct {
	path               string
	key                string
	lastEventID        proxy.EventID
	replies            map[ident.Instance][]scriptedReply
	callerDisconnected bool

	wantCode        code.Code
	wantOutcome     code.Outcome
	wantStatus      int
	wantBody        string
	wantAborted     bool
	wantServers     []ident.Instance
	wantResumeAfter []proxy.EventID
}

// TestForward guards against a second run of an unsafe request, a refusal as not run
// of a request that may have run, a stream with missing or repeated events, an answer
// that was cut off but looks complete, and a failure that another server could have
// avoided.
func TestForward(t *testing.T) {
	doneReply := []scriptedReply{{body: "done"}}
	tests := map[string]forwardTest{
		"safe":                         {path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": doneReply}, wantStatus: 200, wantBody: "done", wantServers: []ident.Instance{"a"}},
		"unknown path":                 {path: "/none/1", wantCode: code.UnknownPath, wantOutcome: code.NotRun},
		"unknown key":                  {path: "/safe/1", key: "x", wantCode: code.UnknownOrganisation, wantOutcome: code.NotRun},
		"public, unknown key":          {path: "/public/1", key: "x", replies: map[ident.Instance][]scriptedReply{"a": doneReply}, wantStatus: 200, wantBody: "done", wantServers: []ident.Instance{"a"}},
		"safe, connection reset":       {path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {{reset: true}}, "b": doneReply}, wantStatus: 200, wantBody: "done", wantServers: []ident.Instance{"a", "b"}},
		"safe, body cut off":           {path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {{body: "do", bodyCutOff: true}}, "b": doneReply}, wantStatus: 200, wantBody: "done", wantServers: []ident.Instance{"a", "b"}},
		"safe, error status":           {path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {{status: 500, body: "bad"}}, "b": doneReply}, wantStatus: 200, wantBody: "done", wantServers: []ident.Instance{"a", "b"}},
		"safe, error status forwarded": {path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {{status: 500, body: "bad"}}, "b": {{reset: true}}}, wantStatus: 500, wantBody: "bad", wantServers: []ident.Instance{"a", "b"}},
		"safe, server stalled":         {path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {{silence: time.Minute}}, "b": doneReply}, wantStatus: 200, wantBody: "done", wantServers: []ident.Instance{"a", "b"}},
		"safe, two connection resets":  {path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {{reset: true}}, "b": {{reset: true}}}, wantCode: code.CutOff, wantOutcome: code.Unknown, wantServers: []ident.Instance{"a", "b"}},
		"unsafe":                       {path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": doneReply}, wantStatus: 200, wantBody: "done", wantServers: []ident.Instance{"a"}},
		"unsafe, error status forwarded": {
			path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {{status: 500, body: "bad"}}, "b": doneReply}, wantStatus: 500, wantBody: "bad", wantServers: []ident.Instance{"a"},
		},
		"unsafe, connection reset, not retried": {
			path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {{reset: true}}, "b": doneReply}, wantCode: code.CutOff, wantOutcome: code.Unknown, wantServers: []ident.Instance{"a"},
		},
		"unsafe, server unreachable, retried": {
			path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {{unreachable: true}}, "b": doneReply}, wantStatus: 200, wantBody: "done", wantServers: []ident.Instance{"a", "b"},
		},
		"unsafe, refused by the server": {
			path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {{status: 503, disposition: proxy.Refused}}, "b": doneReply}, wantCode: code.Overloaded, wantOutcome: code.NotRun, wantServers: []ident.Instance{"a"},
		},
		"stream": {path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + eventB}}}, wantStatus: 200, wantBody: eventA + eventB, wantServers: []ident.Instance{"x"}, wantResumeAfter: []proxy.EventID{0}},
		"stream, resumed by the caller": {
			path: "/stream/1", lastEventID: 1, replies: map[ident.Instance][]scriptedReply{"x": {{body: eventB}}}, wantStatus: 200, wantBody: eventB, wantServers: []ident.Instance{"x"}, wantResumeAfter: []proxy.EventID{1},
		},
		"stream, cut off, resumed at another server": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + "id: 2\nda", bodyCutOff: true}}, "y": {{body: eventB + eventC}}},
			wantStatus: 200, wantBody: eventA + eventB + eventC, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, server stalled, resumed at another server": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, silence: time.Minute}}, "y": {{body: eventB}}},
			wantStatus: 200, wantBody: eventA + eventB, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, cut off, rejected by a second server, resumed at a third": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{
				"x": {{body: eventA, bodyCutOff: true}}, "y": {{status: 421, disposition: proxy.Misdirected}}, "z": {{body: eventB + eventC}},
			},
			wantStatus: 200, wantBody: eventA + eventB + eventC, wantServers: []ident.Instance{"x", "y", "z"}, wantResumeAfter: []proxy.EventID{0, 1, 1},
		},
		"stream, end within an event, resumed at another server": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + "id: 2\nda"}}, "y": {{body: eventB}}},
			wantStatus: 200, wantBody: eventA + eventB, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, cut off twice": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, bodyCutOff: true}}, "y": {{body: eventB, bodyCutOff: true}}},
			wantCode: code.CutOff, wantOutcome: code.Unknown, wantStatus: 200, wantBody: eventA + eventB, wantAborted: true, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, event missing after the resumption": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, bodyCutOff: true}}, "y": {{body: eventC}}},
			wantCode: code.ForeignAnswer, wantOutcome: code.Unknown, wantStatus: 200, wantBody: eventA, wantAborted: true, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, cut off, long pause at the last server that may be tried": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, bodyCutOff: true}}, "y": {{body: eventB, silence: 2 * time.Second}}},
			wantStatus: 200, wantBody: eventA + eventB, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, pause before the first event at the last server that may be tried": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{reset: true}}, "y": {{silence: 2 * time.Second}}},
			wantCode: code.Stalled, wantOutcome: code.Unknown, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 0},
		},
		"stream, event missing, the one before it arrives in the same read": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + eventC}}, "y": {{body: eventB + eventC}}},
			wantStatus: 200, wantBody: eventA + eventB + eventC, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, misdirected": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{status: 421, disposition: proxy.Misdirected}}, "y": {{body: eventA}}},
			wantStatus: 200, wantBody: eventA, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 0},
		},
		"stream, refused by all servers": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{status: 503, disposition: proxy.Refused}}, "y": {{status: 503, disposition: proxy.Refused}}},
			wantCode: code.Overloaded, wantOutcome: code.NotRun, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 0},
		},
		"stream, cut off, not resumable": {
			path: "/not-resumable/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, bodyCutOff: true}}, "y": {{body: eventB}}},
			wantCode: code.CutOff, wantOutcome: code.Unknown, wantStatus: 200, wantBody: eventA, wantAborted: true, wantServers: []ident.Instance{"x"}, wantResumeAfter: []proxy.EventID{0},
		},
		"safe, body without end": {
			path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {{body: "do", flood: true}}, "b": doneReply}, wantStatus: 200, wantBody: "done", wantServers: []ident.Instance{"a", "b"},
		},
		"safe, any length announced": {
			path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {{body: "do", length: math.MaxInt64}}, "b": doneReply}, wantStatus: 200, wantBody: "done", wantServers: []ident.Instance{"a", "b"},
		},
		"unsafe, body without end": {
			path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {{flood: true}}, "b": doneReply}, wantCode: code.CutOff, wantOutcome: code.Unknown, wantServers: []ident.Instance{"a"},
		},
		"stream, event without end": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, flood: true}}, "y": {{body: eventB}}},
			wantStatus: 200, wantBody: eventA + eventB, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, stalled but a byte now and then": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, trickle: 40 * time.Millisecond}}, "y": {{body: eventB}}},
			wantStatus: 200, wantBody: eventA + eventB, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, a byte now and then before the first event": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{trickle: 40 * time.Millisecond}}, "y": {{body: eventA}}},
			wantStatus: 200, wantBody: eventA, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 0},
		},
		"stream, slow but sound": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + eventB, silence: 150 * time.Millisecond}}},
			wantStatus: 200, wantBody: eventA + eventB, wantServers: []ident.Instance{"x"}, wantResumeAfter: []proxy.EventID{0},
		},
		"stream, cut off, error status from the second server": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, bodyCutOff: true}}, "y": {{status: 500, body: "broken\n\n"}}},
			wantCode: code.EndpointFailed, wantOutcome: code.Ran, wantStatus: 200, wantBody: eventA, wantAborted: true, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, cut off, text instead of events from the second server": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA, bodyCutOff: true}}, "y": {{body: "error: overloaded\n\n"}}},
			wantCode: code.ForeignAnswer, wantOutcome: code.Unknown, wantStatus: 200, wantBody: eventA, wantAborted: true, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, head of another answer within the body": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\n"}}, "y": {{body: eventB}}},
			wantStatus: 200, wantBody: eventA + eventB, wantServers: []ident.Instance{"x", "y"}, wantResumeAfter: []proxy.EventID{0, 1},
		},
		"stream, comment between events": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + ": ping\n\n" + eventB}}},
			wantStatus: 200, wantBody: eventA + ": ping\n\n" + eventB, wantServers: []ident.Instance{"x"}, wantResumeAfter: []proxy.EventID{0},
		},
		"stream without ids": {
			path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: "data: a\n\ndata: b\n\n"}}},
			wantStatus: 200, wantBody: "data: a\n\ndata: b\n\n", wantServers: []ident.Instance{"x"}, wantResumeAfter: []proxy.EventID{0},
		},
		"stream, caller disconnects": {
			path: "/stream/1", callerDisconnected: true, replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + eventB}}, "y": {{body: eventB}}},
			wantCode: code.CallerClosed, wantOutcome: code.Ran, wantStatus: 200, wantAborted: true, wantServers: []ident.Instance{"x"}, wantResumeAfter: []proxy.EventID{0},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test.checkForward(qt.New(t)) })
	}
}

func (test forwardTest) checkForward(c *qt.C) {
	clk := clockwork.NewFakeClock()
	sender := &fakeSender{clock: clk, replies: test.replies}
	f := newTestForwarder(sender)
	key := test.key
	if key == "" {
		key = "k"
	}
	r := &proxy.Request{
		ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: key, Model: testModel,
		Received: clk.Now(), Deadline: clk.Now().Add(3 * time.Second), LastEventID: test.lastEventID,
	}
	sink := &fakeSink{callerDisconnected: test.callerDisconnected}
	err := f.Forward(context.Background(), r, sink)
	if test.wantCode == 0 {
		c.Assert(err, qt.IsNil)
		c.Check(sink.ended, qt.IsTrue)
	} else {
		c.Check(code.Of(err), qt.Equals, test.wantCode, qt.Commentf("%v", err))
		c.Check(code.OutcomeOf(err), qt.Equals, test.wantOutcome)
		c.Check(sink.ended, qt.IsFalse)
	}
	c.Check(sink.status, qt.Equals, test.wantStatus)
	c.Check(string(sink.body), qt.Equals, test.wantBody)
	c.Check(sink.aborted, qt.Equals, test.wantAborted)
	var servers []ident.Instance
	var resumeAfter []proxy.EventID
	for _, a := range sender.attempts {
		servers = append(servers, a.Server)
		resumeAfter = append(resumeAfter, a.ResumeAfter)
		c.Check(a.Timeout > 0, qt.IsTrue)
	}
	c.Check(servers, qt.DeepEquals, test.wantServers)
	if test.wantResumeAfter != nil {
		c.Check(resumeAfter, qt.DeepEquals, test.wantResumeAfter)
	}
}

// TestPoison guards against a request that crashes one server after another while its
// caller repeats it, and against the refusal of a request whose replies were only cut
// off.
func TestPoison(t *testing.T) {
	failingReplies := func() map[ident.Instance][]scriptedReply {
		return map[ident.Instance][]scriptedReply{
			"a": {{reset: true}, {body: "done"}}, "b": {{body: "do", bodyCutOff: true}},
			"x": {{body: eventA, bodyCutOff: true}, {body: eventA}}, "y": {{reset: true}},
		}
	}
	tests := map[string]struct {
		path           string
		serversCrashed bool
		// completedBefore says that an equal request has completed before.
		completedBefore bool
		wantRefused     bool
	}{
		"safe, servers crash":                 {path: "/safe/1", serversCrashed: true, wantRefused: true},
		"safe, replies cut off":               {path: "/safe/1"},
		"safe, equal request has completed":   {path: "/safe/1", serversCrashed: true, completedBefore: true},
		"stream, equal request has completed": {path: "/stream/1", serversCrashed: true, completedBefore: true},
		"stream, servers crash":               {path: "/stream/1", serversCrashed: true, wantRefused: true},
		"stream, replies cut off":             {path: "/stream/1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sender := &fakeSender{clock: clockwork.NewFakeClock(), replies: failingReplies(), serversCrashed: test.serversCrashed}
			f := newTestForwarder(sender)
			forward := func(id ident.Request, fingerprint ident.Fingerprint) error {
				return f.Forward(context.Background(), &proxy.Request{
					ID: id, Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel,
					Received: f.Clock.Now(), Fingerprint: fingerprint,
				}, &fakeSink{})
			}
			if test.completedBefore {
				sender.replies = map[ident.Instance][]scriptedReply{"a": {{body: "done"}}, "x": {{body: eventA}}}
				c.Check(forward("r0", 7), qt.IsNil)
				sender.replies, sender.attempts = failingReplies(), nil
			}
			c.Check(code.Of(forward("r1", 7)), qt.Equals, code.CutOff)
			sent := len(sender.attempts)
			c.Check(sent, qt.Equals, 2)
			err := forward("r2", 7)
			if !test.wantRefused {
				c.Check(err, qt.IsNil)
				return
			}
			c.Check(code.Of(err), qt.Equals, code.PoisonRequest)
			c.Check(code.OutcomeOf(err), qt.Equals, code.NotRun)
			c.Check(sender.attempts, qt.HasLen, sent)
			c.Check(forward("r3", 8), qt.IsNil, qt.Commentf("another fingerprint"))
		})
	}
}

// TestPoisonPart guards against requests that share only a part of their prompts and crash one
// server after another, and against the refusal of requests that share their beginning with
// them.
func TestPoisonPart(t *testing.T) {
	const beginning, deadly = 1, 2
	tests := map[string]struct {
		// replies are those of each server to the requests with the part.
		replies        []scriptedReply
		serversCrashed bool
		wantRefused    bool
	}{
		"servers crash":                      {replies: []scriptedReply{{reset: true}, {reset: true}}, serversCrashed: true, wantRefused: true},
		"servers crash after an event":       {replies: []scriptedReply{{body: eventA, bodyCutOff: true}, {body: eventA, bodyCutOff: true}}, serversCrashed: true, wantRefused: true},
		"replies cut off":                    {replies: []scriptedReply{{reset: true}, {reset: true}}},
		"servers crash, answers begun since": {replies: []scriptedReply{{reset: true}, {body: eventA}}, serversCrashed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sender := &fakeSender{clock: clockwork.NewFakeClock(), serversCrashed: test.serversCrashed}
			f := newTestForwarder(sender)
			send := func(n ident.Fingerprint, parts ...ident.PromptPart) error {
				// Each request meets servers that have started since the last one.
				servers := testServers()
				for _, s := range servers {
					s.Incarnation = unit.Incarnation(n)
				}
				f.Catalog.(*catalog.Catalog).Apply(catalog.Update{Servers: servers})
				return f.Forward(context.Background(), &proxy.Request{
					ID: ident.Request(fmt.Sprint(n)), Method: "POST", Host: "h", Target: "/stream/1", Path: "/stream/1", Credential: "k", Model: testModel,
					Received: f.Clock.Now(), Fingerprint: n, SharedParts: parts,
				}, &fakeSink{})
			}
			for n := range ident.Fingerprint(2) {
				sender.replies = map[ident.Instance][]scriptedReply{"x": test.replies[:1], "y": test.replies[1:]}
				_ = send(n+1, beginning, deadly)
			}
			sent := len(sender.attempts)
			sender.replies = map[ident.Instance][]scriptedReply{"x": {{body: eventA}, {body: eventA}}, "y": {{body: eventA}, {body: eventA}}}
			err := send(3, beginning, deadly)
			if test.wantRefused {
				c.Check(code.Of(err), qt.Equals, code.PoisonRequest)
				c.Check(code.OutcomeOf(err), qt.Equals, code.NotRun)
				c.Check(sender.attempts, qt.HasLen, sent)
			} else {
				c.Check(err, qt.IsNil)
			}
			c.Check(send(4, beginning), qt.IsNil, qt.Commentf("sound request with the same beginning"))
		})
	}
}

// TestRefusalLog guards against a final refusal of a key or path that an old copy of the
// configuration lacks, and against a refusal whose log line doesn't tell the copy's age.
func TestRefusalLog(t *testing.T) {
	tests := map[string]struct {
		path, key string
		age       time.Duration
		wantCode  code.Code
	}{
		"unknown path":             {"/none/1", "k", 1500 * time.Millisecond, code.UnknownPath},
		"unknown key":              {"/safe/1", "x", 1500 * time.Millisecond, code.UnknownOrganisation},
		"unknown path, copy old":   {"/none/1", "k", 3500 * time.Millisecond, code.NotReady},
		"unknown key, copy is old": {"/safe/1", "x", 3500 * time.Millisecond, code.NotReady},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var lines bytes.Buffer
			f := newTestForwarder(&fakeSender{clock: clockwork.NewFakeClock()})
			f.Log = zerolog.New(&lines)
			f.Copy = fakeCopy{Revision: 7, Age: test.age, MaxAge: 3 * time.Second, Source: "p"}
			r := &proxy.Request{Host: "h", Path: test.path, Credential: test.key, Received: f.Clock.Now()}
			err := f.Forward(context.Background(), r, &fakeSink{})
			c.Check(code.Of(err), qt.Equals, test.wantCode)
			c.Check(code.OutcomeOf(err), qt.Equals, code.NotRun)
			c.Check(lines.String(), qt.Contains, fmt.Sprintf(`"copy_revision":"7","copy_age_ms":%d,"copy_max_age_ms":3000,"copy_from":"p"`, test.age.Milliseconds()))
		})
	}
}

// TestNotReady guards against the status 404 or 401 for a request that arrives before
// the daemon has a configuration.
func TestNotReady(t *testing.T) {
	c := qt.New(t)
	f := newTestForwarder(&fakeSender{clock: clockwork.NewFakeClock()})
	f.Catalog = unconfiguredCatalog{}
	err := f.Forward(context.Background(), &proxy.Request{Host: "h", Path: "/safe/1"}, &fakeSink{})
	c.Check(code.Of(err), qt.Equals, code.NotReady)
	c.Check(code.OutcomeOf(err), qt.Equals, code.NotRun)
}
