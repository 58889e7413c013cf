package layout

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// newFleet returns a fleet with the given number of data centres, of domains in each
// and of free servers in each domain.
func newFleet(dataCentres, domains, servers int, models ...Model) *Fleet {
	f := &Fleet{Models: models}
	for dc := range dataCentres {
		for n := range domains {
			f.Domains = append(f.Domains, newDomain(f, fmt.Sprintf("z%d", dc), fmt.Sprintf("z%d-d%d", dc, n), servers))
		}
	}
	return f
}

func newDomain(f *Fleet, dc, id string, servers int) Domain {
	d := Domain{ID: ident.FabricDomain(id), DataCentre: ident.DataCentre(dc), Spares: servers, FreeServers: make(map[ident.Model]int), Replicas: make(map[ident.Model]int)}
	for _, m := range f.Models {
		d.FreeServers[m.Name] = servers
	}
	return d
}

// apply adds the replicas to the fleet.
func (f *Fleet) apply(placements []Placement) {
	sizes := make(map[ident.Model]int)
	for _, m := range f.Models {
		sizes[m.Name] = m.ServersPerReplica
	}
	for _, p := range placements {
		for i := range f.Domains {
			if d := &f.Domains[i]; d.ID == p.Domain {
				d.Replicas[p.Model]++
				d.Spares -= sizes[p.Model]
				for m := range d.FreeServers {
					d.FreeServers[m] -= sizes[p.Model]
				}
			}
		}
	}
}

// TestFirstReplicas guards against a domain whose loss takes most of a model's
// replicas, against servers that stay idle although a replica fits, and against domains of many
// servers without spare ones for those that fail.
func TestFirstReplicas(t *testing.T) {
	big := func(size int, share float64) Model {
		return Model{Name: "big", ServersPerReplica: size, Share: share}
	}
	small := func(size int, share float64) Model {
		return Model{Name: "small", ServersPerReplica: size, Share: share}
	}
	tests := map[string]struct {
		fleet *Fleet
		// replicas has the number of replicas of each model, and inDomain the
		// highest number in one domain.
		replicas, inDomain map[ident.Model]int
		idle               int
	}{
		"a replica of each model in each domain": {
			fleet:    newFleet(3, 2, 11, big(6, 0.67), small(3, 0.33)),
			replicas: map[ident.Model]int{"big": 6, "small": 6}, inDomain: map[ident.Model]int{"big": 1, "small": 1}, idle: 12,
		},
		"domains of one model use more servers": {
			fleet:    newFleet(3, 2, 9, big(4, 0.57), small(3, 0.43)),
			replicas: map[ident.Model]int{"big": 7, "small": 7}, inDomain: map[ident.Model]int{"big": 2, "small": 3}, idle: 5,
		},
		"many domains": {
			fleet:    newFleet(5, 3, 73, big(32, 0.5), small(8, 0.5)),
			replicas: map[ident.Model]int{"big": 15, "small": 67}, inDomain: map[ident.Model]int{"big": 2, "small": 9}, idle: 79,
		},
		"a model that fits no domain": {
			fleet:    newFleet(5, 1, 13, big(16, 0.5), small(4, 0.5)),
			replicas: map[ident.Model]int{"small": 15}, inDomain: map[ident.Model]int{"small": 3}, idle: 5,
		},
		"no servers": {fleet: newFleet(2, 1, 0, big(4, 0.5)), replicas: map[ident.Model]int{}, inDomain: map[ident.Model]int{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			test.fleet.apply(test.fleet.FirstReplicas())
			replicas, inDomain, idle := make(map[ident.Model]int), make(map[ident.Model]int), 0
			for _, d := range test.fleet.Domains {
				for m, n := range d.Replicas {
					replicas[m] += n
					inDomain[m] = max(inDomain[m], n)
				}
				idle += d.FreeServers[test.fleet.Models[0].Name]
			}
			c.Check(replicas, qt.DeepEquals, test.replicas)
			c.Check(inDomain, qt.DeepEquals, test.inDomain)
			c.Check(idle, qt.Equals, test.idle)
		})
	}
}

