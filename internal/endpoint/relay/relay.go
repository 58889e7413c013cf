// Package relay sends requests to daemons of other data centres. It uses the
// OpenAI HTTP protocol of the daemons' listeners for callers and sends the
// caller's own credential, so that daemons need not trust each other.
package relay

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/endpoint/stream"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/table"
)

// The header fields of a relayed request. The front end of the other daemon
// reads the same fields in the requests of all callers, except X-Request-Id,
// since the front end assigns an id of its own.
const (
	headerRelayedFrom  = "X-Relayed-From"
	headerOrganisation = "OpenAI-Organization"
	headerPriority     = "X-Priority"
	headerDeadline     = "X-Deadline-Ms"
	headerRequest      = "X-Request-Id"
	// headerEndpoint is a field of the answer: it names the endpoint that ran
	// the request.
	headerEndpoint = "X-Endpoint"
)

// The paths of a daemon's listener for callers.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	healthPath     = "/health"
)

// Settings are the settings of the relay client.
type Settings struct {
	// DialTimeout is the longest time to open a connection.
	DialTimeout settings.Duration `json:"dialTimeout" validate:"duration"`
	// Silence is the time without a received byte after which a connection
	// counts as stalled. It has to exceed engine.silence, so that the other
	// daemon has time to try another engine.
	Silence settings.Duration `json:"silence" validate:"duration"`
	// TokenSilence replaces Silence after the first token of an answer. It has
	// to exceed engine.tokenSilence by the time that the other daemon needs to
	// resume the answer at another engine.
	TokenSilence settings.Duration `json:"tokenSilence" validate:"duration"`
	// Connections is the highest number of connections to one daemon.
	Connections int `json:"connections" validate:"min=1,max=65536"`
}

func defaultSettings() any {
	return &Settings{
		DialTimeout:  settings.DurationOf(500 * time.Millisecond),
		Silence:      settings.DurationOf(15 * time.Second),
		TokenSilence: settings.DurationOf(6 * time.Second),
		Connections:  4096,
	}
}

// Options are the dependencies and settings of a Client.
type Options struct {
	Settings Settings
	Clock    clock.Clock
	// Self is the name that the client sends to the other daemon.
	Self ident.Instance
}

// Client sends requests to daemons of other data centres. It is safe for
// concurrent use.
type Client struct {
	Options
	pool *stream.Pool
}

// New returns a client without connections.
func New(o Options) *Client {
	c := &Client{Options: o}
	c.pool = stream.NewPool(stream.PoolOptions{
		Clock: o.Clock, MaxConnections: o.Settings.Connections, DialTimeout: o.Settings.DialTimeout.Duration,
		StallTimeout: o.Settings.Silence.Duration, TokenStallTimeout: o.Settings.TokenSilence.Duration,
	})
	return c
}

// Protocol returns the protocol of the endpoints that the client sends to.
func (c *Client) Protocol() table.Protocol {
	return table.Relay
}

// CheckHealth reads the health of the daemon at the address over a new
// connection.
//
// Errors carry code.EndpointUnreachable, CutOff, Stalled or Draining.
func (c *Client) CheckHealth(ctx context.Context, address string) error {
	timeout := c.Settings.DialTimeout.Duration
	probePool := stream.NewPool(stream.PoolOptions{Clock: c.Clock, MaxConnections: 1, DialTimeout: timeout, StallTimeout: timeout})
	defer probePool.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + healthPath)
	if err := probePool.Do(ctx, request, response); err != nil {
		return stream.ErrorWithCode(err, address)
	}
	// The daemon answers, so the connection of the failed request had stalled.
	// Connections that were opened at the same time have probably stalled too.
	c.pool.CloseIdle(address)
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return code.Draining.New("health check of the daemon at %s: got status %d, expected 200", address, status)
	}
	return nil
}

