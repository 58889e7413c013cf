package httpserver

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testHandler answers with the body of the request, or as the path of the
// request says.
type testHandler struct {
	// started is closed when a request for /wait or /hold has been read, and
	// cancelled when the context of a request for /wait has ended.
	started   chan struct{}
	cancelled chan struct{}
	// release ends the request for /hold.
	release chan struct{}
	panics  atomic.Int64
	// recorded counts the requests for /record.
	recorded atomic.Int64
}

func (h *testHandler) Serve(ctx context.Context, r *Request, w *ResponseWriter) {
	fields := []proxy.Field{{Name: "Server-Mark", Value: "m"}}
	switch path := string(r.Header.RequestURI()); path {
	case "/stream":
		w.Start(http.StatusOK, fields, UnknownLength)
		_ = w.Write([]byte("one"))
		_ = w.End([]byte("two"))
	case "/abort":
		w.Start(http.StatusOK, fields, UnknownLength)
		_ = w.Write([]byte("one"))
	case "/wait":
		close(h.started)
		<-ctx.Done()
		close(h.cancelled)
	case "/late":
		close(h.started)
		<-ctx.Done()
		if errors.Is(context.Cause(ctx), proxy.ErrStopping) {
			w.Start(http.StatusServiceUnavailable, fields, 0)
			_ = w.End(nil)
		}
	case "/late-stream":
		w.Start(http.StatusOK, fields, UnknownLength)
		_ = w.Write([]byte("one"))
		close(h.started)
		select {
		case <-ctx.Done():
		case <-h.release:
			_ = w.End([]byte("two"))
		}
	case "/record":
		h.recorded.Add(1)
		w.Start(http.StatusOK, fields, 0)
		_ = w.End(nil)
	case "/panic":
		panic("unexpected error")
	case "/hold":
		close(h.started)
		<-h.release
		w.Start(http.StatusOK, fields, 0)
		_ = w.End(nil)
	default:
		w.Start(http.StatusOK, fields, len(r.Body))
		_ = w.End(r.Body)
	}
}

func (h *testHandler) Reject(status int, _ error, w *ResponseWriter) {
	w.Start(status, nil, 0)
	_ = w.End(nil)
}

func startServer(c *qt.C, limits Limits) (*Server, *testHandler, string) {
	return startServerWithBudget(c, limits, nil)
}

