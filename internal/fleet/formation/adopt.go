package formation

import (
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// adopt takes over the replicas that servers report and this planner doesn't
// know, as an earlier tenure formed them.
func (p *Planner) adopt(service *cluster.Service) {
	newest := make(map[ident.Replica]unit.Epoch)
	reported := p.view.Replicas()
	for key, r := range reported {
		if p.replicas[key.Replica] == nil && r.Members[0].Service == service.Name {
			newest[key.Replica] = max(newest[key.Replica], key.Epoch)
		}
	}
	for name, epoch := range newest {
		p.adoptReplica(service, name, epoch, reported[catalog.ReplicaKey{Replica: name, Epoch: epoch}])
	}
}

func (p *Planner) adoptReplica(service *cluster.Service, name ident.Replica, epoch unit.Epoch, reported *catalog.Replica) {
	first := reported.Members[0]
	model := service.Engine.Model(first.Membership.Model)
	if model == nil {
		return
	}
	r := &replica{name: name, service: service.Name, domain: first.Domain, model: model, epoch: epoch, phase: short, since: p.now, broken: p.now}
	members := make([]ident.Instance, model.ServersPerReplica)
	for _, s := range reported.Members {
		if rank := int(s.Membership.Rank); rank >= 0 && rank < model.ServersPerReplica {
			members[rank] = s.ID
		}
	}
	if slices.Contains(members, "") {
		members = slices.DeleteFunc(members, func(id ident.Instance) bool { return id == "" })
	} else {
		r.enter(joining, p.now)
	}
	r.members = slices.DeleteFunc(members, func(id ident.Instance) bool {
		_, other := p.Replica(id)
		return other != nil
	})
	if len(r.members) < model.ServersPerReplica {
		r.enter(short, p.now)
	}
	p.replicas[name] = r
	p.placed = nil
	p.note("replica-adopted", r, "members %v", r.members)
}

// check finds the replicas that have lost a member.
func (p *Planner) check(service *cluster.Service) {
	for _, r := range p.sorted(service) {
		switch r.phase {
		case short, leaving:
			continue
		case joining, opening, inService, closing:
		}
		if lost, why := p.lost(r); lost != "" {
			if r.broken.IsZero() || r.phase == inService || r.phase == closing {
				r.broken = p.now
			}
			p.note("replica-broken", r, "phase %s, member %s: %s", r.phase, lost, why)
			r.enter(short, p.now)
		}
	}
}

// lost returns a member that no longer supports the replica, and why.
func (p *Planner) lost(r *replica) (ident.Instance, string) {
	for rank, id := range r.members {
		s := p.view.Servers[id]
		switch {
		case s == nil:
			return id, "not listed"
		case p.IsDead(s):
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
			return id, "found a member missing"
		}
	}
	return "", ""
}