// TestFirstReplicasOptimum guards against layouts far from the best one, which an
// exhaustive search finds in small fleets, and against layouts that a change of one
// domain improves.
func TestFirstReplicasOptimum(t *testing.T) {
	// minFraction is the least fraction of the best rating.
	const minFraction = 0.9
	rapid.Check(t, func(t *rapid.T) {
		f := &Fleet{}
		for i := range rapid.IntRange(1, 3).Draw(t, "models") {
			f.Models = append(f.Models, Model{
				Name: ident.Model(fmt.Sprintf("m%d", i)), ServersPerReplica: rapid.IntRange(2, 8).Draw(t, "size"), Share: float64(rapid.IntRange(1, 4).Draw(t, "share")),
			})
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "domains") {
			dc := rapid.IntRange(0, 2).Draw(t, "dataCentre")
			f.Domains = append(f.Domains, newDomain(f, fmt.Sprintf("z%d", dc), fmt.Sprintf("d%d", i), rapid.IntRange(0, 16).Draw(t, "servers")))
		}
		s := newSearch(f)
		if len(s.models) == 0 {
			return
		}
		found := planOf(s, f.FirstReplicas())
		got, best := s.rate(found), s.bestRating(nil)
		if got < minFraction*best {
			t.Fatalf("got a layout with rating %v, want at least %v of %v", got, minFraction, best)
		}
		for i, compositions := range s.compositions {
			kept := found[i]
			for _, found[i] = range compositions {
				if changed := s.rate(found); changed > got {
					t.Fatalf("composition %v instead of %v in domain %d raises the rating from %v to %v", found[i].replicas, kept.replicas, i, got, changed)
				}
			}
			found[i] = kept
		}
	})
}

// bestRating returns the highest rating of the plans that begin with the compositions.
func (s *search) bestRating(begin plan) float64 {
	if len(begin) == len(s.domains) {
		return s.rate(begin)
	}
	best := 0.0
	for _, c := range s.compositions[len(begin)] {
		best = max(best, s.bestRating(append(begin[:len(begin):len(begin)], c)))
	}
	return best
}

// planOf returns the plan with the placements.
func planOf(s *search, placements []Placement) plan {
	p := make(plan, len(s.domains))
	for i, d := range s.domains {
		replicas := make([]int, len(s.models))
		for _, placement := range placements {
			for model, m := range s.models {
				if placement == (Placement{m.Name, d.ID}) {
					replicas[model]++
				}
			}
		}
		p[i] = s.newComposition(replicas, d.Spares-memberCount(s.models, replicas))
	}
	return p
}

// TestNextReplica guards against free servers that stay idle because the neediest model
// fits nowhere, and against a replica in a domain that has more of them than another.
func TestNextReplica(t *testing.T) {
	models := []Model{{Name: "big", ServersPerReplica: 4, Share: 0.5}, {Name: "small", ServersPerReplica: 2, Share: 0.5}}
	type counts map[ident.Model]int
	domain := func(id, dc string, free, replicas counts) Domain {
		return Domain{ID: ident.FabricDomain(id), DataCentre: ident.DataCentre(dc), Spares: max(free["big"], free["small"]), FreeServers: free, Replicas: replicas}
	}
	tests := map[string]struct {
		domains []Domain
		want    Placement
		found   bool
	}{
		"the model with the least capacity": {
			domains: []Domain{domain("a", "x", counts{"big": 4, "small": 4}, counts{"big": 2}), domain("b", "y", counts{}, counts{"small": 1})},
			want:    Placement{"small", "a"}, found: true,
		},
		"the neediest model fits nowhere": {
			domains: []Domain{domain("a", "x", counts{"big": 3, "small": 3}, counts{"small": 3})}, want: Placement{"small", "a"}, found: true,
		},
		"the data centre with the fewest replicas": {
			domains: []Domain{domain("a", "x", counts{"small": 8}, counts{}), domain("b", "x", counts{}, counts{"small": 1, "big": 4}), domain("c", "y", counts{"small": 2}, counts{"big": 4})},
			want:    Placement{"small", "c"}, found: true,
		},
		"the domain with the fewest replicas": {
			domains: []Domain{domain("a", "x", counts{"small": 8}, counts{"small": 1, "big": 4}), domain("b", "x", counts{"small": 2}, counts{"big": 4})},
			want:    Placement{"small", "b"}, found: true,
		},
		"no free servers": {domains: []Domain{domain("a", "x", counts{"small": 1}, counts{})}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, found := (&Fleet{Models: models, Domains: test.domains}).NextReplica()
			c.Check(found, qt.Equals, test.found)
			c.Check(got, qt.Equals, test.want)
		})
	}
}

