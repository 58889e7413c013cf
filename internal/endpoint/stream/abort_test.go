package stream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/clock"
)

// sendFunc sends a request and reads the head of the answer. It returns the function that ends the
// exchange, nil if the request has failed.
type sendFunc func(ctx context.Context, p *Pool, address string) func()

// TestAbandonedRequest guards against a request that the kernel goes on sending after its exchange
// has ended without a complete answer, and that an endpoint gets when a cut ends.
func TestAbandonedRequest(t *testing.T) {
	var forward sendFunc = func(ctx context.Context, p *Pool, address string) func() {
		r, err := p.Forward(ctx, &RawRequest{
			Address: address, Data: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
			KeepWaiting: func(silence time.Duration) bool { return silence < 100*time.Millisecond }, SilenceInterval: 10 * time.Millisecond,
		})
		if err != nil {
			return nil
		}
		return r.Close
	}
	var open sendFunc = func(ctx context.Context, p *Pool, address string) func() {
		request, response := new(fasthttp.Request), new(fasthttp.Response)
		request.SetRequestURI("http://" + address + "/")
		x, err := p.Open(ctx, request, response)
		if err != nil {
			return nil
		}
		return x.Close
	}
	tests := map[string]struct {
		send sendFunc
		// answer is what the endpoint sends.
		answer string
		// leaveAfter is the time for which the caller stays after the endpoint has answered, zero if
		// it doesn't leave.
		leaveAfter time.Duration
		wantReset  bool
	}{
		"no answer":                {send: forward, wantReset: true},
		"no answer, caller leaves": {send: forward, leaveAfter: 20 * time.Millisecond, wantReset: true},
		"part of an answer":        {send: forward, answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", wantReset: true},
		"whole answer":             {send: forward, answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		"no answer to an exchange": {send: open, leaveAfter: 20 * time.Millisecond, wantReset: true},
		"part of an exchange":      {send: open, answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", wantReset: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			address, answered, ended := listenUntilEnd(c, test.answer)
			p := NewPool(PoolOptions{Clock: clock.Real(), MaxConnections: 4, DialTimeout: time.Second, StallTimeout: time.Second})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.leaveAfter > 0 {
				// A caller that leaves earlier may do so before there is a connection.
				go func() {
					<-answered
					clock.Real().AfterFunc(test.leaveAfter, cancel)
				}()
			}
			if end := test.send(ctx, p, address); end != nil {
				end()
			}
			select {
			case err := <-ended:
				c.Check(errors.Is(err, syscall.ECONNRESET), qt.Equals, test.wantReset, qt.Commentf("the connection ended with %v", err))
			case <-clock.Real().After(endTimeout):
				c.Errorf("the connection has not ended within %s", endTimeout)
			}
		})
	}
}

// endTimeout is the time after which a connection that has not ended fails the test.
const endTimeout = 10 * time.Second

// listenUntilEnd starts a server that sends the answer to the first request. The first channel is
// closed when it has done so or failed, the second one gets the error with which the connection ends.
func listenUntilEnd(c *qt.C, answer string) (address string, answered <-chan struct{}, ended <-chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	sent, end := make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			close(sent)
			end <- err
			return
		}
		defer conn.Close() //nolint:errcheck // the test has seen the end
		buffer := make([]byte, 1024)
		if _, err = conn.Read(buffer); err == nil {
			_, err = io.WriteString(conn, answer)
		}
		close(sent)
		for err == nil {
			_, err = conn.Read(buffer)
		}
		end <- err
	}()
	return l.Addr().String(), sent, end
}
