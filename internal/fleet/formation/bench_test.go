package formation

import (
	"testing"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// BenchmarkStep296 measures a step of the planner with 296 servers in 8
// domains, without a demand and with one that raises no conversion. The clock
// advances by the shortest time between two rounds.
func BenchmarkStep296(b *testing.B) {
	const round = 10 * time.Millisecond
	tests := map[string]map[ident.Model]unit.Slots{
		"configured shares": nil,
		"demand":            {"large": 57.0 / 16, "small": 43.0 / 4},
	}
	for name, demand := range tests {
		b.Run(name, func(b *testing.B) {
			models := testModels()
			models[0].ServersPerReplica, models[1].ServersPerReplica = 16, 4
			tc := newTestCluster(8, 37, models...)
			p := NewPlanner(testOptions(), 10, tc.now)
			for range 80 {
				tc.step(p, true)
			}
			if demand != nil {
				p.Demand = Demand{"llm": demand}
			}
			snapshot, now := tc.snapshot(), tc.now
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(round)
				p.Step(now, snapshot, false)
			}
		})
	}
}