func startServerWithBudget(c *qt.C, limits Limits, b *budget.Budget) (*Server, *testHandler, string) {
	h := &testHandler{started: make(chan struct{}), cancelled: make(chan struct{}), release: make(chan struct{})}
	s := New(Options{
		Clock: clock.Real(), Handler: h, Limits: func() Limits { return limits }, Budget: b,
		OnPanic: func(cause any, stack []byte) {
			h.panics.Add(1)
			c.Check(cause, qt.Equals, "unexpected error")
			c.Check(len(stack) > 0, qt.IsTrue)
		},
	})
	c.Assert(s.Listen(context.Background(), "127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return s, h, s.listener.Addr().String()
}

func defaultLimits() Limits {
	return Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
}

// dial sends the bytes on a new connection.
func dial(c *qt.C, address, raw string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil) //nolint:forbidigo // a deadline of the test itself
	_, err = io.WriteString(conn, raw)
	c.Assert(err, qt.IsNil)
	return conn
}

// TestHTTPRequests guards against accepting a request that a server could parse
// differently, against limits that are not enforced, against answers with wrong
// framing, and against keeping or closing a connection contrary to the header.
func TestHTTPRequests(t *testing.T) {
	postHead := "POST /x HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		raw  string
		want []string
		// closes says that the server closes the connection after the answers.
		closes bool
	}{
		"content length": {raw: postHead + "Content-Length: 3\r\n\r\nabc", want: []string{"200 abc"}},
		"chunked body":   {raw: postHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", want: []string{"200 abc"}},
		"two requests in one write": {
			raw:  postHead + "Content-Length: 1\r\n\r\na" + postHead + "Content-Length: 1\r\n\r\nb",
			want: []string{"200 a", "200 b"},
		},
		"chunked answer":                {raw: "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", want: []string{"200 onetwo"}},
		"content length and chunked":    {raw: postHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", want: []string{"400 "}, closes: true},
		"two different content lengths": {raw: postHead + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", want: []string{"400 "}, closes: true},
		"unknown transfer encoding":     {raw: postHead + "Transfer-Encoding: gzip\r\n\r\nabc", want: []string{"400 "}, closes: true},
		"name with a blank":             {raw: "POST /name HTTP/1.1\r\nHost: h\r\nOdd Name: 1\r\nContent-Length: 3\r\n\r\nabc", want: []string{"400 "}, closes: true},
		"blank before a colon":          {raw: "POST /name HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", want: []string{"400 "}, closes: true},
		"name with a blank, no end":     {raw: "POST /name HTTP/1.1\r\nHost: h\r\nOdd Name: 1\r\n", want: []string{"400 "}, closes: true},
		"not HTTP":                      {raw: "\x16\x03\x01 nonsense\r\n\r\n", want: []string{"400 "}, closes: true},
		"head over 4 kB":                {raw: postHead + "Long: " + strings.Repeat("a", 6000) + "\r\nContent-Length: 1\r\n\r\na", want: []string{"200 a"}},
		"head over the limit":           {raw: postHead + "Long: " + strings.Repeat("a", 9000) + "\r\n\r\n", want: []string{"431 "}, closes: true},
		"body over the limit":           {raw: postHead + "Content-Length: 2000\r\n\r\n" + strings.Repeat("a", 2000), want: []string{"413 "}, closes: true},
		"chunked body over the limit":   {raw: postHead + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("a", 2000) + "\r\n0\r\n\r\n", want: []string{"413 "}, closes: true},
		"Connection: close":             {raw: postHead + "Connection: close\r\nContent-Length: 1\r\n\r\na", want: []string{"200 a"}, closes: true},
		"HTTP/1.0":                      {raw: "GET /stream HTTP/1.0\r\nHost: h\r\n\r\n", want: []string{"200 onetwo"}, closes: true},
		"HEAD request":                  {raw: "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n", want: []string{"200 "}},
		"Expect: 100-continue":          {raw: postHead + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\na", want: []string{"100", "200 a"}},
		"incomplete head":               {raw: "POST /x HT", want: []string{"408 "}, closes: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, _, address := startServer(c, defaultLimits())
			conn := dial(c, address, test.raw)
			reader := bufio.NewReader(conn)
			method := "POST"
			if strings.HasPrefix(test.raw, "HEAD") {
				method = "HEAD"
			}
			for _, want := range test.want {
				if want == "100" {
					line, err := reader.ReadString('\n')
					c.Assert(err, qt.IsNil)
					c.Check(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
					_, _ = reader.ReadString('\n')
					continue
				}
				response, err := http.ReadResponse(reader, &http.Request{Method: method})
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(response.Body)
				c.Assert(err, qt.IsNil)
				c.Check(response.Status[:3]+" "+string(body), qt.Equals, want)
			}
			if test.closes {
				_, err := reader.ReadByte()
				c.Check(err, qt.Equals, io.EOF)
			}
		})
	}
}

// TestAbort guards against an aborted answer that looks complete, as the connection ends without a reset.
func TestAbort(t *testing.T) {
	const get10 = "GET /abort HTTP/1.0\r\nHost: h\r\n\r\n"
	tests := map[string]struct {
		raw string
		// ahead is the number of bytes that the caller sends behind the request, halfCloses that it ends its side.
		ahead      int
		halfCloses bool
	}{
		"HTTP/1.1":                       {raw: "GET /abort HTTP/1.1\r\nHost: h\r\n\r\n"},
		"HTTP/1.0":                       {raw: get10},
		"HTTP/1.0, bytes behind it":      {raw: get10, ahead: 100},
		"HTTP/1.0, more than is read":    {raw: get10, ahead: 4 << 20},
		"HTTP/1.0, caller ends its side": {raw: get10, halfCloses: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, _, address := startServer(c, defaultLimits())
			conn := dial(c, address, test.raw)
			_, writeErr := conn.Write(make([]byte, test.ahead))
			if test.halfCloses {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			_, readErr := io.Copy(io.Discard, conn)
			// The kernel reports a reset once.
			err := cmp.Or(writeErr, readErr)
			c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
		})
	}
}

// TestPanic guards against an unexpected error in one request that ends the process, and
// against a request that stays counted after it.
func TestPanic(t *testing.T) {
	c := qt.New(t)
	s, h, address := startServer(c, defaultLimits())
	failed := dial(c, address, "GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := io.ReadAll(failed)
	c.Check(err, qt.IsNotNil, qt.Commentf("the answer looks complete"))
	c.Check(h.panics.Load(), qt.Equals, int64(1))
	other := dial(c, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nConnection: close\r\n\r\na")
	answer, err := io.ReadAll(other)
	c.Assert(err, qt.IsNil)
	c.Check(strings.HasPrefix(string(answer), "HTTP/1.1 200"), qt.IsTrue)
	c.Check(s.ActiveRequests(), qt.Equals, int64(0))
}

// TestCallerLeaves guards against a request that continues after its caller has
// closed the connection.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	_, h, address := startServer(c, defaultLimits())
	conn := dial(c, address, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-h.started
	c.Assert(conn.Close(), qt.IsNil)
	select {
	case <-h.cancelled:
	case <-time.After(2 * time.Second): //nolint:forbidigo // bounds the test
		c.Fatal("the request was not cancelled")
	}
}

// TestIdleTimeout guards against idle connections that are never closed.
func TestIdleTimeout(t *testing.T) {
	c := qt.New(t)
	limits := defaultLimits()
	limits.IdleTimeout = 50 * time.Millisecond
	_, _, address := startServer(c, limits)
	conn := dial(c, address, "")
	_, err := conn.Read(make([]byte, 1))
	c.Check(err, qt.Equals, io.EOF)
}

// TestDrain guards against a planned stop that interrupts a request, and
// against answers that do not announce the end of their connection.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	s, h, address := startServer(c, defaultLimits())
	idle := dial(c, address, "")
	conn := dial(c, address, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	<-h.started
	s.Drain()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		stopped <- s.Stop(ctx)
	}()
	_, err := idle.Read(make([]byte, 1))
	c.Check(err, qt.Equals, io.EOF)
	close(h.release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Check(response.Close, qt.IsTrue)
	c.Assert(conn.Close(), qt.IsNil)
	c.Check(<-stopped, qt.IsNil)
}

// TestCancelUnanswered guards against a request that is cut off without an answer at the end of a
// stop, and against an answer that has begun and is cut off before that.
func TestCancelUnanswered(t *testing.T) {
	tests := map[string]struct {
		path       string
		wantStatus int
		wantBody   string
	}{
		"not answered": {path: "/late", wantStatus: http.StatusServiceUnavailable},
		"begun":        {path: "/late-stream", wantStatus: http.StatusOK, wantBody: "onetwo"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, h, address := startServer(c, defaultLimits())
			conn := dial(c, address, "GET "+test.path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			<-h.started
			s.Drain()
			s.CancelUnanswered()
			close(h.release)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, test.wantStatus)
			c.Check(string(body), qt.Equals, test.wantBody)
		})
	}
}
