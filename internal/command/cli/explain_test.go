package cli

import (
	"bytes"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/route/balance"
	"cuminbay/internal/serve/forward"
)

// TestExplain guards against output that leaves out the terms of a candidate or the reason of a refusal.
func TestExplain(t *testing.T) {
	tests := map[string]struct {
		answer forward.Explanation
		want   []string
	}{
		"candidates": {
			forward.Explanation{Daemon: "d", Route: "r", Explanation: &balance.Explanation{Choice: balance.ByCost, Level: 12, Admitted: 0.75, Room: 9, Arrivals: 12, Candidates: []balance.Candidate{
				{Endpoint: "full", Excluded: balance.NoFreeSlot, PeerAge: -1}, {Endpoint: "free", Probability: 1, Slots: 20, First: 180, Correction: 120, CorrectionAge: 900, PeerInFlight: 3, PeerAge: 120},
			}}},
			[]string{"route r", "choice by cost, level 12.0; room for 75% of the requests (9.0 of 12.0 that", "free", "100.0%", "in flight 0 + 3 of others (120 ms old)", "(age unknown)", "first event 180 ms", "correction 120 ms (900 ms old)", "left out: no free slot"},
		},
		"refusal":     {forward.Explanation{Daemon: "d", Refusal: "3002 overloaded", Reason: "none is free", RetryAfter: 300}, []string{"refused: 3002 overloaded, none is free, retry after 300 ms"}},
		"relay":       {forward.Explanation{Daemon: "d", Relay: "e"}, []string{"passed on to daemon e"}},
		"older build": {forward.Explanation{Daemon: "d", Waits: true, Queued: 3, Explanation: &balance.Explanation{Choice: balance.ByCount}}, []string{"behind 3 others"}},
		"wait": {
			forward.Explanation{Daemon: "d", Waits: true, Queued: 3, Explanation: &balance.Explanation{Choice: balance.ByCost}, Admission: &forward.AdmissionExplanation{
				Action: "wait", Class: "on-time", Predicted: 40, Wait: 100, Until: time.Date(2026, 1, 2, 3, 4, 5, 6e6, time.UTC), Reason: "no-slot-after-wait", RetryAfter: 700,
			}},
			[]string{"3 requests wait at this daemon; class on-time, predicted wait 40 ms", "waits for a slot for at most 100 ms, until 2026-01-02T03:04:05.006Z; refused without one: no-slot-after-wait, retry after 700 ms"},
		},
		"refusal at once": {
			forward.Explanation{Daemon: "d", Refusal: "3002 overloaded", Reason: "none has a free slot", RetryAfter: 900, Queued: 60, Admission: &forward.AdmissionExplanation{
				Action: "refuse", Class: "late", Reason: "no-slot-in-time", RetryAfter: 900,
			}},
			[]string{"60 requests wait at this daemon; class late, predicted wait unknown", "refused at once: 3002 overloaded, none has a free slot, retry after 900 ms (no-slot-in-time)"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			var query string
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
				query = string(ctx.RequestURI())
				_ = json.NewEncoder(ctx).Encode(test.answer)
			}}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Shutdown() }()
			var out, errOut bytes.Buffer
			status := Run([]string{"explain", "--at", listener.Addr().String(), "--route", "r", "--prompt", "500"}, Streams{Out: &out, Err: &errOut})
			c.Check(status, qt.Equals, ExitOK, qt.Commentf("%s", &errOut))
			c.Check(strings.Contains(query, "route=r") && strings.Contains(query, "prompt=500"), qt.IsTrue, qt.Commentf("%s", query))
			for _, want := range test.want {
				c.Check(strings.Contains(out.String(), want), qt.IsTrue, qt.Commentf("%q in %s", want, &out))
			}
		})
	}
}

// TestExplainFails guards against another exit code than that of status, or an error without its reason, if
// the daemon can't be reached or rejects the arguments.
func TestExplainFails(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	closed := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	run := func(arguments ...string) (status int, errOut string) {
		var out, errors bytes.Buffer
		status = Run(arguments, Streams{Out: &out, Err: &errors})
		c.Check(out.String(), qt.Equals, "")
		return status, errors.String()
	}
	explained, message := run("explain", "--at", closed, "--route", "r")
	want, _ := run("status", "--at", closed)
	c.Check(explained, qt.Equals, want)
	c.Check(explained, qt.Equals, ExitFailure)
	c.Check(strings.Contains(message, closed), qt.IsTrue, qt.Commentf("%s", message))

	listener, err = net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { httpcall.WriteError(ctx, code.BadHeader.New("no route r")) }}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	explained, message = run("explain", "--at", listener.Addr().String(), "--route", "r")
	c.Check(explained, qt.Equals, ExitFailure)
	c.Check(strings.Contains(message, "no route r"), qt.IsTrue, qt.Commentf("%s", message))
}
