package formation

import (
	"fmt"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/layout"
)

// formReplicas forms new replicas of spare servers. At the first start of the system
// it waits until no domain grows, so that the models are distributed well over the
// domains.
func (p *Planner) formReplicas(service *cluster.Service) {
	if p.loads.bootstrap && p.anyGrowing(service) {
		return
	}
	for {
		placements := p.nextReplicas(service)
		if len(placements) == 0 {
			return
		}
		for _, placement := range placements {
			p.createReplica(service, placement.Domain, service.Engine.Model(placement.Model))
		}
	}
}

// nextReplicas returns the replicas to form next: all of them at the first start of the
// system, else one at a time.
func (p *Planner) nextReplicas(service *cluster.Service) []layout.Placement {
	fleet := p.fleetLayout(service)
	if p.loads.bootstrap && len(p.sortedReplicas(service)) == 0 {
		return fleet.FirstReplicas()
	}
	if placement, found := fleet.NextReplica(); found {
		return []layout.Placement{placement}
	}
	return nil
}

// createReplica forms a replica of the domain's spare servers that can join it
// soonest. There must be enough of them.
func (p *Planner) createReplica(service *cluster.Service, domain ident.FabricDomain, m *cluster.Model) *replica {
	spares := p.spareServers(service, domain, m.Name)[:m.ServersPerReplica]
	r := &replica{name: p.newName(), service: service.Name, domain: domain, model: m, brokenSince: p.now}
	for _, s := range spares {
		r.members = append(r.members, s.ID)
	}
	p.replicas[r.name] = r
	p.membersChanged()
	p.startJoining(r, fmt.Sprintf("new in domain %s", domain))
	return r
}

// fleetLayout returns the replicas and free servers of the service's domains. Replicas
// that are incomplete, given up or in a drained data centre don't count.
func (p *Planner) fleetLayout(service *cluster.Service) *layout.Fleet {
	fleet := &layout.Fleet{}
	for i := range service.Engine.Models {
		m := &service.Engine.Models[i]
		fleet.Models = append(fleet.Models, layout.Model{Name: m.Name, ServersPerReplica: m.ServersPerReplica, Share: m.InitialShare})
	}
	replicas := p.countedReplicas(service)
	for _, id := range p.sortedDomains(service) {
		fleet.Domains = append(fleet.Domains, layout.Domain{
			ID: id, DataCentre: p.domainServers[domainKey{service.Name, id}][0].DataCentre,
			FreeServers: p.freeServers(service, id), Spares: len(p.sparesOf(service, id)), Replicas: replicas[id],
		})
	}
	if !p.loads.bootstrap {
		fleet.ApplyDemand(p.Demand[service.Name])
	}
	return fleet
}

// isCounted reports whether the replica counts in the layout.
func (p *Planner) isCounted(r *replica) bool {
	return r.phase != incomplete && r.phase != dissolving && !r.released
}

// countedReplicas returns the number of replicas of each model by domain, for
// fleetLayout.
func (p *Planner) countedReplicas(service *cluster.Service) map[ident.FabricDomain]map[ident.Model]int {
	counts := make(map[ident.FabricDomain]map[ident.Model]int)
	for _, r := range p.replicas {
		if r.service != service.Name || !p.isCounted(r) || p.isDataCentreDrained(service, r.domain) {
			continue
		}
		if counts[r.domain] == nil {
			counts[r.domain] = make(map[ident.Model]int)
		}
		counts[r.domain][r.model.Name]++
	}
	return counts
}

// freeServers returns the number of servers of the domain that a new replica of each
// model can use. After the first start, these are servers with staged weights, so that a
// replica doesn't wait for the weight store. A domain with an incomplete or dissolving
// replica has none, since that replica needs them.
func (p *Planner) freeServers(service *cluster.Service, domain ident.FabricDomain) map[ident.Model]int {
	free := make(map[ident.Model]int)
	if p.hasIncompleteOrDissolvingReplica(domain) {
		return free
	}
	for i := range service.Engine.Models {
		m := service.Engine.Models[i].Name
		if p.loads.bootstrap {
			free[m] = len(p.sparesOf(service, domain))
		} else {
			free[m] = p.stagedSpares(service, domain, m)
		}
	}
	return free
}
