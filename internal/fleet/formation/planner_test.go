package formation

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

func testOptions() Options {
	return Options{RetryInterval: 700 * time.Millisecond, GrowthWindow: 200 * time.Millisecond, CloseTimeout: 3 * time.Second}
}

// large and small are the models of the tests.
func testModels() []cluster.Model {
	return []cluster.Model{
		{Name: "large", ServersPerReplica: 4, InitialShare: 0.57, TimeFactor: 1, LoadTime: loadTime, StagedLoadTime: warmTime},
		{Name: "small", ServersPerReplica: 3, InitialShare: 0.43, TimeFactor: 1, LoadTime: loadTime, StagedLoadTime: warmTime},
	}
}

// newServingCluster returns a world of six domains in which every replica serves.
func newServingCluster(c *qt.C) (*testCluster, *Planner) {
	w := newTestCluster(6, 9, testModels()...)
	return w, runFirstStart(c, w, map[ident.Model]int{"large": 7, "small": 7})
}

// runFirstStart returns a planner after the first start of the world, in which the
// replicas serve.
func runFirstStart(c *qt.C, w *testCluster, serving map[ident.Model]int) *Planner {
	p := NewPlanner(testOptions(), 10, w.now)
	for range 80 {
		w.step(p, true)
	}
	c.Assert(w.servingReplicas(), qt.DeepEquals, serving)
	c.Assert(w.violations, qt.HasLen, 0)
	return p
}

// failServer kills a machine and tells the planner, as a probe does.
func failServer(w *testCluster, p *Planner, id ident.Instance) {
	m := w.servers[id]
	m.failed = true
	s := m.Server
	p.MarkUnreachable(&s)
}

// nthReplicaMembers returns the members of the replica of the model whose name is lowest.
func nthReplicaMembers(p *Planner, model ident.Model, nth int) []ident.Instance {
	for _, r := range p.sortedReplicas(p.snapshot.Config.Services["llm"]) {
		if r.model.Name != model {
			continue
		}
		if nth == 0 {
			return r.members
		}
		nth--
	}
	return nil
}

// replicasOfOneDomain returns replicas of the model in one fabric domain.
func replicasOfOneDomain(p *Planner, model ident.Model) []*replica {
	byDomain := make(map[ident.FabricDomain][]*replica)
	for _, r := range p.sortedReplicas(p.snapshot.Config.Services["llm"]) {
		if r.model.Name != model {
			continue
		}
		byDomain[r.domain] = append(byDomain[r.domain], r)
		if len(byDomain[r.domain]) == 2 {
			return byDomain[r.domain]
		}
	}
	return nil
}

