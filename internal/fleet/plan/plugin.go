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

// The operations of other plug-ins that the planner uses.
type (
	engineClient interface {
		FetchReport(ctx context.Context, address string) (*report.Report, error)
		SendOrder(ctx context.Context, address string, o *report.Order) error
	}
	ownerLookup interface {
		Owner(key string) ident.Instance
	}
	keyLister interface {
		List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
	}
	recordSource interface {
		View() *record.View
		Ready() bool
	}
	instanceLister interface {
		Instances() []roster.Instance
	}
	attestationSource interface {
		AttestedStates() []report.ReplicaState
	}
	drainStates interface {
		DataCentreDrained(dc ident.DataCentre) bool
		InstanceDrained(i ident.Instance) bool
	}
)

// controller plans the domains of the data centre while this daemon holds the
// planner lease. Its state is used by one goroutine.
type controller struct {
	plugin.BackgroundTasks
	deps       *plugin.Deps
	settings   *Settings
	self       ident.Instance
	dataCentre ident.DataCentre
	pool       pond.Pool

	store    lease.Store
	lister   keyLister
	engines  engineClient
	owners   ownerLookup
	records  recordSource
	roster   instanceLister
	replicas attestationSource
	drains   drainStates

	lease *lease.Lease
	// leaderSince is the time since which this daemon has been the leader
	// without interruption; zero if it isn't.
	leaderSince  time.Time
	observations *observations
	drainer      *drainer
	orderRetries map[ident.FabricDomain]*orderRetry
	// missingSince has the time since which a deployment has had too few replicas.
	missingSince map[ident.Deployment]time.Time
	// lastVoluntaryChange has the time of each domain's last voluntary change
	// in this term.
	lastVoluntaryChange map[ident.FabricDomain]time.Time

	writes        *prometheus.CounterVec
	orders        *prometheus.CounterVec
	drainTimeouts prometheus.Counter
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	c := &controller{
		deps: deps, settings: deps.Settings.Section(section).(*Settings),
		self: deps.Settings.Daemon.Instance, dataCentre: deps.Settings.Daemon.DataCentre,
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_plan_writes_total", Help: "Writes of assignments by result.",
		}, []string{"result"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_plan_orders_total", Help: "Orders given to instances by result.",
		}, []string{"result"}),
		drainTimeouts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminbay_plan_drain_limits_total", Help: "Leaving replicas taken apart at the time limit without being idle.",
		}),
	}
	for _, metric := range []prometheus.Collector{c.writes, c.orders, c.drainTimeouts} {
		if err := deps.Metrics.Register(metric); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Start begins to compete for the planner lease.
func (c *controller) Start(context.Context) error {
	dependencies := []any{&c.store, &c.lister, &c.engines, &c.owners, &c.records, &c.roster, &c.replicas, &c.drains}
	for _, dependency := range dependencies {
		if err := c.deps.Resolve(dependency); err != nil {
			return err
		}
	}
	c.pool = pond.NewPool(c.settings.Probes)
	c.lease = lease.New(c.store, c.deps.Clock, c.leaseKey(), c.self, c.settings.LeaseTTL.Duration)
	c.Every(c.deps.Clock, c.settings.Interval.Duration, c.runRound)
	return nil
}

// Stop ends the rounds and releases the lease.
func (c *controller) Stop(ctx context.Context) error {
	err := c.BackgroundTasks.Stop(ctx)
	if c.pool == nil {
		return err
	}
	c.pool.Stop()
	if err == nil {
		err = c.lease.Release(ctx)
	}
	return err
}

func (c *controller) leaseKey() store.Key {
	return store.LeaderPrefix + "plan/" + store.Key(c.dataCentre)
}

// runRound observes the instances, plans all domains, writes the changed
// assignments and sends orders.
func (c *controller) runRound(ctx context.Context) {
	if !c.ensureLeadership(ctx) || !c.records.Ready() {
		return
	}
	current, err := c.readAssignments(ctx)
	if err != nil {
		c.deps.Log.Debug().Err(err).Msg("assignments-not-read")
		return
	}
	states := c.replicas.AttestedStates()
	addresses := c.engineAddresses(current)
	c.observeInstances(ctx, current, states, addresses)
	now := c.deps.Clock.Now()
	if now.Sub(c.leaderSince) < c.settings.Grace.Duration {
		// At the start of a term, an instance that has failed can't be
		// distinguished from one whose first report or attestation is still on
		// its way.
		return
	}
	inputs := c.planInputs(now, current, states, addresses)
	outputs := ForDataCentre(inputs)
	c.missingSince = UpdateMissingSince(c.missingSince, MissingReplicas(c.deploymentTargets(), outputs), now)
	c.applyOutputs(ctx, current, inputs, outputs)
}

// ensureLeadership acquires or renews the lease and reports whether this daemon
// is the leader. A daemon that is not the rendezvous owner releases the lease
// instead.
func (c *controller) ensureLeadership(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Interval.Duration)
	defer cancel()
	update := c.lease.AcquireOrRenew
	if c.owners.Owner("plan/"+string(c.dataCentre)) != c.self {
		update = c.lease.Release
	}
	if err := update(ctx); err != nil {
		c.deps.Log.Debug().Err(err).Msg("plan-lease")
	}
	if !c.lease.IsHeld() {
		c.leaderSince = time.Time{}
		return false
	}
	if c.leaderSince.IsZero() {
		c.startTerm(c.deps.Clock.Now())
	}
	return true
}

