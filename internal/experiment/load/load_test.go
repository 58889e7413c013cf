package load_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/experiment/load"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/kernel/clock"
)

// serve answers with a function on loopback and returns the address.
func serve(t *testing.T, handle fasthttp.RequestHandler) load.FixedTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &fasthttp.Server{Handler: handle}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		qt.Check(t, listener.Close(), qt.IsNil)
		<-ended
	})
	return load.FixedTarget(listener.Addr().String())
}

func events(lines ...string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for _, l := range lines {
				_, _ = w.WriteString(l + "\n\n")
			}
		})
	}
}

func refuse(status int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}
}

// TestRun guards against a cut-off answer being counted as whole, a refusal as
// a failure, or an empty piece as a token.
func TestRun(t *testing.T) {
	const (
		empty = `data: {"choices":[{"delta":{"role":"assistant","content":""}}]}`
		token = `data: {"choices":[{"delta":{"content":"tea "}}]}`
		done  = `data: [DONE]`
	)
	cutOff := "event: error\n" + `data: {"error":{"code":5001,"outcome":"unknown"}}`
	tests := map[string]struct {
		handle                         fasthttp.RequestHandler
		retries                        int
		code                           code.Code
		whole, cutOff, refused, failed bool
		tokens                         int
	}{
		"whole":         {handle: events(empty, token, token, empty, done), code: code.Answered, whole: true, tokens: 2},
		"error event":   {handle: events(empty, token, cutOff), code: code.CutOff, cutOff: true, tokens: 1},
		"no end marker": {handle: events(empty, token), code: code.CutOff, cutOff: true, tokens: 1},
		"refused": {
			handle: refuse(503, `{"error":{"code":3001,"outcome":"not-run"}}`), code: code.NoReplica, refused: true, retries: 1,
		},
		"unknown outcome": {handle: refuse(502, `{"error":{"code":5001,"outcome":"unknown"}}`), code: code.CutOff, failed: true},
		"other server":    {handle: refuse(404, `not found`), code: 404, failed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := load.New(load.Options{Clock: clock.Real(), Target: serve(t, test.handle), Retries: 1, MaxInFlight: 4})
			q := scenario.Request{Kind: scenario.Chat, Path: "/v1/chat/completions", Body: []byte("{}")}
			results := g.Run(context.Background(), clock.Real().Now(), []scenario.Request{q})
			c.Assert(results, qt.HasLen, 1)
			r := &results[0]
			c.Check(r.Code, qt.Equals, test.code)
			c.Check(r.Whole, qt.Equals, test.whole)
			c.Check(r.CutOff(), qt.Equals, test.cutOff)
			c.Check(r.Refused(), qt.Equals, test.refused)
			c.Check(r.Failed(), qt.Equals, test.failed)
			c.Check(r.Tokens, qt.Equals, test.tokens)
			c.Check(r.Retries, qt.Equals, test.retries)
			c.Check(len(r.Gaps), qt.Equals, max(test.tokens-1, 0))
		})
	}
}

// TestUnreachable guards against a refused connection being counted as a
// request that may have run.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	g := load.New(load.Options{Clock: clock.Real(), Target: load.FixedTarget(address), MaxInFlight: 1})
	results := g.Run(context.Background(), clock.Real().Now(), []scenario.Request{{Kind: scenario.Chat, Path: "/"}})
	qt.Assert(t, results[0].Refused(), qt.IsTrue)
	qt.Assert(t, results[0].Total < 5*time.Second, qt.IsTrue)
}
