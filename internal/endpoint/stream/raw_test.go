package stream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/clock"
)

// fakeServer sends the same bytes on each connection after the head of each
// request. Then it closes or resets the connection, or leaves it open.
type fakeServer struct {
	answer      string
	afterAnswer string
	// connections gets each accepted connection.
	connections chan net.Conn
}

func (s *fakeServer) listen(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	s.connections = make(chan net.Conn, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.connections <- conn
			go s.serve(conn)
		}
	}()
	return l.Addr().String()
}

func (s *fakeServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.ReadString('\n'); err != nil {
			return
		}
		for line := "-"; strings.TrimSpace(line) != ""; {
			var err error
			if line, err = reader.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, s.answer)
		switch s.afterAnswer {
		case "close":
			_ = conn.Close()
			return
		case "reset":
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			return
		}
	}
}

func newTestPool() *Pool {
	return NewPool(PoolOptions{Clock: clock.Real(), MaxConnections: 4, DialTimeout: time.Second, StallTimeout: 2 * time.Second})
}

func newTestRequest(address string) *RawRequest {
	return &RawRequest{
		Address: address, Data: []byte("GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: own\r\n\r\n"),
		MatchRequest: func(h *fasthttp.ResponseHeader) Match {
			if string(h.Peek("Request-Id")) == "own" {
				return Own
			}
			return Foreign
		},
	}
}