// startTerm discards the state of an earlier term. The hold time starts now,
// since the changes of the previous leader are not known.
func (c *controller) startTerm(now time.Time) {
	c.leaderSince = now
	c.observations = newObservations(now)
	c.drainer = &drainer{
		propagationTime: c.settings.Settle.Duration, timeout: c.settings.DrainLimit.Duration,
		draining: make(map[ident.Replica]*drainingReplica),
	}
	c.orderRetries = make(map[ident.FabricDomain]*orderRetry)
	c.missingSince = nil
	c.lastVoluntaryChange = make(map[ident.FabricDomain]time.Time)
	c.deps.Timeline.Record("plan-held", string(c.dataCentre))
}

// storedAssignment is an assignment with the revision of its key.
type storedAssignment struct {
	report.Assignment
	revision unit.Revision
}

// readAssignments returns the stored assignments of the data centre, and an
// empty assignment for each other domain that the roster names. A domain whose
// value is invalid is left out.
func (c *controller) readAssignments(ctx context.Context) (map[ident.FabricDomain]storedAssignment, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Interval.Duration)
	defer cancel()
	entries, _, err := c.lister.List(ctx, store.AssignmentPrefix)
	if err != nil {
		return nil, err
	}
	current := make(map[ident.FabricDomain]storedAssignment)
	invalid := make(map[ident.FabricDomain]bool)
	for _, e := range entries {
		var a report.Assignment
		err := json.Unmarshal(e.Value, &a)
		if err == nil {
			err = a.Check()
		}
		if err != nil {
			// Otherwise the domain would be planned as one without replicas.
			invalid[ident.FabricDomain(strings.TrimPrefix(string(e.Key), string(store.AssignmentPrefix)))] = true
			c.deps.Log.Warn().Err(err).Str("key", string(e.Key)).Msg("assignment-rejected")
			continue
		}
		if a.DataCentre == c.dataCentre {
			current[a.Domain] = storedAssignment{a, e.Revision}
		}
	}
	for _, i := range c.roster.Instances() {
		_, known := current[i.Domain]
		if i.Role == roster.Engine && i.DataCentre == c.dataCentre && i.Domain != "" && !known && !invalid[i.Domain] {
			current[i.Domain] = storedAssignment{Assignment: report.Assignment{Domain: i.Domain, DataCentre: c.dataCentre}}
		}
	}
	return current, nil
}

