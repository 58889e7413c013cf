package formation

import (
	"cmp"
	"fmt"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// formReplicas makes new replicas of the servers that are left over. The model with the
// fewest members for its share of the work comes first. At the first start it
// waits until the servers are listed, so that the domains are dealt out well.
func (p *Planner) formReplicas(service *cluster.Service) {
	if p.loads.bootstrap && p.anyGrowing(service) {
		return
	}
	for p.formReplica(service) {
		continue
	}
}

func (p *Planner) formReplica(service *cluster.Service) bool {
	for i, m := range p.modelsByNeed(service) {
		domain, found := p.chooseDomain(service, m, i == 0)
		if !found {
			continue
		}
		p.createReplica(service, domain, m)
		return true
	}
	return false
}

// createReplica makes a replica in the domain.
func (p *Planner) createReplica(service *cluster.Service, domain ident.FabricDomain, m *cluster.Model) {
	spares := p.spareServers(service, domain, m.Name)[:m.ServersPerReplica]
	r := &replica{name: p.newName(), service: service.Name, domain: domain, model: m, brokenSince: p.now}
	for _, s := range spares {
		r.members = append(r.members, s.ID)
	}
	p.replicas[r.name] = r
	p.members = nil
	p.startJoining(r, fmt.Sprintf("new in domain %s", domain))
}

// minShare stands for the share of a model that announces none.
const minShare = 0.01

// modelsByNeed returns the models, the one with the fewest members of replicas in
// service for its share first.
func (p *Planner) modelsByNeed(service *cluster.Service) []*cluster.Model {
	members := make(map[ident.Model]int)
	for _, r := range p.replicas {
		if r.service == service.Name && r.phase != incomplete && r.phase != dissolving && !p.isOutOfService(service, r.domain) {
			members[r.model.Name] += r.model.ServersPerReplica
		}
	}
	models := make([]*cluster.Model, len(service.Engine.Models))
	for i := range service.Engine.Models {
		models[i] = &service.Engine.Models[i]
	}
	membersPerShare := func(m *cluster.Model) float64 { return float64(members[m.Name]) / max(m.InitialShare, minShare) }
	slices.SortStableFunc(models, func(a, b *cluster.Model) int { return cmp.Compare(membersPerShare(a), membersPerShare(b)) })
	return models
}

// Fitness of a domain for a model. A domain that serves one model makes whole
// replicas of what is left of broken ones without a load of weights.
const (
	servesModel = iota
	servesNothing
	servesOthers
)

// chooseDomain returns the domain for a new replica of the model: one that serves it
// alone, else one that serves nothing. One that serves others is taken only for
// the neediest model and once its domain has stopped growing. After the first
// start, servers are staged before they are taken, so that a replica doesn't wait
// for the weight store. Among equals the data centre with the fewest replicas of
// the model comes first.
func (p *Planner) chooseDomain(service *cluster.Service, m *cluster.Model, neediest bool) (ident.FabricDomain, bool) {
	type candidate struct {
		domain        ident.FabricDomain
		fitness       int
		sameModel     int
		negatedSpares int
	}
	var candidates []candidate
	for _, d := range p.sortedDomains(service) {
		spares := p.spareServers(service, d, m.Name)
		if len(spares) < m.ServersPerReplica || p.hasIncompleteReplica(d) || !p.loads.bootstrap && !spares[m.ServersPerReplica-1].HasStaged(m.Name) {
			continue
		}
		c := candidate{d, p.domainFitness(service, d, m.Name), p.replicasInDataCentre(spares[0].DataCentre, m.Name), -len(spares)}
		if c.fitness == servesOthers && (!neediest || p.growing(service, d)) {
			continue
		}
		candidates = append(candidates, c)
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.fitness, b.fitness), cmp.Compare(a.sameModel, b.sameModel), cmp.Compare(a.negatedSpares, b.negatedSpares), cmp.Compare(a.domain, b.domain))
	})
	return best.domain, true
}

// domainFitness says what the domain's replicas and weights are for.
func (p *Planner) domainFitness(service *cluster.Service, domain ident.FabricDomain, model ident.Model) int {
	sameModel, otherModels := 0, 0
	for _, r := range p.replicas {
		switch {
		case r.domain != domain || r.service != service.Name:
		case r.model.Name == model:
			sameModel++
		default:
			otherModels++
		}
	}
	switch {
	case otherModels > 0:
		return servesOthers
	case sameModel > 0:
		return servesModel
	}
	for _, s := range p.spareServers(service, domain, model) {
		if len(s.StagedModels) > 0 && !s.HasStaged(model) {
			return servesOthers
		}
	}
	return servesNothing
}

// replicasInDataCentre counts the model's replicas in the data centre.
func (p *Planner) replicasInDataCentre(dc ident.DataCentre, model ident.Model) int {
	n := 0
	for _, r := range p.replicas {
		if r.model.Name != model || len(r.members) == 0 {
			continue
		}
		if s := p.snapshot.Servers[r.members[0]]; s != nil && s.DataCentre == dc {
			n++
		}
	}
	return n
}

// modelForSpare returns the model that a spare server of the domain should have: that
// with the most members there for each spare server, or the neediest one.
func (p *Planner) modelForSpare(service *cluster.Service, domain ident.FabricDomain, staged map[ident.Model]int) *cluster.Model {
	var best *cluster.Model
	highestNeed := 0.0
	for i := range service.Engine.Models {
		m := &service.Engine.Models[i]
		members := 0
		for _, r := range p.replicas {
			if r.domain == domain && r.model.Name == m.Name {
				members += m.ServersPerReplica
			}
		}
		if need := float64(members) / float64(1+staged[m.Name]); need > highestNeed {
			best, highestNeed = m, need
		}
	}
	if best == nil {
		return p.modelsByNeed(service)[0]
	}
	return best
}
