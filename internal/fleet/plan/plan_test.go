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
	options   = plan.Options{GracePeriod: 3 * time.Second, HoldTime: time.Minute, MaxConcurrentLoads: 4}
	startTime = time.Unix(1_000_000, 0)
)

func target(name ident.Deployment, replicas, size int, priority unit.Priority) plan.DeploymentTarget {
	return plan.DeploymentTarget{Replicas: replicas, Deployment: &record.Deployment{
		Name: name, Model: ident.Model(name), Version: "1", Size: size, Priority: priority,
	}}
}

// fakeDomain is a domain whose instances obey every order at once.
type fakeDomain struct {
	input plan.Input
}

func newFakeDomain(domain ident.FabricDomain, instances int, targets ...plan.DeploymentTarget) *fakeDomain {
	w := &fakeDomain{input: plan.Input{
		Now: startTime, Domain: domain, DataCentre: "kirtipur", Targets: targets, Options: options,
		Serving: map[ident.Replica]bool{}, Idle: map[ident.Replica]bool{},
		ShortSince: map[ident.Deployment]time.Time{},
	}}
	for i := range instances {
		id := ident.Instance(fmt.Sprintf("%s-%02d", domain, i))
		w.input.Instances = append(w.input.Instances, plan.Instance{
			ID: id, Address: string(id) + ":1", Accelerators: 2, Report: &report.Report{Instance: id},
		})
	}
	return w
}

func (w *fakeDomain) instance(id ident.Instance) *plan.Instance {
	for i := range w.input.Instances {
		if w.input.Instances[i].ID == id {
			return &w.input.Instances[i]
		}
	}
	return nil
}

// apply writes the assignment, obeys the orders, and finds out what serves.
func (w *fakeDomain) apply(o plan.Output) {
	if o.Next != nil {
		w.input.Current = *o.Next
	}
	if o.Voluntary {
		w.input.LastVoluntaryChange = w.input.Now
	}
	for _, order := range o.Orders {
		if i := w.instance(order.To.Instance); i.UnreachableFor == 0 {
			i.Report = &report.Report{Instance: i.ID, Placement: order.Order.Placement, Ready: true}
		}
	}
	clear(w.input.Serving)
	for _, r := range w.input.Current.Replicas {
		w.input.Serving[r.ID] = w.complete(r)
		w.input.Idle[r.ID] = r.Draining
	}
}

func (w *fakeDomain) complete(r report.Replica) bool {
	for rank, m := range r.Members {
		i := w.instance(m.Instance)
		if i.UnreachableFor > 0 || i.Report.Replica != r.ID || i.Report.Epoch != r.Epoch || int(i.Report.Rank) != rank {
			return false
		}
	}
	return true
}

// runUntilStable plays rounds until nothing changes, and returns the number of writes.
func runUntilStable(t interface{ Fatalf(string, ...any) }, domains ...*fakeDomain) int {
	writes := 0
	shortSince := domains[0].input.ShortSince
	for range 60 {
		outputs := planRound(domains, shortSince)
		shortSince = plan.UpdateShortSince(shortSince, plan.MissingReplicas(domains[0].input.Targets, outputs), domains[0].input.Now)
		stable := true
		for _, w := range domains {
			o := outputs[w.input.Domain]
			if o.Next != nil {
				writes++
				checkGraceful(t, w.input, o.Next)
				if err := o.Next.Check(); err != nil {
					t.Fatalf("%v", err)
				}
			}
			stable = stable && o.Next == nil && len(o.Orders) == 0
			w.apply(o)
			w.input.Now = w.input.Now.Add(2 * options.HoldTime)
		}
		if stable && maps.Equal(domains[0].input.ShortSince, shortSince) {
			return writes
		}
		for _, w := range domains {
			w.input.ShortSince = shortSince
		}
	}
	t.Fatalf("no fixed point")
	return 0
}