// TestForward guards against a truncated answer that is treated as complete,
// against forwarding an answer to another request, and against reuse of a
// connection on which more data may arrive.
func TestForward(t *testing.T) {
	const ownHeader = "HTTP/1.1 200 OK\r\nRequest-Id: own\r\n"
	tests := map[string]struct {
		answer      string
		afterAnswer string
		body        string
		wantErr     bool
		reused      bool
	}{
		"content length":                        {answer: ownHeader + "Content-Length: 3\r\n\r\nabc", body: "abc", reused: true},
		"no body":                               {answer: ownHeader + "Content-Length: 0\r\n\r\n", reused: true},
		"chunked":                               {answer: ownHeader + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", body: "abc", reused: true},
		"chunked with a trailer":                {answer: ownHeader + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nSum: 1\r\n\r\n", body: "abc", reused: true},
		"no length, connection closed":          {answer: ownHeader + "\r\nabc", afterAnswer: "close", body: "abc"},
		"no length, connection reset":           {answer: ownHeader + "\r\nabc", afterAnswer: "reset", wantErr: true},
		"truncated content length":              {answer: ownHeader + "Content-Length: 5\r\n\r\nabc", afterAnswer: "close", body: "abc", wantErr: true},
		"truncated chunks":                      {answer: ownHeader + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", afterAnswer: "close", body: "abc", wantErr: true},
		"truncated last chunk":                  {answer: ownHeader + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", afterAnswer: "close", body: "abc", wantErr: true},
		"Connection: close":                     {answer: ownHeader + "Connection: close\r\nContent-Length: 1\r\n\r\na", body: "a"},
		"late answer to another request before": {answer: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nxx" + ownHeader + "Content-Length: 1\r\n\r\na", body: "a", reused: true},
		"extra answer after":                    {answer: ownHeader + "Content-Length: 1\r\n\r\na" + "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nxx", body: "a"},
		"interim response 100 Continue":         {answer: "HTTP/1.1 100 Continue\r\n\r\n" + ownHeader + "Content-Length: 1\r\n\r\na", body: "a", reused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &fakeServer{answer: test.answer, afterAnswer: test.afterAnswer}
			address := s.listen(c)
			p := newTestPool()
			defer p.CloseIdleConnections()
			r, err := p.Forward(context.Background(), newTestRequest(address))
			if test.afterAnswer == "reset" && err != nil {
				return
			}
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(r)
			if test.afterAnswer != "reset" {
				c.Check(string(body), qt.Equals, test.body)
			}
			c.Check(err != nil, qt.Equals, test.wantErr, qt.Commentf("%v", err))
			r.Close()
			p.mu.Lock()
			conns := p.byAddress[address]
			c.Check(conns != nil && len(conns.idle) == 1, qt.Equals, test.reused)
			p.mu.Unlock()
		})
	}
}

// TestNoAnswer guards against accepting invalid bytes, or answers to other
// requests only, as the answer.
func TestNoAnswer(t *testing.T) {
	tests := map[string]string{
		"not HTTP":                       "nonsense\r\n\r\n",
		"no bytes":                       "",
		"answers to other requests only": strings.Repeat("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n", 3),
		"truncated head":                 "HTTP/1.1 200 OK\r\nRequest-Id: own\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &fakeServer{answer: answer, afterAnswer: "close"}
			_, err := newTestPool().Forward(context.Background(), newTestRequest(s.listen(c)))
			c.Check(err, qt.IsNotNil)
		})
	}
}

// endlessAnswers are answers that repeat their end until the connection is closed.
var endlessAnswers = map[string]struct{ start, repeated string }{
	"field in the head":          {"HTTP/1.1 200 OK\r\nRequest-Id: own\r\nX: ", "x"},
	"fields in the head":         {"HTTP/1.1 200 OK\r\nRequest-Id: own\r\n", "X: x\r\n"},
	"empty lines before a head":  {"", "\r\n"},
	"interim responses":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"answers to other requests":  {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\na"},
	"body of another answer":     {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x"},
	"chunks of another answer":   {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"size of a chunk":            {"HTTP/1.1 200 OK\r\nRequest-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"extension of a chunk":       {"HTTP/1.1 200 OK\r\nRequest-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailer after the last one": {"HTTP/1.1 200 OK\r\nRequest-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"},
}

// TestEndlessAnswer guards against a faulty server whose bytes without end occupy the
// daemon's memory, or its request until the caller leaves.
func TestEndlessAnswer(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close() //nolint:errcheck // the end of the test
			closed := make(chan struct{})
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close() //nolint:errcheck // the client has closed it
				_, _ = io.WriteString(conn, answer.start)
				part := []byte(strings.Repeat(answer.repeated, 1000))
				for {
					if _, err := conn.Write(part); err != nil {
						close(closed)
						return
					}
				}
			}()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			r, err := newTestPool().Forward(context.Background(), newTestRequest(l.Addr().String()))
			if err == nil {
				_, err = io.Copy(io.Discard, r)
				r.Close()
			}
			c.Check(err, qt.IsNotNil)
			runtime.ReadMemStats(&after)
			c.Check(after.TotalAlloc-before.TotalAlloc < 8<<20, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
			<-closed
		})
	}
}

// TestKeepWaiting guards against waiting forever for a server that sends nothing, and against an
// exchange that ends although KeepWaiting wants to go on.
func TestKeepWaiting(t *testing.T) {
	const (
		interval = 10 * time.Millisecond
		wanted   = 4
	)
	c := qt.New(t)
	s := &fakeServer{answer: "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"}
	request := newTestRequest(s.listen(c))
	answered := false
	var silences []time.Duration
	request.SilenceInterval = interval
	request.KeepWaiting = func(silence time.Duration) bool {
		if !answered {
			return true
		}
		silences = append(silences, silence)
		return len(silences) < wanted
	}
	r, err := newTestPool().Forward(context.Background(), request)
	c.Assert(err, qt.IsNil)
	defer r.Close()
	_, err = io.ReadFull(r, make([]byte, 1))
	c.Assert(err, qt.IsNil)
	answered = true
	started := clock.Real().Now()
	_, err = io.ReadAll(r)
	elapsed := clock.Real().Since(started)
	c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
	c.Assert(silences, qt.HasLen, wanted)
	for i, silence := range silences {
		c.Check(silence >= time.Duration(i+1)*interval && silence <= elapsed, qt.IsTrue, qt.Commentf("silences %s within %s", silences, elapsed))
	}
}

// silentConn is a connection on which nothing arrives. A read ends at its deadline, to which it
// advances the clock.
type silentConn struct {
	net.Conn
	clock    *clockwork.FakeClock
	deadline time.Time
}

func (s *silentConn) SetReadDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

func (s *silentConn) Read([]byte) (int, error) {
	s.clock.Advance(s.deadline.Sub(s.clock.Now()))
	return 0, os.ErrDeadlineExceeded
}

// TestSilenceInterval guards against checks of a silent connection that are too rare or too
// frequent, or that get a wrong length of the silence.
func TestSilenceInterval(t *testing.T) {
	const (
		interval = 10 * time.Millisecond
		// maxChecks ends the test on code that would check forever.
		maxChecks = 10
	)
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	var silences []time.Duration
	silent := &conn{Conn: &silentConn{clock: clk}, clock: clk, silenceInterval: interval, keepWaiting: func(silence time.Duration) bool {
		silences = append(silences, silence)
		return silence < 35*time.Millisecond && len(silences) < maxChecks
	}}
	for range 2 {
		silences = nil
		_, err := silent.Read(make([]byte, 1))
		c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
		c.Check(silences, qt.DeepEquals, []time.Duration{interval, 2 * interval, 3 * interval, 4 * interval})
		c.Check(silent.readTimedOut, qt.IsTrue)
	}
}

// TestLongRequest guards against a daemon that blocks on writing a body which
// the server does not read, although the answer has arrived.
func TestLongRequest(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close() //nolint:errcheck // the end of the test
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 16))
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nRequest-Id: own\r\nContent-Length: 0\r\n\r\n")
	}()
	request := newTestRequest(l.Addr().String())
	request.Data = append(request.Data, make([]byte, 16<<20)...)
	p := newTestPool()
	r, err := p.Forward(context.Background(), request)
	c.Assert(err, qt.IsNil)
	c.Check(r.Header.StatusCode(), qt.Equals, 413)
	r.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Check(p.byAddress[request.Address], qt.IsNil)
}