// TestNextStaged guards against spare servers that all stage the weights of one of the
// domain's models, so that the failure of another model's replica lasts for a load from
// the weight store.
func TestNextStaged(t *testing.T) {
	models := []Model{{Name: "big", ServersPerReplica: 6, Share: 0.5}, {Name: "small", ServersPerReplica: 3, Share: 0.5}}
	tests := map[string]struct {
		replicas, staged map[ident.Model]int
		want             ident.Model
	}{
		"most members first":        {replicas: map[ident.Model]int{"big": 1, "small": 1}, want: "big"},
		"then the other model":      {replicas: map[ident.Model]int{"big": 1, "small": 1}, staged: map[ident.Model]int{"big": 1}, want: "small"},
		"only models of the domain": {replicas: map[ident.Model]int{"small": 2}, staged: map[ident.Model]int{"small": 3}, want: "small"},
		"no replicas":               {want: "small"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, 1, 0, models...)
			f.Domains[0].Replicas, f.Domains[1].Replicas = test.replicas, map[ident.Model]int{"big": 2, "small": 2}
			if test.replicas == nil {
				f.Domains[1].Replicas["small"] = 1
			}
			qt.Check(t, f.NextStaged("z0-d0", test.staged), qt.Equals, test.want)
		})
	}
}

// TestIsGain guards against a replica of many servers that waits for one while smaller ones serve
// with more capacity for their share, and against a model that gives up its last capacity.
func TestIsGain(t *testing.T) {
	models := []Model{{Name: "big", ServersPerReplica: 32, Share: 0.5}, {Name: "small", ServersPerReplica: 8, Share: 0.5}}
	fleet := func(big, small, spares int) *Fleet {
		f := &Fleet{Models: models}
		for i := range 5 {
			id := fmt.Sprintf("d%d", i)
			d := newDomain(f, id, id, spares)
			d.Replicas = map[ident.Model]int{"big": big, "small": small}
			f.Domains = append(f.Domains, d)
		}
		return f
	}
	withDemand := func(f *Fleet, big, small unit.Slots) *Fleet {
		f.ApplyDemand(map[ident.Model]unit.Slots{"big": big, "small": small})
		return f
	}
	tests := map[string]struct {
		fleet  *Fleet
		change Change
		want   bool
	}{
		"nobody asks for the big model":            {withDemand(fleet(1, 5, 0), 1, 1000), Change{Domain: "d0", Added: "big", Released: "small", Spares: 7}, false},
		"the big model is in demand":               {withDemand(fleet(1, 5, 0), 100, 1), Change{Domain: "d0", Added: "big", Released: "small", Spares: 7}, true},
		"a small replica completes a big one":      {fleet(1, 5, 0), Change{Domain: "d0", Added: "big", Released: "small", Spares: 7}, true},
		"the small model has too little capacity":  {fleet(1, 1, 0), Change{Domain: "d0", Added: "big", Released: "small", Spares: 7}, false},
		"a big replica doesn't complete small one": {fleet(1, 4, 0), Change{Domain: "d0", Added: "small", Released: "big", Spares: 31}, false},
		"the last spare servers stay spare":        {fleet(1, 4, 9), Change{Domain: "d0", Added: "small", Spares: -8}, false},
		"more spare servers than may be needed":    {fleet(1, 4, 25), Change{Domain: "d0", Added: "small", Spares: -8}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, test.fleet.IsGain(test.change), qt.Equals, test.want)
		})
	}
}
