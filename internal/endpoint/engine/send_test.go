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

const testStallTimeout = 150 * time.Millisecond

// fakeEngine is an engine that sends scripted bytes as its answer.
type fakeEngine struct {
	listener    net.Listener
	stop        chan struct{}
	connections atomic.Int64
	// requests gets a value for each received request. closedConnections gets a
	// value for each connection that the client or the engine has closed.
	requests, closedConnections chan struct{}
	running                     sync.WaitGroup
}

// scriptedAnswer is an answer and the engine's action after the answer. An
// empty action keeps the connection for the next request, "close" closes the
// connection, "stall" sends nothing more until the client closes, and "stop
// reading" reads no more than the head of a request.
type scriptedAnswer struct {
	answer string
	action string
}

func startFakeEngine(t testing.TB, s scriptedAnswer) *fakeEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeEngine{listener: listener, stop: make(chan struct{}), requests: make(chan struct{}, 1<<16), closedConnections: make(chan struct{}, 1<<16)}
	f.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.connections.Add(1)
			f.running.Go(func() { f.serveConnection(conn, s) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		close(f.stop)
		f.running.Wait()
	})
	return f
}

func (f *fakeEngine) serveConnection(conn net.Conn, s scriptedAnswer) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		var request fasthttp.Request
		if s.action == "stop reading" && request.Header.Read(in) == nil {
			f.requests <- struct{}{}
			<-f.stop
			return
		}
		if request.Read(in) != nil {
			break
		}
		f.requests <- struct{}{}
		if _, err := io.WriteString(conn, s.answer); err != nil {
			break
		}
		switch s.action {
		case "close":
			_ = conn.Close()
			f.closedConnections <- struct{}{}
			return
		case "stall":
			_, _ = io.Copy(io.Discard, in)
		}
	}
	f.closedConnections <- struct{}{}
}

// recordingSink records the answer.
type recordingSink struct {
	text         string
	starts, ends int
	err          error
}

func (s *recordingSink) Start(work.Head) error { s.starts++; return nil }
func (s *recordingSink) End(work.End) error    { s.ends++; return nil }
func (s *recordingSink) Chunk(chunk work.Chunk) error {
	if s.err != nil {
		return s.err
	}
	s.text += chunk.Text + string(chunk.Raw)
	return nil
}

const replicaHeader = "X-Replica: r\r\nX-Epoch: 3\r\n"

func statusAnswer(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 2\r\n\r\n{}", status)
}

// eventStream returns a chunked stream of events without the last chunk.
func eventStream(head string, data ...string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + head + "\r\n")
	for _, d := range data {
		fmt.Fprintf(&b, "%x\r\ndata: %s\n\n\r\n", len(d)+8, d)
	}
	return b.String()
}

func textEvent(s string) string { return `{"choices":[{"delta":{"content":"` + s + `"}}]}` }

const (
	chunkedEnd = "0\r\n\r\n"
	endMarker  = "[DONE]"
)

func newTestClient() *Client {
	s := *defaultSettings().(*Settings)
	s.Silence = settings.DurationOf(testStallTimeout)
	return New(s, clock.Real())
}

func (f *fakeEngine) endpoint() *table.Endpoint {
	return &table.Endpoint{ID: "r", Replica: "r", Epoch: 3, Version: "1", Protocol: table.Engine, Address: f.listener.Addr().String()}
}

func newChatRequest(stream bool) *work.Request {
	return &work.Request{ID: "q", Operation: work.Chat, Resumable: stream, Stream: stream, Body: []byte(`{"messages":[]}`)}
}

