// Package twirp connects the daemons with each other over the twirp protocol. It
// runs periodic exchanges, in which two daemons bring the sections of their
// replicated state up to date, and it carries questions on a topic from a plug-in of
// one daemon to the plug-in of another daemon that answers the topic.
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

// Settings holds the settings section "peer".
type Settings struct {
	// Listen is the address of the listener for other daemons.
	Listen string `json:"listen" validate:"listen"`
	// Interval is the time between two rounds of exchanges.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Fanout is the number of live daemons of this data centre with which this
	// daemon starts an exchange in each interval. With 3 exchanges every 500 ms,
	// the attestations of 60 daemons get no older than about 2 s; with 2 exchanges
	// they get up to 2.8 s old, too close to the 3 s after which they no longer
	// count (BenchmarkSpread).
	Fanout int `json:"fanout" validate:"min=1,max=64"`
	// CallTimeout is the time limit of a call to another daemon.
	CallTimeout settings.Duration `json:"callTimeout" validate:"duration"`
	// MaxMessage is the limit of the size of a message in either direction.
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

// members lists the other daemons.
type members interface {
	Self() ident.Instance
	Peers() []member.Peer
}

// contactRecorder is notified of successful calls from and to other daemons.
type contactRecorder interface {
	RecordContact(id ident.Instance)
}

// section is a part of the replicated state. Delta returns what the sender of a
// digest lacks, and Merge applies a delta. Only a global section is exchanged with
// other data centres.
type section interface {
	Section() string
	IsGlobal() bool
	Digest() []byte
	Delta(digest []byte) []byte
	Merge(from ident.Instance, delta []byte) error
}

// topic answers the questions of other daemons on one topic.
type topic interface {
	Topic() string
	Answer(ctx context.Context, from ident.Instance, body []byte) ([]byte, error)
}

// hybridClock makes the timestamps of envelopes and advances past the timestamps of
// other daemons.
type hybridClock interface {
	Now() timeline.Timestamp
	Observe(t timeline.Timestamp) error
}

// Plugin exchanges sections with other daemons and passes questions to them.
type Plugin struct {
	plugin.BackgroundTasks
	deps            *plugin.Deps
	settings        *Settings
	self            ident.Instance
	dataCentre      ident.DataCentre
	hybridClock     hybridClock
	members         members
	contacts        contactRecorder
	sections        map[string]section
	sectionNames    []string
	topics          map[string]topic
	clients         clients
	metrics         *metrics
	server          *http.Server
	listener        net.Listener
	activeExchanges activeExchanges
	// remoteIndex, modulo the number of other data centres, is the index of the
	// data centre that was chosen last. It is zero before the first choice.
	remoteIndex int
	// random chooses the targets of exchanges. Only startExchanges uses it.
	random *rand.Rand
}

func newPlugin(deps *plugin.Deps, s *Settings) (*Plugin, error) {
	p := &Plugin{
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		deps:   deps, settings: s, self: deps.Settings.Daemon.Instance, dataCentre: deps.Settings.Daemon.DataCentre,
		hybridClock: deps.Timeline, sections: make(map[string]section), topics: make(map[string]topic),
		metrics: newMetrics(),
	}
	p.clients.maxBytes, p.clients.timeout = int64(s.MaxMessage), s.CallTimeout.Duration
	if err := p.metrics.register(deps.Metrics); err != nil {
		return nil, fmt.Errorf("peer: register metrics: %w", err)
	}
	return p, nil
}

// Start collects the sections and topics of the other plug-ins, opens the listener
// and starts the exchanges in the background.
func (p *Plugin) Start(context.Context) error {
	if err := errors.Join(p.deps.Resolve(&p.members, &p.contacts), p.collectProviders()); err != nil {
		return fmt.Errorf("peer: collect values of other plug-ins: %w", err)
	}
	listener, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return fmt.Errorf("peer.listen: open listener: %w", err)
	}
	p.listener = listener
	const headerTimeout, idleTimeout, callTimeoutFactor = 5 * time.Second, time.Minute, 4
	p.server = &http.Server{
		Handler:           NewPeerServer(&handler{p}),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       callTimeoutFactor * p.settings.CallTimeout.Duration,
		WriteTimeout:      callTimeoutFactor * p.settings.CallTimeout.Duration,
		IdleTimeout:       idleTimeout,
	}
	bounded := Bound(p.server, listener, p.deps.Budget, p.deps.Clock, p.settings.MaxMessage)
	p.Go(func(context.Context) {
		if err := p.server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			p.deps.Log.Error().Err(err).Str("listen", p.settings.Listen).Msg("peer-listener-failed")
		}
	})
	p.Every(p.deps.Clock, p.settings.Interval.Duration, p.startExchanges)
	return nil
}

// collectProviders collects the sections and topics of all plug-ins.
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

// Address returns the listener's address. It is empty before Start.
func (p *Plugin) Address() string {
	if p.listener == nil {
		return ""
	}
	return p.listener.Addr().String()
}

// Stop closes the listener and ends the exchanges.
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
	sentBytes, receivedBytes prometheus.Counter
	failedCalls              *prometheus.CounterVec
	refusals                 *prometheus.CounterVec
}

func newMetrics() *metrics {
	options := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "cuminbay", Subsystem: "peer", Name: name, Help: help}
	}
	return &metrics{
		sentBytes:     prometheus.NewCounter(options("sent_bytes_total", "Bytes of messages sent to daemons, without headers.")),
		receivedBytes: prometheus.NewCounter(options("received_bytes_total", "Bytes of messages received from daemons, without headers.")),
		failedCalls:   prometheus.NewCounterVec(options("failed_total", "Calls to daemons that failed."), []string{"call"}),
		refusals:      prometheus.NewCounterVec(options("refused_total", "Deltas and stamps that were refused."), []string{"section"}),
	}
}

func (m *metrics) register(r *prometheus.Registry) error {
	if r == nil {
		return nil
	}
	return errors.Join(r.Register(m.sentBytes), r.Register(m.receivedBytes), r.Register(m.failedCalls), r.Register(m.refusals))
}
