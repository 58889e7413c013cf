package layout

import (
	"cmp"
	"slices"

	"cuminbay/internal/domain/ident"
)

// FirstReplicas returns the replicas to form in a fleet that has none: those that use as many
// servers as possible, without the ones whose servers are more useful as spare servers.
func (f *Fleet) FirstReplicas() []Placement {
	return f.withoutReserve(f.fullPlacements())
}

// fullPlacements returns replicas that leave no domain room for a further one. The layout is
// the best one that a local search finds: from each start, the search changes the
// compositions of two domains at a time as long as the score rises.
func (f *Fleet) fullPlacements() []Placement {
	s := newSearch(f)
	if len(s.models) == 0 {
		return nil
	}
	var best plan
	var highest score
	for start := range maxCompositions {
		p, ok := s.startPlan(start)
		if !ok {
			break
		}
		if found := s.improve(p); best == nil || found.compare(highest) > 0 {
			best, highest = p, found
		}
	}
	return s.placements(best)
}

// search is a search for the best plan of a fleet.
type search struct {
	// models are those for which at least one domain has enough servers.
	models  []Model
	domains []Domain
	// dataCentres has the index of each domain's data centre.
	dataCentres []int
	// compositions has the compositions that each domain may get.
	compositions [][]composition
	// byDataCentre has the replicas of one model in each data centre.
	byDataCentre []int
}

// composition is the number of replicas of each model in a domain, in the order of the
// search's models.
type composition []int

// plan is a composition for each domain of the search.
type plan []composition

func newSearch(f *Fleet) *search {
	s := &search{domains: f.Domains}
	for _, m := range f.Models {
		if slices.ContainsFunc(f.Domains, func(d Domain) bool { return d.FreeServers[m.Name] >= m.ServersPerReplica }) {
			s.models = append(s.models, m)
		}
	}
	indexes := make(map[ident.DataCentre]int)
	for i := range f.Domains {
		d := &f.Domains[i]
		if _, known := indexes[d.DataCentre]; !known {
			indexes[d.DataCentre] = len(indexes)
		}
		s.dataCentres = append(s.dataCentres, indexes[d.DataCentre])
		s.compositions = append(s.compositions, s.compositionsOf(d))
	}
	s.byDataCentre = make([]int, len(indexes))
	return s
}

// maxCompositions bounds the compositions of a domain that the search considers, and
// so its time in a fleet with many models.
const maxCompositions = 12

// compositionsOf returns compositions of the domain that leave too few servers for a
// further replica, those with the most replicas of the first models first.
func (s *search) compositionsOf(d *Domain) []composition {
	var found []composition
	current := make(composition, len(s.models))
	var extend func(model, used int)
	extend = func(model, used int) {
		if len(found) == maxCompositions {
			return
		}
		if model == len(s.models) {
			if !slices.ContainsFunc(s.models, func(m Model) bool { return d.FreeServers[m.Name]-used >= m.ServersPerReplica }) {
				found = append(found, slices.Clone(current))
			}
			return
		}
		m := s.models[model]
		for n := max(0, d.FreeServers[m.Name]-used) / m.ServersPerReplica; n >= 0; n-- {
			current[model] = n
			extend(model+1, used+n*m.ServersPerReplica)
		}
	}
	extend(0, 0)
	return found
}

// startPlan returns the plan in which each domain has its composition with the index,
// or its last one. ok is false if no domain has that many.
func (s *search) startPlan(index int) (p plan, ok bool) {
	for _, compositions := range s.compositions {
		p = append(p, compositions[min(index, len(compositions)-1)])
		ok = ok || index < len(compositions)
	}
	return p, ok
}

// improve changes the plan until no change of two domains raises the score, and
// returns the score.
func (s *search) improve(p plan) score {
	highest := s.score(p)
	for improved := true; improved; {
		improved = false
		for i := range p {
			for j := i; j < len(p); j++ {
				if found := s.improvePair(p, i, j, highest); found.compare(highest) > 0 {
					highest, improved = found, true
				}
			}
		}
	}
	return highest
}

// improvePair gives the domains i and j, which may be the same one, the compositions
// with the highest score, and returns that score.
func (s *search) improvePair(p plan, i, j int, highest score) score {
	bestI, bestJ := p[i], p[j]
	for _, a := range s.compositions[i] {
		for _, b := range s.compositions[j] {
			p[i], p[j] = a, b
			if found := s.score(p); found.compare(highest) > 0 {
				bestI, bestJ, highest = p[i], p[j], found
			}
		}
	}
	p[i], p[j] = bestI, bestJ
	return highest
}

// score rates a plan; a higher one is better. The capacity of a plan is the lowest
// capacity of a model for its share.
type score struct {
	// sum adds up the capacities without a loss, after the worst loss of a domain
	// and after the worst loss of a data centre.
	sum         float64
	withoutLoss float64
	// members is the number of members of all replicas.
	members int
}

func (s score) compare(o score) int {
	return cmp.Or(cmp.Compare(s.sum, o.sum), cmp.Compare(s.withoutLoss, o.withoutLoss), cmp.Compare(s.members, o.members))
}

func (s *search) score(p plan) score {
	var result score
	var withoutLoss, withoutDomain, withoutDataCentre float64
	for model, m := range s.models {
		total, inDomain, inDataCentre := s.replicaCounts(p, model)
		if c := perShare(m, float64(total)); model == 0 || c < withoutLoss {
			withoutLoss = c
		}
		if c := perShare(m, float64(total-inDomain)); model == 0 || c < withoutDomain {
			withoutDomain = c
		}
		if c := perShare(m, float64(total-inDataCentre)); model == 0 || c < withoutDataCentre {
			withoutDataCentre = c
		}
		result.members += total * m.ServersPerReplica
	}
	result.sum, result.withoutLoss = withoutLoss+withoutDomain+withoutDataCentre, withoutLoss
	return result
}

// replicaCounts returns the number of replicas of the model with the index, and the
// highest number in a domain and in a data centre.
func (s *search) replicaCounts(p plan, model int) (total, inDomain, inDataCentre int) {
	clear(s.byDataCentre)
	for i, c := range p {
		n, dc := c[model], s.dataCentres[i]
		total += n
		s.byDataCentre[dc] += n
		inDomain, inDataCentre = max(inDomain, n), max(inDataCentre, s.byDataCentre[dc])
	}
	return total, inDomain, inDataCentre
}

// placements returns the replicas of the plan.
func (s *search) placements(p plan) []Placement {
	var placements []Placement
	for i, c := range p {
		for model, n := range c {
			for range n {
				placements = append(placements, Placement{s.models[model].Name, s.domains[i].ID})
			}
		}
	}
	return placements
}
