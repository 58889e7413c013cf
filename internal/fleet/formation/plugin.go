package formation

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/fleet/lease"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

const section = "formation"

// Settings are the settings in the section "formation".
type Settings struct {
	// Lease is the time to live of the planner lease.
	Lease settings.Duration `json:"lease" validate:"duration"`
	// Interval is the longest time between two rounds of the planner.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Retry is the time after which an order without effect is sent again.
	Retry settings.Duration `json:"retry" validate:"duration"`
	// Gather is the time for which a fabric domain counts as growing after a
	// server was added. While a domain grows, weights are staged on its spare
	// servers only for incomplete replicas.
	Gather settings.Duration `json:"gather" validate:"duration"`
	// Close bounds the wait for the requests of a replica with a draining
	// member.
	Close settings.Duration `json:"close" validate:"duration"`
	// Bootstrap says that the whole system starts for the first time. Loads of
	// weights before the first request are then cheap.
	Bootstrap bool `json:"bootstrap"`
	// Fenced says that servers refuse orders with an old fencing token. A
	// planner then continues while the platform can't renew its lease.
	Fenced bool `json:"fenced"`
	// Prepared is the share of each model's replicas whose members load another
	// model's weights at the first start of the system, after the replicas were
	// formed. They can then follow the demand without a load.
	Prepared float64 `json:"prepared" validate:"gte=0,lte=1"`
}

// The operations of other plug-ins that the planner uses.
type (
	catalogSource interface {
		Current() *catalog.Snapshot
		Changed() <-chan struct{}
		ApplyReport(reported *cluster.Server) bool
		SetLeaving(server *cluster.Server) bool
	}
	peerDaemons interface {
		AnnounceFormation(f cluster.Formation)
		HasConnectedDaemon() bool
	}
	linkMonitor interface {
		CutOff() bool
		LinksWork(ctx context.Context) bool
	}
	serverClient interface {
		SendOrder(ctx context.Context, s *cluster.Server, o *cluster.Order) cluster.OrderResult
		ReadReport(ctx context.Context, s *cluster.Server) *cluster.Server
	}
	keyMirror interface {
		Get(key store.Key) store.Entry
		SourceConnected() bool
		SetLowLatency(enabled bool)
		SetAwaitsChange(awaits bool)
		Age() time.Duration
		Revision() unit.Revision
	}
	leaderCandidates interface {
		MayReadPlatform() bool
	}
	trafficMonitor interface {
		HasTraffic() bool
	}
	demandSource interface {
		// OfferedLoad returns the load of each model of the service that its callers offer, and
		// false if it isn't known.
		OfferedLoad(now time.Time, service ident.Service) (map[ident.Model]unit.Slots, bool)
	}
)

// controller runs the planner while this daemon holds the planner lease.
type controller struct {
	plugin.BackgroundTasks
	deps     *plugin.Deps
	settings *Settings
	self     ident.Instance

	store   lease.Store
	catalog catalogSource
	servers serverClient
	keys    keyMirror
	traffic trafficMonitor
	peers   peerDaemons
	links   linkMonitor
	// demand is nil if no plug-in measures the demand. The layout then follows the configured
	// shares.
	demand demandSource
	// candidates says whether this daemon competes for the lease. In a large fleet, most
	// daemons would find it taken.
	candidates leaderCandidates
	// processor is the share of a processor core that this daemon may use, zero if it is not known.
	processor float64

	// fencingToken is the token of the current term, zero if this daemon is not
	// the leader.
	fencingToken atomic.Int64
	// endedToken is the token of the last term that ended. A term is not resumed with
	// its token, since a new planner would use its epochs and names again.
	endedToken atomic.Int64
	// reportReadAt has the times of the reports that were read within reportInterval, for lack
	// of a recent copy of the store or to confirm members.
	// Only the planner's goroutine uses it.
	reportReadAt map[ident.Instance]time.Time
	// checkedAt has the times at which unregistered members were probed. Only the planner's
	// goroutine uses it.
	checkedAt map[ident.Instance]time.Time
	// cutOffSince is the time since which another daemon has had to plan, zero if this one
	// may. Only the planner's goroutine uses it.
	cutOffSince time.Time
	// wake starts a round before the interval has passed.
	wake chan struct{}

	mu sync.Mutex
	// suspects has the time at which each suspect's replica was probed, zero
	// before the probe.
	suspects     map[suspect]time.Time
	probeResults []probeResult
	orderResults []orderResult

	orders      *prometheus.CounterVec
	counts      *countReporter
	conversions *conversionReporter
}

// orderResult is a server's answer to an order.
type orderResult struct {
	command Command
	result  cluster.OrderResult
}

