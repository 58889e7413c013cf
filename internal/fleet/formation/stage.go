package formation

import (
	"cmp"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// wish is a load that would be of use. The weight store serves few at once, so
// those that complete a replica soonest come first.
type wish struct {
	server *cluster.Server
	model  *cluster.Model
	// missing is the number of loads after which a replica is whole.
	missing float64
}

// insurance is the rank of a load for a replica that may break, between one that
// completes a replica with two loads and with three.
const insurance = 2.5

// stage has weights loaded on spare servers: those that short replicas wait for,
// those that replicas of the domain may need next, and those for new replicas. A
// data centre that is out of service gets none, as loads are few.
func (p *Planner) stage(service *cluster.Service) {
	if p.loads.bootstrap && p.anyGrowing(service) {
		return
	}
	var wishes []wish
	for _, domain := range p.domains(service) {
		if p.isOut(service, domain) {
			continue
		}
		wishes = append(wishes, p.wishes(service, domain)...)
	}
	slices.SortStableFunc(wishes, func(a, b wish) int { return cmp.Compare(a.missing, b.missing) })
	for _, w := range wishes {
		if p.loads.staging(w.server.ID) != "" || !p.loads.room(1) {
			continue
		}
		p.loads.add(w.server.ID, w.model.Name, p.now.Add(w.model.LoadTime))
		p.order(w.server.ID, cluster.Order{Operation: cluster.StageModel, Model: w.model.Name})
	}
}

// wishes returns the loads that are of use in the domain, and repeats orders for
// those that have begun.
func (p *Planner) wishes(service *cluster.Service, domain ident.FabricDomain) []wish {
	staged := make(map[ident.Model]int)
	var empty, others []*cluster.Server
	for _, s := range p.spares(service, domain, "") {
		model := p.loads.staging(s.ID)
		switch {
		case model != "":
			staged[model]++
			p.order(s.ID, cluster.Order{Operation: cluster.StageModel, Model: model})
		case len(s.StagedModels) == 0:
			empty = append(empty, s)
		default:
			staged[s.StagedModels[0]]++
			others = append(others, s)
		}
	}
	list := p.wishesOfShort(domain, staged, &empty, others)
	if p.growing(service, domain) {
		return list
	}
	for _, s := range empty {
		m := p.wanted(service, domain, staged)
		rank := insurance
		if !p.served(domain, m.Name) {
			rank = float64(max(m.ServersPerReplica-staged[m.Name], 1))
		}
		staged[m.Name]++
		list = append(list, wish{s, m, rank})
	}
	return list
}

// wishesOfShort returns the loads that make short replicas of the domain whole.
// Servers without weights are taken first, then those with another model's that
// no short replica needs.
func (p *Planner) wishesOfShort(domain ident.FabricDomain, staged map[ident.Model]int, empty *[]*cluster.Server, others []*cluster.Server) []wish {
	waits := make(map[ident.Model]int)
	var shorts []*replica
	for _, r := range p.replicas {
		if r.domain == domain && r.phase == short {
			waits[r.model.Name] += r.model.ServersPerReplica - len(r.members)
			shorts = append(shorts, r)
		}
	}
	slices.SortFunc(shorts, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.model.ServersPerReplica-len(a.members), b.model.ServersPerReplica-len(b.members)), cmp.Compare(a.name, b.name))
	})
	var list []wish
	for _, r := range shorts {
		name := r.model.Name
		missing := r.model.ServersPerReplica - len(r.members) - staged[name]
		staged[name] = max(0, staged[name]-(r.model.ServersPerReplica-len(r.members)))
		for rank := float64(missing); missing > 0; missing-- {
			var s *cluster.Server
			if len(*empty) > 0 {
				s, *empty = (*empty)[0], (*empty)[1:]
			} else if i := slices.IndexFunc(others, func(o *cluster.Server) bool {
				return !o.HasStaged(name) && waits[o.StagedModels[0]] == 0
			}); i >= 0 {
				s, others = others[i], slices.Delete(slices.Clone(others), i, i+1)
			} else {
				break
			}
			list = append(list, wish{s, r.model, rank})
		}
	}
	return list
}

// served reports whether the domain has a replica of the model.
func (p *Planner) served(domain ident.FabricDomain, model ident.Model) bool {
	for _, r := range p.replicas {
		if r.domain == domain && r.model.Name == model {
			return true
		}
	}
	return false
}

// anyGrowing reports whether any domain of the service is growing.
func (p *Planner) anyGrowing(service *cluster.Service) bool {
	growing := false
	for _, domain := range p.domains(service) {
		growing = p.growing(service, domain) || growing
	}
	return growing
}

// growing reports whether the domain got a server a short time ago.
func (p *Planner) growing(service *cluster.Service, domain ident.FabricDomain) bool {
	g, size := p.grown[domain], p.size(service, domain)
	if size > g.size {
		g.at = p.now
	}
	g.size = size
	p.grown[domain] = g
	return p.now.Sub(g.at) < p.rules.Gather
}