// Send relays the request and forwards the answer to the sink.
//
// Errors carry code.EndpointUnreachable, CutOff, Stalled, MalformedBody, or the
// code and outcome that the other daemon returned, or are errors of the sink.
// Send rejects a request that must not be relayed with code.Internal and the
// outcome NotRun.
func (c *Client) Send(ctx context.Context, e *table.Endpoint, r *work.Request, sent work.PartialAnswer, s work.Sink) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := c.buildRequest(request, e, r, sent); err != nil {
		return err
	}
	exchange, err := c.pool.Open(ctx, request, response)
	if err != nil {
		return stream.ErrorWithCode(err, e.Address)
	}
	defer exchange.Close()
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return statusError(exchange.BodyPrefix(), status, e)
	}
	head := work.Head{Endpoint: e.ID}
	if answeringEndpoint := response.Header.Peek(headerEndpoint); len(answeringEndpoint) > 0 {
		head.Endpoint = ident.Endpoint(answeringEndpoint)
	}
	if err := s.Start(head); err != nil {
		return err
	}
	reader := stream.Reader{Endpoint: e, Request: r, Sink: s, EventError: func(event []byte) error { return eventError(event, e) }}
	if err := reader.Read(ctx, exchange); err != nil {
		return err
	}
	exchange.DrainBody()
	return nil
}

// buildRequest sets the request line, header and body of the relayed request.
func (c *Client) buildRequest(request *fasthttp.Request, e *table.Endpoint, r *work.Request, sent work.PartialAnswer) error {
	path := chatPath
	switch {
	case r.AtMostOnce || r.Relayed:
		return code.WithOutcome(code.Internal.New("relay: request %s is at-most-once or already relayed and must not be relayed", r.ID), code.NotRun)
	case r.Operation == work.Completion:
		path = completionPath
	case r.Operation != work.Chat:
		return code.WithOutcome(code.Internal.New("relay: operation %q is not one of chat, completion", r.Operation), code.NotRun)
	}
	body, err := stream.RequestBody(r, sent)
	if err != nil {
		return err
	}
	request.SetRequestURI("http://" + e.Address + path)
	header := &request.Header
	header.SetMethod(fasthttp.MethodPost)
	header.SetContentType("application/json")
	header.Set(headerRelayedFrom, string(c.Self))
	header.Set(headerRequest, string(r.ID))
	header.Set(headerOrganisation, string(r.Organisation))
	if r.Credential != "" {
		header.Set(fasthttp.HeaderAuthorization, r.Credential)
	}
	if r.Priority != 0 {
		header.Set(headerPriority, strconv.Itoa(int(r.Priority)))
	}
	if !r.Deadline.IsZero() {
		remaining := r.Deadline.Sub(c.Clock.Now()).Milliseconds()
		header.Set(headerDeadline, strconv.FormatInt(max(1, remaining), 10))
	}
	request.SetBodyRaw(body)
	return nil
}

// errorBody is the body of a daemon's error response.
type errorBody struct {
	Error struct {
		Message string       `json:"message"`
		Code    code.Code    `json:"code"`
		Outcome code.Outcome `json:"outcome"`
	} `json:"error"`
}

// parseDaemonError returns the daemon's error with its code and outcome, or nil
// if the body is not the error object of a daemon.
func parseDaemonError(body []byte, e *table.Endpoint) error {
	var decoded errorBody
	if json.Unmarshal(body, &decoded) != nil {
		return nil
	}
	c, outcome := decoded.Error.Code, decoded.Error.Outcome
	if c == code.Answered || c.Spec().Code != c {
		return nil
	}
	err := c.New("request relayed to %s: %s", e.ID, decoded.Error.Message)
	switch outcome {
	case c.Spec().Outcome:
		return err
	case code.NotRun, code.Ran, code.Unknown:
		return code.WithOutcome(err, outcome)
	default:
		return nil
	}
}

// statusError returns the error for a status other than 200. If the body is not
// a daemon's error object, it is unknown whether the request ran.
func statusError(body []byte, status int, e *table.Endpoint) error {
	if err := parseDaemonError(body, e); err != nil {
		return err
	}
	return code.CutOff.New("request relayed to %s: got status %d, expected 200: %s", e.ID, status, stream.Excerpt(body))
}

// eventError returns the error for an error event in a stream. The outcome is
// never NotRun, since the answer had begun before the event.
func eventError(event []byte, e *table.Endpoint) error {
	if err := parseDaemonError(event, e); err != nil && code.OutcomeOf(err) != code.NotRun {
		return err
	}
	return code.CutOff.New("request relayed to %s: error event in the stream: %s", e.ID, stream.Excerpt(event))
}
