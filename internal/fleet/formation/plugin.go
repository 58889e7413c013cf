package formation

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/fleet/lease"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

const section = "formation"

// Settings are the section "formation".
type Settings struct {
	// Lease is the time to live of the duty's lease.
	Lease settings.Duration `json:"lease" validate:"duration"`
	// Interval is the longest time between two rounds of the planner.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Retry is the time after which an order without effect is given again.
	Retry settings.Duration `json:"retry" validate:"duration"`
	// Gather is the time after a server appeared for which its fabric domain may
	// grow further before weights are staged on spare servers.
	Gather settings.Duration `json:"gather" validate:"duration"`
	// Close bounds the wait for the requests of a replica with a draining
	// member.
	Close settings.Duration `json:"close" validate:"duration"`
	// Bootstrap says that the whole system starts for the first time, when
	// loads of weights before the first request are cheap.
	Bootstrap bool `json:"bootstrap"`
	// Fenced says that servers refuse orders with an old generation number, so
	// that a planner may act while the platform can't renew its lease.
	Fenced bool `json:"fenced"`
}

type (
	catalogue interface {
		Current() *catalog.Snapshot
		Changed() <-chan struct{}
	}
	servers interface {
		SendOrder(ctx context.Context, s *cluster.Server, o *cluster.Order) cluster.OrderResult
		IsRunning(ctx context.Context, s *cluster.Server) bool
	}
	mirror interface {
		Get(key store.Key) store.Entry
		SourceConnected() bool
		SetLowLatency(acting bool)
	}
	traffic interface {
		HasTraffic() bool
	}
)

// duty plans while it holds the lease.
type duty struct {
	plugin.BackgroundTasks
	deps     *plugin.Deps
	settings *Settings
	self     ident.Instance

	platform lease.Store
	catalog  catalogue
	servers  servers
	mirror   mirror
	traffic  traffic

	// tenure is the fence of the duty held, zero for none.
	tenure atomic.Int64
	fenced atomic.Int64
	wake   chan struct{}

	mu       sync.Mutex
	suspects map[suspect]time.Time
	verdicts []verdict
	results  []given

	orders *prometheus.CounterVec
}

// suspect is a server of a replica at an epoch that failed a daemon.
type suspect struct {
	server ident.Instance
	epoch  unit.Epoch
}

// verdict is the result of a probe.
type verdict struct {
	server *cluster.Server
	alive  bool
}

// given is a server's answer to an order.
type given struct {
	command Command
	result  cluster.OrderResult
}

func init() {
	settings.Register(section, func() any {
		return &Settings{
			Lease: settings.DurationOf(1500 * time.Millisecond), Interval: settings.DurationOf(200 * time.Millisecond),
			Retry: settings.DurationOf(700 * time.Millisecond), Gather: settings.DurationOf(time.Second), Close: settings.DurationOf(3 * time.Second),
		}
	})
	plugin.RegisterForAdapter("platform", plugin.Controller, "formation", newPlugin)
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	u := &duty{
		deps: d, settings: d.Settings.Section(section).(*Settings), self: d.Settings.Daemon.Instance,
		wake: make(chan struct{}, 1), suspects: make(map[suspect]time.Time),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_formation_orders_total", Help: "Orders of the planner by operation and result.",
		}, []string{"operation", "result"}),
	}
	d.Provide(u)
	return u, d.Metrics.Register(u.orders)
}

// Start begins to compete for the duty.
func (u *duty) Start(context.Context) error {
	if err := u.deps.Resolve(&u.platform, &u.catalog, &u.servers, &u.mirror, &u.traffic); err != nil {
		return err
	}
	u.Go(u.tend)
	u.Go(u.plan)
	return nil
}

// dutyKey is held by the planner.
const dutyKey store.Key = "cuminbay/planner"

// tendPart is the part of the lease's time between two renewals.
const tendPart = 4

