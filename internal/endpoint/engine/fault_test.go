package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/table"
)

const silence = 150 * time.Millisecond

// faulty is an engine that answers with given bytes.
type faulty struct {
	listener net.Listener
	stop     chan struct{}
	opened   atomic.Int64
	// asked gets a value for each request, closed for each connection that the
	// client or the engine has closed.
	asked, closed chan struct{}
	group         sync.WaitGroup
}

// script is an answer and what the engine does after it: close the connection,
// keep it for the next request, or fall silent until the client closes it. One
// that is deaf reads no more than the head of a request.
type script struct {
	answer string
	after  string
}

func serve(t testing.TB, s script) *faulty {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faulty{listener: listener, stop: make(chan struct{}), asked: make(chan struct{}, 1<<16), closed: make(chan struct{}, 1<<16)}
	f.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.opened.Add(1)
			f.group.Go(func() { f.talk(conn, s) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		close(f.stop)
		f.group.Wait()
	})
	return f
}

func (f *faulty) talk(conn net.Conn, s script) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		var request fasthttp.Request
		if s.after == "deaf" && request.Header.Read(in) == nil {
			f.asked <- struct{}{}
			<-f.stop
			return
		}
		if request.Read(in) != nil {
			break
		}
		f.asked <- struct{}{}
		if _, err := io.WriteString(conn, s.answer); err != nil {
			break
		}
		switch s.after {
		case "close":
			_ = conn.Close()
			f.closed <- struct{}{}
			return
		case "silent":
			_, _ = io.Copy(io.Discard, in)
		}
	}
	f.closed <- struct{}{}
}

// answer is a kept sink.
type answer struct {
	got          string
	starts, ends int
	fail         error
}

func (a *answer) Start(work.Head) error { a.starts++; return nil }
func (a *answer) End(work.End) error    { a.ends++; return nil }
func (a *answer) Chunk(p work.Chunk) error {
	if a.fail != nil {
		return a.fail
	}
	a.got += p.Text + string(p.Raw)
	return nil
}

const echo = "X-Replica: r\r\nX-Epoch: 3\r\n"

func status(n int) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 2\r\n\r\n{}", n)
}

// events is a chunked stream that is not ended.
func events(head string, data ...string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + head + "\r\n")
	for _, d := range data {
		fmt.Fprintf(&b, "%x\r\ndata: %s\n\n\r\n", len(d)+8, d)
	}
	return b.String()
}

func text(s string) string { return `{"choices":[{"delta":{"content":"` + s + `"}}]}` }

const (
	chunkedEnd = "0\r\n\r\n"
	done       = "[DONE]"
)

func client() *Client {
	s := *defaults().(*Settings)
	s.Silence = settings.DurationOf(silence)
	return New(s, clock.Real())
}

func (f *faulty) endpoint() *table.Endpoint {
	return &table.Endpoint{ID: "r", Replica: "r", Epoch: 3, Version: "1", Protocol: table.Engine, Address: f.listener.Addr().String()}
}

func chat(stream bool) *work.Request {
	return &work.Request{ID: "q", Operation: work.Chat, Resumable: stream, Stream: stream, Body: []byte(`{"messages":[]}`)}
}

