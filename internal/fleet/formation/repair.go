package formation

import (
	"cmp"
	"fmt"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// spares returns the usable servers of the domain that belong to no replica,
// those that have the model's weights first.
func (p *Planner) spares(service *cluster.Service, domain ident.FabricDomain, model ident.Model) []*cluster.Server {
	var list []*cluster.Server
	for _, s := range p.domain[domainKey{service.Name, domain}] {
		if s.Membership == nil && p.usable(s) && !p.isPlaced(s.ID) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *cluster.Server) int {
		return cmp.Or(cmp.Compare(p.joinCost(a, model), p.joinCost(b, model)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// joinCost orders servers by how soon they can join a replica of the model.
func (p *Planner) joinCost(s *cluster.Server, model ident.Model) int {
	switch {
	case s.HasStaged(model):
		return 0
	case p.loads.staging(s.ID) == model:
		return 1
	case len(s.StagedModels) == 0:
		return 2
	}
	return 3
}

// repair makes replicas whole that have lost members. The one that needs the
// fewest servers comes first.
func (p *Planner) repair(service *cluster.Service) {
	var broken []*replica
	for _, r := range p.sorted(service) {
		if r.phase == short {
			r.members = slices.DeleteFunc(r.members, func(id ident.Instance) bool {
				s := p.view.Servers[id]
				return s == nil || !p.usable(s)
			})
			p.placed = nil
			broken = append(broken, r)
		}
	}
	slices.SortStableFunc(broken, func(a, b *replica) int {
		return cmp.Compare(a.model.ServersPerReplica-len(a.members), b.model.ServersPerReplica-len(b.members))
	})
	for _, r := range broken {
		p.fill(service, r)
	}
	p.release(service)
}

// fill gives a short replica the spare servers that it needs, if there are
// enough that have its weights. The others would hold it up for a load, while
// its members may be of use elsewhere; they are staged first.
func (p *Planner) fill(service *cluster.Service, r *replica) {
	need := r.model.ServersPerReplica - len(r.members)
	spares := p.spares(service, r.domain, r.model.Name)
	if len(spares) < need || need > 0 && !spares[need-1].HasStaged(r.model.Name) {
		return
	}
	for _, s := range spares[:need] {
		r.members = append(r.members, s.ID)
	}
	p.placed = nil
	p.join(r, fmt.Sprintf("%d new members", need))
}

// join begins a new epoch of the replica with its members.
func (p *Planner) join(r *replica, why string) {
	r.epoch = p.next()
	r.enter(joining, p.now)
	for _, id := range r.members {
		if s := p.view.Servers[id]; s != nil && !s.HasStaged(r.model.Name) {
			p.loads.add(id, r.model.Name, p.now.Add(r.model.LoadTime))
		}
	}
	p.note("replica-joining", r, "%s: members %v", why, r.members)
}

// release gives up a short replica whose servers make another one of the domain
// whole. Its members leave first: a server must not join another replica while
// the head of its own may still serve.
func (p *Planner) release(service *cluster.Service) {
	byDomain := make(map[ident.FabricDomain][]*replica)
	for _, r := range p.sorted(service) {
		if r.phase == short {
			byDomain[r.domain] = append(byDomain[r.domain], r)
		}
	}
	for domain, list := range byDomain {
		slices.SortStableFunc(list, func(a, b *replica) int {
			return cmp.Compare(a.model.ServersPerReplica-len(a.members), b.model.ServersPerReplica-len(b.members))
		})
		for i, taker := range list {
			if giver := p.giver(service, domain, taker, list[i+1:]); giver != nil {
				p.note("replica-released", giver, "its %d members help %s", len(giver.members), taker.name)
				giver.enter(leaving, p.now)
				break
			}
		}
	}
}

// giver returns the replica of the same model, with the fewest members, whose
// members complete the taker together with the spare servers.
func (p *Planner) giver(service *cluster.Service, domain ident.FabricDomain, taker *replica, others []*replica) *replica {
	spare := 0
	for _, s := range p.spares(service, domain, taker.model.Name) {
		if s.HasStaged(taker.model.Name) {
			spare++
		}
	}
	for i := len(others) - 1; i >= 0; i-- {
		giver := others[i]
		if giver.model.Name == taker.model.Name && taker.model.ServersPerReplica-len(taker.members) <= spare+len(giver.members) {
			return giver
		}
	}
	return nil
}

// domains returns the fabric domains of the service with their sizes in order
// of their names.
func (p *Planner) domains(service *cluster.Service) []ident.FabricDomain {
	var list []ident.FabricDomain
	for key := range p.domain {
		if key.service == service.Name {
			list = append(list, key.domain)
		}
	}
	slices.Sort(list)
	return list
}

// name returns a name that no other tenure gives.
func (p *Planner) name() ident.Replica {
	p.names++
	return ident.Replica(fmt.Sprintf("r%d-%d", p.fence, p.names))
}

func (p *Planner) shortIn(domain ident.FabricDomain) bool {
	for _, r := range p.replicas {
		if r.domain == domain && (r.phase == short || r.phase == leaving) {
			return true
		}
	}
	return false
}

// isOut reports whether the domain's data centre is out of service.
func (p *Planner) isOut(service *cluster.Service, domain ident.FabricDomain) bool {
	servers := p.domain[domainKey{service.Name, domain}]
	return len(servers) > 0 && p.view.Drained[servers[0].DataCentre]
}

// size returns the number of the domain's servers.
func (p *Planner) size(service *cluster.Service, domain ident.FabricDomain) int {
	n := 0
	for _, s := range p.domain[domainKey{service.Name, domain}] {
		if p.usable(s) {
			n++
		}
	}
	return n
}
