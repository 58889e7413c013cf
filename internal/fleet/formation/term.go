package formation

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/lease"
	"cuminbay/internal/fleet/mirror"
	"cuminbay/internal/kernel/plugin"
)

// renewalsPerTTL is the number of renewals in the lease's time to live.
const renewalsPerTTL = 4

// holdLease renews the lease while this daemon is the leader, and acquires it
// when it is free.
func (c *controller) holdLease(ctx context.Context) {
	l := lease.New(c.store, c.deps.Clock, mirror.LeaderKey, c.self, c.settings.Lease.Duration)
	defer func() {
		c.fencingToken.Store(0)
		releaseCtx, cancel := context.WithTimeout(context.Background(), c.settings.Lease.Duration)
		defer cancel()
		if err := l.Release(releaseCtx); err != nil {
			c.deps.Log.Warn().Err(err).Msg("planner-lease-not-released")
		}
	}()
	for {
		if l.IsHeld() || c.fencingToken.Load() != 0 || c.mayPlan() && c.mayCompete() && c.leaseAvailable(ctx) {
			c.renewLease(ctx, l)
		}
		if !plugin.Sleep(ctx, c.deps.Clock, c.settings.Lease.Duration/renewalsPerTTL) {
			return
		}
	}
}

// mayPlan reports whether this daemon reaches servers. If it doesn't, and another daemon does, the
// other one plans.
func (c *controller) mayPlan() bool {
	return !c.links.CutOff() || !c.peers.HasConnectedDaemon()
}

// yieldDelay is the time for which a planner that is cut off keeps its term. Its successor needs
// about as long to begin and to learn the state of the servers.
const yieldDelay = time.Second

// yieldTerm ends the term with the token if another daemon has had to plan for yieldDelay.
func (c *controller) yieldTerm(token int64, now time.Time) {
	switch {
	case token == 0 || c.mayPlan():
		c.cutOffSince = time.Time{}
	case c.cutOffSince.IsZero():
		c.cutOffSince = now
	case now.Sub(c.cutOffSince) >= yieldDelay:
		c.deps.Log.Warn().Stringer("fence", unit.Revision(token)).Msg("planner-cut-off")
		c.endTerm(token)
	}
}

// Daemons with fastProcessor of a core or more compete for the lease wherever they are in the tree,
// and those with less than slowProcessor wait for them: a planner probes and orders a hundred
// servers at once, for which a slow processor takes a second.
const (
	fastProcessor = 0.5
	slowProcessor = 0.25
	slowDelay     = 250 * time.Millisecond
)

// mayCompete reports whether this daemon competes for the lease when it is free.
func (c *controller) mayCompete() bool {
	return c.processor >= fastProcessor || c.candidates.MayReadPlatform()
}

// competeDelay returns the time for which this daemon waits before it acquires a free lease.
func (c *controller) competeDelay() time.Duration {
	const maxDelay = 150 * time.Millisecond
	delay := time.Duration(float64(xxhash.Sum64String(string(c.self))) / math.MaxUint64 * float64(maxDelay))
	if c.processor > 0 && c.processor < slowProcessor {
		delay += slowDelay
	}
	return delay
}

// leaseAvailable reports whether the key mirror is connected and names no
// leader, now and after a delay that differs between the daemons. The daemon with
// the shortest delay usually acquires the lease, and the other daemons find it in
// their mirrors before their own delays end.
func (c *controller) leaseAvailable(ctx context.Context) bool {
	if !c.keys.SourceConnected() || c.keys.Get(mirror.LeaderKey).Revision != 0 {
		return false
	}
	return plugin.Sleep(ctx, c.deps.Clock, c.competeDelay()) && c.keys.Get(mirror.LeaderKey).Revision == 0
}

// renewLease acquires or renews the lease and begins or ends a term
// accordingly.
func (c *controller) renewLease(ctx context.Context, l *lease.Lease) {
	renewCtx, cancel := context.WithTimeout(ctx, c.settings.Lease.Duration)
	defer cancel()
	err := l.AcquireOrRenew(renewCtx)
	previous := c.fencingToken.Load()
	switch {
	case l.IsHeld() && int64(l.FencingToken()) == c.endedToken.Load():
		// The term ended although the lease did not: a server accepted an order of
		// a later leader, or the planner was paused.
		if err := l.Release(renewCtx); err != nil {
			c.deps.Log.Warn().Err(err).Msg("planner-lease-not-released")
		}
		c.fencingToken.Store(0)
	case l.IsHeld():
		c.fencingToken.Store(int64(l.FencingToken()))
	case err != nil && c.settings.Fenced && previous != 0 && !c.supersededBy(previous):
		// The platform does not answer. No other daemon can get a higher token
		// before the platform answers again, and from the first order with the
		// higher token on, servers refuse the lower one.
		return
	default:
		c.endTerm(previous)
	}
	if current := c.fencingToken.Load(); current != previous {
		c.keys.SetLowLatency(current != 0)
		c.deps.Log.Info().Stringer("fence", unit.Revision(current)).Stringer("before", unit.Revision(previous)).AnErr("error", err).Msg("planner-tenure")
		c.wakePlanner()
	}
}

// endTerm ends the term with the token if it is the current one.
func (c *controller) endTerm(token int64) {
	if token != 0 && c.fencingToken.CompareAndSwap(token, 0) {
		c.endedToken.Store(token)
	}
}

// endSupersededTerm ends the term with the token, as a later planner has taken over.
func (c *controller) endSupersededTerm(token int64) {
	c.deps.Log.Warn().Stringer("fence", unit.Revision(token)).Msg("planner-superseded")
	c.endTerm(token)
}

// supersededBy reports whether another daemon is known to have acquired the
// lease after the token was issued.
func (c *controller) supersededBy(token int64) bool {
	return int64(c.keys.Get(mirror.LeaderKey).Revision) > token
}
