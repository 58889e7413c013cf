package plan

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/lease"
	"cuminbay/internal/kernel/plugin"
)

const section = "plan"

type (
	engines interface {
		FetchReport(ctx context.Context, address string) (*report.Report, error)
		SendOrder(ctx context.Context, address string, o *report.Order) error
	}
	members interface {
		Owner(key string) ident.Instance
	}
	lister interface {
		List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
	}
	records interface {
		View() *record.View
		Ready() bool
	}
	instances interface {
		Instances() []roster.Instance
	}
	attester interface {
		AttestedStates() []report.ReplicaState
	}
	drains interface {
		DataCentreDrained(dc ident.DataCentre) bool
		InstanceDrained(i ident.Instance) bool
	}
)

// duty plans the domains of the data centre while it holds the lease. Its
// state belongs to the one loop.
type duty struct {
	plugin.BackgroundTasks
	deps     *plugin.Deps
	settings *Settings
	self     ident.Instance
	centre   ident.DataCentre
	pool     pond.Pool

	platform lease.Store
	lister   lister
	engines  engines
	members  members
	records  records
	roster   instances
	replicas attester
	drains   drains

	lease *lease.Lease
	// held is the time since which the lease is held without a break.
	held    time.Time
	sights  *sights
	drainer *drainer
	pacers  map[ident.FabricDomain]*pacer
	short   map[ident.Deployment]time.Time
	changed map[ident.FabricDomain]time.Time

	writes   *prometheus.CounterVec
	orders   *prometheus.CounterVec
	overruns prometheus.Counter
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	u := &duty{
		deps: d, settings: d.Settings.Section(section).(*Settings),
		self: d.Settings.Daemon.Instance, centre: d.Settings.Daemon.DataCentre,
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_plan_writes_total", Help: "Writes of assignments by result.",
		}, []string{"result"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_plan_orders_total", Help: "Orders given to instances by result.",
		}, []string{"result"}),
		overruns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminbay_plan_drain_limits_total", Help: "Leaving replicas taken apart at the time limit without being idle.",
		}),
	}
	for _, c := range []prometheus.Collector{u.writes, u.orders, u.overruns} {
		if err := d.Metrics.Register(c); err != nil {
			return nil, err
		}
	}
	return u, nil
}

// Start begins to compete for the duty.
func (u *duty) Start(context.Context) error {
	targets := []any{&u.platform, &u.lister, &u.engines, &u.members, &u.records, &u.roster, &u.replicas, &u.drains}
	for _, target := range targets {
		if err := u.deps.Resolve(target); err != nil {
			return err
		}
	}
	u.pool = pond.NewPool(u.settings.Probes)
	u.lease = lease.New(u.platform, u.deps.Clock, u.key(), u.self, u.settings.LeaseTTL.Duration)
	u.Every(u.deps.Clock, u.settings.Interval.Duration, u.round)
	return nil
}

// Stop ends the rounds and gives the duty up.
func (u *duty) Stop(ctx context.Context) error {
	err := u.BackgroundTasks.Stop(ctx)
	if u.pool == nil {
		return err
	}
	u.pool.Stop()
	if err == nil {
		err = u.lease.Release(ctx)
	}
	return err
}

func (u *duty) key() store.Key {
	return store.LeaderPrefix + "plan/" + store.Key(u.centre)
}

func (u *duty) round(ctx context.Context) {
	if !u.tend(ctx) || !u.records.Ready() {
		return
	}
	current, err := u.read(ctx)
	if err != nil {
		u.deps.Log.Debug().Err(err).Msg("assignments-not-read")
		return
	}
	states := u.replicas.AttestedStates()
	listed := u.listed(current)
	u.look(ctx, current, states, listed)
	now := u.deps.Clock.Now()
	if now.Sub(u.held) < u.settings.Grace.Duration {
		// Before that nothing is known of instances that don't answer, and
		// attestations may still be on their way.
		return
	}
	inputs := u.inputs(now, current, states, listed)
	outputs := Round(inputs)
	u.short = Shortage(u.short, Lacking(u.wants(), outputs), now)
	u.act(ctx, current, inputs, outputs)
}

// tend keeps the lease and reports whether it is held. Only the rendezvous
// owner competes for it.
func (u *duty) tend(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, u.settings.Interval.Duration)
	defer cancel()
	step := u.lease.AcquireOrRenew
	if u.members.Owner("plan/"+string(u.centre)) != u.self {
		step = u.lease.Release
	}
	if err := step(ctx); err != nil {
		u.deps.Log.Debug().Err(err).Msg("plan-lease")
	}
	if !u.lease.IsHeld() {
		u.held = time.Time{}
		return false
	}
	if u.held.IsZero() {
		u.begin(u.deps.Clock.Now())
	}
	return true
}

// begin forgets what was known in an earlier tenure. The hold time counts from
// here, since the last holder's changes are not known.
func (u *duty) begin(now time.Time) {
	u.held = now
	u.sights = newSights(now)
	u.drainer = &drainer{
		settle: u.settings.Settle.Duration, limit: u.settings.DrainLimit.Duration,
		leave: make(map[ident.Replica]*leaving),
	}
	u.pacers = make(map[ident.FabricDomain]*pacer)
	u.short = nil
	u.changed = make(map[ident.FabricDomain]time.Time)
	u.deps.Timeline.Record("plan-held", string(u.centre))
}

// stored is an assignment with its revision.
type stored struct {
	report.Assignment
	revision unit.Revision
}

