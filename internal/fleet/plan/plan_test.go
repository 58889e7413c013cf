package plan_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/plan"
)

var (
	rules = plan.Rules{Grace: 3 * time.Second, Hold: time.Minute, LoadsAtOnce: 4}
	epoch = time.Unix(1_000_000, 0)
)

func want(name ident.Deployment, replicas, size int, priority unit.Priority) plan.Want {
	return plan.Want{Replicas: replicas, Deployment: &record.Deployment{
		Name: name, Model: ident.Model(name), Version: "1", Size: size, Priority: priority,
	}}
}

// world is a domain whose instances obey every order at once.
type world struct {
	in plan.Input
}

func newWorld(domain ident.FabricDomain, instances int, wants ...plan.Want) *world {
	w := &world{in: plan.Input{
		Now: epoch, Domain: domain, DataCentre: "kirtipur", Wants: wants, Rules: rules,
		Serving: map[ident.Replica]bool{}, Idle: map[ident.Replica]bool{},
		Short: map[ident.Deployment]time.Time{},
	}}
	for i := range instances {
		id := ident.Instance(fmt.Sprintf("%s-%02d", domain, i))
		w.in.Instances = append(w.in.Instances, plan.Instance{
			ID: id, Address: string(id) + ":1", Accelerators: 2, Report: &report.Report{Instance: id},
		})
	}
	return w
}

func (w *world) instance(id ident.Instance) *plan.Instance {
	for i := range w.in.Instances {
		if w.in.Instances[i].ID == id {
			return &w.in.Instances[i]
		}
	}
	return nil
}

// apply writes the assignment, obeys the orders, and finds out what serves.
func (w *world) apply(o plan.Output) {
	if o.Next != nil {
		w.in.Current = *o.Next
	}
	if o.Voluntary {
		w.in.Changed = w.in.Now
	}
	for _, order := range o.Orders {
		if i := w.instance(order.To.Instance); i.Missing == 0 {
			i.Report = &report.Report{Instance: i.ID, Placement: order.Order.Placement, Ready: true}
		}
	}
	clear(w.in.Serving)
	for _, r := range w.in.Current.Replicas {
		w.in.Serving[r.ID] = w.complete(r)
		w.in.Idle[r.ID] = r.Draining
	}
}

func (w *world) complete(r report.Replica) bool {
	for rank, m := range r.Members {
		i := w.instance(m.Instance)
		if i.Missing > 0 || i.Report.Replica != r.ID || i.Report.Epoch != r.Epoch || int(i.Report.Rank) != rank {
			return false
		}
	}
	return true
}

// settle plays rounds until nothing changes, and returns the number of writes.
func settle(t interface{ Fatalf(string, ...any) }, worlds ...*world) int {
	writes := 0
	short := worlds[0].in.Short
	for range 60 {
		outputs := round(worlds, short)
		short = plan.Shortage(short, plan.Lacking(worlds[0].in.Wants, outputs), worlds[0].in.Now)
		quiet := true
		for _, w := range worlds {
			o := outputs[w.in.Domain]
			if o.Next != nil {
				writes++
				checkGraceful(t, w.in, o.Next)
				if err := o.Next.Check(); err != nil {
					t.Fatalf("%v", err)
				}
			}
			quiet = quiet && o.Next == nil && len(o.Orders) == 0
			w.apply(o)
			w.in.Now = w.in.Now.Add(2 * rules.Hold)
		}
		if quiet && maps.Equal(worlds[0].in.Short, short) {
			return writes
		}
		for _, w := range worlds {
			w.in.Short = short
		}
	}
	t.Fatalf("no fixed point")
	return 0
}

// checkGraceful fails if a serving replica is changed before it is idle.
func checkGraceful(t interface{ Fatalf(string, ...any) }, in plan.Input, next *report.Assignment) {
	for _, r := range in.Current.Replicas {
		if !in.Serving[r.ID] || r.Draining {
			continue
		}
		kept := slices.ContainsFunc(next.Replicas, func(s report.Replica) bool {
			return s.ID == r.ID && s.Epoch == r.Epoch && slices.Equal(s.Members, r.Members) && s.Version == r.Version
		})
		if !kept {
			t.Fatalf("serving replica %s is changed to %+v", r.ID, next.Replicas)
		}
	}
}

