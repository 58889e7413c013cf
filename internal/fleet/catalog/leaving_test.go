package catalog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// TestSetLeaving guards against a server that is used again although it is leaving: by an old
// registration, by one that it writes again, or after it was removed and listed again. It also
// guards against a restarted server that is not used.
func TestSetLeaving(t *testing.T) {
	server := func(incarnation unit.Incarnation, draining bool) *cluster.Server {
		return &cluster.Server{ID: "a", Service: ledger, Address: "a", DataCentre: "z", Incarnation: incarnation, Draining: draining}
	}
	register := func(s *cluster.Server) func(*Catalog) {
		return func(cat *Catalog) { cat.Apply(Update{Servers: []*cluster.Server{s}}) }
	}
	answer := func(s *cluster.Server) func(*Catalog) { return func(cat *Catalog) { cat.SetLeaving(s) } }
	remove := func(cat *Catalog) { cat.Apply(Update{Removed: []ident.Instance{"a"}}) }
	tests := map[string]struct {
		steps []func(*Catalog)
		want  int
	}{
		"ready":                               {steps: []func(*Catalog){register(server(7, false))}, want: 1},
		"answer":                              {steps: []func(*Catalog){register(server(7, false)), answer(server(7, false))}},
		"answer, registered again":            {steps: []func(*Catalog){register(server(7, false)), answer(server(7, false)), register(server(7, false))}},
		"answer, removed and listed again":    {steps: []func(*Catalog){register(server(7, false)), answer(server(7, false)), remove, register(server(7, false))}},
		"answer after it was removed":         {steps: []func(*Catalog){register(server(7, false)), remove, answer(server(7, false)), register(server(7, false))}},
		"registration, older one in a copy":   {steps: []func(*Catalog){register(server(7, true)), register(server(7, false))}},
		"registration, removed, older one":    {steps: []func(*Catalog){register(server(7, true)), remove, register(server(7, false))}},
		"answer, restarted":                   {steps: []func(*Catalog){register(server(7, false)), answer(server(7, false)), register(server(8, false))}, want: 1},
		"late answer of the last incarnation": {steps: []func(*Catalog){register(server(8, false)), answer(server(7, false))}, want: 1},
		"start unknown":                       {steps: []func(*Catalog){register(server(0, true)), register(server(0, false))}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cat := New(clockwork.NewFakeClock())
			cat.Apply(Update{Config: newConfig(1)})
			for _, step := range test.steps {
				step(cat)
			}
			qt.Check(t, cat.Current().PlainEndpoints(ledger), qt.HasLen, test.want)
		})
	}
}

// TestLeavingLifetime guards against a list of servers that have left which grows without end.
func TestLeavingLifetime(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	cat := New(clk)
	for i := range 100 {
		cat.SetLeaving(&cluster.Server{ID: "a", Incarnation: unit.Incarnation(i + 1)})
		clk.Advance(time.Minute)
	}
	c.Check(len(cat.leaving) <= 11, qt.IsTrue, qt.Commentf("%d incarnations", len(cat.leaving)))
}