// checkGraceful fails if a serving replica is changed before it is idle.
func checkGraceful(t interface{ Fatalf(string, ...any) }, input plan.Input, next *report.Assignment) {
	for _, r := range input.Current.Replicas {
		if !input.Serving[r.ID] || r.Draining {
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

func planRound(domains []*fakeDomain, shortSince map[ident.Deployment]time.Time) map[ident.FabricDomain]plan.Output {
	inputs := make([]plan.Input, 0, len(domains))
	for _, w := range domains {
		w.input.ShortSince = shortSince
		inputs = append(inputs, w.input)
	}
	return plan.ForDataCentre(inputs)
}

// TestPlan guards against wrong answers to the usual events of a domain.
func TestPlan(t *testing.T) {
	tests := map[string]struct {
		instances int
		targets   []plan.DeploymentTarget
		event     func(*fakeDomain)
		// serving is the number of replicas by deployment in the end.
		serving map[ident.Deployment]int
	}{
		"forms whole replicas only": {
			instances: 7, targets: []plan.DeploymentTarget{target("a", 3, 3, 0)}, serving: map[ident.Deployment]int{"a": 2},
		},
		"higher priority first": {
			instances: 5, targets: []plan.DeploymentTarget{target("a", 3, 2, 0), target("b", 1, 3, 1)},
			serving: map[ident.Deployment]int{"a": 1, "b": 1},
		},
		"fewest left over": {
			instances: 6, targets: []plan.DeploymentTarget{target("a", 1, 4, 0), target("b", 2, 3, 0)},
			serving: map[ident.Deployment]int{"b": 2},
		},
		"replaces a dead member by a spare": {
			instances: 4, targets: []plan.DeploymentTarget{target("a", 1, 3, 0)},
			event:   func(w *fakeDomain) { w.instance("k-00").UnreachableFor = time.Hour },
			serving: map[ident.Deployment]int{"a": 1},
		},
		"two broken replicas become one": {
			instances: 6, targets: []plan.DeploymentTarget{target("a", 2, 3, 0)},
			event: func(w *fakeDomain) {
				w.instance("k-00").UnreachableFor, w.instance("k-03").UnreachableFor = time.Hour, time.Hour
			},
			serving: map[ident.Deployment]int{"a": 1},
		},
		"yields to a higher priority": {
			instances: 4, targets: []plan.DeploymentTarget{target("a", 2, 2, 0)},
			event:   func(w *fakeDomain) { w.input.Targets = append(w.input.Targets, target("b", 1, 3, 1)) },
			serving: map[ident.Deployment]int{"b": 1},
		},
		"does not yield to an equal priority": {
			instances: 4, targets: []plan.DeploymentTarget{target("a", 2, 2, 0)},
			event:   func(w *fakeDomain) { w.input.Targets = append(w.input.Targets, target("b", 1, 3, 0)) },
			serving: map[ident.Deployment]int{"a": 2},
		},
		"yields to repair": {
			instances: 5, targets: []plan.DeploymentTarget{target("a", 1, 2, 0), target("b", 1, 3, 1)},
			event:   func(w *fakeDomain) { w.instance("k-00").UnreachableFor = time.Hour },
			serving: map[ident.Deployment]int{"b": 1},
		},
		"withdrawn": {
			instances: 4, targets: []plan.DeploymentTarget{target("a", 2, 2, 0)},
			event: func(w *fakeDomain) { w.input.Targets = nil }, serving: map[ident.Deployment]int{},
		},
		"fewer wanted": {
			instances: 4, targets: []plan.DeploymentTarget{target("a", 2, 2, 0)},
			event:   func(w *fakeDomain) { w.input.Targets = []plan.DeploymentTarget{target("a", 1, 2, 0)} },
			serving: map[ident.Deployment]int{"a": 1},
		},
		"member out of service": {
			instances: 3, targets: []plan.DeploymentTarget{target("a", 1, 2, 0)},
			event: func(w *fakeDomain) { w.instance("k-01").OutOfService = true }, serving: map[ident.Deployment]int{"a": 1},
		},
		"member ahead in epoch": {
			instances: 2, targets: []plan.DeploymentTarget{target("a", 1, 2, 0)},
			event: func(w *fakeDomain) {
				w.instance("k-01").Report = &report.Report{Placement: report.Placement{Replica: "x", Epoch: 99}}
				w.input.Serving["k/a/0"] = false
			},
			serving: map[ident.Deployment]int{"a": 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newFakeDomain("k", test.instances, test.targets...)
			runUntilStable(t, w)
			if test.event != nil {
				test.event(w)
				w.apply(plan.Output{})
				runUntilStable(t, w)
			}
			got := map[ident.Deployment]int{}
			for _, r := range w.input.Current.Replicas {
				if w.input.Serving[r.ID] {
					got[r.Deployment]++
				}
			}
			c.Assert(got, qt.DeepEquals, test.serving)
		})
	}
}

// TestHoldTime guards against changes before a cause has lasted, and against a
// serving replica that is taken apart while it has work.
func TestHoldTime(t *testing.T) {
	c := qt.New(t)
	w := newFakeDomain("k", 4, target("a", 2, 2, 0))
	runUntilStable(t, w)
	w.instance("k-00").UnreachableFor = options.GracePeriod - 1
	w.input.Serving["k/a/0"] = false
	c.Assert(plan.ForDomain(w.input).Next, qt.IsNil)
	w.instance("k-00").UnreachableFor = 0
	w.apply(plan.Output{})

	w.input.Targets = append(w.input.Targets, target("b", 1, 2, 1))
	w.input.AllowPreemption, w.input.LastVoluntaryChange = true, time.Time{}
	w.input.ShortSince = map[ident.Deployment]time.Time{"b": w.input.Now.Add(time.Second - options.HoldTime)}
	c.Assert(plan.ForDomain(w.input).Next, qt.IsNil)
	w.input.Now = w.input.Now.Add(time.Second)
	w.input.LastVoluntaryChange = w.input.Now.Add(time.Second - options.HoldTime)
	c.Assert(plan.ForDomain(w.input).Next, qt.IsNil)
	w.input.Now = w.input.Now.Add(time.Second)
	o := plan.ForDomain(w.input)
	c.Assert(o.Voluntary, qt.IsTrue)
	c.Assert(o.Next.Replicas, qt.HasLen, 2)
	w.apply(o)
	clear(w.input.Idle)
	c.Assert(plan.ForDomain(w.input).Next, qt.IsNil)
}

// TestLoads guards against more members loading at once than the weight store
// can serve, and against a replica that is loaded in part.
func TestLoads(t *testing.T) {
	c := qt.New(t)
	w := newFakeDomain("k", 8, target("a", 2, 3, 0), target("b", 1, 2, 0))
	w.input.Current = *plan.ForDomain(w.input).Next
	first := plan.ForDomain(w.input).Orders
	c.Assert(first, qt.HasLen, 2)
	for _, o := range first {
		c.Assert(o.Order.Model, qt.Equals, ident.Model("b"))
		w.instance(o.To.Instance).Report = &report.Report{Placement: o.Order.Placement}
	}
	c.Assert(plan.ForDomain(w.input).Orders, qt.HasLen, 0)
	w.apply(plan.Output{Orders: first})
	c.Assert(plan.ForDomain(w.input).Orders, qt.HasLen, 3)
}

// mostUsableInstances is the exhaustive answer: the most instances that replicas of one
// priority can use.
func mostUsableInstances(instances int, targets []plan.DeploymentTarget) int {
	if len(targets) == 0 {
		return 0
	}
	most, size := 0, targets[0].Deployment.Size
	for n := 0; n <= targets[0].Replicas && n*size <= instances; n++ {
		most = max(most, n*size+mostUsableInstances(instances-n*size, targets[1:]))
	}
	return most
}

// TestExhaustive guards against stranding more accelerators than necessary.
func TestExhaustive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var targets []plan.DeploymentTarget
		for i := range rapid.IntRange(1, 4).Draw(t, "deployments") {
			name := ident.Deployment(fmt.Sprint("d", i))
			targets = append(targets, target(name, rapid.IntRange(0, 4).Draw(t, "replicas"), rapid.IntRange(1, 5).Draw(t, "size"), 0))
		}
		w := newFakeDomain("k", rapid.IntRange(0, 16).Draw(t, "instances"), targets...)
		var accelerators []int
		for i := range w.input.Instances {
			n := rapid.IntRange(1, 8).Draw(t, "accelerators")
			w.input.Instances[i].Accelerators = unit.Accelerators(n)
			accelerators = append(accelerators, n)
		}
		used, stranded := 0, 0
		o := plan.ForDomain(w.input)
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
			if placed[w.input.Instances[i].ID] {
				used, smallest = used+1, min(smallest, n)
			} else {
				stranded = max(stranded, n)
			}
		}
		if used != mostUsableInstances(len(accelerators), targets) || stranded > smallest {
			t.Fatalf("used %d, want %d; stranded an instance of %d, used one of %d", used, mostUsableInstances(len(accelerators), targets), stranded, smallest)
		}
	})
}

