package layout

import (
	"cmp"
	"slices"

	"cuminbay/internal/domain/ident"
)

// PreparedConversions returns conversions between all models, for which weights can be loaded
// before the demand is known. They give up at most the share of each model's replicas, and are
// spread over the data centres. A domain has at most one of them.
func (f *Fleet) PreparedConversions(share float64) []Conversion {
	s := &preparation{fleet: f, limit: share, released: make(map[ident.Model]int)}
	for isExtended := true; isExtended; {
		isExtended = false
		for i := range f.Models {
			for j := range f.Models {
				isExtended = i != j && s.addConversion(&f.Models[i], &f.Models[j]) || isExtended
			}
		}
	}
	return s.conversions
}

// preparation collects conversions that are prepared.
type preparation struct {
	fleet       *Fleet
	limit       float64
	conversions []Conversion
	// released has the number of replicas that the conversions give up of each model.
	released map[ident.Model]int
}

// addConversion adds a conversion between the models, and reports whether there is one.
func (s *preparation) addConversion(from, to *Model) bool {
	count := donorsFor(from, to)
	if float64(s.released[from.Name]+count) > s.limit*float64(s.fleet.replicas(from.Name)) {
		return false
	}
	var best *Domain
	for i := range s.fleet.Domains {
		d := &s.fleet.Domains[i]
		isUsed := slices.ContainsFunc(s.conversions, func(c Conversion) bool { return c.Domain == d.ID })
		if isUsed || d.Replicas[from.Name] < count {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(s.preparedIn(d.DataCentre, from.Name), s.preparedIn(best.DataCentre, from.Name)),
			cmp.Compare(best.Replicas[from.Name], d.Replicas[from.Name]),
			cmp.Compare(d.ID, best.ID),
		) < 0 {
			best = d
		}
	}
	if best == nil {
		return false
	}
	servers := count * from.ServersPerReplica
	added := servers / to.ServersPerReplica
	s.conversions = append(s.conversions, Conversion{
		Domain: best.ID, From: from.Name, To: to.Name, Released: count, Added: added, Spares: servers - added*to.ServersPerReplica,
	})
	s.released[from.Name] += count
	return true
}

// preparedIn returns the number of conversions in the data centre that give up the model.
func (s *preparation) preparedIn(dc ident.DataCentre, from ident.Model) int {
	n := 0
	for _, c := range s.conversions {
		i := slices.IndexFunc(s.fleet.Domains, func(d Domain) bool { return d.ID == c.Domain })
		if s.fleet.Domains[i].DataCentre == dc && c.From == from {
			n++
		}
	}
	return n
}
