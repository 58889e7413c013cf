// Package service speaks HTTP to plain services.
package service

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/endpoint/stream"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/table"
)

// Settings are the settings of the protocol of plain services.
type Settings struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout settings.Duration `json:"dialTimeout" validate:"duration"`
	// Silence is the time without a byte after which a connection counts as
	// stalled.
	Silence settings.Duration `json:"silence" validate:"duration"`
	// Connections bounds the connections to one instance.
	Connections int `json:"connections" validate:"min=1,max=65536"`
	// HealthPath is the path of health checks; any answer below 500 is good.
	HealthPath string `json:"healthPath" validate:"startswith=/"`
}

func defaults() any {
	return &Settings{
		DialTimeout: settings.Of(500 * time.Millisecond),
		Silence:     settings.Of(10 * time.Second),
		Connections: 1024,
		HealthPath:  "/health",
	}
}

// keyHeader passes the caller's key on to the service.
const keyHeader = "Idempotency-Key"

// Client reaches plain services. It is safe for concurrent use.
type Client struct {
	settings Settings
	clock    clock.Clock
	http     *fasthttp.Client
}

// New returns a client.
func New(s Settings, clk clock.Clock) *Client {
	c := &Client{settings: s, clock: clk}
	c.http = c.newHTTP()
	return c
}

func (c *Client) newHTTP() *fasthttp.Client {
	client := stream.NewClient(stream.ClientOptions{
		Clock:       c.clock,
		Connections: c.settings.Connections,
		DialTimeout: c.settings.DialTimeout.Duration,
		Silence:     c.settings.Silence.Duration,
	})
	client.StreamResponseBody = true
	return client
}

// Protocol names the protocol of the endpoints that the client reaches.
func (c *Client) Protocol() table.Protocol {
	return table.Service
}

// Send sends the request once and passes the service's answer to the sink,
// whatever its status.
//
// Errors carry code.EndpointUnreachable or CutOff, or are the sink's.
func (c *Client) Send(ctx context.Context, e *table.Endpoint, r *work.Request, _ work.Sent, s work.Sink) error {
	client := c.http
	if r.AtMostOnce {
		// On a connection kept open the service may close it while the
		// request is on its way, which leaves open whether it ran. A new
		// connection makes that rare.
		client = c.newHTTP()
		defer client.CloseIdleConnections()
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	address(request, e, r)
	if err := stream.Do(ctx, client, request, response); err != nil {
		return stream.Failure(err, e.Address)
	}
	defer func() { _ = response.CloseBodyStream() }()
	if err := s.Start(headOf(e, response)); err != nil {
		return err
	}
	return pass(response, e, s)
}

// address sets the request's line, header and body.
func address(request *fasthttp.Request, e *table.Endpoint, r *work.Request) {
	request.SetRequestURI("http://" + e.Address + r.Path)
	request.Header.SetMethod(r.Method)
	for _, f := range r.Header {
		request.Header.Add(f.Name, f.Value)
	}
	if r.Key != "" {
		request.Header.Set(keyHeader, string(r.Key))
	}
	request.SetBodyRaw(r.Body)
}

// hopByHop are the response fields that concern one connection only.
var hopByHop = map[string]bool{
	fasthttp.HeaderConnection:       true,
	fasthttp.HeaderKeepAlive:        true,
	fasthttp.HeaderTransferEncoding: true,
	fasthttp.HeaderTrailer:          true,
	fasthttp.HeaderUpgrade:          true,
	fasthttp.HeaderContentLength:    true,
	fasthttp.HeaderServer:           true,
	fasthttp.HeaderDate:             true,
}

func headOf(e *table.Endpoint, response *fasthttp.Response) work.Head {
	h := work.Head{Status: response.StatusCode(), Endpoint: e.ID}
	for name, value := range response.Header.All() {
		if !hopByHop[string(name)] {
			h.Header = append(h.Header, work.Field{Name: string(name), Value: string(value)})
		}
	}
	return h
}

// pass copies the body to the sink.
func pass(response *fasthttp.Response, e *table.Endpoint, s work.Sink) error {
	body := response.BodyStream()
	if body == nil {
		if err := s.Piece(work.Piece{Raw: append([]byte(nil), response.Body()...)}); err != nil {
			return err
		}
		return s.End(work.End{})
	}
	const size = 32 << 10
	buffer := make([]byte, size)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if sinkErr := s.Piece(work.Piece{Raw: append([]byte(nil), buffer[:n]...)}); sinkErr != nil {
				return sinkErr
			}
		}
		if err == io.EOF {
			return s.End(work.End{})
		}
		if err != nil {
			return stream.Failure(err, e.Address)
		}
	}
}

// Healthy asks for the health path over a new connection.
//
// Errors carry code.EndpointUnreachable, CutOff or EndpointFailed.
func (c *Client) Healthy(ctx context.Context, address string) error {
	fresh := c.newHTTP()
	defer fresh.CloseIdleConnections()
	fresh.StreamResponseBody = false
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + c.settings.HealthPath)
	if err := stream.Do(ctx, fresh, request, response); err != nil {
		return stream.Failure(err, address)
	}
	if status := response.StatusCode(); status >= fasthttp.StatusInternalServerError {
		return code.EndpointFailed.New("health of %s: status %d", address, status)
	}
	return nil
}
