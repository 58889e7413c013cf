package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// waitThen is a request that is not answered, and what the caller sends behind it.
func waitThen(behind ...string) string {
	return "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n" + strings.Join(behind, "")
}

// recorded is a request that the handler counts.
func recorded(padding int) string {
	return "GET /record HTTP/1.1\r\nHost: h\r\nPadding: " + strings.Repeat("p", padding) + "\r\n\r\n"
}

// TestCallerLeavesRequestsBehind guards against requests that run although the caller has closed the
// connection on which it had sent them ahead.
func TestCallerLeavesRequestsBehind(t *testing.T) {
	tests := map[string]string{
		"one request ahead":            waitThen(recorded(0)),
		"three requests ahead":         waitThen(recorded(0), recorded(0), recorded(0)),
		"part of a request ahead":      waitThen("GET /rec"),
		"line break after the request": waitThen("\r\n"),
		"more than the buffer ahead":   waitThen(strings.Repeat(recorded(500), 40)),
		// The end of the connection arrives as long as the kernel has room for what is before it.
		"much more than the buffer ahead": waitThen(strings.Repeat(recorded(500), 100)),
		"one request that fills it":       waitThen(recorded(2*initialBufferBytes), recorded(0)),
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, h, address := startServer(c, defaultLimits())
			conn := dial(c, address, raw)
			<-h.started
			c.Assert(conn.Close(), qt.IsNil)
			select {
			case <-h.cancelled:
			case <-time.After(2 * time.Second): //nolint:forbidigo // bounds the test
				c.Fatal("the request was not cancelled")
			}
			// A request that follows would run at once.
			<-time.After(100 * time.Millisecond) //nolint:forbidigo // as above
			c.Check(h.recorded.Load(), qt.Equals, int64(0))
		})
	}
}

// TestRequestsAhead guards against requests that a caller sends ahead and that are lost, answered out of
// order or not before further bytes arrive.
func TestRequestsAhead(t *testing.T) {
	tests := map[string]struct {
		requests, size int
	}{
		"few":                  {requests: 3, size: 10},
		"more than the buffer": {requests: 200, size: 100},
		"large":                {requests: 20, size: 1 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, _, address := startServer(c, defaultLimits())
			var raw strings.Builder
			for i := range test.requests {
				body := fmt.Sprintf("%0*d", test.size, i)
				fmt.Fprintf(&raw, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
			}
			conn := dial(c, address, "")
			go func() { _, _ = io.WriteString(conn, raw.String()) }()
			reader := bufio.NewReader(conn)
			for i := range test.requests {
				response, err := http.ReadResponse(reader, nil)
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(response.Body)
				c.Assert(err, qt.IsNil)
				c.Assert(string(body), qt.Equals, fmt.Sprintf("%0*d", test.size, i))
			}
		})
	}
}
