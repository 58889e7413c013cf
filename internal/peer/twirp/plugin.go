// Package twirp is the protocol between daemons: exchanges of sections and
// questions by topic, over twirp.
package twirp

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/member"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/kernel/timeline"
)

// Settings are the section "peer".
type Settings struct {
	// Listen is the address for other daemons.
	Listen string `json:"listen" validate:"listen"`
	// Interval is the time between two rounds of exchanges.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Fanout is the number of live daemons of the own data centre that an
	// exchange goes to at each interval. With 3 every 500 ms no attestation
	// of 60 daemons gets older than about 2 s, with 2 than 2.8 s, which is
	// too close to the 3 s after which it no longer counts (BenchmarkSpread).
	Fanout int `json:"fanout" validate:"min=1,max=64"`
	// CallTimeout bounds a call to another daemon.
	CallTimeout settings.Duration `json:"callTimeout" validate:"duration"`
	// MaxMessage bounds a message in either direction.
	MaxMessage unit.Bytes `json:"maxMessage" validate:"min=1024"`
}

func defaultSettings() any {
	return &Settings{
		Listen: "127.0.0.1:7700", Interval: settings.DurationOf(500 * time.Millisecond), Fanout: 3,
		CallTimeout: settings.DurationOf(time.Second), MaxMessage: 1 << 20,
	}
}

func init() {
	settings.Register("peer", defaultSettings)
	plugin.Register(plugin.Peer, "twirp", func(deps *plugin.Deps) (plugin.Plugin, error) {
		p, err := newPlugin(deps, deps.Settings.Section("peer").(*Settings))
		if err != nil {
			return nil, err
		}
		deps.Provide(p)
		return p, nil
	})
}

type members interface {
	Self() ident.Instance
	Peers() []member.Peer
}

// contactRecorder is told of successful calls.
type contactRecorder interface {
	RecordContact(id ident.Instance)
}

// section is a part of the state that daemons exchange.
type section interface {
	Section() string
	Global() bool
	Digest() []byte
	Delta(digest []byte) []byte
	Merge(from ident.Instance, delta []byte) error
}

// topic answers questions of other daemons.
type topic interface {
	Topic() string
	Answer(ctx context.Context, from ident.Instance, body []byte) ([]byte, error)
}

type hybridClock interface {
	Now() timeline.Timestamp
	Observe(s timeline.Timestamp) error
}

// Plugin serves and calls peers.
type Plugin struct {
	plugin.BackgroundTasks
	deps         *plugin.Deps
	settings     *Settings
	self         ident.Instance
	dataCentre   ident.DataCentre
	hybridClock  hybridClock
	members      members
	contacts     contactRecorder
	sections     map[string]section
	sectionNames []string
	topics       map[string]topic
	clients      clients
	metrics      *metrics
	server       *http.Server
	listener     net.Listener
	active       activeExchanges
	remoteTurn   int
	// random chooses daemons; only the loop of exchanges uses it.
	random *rand.Rand
}

func newPlugin(deps *plugin.Deps, s *Settings) (*Plugin, error) {
	p := &Plugin{
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		deps:   deps, settings: s, self: deps.Settings.Daemon.Instance, dataCentre: deps.Settings.Daemon.DataCentre,
		hybridClock: deps.Timeline, sections: make(map[string]section), topics: make(map[string]topic),
		metrics: newMetrics(),
	}
	p.clients.limit, p.clients.timeout = int64(s.MaxMessage), s.CallTimeout.Duration
	if err := p.metrics.register(deps.Metrics); err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return p, nil
}

// Start finds sections and topics, listens, and begins to exchange.
func (p *Plugin) Start(context.Context) error {
	if err := errors.Join(p.deps.Resolve(&p.members, &p.contacts), p.collectProviders()); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	listener, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	p.listener = listener
	const headerTimeout, idleTimeout, answerFactor = 5 * time.Second, time.Minute, 4
	p.server = &http.Server{
		Handler:           http.MaxBytesHandler(NewPeerServer(&handler{p}), int64(p.settings.MaxMessage)),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       answerFactor * p.settings.CallTimeout.Duration,
		WriteTimeout:      answerFactor * p.settings.CallTimeout.Duration,
		IdleTimeout:       idleTimeout,
	}
	p.Go(func(context.Context) {
		if err := p.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.deps.Log.Error().Err(err).Str("listen", p.settings.Listen).Msg("peer-listener-failed")
		}
	})
	p.Every(p.deps.Clock, p.settings.Interval.Duration, p.startExchanges)
	return nil
}

// collectProviders sets the sections and topics that plug-ins provide.
func (p *Plugin) collectProviders() error {
	var sections []section
	var topics []topic
	if err := errors.Join(p.deps.ResolveAll(&sections), p.deps.ResolveAll(&topics)); err != nil {
		return err
	}
	for _, s := range sections {
		if p.sections[s.Section()] != nil {
			return fmt.Errorf("section %q is provided twice", s.Section())
		}
		p.sections[s.Section()] = s
		p.sectionNames = append(p.sectionNames, s.Section())
	}
	for _, t := range topics {
		if p.topics[t.Topic()] != nil {
			return fmt.Errorf("topic %q is provided twice", t.Topic())
		}
		p.topics[t.Topic()] = t
	}
	return nil
}

// Address returns the address listened on; empty before Start.
func (p *Plugin) Address() string {
	if p.listener == nil {
		return ""
	}
	return p.listener.Addr().String()
}

// Stop ends the exchanges and the listener.
func (p *Plugin) Stop(ctx context.Context) error {
	var err error
	if p.server != nil {
		err = p.server.Shutdown(ctx)
		if err != nil {
			err = errors.Join(err, p.server.Close())
		}
	}
	err = errors.Join(err, p.BackgroundTasks.Stop(ctx))
	p.clients.closeExcept(nil)
	return err
}

type metrics struct {
	sent, received prometheus.Counter
	failed         *prometheus.CounterVec
	refused        *prometheus.CounterVec
}

func newMetrics() *metrics {
	options := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "cuminbay", Subsystem: "peer", Name: name, Help: help}
	}
	return &metrics{
		sent:     prometheus.NewCounter(options("sent_bytes_total", "Bytes of messages sent to daemons, without headers.")),
		received: prometheus.NewCounter(options("received_bytes_total", "Bytes of messages received from daemons, without headers.")),
		failed:   prometheus.NewCounterVec(options("failed_total", "Calls to daemons that failed."), []string{"call"}),
		refused:  prometheus.NewCounterVec(options("refused_total", "Deltas and stamps that were refused."), []string{"section"}),
	}
}

func (m *metrics) register(r *prometheus.Registry) error {
	if r == nil {
		return nil
	}
	return errors.Join(r.Register(m.sent), r.Register(m.received), r.Register(m.failed), r.Register(m.refused))
}
