package layout

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// newServingFleet returns a fleet of nine domains in three data centres, each with the numbers of
// replicas of a model of eight and one of four servers, and with spare servers.
func newServingFleet(big, small, spares int) *Fleet {
	f := &Fleet{Models: []Model{{Name: "big", ServersPerReplica: 8, Share: 0.5}, {Name: "small", ServersPerReplica: 4, Share: 0.5}}}
	for i := range 9 {
		d := newDomain(f, fmt.Sprintf("z%d", i%3), fmt.Sprintf("d%d", i), spares)
		d.Replicas = map[ident.Model]int{"big": big, "small": small}
		f.Domains = append(f.Domains, d)
	}
	return f
}

// TestApplyDemand guards against a model that loses its last replicas as nobody asks for it, and
// against shares of a demand that isn't known.
func TestApplyDemand(t *testing.T) {
	tests := map[string]struct {
		demand          map[ident.Model]unit.Slots
		wantBig, wantSm float64
	}{
		"unknown":               {nil, 0.5, 0.5},
		"no requests":           {map[ident.Model]unit.Slots{"big": 0, "small": 0}, 0.5, 0.5},
		"servers asked for":     {map[ident.Model]unit.Slots{"big": 10, "small": 60}, 0.25, 0.75},
		"no demand for a model": {map[ident.Model]unit.Slots{"small": 60}, 16.0 / 171, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newServingFleet(1, 2, 3)
			configured := f.Models
			f.ApplyDemand(test.demand)
			c.Check(f.Models[0].Share, qt.Equals, test.wantBig)
			c.Check(f.Models[1].Share, qt.Equals, test.wantSm)
			c.Check(configured[0].Share, qt.Equals, 0.5)
		})
	}
}

// TestNextConversion guards against conversions without a gain, against a model that loses its
// replicas in one of two data centres, and against fleets so large that no single conversion is a
// gain of 5%.
func TestNextConversion(t *testing.T) {
	few := newServingFleet(0, 4, 3)
	few.Domains[0].Replicas, few.Domains[1].Replicas = map[ident.Model]int{"big": 1, "small": 2}, map[ident.Model]int{"big": 1, "small": 2}
	large := newServingFleet(4, 8, 3)
	one := newServingFleet(0, 4, 3)
	one.Domains[0].Replicas = map[ident.Model]int{"big": 1, "small": 2}
	tests := map[string]struct {
		fleet        *Fleet
		big, small   unit.Slots
		loads        map[ident.FabricDomain]int
		want         Conversion
		wantNotFound bool
	}{
		"demand as the layout": {fleet: newServingFleet(1, 2, 3), big: 50, small: 100, wantNotFound: true},
		"less than 5%":         {fleet: newServingFleet(1, 2, 3), big: 50, small: 104, wantNotFound: true},
		"smaller model in demand": {
			fleet: newServingFleet(1, 2, 3), big: 27, small: 146, want: Conversion{Domain: "d0", From: "big", To: "small", Released: 1, Added: 2},
		},
		"larger model in demand": {
			fleet: newServingFleet(1, 2, 3), big: 73, small: 54, want: Conversion{Domain: "d0", From: "small", To: "big", Released: 2, Added: 1},
		},
		"fewest loads": {
			fleet: newServingFleet(1, 2, 3), big: 27, small: 146, loads: map[ident.FabricDomain]int{"d4": -8},
			want: Conversion{Domain: "d4", From: "big", To: "small", Released: 1, Added: 2},
		},
		"large fleet": {
			fleet: large, big: 40, small: 120, want: Conversion{Domain: "d0", From: "big", To: "small", Released: 1, Added: 2},
		},
		"two replicas in two data centres": {fleet: few, big: 0, small: 200, wantNotFound: true},
		"a replica in a second data centre": {
			fleet: one, big: 0, small: 200, want: Conversion{Domain: "d1", From: "small", To: "big", Released: 2, Added: 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			test.fleet.ApplyDemand(map[ident.Model]unit.Slots{"big": test.big, "small": test.small})
			got, found := test.fleet.NextConversion(MinGain, func(c *Conversion) (int, bool) {
				return c.Added + test.loads[c.Domain], c.From != ""
			})
			c.Check(found, qt.Equals, !test.wantNotFound)
			c.Check(got, qt.Equals, test.want)
		})
	}
}

// TestConversionBounds guards against conversions that take more than a third of a model's replicas,
// and against domains without spare servers for repairs.
func TestConversionBounds(t *testing.T) {
	tests := map[string]struct {
		fleet *Fleet
		// wantReleased is the highest number of replicas that a conversion gives up, and wantSpares the
		// lowest number of spare servers that one which uses some leaves.
		wantReleased map[ident.Model]int
		wantSpares   int
	}{
		"many replicas":  {newServingFleet(1, 2, 9), map[ident.Model]int{"big": 1, "small": 2}, 1},
		"few replicas":   {&Fleet{Models: newServingFleet(0, 0, 0).Models, Domains: newServingFleet(1, 2, 5).Domains[:2]}, map[ident.Model]int{"small": 1}, 1},
		"no spares left": {newServingFleet(1, 2, 4), map[ident.Model]int{"big": 1, "small": 2}, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			released, fewest := make(map[ident.Model]int), test.fleet.Domains[0].Spares
			for _, conversion := range test.fleet.conversions() {
				if conversion.From != "" {
					released[conversion.From] = max(released[conversion.From], conversion.Released)
				}
				fewest = min(fewest, test.fleet.Domains[0].Spares+conversion.Spares)
			}
			c.Check(released, qt.DeepEquals, test.wantReleased)
			c.Check(fewest, qt.Equals, test.wantSpares)
		})
	}
}

// TestPreparedConversions guards against domains of which all spare servers and members have the
// weights of one model, and against more replicas that are prepared than the share.
func TestPreparedConversions(t *testing.T) {
	tests := map[string]struct {
		share               float64
		wantBig, wantSmall  int
		wantInOneDataCentre int
	}{
		"none":  {0, 0, 0, 0},
		"third": {0.34, 3, 6, 1},
		"half":  {0.5, 4, 8, 2},
		"all":   {1, 5, 8, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newServingFleet(1, 2, 3)
			released, domains, inDataCentre := make(map[ident.Model]int), make(map[ident.FabricDomain]bool), make(map[string]int)
			highest := 0
			for _, conversion := range f.PreparedConversions(test.share) {
				c.Check(domains[conversion.Domain], qt.IsFalse)
				domains[conversion.Domain] = true
				released[conversion.From] += conversion.Released
				for _, d := range f.Domains {
					if d.ID == conversion.Domain {
						key := string(d.DataCentre) + string(conversion.From)
						inDataCentre[key]++
						highest = max(highest, inDataCentre[key])
					}
				}
			}
			c.Check(released["big"], qt.Equals, test.wantBig)
			c.Check(released["small"], qt.Equals, test.wantSmall)
			c.Check(highest, qt.Equals, test.wantInOneDataCentre)
		})
	}
}