// applyOutputs writes the next assignments and sends the orders that are due.
// New orders are sent only for assignments that are known to be written. All
// writes share one time limit and all orders another, so that a slow platform
// or hanging instances don't delay the next renewal of the lease for long.
func (c *controller) applyOutputs(ctx context.Context, current map[ident.FabricDomain]storedAssignment, inputs []Input, outputs map[ident.FabricDomain]Output) {
	writeCtx, cancel := context.WithTimeout(ctx, c.settings.Interval.Duration)
	defer cancel()
	var dueOrders []Order
	for _, in := range inputs {
		o := outputs[in.Domain]
		if o.Next != nil && writeCtx.Err() == nil && c.lease.IsHeld() && c.writeAssignment(writeCtx, current[in.Domain].revision, o) {
			in.Current = *o.Next
			o.Orders = PendingOrders(in)
		}
		if c.orderRetries[in.Domain] == nil {
			c.orderRetries[in.Domain] = newOrderRetry(c.settings.Interval.Duration, c.settings.DrainLimit.Duration)
		}
		dueOrders = append(dueOrders, c.orderRetries[in.Domain].dueOrders(o.Orders, c.deps.Clock.Now())...)
	}
	if c.lease.IsHeld() {
		c.sendOrders(ctx, dueOrders)
	}
}

// writeAssignment replaces an assignment and reports whether it is known to be
// written.
//
// If the answer is lost, the next round reads the value before it plans. A
// write names the revision that it replaces, so if the lost write takes effect
// late, the next write fails.
func (c *controller) writeAssignment(ctx context.Context, expected unit.Revision, o Output) bool {
	raw, err := json.Marshal(o.Next)
	if err == nil {
		err = o.Next.Check()
	}
	if err != nil {
		c.deps.Log.Error().Err(err).Msg("plan-invalid")
		return false
	}
	_, result, err := c.store.Swap(ctx, store.Swap{
		Key: store.AssignmentPrefix + store.Key(o.Next.Domain), ExpectedRevision: expected, Value: raw,
	})
	resultName := map[store.SwapResult]string{store.Applied: "done", store.Conflict: "lost", store.Unknown: "unknown"}[result]
	c.writes.WithLabelValues(resultName).Inc()
	if result != store.Conflict && o.Voluntary {
		c.lastVoluntaryChange[o.Next.Domain] = c.deps.Clock.Now()
	}
	if result != store.Applied {
		c.deps.Log.Info().Err(err).Str("domain", string(o.Next.Domain)).Str("result", resultName).Msg("plan-not-written")
		return false
	}
	c.deps.Timeline.Record("plan-written", string(o.Next.Domain),
		"epoch", strconv.FormatUint(uint64(o.Next.Epoch), 10), "reasons", strings.Join(o.Reasons, "; "))
	return true
}

// sendOrders sends the orders concurrently within one time limit.
func (c *controller) sendOrders(ctx context.Context, orders []Order) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Interval.Duration)
	defer cancel()
	group := c.pool.NewGroup()
	for _, o := range orders {
		group.Submit(func() {
			result := "done"
			if err := c.engines.SendOrder(ctx, o.To.Address, &o.Order); err != nil {
				result = "failed"
				c.deps.Log.Debug().Err(err).Str("instance", string(o.To.Instance)).Msg("order-failed")
			}
			c.orders.WithLabelValues(result).Inc()
		})
	}
	if err := group.Wait(); err != nil {
		c.deps.Log.Debug().Err(err).Msg("orders-stopped")
	}
}

// probeInstances requests the reports of the instances and stores the valid
// ones.
func (c *controller) probeInstances(ctx context.Context, addresses map[ident.Instance]string) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Interval.Duration)
	defer cancel()
	group := c.pool.NewGroup()
	var mu sync.Mutex
	for id, address := range addresses {
		group.Submit(func() {
			if ctx.Err() != nil {
				return
			}
			requestedAt := c.deps.Clock.Now()
			r, err := c.engines.FetchReport(ctx, address)
			if err != nil || r.Check() != nil || r.Instance != id {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			c.observations.addReport(r, requestedAt)
		})
	}
	if err := group.Wait(); err != nil {
		c.deps.Log.Debug().Err(err).Msg("probes-stopped")
	}
}