func init() {
	settings.Register(section, func() any {
		return &Settings{
			Lease: settings.DurationOf(1500 * time.Millisecond), Interval: settings.DurationOf(200 * time.Millisecond),
			Retry: settings.DurationOf(700 * time.Millisecond), Gather: settings.DurationOf(time.Second), Close: settings.DurationOf(3 * time.Second),
			Prepared: 0.5,
		}
	})
	plugin.RegisterForAdapter("platform", plugin.Controller, "formation", newPlugin)
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	processor, err := settings.ProcessorShare()
	if err != nil {
		return nil, err
	}
	c := &controller{
		deps: deps, processor: processor, settings: deps.Settings.Section(section).(*Settings), self: deps.Settings.Daemon.Instance,
		wake: make(chan struct{}, 1), suspects: make(map[suspect]time.Time), reportReadAt: make(map[ident.Instance]time.Time),
		checkedAt: make(map[ident.Instance]time.Time),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_formation_orders_total", Help: "Orders of the planner by operation and result.",
		}, []string{"operation", "result"}),
		counts: newCountReporter(), conversions: newConversionReporter(),
	}
	deps.Provide(c)
	if err := deps.Metrics.Register(c.orders); err != nil {
		return nil, err
	}
	if err := c.conversions.register(deps.Metrics); err != nil {
		return nil, err
	}
	return c, deps.Metrics.Register(c.counts.gauge)
}

// Start begins to compete for the planner lease and to plan.
func (c *controller) Start(context.Context) error {
	if err := c.deps.Resolve(&c.store, &c.catalog, &c.servers, &c.keys, &c.traffic, &c.peers, &c.links, &c.candidates); err != nil {
		return err
	}
	var sources []demandSource
	if err := c.deps.ResolveAll(&sources); err != nil {
		return err
	}
	if len(sources) > 0 {
		c.demand = sources[0]
	}
	c.Go(c.holdLease)
	c.Go(c.runPlanner)
	return nil
}

// wakePlanner starts a round without waiting for it.
func (c *controller) wakePlanner() {
	plugin.Wake(c.wake)
}

// runPlanner runs rounds of the planner while this daemon is the leader, with a
// new planner for each term.
func (c *controller) runPlanner(ctx context.Context) {
	var planner *Planner
	var token int64
	pauses := pauseDetector{limit: c.settings.Lease.Duration}
	suspensionClock := clock.CountingSuspension(c.deps.Clock)
	for {
		changed := c.catalog.Changed()
		now := c.deps.Clock.Now()
		if token == 0 {
			pauses.reset()
		}
		if pauses.ranAt(suspensionClock.Now()) {
			// The lease may have ended during the pause.
			c.deps.Log.Warn().Stringer("fence", unit.Revision(token)).Msg("planner-paused")
			c.endTerm(token)
		}
		if token != 0 && c.supersededBy(token) {
			c.endSupersededTerm(token)
		}
		c.yieldTerm(token, now)
		if current := c.fencingToken.Load(); current != token {
			planner, token = nil, current
			c.counts.reset()
			c.conversions.reset()
			if current != 0 {
				planner = NewPlanner(c.plannerOptions(), unit.Revision(current), now)
			}
		}
		if planner != nil {
			c.runRound(planner, now)
			if !plugin.Sleep(ctx, c.deps.Clock, restAfter(c.deps.Clock.Since(now))) {
				return
			}
		}
		if !c.waitForChange(ctx, changed, planner != nil) {
			return
		}
	}
}

// Rest between two rounds of the planner. Each change of a server starts a round, and hundreds of
// them in a second would leave the daemon no time for its probes, orders and requests.
const (
	restFactor = 4
	maxRest    = 100 * time.Millisecond
)

// restAfter returns the least time between the end of a round that took the time and the next one.
func restAfter(round time.Duration) time.Duration {
	return min(restFactor*round, maxRest)
}

func (c *controller) plannerOptions() Options {
	preparedShare := c.settings.Prepared
	if c.demand == nil {
		preparedShare = 0
	}
	return Options{RetryInterval: c.settings.Retry.Duration, GrowthWindow: c.settings.Gather.Duration, CloseTimeout: c.settings.Close.Duration, Fenced: c.settings.Fenced, PreparedShare: preparedShare}
}

// waitForChange waits until there may be something to plan. It returns false
// when the context has ended.
func (c *controller) waitForChange(ctx context.Context, changed <-chan struct{}, active bool) bool {
	if !active {
		select {
		case <-c.wake:
			return true
		case <-ctx.Done():
			return false
		}
	}
	timer := c.deps.Clock.NewTimer(c.settings.Interval.Duration)
	defer timer.Stop()
	select {
	case <-changed:
	case <-c.wake:
	case <-timer.Chan():
	case <-ctx.Done():
		return false
	}
	return true
}