// TestRepair guards against replicas that stay broken though the servers to make
// them whole are there, and against the time that this takes.
func TestRepair(t *testing.T) {
	tests := map[string]struct {
		fault func(w *testCluster, p *Planner)
		// timeLimit is the time in which the counts are reached.
		timeLimit time.Duration
		large     int
		small     int
	}{
		"a member dies and a spare server takes its place": {
			fault:     func(w *testCluster, p *Planner) { failServer(w, p, nthReplicaMembers(p, "large", 0)[2]) },
			timeLimit: 2300 * time.Millisecond, large: 7, small: 7,
		},
		"a head dies": {
			fault:     func(w *testCluster, p *Planner) { failServer(w, p, nthReplicaMembers(p, "large", 0)[0]) },
			timeLimit: 2300 * time.Millisecond, large: 7, small: 7,
		},
		"two broken replicas of a domain make a whole one": {
			fault: func(w *testCluster, p *Planner) {
				pair := replicasOfOneDomain(p, "small")
				failServer(w, p, pair[0].members[1])
				failServer(w, p, pair[1].members[1])
			},
			timeLimit: time.Second, large: 7, small: 6,
		},
		"a head finds a member missing that answers": {
			fault: func(w *testCluster, p *Planner) {
				w.servers[nthReplicaMembers(p, "large", 0)[0]].Membership.State = cluster.Broken
			},
			timeLimit: time.Second, large: 7, small: 7,
		},
		"a member comes back and knows nothing": {
			fault:     func(w *testCluster, p *Planner) { w.restart(nthReplicaMembers(p, "small", 0)[1]) },
			timeLimit: 2300 * time.Millisecond, large: 7, small: 7,
		},
		"a member drains": {
			fault:     func(w *testCluster, p *Planner) { w.servers[nthReplicaMembers(p, "large", 0)[2]].Draining = true },
			timeLimit: 2500 * time.Millisecond, large: 7, small: 7,
		},
		"a whole domain dies": {
			fault: func(w *testCluster, p *Planner) {
				for id, m := range w.servers {
					if m.Domain == "d0" {
						failServer(w, p, id)
					}
				}
			},
			timeLimit: time.Second, large: 5, small: 7,
		},
		"a whole domain comes back": {
			fault: func(w *testCluster, _ *Planner) {
				for id, m := range w.servers {
					if m.Domain == "d0" {
						w.restart(id)
					}
				}
			},
			timeLimit: 2300 * time.Millisecond, large: 7, small: 7,
		},
		"a server is lost that nobody needs": {
			fault: func(w *testCluster, p *Planner) {
				for id, m := range w.servers {
					if m.Membership == nil {
						failServer(w, p, id)
						return
					}
				}
			},
			timeLimit: time.Second, large: 7, small: 7,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w, p := newServingCluster(c)
			test.fault(w, p)
			want := map[ident.Model]int{"large": test.large, "small": test.small}
			for left := test.timeLimit; left > 0; left -= stepInterval {
				w.step(p, false)
			}
			c.Check(w.servingReplicas(), qt.DeepEquals, want)
			c.Check(w.violations, qt.HasLen, 0)
		})
	}
}

// TestFormsElsewhere guards against servers that have the weights and stay spare,
// since another domain would be the better place but has none with the weights.
func TestFormsElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newTestCluster(1, 3, testModels()[1])
	p := runFirstStart(c, w, map[ident.Model]int{"small": 1})
	for i := range 3 {
		w.add(fmt.Sprintf("d0-new%d", i), "d0")
		w.add(fmt.Sprintf("d1-%02d", i), "d1").StagedModels = []ident.Model{"small"}
	}
	for range 60 {
		w.step(p, false)
	}
	c.Check(w.servingReplicas(), qt.DeepEquals, map[ident.Model]int{"small": 2})
	c.Check(w.violations, qt.HasLen, 0)
}

// TestOutOfService guards against loads of weights for a data centre that is out of
// service, while one in service waits for them.
func TestOutOfService(t *testing.T) {
	c := qt.New(t)
	w := newTestCluster(2, 3, testModels()[1])
	p := runFirstStart(c, w, map[ident.Model]int{"small": 2})
	w.drainedDataCentre = "z0"
	for i := range 6 {
		w.add(fmt.Sprintf("d0-new%d", i), "d0")
	}
	for range 30 {
		w.step(p, false)
	}
	w.add("d1-new", "d1")
	for range 30 {
		w.step(p, false)
	}
	for id, m := range w.servers {
		c.Check(m.staging != "", qt.Equals, id == "d1-new", qt.Commentf("%s", id))
	}
	w.drainedDataCentre = ""
	for range 30 {
		w.step(p, false)
	}
	c.Check(w.servers["d0-new0"].staging, qt.Equals, ident.Model("small"), qt.Commentf("back in service"))
}

// TestTenure guards against a new planner that takes apart what serves, and
// against an epoch that two tenures use.
func TestTenure(t *testing.T) {
	c := qt.New(t)
	w, _ := newServingCluster(c)
	before := w.servingReplicas()
	next := NewPlanner(testOptions(), 11, w.now)
	for range 40 {
		w.step(next, false)
		c.Assert(w.servingReplicas(), qt.DeepEquals, before)
	}
	failServer(w, next, nthReplicaMembers(next, "large", 0)[1])
	for range 50 {
		w.step(next, false)
	}
	c.Check(w.servingReplicas(), qt.DeepEquals, before)
	c.Check(w.violations, qt.HasLen, 0)
}