// tend keeps the lease, or waits until it is free.
func (u *duty) tend(ctx context.Context) {
	l := lease.New(u.platform, u.deps.Clock, dutyKey, u.self, u.settings.Lease.Duration)
	defer func() {
		u.tenure.Store(0)
		stop, cancel := context.WithTimeout(context.Background(), u.settings.Lease.Duration)
		defer cancel()
		if err := l.Release(stop); err != nil {
			u.deps.Log.Warn().Err(err).Msg("planner-lease-not-released")
		}
	}()
	for {
		if l.IsHeld() || u.tenure.Load() != 0 || u.vacant(ctx) {
			u.renew(ctx, l)
		}
		if !plugin.Sleep(ctx, u.deps.Clock, u.settings.Lease.Duration/tendPart) {
			return
		}
	}
}

// vacant reports whether the duty seems free. The daemons look one after the
// other, in an order that changes with the last holder, so that one of them
// takes it and the others see that.
func (u *duty) vacant(ctx context.Context) bool {
	if !u.mirror.SourceConnected() || u.mirror.Get(dutyKey).Revision != 0 {
		return false
	}
	const longest = 150 * time.Millisecond
	turn := time.Duration(float64(xxhash.Sum64String(string(u.self))) / math.MaxUint64 * float64(longest))
	return plugin.Sleep(ctx, u.deps.Clock, turn) && u.mirror.Get(dutyKey).Revision == 0
}

func (u *duty) renew(ctx context.Context, l *lease.Lease) {
	limited, cancel := context.WithTimeout(ctx, u.settings.Lease.Duration)
	defer cancel()
	err := l.AcquireOrRenew(limited)
	before := u.tenure.Load()
	switch {
	case l.IsHeld() && int64(l.FencingToken()) == u.fenced.Load():
		// A later holder has been obeyed. Its lease must have ended since, so
		// a new fence is taken.
		if err := l.Release(limited); err != nil {
			u.deps.Log.Warn().Err(err).Msg("planner-lease-not-released")
		}
		u.tenure.Store(0)
	case l.IsHeld():
		u.tenure.Store(int64(l.FencingToken()))
	case err != nil && u.settings.Fenced && before != 0 && !u.replaced(before):
		// The platform is away. Nobody else can have a higher fence unless it
		// is back, and servers refuse the lower one then.
		return
	default:
		u.tenure.Store(0)
	}
	if after := u.tenure.Load(); after != before {
		u.mirror.SetLowLatency(after != 0)
		u.deps.Log.Info().Int64("fence", after).Int64("before", before).AnErr("error", err).Msg("planner-tenure")
		u.nudge()
	}
}

// replaced reports whether another holder is known to have taken the key.
func (u *duty) replaced(fence int64) bool {
	return int64(u.mirror.Get(dutyKey).Revision) > fence
}

func (u *duty) nudge() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// EndpointSuspected takes a daemon's word that an endpoint failed. The replica's members
// are asked for themselves.
func (u *duty) EndpointSuspected(server ident.Instance, epoch unit.Epoch, _ ident.Instance) {
	if u.tenure.Load() == 0 {
		return
	}
	u.mu.Lock()
	s := suspect{server, epoch}
	if _, known := u.suspects[s]; !known {
		u.suspects[s] = time.Time{}
	}
	u.mu.Unlock()
	u.nudge()
}

// plan runs rounds of the planner while the duty is held.
func (u *duty) plan(ctx context.Context) {
	var planner *Planner
	var tenure int64
	for {
		changed := u.catalog.Changed()
		now := u.deps.Clock.Now()
		if held := u.tenure.Load(); held != tenure {
			planner, tenure = nil, held
			if held != 0 {
				planner = New(u.rules(), unit.Revision(held), now)
			}
		}
		if planner != nil {
			u.round(planner, now)
		}
		if !u.wait(ctx, changed, planner != nil) {
			return
		}
	}
}

func (u *duty) rules() Rules {
	return Rules{Retry: u.settings.Retry.Duration, Gather: u.settings.Gather.Duration, CloseLimit: u.settings.Close.Duration}
}

