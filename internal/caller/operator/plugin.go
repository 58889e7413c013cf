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

// Settings are the settings of the operators' interface.
type Settings struct {
	// Listen is reachable for operators only; the interface checks no keys.
	Listen string `json:"listen" validate:"listen"`
	// AskTimeout bounds the questions to other daemons.
	AskTimeout settings.Duration `json:"askTimeout" validate:"duration"`
}

// component runs the interface as a plug-in. It is started with the peers, so
// that operators can look at a daemon that is starting or stopping.
type component struct {
	*API
	deps   *plugin.Deps
	listen string
	server *fasthttp.Server
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := d.Settings.Section("operator").(*Settings)
	i := &API{Options{
		Clock:      d.Clock,
		DataCentre: d.Settings.Daemon.DataCentre,
		Timeline:   d.Timeline,
		Pool:       d.Pool,
		AskTimeout: s.AskTimeout.Duration,
	}}
	d.Provide(timelineResponder{i})
	d.Provide(revisionResponder{i})
	return &component{API: i, deps: d, listen: s.Listen}, nil
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
