package cli

import (
	"bytes"
	"encoding/json"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

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
			forward.Explanation{Daemon: "d", Route: "r", Explanation: &balance.Explanation{Choice: balance.ByCost, Level: 12, Candidates: []balance.Candidate{
				{Endpoint: "full", Excluded: balance.NoFreeSlot}, {Endpoint: "free", Probability: 1, Slots: 20, First: 180, Correction: 120, CorrectionAge: 900},
			}}},
			[]string{"route r", "choice by cost, level 12.0", "free", "100.0%", "first event 180 ms", "correction 120 ms (900 ms old)", "left out: no free slot"},
		},
		"refusal": {forward.Explanation{Daemon: "d", Refusal: "3002 overloaded", Reason: "none is free", RetryAfter: 300}, []string{"refused: 3002 overloaded, none is free, retry after 300 ms"}},
		"relay":   {forward.Explanation{Daemon: "d", Relay: "e"}, []string{"passed on to daemon e"}},
		"queue":   {forward.Explanation{Daemon: "d", Waits: true, Queued: 3, Explanation: &balance.Explanation{Choice: balance.ByCount}}, []string{"behind 3 others"}},
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
