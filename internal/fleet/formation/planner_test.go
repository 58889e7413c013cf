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

func testRules() Rules {
	return Rules{Retry: 700 * time.Millisecond, Gather: 200 * time.Millisecond, CloseLimit: 3 * time.Second}
}

// large and small are the models of the tests.
func testModels() []cluster.Model {
	return []cluster.Model{
		{Name: "large", ServersPerReplica: 4, InitialShare: 0.57, TimeFactor: 1, LoadTime: loadTime, StagedLoadTime: warmTime},
		{Name: "small", ServersPerReplica: 3, InitialShare: 0.43, TimeFactor: 1, LoadTime: loadTime, StagedLoadTime: warmTime},
	}
}

// started returns a world of six domains in which every replica serves.
func started(c *qt.C) (*world, *Planner) {
	w := newWorld(6, 9, testModels()...)
	return w, start(c, w, map[ident.Model]int{"large": 7, "small": 7})
}

// start returns a planner after the first start of the world, in which the
// replicas serve.
func start(c *qt.C, w *world, serving map[ident.Model]int) *Planner {
	p := New(testRules(), 10, w.now)
	for range 80 {
		w.step(p, true)
	}
	c.Assert(w.serving(), qt.DeepEquals, serving)
	c.Assert(w.broken, qt.HasLen, 0)
	return p
}

// die kills a machine and tells the planner, as a probe does.
func die(w *world, p *Planner, id ident.Instance) {
	m := w.machines[id]
	m.dead = true
	s := m.Server
	p.Dead(&s)
}

// members returns the members of the replica of the model whose name is lowest.
func members(p *Planner, model ident.Model, nth int) []ident.Instance {
	for _, r := range p.sorted(p.view.Config.Services["llm"]) {
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

// neighbours returns replicas of the model in one fabric domain.
func neighbours(p *Planner, model ident.Model) []*replica {
	byDomain := make(map[ident.FabricDomain][]*replica)
	for _, r := range p.sorted(p.view.Config.Services["llm"]) {
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
		hurt func(w *world, p *Planner)
		// within is the time in which the counts are reached.
		within time.Duration
		large  int
		small  int
	}{
		"a member dies and a spare server takes its place": {
			hurt:   func(w *world, p *Planner) { die(w, p, members(p, "large", 0)[2]) },
			within: 2300 * time.Millisecond, large: 7, small: 7,
		},
		"a head dies": {
			hurt:   func(w *world, p *Planner) { die(w, p, members(p, "large", 0)[0]) },
			within: 2300 * time.Millisecond, large: 7, small: 7,
		},
		"two broken replicas of a domain make a whole one": {
			hurt: func(w *world, p *Planner) {
				pair := neighbours(p, "small")
				die(w, p, pair[0].members[1])
				die(w, p, pair[1].members[1])
			},
			within: time.Second, large: 7, small: 6,
		},
		"a head finds a member missing that answers": {
			hurt:   func(w *world, p *Planner) { w.machines[members(p, "large", 0)[0]].Membership.State = cluster.Broken },
			within: time.Second, large: 7, small: 7,
		},
		"a member comes back and knows nothing": {
			hurt:   func(w *world, p *Planner) { w.restart(members(p, "small", 0)[1]) },
			within: 2300 * time.Millisecond, large: 7, small: 7,
		},
		"a member drains": {
			hurt:   func(w *world, p *Planner) { w.machines[members(p, "large", 0)[2]].Draining = true },
			within: 2500 * time.Millisecond, large: 7, small: 7,
		},
		"a whole domain dies": {
			hurt: func(w *world, p *Planner) {
				for id, m := range w.machines {
					if m.Domain == "d0" {
						die(w, p, id)
					}
				}
			},
			within: time.Second, large: 5, small: 7,
		},
		"a whole domain comes back": {
			hurt: func(w *world, _ *Planner) {
				for id, m := range w.machines {
					if m.Domain == "d0" {
						w.restart(id)
					}
				}
			},
			within: 2300 * time.Millisecond, large: 7, small: 7,
		},
		"a server is lost that nobody needs": {
			hurt: func(w *world, p *Planner) {
				for id, m := range w.machines {
					if m.Membership == nil {
						die(w, p, id)
						return
					}
				}
			},
			within: time.Second, large: 7, small: 7,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w, p := started(c)
			test.hurt(w, p)
			want := map[ident.Model]int{"large": test.large, "small": test.small}
			for left := test.within; left > 0; left -= tick {
				w.step(p, false)
			}
			c.Check(w.serving(), qt.DeepEquals, want)
			c.Check(w.broken, qt.HasLen, 0)
		})
	}
}

// TestFormsElsewhere guards against servers that have the weights and stay spare,
// since another domain would be the better place but has none with the weights.
func TestFormsElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 3, testModels()[1])
	p := start(c, w, map[ident.Model]int{"small": 1})
	for i := range 3 {
		w.add(fmt.Sprintf("d0-new%d", i), "d0")
		w.add(fmt.Sprintf("d1-%02d", i), "d1").StagedModels = []ident.Model{"small"}
	}
	for range 60 {
		w.step(p, false)
	}
	c.Check(w.serving(), qt.DeepEquals, map[ident.Model]int{"small": 2})
	c.Check(w.broken, qt.HasLen, 0)
}

