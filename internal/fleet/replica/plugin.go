package replica

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/route/table"
)

const section = "replica"

type (
	prober interface {
		FetchReport(ctx context.Context, address string) (*report.Report, error)
	}
	members interface {
		Owner(key string) ident.Instance
		Owners(key string, n int) []ident.Instance
	}
	lister interface {
		List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
	}
	records interface {
		View() *record.View
	}
	instances interface {
		Instances() []roster.Instance
	}
)

// duty probes the members of the owned replicas and attests their state.
type duty struct {
	plugin.BackgroundTasks
	*Tracker
	deps     *plugin.Deps
	settings *Settings
	self     ident.Instance
	pool     pond.Pool

	prober  prober
	members members
	lister  lister
	records records
	roster  instances
	drains  drains

	// started says that the interfaces above are set: plug-ins that start
	// earlier may already ask for endpoints.
	started atomic.Bool

	// serving and last belong to the probing loop.
	serving map[ident.Replica]bool
	last    time.Time

	servingGauge  prometheus.Gauge
	strandedGauge prometheus.Gauge
	downSeconds   prometheus.Counter
	probeFailures prometheus.Counter
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := d.Settings.Section(section).(*Settings)
	u := &duty{
		deps: d, settings: s, self: d.Settings.Daemon.Instance,
		serving: make(map[ident.Replica]bool),
		Tracker: NewTracker(Options{
			Clock: d.Clock, Self: d.Settings.Daemon.Instance, DataCentre: d.Settings.Daemon.DataCentre,
			Boot:       unit.Incarnation(d.Clock.Now().UnixMilli()),
			StaleAfter: s.StaleAfter.Duration, AttestStaleAfter: s.AttestStaleAfter.Duration,
		}),
		servingGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminbay_replicas_serving", Help: "Replicas of the data centre that serve, as seen here.",
		}),
		strandedGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminbay_accelerators_stranded", Help: "Accelerators of the data centre's listed engines outside any serving replica.",
		}),
		downSeconds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminbay_replica_down_seconds_total", Help: "Seconds that assigned replicas owned by this daemon did not serve.",
		}),
		probeFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminbay_replica_probe_failures_total", Help: "Reads of members' reports that failed.",
		}),
	}
	for _, c := range []prometheus.Collector{u.servingGauge, u.strandedGauge, u.downSeconds, u.probeFailures} {
		if err := d.Metrics.Register(c); err != nil {
			return nil, err
		}
	}
	d.Provide(u)
	return u, nil
}

// Start begins to read assignments and to probe.
func (u *duty) Start(context.Context) error {
	if err := u.deps.Resolve(&u.prober, &u.members, &u.lister, &u.records, &u.roster, &u.drains); err != nil {
		return err
	}
	u.pool = pond.NewPool(u.settings.Probes)
	u.started.Store(true)
	u.Every(u.deps.Clock, u.settings.AssignInterval.Duration, u.readAssignments)
	u.Every(u.deps.Clock, u.settings.ProbeInterval.Duration, u.round)
	return nil
}

// Stop ends the loops and the probes.
func (u *duty) Stop(ctx context.Context) error {
	err := u.BackgroundTasks.Stop(ctx)
	if u.pool != nil {
		u.pool.Stop()
	}
	return err
}

// Endpoints returns the endpoints of the data centre's serving replicas.
func (u *duty) Endpoints() []table.Endpoint {
	if !u.started.Load() {
		return nil
	}
	return Endpoints(u.options.DataCentre, u.AttestedStates(), u.records.View(), u.drains)
}

// RemovalPlanned reports whether a replica that is no longer offered was taken out as
// planned.
func (u *duty) RemovalPlanned(e *table.Endpoint) bool {
	return RemovalPlanned(e, u.AttestedStates(), u.drains)
}

func (u *duty) owns(r ident.Replica) bool {
	return u.members.Owner("replica/"+string(r)) == u.self
}

// readers is the number of daemons of a data centre that read assignments from
// the platform. The others hear them from these.
const readers = 2

func (u *duty) readAssignments(ctx context.Context) {
	if !slices.Contains(u.members.Owners("assign", readers), u.self) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, u.settings.AssignInterval.Duration)
	defer cancel()
	entries, _, err := u.lister.List(ctx, store.AssignmentPrefix)
	if err != nil {
		u.deps.Log.Debug().Err(err).Msg("assignments-not-read")
		return
	}
	for _, e := range entries {
		var a report.Assignment
		err := json.Unmarshal(e.Value, &a)
		if err == nil {
			_, err = u.UpdateAssignment(a)
		}
		if err != nil {
			u.deps.Log.Warn().Err(err).Str("key", string(e.Key)).Msg("assignment-rejected")
		}
	}
}

// round probes the members once and publishes the result.
func (u *duty) round(ctx context.Context) {
	u.probe(ctx)
	if ctx.Err() != nil {
		return
	}
	u.PublishAttestation(u.owns)
	u.account(u.deps.Clock.Now())
}

func (u *duty) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, u.settings.ProbeInterval.Duration)
	defer cancel()
	group := u.pool.NewGroup()
	for _, m := range u.ProbeTargets(u.owns) {
		group.Submit(func() {
			if ctx.Err() != nil {
				return
			}
			requested := u.deps.Clock.Now()
			r, err := u.prober.FetchReport(ctx, m.Address)
			if err != nil || r.Check() != nil || r.Instance != m.Instance {
				u.probeFailures.Inc()
				return
			}
			u.ObserveReport(r, requested)
		})
	}
	if err := group.Wait(); err != nil {
		u.deps.Log.Debug().Err(err).Msg("probes-stopped")
	}
}

// account records the changes of state and the metrics.
func (u *duty) account(now time.Time) {
	elapsed := now.Sub(u.last).Seconds()
	if u.last.IsZero() {
		elapsed = 0
	}
	u.last = now
	states := u.AttestedStates()
	next := make(map[ident.Replica]bool, len(states))
	busy := make(map[ident.Instance]bool)
	for i := range states {
		s := &states[i]
		next[s.Replica] = s.Serving
		if s.Serving {
			for _, m := range s.Members {
				busy[m] = true
			}
		} else if u.owns(s.Replica) {
			u.downSeconds.Add(elapsed)
		}
		if s.Serving != u.serving[s.Replica] {
			u.event(s)
		}
	}
	for id, was := range u.serving {
		if _, ok := next[id]; !ok && was {
			u.deps.Timeline.Record("replica-stopped", string(id), "reason", "no longer assigned")
		}
	}
	u.serving = next
	u.measure(next, busy)
}

func (u *duty) event(s *State) {
	epoch := strconv.FormatUint(uint64(s.Epoch), 10)
	if s.Serving {
		u.deps.Timeline.Record("replica-serving", string(s.Replica), "epoch", epoch)
		return
	}
	reason, member := "unknown", ""
	if len(s.UnreadyMembers) > 0 {
		reason, member = s.UnreadyMembers[0].Reason, string(s.UnreadyMembers[0].Instance)
	}
	u.deps.Timeline.Record("replica-stopped", string(s.Replica), "epoch", epoch, "reason", reason, "member", member)
}

func (u *duty) measure(serving map[ident.Replica]bool, busy map[ident.Instance]bool) {
	count := 0
	for _, s := range serving {
		if s {
			count++
		}
	}
	u.servingGauge.Set(float64(count))
	stranded := 0
	for _, i := range u.roster.Instances() {
		if i.DataCentre == u.options.DataCentre && i.Role == roster.Engine && !busy[i.ID] {
			stranded += int(i.Accelerators)
		}
	}
	u.strandedGauge.Set(float64(stranded))
}
