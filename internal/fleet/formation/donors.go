package formation

import (
	"cmp"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/layout"
)

// releaseDonors dissolves a replica whose members can complete another one of the domain: an
// incomplete one of the same model, else one of a model with fewer members. The members first
// leave their replica: a server must not join another replica while the head of its own may still
// serve.
func (p *Planner) releaseDonors(service *cluster.Service) {
	incompleteByDomain := make(map[ident.FabricDomain][]*replica)
	for _, r := range p.sortedReplicas(service) {
		if r.phase == incomplete && r.isSettled(p.now) {
			incompleteByDomain[r.domain] = append(incompleteByDomain[r.domain], r)
		}
	}
	for domain, replicas := range incompleteByDomain {
		slices.SortStableFunc(replicas, func(a, b *replica) int {
			return cmp.Compare(a.missing(), b.missing())
		})
		if !p.releaseIncomplete(service, domain, replicas) {
			p.releaseSmaller(service, domain, replicas)
		}
	}
}

// releaseIncomplete dissolves one of the domain's incomplete replicas if its members complete
// another one of its model, and reports whether it did.
func (p *Planner) releaseIncomplete(service *cluster.Service, domain ident.FabricDomain, incompleteReplicas []*replica) bool {
	for i, recipient := range incompleteReplicas {
		if donor := p.findDonor(service, domain, recipient, incompleteReplicas[i+1:]); donor != nil {
			p.releaseReplica(donor, recipient)
			return true
		}
	}
	return false
}

// releaseReplica begins to dissolve the donor. If it serves, it first finishes its requests.
func (p *Planner) releaseReplica(donor, recipient *replica) {
	p.recordDecision("replica-released", donor, "phase %s, its %d members complete %s", donor.phase, len(donor.members), recipient.name)
	if donor.phase == serving {
		donor.released = true
		donor.setPhase(closing, p.now)
		return
	}
	donor.setPhase(dissolving, p.now)
}

// findDonor returns the replica of the same model with the fewest members that,
// together with the spare servers, complete the recipient; nil if there is
// none.
func (p *Planner) findDonor(service *cluster.Service, domain ident.FabricDomain, recipient *replica, others []*replica) *replica {
	staged := p.stagedSpares(service, domain, recipient.model.Name)
	for i := len(others) - 1; i >= 0; i-- {
		donor := others[i]
		if donor.model.Name == recipient.model.Name && recipient.missing() <= staged+len(donor.members) {
			return donor
		}
	}
	return nil
}

// releaseSmaller gives up a replica of a model with fewer members for one that no spare server of
// the domain will complete, if the fleet has more capacity then. Servers that are registered but
// don't answer may return; until they are removed, no replica is given up for them.
func (p *Planner) releaseSmaller(service *cluster.Service, domain ident.FabricDomain, incompleteReplicas []*replica) {
	if p.isDataCentreDrained(service, domain) || p.isGrowing(service, domain) {
		return
	}
	available := p.availableServers(service, domain)
	for _, recipient := range incompleteReplicas {
		missing := recipient.missing()
		if missing <= available {
			available -= missing
			continue
		}
		if donor := p.findSmallerDonor(service, recipient, missing, available); donor != nil {
			p.releaseReplica(donor, recipient)
			return
		}
	}
}

// availableServers returns the number of servers of the domain that can join an incomplete replica
// now or later: spare servers, members of replicas that are given up, and servers that may return.
func (p *Planner) availableServers(service *cluster.Service, domain ident.FabricDomain) int {
	n := len(p.sparesOf(service, domain))
	for _, r := range p.replicas {
		if r.domain == domain && (r.phase == dissolving || r.released) {
			n += len(r.members)
		}
	}
	for _, s := range p.domainServers[domainKey{service.Name, domain}] {
		if p.IsUnreachable(s) && !s.Draining {
			n++
		}
	}
	return n
}

// findSmallerDonor returns a replica of the recipient's domain and of a model with fewer members,
// which together with the available servers complete the recipient; nil if there is none or the
// fleet has no more capacity then. Replicas that don't serve come first.
func (p *Planner) findSmallerDonor(service *cluster.Service, recipient *replica, missing, available int) *replica {
	fleet := p.fleetLayout(service)
	var best *replica
	for _, r := range p.sortedReplicas(service) {
		isSmaller := r.model.ServersPerReplica < recipient.model.ServersPerReplica
		isReleasable := r.phase == serving || r.phase == incomplete && r.isSettled(p.now)
		if r.domain != recipient.domain || !isSmaller || !isReleasable || len(r.members)+available < missing {
			continue
		}
		change := layout.Change{Domain: r.domain, Added: recipient.model.Name, Spares: len(r.members) - missing}
		if r.phase == serving {
			change.Released = r.model.Name
		}
		if fleet.IsGain(change) && (best == nil || best.phase == serving && r.phase != serving) {
			best = r
		}
	}
	return best
}
