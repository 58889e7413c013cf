package layout

import (
	"cmp"
	"math"
	"slices"

	"cuminbay/internal/domain/ident"
)

// lossShare is the share of a domain's members that fail before further servers are added to the
// domain.
const lossShare = 0.03

// Change is a change of a domain's replicas.
type Change struct {
	Domain ident.FabricDomain
	// Added and Released are the models of a replica that is added and of one that is given up;
	// empty for none.
	Added, Released ident.Model
	// Spares is the number of spare servers that the domain gains.
	Spares int
}

// IsGain reports whether the change lowers the load of the fleet that is expected when members
// fail.
func (f *Fleet) IsGain(c Change) bool {
	changed := f.with(c)
	isServed := func(m ident.Model) bool { return f.replicas(m) > 0 || changed.replicas(m) > 0 }
	return changed.expectedLoad(isServed) < f.expectedLoad(isServed)
}

// with returns the fleet after the change.
func (f *Fleet) with(c Change) *Fleet {
	changed := &Fleet{Models: f.Models, Domains: slices.Clone(f.Domains)}
	for i := range changed.Domains {
		d := &changed.Domains[i]
		if d.ID != c.Domain {
			continue
		}
		d.Spares += c.Spares
		d.Replicas = make(map[ident.Model]int, len(f.Models))
		for _, m := range f.Models {
			d.Replicas[m.Name] = f.Domains[i].Replicas[m.Name]
		}
		if c.Added != "" {
			d.Replicas[c.Added]++
		}
		if c.Released != "" {
			d.Replicas[c.Released]--
		}
	}
	return changed
}

// expectedLoad returns the sum of the expected loads of the included models. The load of a model
// is its share for each server of its replicas, so that the model with the fewest servers for its
// share counts most.
func (f *Fleet) expectedLoad(included func(ident.Model) bool) float64 {
	kept := make([]float64, len(f.Models))
	for i := range f.Domains {
		f.addKeptReplicas(&f.Domains[i], kept)
	}
	load := 0.0
	for i, m := range f.Models {
		if included(m.Name) {
			load += 1 / perShare(m, kept[i])
		}
	}
	return load
}

// addKeptReplicas adds the number of replicas of each model that the domain is expected to keep
// when members fail. Spare servers complete replicas that have lost a member. The first replica
// that none completes is lost, and its remaining members complete the others. It is a replica of a
// model as often as a member that fails belongs to one.
func (f *Fleet) addKeptReplicas(d *Domain, kept []float64) {
	members := 0
	for _, m := range f.Models {
		members += d.Replicas[m.Name] * m.ServersPerReplica
	}
	if members == 0 {
		return
	}
	lossProbability := probabilityOfMoreLosses(members, d.Spares)
	for i, m := range f.Models {
		n := float64(d.Replicas[m.Name])
		kept[i] += n - lossProbability*n*float64(m.ServersPerReplica)/float64(members)
	}
}

// probabilityOfMoreLosses returns the probability that more of the members fail than there are
// spare servers. Members fail independently, so the number of failures has a Poisson distribution.
func probabilityOfMoreLosses(members, spares int) float64 {
	mean := lossShare * float64(members)
	term := math.Exp(-mean)
	atMostSpares := 0.0
	for losses := 0; losses <= spares; losses++ {
		atMostSpares += term
		term *= mean / float64(losses+1)
	}
	return max(0, 1-atMostSpares)
}

// withoutReserve returns the placements without those whose servers are more useful as spare
// servers of their domain. The one with the highest gain is left out first.
func (f *Fleet) withoutReserve(placements []Placement) []Placement {
	placements = slices.Clone(placements)
	fleet := f
	for _, p := range placements {
		fleet = fleet.with(Change{Domain: p.Domain, Added: p.Model, Spares: -f.sizeOf(p.Model)})
	}
	isServed := func(m ident.Model) bool { return fleet.replicas(m) > 0 }
	for {
		best, lowest := Placement{}, fleet.expectedLoad(isServed)
		for _, p := range uniquePlacements(placements) {
			if load := fleet.with(f.release(p)).expectedLoad(isServed); load < lowest {
				best, lowest = p, load
			}
		}
		if best == (Placement{}) {
			return placements
		}
		fleet = fleet.with(f.release(best))
		i := slices.Index(placements, best)
		placements = slices.Delete(placements, i, i+1)
	}
}

// release returns the change that gives up a replica of the placement.
func (f *Fleet) release(p Placement) Change {
	return Change{Domain: p.Domain, Released: p.Model, Spares: f.sizeOf(p.Model)}
}

func uniquePlacements(placements []Placement) []Placement {
	unique := slices.Clone(placements)
	slices.SortFunc(unique, func(a, b Placement) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Model, b.Model))
	})
	return slices.Compact(unique)
}

func (f *Fleet) sizeOf(model ident.Model) int {
	for _, m := range f.Models {
		if m.Name == model {
			return m.ServersPerReplica
		}
	}
	return 0
}
