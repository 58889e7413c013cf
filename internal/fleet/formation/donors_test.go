package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// newWideCluster returns a cluster with one replica of ten servers and three of two in each domain,
// and one spare server.
func newWideCluster(c *qt.C) (*testCluster, *Planner) {
	models := []cluster.Model{
		{Name: "large", ServersPerReplica: 10, InitialShare: 0.6, TimeFactor: 1, LoadTime: loadTime, StagedLoadTime: stagedLoadTime},
		{Name: "small", ServersPerReplica: 2, InitialShare: 0.4, TimeFactor: 1, LoadTime: loadTime, StagedLoadTime: stagedLoadTime},
	}
	tc := newTestCluster(3, 17, models...)
	return tc, runFirstStart(c, tc, map[ident.Model]int{"large": 3, "small": 9})
}

// TestReleaseSmaller guards against a replica of many servers that stays incomplete while its
// domain serves smaller ones, and against smaller ones that are given up for servers that return
// or for no gain.
func TestReleaseSmaller(t *testing.T) {
	removeMembers := func(tc *testCluster, p *Planner, model ident.Model, count int) {
		for _, id := range nthReplicaMembers(p, model, 0)[:count] {
			delete(tc.servers, id)
		}
	}
	tests := map[string]struct {
		fault                func(tc *testCluster, p *Planner)
		wantLarge, wantSmall int
	}{
		"more members lost than there are spare servers": {
			fault: func(tc *testCluster, p *Planner) { removeMembers(tc, p, "large", 3) }, wantLarge: 3, wantSmall: 8,
		},
		"too many members lost for one smaller replica": {
			fault: func(tc *testCluster, p *Planner) { removeMembers(tc, p, "large", 5) }, wantLarge: 2, wantSmall: 9,
		},
		"lost members may return": {
			fault: func(tc *testCluster, p *Planner) {
				for _, id := range nthReplicaMembers(p, "large", 0)[:3] {
					failServer(tc, p, id)
				}
			}, wantLarge: 2, wantSmall: 9,
		},
		"a smaller replica lost all members": {
			fault: func(tc *testCluster, p *Planner) { removeMembers(tc, p, "small", 2) }, wantLarge: 3, wantSmall: 8,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc, p := newWideCluster(c)
			test.fault(tc, p)
			for range int((loadTime + 8*time.Second) / stepInterval) {
				tc.step(p, false)
			}
			c.Check(tc.servingReplicas(), qt.DeepEquals, map[ident.Model]int{"large": test.wantLarge, "small": test.wantSmall})
			c.Check(tc.violations, qt.HasLen, 0)
		})
	}
}
