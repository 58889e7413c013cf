package formation

import (
	"context"
	"maps"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// suspect is a server that failed a request of a daemon while it was a member
// of a replica at the epoch.
type suspect struct {
	server ident.Instance
	epoch  unit.Epoch
}

// probeResult says whether the server answered a probe.
type probeResult struct {
	server  *cluster.Server
	running bool
}

// EndpointSuspected records that an endpoint failed a request of a daemon. The
// next round probes the members of its replica.
func (c *controller) EndpointSuspected(server ident.Instance, epoch unit.Epoch, _ ident.Instance) {
	if c.fencingToken.Load() == 0 {
		return
	}
	c.mu.Lock()
	s := suspect{server, epoch}
	if _, known := c.suspects[s]; !known {
		c.suspects[s] = time.Time{}
	}
	c.mu.Unlock()
	c.wakePlanner()
}

// probeInterval is the least time between two probes for the same suspect or
// unreachable server, and the time for which a suspect is kept after its probe.
const probeInterval = 2 * time.Second

// probeSuspects probes the members of the suspects' replicas, and unreachable
// servers that are still in the server list.
func (c *controller) probeSuspects(p *Planner, snapshot *catalog.Snapshot, now time.Time) {
	toProbe := make(map[ident.Instance]bool)
	c.mu.Lock()
	for s, probedAt := range c.suspects {
		server := snapshot.Server(s.server)
		switch {
		case server == nil || server.Membership == nil || server.Membership.Epoch != s.epoch, !probedAt.IsZero() && now.Sub(probedAt) > probeInterval:
			delete(c.suspects, s)
		case probedAt.IsZero():
			c.suspects[s] = now
			_, members := p.ReplicaOf(s.server)
			for _, id := range members {
				toProbe[id] = true
			}
		}
	}
	c.mu.Unlock()
	for id, server := range p.unreachable {
		if s := snapshot.Server(id); s != nil && s.Incarnation == server.incarnation && now.Sub(server.probedAt) > probeInterval {
			p.unreachable[id] = unreachableServer{server.incarnation, now}
			toProbe[id] = true
		}
	}
	for id := range toProbe {
		if s := snapshot.Server(id); s != nil {
			c.Go(func(ctx context.Context) { c.probeServer(ctx, s) })
		}
	}
}

// probeServer probes whether this incarnation of the server runs, and wakes the
// planner with the result. While this daemon reaches no server, a probe has no result.
func (c *controller) probeServer(ctx context.Context, s *cluster.Server) {
	running := c.readReport(ctx, s)
	if !running && !c.links.LinksWork(ctx) {
		c.deps.Log.Info().Str("server", string(s.ID)).Msg("server-not-probed")
		c.wakePlanner()
		return
	}
	if ctx.Err() != nil {
		return
	}
	c.deps.Log.Info().Str("server", string(s.ID)).Bool("alive", running).Msg("server-probed")
	c.mu.Lock()
	c.probeResults = append(c.probeResults, probeResult{s, running})
	c.mu.Unlock()
	c.wakePlanner()
}

// readReport returns whether the server's incarnation is running. While the store can't be
// read, it applies the state that the server reports to the catalog. A report may be older
// than the entry that the store has of the server.
func (c *controller) readReport(ctx context.Context, s *cluster.Server) bool {
	reported := c.servers.ReadReport(ctx, s)
	if reported == nil {
		return false
	}
	if reported.Draining && c.catalog.SetLeaving(s) {
		c.deps.Log.Info().Str("endpoint", string(s.ID)).Msg("server-leaving")
	}
	if c.keys.Age() >= maxCopyAge {
		c.applyReport(reported)
	}
	return true
}

// applyReport gives the catalog the state that a server has reported.
func (c *controller) applyReport(s *cluster.Server) {
	if !c.catalog.ApplyReport(s) {
		return
	}
	event := c.deps.Log.Info().Str("server", string(s.ID))
	if m := s.Membership; m != nil {
		event = event.Str("replica", string(m.Replica)).Uint64("epoch", uint64(m.Epoch)).Str("state", string(m.State))
	}
	event.Msg("server-reported")
}

// maxChecks bounds the unregistered members that are probed in one round, and the possible members
// whose reports are read. Hundreds of probes at once would be answered late for lack of processor
// time.
const maxChecks = 4

// checkUnregistered probes members that the platform has removed, each once in probeInterval.
func (c *controller) checkUnregistered(p *Planner, now time.Time) {
	maps.DeleteFunc(c.checkedAt, func(_ ident.Instance, at time.Time) bool { return now.Sub(at) >= probeInterval })
	checks := 0
	for _, s := range p.Unregistered {
		if _, recent := c.checkedAt[s.ID]; recent || checks == maxChecks {
			continue
		}
		checks++
		c.checkedAt[s.ID] = now
		c.Go(func(ctx context.Context) { c.probeServer(ctx, s) })
	}
}

// confirmMembers applies the reports of servers that may belong to replicas of which only some
// members are known, each at most once in reportInterval.
func (c *controller) confirmMembers(p *Planner, now time.Time) {
	checks := 0
	for _, s := range p.Unconfirmed {
		if checks == maxChecks {
			return
		}
		if !c.mayReadReport(s.ID, now) {
			continue
		}
		checks++
		c.Go(func(ctx context.Context) {
			if reported := c.servers.ReadReport(ctx, s); reported != nil {
				c.applyReport(reported)
			}
		})
	}
}
