package remote

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/table"
)

const section = "remote"

// Settings are the settings in the section "remote".
type Settings struct {
	// Interval is the time between two summaries of the data centre.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// StaleAfter is the age from which a summary no longer counts.
	StaleAfter settings.Duration `json:"staleAfter" validate:"duration"`
	// Ramp is the time over which a restored data centre takes back its share
	// of the requests.
	Ramp settings.Duration `json:"ramp" validate:"duration"`
	// Absence is the time without endpoints after which the data centre counts
	// as out of service, so that the return of its endpoints is ramped.
	Absence settings.Duration `json:"absence" validate:"duration"`
	// Target is the time to the first token above which the share does not
	// rise. It should equal policy.target.
	Target settings.Duration `json:"target" validate:"duration"`
}

func defaults() any {
	return &Settings{
		Interval:   settings.DurationOf(time.Second),
		StaleAfter: settings.DurationOf(5 * time.Second),
		Ramp:       settings.DurationOf(20 * time.Second),
		Absence:    settings.DurationOf(5 * time.Second),
		Target:     settings.DurationOf(2 * time.Second),
	}
}

func init() {
	settings.Register(section, defaults)
	plugin.Register(plugin.Controller, section, newPlugin)
}

// ownerLookup finds the owner of the summary and the other daemons.
type ownerLookup interface {
	Owner(key string) ident.Instance
	Peers() []roster.Peer
}

// recordSource has the current records.
type recordSource interface {
	View() *record.View
}

// controller writes the summary of this data centre, offers relay endpoints and
// drives the ramp.
type controller struct {
	plugin.BackgroundTasks
	*Summaries
	deps        *plugin.Deps
	settings    *Settings
	self        ident.Instance
	dataCentre  ident.DataCentre
	incarnation unit.Incarnation
	sequence    unit.Sequence
	ramp        *Ramp
	limitGauge  prometheus.Gauge

	owners  ownerLookup
	records recordSource
	drains  drainStates
	tables  *table.Publisher
	// started says that the interfaces above are set. The table may call
	// Endpoints before that.
	started atomic.Bool

	mu     sync.Mutex
	offers *RelayOffers
	// relayCount is the number of relay endpoints in the last offer.
	relayCount atomic.Int64
}

// reportLag bounds the age of the engines' counts in a new summary: the
// interval of the probes and the propagation of attestations.
const reportLag = 2 * time.Second

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section(section).(*Settings)
	c := &controller{
		deps: deps, settings: s, self: deps.Settings.Daemon.Instance, dataCentre: deps.Settings.Daemon.DataCentre,
		incarnation: unit.Incarnation(deps.Clock.Now().UnixNano()),
		Summaries:   NewSummaries(deps.Clock, s.StaleAfter.Duration),
		ramp:        NewRamp(RampOptions{Duration: s.Ramp.Duration, Absence: s.Absence.Duration, FirstTokenTarget: s.Target.Duration}),
		limitGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminbay_local_part", Help: "Part of the local engines' limits in use, below 1 while the data centre is out of service or returns.",
		}),
	}
	c.offers = NewRelayOffers(c.self, c.dataCentre, s.StaleAfter.Duration+reportLag)
	relays := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_relays_offered", Help: "Deployments at daemons of other data centres that have room.",
	}, func() float64 { return float64(c.relayCount.Load()) })
	for _, metric := range []prometheus.Collector{c.limitGauge, relays} {
		if err := deps.Metrics.Register(metric); err != nil {
			return nil, err
		}
	}
	deps.Provide(c)
	return c, nil
}

// rampInterval is the time between two observations of the data centre. It must
// be shorter than any drain, so that no drain goes unobserved.
const rampInterval = 200 * time.Millisecond

// Start begins to write summaries and to update the ramp.
func (c *controller) Start(context.Context) error {
	if err := c.deps.Resolve(&c.owners, &c.records, &c.drains, &c.tables); err != nil {
		return err
	}
	c.started.Store(true)
	c.Every(c.deps.Clock, c.settings.Interval.Duration, func(context.Context) { c.summarise() })
	c.Every(c.deps.Clock, rampInterval, func(context.Context) { c.updateRamp() })
	return nil
}

// summarise writes the data centre's summary if this daemon owns it.
func (c *controller) summarise() {
	if c.owners.Owner(section+"/"+string(c.dataCentre)) != c.self {
		return
	}
	c.sequence++
	s := Summary{
		DataCentre: c.dataCentre, Author: c.self, Incarnation: c.incarnation, Sequence: c.sequence,
		Drained: c.drains.DataCentreDrained(c.dataCentre),
	}
	if !s.Drained {
		s.Capacities = Summarise(c.tables.Current(), c.dataCentre, c.deps.Clock.Now())
	}
	c.Put(s)
}

// Endpoints returns the relay endpoints for the table.
func (c *controller) Endpoints() []table.Endpoint {
	view := c.recordView()
	if view == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	offered := c.offers.Endpoints(OfferInput{
		Now: c.deps.Clock.Now(), Summaries: c.Current(), Peers: c.owners.Peers(),
		View: view, Drains: c.drains, Loads: c.tables,
	})
	c.relayCount.Store(int64(len(offered)))
	return offered
}

// recordView returns the records, nil before the start.
func (c *controller) recordView() *record.View {
	if !c.started.Load() {
		return nil
	}
	return c.records.View()
}

// updateRamp observes the data centre and sets the fraction of the local limits
// in use. Without relay endpoints the full limits are in use, since rejecting a
// request that a local engine could run is worse than a late first token.
func (c *controller) updateRamp() {
	previous := c.ramp.LimitFraction()
	c.ramp.Observe(c.deps.Clock.Now(), observeEngines(c.tables.Current(), c.dataCentre, c.drains.DataCentreDrained(c.dataCentre)))
	fraction := c.ramp.LimitFraction()
	if fraction != previous {
		c.deps.Timeline.Record("local-part", string(c.dataCentre), "part", strconv.FormatFloat(fraction, 'f', 1, 64))
	}
	if c.relayCount.Load() == 0 {
		fraction = 1
	}
	c.tables.LocalLimitFraction().Set(fraction)
	c.limitGauge.Set(fraction)
}

// observeEngines returns the observation of the data centre's engines in the
// table.
func observeEngines(t *table.Table, dc ident.DataCentre, drained bool) Observation {
	o := Observation{Drained: drained}
	var total time.Duration
	var knownCount time.Duration
	for _, e := range t.Endpoints() {
		if e.Protocol != table.Engine || e.DataCentre != dc {
			continue
		}
		o.Present = true
		if d := e.Load.FirstTokenTime(); d > 0 {
			total += d
			knownCount++
		}
	}
	if knownCount > 0 {
		o.FirstTokenTime = total / knownCount
	}
	return o
}
