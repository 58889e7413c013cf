package formation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// sparesOf returns the usable servers of the domain that belong to no replica. The caller must not
// change the list.
func (p *Planner) sparesOf(service *cluster.Service, domain ident.FabricDomain) []*cluster.Server {
	key := domainKey{service.Name, domain}
	spares, known := p.spares[key]
	if known {
		return spares
	}
	for _, s := range p.domainServers[key] {
		if s.Membership == nil && p.isUsable(s) && !p.isMember(s.ID) {
			spares = append(spares, s)
		}
	}
	p.spares[key] = spares
	return spares
}

// stagedSpares returns the number of spare servers of the domain that have the model's weights.
func (p *Planner) stagedSpares(service *cluster.Service, domain ident.FabricDomain, model ident.Model) int {
	n := 0
	for _, s := range p.sparesOf(service, domain) {
		if s.HasStaged(model) {
			n++
		}
	}
	return n
}

// spareServers returns the spare servers of the domain. Those that can join a replica of the model
// soonest come first.
func (p *Planner) spareServers(service *cluster.Service, domain ident.FabricDomain, model ident.Model) []*cluster.Server {
	spares := slices.Clone(p.sparesOf(service, domain))
	slices.SortFunc(spares, func(a, b *cluster.Server) int {
		return cmp.Or(cmp.Compare(p.joinCost(a, model), p.joinCost(b, model)), cmp.Compare(a.ID, b.ID))
	})
	return spares
}

// joinCost ranks servers by how soon they can join a replica of the model,
// lowest first.
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

// repairReplicas completes incomplete replicas with spare servers. The replica
// that needs the fewest servers comes first.
func (p *Planner) repairReplicas(service *cluster.Service) {
	var broken []*replica
	for _, r := range p.sortedReplicas(service) {
		if r.phase == incomplete && !p.restoreReplica(r) {
			r.members = slices.DeleteFunc(r.members, func(id ident.Instance) bool {
				s := p.snapshot.Server(id)
				return s == nil || !p.isUsable(s) || p.needsLoad(s, r.model.Name)
			})
			p.membersChanged()
			broken = append(broken, r)
		}
	}
	slices.SortStableFunc(broken, func(a, b *replica) int {
		return cmp.Compare(a.missing(), b.missing())
	})
	for _, r := range broken {
		if r.isSettled(p.now) {
			p.completeReplica(service, r)
		} else {
			p.Unconfirmed = append(p.Unconfirmed, p.possibleMembers(r)...)
		}
	}
	p.releaseDonors(service)
}

// needsLoad reports whether the server has restarted without the model's weights, as it had staged
// another model's. It would delay the replica as much as any spare server without the weights.
func (p *Planner) needsLoad(s *cluster.Server, model ident.Model) bool {
	return !p.loads.bootstrap && s.Membership == nil && !s.HasStaged(model) && len(s.StagedModels) > 0 && p.loads.loadingModel(s.ID) != model
}

// completeReplica adds the missing members to an incomplete replica if enough
// spare servers have staged its weights. A server without the weights would
// delay the replica for the time of a load, while its members may be useful in
// other replicas. Such a server first stages the weights.
func (p *Planner) completeReplica(service *cluster.Service, r *replica) {
	missing := r.missing()
	spares := p.spareServers(service, r.domain, r.model.Name)
	if len(spares) < missing || missing > 0 && !spares[missing-1].HasStaged(r.model.Name) {
		return
	}
	for _, s := range spares[:missing] {
		r.members = append(r.members, s.ID)
	}
	p.membersChanged()
	p.startJoining(r, fmt.Sprintf("%d new members", missing))
}

// startJoining begins a new epoch of the replica with its present members.
func (p *Planner) startJoining(r *replica, reason string) {
	r.epoch = p.nextEpoch()
	r.setPhase(joining, p.now)
	for _, id := range r.members {
		s := p.snapshot.Server(id)
		// A server that was a member of a replica of the model rejoins without a load.
		if s != nil && !s.HasStaged(r.model.Name) && (s.Membership == nil || s.Membership.Model != r.model.Name) {
			p.loads.addLoad(id, r.model.Name, p.now.Add(r.model.LoadTime))
		}
	}
	p.recordDecision("replica-joining", r, "%s: members %v", reason, r.members)
}

// sortedDomains returns the fabric domains of the service in order of their
// names.
func (p *Planner) sortedDomains(service *cluster.Service) []ident.FabricDomain {
	var domains []ident.FabricDomain
	for key := range p.domainServers {
		if key.service == service.Name {
			domains = append(domains, key.domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// newName returns a name that is unique over all terms: era and number of the fencing token,
// and a count.
func (p *Planner) newName() ident.Replica {
	p.nameCount++
	term := strings.ReplaceAll(p.fencingToken.String(), "/", "-")
	return ident.Replica(fmt.Sprintf("r%s-%d", term, p.nameCount))
}

// hasIncompleteOrDissolvingReplica reports whether the domain has an incomplete
// or dissolving replica.
func (p *Planner) hasIncompleteOrDissolvingReplica(domain ident.FabricDomain) bool {
	for _, r := range p.replicas {
		if r.domain == domain && (r.phase == incomplete || r.phase == dissolving) {
			return true
		}
	}
	return false
}

// isDataCentreDrained reports whether the domain's data centre is drained.
func (p *Planner) isDataCentreDrained(service *cluster.Service, domain ident.FabricDomain) bool {
	servers := p.domainServers[domainKey{service.Name, domain}]
	return len(servers) > 0 && p.snapshot.Drained[servers[0].DataCentre]
}

// usableServers returns the number of usable servers in the domain.
func (p *Planner) usableServers(service *cluster.Service, domain ident.FabricDomain) int {
	n := 0
	for _, s := range p.domainServers[domainKey{service.Name, domain}] {
		if p.isUsable(s) {
			n++
		}
	}
	return n
}