// read returns the assignments of the data centre and an empty one for each
// other domain that the roster names.
func (u *duty) read(ctx context.Context) (map[ident.FabricDomain]stored, error) {
	ctx, cancel := context.WithTimeout(ctx, u.settings.Interval.Duration)
	defer cancel()
	entries, _, err := u.lister.List(ctx, store.AssignmentPrefix)
	if err != nil {
		return nil, err
	}
	current := make(map[ident.FabricDomain]stored)
	invalid := make(map[ident.FabricDomain]bool)
	for _, e := range entries {
		var a report.Assignment
		err := json.Unmarshal(e.Value, &a)
		if err == nil {
			err = a.Check()
		}
		if err != nil {
			// A domain whose value can't be read is left alone.
			invalid[ident.FabricDomain(strings.TrimPrefix(string(e.Key), string(store.AssignmentPrefix)))] = true
			u.deps.Log.Warn().Err(err).Str("key", string(e.Key)).Msg("assignment-rejected")
			continue
		}
		if a.DataCentre == u.centre {
			current[a.Domain] = stored{a, e.Revision}
		}
	}
	for _, i := range u.roster.Instances() {
		_, known := current[i.Domain]
		if i.Role == roster.Engine && i.DataCentre == u.centre && i.Domain != "" && !known && !invalid[i.Domain] {
			current[i.Domain] = stored{Assignment: report.Assignment{Domain: i.Domain, DataCentre: u.centre}}
		}
	}
	return current, nil
}

// act writes the next assignments and gives the orders that follow from what is
// then known to be written. All writes share one time limit and all orders
// another, so that a slow platform or hanging instances can't keep the round
// from renewing the lease.
func (u *duty) act(ctx context.Context, current map[ident.FabricDomain]stored, inputs []Input, outputs map[ident.FabricDomain]Output) {
	limited, cancel := context.WithTimeout(ctx, u.settings.Interval.Duration)
	defer cancel()
	var due []Order
	for _, in := range inputs {
		o := outputs[in.Domain]
		if o.Next != nil && limited.Err() == nil && u.lease.IsHeld() && u.write(limited, current[in.Domain].revision, o) {
			in.Current = *o.Next
			o.Orders = Orders(in)
		}
		if u.pacers[in.Domain] == nil {
			u.pacers[in.Domain] = newPacer(u.settings.Interval.Duration, u.settings.DrainLimit.Duration)
		}
		due = append(due, u.pacers[in.Domain].due(o.Orders, u.deps.Clock.Now())...)
	}
	if u.lease.IsHeld() {
		u.give(ctx, due)
	}
}

// write replaces an assignment. If the answer is lost, the next round reads the
// value back before it plans, and since every write names the revision that it
// replaces, a late effect of this one makes that of the next fail.
//
// It reports whether the value is known to be written.
func (u *duty) write(ctx context.Context, old unit.Revision, o Output) bool {
	raw, err := json.Marshal(o.Next)
	if err == nil {
		err = o.Next.Check()
	}
	if err != nil {
		u.deps.Log.Error().Err(err).Msg("plan-invalid")
		return false
	}
	_, result, err := u.platform.Swap(ctx, store.Swap{
		Key: store.AssignmentPrefix + store.Key(o.Next.Domain), ExpectedRevision: old, Value: raw,
	})
	name := map[store.SwapResult]string{store.Applied: "done", store.Conflict: "lost", store.Unknown: "unknown"}[result]
	u.writes.WithLabelValues(name).Inc()
	if result != store.Conflict && o.Voluntary {
		u.changed[o.Next.Domain] = u.deps.Clock.Now()
	}
	if result != store.Applied {
		u.deps.Log.Info().Err(err).Str("domain", string(o.Next.Domain)).Str("result", name).Msg("plan-not-written")
		return false
	}
	u.deps.Timeline.Record("plan-written", string(o.Next.Domain),
		"epoch", strconv.FormatUint(uint64(o.Next.Epoch), 10), "reasons", strings.Join(o.Reasons, "; "))
	return true
}

// give sends the orders.
func (u *duty) give(ctx context.Context, orders []Order) {
	ctx, cancel := context.WithTimeout(ctx, u.settings.Interval.Duration)
	defer cancel()
	group := u.pool.NewGroup()
	for _, o := range orders {
		group.Submit(func() {
			result := "done"
			if err := u.engines.SendOrder(ctx, o.To.Address, &o.Order); err != nil {
				result = "failed"
				u.deps.Log.Debug().Err(err).Str("instance", string(o.To.Instance)).Msg("order-failed")
			}
			u.orders.WithLabelValues(result).Inc()
		})
	}
	if err := group.Wait(); err != nil {
		u.deps.Log.Debug().Err(err).Msg("orders-stopped")
	}
}

// probe reads the reports of the instances.
func (u *duty) probe(ctx context.Context, addresses map[ident.Instance]string) {
	ctx, cancel := context.WithTimeout(ctx, u.settings.Interval.Duration)
	defer cancel()
	group := u.pool.NewGroup()
	var mu sync.Mutex
	for id, address := range addresses {
		group.Submit(func() {
			if ctx.Err() != nil {
				return
			}
			asked := u.deps.Clock.Now()
			r, err := u.engines.FetchReport(ctx, address)
			if err != nil || r.Check() != nil || r.Instance != id {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			u.sights.observe(r, asked)
		})
	}
	if err := group.Wait(); err != nil {
		u.deps.Log.Debug().Err(err).Msg("probes-stopped")
	}
}
