package openai

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

func init() {
	settings.Register("openai", func() any {
		return &Settings{
			Listen:      "127.0.0.1:8080",
			MaxBody:     8 << 20,
			ReadTimeout: settings.DurationOf(30 * time.Second),
			IdleTimeout: settings.DurationOf(2 * time.Minute),
			LeaveDelay:  settings.DurationOf(time.Second),
		}
	})
	plugin.Register(plugin.Caller, "openai", newPlugin)
}

// Settings are the settings of the front end.
type Settings struct {
	// Listen is the address for callers, behind the load balancer.
	Listen string `json:"listen" validate:"listen"`
	// MaxBody is the maximum size of a request's body in bytes.
	MaxBody int `json:"maxBody" validate:"min=1024,max=1073741824"`
	// ReadTimeout is the longest time for a request to arrive completely.
	ReadTimeout settings.Duration `json:"readTimeout" validate:"duration"`
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout settings.Duration `json:"idleTimeout" validate:"duration"`
	// LeaveDelay is the time between failing the health check and refusing
	// requests at a planned stop. In this time the load balancer stops sending
	// requests to this daemon.
	LeaveDelay settings.Duration `json:"leaveDelay" validate:"duration"`
}

// component is the plug-in that serves the front end.
type component struct {
	frontend
	deps     *plugin.Deps
	settings *Settings
	server   *fasthttp.Server
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	return &component{deps: deps, settings: deps.Settings.Section("openai").(*Settings)}, nil
}

// Start opens the listener.
func (c *component) Start(context.Context) error {
	c.clock, c.started = c.deps.Clock, c.deps.Clock.Now()
	if err := c.deps.Resolve(&c.records, &c.dispatcher, &c.drainer, &c.peers, &c.roster); err != nil {
		return err
	}
	if err := c.deps.ResolveAll(&c.pathHandlers); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.settings.Listen)
	if err != nil {
		return err
	}
	callers := budget.OrUnlimited(c.deps.Budget, c.clock)
	reader := &httpcall.BodyReader{Limit: c.settings.MaxBody, Copies: bodyCopies, OnError: c.handleProtocolError}
	if needed := unit.Bytes((1 + bodyCopies) * c.settings.MaxBody); callers.Capacity < needed {
		c.deps.Log.Warn().Int64("capacity", int64(callers.Capacity)).Int64("needed", int64(needed)).Msg("budget-below-body-limit")
	}
	c.server = &fasthttp.Server{
		Name:         "cuminbay",
		Handler:      reader.Handler(c.handle),
		ErrorHandler: c.handleProtocolError,
		// Bodies are streamed, so that their memory is reserved before it is allocated. Multipart
		// bodies are not parsed, as fasthttp would write them to files.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           c.settings.MaxBody,
		ReadTimeout:                  c.settings.ReadTimeout.Duration,
		IdleTimeout:                  c.settings.IdleTimeout.Duration,
		Logger:                       discardLogger{},
		CloseOnShutdown:              true,
	}
	go c.serve(callers.Listen(listener, budget.Callers))
	c.deps.Timeline.Record("listening", "openai", "address", listener.Addr().String())
	return nil
}

func (c *component) serve(listener net.Listener) {
	if err := c.server.Serve(listener); err != nil {
		c.deps.Log.Error().Err(err).Msg("openai-listener-failed")
	}
}

// bodyCopies is the number of copies of a prompt while a request is decoded: the undecoded messages
// and their text.
const bodyCopies = 2

// handleProtocolError answers a request that fasthttp could not read.
func (c *component) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, budget.ErrNoRoom) {
		httpcall.WriteError(ctx, httpcall.NoRoom())
		return
	}
	if err == fasthttp.ErrBodyTooLarge { //nolint:errorlint // fasthttp passes this value itself.
		c.discardBody(ctx.Conn())
		httpcall.WriteError(ctx, code.BodyTooLarge.New("body: exceeds the limit of %d bytes", c.settings.MaxBody))
		return
	}
	httpcall.WriteError(ctx, code.MalformedBody.Wrap(err, "cannot parse the HTTP request"))
}

const (
	// maxDiscardBytes bounds the bytes of a too large body that are read and
	// discarded.
	maxDiscardBytes = 64 << 20
	// discardReadTimeout bounds the wait for further bytes of such a body.
	discardReadTimeout = 200 * time.Millisecond
)

// discardBody reads and discards the rest of a too large body until the caller
// pauses. If the daemon closed the connection with unread data, the caller's
// system would discard the answer, and the caller would see a broken connection
// instead of the result code.
func (c *component) discardBody(conn net.Conn) {
	const size = 64 << 10
	buffer := make([]byte, size)
	for total := 0; total < maxDiscardBytes; {
		if conn.SetReadDeadline(c.clock.Now().Add(discardReadTimeout)) != nil {
			return
		}
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

// Stop fails the health check first, so that the load balancer chooses other
// daemons. Then it refuses new requests, waits for requests in flight and
// closes the listener.
func (c *component) Stop(ctx context.Context) error {
	c.stopping.Store(true)
	plugin.Sleep(ctx, c.clock, c.settings.LeaveDelay.Duration)
	remaining := c.drainer.Drain(ctx)
	if remaining > 0 {
		c.deps.Timeline.Record("drain-limit-reached", "openai", "inFlight", strconv.FormatInt(int64(remaining), 10))
	}
	return c.server.ShutdownWithContext(ctx)
}

// discardLogger discards the log lines of fasthttp. They do not have the
// key=value form, and the result codes report the same errors.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
