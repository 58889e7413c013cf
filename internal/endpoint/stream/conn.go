// Package stream holds what the endpoint protocols based on OpenAI HTTP share:
// connections that fail when they fall silent, the body of a resumed request,
// and the reading of server-sent events.
package stream

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/kernel/clock"
)

// ClientOptions are the settings of an HTTP client.
type ClientOptions struct {
	Clock clock.Clock
	// Connections bounds the connections to one address.
	Connections int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Silence is the time without a byte after which an open connection
	// counts as stalled.
	Silence time.Duration
}

// NewClient returns an HTTP client that sends each request once.
func NewClient(o ClientOptions) *fasthttp.Client {
	return &fasthttp.Client{
		NoDefaultUserAgentHeader: true,
		MaxConnsPerHost:          o.Connections,
		// A request is repeated by the dispatcher or not at all.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(address, o.DialTimeout)
			if err != nil {
				return nil, &dialError{err}
			}
			return &silenceConn{Conn: conn, clock: o.Clock, limit: o.Silence}, nil
		},
	}
}

// dialError marks a failure before anything was sent.
type dialError struct {
	error
}

// Unwrap returns the cause.
func (e *dialError) Unwrap() error {
	return e.error
}

// silenceConn fails a read or write that makes no progress for the limit. The
// deadline that the HTTP client sets, if any, bounds the whole answer.
type silenceConn struct {
	net.Conn
	clock clock.Clock
	limit time.Duration
	until time.Time
}

// SetReadDeadline bounds all later reads.
func (s *silenceConn) SetReadDeadline(t time.Time) error {
	s.until = t
	return nil
}

// Read reads with a fresh deadline.
func (s *silenceConn) Read(b []byte) (int, error) {
	deadline := s.clock.Now().Add(s.limit)
	if !s.until.IsZero() && s.until.Before(deadline) {
		deadline = s.until
	}
	if err := s.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return s.Conn.Read(b)
}

// Write writes with a fresh deadline.
func (s *silenceConn) Write(b []byte) (int, error) {
	if err := s.SetWriteDeadline(s.clock.Now().Add(s.limit)); err != nil {
		return 0, err
	}
	return s.Conn.Write(b)
}

// Failure gives an error of the HTTP client its code.
func Failure(err error, address string) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return code.EndpointUnreachable.Wrap(err, "endpoint at %s: no connection", address)
	}
	return code.CutOff.Wrap(err, "endpoint at %s: connection ended before the answer did", address)
}

// Do sends the request within the context's deadline.
func Do(ctx context.Context, client *fasthttp.Client, request *fasthttp.Request, response *fasthttp.Response) error {
	if err := ctx.Err(); err != nil {
		return &dialError{err}
	}
	if deadline, bounded := ctx.Deadline(); bounded {
		return client.DoDeadline(request, response, deadline)
	}
	return client.Do(request, response)
}

// Excerpt returns the start of a body for an error message.
func Excerpt(body []byte) string {
	const limit = 200
	if len(body) > limit {
		return string(body[:limit]) + "..."
	}
	return string(body)
}

// Head returns the first bytes of a response's body, streamed or not.
func Head(response *fasthttp.Response) []byte {
	const limit = 4096
	stream := response.BodyStream()
	if stream == nil {
		return response.Body()
	}
	body, _ := io.ReadAll(io.LimitReader(stream, limit))
	return body
}

// finishWait bounds the wait for the end of a body whose answer is whole. The
// end usually comes with the last event or right behind it.
const finishWait = 20 * time.Millisecond

// Finish reads the body of a whole answer to its end, without which the
// connection can't be used for another request.
func Finish(clk clock.Clock, response *fasthttp.Response) {
	body, streamed := response.BodyStream().(fasthttp.ReadCloserWithError)
	if !streamed {
		return
	}
	timer := clk.AfterFunc(finishWait, func() { _ = body.CloseWithError(context.DeadlineExceeded) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, body)
}
