package formation

import (
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// releaseClaimedMembers removes servers that report another replica from the replicas of this
// planner. It has taken them for spare servers by an entry that was older than their joining of
// the other replica, which may serve.
func (p *Planner) releaseClaimedMembers(service *cluster.Service) {
	for _, r := range p.sortedReplicas(service) {
		isClaimed := func(id ident.Instance) bool {
			s := p.snapshot.Server(id)
			return s != nil && s.Membership != nil && s.Membership.Replica != r.name
		}
		if r.phase == dissolving || !slices.ContainsFunc(r.members, isClaimed) {
			continue
		}
		if r.phase != incomplete {
			p.recordDecision("replica-broken", r, "phase %s, members are in another replica", r.phase)
			r.setPhase(r.phaseAfterServing(), p.now)
		}
		r.members = slices.DeleteFunc(r.members, isClaimed)
		p.membersChanged()
	}
}

// adoptReplicas adds the replicas that servers report and that this planner
// doesn't have yet, or has at an earlier epoch, because they were formed in an earlier term.
func (p *Planner) adoptReplicas(service *cluster.Service) {
	newestEpochs := make(map[ident.Replica]unit.Epoch)
	for key, r := range p.reported {
		known := p.replicas[key.Replica]
		if (known == nil || known.epoch < key.Epoch && known.phase != dissolving) && r.Members[0].Service == service.Name {
			newestEpochs[key.Replica] = max(newestEpochs[key.Replica], key.Epoch)
		}
	}
	for name, epoch := range newestEpochs {
		p.adoptReplica(service, name, epoch, p.reported[catalog.ReplicaKey{Replica: name, Epoch: epoch}])
	}
}

// adoptReplica adds a reported replica. It is joining if every rank is reported
// by a server that is in no other replica, else incomplete. The other members may then still be
// known by older entries, so the replica is neither completed nor given up before returnWindow has
// passed.
func (p *Planner) adoptReplica(service *cluster.Service, name ident.Replica, epoch unit.Epoch, reported *catalog.Replica) {
	first := reported.Members[0]
	model := service.Engine.Model(first.Membership.Model)
	if model == nil {
		return
	}
	r := &replica{name: name, service: service.Name, domain: first.Domain, model: model, epoch: epoch, servedEpoch: epoch, phase: incomplete, phaseSince: p.now, brokenSince: p.now}
	members := make([]ident.Instance, model.ServersPerReplica)
	for _, s := range reported.Members {
		if rank := int(s.Membership.Rank); rank >= 0 && rank < model.ServersPerReplica {
			members[rank] = s.ID
		}
	}
	if slices.Contains(members, "") {
		members = slices.DeleteFunc(members, func(id ident.Instance) bool { return id == "" })
	} else {
		r.setPhase(joining, p.now)
	}
	r.members = slices.DeleteFunc(members, func(id ident.Instance) bool {
		assigned, members := p.ReplicaOf(id)
		return members != nil && assigned != name
	})
	if len(r.members) < model.ServersPerReplica {
		r.setPhase(incomplete, p.now)
		r.lastReturn = p.now
	}
	p.replicas[name] = r
	p.membersChanged()
	p.recordDecision("replica-adopted", r, "members %v", r.members)
}

// checkMembers finds the replicas that have lost a member and makes them
// incomplete.
func (p *Planner) checkMembers(service *cluster.Service) {
	for _, r := range p.sortedReplicas(service) {
		switch r.phase {
		case incomplete, dissolving:
			continue
		case joining, opening, serving, closing:
		}
		if lost, reason := p.lostMember(r); lost != "" {
			if r.brokenSince.IsZero() || r.phase == serving || r.phase == closing {
				r.brokenSince = p.now
			}
			p.recordDecision("replica-broken", r, "phase %s, member %s: %s", r.phase, lost, reason)
			r.setPhase(r.phaseAfterServing(), p.now)
		}
	}
}

// lostMember returns a member without which the replica can't serve or complete
// its joining, and the reason. It returns empty values if there is none.
func (p *Planner) lostMember(r *replica) (ident.Instance, string) {
	for rank, id := range r.members {
		s := p.snapshot.Server(id)
		switch {
		case s == nil:
			return id, "is not in the server list"
		case p.IsUnreachable(s):
			return id, "does not answer"
		case s.Draining && r.phase == joining:
			return id, "drains"
		}
		m := s.Membership
		if r.phase == joining {
			continue
		}
		switch {
		case m == nil || m.Replica != r.name || m.Epoch != r.epoch:
			return id, "has left the replica"
		case m.State == cluster.Broken && rank == 0:
			return id, "reports that a member is missing"
		}
	}
	return "", ""
}
