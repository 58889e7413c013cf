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

// Settings are the section "remote".
type Settings struct {
	// Interval is the time between two summaries of the data centre.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// StaleAfter is the age at which a summary no longer counts.
	StaleAfter settings.Duration `json:"staleAfter" validate:"duration"`
	// Ramp is the time over which a data centre that returns takes its share
	// back.
	Ramp settings.Duration `json:"ramp" validate:"duration"`
	// Absence is the time without endpoints after which their return is
	// ramped like that of a data centre.
	Absence settings.Duration `json:"absence" validate:"duration"`
	// Target is the time to the first token above which the share does not
	// rise; it should equal policy.target.
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

type members interface {
	Owner(key string) ident.Instance
	Peers() []roster.Peer
}

type records interface {
	View() *record.View
}

// duty writes the own summary, offers relays and drives the ramp.
type duty struct {
	plugin.BackgroundTasks
	*Summaries
	deps       *plugin.Deps
	settings   *Settings
	self       ident.Instance
	dataCentre ident.DataCentre
	boot       unit.Incarnation
	sequence   unit.Sequence
	ramp       *Ramp
	partGauge  prometheus.Gauge

	members members
	records records
	drains  drains
	tables  *table.Publisher
	// started says that the interfaces above are set: the table may already
	// ask for endpoints.
	started atomic.Bool

	mu     sync.Mutex
	offers *Offers
	// offered is the number of relays offered last.
	offered atomic.Int64
}

// reportLag bounds the age of the engines' counts in a fresh summary: the
// interval of probes and the propagation of attestations.
const reportLag = 2 * time.Second

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := d.Settings.Section(section).(*Settings)
	u := &duty{
		deps: d, settings: s, self: d.Settings.Daemon.Instance, dataCentre: d.Settings.Daemon.DataCentre,
		boot:      unit.Incarnation(d.Clock.Now().UnixNano()),
		Summaries: NewSummaries(d.Clock, s.StaleAfter.Duration),
		ramp:      NewRamp(RampOptions{Time: s.Ramp.Duration, Absence: s.Absence.Duration, Target: s.Target.Duration}),
		partGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminbay_local_part", Help: "Part of the local engines' limits in use, below 1 while the data centre is out of service or returns.",
		}),
	}
	u.offers = NewOffers(u.self, u.dataCentre, s.StaleAfter.Duration+reportLag)
	relays := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_relays_offered", Help: "Deployments at daemons of other data centres that have room.",
	}, func() float64 { return float64(u.offered.Load()) })
	for _, c := range []prometheus.Collector{u.partGauge, relays} {
		if err := d.Metrics.Register(c); err != nil {
			return nil, err
		}
	}
	d.Provide(u)
	return u, nil
}

// rampInterval is the time between two looks at the data centre's state. It
// has to be shorter than the time between a drain and its end.
const rampInterval = 200 * time.Millisecond

// Start begins to summarise.
func (u *duty) Start(context.Context) error {
	if err := u.deps.Resolve(&u.members, &u.records, &u.drains, &u.tables); err != nil {
		return err
	}
	u.started.Store(true)
	u.Every(u.deps.Clock, u.settings.Interval.Duration, func(context.Context) { u.summarise() })
	u.Every(u.deps.Clock, rampInterval, func(context.Context) { u.pace() })
	return nil
}

// summarise writes the data centre's summary if this daemon has the duty.
func (u *duty) summarise() {
	if u.members.Owner(section+"/"+string(u.dataCentre)) != u.self {
		return
	}
	u.sequence++
	s := Summary{
		DataCentre: u.dataCentre, Author: u.self, Boot: u.boot, Sequence: u.sequence,
		Drained: u.drains.DataCentreDrained(u.dataCentre),
	}
	if !s.Drained {
		s.Capacities = Summarise(u.tables.Current(), u.dataCentre, u.deps.Clock.Now())
	}
	u.Put(s)
}

// Endpoints returns the relays. The table asks for them.
func (u *duty) Endpoints() []table.Endpoint {
	view := u.view()
	if view == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	offered := u.offers.Endpoints(Sight{
		Now: u.deps.Clock.Now(), Summaries: u.Current(), Peers: u.members.Peers(),
		View: view, Drains: u.drains, Loads: u.tables,
	})
	u.offered.Store(int64(len(offered)))
	return offered
}

func (u *duty) view() *record.View {
	if !u.started.Load() {
		return nil
	}
	return u.records.View()
}

// pace drives the ramp. Without relays the whole is in use: to refuse what a
// local engine could still take would be worse than a late first token.
func (u *duty) pace() {
	before := u.ramp.Part()
	u.ramp.Observe(u.deps.Clock.Now(), observe(u.tables.Current(), u.dataCentre, u.drains.DataCentreDrained(u.dataCentre)))
	part := u.ramp.Part()
	if part != before {
		u.deps.Timeline.Record("local-part", string(u.dataCentre), "part", strconv.FormatFloat(part, 'f', 1, 64))
	}
	if u.offered.Load() == 0 {
		part = 1
	}
	u.tables.LocalLimitFraction().Set(part)
	u.partGauge.Set(part)
}

// observe returns the state of the data centre's engines in the table.
func observe(t *table.Table, dc ident.DataCentre, out bool) Observation {
	o := Observation{Out: out}
	var sum time.Duration
	var measured time.Duration
	for _, e := range t.Endpoints() {
		if e.Protocol != table.Engine || e.DataCentre != dc {
			continue
		}
		o.Present = true
		if d := e.Load.FirstToken(); d > 0 {
			sum += d
			measured++
		}
	}
	if measured > 0 {
		o.FirstToken = sum / measured
	}
	return o
}
