package engine

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/settings"
)

func newClientWithTimeouts(stallTimeout, tokenStallTimeout time.Duration) *Client {
	s := *defaultSettings().(*Settings)
	s.Silence, s.TokenSilence = settings.DurationOf(stallTimeout), settings.DurationOf(tokenStallTimeout)
	return New(s, clock.Real())
}

// TestStallTimeouts guards against applying the stall timeout for later tokens
// to the wait for the first token, and against waiting as long between two
// tokens as for the first token.
func TestStallTimeouts(t *testing.T) {
	const short, long, never = 20 * time.Millisecond, 300 * time.Millisecond, time.Hour
	role := `{"choices":[{"delta":{"role":"assistant"}}]}`
	tests := map[string]struct {
		answer                          string
		stallTimeout, tokenStallTimeout time.Duration
		minWait                         time.Duration
	}{
		"before the head":        {"", long, short, long},
		"after the head":         {eventStream(replicaHeader), long, short, long},
		"after the role":         {eventStream(replicaHeader, role), long, short, long},
		"after the first token":  {eventStream(replicaHeader, role, textEvent("a")), never, short, short},
		"after the second token": {eventStream(replicaHeader, textEvent("a"), textEvent("b")), never, short, short},
		"in an event":            {eventStream(replicaHeader, textEvent("a")) + "40\r\ndata: {\"cho", never, short, short},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, cl, f := qt.New(t), newClientWithTimeouts(test.stallTimeout, test.tokenStallTimeout), startFakeEngine(t, scriptedAnswer{test.answer, "stall"})
			started := clock.Real().Now()
			err := cl.Send(context.Background(), f.endpoint(), newChatRequest(true), work.PartialAnswer{}, new(recordingSink))
			c.Assert(code.Of(err), qt.Equals, code.Stalled)
			c.Assert(clock.Real().Since(started) >= test.minWait, qt.IsTrue)
			<-f.closedConnections
		})
	}
}

// TestCancel guards against a cancelled request that waits for the next byte or
// for the stall timeout, and against keeping the connection of a cancelled
// request.
func TestCancel(t *testing.T) {
	tests := map[string]struct {
		scriptedAnswer
		bodyBytes int
	}{
		"write of the body":   {scriptedAnswer: scriptedAnswer{"", "stop reading"}, bodyBytes: 64 << 20},
		"wait for the head":   {scriptedAnswer: scriptedAnswer{"", "stall"}},
		"wait for first byte": {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader), "stall"}},
		"wait for a token":    {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a")), "stall"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, cl, f := qt.New(t), newClientWithTimeouts(time.Hour, time.Hour), startFakeEngine(t, test.scriptedAnswer)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := newChatRequest(false)
			r.Stream, r.Body = true, bytes.Repeat([]byte(" "), test.bodyBytes)
			sent := make(chan error, 1)
			go func() { sent <- cl.Send(ctx, f.endpoint(), r, work.PartialAnswer{}, new(recordingSink)) }()
			<-f.requests
			cancel()
			c.Assert(code.Of(<-sent), qt.Equals, code.CutOff)
			if test.action == "stall" {
				<-f.closedConnections
			}
		})
	}
}

// TestStaleConnection guards against sending a request on an idle connection
// that the engine has closed: the outcome of that request would be unknown.
func TestStaleConnection(t *testing.T) {
	c, cl, f := qt.New(t), newTestClient(), startFakeEngine(t, scriptedAnswer{eventStream(replicaHeader, textEvent("a"), endMarker) + chunkedEnd, "close"})
	for range 3 {
		c.Assert(cl.Send(context.Background(), f.endpoint(), newChatRequest(true), work.PartialAnswer{}, new(recordingSink)), qt.IsNil)
		<-f.closedConnections
	}
	c.Assert(f.connections.Load(), qt.Equals, int64(3))
}

// TestCloseIdle guards against reuse of connections that stalled at the same
// time as the connection of the failed request, and against closing connections
// to other addresses.
func TestCloseIdle(t *testing.T) {
	c, cl, f := qt.New(t), newTestClient(), startFakeEngine(t, scriptedAnswer{eventStream(replicaHeader, textEvent("a"), endMarker) + chunkedEnd, ""})
	c.Assert(cl.Send(context.Background(), f.endpoint(), newChatRequest(true), work.PartialAnswer{}, new(recordingSink)), qt.IsNil)
	cl.requestPool.CloseIdle("127.0.0.1:1")
	c.Assert(cl.Send(context.Background(), f.endpoint(), newChatRequest(true), work.PartialAnswer{}, new(recordingSink)), qt.IsNil)
	c.Assert(f.connections.Load(), qt.Equals, int64(1))
	cl.requestPool.CloseIdle(f.listener.Addr().String())
	<-f.closedConnections
}
