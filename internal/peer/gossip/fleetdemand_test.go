package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/demand"
)

// useMeters gives the daemons real meters of demand.
func (f *testFleet) useMeters(c *qt.C) []*demand.Meter {
	var meters []*demand.Meter
	for _, g := range f.daemons {
		telemetry, err := demand.NewTelemetry(prometheus.NewRegistry())
		c.Assert(err, qt.IsNil)
		m := demand.New(demand.Options{
			Clock: f.clock, Log: zerolog.Nop(), Self: g.Self, DataCentre: g.DataCentre, Catalog: g.Catalog, Daemons: g, Telemetry: telemetry,
		})
		m.Sample()
		g.Demand = m
		meters = append(meters, m)
	}
	return meters
}

// TestDemandReachesFleet guards against datagrams too rare for the daemons to know the demand of
// the fleet, or that requests of a priority wait somewhere, while some datagrams are lost.
func TestDemandReachesFleet(t *testing.T) {
	const perDaemon unit.Slots = 2
	tests := map[string]struct {
		dataCentres, perDataCentre int
		loss                       float64
	}{
		"four daemons":          {dataCentres: 2, perDataCentre: 2},
		"63 in three, 20% lost": {dataCentres: 3, perDataCentre: 21, loss: 0.2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestFleet(test.dataCentres, test.perDataCentre, 20)
			f.loss = test.loss
			meters := f.useMeters(c)
			for step := range 28 {
				for _, m := range meters {
					m.RecordArrival("llm", "m", time.Duration(float64(perDaemon)*float64(demand.SampleInterval)))
				}
				f.run(demand.SampleInterval)
				for _, m := range meters {
					m.Sample()
					if step%4 == 3 {
						m.Observe()
					}
				}
			}
			want := perDaemon * unit.Slots(len(meters))
			lowestHeard := len(meters)
			for _, m := range meters {
				loads, ok := m.OfferedLoad(f.clock.Now(), "llm")
				c.Check(ok, qt.IsTrue)
				c.Check(loads["m"] > want*0.98 && loads["m"] < want*1.02, qt.IsTrue, qt.Commentf("%v instead of %v", loads, want))
				d := m.Demand(f.clock.Now(), "llm")
				lowestHeard = min(lowestHeard, d.Heard)
			}
			c.Check(float64(lowestHeard) > 0.95*float64(len(meters)), qt.IsTrue, qt.Commentf("%d of %d daemons heard", lowestHeard, len(meters)))
			meters[0].RecordRefusal("llm", "m", 0, time.Second)
			f.run(600 * time.Millisecond)
			for i, m := range meters {
				_, recent := m.Contended("llm", "m")
				c.Check(recent, qt.IsTrue, qt.Commentf("daemon %d", i))
			}
			f.run(2 * time.Second)
			for i, m := range meters {
				_, recent := m.Contended("llm", "m")
				c.Check(recent, qt.IsFalse, qt.Commentf("daemon %d", i))
			}
		})
	}
}
