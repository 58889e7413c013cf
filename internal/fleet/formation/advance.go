package formation

import (
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// drive gives the orders that take each replica to its next phase.
func (p *Planner) drive(service *cluster.Service) {
	for _, r := range p.sorted(service) {
		switch r.phase {
		case joining:
			p.driveJoin(r)
		case opening:
			p.driveOpen(r)
		case inService:
			p.watchDrain(r)
		case closing:
			p.driveClose(r)
		case leaving:
			p.driveLeave(r)
		case short:
		}
	}
	p.dissolveStray(service)
}

// driveJoin orders every member to join until all report that they are ready.
func (p *Planner) driveJoin(r *replica) {
	ready := 0
	for _, id := range r.members {
		s := p.view.Servers[id]
		if s == nil {
			continue
		}
		m := s.Membership
		switch {
		case m == nil || m.Replica != r.name || m.Epoch != r.epoch:
			if m != nil && m.Replica != r.name {
				p.order(id, cluster.Order{Operation: cluster.LeaveReplica, Replica: m.Replica, Epoch: m.Epoch})
				continue
			}
			p.order(id, cluster.Order{Operation: cluster.JoinReplica, Replica: r.name, Epoch: r.epoch, Model: r.model.Name, Members: slices.Clone(r.members)})
		case m.State == cluster.Ready, m.State == cluster.Open:
			ready++
		}
	}
	if ready == len(r.members) {
		r.enter(opening, p.now)
		p.driveOpen(r)
	}
}

// driveOpen orders the head to serve until it reports that it does.
func (p *Planner) driveOpen(r *replica) {
	head := p.view.Servers[r.members[0]]
	if head.Membership.State == cluster.Open {
		p.note("replica-serving", r, "%s after its loss or first order", p.now.Sub(r.broken).Round(time.Millisecond))
		r.broken = time.Time{}
		r.enter(inService, p.now)
		return
	}
	p.order(head.ID, cluster.Order{Operation: cluster.OpenReplica, Replica: r.name, Epoch: r.epoch})
}

// watchDrain closes a replica with a member that is about to leave, so that
// nothing new begins there.
func (p *Planner) watchDrain(r *replica) {
	for _, id := range r.members {
		if s := p.view.Servers[id]; s != nil && s.Draining {
			p.note("replica-closing", r, "member %s drains", id)
			r.enter(closing, p.now)
			p.driveClose(r)
			return
		}
	}
}

// driveClose waits for the requests at work, within a limit, and then lets the
// replica be filled up.
func (p *Planner) driveClose(r *replica) {
	head := p.view.Servers[r.members[0]]
	if head == nil || head.Membership == nil || p.now.Sub(r.since) >= p.rules.CloseLimit || head.Membership.State == cluster.Ready {
		r.broken = r.since
		r.enter(short, p.now)
		return
	}
	p.order(head.ID, cluster.Order{Operation: cluster.CloseReplica, Replica: r.name, Epoch: r.epoch})
}

// driveLeave orders the members to leave, the head first, and forgets the
// replica when none reports it.
func (p *Planner) driveLeave(r *replica) {
	left := 0
	for _, id := range r.members {
		s := p.view.Servers[id]
		if s == nil || p.IsDead(s) || s.Membership == nil || s.Membership.Replica != r.name {
			continue
		}
		left++
		p.order(id, cluster.Order{Operation: cluster.LeaveReplica, Replica: r.name, Epoch: s.Membership.Epoch})
	}
	if left == 0 {
		delete(p.replicas, r.name)
		p.placed = nil
	}
}

// dissolveStray frees the servers that report a replica which they are no
// member of, after an order that was carried out late.
func (p *Planner) dissolveStray(service *cluster.Service) {
	for id, s := range p.view.Servers {
		m := s.Membership
		if m == nil || s.Service != service.Name || p.IsDead(s) {
			continue
		}
		r := p.replicas[m.Replica]
		if r != nil && memberOf(r, id) {
			continue
		}
		p.order(id, cluster.Order{Operation: cluster.LeaveReplica, Replica: m.Replica, Epoch: m.Epoch})
	}
}

func memberOf(r *replica, id ident.Instance) bool {
	for _, m := range r.members {
		if m == id {
			return true
		}
	}
	return false
}
