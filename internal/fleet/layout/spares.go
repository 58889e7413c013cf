package layout

import (
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

// IsGain reports whether the fleet is rated higher after the change. A model in demand doesn't give
// up replicas for the mean of the models, which a model without demand would raise.
func (f *Fleet) IsGain(c Change) bool {
	s := newRating(f, func(m Model) bool { return f.replicas(m.Name) > 0 || m.Name == c.Added })
	before := make(plan, len(f.Domains))
	for i := range f.Domains {
		d := &f.Domains[i]
		before[i] = s.newComposition(s.replicasAfter(d, Change{}), d.Spares)
	}
	after := slices.Clone(before)
	for i := range f.Domains {
		if d := &f.Domains[i]; d.ID == c.Domain {
			after[i] = s.newComposition(s.replicasAfter(d, c), d.Spares+c.Spares)
		}
	}
	if f.followsDemand && c.Released != "" {
		return s.rateLowest(after) > s.rateLowest(before)
	}
	return s.rate(after) > s.rate(before)
}

// replicasAfter returns the number of replicas of each model in the domain after the change.
func (s *search) replicasAfter(d *Domain, c Change) []int {
	counts := make([]int, len(s.models))
	for i, m := range s.models {
		counts[i] = d.Replicas[m.Name]
		if m.Name == c.Added {
			counts[i]++
		}
		if m.Name == c.Released {
			counts[i]--
		}
	}
	return counts
}

// expectedReplicas returns the number of replicas of each model that a domain with the spare
// servers keeps on average when members fail. Spare servers complete replicas that have lost a
// member. The first replica that none completes is lost, and its remaining members complete the
// others. It is a replica of a model as often as a member that fails belongs to one.
func expectedReplicas(models []Model, replicas []int, spares int) []float64 {
	expected := make([]float64, len(replicas))
	members := memberCount(models, replicas)
	if members == 0 {
		return expected
	}
	lossProbability := probabilityOfMoreLosses(members, spares)
	for i, n := range replicas {
		memberShare := float64(n*models[i].ServersPerReplica) / float64(members)
		expected[i] = float64(n) - lossProbability*memberShare
	}
	return expected
}

// memberCount returns the number of members of the replicas.
func memberCount(models []Model, replicas []int) int {
	members := 0
	for i, n := range replicas {
		members += n * models[i].ServersPerReplica
	}
	return members
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
