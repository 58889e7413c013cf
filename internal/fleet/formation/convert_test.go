package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// newUnevenCluster returns a cluster of nine domains with two models of equal shares that serve.
func newUnevenCluster(c *qt.C) (*testCluster, *Planner) {
	models := []cluster.Model{
		{Name: "m0", ServersPerReplica: 8, InitialShare: 0.5, TimeFactor: 1, LoadTime: loadTime, StagedLoadTime: stagedLoadTime},
		{Name: "m1", ServersPerReplica: 4, InitialShare: 0.5, TimeFactor: 0.6, LoadTime: loadTime, StagedLoadTime: stagedLoadTime},
	}
	tc := newTestCluster(9, 19, models...)
	engine := tc.config.Services["llm"].Engine
	engine.Slots, engine.MaxConcurrentLoads, engine.MaxLoadsPerSecond = 34, 21, 14
	return tc, runFirstStart(c, tc, map[ident.Model]int{"m0": 9, "m1": 18})
}

// demandFor returns a demand with the share of the servers for m1.
func demandFor(share float64) map[ident.Model]unit.Slots {
	const servers = 800
	return map[ident.Model]unit.Slots{"m0": unit.Slots(servers * (1 - share) / 8), "m1": unit.Slots(servers * share / 4)}
}

// lowestServing is the least number of serving replicas of each model.
type lowestServing map[ident.Model]int

// runSteps runs the planner for the time and records the lowest capacities.
func (l lowestServing) runSteps(tc *testCluster, p *Planner, d time.Duration) {
	for range int(d / stepInterval) {
		tc.step(p, false)
		serving := tc.servingReplicas()
		for _, m := range []ident.Model{"m0", "m1"} {
			if n, known := l[m]; !known || serving[m] < n {
				l[m] = serving[m]
			}
		}
	}
}

// TestDemandShifts guards against a layout that keeps the configured shares although the demand has
// others, against conversions for a demand that changes for a moment, and against conversions that
// take more than a third of a model's replicas away at once.
func TestDemandShifts(t *testing.T) {
	type change struct {
		share float64
		time  time.Duration
	}
	tests := map[string]struct {
		demand         []change
		wantM0, wantM1 int
		// lowestM0 and lowestM1 are the least numbers of replicas that serve at any time.
		lowestM0, lowestM1 int
	}{
		"demand as configured":               {[]change{{0.5, 60 * time.Second}}, 9, 18, 9, 18},
		"demand shifts":                      {[]change{{0.73, 60 * time.Second}}, 5, 26, 5, 18},
		"demand shifts further":              {[]change{{0.98, 120 * time.Second}}, 3, 30, 3, 18},
		"demand shifts to the larger model":  {[]change{{0.27, 60 * time.Second}}, 13, 10, 9, 10},
		"a burst of 3 s":                     {[]change{{0.5, 20 * time.Second}, {0.63, 3 * time.Second}, {0.5, 40 * time.Second}}, 9, 18, 9, 18},
		"demand turns back during the loads": {[]change{{0.73, 10 * time.Second}, {0.5, 40 * time.Second}}, 9, 18, 9, 18},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc, p := newUnevenCluster(c)
			tc.strictLeave = true
			lowest := make(lowestServing)
			for _, d := range test.demand {
				tc.demand = demandFor(d.share)
				lowest.runSteps(tc, p, d.time)
			}
			c.Check(tc.servingReplicas(), qt.DeepEquals, map[ident.Model]int{"m0": test.wantM0, "m1": test.wantM1})
			c.Check(lowest, qt.DeepEquals, lowestServing{"m0": test.lowestM0, "m1": test.lowestM1})
			c.Check(tc.violations, qt.HasLen, 0)
		})
	}
}
