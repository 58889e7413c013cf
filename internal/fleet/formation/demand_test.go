package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// fakeDemand is a demand by service.
type fakeDemand map[ident.Service]map[ident.Model]unit.Slots

func (f fakeDemand) OfferedLoad(_ time.Time, service ident.Service) (map[ident.Model]unit.Slots, bool) {
	demand, known := f[service]
	return demand, known
}

// TestOfferedLoad guards against an unknown demand that counts as none, and against a daemon without
// a plug-in that measures the demand that doesn't plan. A planner that gets no requests itself must not
// take the load of other daemons for the time before the first request.
func TestOfferedLoad(t *testing.T) {
	tests := map[string]struct {
		source   demandSource
		want     Demand
		wantLoad bool
	}{
		"no plug-in": {},
		"unknown":    {source: fakeDemand{}, want: Demand{}},
		"no load":    {source: fakeDemand{"llm": {"large": 0}}, want: Demand{"llm": {"large": 0}}},
		"known":      {source: fakeDemand{"llm": {"large": 3}}, want: Demand{"llm": {"large": 3}}, wantLoad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(1, 4, testModels()...)
			control := &controller{demand: test.source}
			got := control.offeredLoad(tc.snapshot(), tc.now)
			qt.Check(t, got, qt.DeepEquals, test.want)
			qt.Check(t, got.hasLoad(), qt.Equals, test.wantLoad)
		})
	}
}

// TestConversionMetrics guards against conversions that an operator can't see.
func TestConversionMetrics(t *testing.T) {
	c := qt.New(t)
	tc, p := newUnevenCluster(c, 0.5)
	reporter, registry := newConversionReporter(), prometheus.NewRegistry()
	c.Assert(reporter.register(registry), qt.IsNil)
	tc.demand = demandFor(0.73)
	for range int(10 * time.Second / stepInterval) {
		tc.step(p, false)
		reporter.report(p, tc.now)
	}
	c.Check(gather(c, registry), qt.DeepEquals, map[string]float64{
		"cuminbay_formation_conversions_total m0 begun m1":     4,
		"cuminbay_formation_conversions_total m0 converted m1": 4,
		"cuminbay_formation_demand_slots m0":                   float64(tc.demand["m0"]),
		"cuminbay_formation_demand_slots m1":                   float64(tc.demand["m1"]),
		"cuminbay_formation_capacity_slots m0":                 5 * 34,
		"cuminbay_formation_capacity_slots m1":                 26 * 34,
	})
	reporter.reset()
	c.Check(gather(c, registry), qt.HasLen, 2)
}

// gather returns the values of the metrics by name and labels.
func gather(c *qt.C, registry *prometheus.Registry) map[string]float64 {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	values := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			key := f.GetName()
			for _, label := range m.GetLabel() {
				key += " " + label.GetValue()
			}
			values[key] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return values
}

// TestNeedsCapacity guards against replicas that are converted for a model whose slots are mostly
// free, and against a model that gets none before its slots are full.
func TestNeedsCapacity(t *testing.T) {
	tests := map[string]struct {
		demand unit.Slots
		want   bool
	}{
		"few slots used":           {demand: 0.2 * 18 * 34},
		"full in a burst of twice": {demand: 0.5 * 18 * 34, want: true},
		"no demand":                {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc, p := newUnevenCluster(c, 0)
			p.Demand = Demand{"llm": {"m1": test.demand}}
			c.Check(p.needsCapacity(tc.config.Services["llm"], "m1"), qt.Equals, test.want)
		})
	}
}
