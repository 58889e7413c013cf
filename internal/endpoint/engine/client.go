// Package engine is the client of the model engines. It sends requests over the
// OpenAI HTTP protocol, and reads reports and sends orders as JSON over HTTP.
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

// Settings are the settings of the engine client.
type Settings struct {
	// ChatPath is the engine's path for chat completions.
	ChatPath string `json:"chatPath" validate:"startswith=/"`
	// CompletionPath is the engine's path for completions.
	CompletionPath string `json:"completionPath" validate:"startswith=/"`
	// ReportPath is the engine's path for reports.
	ReportPath string `json:"reportPath" validate:"startswith=/"`
	// OrderPath is the engine's path for orders.
	OrderPath string `json:"orderPath" validate:"startswith=/"`
	// DialTimeout is the longest time to open a connection.
	DialTimeout settings.Duration `json:"dialTimeout" validate:"duration"`
	// Silence is the time without a received byte after which a connection
	// counts as stalled.
	Silence settings.Duration `json:"silence" validate:"duration"`
	// TokenSilence replaces Silence after the first token of an answer. The
	// first token may take long, since the request waits in the engine's queue
	// and the engine computes its prompt; later tokens follow each other
	// quickly.
	TokenSilence settings.Duration `json:"tokenSilence" validate:"duration"`
	// Connections is the highest number of connections to one engine.
	Connections int `json:"connections" validate:"min=1,max=65536"`
	// MaxReport is the maximum size of a report in bytes.
	MaxReport int `json:"maxReport" validate:"min=1024"`
}

func defaultSettings() any {
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

// Client sends requests and orders to engines. It is safe for concurrent use.
type Client struct {
	settings Settings
	clock    clock.Clock
	// requestPool has the connections for requests, and controlPool the
	// connections for reports and orders. With separate pools, many streams do
	// not keep the daemon from reading reports.
	requestPool *stream.Pool
	controlPool *stream.Pool
}

// New returns a client without connections.
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

// Protocol returns the protocol of the endpoints that the client sends to.
func (c *Client) Protocol() table.Protocol {
	return table.Engine
}

// CheckHealth reads a report over a new connection.
//
// Errors carry code.EndpointUnreachable, CutOff, Stalled or BadReport.
func (c *Client) CheckHealth(ctx context.Context, address string) error {
	probePool := c.newControlPool(1)
	defer probePool.CloseIdleConnections()
	_, err := c.fetchReport(ctx, probePool, address)
	if err == nil {
		// The endpoint answers, so the connection of the failed request had
		// stalled. Connections that were opened at the same time have probably
		// stalled too.
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

func requestURL(address, path string) string {
	return fmt.Sprintf("http://%s%s", address, path)
}