// TestOut guards against loads of weights for a data centre that is out of
// service, while one in service waits for them.
func TestOut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2, 3, testModels()[1])
	p := start(c, w, map[ident.Model]int{"small": 2})
	w.out = "z0"
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
	for id, m := range w.machines {
		c.Check(m.staging != "", qt.Equals, id == "d1-new", qt.Commentf("%s", id))
	}
	w.out = ""
	for range 30 {
		w.step(p, false)
	}
	c.Check(w.machines["d0-new0"].staging, qt.Equals, ident.Model("small"), qt.Commentf("back in service"))
}

// TestTenure guards against a new planner that takes apart what serves, and
// against an epoch that two tenures use.
func TestTenure(t *testing.T) {
	c := qt.New(t)
	w, _ := started(c)
	before := w.serving()
	next := New(testRules(), 11, w.now)
	for range 40 {
		w.step(next, false)
		c.Assert(w.serving(), qt.DeepEquals, before)
	}
	die(w, next, members(next, "large", 0)[1])
	for range 50 {
		w.step(next, false)
	}
	c.Check(w.serving(), qt.DeepEquals, before)
	c.Check(w.broken, qt.HasLen, 0)
}

// TestOldPlanner guards against the orders of a planner that was replaced while
// it was paused.
func TestOldPlanner(t *testing.T) {
	c := qt.New(t)
	w, old := started(c)
	next := New(testRules(), 11, w.now)
	die(w, next, members(old, "large", 0)[1])
	for range 60 {
		w.step(next, false)
	}
	before := w.serving()
	for _, command := range old.Step(w.now, w.view(), false) {
		c.Check(command.Order.FencingToken, qt.Equals, unit.Revision(10))
		if w.machines[command.Server.ID].fence == 11 {
			c.Check(w.obey(command.Server.ID, &command.Order, false), qt.Equals, cluster.Fenced)
		}
	}
	c.Check(w.serving(), qt.DeepEquals, before)
}

// TestLoadsPaced guards against more loads than the weight store bears.
func TestLoadsPaced(t *testing.T) {
	c := qt.New(t)
	w := newWorld(6, 9, testModels()...)
	p := New(testRules(), 10, w.now)
	var begun []time.Time
	for range 2400 {
		loading := make(map[ident.Instance]ident.Model)
		for id, m := range w.machines {
			loading[id] = m.staging
		}
		w.step(p, false)
		for id, m := range w.machines {
			if m.staging != "" && loading[id] == "" {
				begun = append(begun, w.now)
			}
		}
	}
	c.Check(len(begun) > 40, qt.IsTrue, qt.Commentf("%d loads", len(begun)))
	for i, from := range begun {
		n := 0
		for _, at := range begun[i:] {
			if at.Sub(from) < 5*time.Second {
				n++
			}
		}
		c.Assert(float64(n) <= 4.5*5*1.1+3, qt.IsTrue)
	}
	c.Check(w.broken, qt.HasLen, 0)
}

// TestFaults guards against a partial replica that serves, a server in two
// replicas, an epoch with two lists, and replicas that are not whole again once
// faults end: with members that die, restart, leave and come, orders that are
// lost or carried out late, and planners that follow each other.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, 9, testModels()...)
		fence := unit.Revision(10)
		p := New(testRules(), fence, w.now)
		for range 80 {
			w.step(p, true)
		}
		ids := make([]ident.Instance, 0, len(w.machines))
		for d := range 3 {
			for i := range 9 {
				ids = append(ids, ident.Instance("d"+string(rune('0'+d))+"-0"+string(rune('0'+i))))
			}
		}
		w.lose = func() (bool, bool) {
			n := rapid.IntRange(0, 9).Draw(t, "order")
			return n == 0, n == 1
		}
		for range rapid.IntRange(5, 25).Draw(t, "faults") {
			id := rapid.SampledFrom(ids).Draw(t, "machine")
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				die(w, p, id)
			case 1:
				w.restart(id)
			case 2:
				w.machines[id].Draining = true
			case 3:
				fence++
				p = New(testRules(), fence, w.now)
				for _, m := range w.machines {
					if m.dead {
						s := m.Server
						p.Dead(&s)
					}
				}
			case 4:
				if m := w.machines[id].Membership; m != nil && m.Rank == 0 && m.State == cluster.Open {
					m.State = cluster.Broken
				}
			}
			for range rapid.IntRange(0, 40).Draw(t, "steps") {
				w.step(p, false)
			}
		}
		w.lose = nil
		for _, id := range ids {
			w.restart(id)
		}
		for range 700 {
			w.step(p, false)
		}
		if len(w.broken) > 0 {
			t.Fatalf("broken: %v", w.broken)
		}
		count := w.serving()
		if servers := 4*count["large"] + 3*count["small"]; servers < 18 {
			t.Fatalf("%v serve a minute after the last fault", count)
		}
	})
}

func BenchmarkStep296(b *testing.B) {
	models := testModels()
	models[0].ServersPerReplica, models[1].ServersPerReplica = 16, 4
	w := newWorld(8, 37, models...)
	p := New(testRules(), 10, w.now)
	for range 80 {
		w.step(p, true)
	}
	view := w.view()
	b.ReportAllocs()
	for b.Loop() {
		p.Step(w.now, view, false)
	}
}
