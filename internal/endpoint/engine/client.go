// Package engine speaks the model engines' protocol: the OpenAI HTTP protocol
// for requests, and JSON reports and orders for control.
package engine

import (
	"context"
	"fmt"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/endpoint/stream"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/table"
)

// Settings are the settings of the engine protocol.
type Settings struct {
	// ChatPath is the engine's path of chat completions.
	ChatPath string `json:"chatPath" validate:"startswith=/"`
	// CompletionPath is the engine's path of completions.
	CompletionPath string `json:"completionPath" validate:"startswith=/"`
	// ReportPath is the engine's path of reports.
	ReportPath string `json:"reportPath" validate:"startswith=/"`
	// OrderPath is the engine's path of orders.
	OrderPath string `json:"orderPath" validate:"startswith=/"`
	// DialTimeout bounds the opening of a connection.
	DialTimeout settings.Duration `json:"dialTimeout" validate:"duration"`
	// Silence is the time without a byte after which an open connection
	// counts as stalled.
	Silence settings.Duration `json:"silence" validate:"duration"`
	// TokenSilence is the same once the first token has come. The wait for
	// that one may be long, as the request queues and its prompt is computed;
	// tokens follow each other quickly.
	TokenSilence settings.Duration `json:"tokenSilence" validate:"duration"`
	// Connections bounds the connections to one engine.
	Connections int `json:"connections" validate:"min=1,max=65536"`
	// MaxReport bounds the size of a report in bytes.
	MaxReport int `json:"maxReport" validate:"min=1024"`
}

// defaults returns the default settings.
func defaults() any {
	return &Settings{
		ChatPath:       "/v1/chat/completions",
		CompletionPath: "/v1/completions",
		ReportPath:     "/report",
		OrderPath:      "/order",
		DialTimeout:    settings.DurationOf(500 * time.Millisecond),
		Silence:        settings.DurationOf(10 * time.Second),
		TokenSilence:   settings.DurationOf(2 * time.Second),
		Connections:    4096,
		MaxReport:      1 << 20,
	}
}

// Client reaches engines. It is safe for concurrent use.
type Client struct {
	settings Settings
	clock    clock.Clock
	// requestPool is for requests, control for reports and orders, so that a full
	// set of streams doesn't keep reports from being read.
	requestPool *stream.Pool
	controlPool *stream.Pool
}

// New returns a client.
func New(s Settings, clk clock.Clock) *Client {
	c := &Client{settings: s, clock: clk}
	c.requestPool = stream.NewPool(stream.PoolOptions{
		Clock: clk, MaxConnections: s.Connections, DialTimeout: s.DialTimeout.Duration,
		StallTimeout: s.Silence.Duration, TokenStallTimeout: s.TokenSilence.Duration,
	})
	const controlConnections = 8
	c.controlPool = c.newControlPool(controlConnections)
	return c
}

func (c *Client) newControlPool(connections int) *stream.Pool {
	timeout := c.settings.DialTimeout.Duration
	return stream.NewPool(stream.PoolOptions{
		Clock: c.clock, MaxConnections: connections, DialTimeout: timeout, StallTimeout: timeout, MaxBody: c.settings.MaxReport,
	})
}

// Protocol names the protocol of the endpoints that the client reaches.
func (c *Client) Protocol() table.Protocol {
	return table.Engine
}

// CheckHealth reads a report over a new connection.
//
// Errors carry code.EndpointUnreachable or code.BadReport.
func (c *Client) CheckHealth(ctx context.Context, address string) error {
	probePool := c.newControlPool(1)
	defer probePool.CloseIdleConnections()
	_, err := c.fetchReport(ctx, probePool, address)
	if err == nil {
		// The endpoint answers, so the connection that failed had stalled.
		// Others opened at the same time probably have too.
		c.requestPool.CloseIdle(address)
		c.controlPool.CloseIdle(address)
	}
	return err
}

// operationPath returns the engine's path for the operation.
func (c *Client) operationPath(o work.Operation) (string, error) {
	switch o {
	case work.Chat:
		return c.settings.ChatPath, nil
	case work.Completion:
		return c.settings.CompletionPath, nil
	default:
		return "", code.Internal.New("engine: operation %q is not one of chat, completion", o)
	}
}

func url(address, path string) string {
	return fmt.Sprintf("http://%s%s", address, path)
}
