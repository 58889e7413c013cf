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

func limited(silence, token time.Duration) *Client {
	s := *defaults().(*Settings)
	s.Silence, s.TokenSilence = settings.DurationOf(silence), settings.DurationOf(token)
	return New(s, clock.Real())
}

// TestLimits guards against a long wait for the first token being cut off by the
// limit for later tokens, and a stream that stops between two tokens being
// waited for as long as for the first one.
func TestLimits(t *testing.T) {
	const short, long, never = 20 * time.Millisecond, 300 * time.Millisecond, time.Hour
	role := `{"choices":[{"delta":{"role":"assistant"}}]}`
	tests := map[string]struct {
		answer         string
		silence, token time.Duration
		least          time.Duration
	}{
		"before the head":        {"", long, short, long},
		"after the head":         {events(echo), long, short, long},
		"after the role":         {events(echo, role), long, short, long},
		"after the first token":  {events(echo, role, text("a")), never, short, short},
		"after the second token": {events(echo, text("a"), text("b")), never, short, short},
		"in an event":            {events(echo, text("a")) + "40\r\ndata: {\"cho", never, short, short},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, cl, f := qt.New(t), limited(test.silence, test.token), serve(t, script{test.answer, "silent"})
			begun := clock.Real().Now()
			err := cl.Send(context.Background(), f.endpoint(), chat(true), work.PartialAnswer{}, new(answer))
			c.Assert(code.Of(err), qt.Equals, code.Stalled)
			c.Assert(clock.Real().Since(begun) >= test.least, qt.IsTrue)
			<-f.closed
		})
	}
}

// TestCancel guards against a cancelled request that waits for the next byte,
// or for the limit of silence, and against its connection being kept.
func TestCancel(t *testing.T) {
	tests := map[string]struct {
		script
		body int
	}{
		"blocked write":       {script: script{"", "deaf"}, body: 64 << 20},
		"wait for the head":   {script: script{"", "silent"}},
		"wait for first byte": {script: script{events(echo), "silent"}},
		"wait for a token":    {script: script{events(echo, text("a")), "silent"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, cl, f := qt.New(t), limited(time.Hour, time.Hour), serve(t, test.script)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := chat(false)
			r.Stream, r.Body = true, bytes.Repeat([]byte(" "), test.body)
			sent := make(chan error, 1)
			go func() { sent <- cl.Send(ctx, f.endpoint(), r, work.PartialAnswer{}, new(answer)) }()
			<-f.asked
			cancel()
			c.Assert(code.Of(<-sent), qt.Equals, code.CutOff)
			if test.after == "silent" {
				<-f.closed
			}
		})
	}
}

// TestStaleConnection guards against a request sent on a kept connection that
// the engine has closed, whose outcome would be unknown.
func TestStaleConnection(t *testing.T) {
	c, cl, f := qt.New(t), client(), serve(t, script{events(echo, text("a"), done) + chunkedEnd, "close"})
	for range 3 {
		c.Assert(cl.Send(context.Background(), f.endpoint(), chat(true), work.PartialAnswer{}, new(answer)), qt.IsNil)
		<-f.closed
	}
	c.Assert(f.opened.Load(), qt.Equals, int64(3))
}

// TestHealthyDropsIdle guards against connections that stalled along with the
// one that failed being used again.
func TestHealthyDropsIdle(t *testing.T) {
	c, cl, f := qt.New(t), client(), serve(t, script{events(echo, text("a"), done) + chunkedEnd, ""})
	c.Assert(cl.Send(context.Background(), f.endpoint(), chat(true), work.PartialAnswer{}, new(answer)), qt.IsNil)
	cl.stream.CloseIdle("127.0.0.1:1")
	c.Assert(cl.Send(context.Background(), f.endpoint(), chat(true), work.PartialAnswer{}, new(answer)), qt.IsNil)
	c.Assert(f.opened.Load(), qt.Equals, int64(1))
	cl.stream.CloseIdle(f.listener.Addr().String())
	<-f.closed
}
