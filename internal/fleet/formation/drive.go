package formation

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/site"
)

// drive gives the orders that take each replica to its next phase.
func (p *Planner) drive(service *site.Service) {
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
		m := s.Member
		switch {
		case m == nil || m.Replica != r.name || m.Epoch != r.epoch:
			if m != nil && m.Replica != r.name {
				p.order(id, site.Order{Operation: site.Leave, Replica: m.Replica, Epoch: m.Epoch})
				continue
			}
			p.order(id, site.Order{Operation: site.Join, Replica: r.name, Epoch: r.epoch, Model: r.model.Name, Members: r.members})
		case m.State == site.Ready, m.State == site.Open:
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
	if head.Member.State == site.Open {
		p.note("replica-serving", r, "%s after its loss or first order", p.now.Sub(r.broken).Round(time.Millisecond))
		r.broken = time.Time{}
		r.enter(inService, p.now)
		return
	}
	p.order(head.ID, site.Order{Operation: site.Serve, Replica: r.name, Epoch: r.epoch})
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
	if head == nil || head.Member == nil || p.now.Sub(r.since) >= p.rules.CloseLimit || head.Member.State == site.Ready {
		r.broken = r.since
		r.enter(short, p.now)
		return
	}
	p.order(head.ID, site.Order{Operation: site.Close, Replica: r.name, Epoch: r.epoch})
}

// driveLeave orders the members to leave, the head first, and forgets the
// replica when none reports it.
func (p *Planner) driveLeave(r *replica) {
	left := 0
	for _, id := range r.members {
		s := p.view.Servers[id]
		if s == nil || p.IsDead(s) || s.Member == nil || s.Member.Replica != r.name {
			continue
		}
		left++
		p.order(id, site.Order{Operation: site.Leave, Replica: r.name, Epoch: s.Member.Epoch})
	}
	if left == 0 {
		delete(p.replicas, r.name)
	}
}

// dissolveStray frees the servers that report a replica which they are no
// member of, after an order that was carried out late.
func (p *Planner) dissolveStray(service *site.Service) {
	for id, s := range p.view.Servers {
		m := s.Member
		if m == nil || s.Service != service.Name || p.IsDead(s) {
			continue
		}
		r := p.replicas[m.Replica]
		if r != nil && memberOf(r, id) {
			continue
		}
		p.order(id, site.Order{Operation: site.Leave, Replica: m.Replica, Epoch: m.Epoch})
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

// stage has weights loaded on the spare servers: first those that short replicas
// wait for, then so that each domain can replace what is most likely to break
// next.
func (p *Planner) stage(service *site.Service) {
	for _, domain := range p.domains(service) {
		spares := p.spares(service, domain, "")
		staged := p.stagedSpares(spares)
		p.stageShort(domain, spares, staged)
		if p.growing(service, domain) {
			continue
		}
		for _, s := range spares {
			if len(s.Staged) == 0 && p.loads.staging(s.ID) == "" {
				p.load(s, p.wanted(service, domain, staged), staged)
			}
		}
	}
}

// stagedSpares counts the spare servers that have or load each model's weights, and
// repeats orders that may have been lost.
func (p *Planner) stagedSpares(spares []*site.Server) map[ident.Model]int {
	count := make(map[ident.Model]int)
	for _, s := range spares {
		switch model := p.loads.staging(s.ID); {
		case model != "":
			count[model]++
			p.order(s.ID, site.Order{Operation: site.Stage, Model: model})
		case len(s.Staged) > 0:
			count[s.Staged[0]]++
		}
	}
	return count
}

// stageShort has the weights loaded that short replicas of the domain lack, also
// in place of others.
func (p *Planner) stageShort(domain ident.Domain, spares []*site.Server, staged map[ident.Model]int) {
	missing := make(map[ident.Model]int)
	for _, r := range p.replicas {
		if r.domain == domain && r.phase == short {
			missing[r.model.Name] += r.model.Size - len(r.members)
		}
	}
	for _, r := range p.replicas {
		m := r.model
		if r.domain != domain || r.phase != short {
			continue
		}
		for _, s := range spares {
			if missing[m.Name] <= staged[m.Name] {
				break
			}
			if p.loads.staging(s.ID) != "" || s.HasStaged(m.Name) || len(s.Staged) > 0 && staged[s.Staged[0]] <= missing[s.Staged[0]] {
				continue
			}
			if len(s.Staged) > 0 {
				staged[s.Staged[0]]--
			}
			p.load(s, m, staged)
		}
	}
}

// load orders a spare server to load the model's weights, if the weight store
// has room.
func (p *Planner) load(s *site.Server, m *site.Model, staged map[ident.Model]int) {
	if m == nil || !p.loads.room(1) {
		return
	}
	staged[m.Name]++
	p.loads.add(s.ID, m.Name, p.now.Add(m.LoadTime))
	p.order(s.ID, site.Order{Operation: site.Stage, Model: m.Name})
}

// anyGrowing reports whether any domain of the service is growing.
func (p *Planner) anyGrowing(service *site.Service) bool {
	growing := false
	for _, domain := range p.domains(service) {
		growing = p.growing(service, domain) || growing
	}
	return growing
}

// growing reports whether the domain got a server a short time ago.
func (p *Planner) growing(service *site.Service, domain ident.Domain) bool {
	g, size := p.grown[domain], p.size(service, domain)
	if size > g.size {
		g.at = p.now
	}
	g.size = size
	p.grown[domain] = g
	return p.now.Sub(g.at) < p.rules.Gather
}
