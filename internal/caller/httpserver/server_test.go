package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/kernel/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testHandler answers with the request's body, or as its path says.
type testHandler struct {
	// left is closed when the caller of /wait leaves, and begun when it has
	// been read.
	started   chan struct{}
	cancelled chan struct{}
	// release ends /hold.
	release chan struct{}
}

func (e *testHandler) Serve(ctx context.Context, r *Request, w *ResponseWriter) {
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
		close(e.started)
		<-ctx.Done()
		close(e.cancelled)
	case "/hold":
		close(e.started)
		<-e.release
		w.Start(http.StatusOK, fields, 0)
		_ = w.End(nil)
	default:
		w.Start(http.StatusOK, fields, len(r.Body))
		_ = w.End(r.Body)
	}
}

func (e *testHandler) Reject(status int, _ error, w *ResponseWriter) {
	w.Start(status, nil, 0)
	_ = w.End(nil)
}

func startServer(c *qt.C, limits Limits) (*Server, *testHandler, string) {
	e := &testHandler{started: make(chan struct{}), cancelled: make(chan struct{}), release: make(chan struct{})}
	s := New(Options{Clock: clock.Real(), Handler: e, Limits: func() Limits { return limits }})
	c.Assert(s.Listen(context.Background(), "127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return s, e, s.listener.Addr().String()
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

// TestBytes guards against requests that a server could read otherwise, limits
// that don't hold, answers in the wrong framing, and a connection that is kept
// or closed against what was said.
func TestBytes(t *testing.T) {
	post := "POST /x HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		raw  string
		want []string
		// closes says that the connection ends after the answers.
		closes bool
	}{
		"a body with a length": {raw: post + "Content-Length: 3\r\n\r\nabc", want: []string{"200 abc"}},
		"a body in chunks":     {raw: post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", want: []string{"200 abc"}},
		"two requests at once": {
			raw:  post + "Content-Length: 1\r\n\r\na" + post + "Content-Length: 1\r\n\r\nb",
			want: []string{"200 a", "200 b"},
		},
		"an answer in chunks":   {raw: "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", want: []string{"200 onetwo"}},
		"both lengths":          {raw: post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", want: []string{"400 "}, closes: true},
		"two content lengths":   {raw: post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", want: []string{"400 "}, closes: true},
		"an unknown encoding":   {raw: post + "Transfer-Encoding: gzip\r\n\r\nabc", want: []string{"400 "}, closes: true},
		"no protocol":           {raw: "\x16\x03\x01 nonsense\r\n\r\n", want: []string{"400 "}, closes: true},
		"a head over 4 kB":      {raw: post + "Long: " + strings.Repeat("a", 6000) + "\r\nContent-Length: 1\r\n\r\na", want: []string{"200 a"}},
		"a head over the limit": {raw: post + "Long: " + strings.Repeat("a", 9000) + "\r\n\r\n", want: []string{"431 "}, closes: true},
		"a body over the limit": {raw: post + "Content-Length: 2000\r\n\r\n" + strings.Repeat("a", 2000), want: []string{"413 "}, closes: true},
		"chunks over the limit": {raw: post + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("a", 2000) + "\r\n0\r\n\r\n", want: []string{"413 "}, closes: true},
		"a caller that closes":  {raw: post + "Connection: close\r\nContent-Length: 1\r\n\r\na", want: []string{"200 a"}, closes: true},
		"the old protocol":      {raw: "GET /stream HTTP/1.0\r\nHost: h\r\n\r\n", want: []string{"200 onetwo"}, closes: true},
		"a question for a head": {raw: "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n", want: []string{"200 "}},
		"a caller that expects": {raw: post + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\na", want: []string{"100", "200 a"}},
		"a head that is slow":   {raw: "POST /x HT", want: []string{"408 "}, closes: true},
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

// TestAbort guards against an answer that was broken off and looks whole.
func TestAbort(t *testing.T) {
	c := qt.New(t)
	_, _, address := startServer(c, defaultLimits())
	conn := dial(c, address, "GET /abort HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(response.Body)
	c.Check(err, qt.IsNotNil)
}

// TestCallerLeaves guards against a run that goes on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	_, e, address := startServer(c, defaultLimits())
	conn := dial(c, address, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-e.started
	c.Assert(conn.Close(), qt.IsNil)
	select {
	case <-e.cancelled:
	case <-time.After(2 * time.Second): //nolint:forbidigo // bounds the test
		c.Fatal("the request was not cancelled")
	}
}

// TestIdle guards against idle connections that stay for ever.
func TestIdle(t *testing.T) {
	c := qt.New(t)
	limits := defaultLimits()
	limits.IdleTimeout = 50 * time.Millisecond
	_, _, address := startServer(c, limits)
	conn := dial(c, address, "")
	_, err := conn.Read(make([]byte, 1))
	c.Check(err, qt.Equals, io.EOF)
}

// TestDrain guards against a planned stop that cuts off a request at work, and
// against answers that don't announce the end of their connection.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	s, e, address := startServer(c, defaultLimits())
	idle := dial(c, address, "")
	conn := dial(c, address, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	<-e.started
	s.Drain()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		stopped <- s.Stop(ctx)
	}()
	_, err := idle.Read(make([]byte, 1))
	c.Check(err, qt.Equals, io.EOF)
	close(e.release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Check(response.Close, qt.IsTrue)
	c.Assert(conn.Close(), qt.IsNil)
	c.Check(<-stopped, qt.IsNil)
}