func round(worlds []*world, short map[ident.Deployment]time.Time) map[ident.FabricDomain]plan.Output {
	inputs := make([]plan.Input, 0, len(worlds))
	for _, w := range worlds {
		w.in.Short = short
		inputs = append(inputs, w.in)
	}
	return plan.Round(inputs)
}

// TestPlan guards against wrong answers to the usual events of a domain.
func TestPlan(t *testing.T) {
	tests := map[string]struct {
		instances int
		wants     []plan.Want
		event     func(*world)
		// serving is the number of replicas by deployment in the end.
		serving map[ident.Deployment]int
	}{
		"forms whole replicas only": {
			instances: 7, wants: []plan.Want{want("a", 3, 3, 0)}, serving: map[ident.Deployment]int{"a": 2},
		},
		"higher priority first": {
			instances: 5, wants: []plan.Want{want("a", 3, 2, 0), want("b", 1, 3, 1)},
			serving: map[ident.Deployment]int{"a": 1, "b": 1},
		},
		"fewest left over": {
			instances: 6, wants: []plan.Want{want("a", 1, 4, 0), want("b", 2, 3, 0)},
			serving: map[ident.Deployment]int{"b": 2},
		},
		"replaces a dead member by a spare": {
			instances: 4, wants: []plan.Want{want("a", 1, 3, 0)},
			event:   func(w *world) { w.instance("k-00").Missing = time.Hour },
			serving: map[ident.Deployment]int{"a": 1},
		},
		"two broken replicas become one": {
			instances: 6, wants: []plan.Want{want("a", 2, 3, 0)},
			event: func(w *world) {
				w.instance("k-00").Missing, w.instance("k-03").Missing = time.Hour, time.Hour
			},
			serving: map[ident.Deployment]int{"a": 1},
		},
		"yields to a higher priority": {
			instances: 4, wants: []plan.Want{want("a", 2, 2, 0)},
			event:   func(w *world) { w.in.Wants = append(w.in.Wants, want("b", 1, 3, 1)) },
			serving: map[ident.Deployment]int{"b": 1},
		},
		"does not yield to an equal priority": {
			instances: 4, wants: []plan.Want{want("a", 2, 2, 0)},
			event:   func(w *world) { w.in.Wants = append(w.in.Wants, want("b", 1, 3, 0)) },
			serving: map[ident.Deployment]int{"a": 2},
		},
		"yields to repair": {
			instances: 5, wants: []plan.Want{want("a", 1, 2, 0), want("b", 1, 3, 1)},
			event:   func(w *world) { w.instance("k-00").Missing = time.Hour },
			serving: map[ident.Deployment]int{"b": 1},
		},
		"withdrawn": {
			instances: 4, wants: []plan.Want{want("a", 2, 2, 0)},
			event: func(w *world) { w.in.Wants = nil }, serving: map[ident.Deployment]int{},
		},
		"fewer wanted": {
			instances: 4, wants: []plan.Want{want("a", 2, 2, 0)},
			event:   func(w *world) { w.in.Wants = []plan.Want{want("a", 1, 2, 0)} },
			serving: map[ident.Deployment]int{"a": 1},
		},
		"member out of service": {
			instances: 3, wants: []plan.Want{want("a", 1, 2, 0)},
			event: func(w *world) { w.instance("k-01").Out = true }, serving: map[ident.Deployment]int{"a": 1},
		},
		"member ahead in epoch": {
			instances: 2, wants: []plan.Want{want("a", 1, 2, 0)},
			event: func(w *world) {
				w.instance("k-01").Report = &report.Report{Placement: report.Placement{Replica: "x", Epoch: 99}}
				w.in.Serving["k/a/0"] = false
			},
			serving: map[ident.Deployment]int{"a": 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld("k", test.instances, test.wants...)
			settle(t, w)
			if test.event != nil {
				test.event(w)
				w.apply(plan.Output{})
				settle(t, w)
			}
			got := map[ident.Deployment]int{}
			for _, r := range w.in.Current.Replicas {
				if w.in.Serving[r.ID] {
					got[r.Deployment]++
				}
			}
			c.Assert(got, qt.DeepEquals, test.serving)
		})
	}
}

