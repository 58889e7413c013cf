package stream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
)

// listenUntilRequest starts a server that answers requests on each connection before the last
// one, to which it sends only the bytes before it closes or resets the connection.
func listenUntilRequest(c *qt.C, last int, bytes string, reset bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for n := 1; ; n++ {
			for line := "-"; strings.TrimSpace(line) != ""; {
				var err error
				if line, err = reader.ReadString('\n'); err != nil {
					return
				}
			}
			if n < last {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 1\r\n\r\na")
				continue
			}
			_, _ = io.WriteString(conn, bytes)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
			return
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// TestKeptConnection guards against a server that counts as failed since it closed an idle
// connection at the moment of a request, and against the opposite.
func TestKeptConnection(t *testing.T) {
	tests := map[string]struct {
		// last is the request on a connection that gets no answer, but the bytes.
		last  int
		bytes string
		reset bool
		want  code.Code
	}{
		"first request on the connection":        {last: 1, want: code.CutOff},
		"first request, reset":                   {last: 1, reset: true, want: code.CutOff},
		"kept connection":                        {last: 2, want: code.ConnectionClosed},
		"kept connection, reset":                 {last: 3, reset: true, want: code.ConnectionClosed},
		"kept connection, a part of the head":    {last: 2, bytes: "HTTP/1.1 200 OK\r\nReq", want: code.CutOff},
		"kept connection, answer to another one": {last: 2, bytes: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\na", want: code.CutOff},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			pool := newTestPool()
			address := listenUntilRequest(c, test.last, test.bytes, test.reset)
			for n := 1; ; n++ {
				r, err := pool.Forward(context.Background(), newTestRequest(address))
				if err != nil {
					c.Check(n, qt.Equals, test.last)
					c.Check(code.Of(ErrorWithCode(err, address)), qt.Equals, test.want)
					return
				}
				_, err = io.Copy(io.Discard, r)
				c.Assert(err, qt.IsNil)
				r.Close()
			}
		})
	}
}

// TestUnansweredConnection guards against a connection that is kept after an exchange without an answer, since it
// returned a whole answer to another request. The server may still run the request.
func TestUnansweredConnection(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: "
	tests := map[string]string{
		"empty answer to another request":  foreign + "0\r\n\r\n",
		"answer to another request":        foreign + "1\r\n\r\na",
		"empty answers to other requests":  strings.Repeat(foreign+"0\r\n\r\n", 2),
		"too many empty answers to others": strings.Repeat(foreign+"0\r\n\r\n", maxForeignAnswers+1),
		"too many answers to others":       strings.Repeat(foreign+"1\r\n\r\na", maxForeignAnswers+1),
		"empty answer of unknown origin":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"answer of unknown origin":         "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		"one with an invalid status after": foreign + "0\r\n\r\nHTTP/1.1 000 X\r\n\r\n",
		"one that is cut off after it":     foreign + "0\r\n\r\nHTTP/1.1 200 OK\r\n",
		"no answer":                        "",
		"empty answer after interim ones":  "HTTP/1.1 103 X\r\n\r\n" + foreign + "0\r\n\r\n",
		"interim answer only":              "HTTP/1.1 103 X\r\n\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &fakeServer{answer: answer}
			request := newTestRequest(s.listen(c))
			request.SilenceInterval = 20 * time.Millisecond
			request.KeepWaiting = func(silence time.Duration) bool { return silence < 200*time.Millisecond }
			matchRequest := request.MatchRequest
			request.MatchRequest = func(h *fasthttp.ResponseHeader) Match {
				if len(h.Peek("Request-Id")) == 0 {
					return UnknownOrigin
				}
				return matchRequest(h)
			}
			p := newTestPool()
			defer p.CloseIdleConnections()
			_, err := p.Forward(context.Background(), request)
			c.Assert(err, qt.IsNotNil)
			p.mu.Lock()
			defer p.mu.Unlock()
			c.Check(p.byAddress[request.Address], qt.IsNil)
		})
	}
}