// runRound runs a step of the planner, logs its decisions and sends its orders.
func (c *controller) runRound(p *Planner, now time.Time) {
	snapshot := c.catalog.Current()
	c.applyResults(p)
	c.probeSuspects(p, snapshot, now)
	p.LatestRevision = c.keys.Revision()
	p.Demand, p.StoreUnavailable = c.offeredLoad(snapshot, now), c.keys.Age() >= maxCopyAge
	commands := p.Step(now, snapshot, c.settings.Bootstrap && !c.traffic.HasTraffic() && !p.Demand.hasLoad())
	c.keys.SetAwaitsChange(p.AwaitsChange())
	for _, d := range p.Decisions {
		c.deps.Log.Info().Str("replica", string(d.Replica)).Uint64("epoch", uint64(d.Epoch)).
			Stringer("fence", p.fencingToken).Str("detail", d.Detail).Msg(d.Event)
	}
	p.Decisions = nil
	c.counts.report(c.deps.Log, p, now)
	c.conversions.report(p, now)
	if p.Superseded {
		c.endSupersededTerm(int64(p.fencingToken))
		return
	}
	maps.DeleteFunc(c.reportReadAt, func(_ ident.Instance, at time.Time) bool { return now.Sub(at) >= reportInterval })
	c.replaceStore(p, now)
	c.checkUnregistered(p, now)
	c.confirmMembers(p, now)
	for _, command := range commands {
		c.Go(func(ctx context.Context) { c.sendOrder(ctx, command) })
	}
}

// A copy of the store older than maxCopyAge doesn't show in time what the servers report to
// the store. Servers are then asked directly, each at most once in reportInterval.
const (
	maxCopyAge     = 1800 * time.Millisecond
	reportInterval = 300 * time.Millisecond
)

// replaceStore does, while the store can't be read, what otherwise happens through it: it
// reads the reports of servers that carry out orders, and announces replicas that serve to
// the other daemons.
func (c *controller) replaceStore(p *Planner, now time.Time) {
	formed := p.Formed
	p.Formed = nil
	if c.keys.Age() < maxCopyAge {
		return
	}
	for _, s := range p.Awaited {
		if c.mayReadReport(s.ID, now) {
			c.Go(func(ctx context.Context) { c.readReport(ctx, s) })
		}
	}
	for _, f := range formed {
		c.peers.AnnounceFormation(f)
	}
}

// mayReadReport reports whether the server's report was not read within reportInterval, and counts
// it as read now.
func (c *controller) mayReadReport(id ident.Instance, now time.Time) bool {
	if _, recent := c.reportReadAt[id]; recent {
		return false
	}
	c.reportReadAt[id] = now
	return true
}

// applyResults passes the results of probes and orders to the planner.
func (c *controller) applyResults(p *Planner) {
	c.mu.Lock()
	probes, results := c.probeResults, c.orderResults
	c.probeResults, c.orderResults = nil, nil
	c.mu.Unlock()
	for _, r := range results {
		p.HandleResult(r.command, r.result)
	}
	for _, probe := range probes {
		if probe.running {
			p.MarkReachable(probe.server.ID)
			continue
		}
		p.MarkUnreachable(probe.server)
	}
}

// sendOrder sends an order. A server that doesn't answer is probed. If the
// server refuses the fencing token, the term ends.
func (c *controller) sendOrder(ctx context.Context, command Command) {
	result := cluster.Unanswered
	if reported, confirmed := c.confirmState(ctx, &command); confirmed {
		result = c.servers.SendOrder(ctx, command.Server, &command.Order)
	} else if reported {
		result = cluster.OutOfDate
	}
	c.orders.WithLabelValues(string(command.Order.Operation), result.String()).Inc()
	c.deps.Log.Info().Str("server", string(command.Server.ID)).Str("operation", string(command.Order.Operation)).
		Str("replica", string(command.Order.Replica)).Uint64("epoch", uint64(command.Order.Epoch)).Str("model", string(command.Order.Model)).
		Stringer("fence", command.Order.FencingToken).Str("result", result.String()).Msg("order")
	c.mu.Lock()
	c.orderResults = append(c.orderResults, orderResult{command, result})
	c.mu.Unlock()
	if result == cluster.Unanswered {
		c.probeServer(ctx, command.Server)
	}
	if result == cluster.Fenced {
		c.endTerm(int64(command.Order.FencingToken))
	}
}

// confirmState reads the server's own report if the command has to be confirmed by it, and
// reports whether the server answered and whether it confirms what the planner knew. The order is
// then only carried out at the state of the report, which may be some hundred ms old. Otherwise
// the catalog gets that state.
func (c *controller) confirmState(ctx context.Context, command *Command) (reported, confirmed bool) {
	if !command.Confirm {
		return false, true
	}
	s := c.servers.ReadReport(ctx, command.Server)
	if s == nil {
		return false, false
	}
	if command.IsConfirmedBy(s) {
		command.Order.ExpectedSequence = &s.Sequence
		return true, true
	}
	c.applyReport(s)
	return true, false
}
