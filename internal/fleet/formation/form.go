package formation

import (
	"cmp"
	"fmt"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// formReplicas forms new replicas of spare servers. The model with the fewest
// members for its share comes first. At the first start of the system it waits
// until no domain grows, so that the models are distributed well over the
// domains.
func (p *Planner) formReplicas(service *cluster.Service) {
	if p.loads.bootstrap && p.anyGrowing(service) {
		return
	}
	for p.formReplica(service) {
		continue
	}
}

// formReplica forms one replica and reports whether it found a domain for one.
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

// createReplica forms a replica of the domain's spare servers that can join it
// soonest. There must be enough of them.
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

// minShare is the share of a model whose configuration has no initial share.
const minShare = 0.01

// modelsByNeed returns the models in order of need, the neediest first: the
// model whose replicas have the fewest members for its share. Replicas that are
// incomplete, dissolving or in a drained data centre don't count.
func (p *Planner) modelsByNeed(service *cluster.Service) []*cluster.Model {
	members := make(map[ident.Model]int)
	for _, r := range p.replicas {
		if r.service == service.Name && r.phase != incomplete && r.phase != dissolving && !p.isDataCentreDrained(service, r.domain) {
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

// The suitability of a domain for a model, the best first. In a domain that serves
// only one model, the members of broken replicas can form complete ones without
// loading weights.
const (
	servesModel = iota
	servesNothing
	servesOthers
)

// chooseDomain returns the domain for a new replica of the model, if there is
// one. It prefers a domain that serves only this model, then one that serves
// none. A domain that serves other models is used only for the neediest model,
// and only while it doesn't grow. Among equals, the data centre with the fewest
// replicas of the model comes first, then the domain with the most spare servers.
// Domains with an incomplete or dissolving replica are left out.
//
// After the first start, only servers with staged weights are used, so that a
// replica doesn't wait for the weight store.
func (p *Planner) chooseDomain(service *cluster.Service, m *cluster.Model, neediest bool) (ident.FabricDomain, bool) {
	type candidate struct {
		domain            ident.FabricDomain
		suitability       int
		sameModelReplicas int
		negatedSpares     int
	}
	var candidates []candidate
	for _, d := range p.sortedDomains(service) {
		spares := p.spareServers(service, d, m.Name)
		if len(spares) < m.ServersPerReplica || p.hasIncompleteOrDissolvingReplica(d) || !p.loads.bootstrap && !spares[m.ServersPerReplica-1].HasStaged(m.Name) {
			continue
		}
		c := candidate{d, p.domainSuitability(service, d, m.Name), p.replicasInDataCentre(spares[0].DataCentre, m.Name), -len(spares)}
		if c.suitability == servesOthers && (!neediest || p.isGrowing(service, d)) {
			continue
		}
		candidates = append(candidates, c)
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.suitability, b.suitability), cmp.Compare(a.sameModelReplicas, b.sameModelReplicas), cmp.Compare(a.negatedSpares, b.negatedSpares), cmp.Compare(a.domain, b.domain))
	})
	return best.domain, true
}

// domainSuitability returns how suitable the domain is for the model, from the
// models that its replicas serve and its spare servers have staged.
func (p *Planner) domainSuitability(service *cluster.Service, domain ident.FabricDomain, model ident.Model) int {
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

// modelForSpare returns the model to stage on a spare server of the domain: the
// model with the most replica members in the domain for each spare server that
// has staged it, or the neediest model if the domain has no replicas.
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
