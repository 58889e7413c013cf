package layout

import (
	"math"
	"slices"

	"cuminbay/internal/domain/ident"
)

// FirstReplicas returns the replicas to form in a fleet that has none. The layout is
// the best one that a local search finds: from each start, the search changes the
// compositions of two domains at a time as long as the rating rises.
func (f *Fleet) FirstReplicas() []Placement {
	s := newSearch(f)
	if len(s.models) == 0 {
		return nil
	}
	var best plan
	var highest float64
	for start := range maxStarts {
		p, ok := s.startPlan(start)
		if !ok {
			break
		}
		if found := s.improve(p); best == nil || found > highest {
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
	// byDataCentre has the expected replicas of one model in each data centre.
	byDataCentre []float64
}

// composition is what a domain holds.
type composition struct {
	// replicas has the number of replicas of each model, in the order of the search's models, and
	// expected the number that the domain keeps when members fail.
	replicas []int
	expected []float64
}

// plan is a composition for each domain of the search.
type plan []composition

func newSearch(f *Fleet) *search {
	hasRoom := func(m Model) bool {
		return slices.ContainsFunc(f.Domains, func(d Domain) bool { return d.FreeServers[m.Name] >= m.ServersPerReplica })
	}
	s := newRating(f, hasRoom)
	for i := range f.Domains {
		s.compositions = append(s.compositions, s.compositionsOf(&f.Domains[i]))
	}
	return s
}

// newRating returns a search that rates plans of the included models and has no compositions.
func newRating(f *Fleet, included func(Model) bool) *search {
	s := &search{domains: f.Domains}
	for _, m := range f.Models {
		if included(m) {
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
	}
	s.byDataCentre = make([]float64, len(indexes))
	return s
}

// newComposition returns the composition of the replicas and the spare servers.
func (s *search) newComposition(replicas []int, spares int) composition {
	return composition{replicas, expectedReplicas(s.models, replicas, spares)}
}

// Bounds of the search, and so of its time in a fleet with many models: the compositions without
// room for a further replica that are considered in a domain, and the plans that are improved.
const (
	maxCompositions = 12
	maxStarts       = 4
)

// compositionsOf returns compositions of the domain that leave too few servers for a
// further replica, those with the most replicas of the first models first, and then those with
// one replica less, whose servers are spare.
func (s *search) compositionsOf(d *Domain) []composition {
	counts := s.fullCounts(d)
	for _, replicas := range slices.Clone(counts) {
		for model, n := range replicas {
			fewer := slices.Clone(replicas)
			fewer[model]--
			isKnown := slices.ContainsFunc(counts, func(o []int) bool { return slices.Equal(o, fewer) })
			if n > 0 && !isKnown {
				counts = append(counts, fewer)
			}
		}
	}
	var compositions []composition
	for _, replicas := range counts {
		compositions = append(compositions, s.newComposition(replicas, d.Spares-memberCount(s.models, replicas)))
	}
	return compositions
}

// fullCounts returns the numbers of replicas with which the domain has no room for a further one.
func (s *search) fullCounts(d *Domain) [][]int {
	var found [][]int
	current := make([]int, len(s.models))
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

// improve changes the plan until no change of two domains raises the rating, and
// returns the rating.
func (s *search) improve(p plan) float64 {
	highest := s.rate(p)
	for improved := true; improved; {
		improved = false
		for i := range p {
			for j := i; j < len(p); j++ {
				if found := s.improvePair(p, i, j, highest); found > highest {
					highest, improved = found, true
				}
			}
		}
	}
	return highest
}

// improvePair gives the domains i and j, which may be the same one, the compositions
// with the highest rating, and returns that rating.
func (s *search) improvePair(p plan, i, j int, highest float64) float64 {
	bestI, bestJ := p[i], p[j]
	for _, a := range s.compositions[i] {
		for _, b := range s.compositions[j] {
			p[i], p[j] = a, b
			if found := s.rate(p); found > highest {
				bestI, bestJ, highest = p[i], p[j], found
			}
		}
	}
	p[i], p[j] = bestI, bestJ
	return highest
}

// Weights beside the lowest capacity of a model without a loss of a domain or data centre: of the
// lowest capacity after the worst loss of each, which are rare, and of the mean capacity of the
// models.
const (
	lossWeight = 0.1
	meanWeight = 0.1
)

// rate rates a plan by the expected capacities of the models; a higher rating is better.
func (s *search) rate(p plan) float64 {
	sum := 0.0
	for model, m := range s.models {
		total, _, _ := s.expectedOf(p, model)
		sum += perShare(m, total)
	}
	return s.rateLowest(p) + meanWeight*sum/float64(len(s.models))
}

// rateLowest rates a plan by the lowest capacities of a model alone. The mean of the models would
// keep a model of little demand from giving up replicas, as its capacity for its share is high.
func (s *search) rateLowest(p plan) float64 {
	lowest, afterDomain, afterDataCentre := math.Inf(1), math.Inf(1), math.Inf(1)
	for model, m := range s.models {
		total, inDomain, inDataCentre := s.expectedOf(p, model)
		lowest = min(lowest, perShare(m, total))
		afterDomain = min(afterDomain, perShare(m, total-inDomain))
		afterDataCentre = min(afterDataCentre, perShare(m, total-inDataCentre))
	}
	return lowest + lossWeight*(afterDomain+afterDataCentre)
}

// expectedOf returns the expected replicas of the model with the index, and the most in a domain
// and in a data centre.
func (s *search) expectedOf(p plan, model int) (total, inDomain, inDataCentre float64) {
	clear(s.byDataCentre)
	for i := range p {
		n, dc := p[i].expected[model], s.dataCentres[i]
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
		for model, n := range c.replicas {
			for range n {
				placements = append(placements, Placement{s.models[model].Name, s.domains[i].ID})
			}
		}
	}
	return placements
}