// TestNewConnection guards against sending a request that must not run twice on
// an idle connection that the server may be closing.
func TestNewConnection(t *testing.T) {
	c := qt.New(t)
	s := &fakeServer{answer: "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 0\r\n\r\n"}
	p := newTestPool()
	defer p.CloseIdleConnections()
	request := newTestRequest(s.listen(c))
	for i, newConnection := range []bool{false, false, true} {
		request.NewConnection = newConnection
		r, err := p.Forward(context.Background(), request)
		c.Assert(err, qt.IsNil)
		r.Close()
		c.Check(len(s.connections), qt.Equals, 1+i/2)
	}
}

// TestNewConnectionAtLimit guards against a request that gets no new connection, since idle connections take all that
// the address may have.
func TestNewConnectionAtLimit(t *testing.T) {
	c := qt.New(t)
	s := &fakeServer{answer: "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 0\r\n\r\n"}
	p := newTestPool()
	defer p.CloseIdleConnections()
	request := newTestRequest(s.listen(c))
	request.NewConnection = true
	for range 2*p.MaxConnections + 1 {
		r, err := p.Forward(context.Background(), request)
		c.Assert(err, qt.IsNil)
		r.Close()
		p.mu.Lock()
		conns := p.byAddress[request.Address]
		c.Check(conns.openCount <= p.MaxConnections, qt.IsTrue)
		c.Check(len(conns.idle), qt.Equals, conns.openCount)
		c.Check(p.idleCount, qt.Equals, conns.openCount)
		p.mu.Unlock()
	}
	held := make([]*RawResponse, p.MaxConnections)
	for i := range held {
		r, err := p.Forward(context.Background(), request)
		c.Assert(err, qt.IsNil)
		held[i] = r
	}
	_, err := p.Forward(context.Background(), request)
	c.Check(err, qt.ErrorIs, errConnectionLimit)
	for _, r := range held {
		r.Close()
	}
}

// TestKeepAlive guards against using a connection that the server is about to
// close.
func TestKeepAlive(t *testing.T) {
	tests := map[string]struct {
		field string
		want  time.Duration
	}{
		"none":                           {"", defaultIdleTimeout},
		"timeout":                        {"timeout=2", 1500 * time.Millisecond},
		"timeout among other parameters": {"max=5, timeout=1", 750 * time.Millisecond},
		"timeout over the limit":         {"timeout=60", defaultIdleTimeout},
		"not a number":                   {"timeout=soon", defaultIdleTimeout},
		"zero timeout":                   {"timeout=0", defaultIdleTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(parseKeepAlive([]byte(test.field)), qt.Equals, test.want)
		})
	}
}