// TestSendFaults guards against a truncated, foreign or failed answer that is
// forwarded as complete, and against an error with a wrong outcome.
func TestSendFaults(t *testing.T) {
	tests := map[string]struct {
		scriptedAnswer
		notStreamed bool
		code        code.Code
		// outcome is the default outcome of the code if empty.
		outcome code.Outcome
		text    string
	}{
		"complete answer":                     {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a"), textEvent("b"), endMarker) + chunkedEnd, ""}, code: code.Answered, text: "ab"},
		"no replica header":                   {scriptedAnswer: scriptedAnswer{eventStream("", textEvent("a"), endMarker) + chunkedEnd, ""}, code: code.Answered, text: "a"},
		"end marker twice":                    {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a"), endMarker, endMarker) + chunkedEnd, ""}, code: code.Answered, text: "a"},
		"connection stays open after the end": {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a"), endMarker), "stall"}, code: code.Answered, text: "a"},
		"null error":                          {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, `{"choices":[{"text":"a"}],"error":null}`, endMarker) + chunkedEnd, ""}, code: code.Answered, text: "a"},
		"closed at once":                      {scriptedAnswer: scriptedAnswer{"", "close"}, code: code.CutOff},
		"closed in the header":                {scriptedAnswer: scriptedAnswer{"HTTP/1.1 200 OK\r\nX-Rep", "close"}, code: code.CutOff},
		"closed after two chunks":             {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a"), textEvent("b")), "close"}, code: code.CutOff, text: "ab"},
		"closed in an event":                  {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a")) + "40\r\ndata: {\"cho", "close"}, code: code.CutOff, text: "a"},
		"closed in the end marker":            {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a")) + "d\r\ndata: [DON", "close"}, code: code.CutOff, text: "a"},
		"no end marker":                       {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a")) + chunkedEnd, ""}, code: code.CutOff, text: "a"},
		"another replica":                     {scriptedAnswer: scriptedAnswer{eventStream("X-Replica: s\r\nX-Epoch: 3\r\n", textEvent("a"), endMarker) + chunkedEnd, ""}, code: code.ForeignAnswer},
		"another epoch":                       {scriptedAnswer: scriptedAnswer{eventStream("X-Replica: r\r\nX-Epoch: 2\r\n", textEvent("a"), endMarker) + chunkedEnd, ""}, code: code.ForeignAnswer},
		"epoch without replica":               {scriptedAnswer: scriptedAnswer{eventStream("X-Epoch: 3\r\n", textEvent("a"), endMarker) + chunkedEnd, ""}, code: code.ForeignAnswer},
		"event that is not JSON":              {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a"), "}{", endMarker) + chunkedEnd, ""}, code: code.CutOff, text: "a"},
		"answer that is not HTTP":             {scriptedAnswer: scriptedAnswer{"\x00\x01garbage\r\n\r\n", "close"}, code: code.CutOff},
		"error event":                         {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a"), `{"error":{"message":"x"}}`, endMarker) + chunkedEnd, ""}, code: code.CutOff, text: "a"},
		"event over the size limit":           {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent(strings.Repeat("a", 1<<20)), endMarker) + chunkedEnd, ""}, code: code.CutOff},
		"stalled before the head":             {scriptedAnswer: scriptedAnswer{"", "stall"}, code: code.Stalled},
		"stalled after a chunk":               {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a")), "stall"}, code: code.Stalled, text: "a"},
		"conflict":                            {scriptedAnswer: scriptedAnswer{statusAnswer(409), ""}, code: code.ForeignAnswer, outcome: code.NotRun},
		"too many requests":                   {scriptedAnswer: scriptedAnswer{statusAnswer(429), ""}, code: code.Overloaded},
		"unavailable":                         {scriptedAnswer: scriptedAnswer{statusAnswer(503), ""}, code: code.Overloaded},
		"failed":                              {scriptedAnswer: scriptedAnswer{statusAnswer(500), ""}, code: code.EndpointFailed},
		"rejected":                            {scriptedAnswer: scriptedAnswer{statusAnswer(400), ""}, code: code.EndpointRejected},
		"complete answer, not streamed":       {notStreamed: true, scriptedAnswer: scriptedAnswer{"HTTP/1.1 200 OK\r\n" + replicaHeader + "Content-Length: 2\r\n\r\n{}", ""}, code: code.Answered, text: "{}"},
		"closed in the body, not streamed":    {notStreamed: true, scriptedAnswer: scriptedAnswer{"HTTP/1.1 200 OK\r\n" + replicaHeader + "Content-Length: 9\r\n\r\n{}", "close"}, code: code.CutOff},
		"not JSON, not streamed":              {notStreamed: true, scriptedAnswer: scriptedAnswer{"HTTP/1.1 200 OK\r\n" + replicaHeader + "Content-Length: 1\r\n\r\n{", ""}, code: code.CutOff},
		"another replica, not streamed":       {notStreamed: true, scriptedAnswer: scriptedAnswer{"HTTP/1.1 200 OK\r\nX-Replica: s\r\nX-Epoch: 3\r\nContent-Length: 2\r\n\r\n{}", ""}, code: code.ForeignAnswer},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, cl, f := qt.New(t), newTestClient(), startFakeEngine(t, test.scriptedAnswer)
			defer cl.requestPool.CloseIdleConnections()
			sink := new(recordingSink)
			err := cl.Send(context.Background(), f.endpoint(), newChatRequest(!test.notStreamed), work.PartialAnswer{}, sink)
			c.Assert(code.Of(err), qt.Equals, test.code, qt.Commentf("%v", err))
			if test.outcome == "" {
				test.outcome = test.code.Spec().Outcome
			}
			c.Assert(code.OutcomeOf(err), qt.Equals, test.outcome)
			c.Assert(sink.text, qt.Equals, test.text)
			c.Assert(sink.ends == 1, qt.Equals, err == nil)
			c.Assert(sink.starts <= 1, qt.IsTrue)
			if test.outcome == code.NotRun || test.code == code.ForeignAnswer {
				c.Assert(sink.starts, qt.Equals, 0)
			}
		})
	}
}

// TestResumeHeader guards against a completion that is resumed within a character or at the
// wrong place, as the engine counts characters.
func TestResumeHeader(t *testing.T) {
	tests := map[string]struct {
		operation work.Operation
		text      string
		want      string
	}{
		"ASCII":              {work.Completion, "abc", "3"},
		"several bytes each": {work.Completion, "añ漢🙂", "4"},
		"nothing sent yet":   {work.Completion, "", ""},
		"chat":               {work.Chat, "abc", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var request fasthttp.Request
			setResumeHeader(&request, &work.Request{Operation: test.operation}, work.PartialAnswer{Text: test.text})
			qt.New(t).Check(string(request.Header.Peek(headerResume)), qt.Equals, test.want)
		})
	}
}

// TestUnreachable guards against reporting a request as possibly run although its
// connection was refused.
func TestUnreachable(t *testing.T) {
	c, f := qt.New(t), startFakeEngine(t, scriptedAnswer{})
	c.Assert(f.listener.Close(), qt.IsNil)
	err := newTestClient().Send(context.Background(), f.endpoint(), newChatRequest(true), work.PartialAnswer{}, new(recordingSink))
	c.Assert(code.Of(err), qt.Equals, code.EndpointUnreachable)
}

// TestAbandoned guards against a run that continues at the engine after the
// client has abandoned the request, and against reuse of a connection on which
// bytes of an old answer may still arrive.
func TestAbandoned(t *testing.T) {
	errCallerClosed := errors.New("caller closed")
	tests := map[string]struct {
		scriptedAnswer
		sinkErr  error
		deadline time.Duration
	}{
		"caller closes early":      {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a"), textEvent("b")), "stall"}, sinkErr: errCallerClosed},
		"caller closes at the end": {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a"), endMarker) + chunkedEnd, ""}, sinkErr: errCallerClosed},
		"another replica":          {scriptedAnswer: scriptedAnswer{eventStream("X-Replica: s\r\n", textEvent("a")), "stall"}},
		"event that is not JSON":   {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, "}"), ""}},
		"deadline after the head":  {scriptedAnswer: scriptedAnswer{eventStream(replicaHeader, textEvent("a")), "stall"}, deadline: testStallTimeout / 3},
		"deadline before the head": {scriptedAnswer: scriptedAnswer{"", "stall"}, deadline: testStallTimeout / 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, cl, f := qt.New(t), newTestClient(), startFakeEngine(t, test.scriptedAnswer)
			ctx, cancel := context.WithCancel(context.Background())
			if test.deadline > 0 {
				ctx, cancel = context.WithTimeout(ctx, test.deadline)
			}
			defer cancel()
			for range 2 {
				sink := &recordingSink{err: test.sinkErr}
				c.Assert(cl.Send(ctx, f.endpoint(), newChatRequest(true), work.PartialAnswer{}, sink), qt.IsNotNil)
				c.Assert(sink.ends, qt.Equals, 0)
			}
			for range f.connections.Load() {
				<-f.closedConnections
			}
			if test.deadline == 0 {
				c.Assert(f.connections.Load(), qt.Equals, int64(2))
			}
		})
	}
}

// TestReuse guards against opening a connection for each answer. The client has
// to read the end of the chunked body before it can reuse the connection.
func TestReuse(t *testing.T) {
	c, cl, f := qt.New(t), newTestClient(), startFakeEngine(t, scriptedAnswer{eventStream(replicaHeader, textEvent("a"), endMarker) + chunkedEnd, ""})
	defer cl.requestPool.CloseIdleConnections()
	for range 5 {
		c.Assert(cl.Send(context.Background(), f.endpoint(), newChatRequest(true), work.PartialAnswer{}, new(recordingSink)), qt.IsNil)
	}
	c.Assert(f.connections.Load(), qt.Equals, int64(1))
}

// TestMain guards against goroutines that outlive the requests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