// TestFaults guards against a broken, foreign or refused answer being passed on
// as whole, or refused with an outcome that is not true.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		script
		plain bool
		code  code.Code
		// outcome is the code's own if empty.
		outcome code.Outcome
		got     string
	}{
		"whole":                  {script: script{events(echo, text("a"), text("b"), done) + chunkedEnd, ""}, code: code.Answered, got: "ab"},
		"no echo":                {script: script{events("", text("a"), done) + chunkedEnd, ""}, code: code.Answered, got: "a"},
		"end marker twice":       {script: script{events(echo, text("a"), done, done) + chunkedEnd, ""}, code: code.Answered, got: "a"},
		"silent after the end":   {script: script{events(echo, text("a"), done), "silent"}, code: code.Answered, got: "a"},
		"null error":             {script: script{events(echo, `{"choices":[{"text":"a"}],"error":null}`, done) + chunkedEnd, ""}, code: code.Answered, got: "a"},
		"closed at once":         {script: script{"", "close"}, code: code.CutOff},
		"torn in the header":     {script: script{"HTTP/1.1 200 OK\r\nX-Rep", "close"}, code: code.CutOff},
		"torn after pieces":      {script: script{events(echo, text("a"), text("b")), "close"}, code: code.CutOff, got: "ab"},
		"torn in an event":       {script: script{events(echo, text("a")) + "40\r\ndata: {\"cho", "close"}, code: code.CutOff, got: "a"},
		"torn in the marker":     {script: script{events(echo, text("a")) + "d\r\ndata: [DON", "close"}, code: code.CutOff, got: "a"},
		"no end marker":          {script: script{events(echo, text("a")) + chunkedEnd, ""}, code: code.CutOff, got: "a"},
		"another replica":        {script: script{events("X-Replica: s\r\nX-Epoch: 3\r\n", text("a"), done) + chunkedEnd, ""}, code: code.ForeignAnswer},
		"another epoch":          {script: script{events("X-Replica: r\r\nX-Epoch: 2\r\n", text("a"), done) + chunkedEnd, ""}, code: code.ForeignAnswer},
		"half an echo":           {script: script{events("X-Epoch: 3\r\n", text("a"), done) + chunkedEnd, ""}, code: code.ForeignAnswer},
		"garbage event":          {script: script{events(echo, text("a"), "}{", done) + chunkedEnd, ""}, code: code.CutOff, got: "a"},
		"garbage answer":         {script: script{"\x00\x01garbage\r\n\r\n", "close"}, code: code.CutOff},
		"error event":            {script: script{events(echo, text("a"), `{"error":{"message":"x"}}`, done) + chunkedEnd, ""}, code: code.CutOff, got: "a"},
		"event over the bound":   {script: script{events(echo, text(strings.Repeat("a", 1<<20)), done) + chunkedEnd, ""}, code: code.CutOff},
		"silent before the head": {script: script{"", "silent"}, code: code.Stalled},
		"silent after a piece":   {script: script{events(echo, text("a")), "silent"}, code: code.Stalled, got: "a"},
		"conflict":               {script: script{status(409), ""}, code: code.ForeignAnswer, outcome: code.NotRun},
		"too many requests":      {script: script{status(429), ""}, code: code.Overloaded},
		"unavailable":            {script: script{status(503), ""}, code: code.Overloaded},
		"failed":                 {script: script{status(500), ""}, code: code.EndpointFailed},
		"rejected":               {script: script{status(400), ""}, code: code.EndpointRejected},
		"plain whole":            {plain: true, script: script{"HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 2\r\n\r\n{}", ""}, code: code.Answered, got: "{}"},
		"plain torn":             {plain: true, script: script{"HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 9\r\n\r\n{}", "close"}, code: code.CutOff},
		"plain, not JSON":        {plain: true, script: script{"HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 1\r\n\r\n{", ""}, code: code.CutOff},
		"plain foreign":          {plain: true, script: script{"HTTP/1.1 200 OK\r\nX-Replica: s\r\nX-Epoch: 3\r\nContent-Length: 2\r\n\r\n{}", ""}, code: code.ForeignAnswer},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, cl, f := qt.New(t), client(), serve(t, test.script)
			defer cl.stream.CloseIdleConnections()
			a := new(answer)
			err := cl.Send(context.Background(), f.endpoint(), chat(!test.plain), work.PartialAnswer{}, a)
			c.Assert(code.Of(err), qt.Equals, test.code, qt.Commentf("%v", err))
			if test.outcome == "" {
				test.outcome = test.code.Spec().Outcome
			}
			c.Assert(code.OutcomeOf(err), qt.Equals, test.outcome)
			c.Assert(a.got, qt.Equals, test.got)
			c.Assert(a.ends == 1, qt.Equals, err == nil)
			c.Assert(a.starts <= 1, qt.IsTrue)
			if test.outcome == code.NotRun || test.code == code.ForeignAnswer {
				c.Assert(a.starts, qt.Equals, 0)
			}
		})
	}
}

// TestUnreachable guards against a refused connection that is not reported as
// certainly not run.
func TestUnreachable(t *testing.T) {
	c, f := qt.New(t), serve(t, script{})
	c.Assert(f.listener.Close(), qt.IsNil)
	err := client().Send(context.Background(), f.endpoint(), chat(true), work.PartialAnswer{}, new(answer))
	c.Assert(code.Of(err), qt.Equals, code.EndpointUnreachable)
}

// TestAbandoned guards against an engine that goes on with a run nobody waits
// for, and against a connection with the rest of an old answer being used again.
func TestAbandoned(t *testing.T) {
	gone := errors.New("gone")
	tests := map[string]struct {
		script
		fail     error
		deadline time.Duration
	}{
		"caller gone":            {script: script{events(echo, text("a"), text("b")), "silent"}, fail: gone},
		"caller gone at the end": {script: script{events(echo, text("a"), done) + chunkedEnd, ""}, fail: gone},
		"foreign":                {script: script{events("X-Replica: s\r\n", text("a")), "silent"}},
		"broken":                 {script: script{events(echo, "}"), ""}},
		"deadline in the answer": {script: script{events(echo, text("a")), "silent"}, deadline: silence / 3},
		"deadline before it":     {script: script{"", "silent"}, deadline: silence / 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, cl, f := qt.New(t), client(), serve(t, test.script)
			ctx, cancel := context.WithCancel(context.Background())
			if test.deadline > 0 {
				ctx, cancel = context.WithTimeout(ctx, test.deadline)
			}
			defer cancel()
			for range 2 {
				a := &answer{fail: test.fail}
				c.Assert(cl.Send(ctx, f.endpoint(), chat(true), work.PartialAnswer{}, a), qt.IsNotNil)
				c.Assert(a.ends, qt.Equals, 0)
			}
			for range f.opened.Load() {
				<-f.closed
			}
			if test.deadline == 0 {
				c.Assert(f.opened.Load(), qt.Equals, int64(2))
			}
		})
	}
}

// TestReuse guards against a connection opened for each answer: the end of the
// chunked body has to be read for the connection to be used again.
func TestReuse(t *testing.T) {
	c, cl, f := qt.New(t), client(), serve(t, script{events(echo, text("a"), done) + chunkedEnd, ""})
	defer cl.stream.CloseIdleConnections()
	for range 5 {
		c.Assert(cl.Send(context.Background(), f.endpoint(), chat(true), work.PartialAnswer{}, new(answer)), qt.IsNil)
	}
	c.Assert(f.opened.Load(), qt.Equals, int64(1))
}

// TestMain guards against goroutines that outlive the requests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
