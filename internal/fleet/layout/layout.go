// Package layout decides which model gets the next replica and in which fabric
// domain, and which model's weights a spare server stages. The layout keeps as much
// capacity of each model as possible after the loss of any one fabric domain or data
// centre. The decisions depend on counts only, so they need no network and no clock.
package layout

import (
	"cmp"
	"slices"

	"cuminbay/internal/domain/ident"
)

// Model is a model with its demand for servers.
type Model struct {
	Name              ident.Model
	ServersPerReplica int
	// Share is the model's share of the servers.
	Share float64
}

// minShare is the share of a model without a configured share.
const minShare = 0.01

// Domain is a fabric domain. All members of a replica are in the same domain.
type Domain struct {
	ID         ident.FabricDomain
	DataCentre ident.DataCentre
	// FreeServers has, for each model, the number of servers that can join a new
	// replica of the model.
	FreeServers map[ident.Model]int
	// Spares is the number of servers that belong to no replica.
	Spares int
	// Replicas has the number of replicas of each model.
	Replicas map[ident.Model]int
}

// Fleet is the input of the decisions.
type Fleet struct {
	Models  []Model
	Domains []Domain
	// followsDemand says that the shares are those of the demand.
	followsDemand bool
}

// Placement is a model and the domain in which a replica of it is formed.
type Placement struct {
	Model  ident.Model
	Domain ident.FabricDomain
}

// NextReplica returns the placement of the next replica, or false if no domain has
// enough free servers for a replica of any model that it doesn't need more as spare servers. The
// model with the least capacity for its share after the worst loss comes first. It is placed where
// the loss of the data centre, and then of the domain, costs the fewest replicas of the model.
func (f *Fleet) NextReplica() (Placement, bool) {
	for _, m := range f.modelsByCapacity() {
		if d := f.chooseDomain(m); d != nil {
			return Placement{m.Name, d.ID}, true
		}
	}
	return Placement{}, false
}

// modelsByCapacity returns the models in order of their capacity for their share, the
// lowest first.
func (f *Fleet) modelsByCapacity() []Model {
	models := slices.Clone(f.Models)
	slices.SortStableFunc(models, func(a, b Model) int {
		return cmp.Or(cmp.Compare(f.capacityAfterLoss(a), f.capacityAfterLoss(b)), cmp.Compare(f.capacity(a), f.capacity(b)))
	})
	return models
}

// capacity returns the members of the model's replicas for its share.
func (f *Fleet) capacity(m Model) float64 {
	return perShare(m, float64(f.replicas(m.Name)))
}

// capacityAfterLoss returns the members of the model's replicas for its share that
// remain after the worst loss of a data centre.
func (f *Fleet) capacityAfterLoss(m Model) float64 {
	worst := 0
	for _, n := range f.replicasByDataCentre(m.Name) {
		worst = max(worst, n)
	}
	return perShare(m, float64(f.replicas(m.Name)-worst))
}

func perShare(m Model, replicas float64) float64 {
	return replicas * float64(m.ServersPerReplica) / max(m.Share, minShare)
}

// replicas returns the number of replicas of the model.
func (f *Fleet) replicas(m ident.Model) int {
	n := 0
	for i := range f.Domains {
		n += f.Domains[i].Replicas[m]
	}
	return n
}

func (f *Fleet) replicasByDataCentre(m ident.Model) map[ident.DataCentre]int {
	byDataCentre := make(map[ident.DataCentre]int)
	for i := range f.Domains {
		byDataCentre[f.Domains[i].DataCentre] += f.Domains[i].Replicas[m]
	}
	return byDataCentre
}

// chooseDomain returns the domain for a replica of the model, nil if there is none.
func (f *Fleet) chooseDomain(m Model) *Domain {
	byDataCentre := f.replicasByDataCentre(m.Name)
	var best *Domain
	for i := range f.Domains {
		d := &f.Domains[i]
		if d.FreeServers[m.Name] < m.ServersPerReplica || !f.IsGain(Change{Domain: d.ID, Added: m.Name, Spares: -m.ServersPerReplica}) {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(byDataCentre[d.DataCentre], byDataCentre[best.DataCentre]),
			cmp.Compare(d.Replicas[m.Name], best.Replicas[m.Name]),
			cmp.Compare(best.FreeServers[m.Name], d.FreeServers[m.Name]),
			cmp.Compare(d.ID, best.ID),
		) < 0 {
			best = d
		}
	}
	return best
}

// NextStaged returns the model whose weights a spare server of the domain stages, when
// staged has the number of the domain's spare servers that have each model's weights.
// It is the model that most probably lacks capacity after a failure that the staged
// servers don't cover: a replica with more members fails more often, its failure costs
// more if the model has few replicas, and a further spare server is needed less often
// than the one before. A domain without replicas stages the model that gets the next
// replica.
func (f *Fleet) NextStaged(domain ident.FabricDomain, staged map[ident.Model]int) ident.Model {
	i := slices.IndexFunc(f.Domains, func(d Domain) bool { return d.ID == domain })
	var best ident.Model
	highest := 0.0
	for _, m := range f.Models {
		if i < 0 || f.Domains[i].Replicas[m.Name] == 0 {
			continue
		}
		members := float64(f.Domains[i].Replicas[m.Name] * m.ServersPerReplica)
		uncovered := 1 / float64((1+staged[m.Name])*(1+staged[m.Name]))
		if risk := members * uncovered / float64(f.replicas(m.Name)); risk > highest {
			best, highest = m.Name, risk
		}
	}
	if best == "" && len(f.Models) > 0 {
		return f.modelsByCapacity()[0].Name
	}
	return best
}
