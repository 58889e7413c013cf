package formation

import (
	"cmp"
	"fmt"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// spareServers returns the usable servers of the domain that belong to no replica,
// those that have the model's weights first.
func (p *Planner) spareServers(service *cluster.Service, domain ident.FabricDomain, model ident.Model) []*cluster.Server {
	var list []*cluster.Server
	for _, s := range p.domainServers[domainKey{service.Name, domain}] {
		if s.Membership == nil && p.usable(s) && !p.isMember(s.ID) {
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
	case p.loads.loadingModel(s.ID) == model:
		return 1
	case len(s.StagedModels) == 0:
		return 2
	}
	return 3
}

// repairReplicas makes replicas whole that have lost members. The one that needs the
// fewest servers comes first.
func (p *Planner) repairReplicas(service *cluster.Service) {
	var broken []*replica
	for _, r := range p.sortedReplicas(service) {
		if r.phase == incomplete {
			r.members = slices.DeleteFunc(r.members, func(id ident.Instance) bool {
				s := p.snapshot.Servers[id]
				return s == nil || !p.usable(s)
			})
			p.members = nil
			broken = append(broken, r)
		}
	}
	slices.SortStableFunc(broken, func(a, b *replica) int {
		return cmp.Compare(a.model.ServersPerReplica-len(a.members), b.model.ServersPerReplica-len(b.members))
	})
	for _, r := range broken {
		p.completeReplica(service, r)
	}
	p.releaseDonors(service)
}

// completeReplica gives a short replica the spare servers that it needs, if there are
// enough that have its weights. The others would hold it up for a load, while
// its members may be of use elsewhere; they are staged first.
func (p *Planner) completeReplica(service *cluster.Service, r *replica) {
	need := r.model.ServersPerReplica - len(r.members)
	spares := p.spareServers(service, r.domain, r.model.Name)
	if len(spares) < need || need > 0 && !spares[need-1].HasStaged(r.model.Name) {
		return
	}
	for _, s := range spares[:need] {
		r.members = append(r.members, s.ID)
	}
	p.members = nil
	p.startJoining(r, fmt.Sprintf("%d new members", need))
}

// startJoining begins a new epoch of the replica with its members.
func (p *Planner) startJoining(r *replica, reason string) {
	r.epoch = p.nextEpoch()
	r.setPhase(joining, p.now)
	for _, id := range r.members {
		if s := p.snapshot.Servers[id]; s != nil && !s.HasStaged(r.model.Name) {
			p.loads.add(id, r.model.Name, p.now.Add(r.model.LoadTime))
		}
	}
	p.recordDecision("replica-joining", r, "%s: members %v", reason, r.members)
}

// releaseDonors gives up a short replica whose servers make another one of the domain
// whole. Its members leave first: a server must not join another replica while
// the head of its own may still serve.
func (p *Planner) releaseDonors(service *cluster.Service) {
	incompleteByDomain := make(map[ident.FabricDomain][]*replica)
	for _, r := range p.sortedReplicas(service) {
		if r.phase == incomplete {
			incompleteByDomain[r.domain] = append(incompleteByDomain[r.domain], r)
		}
	}
	for domain, replicas := range incompleteByDomain {
		slices.SortStableFunc(replicas, func(a, b *replica) int {
			return cmp.Compare(a.model.ServersPerReplica-len(a.members), b.model.ServersPerReplica-len(b.members))
		})
		for i, recipient := range replicas {
			if donor := p.findDonor(service, domain, recipient, replicas[i+1:]); donor != nil {
				p.recordDecision("replica-released", donor, "its %d members help %s", len(donor.members), recipient.name)
				donor.setPhase(dissolving, p.now)
				break
			}
		}
	}
}

// findDonor returns the replica of the same model, with the fewest members, whose
// members complete the taker together with the spare servers.
func (p *Planner) findDonor(service *cluster.Service, domain ident.FabricDomain, recipient *replica, others []*replica) *replica {
	staged := 0
	for _, s := range p.spareServers(service, domain, recipient.model.Name) {
		if s.HasStaged(recipient.model.Name) {
			staged++
		}
	}
	for i := len(others) - 1; i >= 0; i-- {
		donor := others[i]
		if donor.model.Name == recipient.model.Name && recipient.model.ServersPerReplica-len(recipient.members) <= staged+len(donor.members) {
			return donor
		}
	}
	return nil
}

// sortedDomains returns the fabric domains of the service with their sizes in order
// of their names.
func (p *Planner) sortedDomains(service *cluster.Service) []ident.FabricDomain {
	var list []ident.FabricDomain
	for key := range p.domainServers {
		if key.service == service.Name {
			list = append(list, key.domain)
		}
	}
	slices.Sort(list)
	return list
}

// newName returns a name that no other tenure gives.
func (p *Planner) newName() ident.Replica {
	p.nameCount++
	return ident.Replica(fmt.Sprintf("r%d-%d", p.fencingToken, p.nameCount))
}

func (p *Planner) hasIncompleteReplica(domain ident.FabricDomain) bool {
	for _, r := range p.replicas {
		if r.domain == domain && (r.phase == incomplete || r.phase == dissolving) {
			return true
		}
	}
	return false
}

// isOutOfService reports whether the domain's data centre is out of service.
func (p *Planner) isOutOfService(service *cluster.Service, domain ident.FabricDomain) bool {
	servers := p.domainServers[domainKey{service.Name, domain}]
	return len(servers) > 0 && p.snapshot.Drained[servers[0].DataCentre]
}

// usableServers returns the number of the domain's servers.
func (p *Planner) usableServers(service *cluster.Service, domain ident.FabricDomain) int {
	n := 0
	for _, s := range p.domainServers[domainKey{service.Name, domain}] {
		if p.usable(s) {
			n++
		}
	}
	return n
}
