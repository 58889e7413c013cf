// Package service is the client of the plain HTTP services. It sends a caller's
// request to one instance of a service and forwards the answer.
package service

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/http1"
	"cuminbay/internal/route/table"
)

// Options are the dependencies and settings of a Client.
type Options struct {
	Clock       clock.Clock
	DialTimeout time.Duration
	// StallTimeout is the longest wait for the next byte of a response.
	StallTimeout time.Duration
	// MaxBodyBytes is the maximum size of a response's body in bytes.
	MaxBodyBytes int64
	// HealthPath is the path that CheckHealth requests.
	HealthPath string
}

// Client sends requests to plain services. Every request gets a new connection:
// on a kept-alive connection that the server is closing, the client could not
// determine whether the request arrived.
type Client struct {
	Options
}

// New returns a Client. It opens no connection before the first request.
func New(o Options) *Client {
	return &Client{Options: o}
}

// Protocol returns the protocol of the endpoints that the client sends to.
func (c *Client) Protocol() table.Protocol { return table.Service }

// stallConn is a connection whose reads fail after the stall timeout.
type stallConn struct {
	net.Conn
	clock        clock.Clock
	stallTimeout time.Duration
}

// Read reads with a new deadline.
func (c *stallConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.clock.Now().Add(c.stallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *Client) dial(ctx context.Context, address string) (*stallConn, error) {
	dialer := net.Dialer{Timeout: c.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, code.EndpointUnreachable.Wrap(err, "service at %s: cannot connect", address)
	}
	return &stallConn{Conn: conn, clock: c.Clock, stallTimeout: c.StallTimeout}, nil
}

// Send sends the request once and forwards the answer to the sink as it
// arrives. Every status counts as an answer of the service.
//
// Errors carry code.EndpointUnreachable (nothing was sent) or code.CutOff, or
// are errors of the sink.
func (c *Client) Send(ctx context.Context, e *table.Endpoint, r *work.Request, _ work.PartialAnswer, sink work.Sink) error {
	conn, err := c.dial(ctx, e.Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := c.writeRequest(conn, e.Address, r); err != nil {
		return code.CutOff.Wrap(err, "service at %s: cannot write the request", e.Address)
	}
	var response fasthttp.Response
	response.StreamBody = true
	response.SkipBody = r.Method == fasthttp.MethodHead
	response.Header.SetNoDefaultContentType(true)
	if err := http1.ReadResponse(bufio.NewReader(conn), &response, int(c.MaxBodyBytes)); err != nil {
		return code.CutOff.Wrap(err, "service at %s: cannot read the response", e.Address)
	}
	if err := sink.Start(newHead(e, &response)); err != nil {
		return err
	}
	if err := c.copyBody(&response, e.Address, sink); err != nil {
		return err
	}
	return sink.End(work.End{})
}

func (c *Client) writeRequest(conn net.Conn, address string, r *work.Request) error {
	var request fasthttp.Request
	for _, f := range r.Header {
		request.Header.Add(f.Name, f.Value)
	}
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.Path)
	request.Header.SetHost(address)
	if r.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", string(r.IdempotencyKey))
	}
	request.SetBodyRaw(r.Body)
	request.SetConnectionClose()
	if err := conn.SetWriteDeadline(c.Clock.Now().Add(c.StallTimeout)); err != nil {
		return err
	}
	w := bufio.NewWriter(conn)
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func newHead(e *table.Endpoint, response *fasthttp.Response) work.Head {
	h := work.Head{Status: response.StatusCode(), Endpoint: e.ID}
	for name, value := range response.Header.All() {
		h.Header = append(h.Header, work.Field{Name: string(name), Value: string(value)})
	}
	return h
}

// copyBufferBytes is the maximum size of a chunk of a forwarded body.
const copyBufferBytes = 16 << 10

func (c *Client) copyBody(response *fasthttp.Response, address string, sink work.Sink) error {
	body := response.BodyStream()
	if body == nil {
		if raw := response.Body(); len(raw) > 0 {
			return sink.Chunk(work.Chunk{Raw: raw})
		}
		return nil
	}
	var total int64
	for {
		buffer := make([]byte, copyBufferBytes)
		n, err := body.Read(buffer)
		total += int64(n)
		if total > c.MaxBodyBytes {
			return code.CutOff.New("service at %s: the response's body exceeds the limit of %d bytes", address, c.MaxBodyBytes)
		}
		if n > 0 {
			if sinkErr := sink.Chunk(work.Chunk{Raw: buffer[:n]}); sinkErr != nil {
				return sinkErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return code.CutOff.Wrap(err, "service at %s: cannot read the response's body", address)
		}
	}
}

// CheckHealth requests the health path over a new connection.
//
// Errors carry code.EndpointUnreachable or code.CutOff. For a status of 500 or
// above the error carries code.EndpointFailed.
func (c *Client) CheckHealth(ctx context.Context, address string) error {
	var status statusSink
	r := &work.Request{Method: fasthttp.MethodGet, Path: c.HealthPath}
	if err := c.Send(ctx, &table.Endpoint{Address: address}, r, work.PartialAnswer{}, &status); err != nil {
		return err
	}
	if status >= fasthttp.StatusInternalServerError {
		return code.EndpointFailed.New("health check of the service at %s: got status %d, expected below 500", address, int(status))
	}
	return nil
}

// statusSink records the status of a response.
type statusSink int

func (s *statusSink) Start(h work.Head) error { *s = statusSink(h.Status); return nil }
func (*statusSink) Chunk(work.Chunk) error    { return nil }
func (*statusSink) End(work.End) error        { return nil }
