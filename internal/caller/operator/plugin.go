package operator

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

func init() {
	settings.Register("operator", func() any {
		return &Settings{Listen: "127.0.0.1:7800", AskTimeout: settings.DurationOf(2 * time.Second)}
	})
	plugin.Register(plugin.Peer, "operator", newPlugin)
}

// Settings are the settings of the operators' API.
type Settings struct {
	// Listen is the address for operators. The API checks no keys, so only
	// operators may have access to the address.
	Listen string `json:"listen" validate:"listen"`
	// AskTimeout bounds the requests to other daemons.
	AskTimeout settings.Duration `json:"askTimeout" validate:"duration"`
}

// component is the plug-in that serves the API. It has the kind Peer, so that
// operators can read the status of a daemon that is starting or stopping.
type component struct {
	*API
	deps   *plugin.Deps
	listen string
	server *fasthttp.Server
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section("operator").(*Settings)
	api := &API{Options{
		Clock:      deps.Clock,
		DataCentre: deps.Settings.Daemon.DataCentre,
		Timeline:   deps.Timeline,
		Pool:       deps.Pool,
		AskTimeout: s.AskTimeout.Duration,
	}}
	deps.Provide(timelineResponder{api})
	deps.Provide(revisionResponder{api})
	return &component{API: api, deps: deps, listen: s.Listen}, nil
}

// Start opens the listener.
func (c *component) Start(context.Context) error {
	if err := c.deps.Resolve(&c.Tables, &c.Records, &c.Drains, &c.Members, &c.Replicas, &c.Requests, &c.Peers); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return err
	}
	handler := c.Handler()
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(c.deps.Metrics, promhttp.HandlerOpts{}))
	reader := &httpcall.BodyReader{Limit: maxRecord, Copies: 1, OnError: writeReadError}
	c.server = &fasthttp.Server{
		Name:                         "cuminbay",
		CloseOnShutdown:              true,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           maxRecord,
		ReadTimeout:                  requestTimeout,
		IdleTimeout:                  idleTimeout,
		Handler: reader.Handler(func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/metrics" {
				metrics(ctx)
				return
			}
			handler(ctx)
		}),
	}
	go c.serve(budget.OrUnlimited(c.deps.Budget, c.deps.Clock).Listen(listener, budget.Operators))
	return nil
}

const (
	// maxRecord is the highest length of a request's body, which is a record.
	maxRecord = 4 << 20
	// requestTimeout is the longest time for a request to arrive completely.
	requestTimeout = 30 * time.Second
	idleTimeout    = 2 * time.Minute
)

// writeReadError answers a request that can't be read.
func writeReadError(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, budget.ErrNoRoom):
		httpcall.WriteError(ctx, httpcall.NoRoom())
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		httpcall.WriteError(ctx, code.BodyTooLarge.New("body: exceeds the limit of %d bytes", maxRecord))
	default:
		httpcall.WriteError(ctx, code.MalformedBody.Wrap(err, "cannot parse the HTTP request"))
	}
}

func (c *component) serve(listener net.Listener) {
	if err := c.server.Serve(listener); err != nil {
		c.deps.Log.Error().Err(err).Msg("operator-listener-failed")
	}
}

// Stop closes the listener.
func (c *component) Stop(ctx context.Context) error {
	return c.server.ShutdownWithContext(ctx)
}
