package catalog

import (
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/unit"
)

// ApplyReport publishes a snapshot with the state that a server has reported directly, and
// returns whether it differs from the known one. It ignores the reports of servers that
// the platform doesn't list, and states before the known one.
func (c *Catalog) ApplyReport(reported *cluster.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.servers.get(reported.ID)
	if known == nil || known.Incarnation != reported.Incarnation || hasSameState(reported, known) {
		return false
	}
	updated := *known
	updated.StagedModels, updated.Membership = reported.StagedModels, reported.Membership
	updated.AsOf = reported.AsOf.Add(-c.reportAge(known))
	updated.ReportedEpoch = max(known.ReportedEpoch, epochOf(reported))
	updated.HighestEpoch = max(known.HighestEpoch, epochOf(reported))
	if !isLaterState(&updated, known) {
		return false
	}
	c.applyServers([]*cluster.Server{&updated}, nil)
	c.publish()
	return true
}

// reportAge returns the highest age of the state in the server's report. The caller holds the
// lock.
func (c *Catalog) reportAge(s *cluster.Server) time.Duration {
	if c.config == nil || c.config.Services[s.Service] == nil || c.config.Services[s.Service].Engine == nil {
		return 0
	}
	return c.config.Services[s.Service].Engine.ReportAge
}

func hasSameState(a, b *cluster.Server) bool {
	sameMembership := a.Membership == b.Membership || a.Membership != nil && b.Membership != nil && *a.Membership == *b.Membership
	return sameMembership && slices.Equal(a.StagedModels, b.StagedModels)
}

// ApplyFormations publishes a snapshot with replicas whose members have reported to
// another daemon that they serve. It ignores members that are not listed, and states
// before the known one.
func (c *Catalog) ApplyFormations(formations []cluster.Formation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range formations {
		var changed []*cluster.Server
		for rank, member := range formations[i].Members {
			if s := c.serverInFormation(&formations[i], unit.Rank(rank), member); s != nil {
				changed = append(changed, s)
			}
		}
		if len(changed) > 0 {
			c.applyServers(changed, nil)
			c.publish()
		}
	}
}

// serverInFormation returns the state of the member in the formation, nil if the known
// state is the same or a later one. The caller holds the lock.
func (c *Catalog) serverInFormation(f *cluster.Formation, rank unit.Rank, member cluster.FormationMember) *cluster.Server {
	known := c.servers.get(member.ID)
	if known == nil || known.Incarnation != member.Incarnation || known.HighestEpoch > f.Epoch {
		return nil
	}
	state := cluster.Ready
	if rank == 0 {
		state = cluster.Open
	}
	if m := known.Membership; m != nil && m.Replica == f.Replica && m.Epoch == f.Epoch && m.State != cluster.Joining && (m.State != cluster.Ready || state == cluster.Ready) {
		return nil
	}
	updated := *known
	updated.Membership = &cluster.Membership{Replica: f.Replica, Epoch: f.Epoch, Rank: rank, Model: f.Model, State: state}
	updated.ReportedEpoch, updated.HighestEpoch = f.Epoch, f.Epoch
	return &updated
}
