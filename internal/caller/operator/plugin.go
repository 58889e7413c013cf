package operator

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

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
	i := &API{Options{
		Clock:      deps.Clock,
		DataCentre: deps.Settings.Daemon.DataCentre,
		Timeline:   deps.Timeline,
		Pool:       deps.Pool,
		AskTimeout: s.AskTimeout.Duration,
	}}
	deps.Provide(timelineResponder{i})
	deps.Provide(revisionResponder{i})
	return &component{API: i, deps: deps, listen: s.Listen}, nil
}

// Start opens the listener.
func (s *component) Start(context.Context) error {
	if err := s.deps.Resolve(&s.Tables, &s.Records, &s.Drains, &s.Members, &s.Replicas, &s.Requests, &s.Peers); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	handler := s.Handler()
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.deps.Metrics, promhttp.HandlerOpts{}))
	s.server = &fasthttp.Server{
		Name:            "cuminbay",
		CloseOnShutdown: true,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/metrics" {
				metrics(ctx)
				return
			}
			handler(ctx)
		},
	}
	go s.serve(listener)
	return nil
}

func (s *component) serve(listener net.Listener) {
	if err := s.server.Serve(listener); err != nil {
		s.deps.Log.Error().Err(err).Msg("operator-listener-failed")
	}
}

// Stop closes the listener.
func (s *component) Stop(ctx context.Context) error {
	return s.server.ShutdownWithContext(ctx)
}
