package formation

import (
	"cmp"
	"slices"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/site"
)

// homes gives each fabric domain one model, so that what is left of its broken
// replicas makes whole ones again without a load of weights. The models get
// servers by their shares, and as far as possible in every data centre. Where
// there are fewer domains than models, a domain serves several and has no home.
func (p *Planner) homes(service *site.Service) {
	models := service.Engine.Models
	domains := p.domains(service)
	if len(domains) < len(models) {
		clear(p.home)
		return
	}
	servers := make(map[ident.Model]int)
	for _, d := range domains {
		if m := p.home[d]; m != "" {
			servers[m] += p.size(service, d)
		}
	}
	for _, d := range domains {
		if p.home[d] != "" {
			continue
		}
		m := p.staged(service, d)
		if m == "" {
			m = leastServed(models, servers)
		}
		p.home[d] = m
		servers[m] += max(p.size(service, d), 1)
	}
}

// leastServed returns the model with the fewest servers for its share.
func leastServed(models []site.Model, servers map[ident.Model]int) ident.Model {
	filled := func(m *site.Model) float64 { return float64(servers[m.Name]) / max(m.Share, leastShare) }
	best := &models[0]
	for i := range models {
		if filled(&models[i]) < filled(best) {
			best = &models[i]
		}
	}
	return best.Name
}

// leastShare stands for the share of a model that announces none.
const leastShare = 0.01

// staged returns the model that most members of replicas in the domain serve, or
// that most of its servers have staged, as an earlier tenure chose it.
func (p *Planner) staged(service *site.Service, domain ident.Domain) ident.Model {
	count := make(map[ident.Model]int)
	for _, s := range p.view.Servers {
		if s.Service != service.Name || s.Domain != domain {
			continue
		}
		if s.Member != nil {
			count[s.Member.Model]++
		}
		for _, m := range s.Staged {
			count[m]++
		}
	}
	var best ident.Model
	for m, n := range count {
		if service.Engine.Model(m) != nil && (n > count[best] || n == count[best] && m < best) {
			best = m
		}
	}
	return best
}

// choices returns the models for a new replica in the domain: its home model, or
// without one all models, the one with the fewest members for its share first.
func (p *Planner) choices(service *site.Service, domain ident.Domain) []*site.Model {
	if home := service.Engine.Model(p.home[domain]); home != nil {
		return []*site.Model{home}
	}
	members := make(map[ident.Model]int)
	for _, r := range p.replicas {
		if r.service == service.Name {
			members[r.model.Name] += len(r.members)
		}
	}
	models := make([]*site.Model, len(service.Engine.Models))
	for i := range service.Engine.Models {
		models[i] = &service.Engine.Models[i]
	}
	filled := func(m *site.Model) float64 { return float64(members[m.Name]) / max(m.Share, leastShare) }
	slices.SortStableFunc(models, func(a, b *site.Model) int { return cmp.Compare(filled(a), filled(b)) })
	return models
}