// TestOldPlanner guards against the orders of a planner that was replaced while
// it was paused.
func TestOldPlanner(t *testing.T) {
	c := qt.New(t)
	w, old := newServingCluster(c)
	next := NewPlanner(testOptions(), 11, w.now)
	failServer(w, next, nthReplicaMembers(old, "large", 0)[1])
	for range 60 {
		w.step(next, false)
	}
	before := w.servingReplicas()
	for _, command := range old.Step(w.now, w.snapshot(), false) {
		c.Check(command.Order.FencingToken, qt.Equals, unit.Revision(10))
		if w.servers[command.Server.ID].fencingToken == 11 {
			c.Check(w.execute(command.Server.ID, &command.Order, false), qt.Equals, cluster.Fenced)
		}
	}
	c.Check(w.servingReplicas(), qt.DeepEquals, before)
}

// TestLoadsPaced guards against more loads than the weight store bears.
func TestLoadsPaced(t *testing.T) {
	c := qt.New(t)
	w := newTestCluster(6, 9, testModels()...)
	p := NewPlanner(testOptions(), 10, w.now)
	var starts []time.Time
	for range 2400 {
		loading := make(map[ident.Instance]ident.Model)
		for id, m := range w.servers {
			loading[id] = m.staging
		}
		w.step(p, false)
		for id, m := range w.servers {
			if m.staging != "" && loading[id] == "" {
				starts = append(starts, w.now)
			}
		}
	}
	c.Check(len(starts) > 40, qt.IsTrue, qt.Commentf("%d loads", len(starts)))
	for i, from := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at.Sub(from) < 5*time.Second {
				n++
			}
		}
		c.Assert(float64(n) <= 4.5*5*1.1+3, qt.IsTrue)
	}
	c.Check(w.violations, qt.HasLen, 0)
}

// TestFaults guards against a partial replica that serves, a server in two
// replicas, an epoch with two lists, and replicas that are not whole again once
// faults end: with members that die, restart, leave and come, orders that are
// lost or carried out late, and planners that follow each other.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster(3, 9, testModels()...)
		token := unit.Revision(10)
		p := NewPlanner(testOptions(), token, w.now)
		for range 80 {
			w.step(p, true)
		}
		ids := make([]ident.Instance, 0, len(w.servers))
		for d := range 3 {
			for i := range 9 {
				ids = append(ids, ident.Instance("d"+string(rune('0'+d))+"-0"+string(rune('0'+i))))
			}
		}
		w.orderFault = func() (bool, bool) {
			n := rapid.IntRange(0, 9).Draw(t, "order")
			return n == 0, n == 1
		}
		for range rapid.IntRange(5, 25).Draw(t, "faults") {
			id := rapid.SampledFrom(ids).Draw(t, "machine")
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				failServer(w, p, id)
			case 1:
				w.restart(id)
			case 2:
				w.servers[id].Draining = true
			case 3:
				token++
				p = NewPlanner(testOptions(), token, w.now)
				for _, m := range w.servers {
					if m.failed {
						s := m.Server
						p.MarkUnreachable(&s)
					}
				}
			case 4:
				if m := w.servers[id].Membership; m != nil && m.Rank == 0 && m.State == cluster.Open {
					m.State = cluster.Broken
				}
			}
			for range rapid.IntRange(0, 40).Draw(t, "steps") {
				w.step(p, false)
			}
		}
		w.orderFault = nil
		for _, id := range ids {
			w.restart(id)
		}
		for range 700 {
			w.step(p, false)
		}
		if len(w.violations) > 0 {
			t.Fatalf("broken: %v", w.violations)
		}
		count := w.servingReplicas()
		if servers := 4*count["large"] + 3*count["small"]; servers < 18 {
			t.Fatalf("%v serve a minute after the last fault", count)
		}
	})
}

func BenchmarkStep296(b *testing.B) {
	models := testModels()
	models[0].ServersPerReplica, models[1].ServersPerReplica = 16, 4
	w := newTestCluster(8, 37, models...)
	p := NewPlanner(testOptions(), 10, w.now)
	for range 80 {
		w.step(p, true)
	}
	snapshot := w.snapshot()
	b.ReportAllocs()
	for b.Loop() {
		p.Step(w.now, snapshot, false)
	}
}