// TestCalm guards against changes before a cause has lasted, and against a
// serving replica that is taken apart while it has work.
func TestCalm(t *testing.T) {
	c := qt.New(t)
	w := newWorld("k", 4, want("a", 2, 2, 0))
	settle(t, w)
	w.instance("k-00").Missing = rules.Grace - 1
	w.in.Serving["k/a/0"] = false
	c.Assert(plan.Plan(w.in).Next, qt.IsNil)
	w.instance("k-00").Missing = 0
	w.apply(plan.Output{})

	w.in.Wants = append(w.in.Wants, want("b", 1, 2, 1))
	w.in.MayYield, w.in.Changed = true, time.Time{}
	w.in.Short = map[ident.Deployment]time.Time{"b": w.in.Now.Add(time.Second - rules.Hold)}
	c.Assert(plan.Plan(w.in).Next, qt.IsNil)
	w.in.Now = w.in.Now.Add(time.Second)
	w.in.Changed = w.in.Now.Add(time.Second - rules.Hold)
	c.Assert(plan.Plan(w.in).Next, qt.IsNil)
	w.in.Now = w.in.Now.Add(time.Second)
	o := plan.Plan(w.in)
	c.Assert(o.Voluntary, qt.IsTrue)
	c.Assert(o.Next.Replicas, qt.HasLen, 2)
	w.apply(o)
	clear(w.in.Idle)
	c.Assert(plan.Plan(w.in).Next, qt.IsNil)
}

// TestLoads guards against more members loading at once than the weight store
// can serve, and against a replica that is loaded in part.
func TestLoads(t *testing.T) {
	c := qt.New(t)
	w := newWorld("k", 8, want("a", 2, 3, 0), want("b", 1, 2, 0))
	w.in.Current = *plan.Plan(w.in).Next
	first := plan.Plan(w.in).Orders
	c.Assert(first, qt.HasLen, 2)
	for _, o := range first {
		c.Assert(o.Order.Model, qt.Equals, ident.Model("b"))
		w.instance(o.To.Instance).Report = &report.Report{Placement: o.Order.Placement}
	}
	c.Assert(plan.Plan(w.in).Orders, qt.HasLen, 0)
	w.apply(plan.Output{Orders: first})
	c.Assert(plan.Plan(w.in).Orders, qt.HasLen, 3)
}

// best is the exhaustive answer: the most instances that replicas of one
// priority can use.
func best(room int, wants []plan.Want) int {
	if len(wants) == 0 {
		return 0
	}
	most, size := 0, wants[0].Deployment.Size
	for n := 0; n <= wants[0].Replicas && n*size <= room; n++ {
		most = max(most, n*size+best(room-n*size, wants[1:]))
	}
	return most
}

// TestExhaustive guards against stranding more accelerators than necessary.
func TestExhaustive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wants []plan.Want
		for i := range rapid.IntRange(1, 4).Draw(t, "deployments") {
			name := ident.Deployment(fmt.Sprint("d", i))
			wants = append(wants, want(name, rapid.IntRange(0, 4).Draw(t, "replicas"), rapid.IntRange(1, 5).Draw(t, "size"), 0))
		}
		w := newWorld("k", rapid.IntRange(0, 16).Draw(t, "instances"), wants...)
		var accelerators []int
		for i := range w.in.Instances {
			n := rapid.IntRange(1, 8).Draw(t, "accelerators")
			w.in.Instances[i].Accelerators = unit.Accelerators(n)
			accelerators = append(accelerators, n)
		}
		used, stranded := 0, 0
		o := plan.Plan(w.in)
		placed := map[ident.Instance]bool{}
		if o.Next != nil {
			for _, r := range o.Next.Replicas {
				for _, m := range r.Members {
					placed[m.Instance] = true
				}
			}
		}
		smallest := 9
		for i, n := range accelerators {
			if placed[w.in.Instances[i].ID] {
				used, smallest = used+1, min(smallest, n)
			} else {
				stranded = max(stranded, n)
			}
		}
		if used != best(len(accelerators), wants) || stranded > smallest {
			t.Fatalf("used %d, want %d; stranded an instance of %d, used one of %d", used, best(len(accelerators), wants), stranded, smallest)
		}
	})
}

