// Package service sends requests to plain HTTP services.
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
	"cuminbay/internal/route/table"
)

// Options are the parts of a Service.
type Options struct {
	Clock       clock.Clock
	DialTimeout time.Duration
	// StallTimeout bounds the wait for each next byte of an answer.
	StallTimeout time.Duration
	// MaxBodyBytes bounds an answer's body in bytes.
	MaxBodyBytes int64
	// HealthPath is asked by Healthy.
	HealthPath string
}

// Client speaks HTTP to plain services. Every request has a connection of its
// own: on a kept-alive one that the server is closing it can't be told whether
// the request arrived.
type Client struct {
	Options
}

// New returns a Service.
func New(o Options) *Client {
	return &Client{Options: o}
}

// Protocol returns the protocol's name.
func (s *Client) Protocol() table.Protocol { return table.Service }

// stallConn is a connection that ends a read after the limit of silence.
type stallConn struct {
	net.Conn
	clock        clock.Clock
	stallTimeout time.Duration
}

// Read implements net.Conn.
func (w *stallConn) Read(p []byte) (int, error) {
	if err := w.SetReadDeadline(w.clock.Now().Add(w.stallTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Read(p)
}

func (s *Client) dial(ctx context.Context, address string) (*stallConn, error) {
	dialer := net.Dialer{Timeout: s.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, code.EndpointUnreachable.Wrap(err, "service at %s", address)
	}
	return &stallConn{Conn: conn, clock: s.Clock, stallTimeout: s.StallTimeout}, nil
}

// Send sends the request once and passes the answer to the sink as it comes.
// Every status is an answer of the service.
//
// Errors carry code.EndpointUnreachable (nothing was sent) or code.CutOff.
func (s *Client) Send(ctx context.Context, e *table.Endpoint, r *work.Request, _ work.PartialAnswer, sink work.Sink) error {
	conn, err := s.dial(ctx, e.Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := s.writeRequest(conn, e.Address, r); err != nil {
		return code.CutOff.Wrap(err, "service at %s: write the request", e.Address)
	}
	var answer fasthttp.Response
	answer.StreamBody = true
	answer.SkipBody = r.Method == fasthttp.MethodHead
	if err := answer.ReadLimitBody(bufio.NewReader(conn), int(s.MaxBodyBytes)); err != nil {
		return code.CutOff.Wrap(err, "service at %s: read the answer", e.Address)
	}
	if err := sink.Start(newHead(e, &answer)); err != nil {
		return err
	}
	if err := s.copyBody(&answer, e.Address, sink); err != nil {
		return err
	}
	return sink.End(work.End{})
}

func (s *Client) writeRequest(conn net.Conn, address string, r *work.Request) error {
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
	if err := conn.SetWriteDeadline(s.Clock.Now().Add(s.StallTimeout)); err != nil {
		return err
	}
	w := bufio.NewWriter(conn)
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func newHead(e *table.Endpoint, answer *fasthttp.Response) work.Head {
	h := work.Head{Status: answer.StatusCode(), Endpoint: e.ID}
	for name, value := range answer.Header.All() {
		h.Header = append(h.Header, work.Field{Name: string(name), Value: string(value)})
	}
	return h
}

// copyBufferBytes is the size of the pieces that a body is passed on in.
const copyBufferBytes = 16 << 10

func (s *Client) copyBody(answer *fasthttp.Response, address string, sink work.Sink) error {
	body := answer.BodyStream()
	if body == nil {
		if raw := answer.Body(); len(raw) > 0 {
			return sink.Chunk(work.Chunk{Raw: raw})
		}
		return nil
	}
	var total int64
	for {
		buffer := make([]byte, copyBufferBytes)
		n, err := body.Read(buffer)
		total += int64(n)
		if total > s.MaxBodyBytes {
			return code.CutOff.New("service at %s: the answer is longer than %d bytes", address, s.MaxBodyBytes)
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
			return code.CutOff.Wrap(err, "service at %s: read the answer's body", address)
		}
	}
}

// CheckHealth asks for the health path over a new connection.
//
// Errors carry code.EndpointUnreachable or code.CutOff; a status of 500 or
// above carries code.EndpointFailed.
func (s *Client) CheckHealth(ctx context.Context, address string) error {
	var status statusSink
	r := &work.Request{Method: fasthttp.MethodGet, Path: s.HealthPath}
	if err := s.Send(ctx, &table.Endpoint{Address: address}, r, work.PartialAnswer{}, &status); err != nil {
		return err
	}
	if status >= fasthttp.StatusInternalServerError {
		return code.EndpointFailed.New("service at %s: health status %d", address, int(status))
	}
	return nil
}

// statusSink keeps the status of an answer.
type statusSink int

func (s *statusSink) Start(h work.Head) error { *s = statusSink(h.Status); return nil }
func (*statusSink) Chunk(work.Chunk) error    { return nil }
func (*statusSink) End(work.End) error        { return nil }
