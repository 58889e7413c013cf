package openai

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
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
	// Listen is the address for callers, behind the balancer.
	Listen string `json:"listen" validate:"listen"`
	// MaxBody bounds a request's body in bytes.
	MaxBody int `json:"maxBody" validate:"min=1024,max=1073741824"`
	// ReadTimeout bounds the time in which a request has to arrive whole.
	ReadTimeout settings.Duration `json:"readTimeout" validate:"duration"`
	// IdleTimeout bounds the time that a connection stays open unused.
	IdleTimeout settings.Duration `json:"idleTimeout" validate:"duration"`
	// LeaveDelay is the time between failing the health check and refusing
	// requests at a planned stop, in which the balancer looks elsewhere.
	LeaveDelay settings.Duration `json:"leaveDelay" validate:"duration"`
}

// component runs the front end as a plug-in.
type component struct {
	frontend
	deps     *plugin.Deps
	settings *Settings
	server   *fasthttp.Server
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	return &component{deps: d, settings: d.Settings.Section("openai").(*Settings)}, nil
}

// Start opens the listener.
func (s *component) Start(context.Context) error {
	s.clock, s.started = s.deps.Clock, s.deps.Clock.Now()
	if err := s.deps.Resolve(&s.records, &s.dispatcher, &s.drainer, &s.members, &s.roster); err != nil {
		return err
	}
	if err := s.deps.ResolveAll(&s.pathHandlers); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return err
	}
	s.server = &fasthttp.Server{
		Name:               "cuminbay",
		Handler:            s.handle,
		ErrorHandler:       s.protocolError,
		MaxRequestBodySize: s.settings.MaxBody,
		ReadTimeout:        s.settings.ReadTimeout.Duration,
		IdleTimeout:        s.settings.IdleTimeout.Duration,
		Logger:             discardLogger{},
		CloseOnShutdown:    true,
	}
	go s.serve(listener)
	s.deps.Timeline.Record("listening", "openai", "address", listener.Addr().String())
	return nil
}

func (s *component) serve(listener net.Listener) {
	if err := s.server.Serve(listener); err != nil {
		s.deps.Log.Error().Err(err).Msg("openai-listener-failed")
	}
}

// protocolError answers a request that fasthttp could not read.
func (s *component) protocolError(ctx *fasthttp.RequestCtx, err error) {
	if err == fasthttp.ErrBodyTooLarge { //nolint:errorlint // fasthttp passes this value itself.
		s.discardBody(ctx.Conn())
		httpcall.WriteError(ctx, code.BodyTooLarge.New("body: larger than the limit of %d bytes", s.settings.MaxBody))
		return
	}
	httpcall.WriteError(ctx, code.MalformedBody.Wrap(err, "HTTP request"))
}

// Bounds of what is read and dropped of a body that is too large.
const (
	maxDiscardBytes    = 64 << 20
	discardReadTimeout = 200 * time.Millisecond
)

// discardBody reads the rest of a body that is too large, until the caller pauses.
// If the connection were closed with unread data, the caller's system would drop
// the answer, and the caller would see a broken connection instead of the code.
func (s *component) discardBody(conn net.Conn) {
	const size = 64 << 10
	buffer := make([]byte, size)
	for total := 0; total < maxDiscardBytes; {
		if conn.SetReadDeadline(s.clock.Now().Add(discardReadTimeout)) != nil {
			return
		}
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

// Stop fails the health check first, so that the balancer looks elsewhere, then
// refuses new requests, waits for those in flight and closes the listener.
func (s *component) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	plugin.Sleep(ctx, s.clock, s.settings.LeaveDelay.Duration)
	left := s.drainer.Drain(ctx)
	if left > 0 {
		s.deps.Timeline.Record("drain-limit-reached", "openai", "inFlight", strconv.FormatInt(int64(left), 10))
	}
	return s.server.ShutdownWithContext(ctx)
}

// discardLogger drops fasthttp's own lines: they are neither key=value nor about
// anything that the result codes don't say.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