// TestConvergence guards against instances in two replicas, replicas in part,
// and changes without a cause, while instances die and return and the wanted
// replicas change.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worlds := []*world{newWorld("k", 8), newWorld("l", 6)}
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			wants := []plan.Want{
				want("a", rapid.IntRange(0, 3).Draw(t, "a"), 3, 0),
				want("b", rapid.IntRange(0, 3).Draw(t, "b"), 2, 1),
				want("c", rapid.IntRange(0, 2).Draw(t, "c"), 4, 2),
			}
			wants[0].Deployment.Version = ident.Version(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"))
			for _, w := range worlds {
				w.in.Wants = wants
				for range rapid.IntRange(0, 3).Draw(t, "changes") {
					i := &w.in.Instances[rapid.IntRange(0, len(w.in.Instances)-1).Draw(t, "instance")]
					i.Missing = time.Hour * time.Duration(rapid.IntRange(0, 1).Draw(t, "missing"))
					i.Out = rapid.IntRange(0, 4).Draw(t, "out") == 0
					if rapid.Bool().Draw(t, "stale order") {
						i.Report = &report.Report{Instance: i.ID, Placement: report.Placement{Replica: "x", Epoch: unit.Epoch(rapid.IntRange(1, 50).Draw(t, "epoch"))}}
					}
				}
				w.apply(plan.Output{})
			}
			settle(t, worlds...)
			total := map[ident.Deployment]int{}
			for _, w := range worlds {
				for _, r := range w.in.Current.Replicas {
					for _, d := range wants {
						if d.Deployment.Name == r.Deployment && len(r.Members) != d.Deployment.Size {
							t.Fatalf("replica %s has %d members", r.ID, len(r.Members))
						}
					}
					if r.Deployment == "a" && r.Version != wants[0].Deployment.Version {
						t.Fatalf("replica %s has version %s", r.ID, r.Version)
					}
					if w.in.Serving[r.ID] {
						total[r.Deployment]++
					}
				}
			}
			capacity := 0
			for _, w := range worlds {
				usable := 0
				for _, i := range w.in.Instances {
					if i.Missing == 0 && !i.Out {
						usable++
					}
				}
				capacity += usable / wants[2].Deployment.Size
			}
			if n := min(capacity, wants[2].Replicas); total["c"] < n {
				t.Fatalf("%d replicas of the highest priority serve, want %d", total["c"], n)
			}
			for _, d := range wants {
				if n := total[d.Deployment.Name]; n > d.Replicas {
					t.Fatalf("%d replicas of %s serve, wanted %d", n, d.Deployment.Name, d.Replicas)
				}
			}
		}
	})
}

func benchmark(b *testing.B, centres int) {
	var worlds [][]plan.Input
	for range centres {
		var inputs []plan.Input
		// 857 servers in 12 domains of about 72, 54 replicas of up to 16.
		wants := []plan.Want{want("a", 27, 16, 2), want("b", 20, 8, 1), want("c", 7, 16, 0)}
		for d := range 12 {
			w := newWorld(ident.FabricDomain(fmt.Sprintf("k%02d", d)), 71+d/7, wants...)
			inputs = append(inputs, w.in)
		}
		for d, o := range plan.Round(inputs) {
			for i := range inputs {
				if inputs[i].Domain == d && o.Next != nil {
					inputs[i].Current = *o.Next
				}
			}
		}
		worlds = append(worlds, inputs)
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, inputs := range worlds {
			plan.Round(inputs)
		}
	}
}

func BenchmarkDataCentre(b *testing.B) { benchmark(b, 1) }
func BenchmarkFleet(b *testing.B)      { benchmark(b, 14) }
