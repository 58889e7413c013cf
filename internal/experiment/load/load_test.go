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

// startServer starts an HTTP server on loopback and returns its address.
func startServer(t *testing.T, handle fasthttp.RequestHandler) load.FixedTarget {
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

// streamHandler returns a handler that streams the given events.
func streamHandler(events ...string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for _, l := range events {
				_, _ = w.WriteString(l + "\n\n")
			}
		})
	}
}

// errorHandler returns a handler that answers with an HTTP status and a body.
func errorHandler(status int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}
}

// TestGeneratorRun guards against counting a cut-off answer as complete, a refusal as
// a failure, or an empty chunk as a token.
func TestGeneratorRun(t *testing.T) {
	const (
		emptyChunk = `data: {"choices":[{"delta":{"role":"assistant","content":""}}]}`
		tokenChunk = `data: {"choices":[{"delta":{"content":"tea "}}]}`
		doneMarker = `data: [DONE]`
	)
	errorEvent := "event: error\n" + `data: {"error":{"code":5001,"outcome":"unknown"}}`
	tests := map[string]struct {
		handle                            fasthttp.RequestHandler
		retries                           int
		code                              code.Code
		complete, cutOff, refused, failed bool
		tokens                            int
	}{
		"complete":      {handle: streamHandler(emptyChunk, tokenChunk, tokenChunk, emptyChunk, doneMarker), code: code.Answered, complete: true, tokens: 2},
		"error event":   {handle: streamHandler(emptyChunk, tokenChunk, errorEvent), code: code.CutOff, cutOff: true, tokens: 1},
		"no end marker": {handle: streamHandler(emptyChunk, tokenChunk), code: code.CutOff, cutOff: true, tokens: 1},
		"refused": {
			handle: errorHandler(503, `{"error":{"code":3001,"outcome":"not-run"}}`), code: code.NoReplica, refused: true, retries: 1,
		},
		"unknown outcome": {handle: errorHandler(502, `{"error":{"code":5001,"outcome":"unknown"}}`), code: code.CutOff, failed: true},
		"no error object": {handle: errorHandler(404, `not found`), code: 404, failed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := load.New(load.Options{Clock: clock.Real(), Picker: startServer(t, test.handle), Retries: 1, MaxInFlight: 4})
			request := scenario.Request{Kind: scenario.Chat, Path: "/v1/chat/completions", Body: []byte("{}")}
			results := g.Run(context.Background(), clock.Real().Now(), []scenario.Request{request})
			c.Assert(results, qt.HasLen, 1)
			r := &results[0]
			c.Check(r.Code, qt.Equals, test.code)
			c.Check(r.Complete, qt.Equals, test.complete)
			c.Check(r.CutOff(), qt.Equals, test.cutOff)
			c.Check(r.Refused(), qt.Equals, test.refused)
			c.Check(r.Failed(), qt.Equals, test.failed)
			c.Check(r.Tokens, qt.Equals, test.tokens)
			c.Check(r.Retries, qt.Equals, test.retries)
			c.Check(len(r.TokenGaps), qt.Equals, max(test.tokens-1, 0))
		})
	}
}

// TestUnreachable guards against counting a request as possibly run although its
// connection was refused.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	g := load.New(load.Options{Clock: clock.Real(), Picker: load.FixedTarget(address), MaxInFlight: 1})
	results := g.Run(context.Background(), clock.Real().Now(), []scenario.Request{{Kind: scenario.Chat, Path: "/"}})
	qt.Assert(t, results[0].Refused(), qt.IsTrue)
	qt.Assert(t, results[0].TotalTime < 5*time.Second, qt.IsTrue)
}