// TestConvergence guards against instances in two replicas, replicas in part,
// and changes without a cause, while instances die and return and the wanted
// replicas change.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []*fakeDomain{newFakeDomain("k", 8), newFakeDomain("l", 6)}
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			targets := []plan.DeploymentTarget{
				target("a", rapid.IntRange(0, 3).Draw(t, "a"), 3, 0),
				target("b", rapid.IntRange(0, 3).Draw(t, "b"), 2, 1),
				target("c", rapid.IntRange(0, 2).Draw(t, "c"), 4, 2),
			}
			targets[0].Deployment.Version = ident.Version(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"))
			for _, w := range domains {
				w.input.Targets = targets
				for range rapid.IntRange(0, 3).Draw(t, "changes") {
					i := &w.input.Instances[rapid.IntRange(0, len(w.input.Instances)-1).Draw(t, "instance")]
					i.UnreachableFor = time.Hour * time.Duration(rapid.IntRange(0, 1).Draw(t, "missing"))
					i.OutOfService = rapid.IntRange(0, 4).Draw(t, "out") == 0
					if rapid.Bool().Draw(t, "stale order") {
						i.Report = &report.Report{Instance: i.ID, Placement: report.Placement{Replica: "x", Epoch: unit.Epoch(rapid.IntRange(1, 50).Draw(t, "epoch"))}}
					}
				}
				w.apply(plan.Output{})
			}
			runUntilStable(t, domains...)
			total := map[ident.Deployment]int{}
			for _, w := range domains {
				for _, r := range w.input.Current.Replicas {
					for _, d := range targets {
						if d.Deployment.Name == r.Deployment && len(r.Members) != d.Deployment.Size {
							t.Fatalf("replica %s has %d members", r.ID, len(r.Members))
						}
					}
					if r.Deployment == "a" && r.Version != targets[0].Deployment.Version {
						t.Fatalf("replica %s has version %s", r.ID, r.Version)
					}
					if w.input.Serving[r.ID] {
						total[r.Deployment]++
					}
				}
			}
			capacity := 0
			for _, w := range domains {
				usable := 0
				for _, i := range w.input.Instances {
					if i.UnreachableFor == 0 && !i.OutOfService {
						usable++
					}
				}
				capacity += usable / targets[2].Deployment.Size
			}
			if n := min(capacity, targets[2].Replicas); total["c"] < n {
				t.Fatalf("%d replicas of the highest priority serve, want %d", total["c"], n)
			}
			for _, d := range targets {
				if n := total[d.Deployment.Name]; n > d.Replicas {
					t.Fatalf("%d replicas of %s serve, wanted %d", n, d.Deployment.Name, d.Replicas)
				}
			}
		}
	})
}

func benchmark(b *testing.B, dataCentres int) {
	var inputsByDataCentre [][]plan.Input
	for range dataCentres {
		var inputs []plan.Input
		// 857 servers in 12 domains of about 72, 54 replicas of up to 16.
		targets := []plan.DeploymentTarget{target("a", 27, 16, 2), target("b", 20, 8, 1), target("c", 7, 16, 0)}
		for d := range 12 {
			w := newFakeDomain(ident.FabricDomain(fmt.Sprintf("k%02d", d)), 71+d/7, targets...)
			inputs = append(inputs, w.input)
		}
		for d, o := range plan.ForDataCentre(inputs) {
			for i := range inputs {
				if inputs[i].Domain == d && o.Next != nil {
					inputs[i].Current = *o.Next
				}
			}
		}
		inputsByDataCentre = append(inputsByDataCentre, inputs)
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, inputs := range inputsByDataCentre {
			plan.ForDataCentre(inputs)
		}
	}
}

func BenchmarkDataCentre(b *testing.B) { benchmark(b, 1) }
func BenchmarkFleet(b *testing.B)      { benchmark(b, 14) }