// wait returns when there may be something to plan.
func (u *duty) wait(ctx context.Context, changed <-chan struct{}, active bool) bool {
	if !active {
		select {
		case <-u.wake:
			return true
		case <-ctx.Done():
			return false
		}
	}
	timer := u.deps.Clock.NewTimer(u.settings.Interval.Duration)
	defer timer.Stop()
	select {
	case <-changed:
	case <-u.wake:
	case <-timer.Chan():
	case <-ctx.Done():
		return false
	}
	return true
}

func (u *duty) round(p *Planner, now time.Time) {
	view := u.catalog.Current()
	u.judge(p)
	u.probe(p, view, now)
	commands := p.Step(now, view, u.settings.Bootstrap && !u.traffic.HasTraffic())
	for _, n := range p.Noted {
		u.deps.Log.Info().Str("replica", string(n.Replica)).Uint64("epoch", uint64(n.Epoch)).
			Int64("fence", int64(p.fence)).Str("detail", n.Detail).Msg(n.Event)
	}
	p.Noted = nil
	for _, c := range commands {
		u.Go(func(ctx context.Context) { u.give(ctx, c) })
	}
}

// judge passes the results of probes and orders to the planner.
func (u *duty) judge(p *Planner) {
	u.mu.Lock()
	verdicts, results := u.verdicts, u.results
	u.verdicts, u.results = nil, nil
	u.mu.Unlock()
	for _, g := range results {
		p.Result(g.command, g.result)
	}
	for _, v := range verdicts {
		if v.alive {
			p.Alive(v.server.ID)
			continue
		}
		p.Dead(v.server)
	}
}

// probeAgain is the time between two probes on the same suspicion, and for what
// a suspicion is kept.
const probeAgain = 2 * time.Second

// probe asks the members of the replicas that failed a daemon, and servers that
// were found dead but are still listed.
func (u *duty) probe(p *Planner, view *catalog.Snapshot, now time.Time) {
	ask := make(map[ident.Instance]bool)
	u.mu.Lock()
	for s, asked := range u.suspects {
		server := view.Servers[s.server]
		switch {
		case server == nil || server.Membership == nil || server.Membership.Epoch != s.epoch, !asked.IsZero() && now.Sub(asked) > probeAgain:
			delete(u.suspects, s)
		case asked.IsZero():
			u.suspects[s] = now
			_, members := p.Replica(s.server)
			for _, id := range members {
				ask[id] = true
			}
		}
	}
	u.mu.Unlock()
	for id, at := range p.dead {
		if s := view.Servers[id]; s != nil && s.Incarnation == at.born && now.Sub(at.asked) > probeAgain {
			p.dead[id] = death{at.born, now}
			ask[id] = true
		}
	}
	for id := range ask {
		if s := view.Servers[id]; s != nil {
			u.Go(func(ctx context.Context) { u.askAlive(ctx, s) })
		}
	}
}

func (u *duty) askAlive(ctx context.Context, s *cluster.Server) {
	alive := u.servers.IsRunning(ctx, s)
	if ctx.Err() != nil {
		return
	}
	u.deps.Log.Info().Str("server", string(s.ID)).Bool("alive", alive).Msg("server-probed")
	u.mu.Lock()
	u.verdicts = append(u.verdicts, verdict{s, alive})
	u.mu.Unlock()
	u.nudge()
}

// give sends an order.
func (u *duty) give(ctx context.Context, c Command) {
	result := u.servers.SendOrder(ctx, c.Server, &c.Order)
	u.orders.WithLabelValues(string(c.Order.Operation), result.String()).Inc()
	u.deps.Log.Info().Str("server", string(c.Server.ID)).Str("operation", string(c.Order.Operation)).
		Str("replica", string(c.Order.Replica)).Uint64("epoch", uint64(c.Order.Epoch)).Str("model", string(c.Order.Model)).
		Int64("fence", int64(c.Order.FencingToken)).Str("result", result.String()).Msg("order")
	u.mu.Lock()
	u.results = append(u.results, given{c, result})
	u.mu.Unlock()
	if result == cluster.Unanswered {
		u.askAlive(ctx, c.Server)
	}
	if result == cluster.Fenced {
		u.fenced.Store(int64(c.Order.FencingToken))
		u.tenure.CompareAndSwap(int64(c.Order.FencingToken), 0)
	}
}
