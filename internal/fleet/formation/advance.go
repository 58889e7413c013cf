package formation

import (
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// AwaitsChange reports whether a replica waits for a change of its members' states.
func (p *Planner) AwaitsChange() bool {
	for _, r := range p.replicas {
		switch r.phase {
		case joining, opening, closing, dissolving:
			return true
		case serving, incomplete:
		}
	}
	return false
}

// advanceReplicas issues the orders that bring each replica to its next phase.
func (p *Planner) advanceReplicas(service *cluster.Service) {
	for _, r := range p.sortedReplicas(service) {
		switch r.phase {
		case joining:
			p.advanceJoining(r)
		case opening:
			p.advanceOpening(r)
		case serving:
			p.closeIfDraining(r)
		case closing:
			p.advanceClosing(r)
		case dissolving:
			p.advanceDissolving(r)
		case incomplete:
		}
	}
	p.releaseStrayMembers(service)
}

// advanceJoining orders every member to join until all report that they are
// ready.
func (p *Planner) advanceJoining(r *replica) {
	ready := 0
	for _, id := range r.members {
		s := p.snapshot.Server(id)
		if s == nil {
			continue
		}
		m := s.Membership
		switch {
		case m == nil || m.Replica != r.name || m.Epoch != r.epoch:
			p.issueOrder(id, cluster.Order{Operation: cluster.JoinReplica, Replica: r.name, Epoch: r.epoch, Model: r.model.Name, Members: slices.Clone(r.members)})
		case m.State == cluster.Ready, m.State == cluster.Open:
			ready++
			continue
		}
		p.awaitEffect(r, s)
	}
	if ready == len(r.members) {
		r.setPhase(opening, p.now)
		p.advanceOpening(r)
	}
}

// advanceOpening orders the head to open the replica until it reports that it
// serves.
func (p *Planner) advanceOpening(r *replica) {
	head := p.snapshot.Server(r.members[0])
	if head.Membership.State == cluster.Open {
		p.recordDecision("replica-serving", r, "serves %s after the loss of a member or the first order", p.now.Sub(r.brokenSince).Round(time.Millisecond))
		p.startServing(r)
		return
	}
	p.issueOrder(head.ID, cluster.Order{Operation: cluster.OpenReplica, Replica: r.name, Epoch: r.epoch})
	p.awaitEffect(r, head)
}

// effectTime is the time from the start of a replica's phase after which an order may have
// taken effect: the shortest join and opening of a replica.
const effectTime = 300 * time.Millisecond

// awaitEffect adds the server to those whose orders should have taken effect.
func (p *Planner) awaitEffect(r *replica, s *cluster.Server) {
	if p.now.Sub(r.phaseSince) >= effectTime {
		p.Awaited = append(p.Awaited, s)
	}
}

// startServing records that the replica serves.
func (p *Planner) startServing(r *replica) {
	r.brokenSince, r.servedEpoch = time.Time{}, r.epoch
	f := cluster.Formation{Replica: r.name, Epoch: r.epoch, Model: r.model.Name}
	for _, id := range r.members {
		f.Members = append(f.Members, cluster.FormationMember{ID: id, Incarnation: p.snapshot.Server(id).Incarnation})
	}
	p.Formed = append(p.Formed, f)
	r.setPhase(serving, p.now)
}

// closeIfDraining closes the replica if a member drains, so that the replica
// gets no new requests.
func (p *Planner) closeIfDraining(r *replica) {
	for _, id := range r.members {
		if s := p.snapshot.Server(id); s != nil && s.Draining {
			p.recordDecision("replica-closing", r, "member %s drains", id)
			r.setPhase(closing, p.now)
			p.advanceClosing(r)
			return
		}
	}
}

// advanceClosing orders the head to close the replica until its requests have
// ended or the time limit has passed. The replica is then incomplete, so that
// the draining member is replaced, or dissolved if it was given up.
func (p *Planner) advanceClosing(r *replica) {
	head := p.snapshot.Server(r.members[0])
	if head == nil || head.Membership == nil || p.now.Sub(r.phaseSince) >= max(p.options.CloseTimeout, r.closeTimeout) || head.Membership.State == cluster.Ready {
		r.brokenSince = r.phaseSince
		r.setPhase(r.phaseAfterServing(), p.now)
		return
	}
	p.issueOrder(head.ID, cluster.Order{Operation: cluster.CloseReplica, Replica: r.name, Epoch: r.epoch})
	p.awaitEffect(r, head)
}

// phaseAfterServing returns the phase of a replica that has closed or lost a member.
func (r *replica) phaseAfterServing() phase {
	if r.released {
		return dissolving
	}
	return incomplete
}

// advanceDissolving orders the members to leave, the head first. It removes the
// replica when no reachable member reports it.
func (p *Planner) advanceDissolving(r *replica) {
	remaining := 0
	for _, id := range r.members {
		s := p.snapshot.Server(id)
		if s == nil || p.IsUnreachable(s) || s.Membership == nil || s.Membership.Replica != r.name {
			continue
		}
		remaining++
		p.issueOrder(id, cluster.Order{Operation: cluster.LeaveReplica, Replica: r.name, Epoch: s.Membership.Epoch})
		p.awaitEffect(r, s)
	}
	if remaining == 0 {
		delete(p.replicas, r.name)
		p.membersChanged()
	}
}

// releaseStrayMembers orders servers to leave a replica that they report but
// are not members of. That happens if a server carries out an order late.
func (p *Planner) releaseStrayMembers(service *cluster.Service) {
	for key, reported := range p.reported {
		r := p.replicas[key.Replica]
		for _, s := range reported.Members {
			if s.Service == service.Name && !p.IsUnreachable(s) && (r == nil || !hasMember(r, s.ID)) {
				p.issueOrder(s.ID, cluster.Order{Operation: cluster.LeaveReplica, Replica: key.Replica, Epoch: key.Epoch})
			}
		}
	}
}

func hasMember(r *replica, id ident.Instance) bool {
	for _, m := range r.members {
		if m == id {
			return true
		}
	}
	return false
}
