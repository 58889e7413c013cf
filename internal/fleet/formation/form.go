package formation

import (
	"cmp"
	"fmt"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// form makes new replicas of the servers that are left over. The model with the
// fewest members for its share of the work comes first. At the first start it
// waits until the servers are listed, so that the domains are dealt out well.
func (p *Planner) form(service *cluster.Service) {
	if p.loads.bootstrap && p.anyGrowing(service) {
		return
	}
	for p.formOne(service) {
		continue
	}
}

func (p *Planner) formOne(service *cluster.Service) bool {
	for i, m := range p.byNeed(service) {
		domain, found := p.place(service, m, i == 0)
		if !found {
			continue
		}
		p.found(service, domain, m)
		return true
	}
	return false
}

// found makes a replica in the domain.
func (p *Planner) found(service *cluster.Service, domain ident.FabricDomain, m *cluster.Model) {
	chosen := p.spares(service, domain, m.Name)[:m.ServersPerReplica]
	r := &replica{name: p.name(), service: service.Name, domain: domain, model: m, broken: p.now}
	for _, s := range chosen {
		r.members = append(r.members, s.ID)
	}
	p.replicas[r.name] = r
	p.placed = nil
	p.join(r, fmt.Sprintf("new in domain %s", domain))
}

// leastShare stands for the share of a model that announces none.
const leastShare = 0.01

// byNeed returns the models, the one with the fewest members of replicas in
// service for its share first.
func (p *Planner) byNeed(service *cluster.Service) []*cluster.Model {
	members := make(map[ident.Model]int)
	for _, r := range p.replicas {
		if r.service == service.Name && r.phase != short && r.phase != leaving && !p.isOut(service, r.domain) {
			members[r.model.Name] += r.model.ServersPerReplica
		}
	}
	models := make([]*cluster.Model, len(service.Engine.Models))
	for i := range service.Engine.Models {
		models[i] = &service.Engine.Models[i]
	}
	filled := func(m *cluster.Model) float64 { return float64(members[m.Name]) / max(m.InitialShare, leastShare) }
	slices.SortStableFunc(models, func(a, b *cluster.Model) int { return cmp.Compare(filled(a), filled(b)) })
	return models
}

// Fitness of a domain for a model. A domain that serves one model makes whole
// replicas of what is left of broken ones without a load of weights.
const (
	serves = iota
	empty
	mixed
)

// place returns the domain for a new replica of the model: one that serves it
// alone, else one that serves nothing. One that serves others is taken only for
// the neediest model and once its domain has stopped growing. After the first
// start, servers are staged before they are taken, so that a replica doesn't wait
// for the weight store. Among equals the data centre with the fewest replicas of
// the model comes first.
func (p *Planner) place(service *cluster.Service, m *cluster.Model, neediest bool) (ident.FabricDomain, bool) {
	type candidate struct {
		domain  ident.FabricDomain
		fitness int
		near    int
		free    int
	}
	var list []candidate
	for _, d := range p.domains(service) {
		free := p.spares(service, d, m.Name)
		if len(free) < m.ServersPerReplica || p.shortIn(d) || !p.loads.bootstrap && !free[m.ServersPerReplica-1].HasStaged(m.Name) {
			continue
		}
		c := candidate{d, p.fitness(service, d, m.Name), p.near(free[0].DataCentre, m.Name), -len(free)}
		if c.fitness == mixed && (!neediest || p.growing(service, d)) {
			continue
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		return "", false
	}
	best := slices.MinFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.fitness, b.fitness), cmp.Compare(a.near, b.near), cmp.Compare(a.free, b.free), cmp.Compare(a.domain, b.domain))
	})
	return best.domain, true
}

// fitness says what the domain's replicas and weights are for.
func (p *Planner) fitness(service *cluster.Service, domain ident.FabricDomain, model ident.Model) int {
	own, others := 0, 0
	for _, r := range p.replicas {
		switch {
		case r.domain != domain || r.service != service.Name:
		case r.model.Name == model:
			own++
		default:
			others++
		}
	}
	switch {
	case others > 0:
		return mixed
	case own > 0:
		return serves
	}
	for _, s := range p.spares(service, domain, model) {
		if len(s.StagedModels) > 0 && !s.HasStaged(model) {
			return mixed
		}
	}
	return empty
}

// near counts the model's replicas in the data centre.
func (p *Planner) near(dc ident.DataCentre, model ident.Model) int {
	n := 0
	for _, r := range p.replicas {
		if r.model.Name != model || len(r.members) == 0 {
			continue
		}
		if s := p.view.Servers[r.members[0]]; s != nil && s.DataCentre == dc {
			n++
		}
	}
	return n
}

// wanted returns the model that a spare server of the domain should have: that
// with the most members there for each spare server, or the neediest one.
func (p *Planner) wanted(service *cluster.Service, domain ident.FabricDomain, staged map[ident.Model]int) *cluster.Model {
	var best *cluster.Model
	most := 0.0
	for i := range service.Engine.Models {
		m := &service.Engine.Models[i]
		members := 0
		for _, r := range p.replicas {
			if r.domain == domain && r.model.Name == m.Name {
				members += m.ServersPerReplica
			}
		}
		if need := float64(members) / float64(1+staged[m.Name]); need > most {
			best, most = m, need
		}
	}
	if best == nil {
		return p.byNeed(service)[0]
	}
	return best
}
