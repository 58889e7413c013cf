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

// fakeDomain is a fabric domain whose instances carry out every order at once.
type fakeDomain struct {
	input plan.Input
}

func newFakeDomain(domain ident.FabricDomain, instances int, targets ...plan.DeploymentTarget) *fakeDomain {
	d := &fakeDomain{input: plan.Input{
		Now: startTime, Domain: domain, DataCentre: "kirtipur", Targets: targets, Options: options,
		Serving: map[ident.Replica]bool{}, Idle: map[ident.Replica]bool{},
		MissingSince: map[ident.Deployment]time.Time{},
	}}
	for i := range instances {
		id := ident.Instance(fmt.Sprintf("%s-%02d", domain, i))
		d.input.Instances = append(d.input.Instances, plan.Instance{
			ID: id, Address: string(id) + ":1", Accelerators: 2, Report: &report.Report{Instance: id},
		})
	}
	return d
}

func (d *fakeDomain) instance(id ident.Instance) *plan.Instance {
	for i := range d.input.Instances {
		if d.input.Instances[i].ID == id {
			return &d.input.Instances[i]
		}
	}
	return nil
}

// applyOutput writes the assignment, carries out the orders and updates which
// replicas serve.
func (d *fakeDomain) applyOutput(o plan.Output) {
	if o.Next != nil {
		d.input.Current = *o.Next
	}
	if o.Voluntary {
		d.input.LastVoluntaryChange = d.input.Now
	}
	for _, order := range o.Orders {
		if i := d.instance(order.To.Instance); i.UnreachableFor == 0 {
			i.Report = &report.Report{Instance: i.ID, Membership: order.Order.Membership, Ready: true}
		}
	}
	clear(d.input.Serving)
	for _, r := range d.input.Current.Replicas {
		d.input.Serving[r.ID] = d.isComplete(r)
		d.input.Idle[r.ID] = r.Draining
	}
}

func (d *fakeDomain) isComplete(r report.Replica) bool {
	for rank, m := range r.Members {
		i := d.instance(m.Instance)
		if i.UnreachableFor > 0 || i.Report.Replica != r.ID || i.Report.Epoch != r.Epoch || int(i.Report.Rank) != rank {
			return false
		}
	}
	return true
}

// runUntilStable runs planning rounds until nothing changes and returns the
// number of writes.
func runUntilStable(t interface{ Fatalf(string, ...any) }, domains ...*fakeDomain) int {
	writes := 0
	missingSince := domains[0].input.MissingSince
	for range 60 {
		outputs := planRound(domains, missingSince)
		missingSince = plan.UpdateMissingSince(missingSince, plan.MissingReplicas(domains[0].input.Targets, outputs), domains[0].input.Now)
		stable := true
		for _, d := range domains {
			o := outputs[d.input.Domain]
			if o.Next != nil {
				writes++
				checkGraceful(t, d.input, o.Next)
				if err := o.Next.Check(); err != nil {
					t.Fatalf("%v", err)
				}
			}
			stable = stable && o.Next == nil && len(o.Orders) == 0
			d.applyOutput(o)
			d.input.Now = d.input.Now.Add(2 * options.HoldTime)
		}
		if stable && maps.Equal(domains[0].input.MissingSince, missingSince) {
			return writes
		}
		for _, d := range domains {
			d.input.MissingSince = missingSince
		}
	}
	t.Fatalf("the plan still changes after 60 rounds")
	return 0
}

// checkGraceful fails if the plan changes a serving replica that is not
// draining.
func checkGraceful(t interface{ Fatalf(string, ...any) }, input plan.Input, next *report.Assignment) {
	for _, r := range input.Current.Replicas {
		if !input.Serving[r.ID] || r.Draining {
			continue
		}
		kept := slices.ContainsFunc(next.Replicas, func(s report.Replica) bool {
			return s.ID == r.ID && s.Epoch == r.Epoch && slices.Equal(s.Members, r.Members) && s.Version == r.Version
		})
		if !kept {
			t.Fatalf("plan changes serving replica %s that is not draining: %+v", r.ID, next.Replicas)
		}
	}
}

func planRound(domains []*fakeDomain, missingSince map[ident.Deployment]time.Time) map[ident.FabricDomain]plan.Output {
	inputs := make([]plan.Input, 0, len(domains))
	for _, d := range domains {
		d.input.MissingSince = missingSince
		inputs = append(inputs, d.input)
	}
	return plan.ForDataCentre(inputs)
}

// TestPlan guards against missing or superfluous replicas after an instance
// fails or leaves, after the targets change, and when there are too few
// instances for all targets.
func TestPlan(t *testing.T) {
	tests := map[string]struct {
		instances int
		targets   []plan.DeploymentTarget
		event     func(*fakeDomain)
		// serving is the number of serving replicas by deployment at the end.
		serving map[ident.Deployment]int
	}{
		"forms complete replicas only": {
			instances: 7, targets: []plan.DeploymentTarget{target("a", 3, 3, 0)}, serving: map[ident.Deployment]int{"a": 2},
		},
		"forms the higher priority first": {
			instances: 5, targets: []plan.DeploymentTarget{target("a", 3, 2, 0), target("b", 1, 3, 1)},
			serving: map[ident.Deployment]int{"a": 1, "b": 1},
		},
		"fewest instances left over": {
			instances: 6, targets: []plan.DeploymentTarget{target("a", 1, 4, 0), target("b", 2, 3, 0)},
			serving: map[ident.Deployment]int{"b": 2},
		},
		"replaces a failed member by a spare instance": {
			instances: 4, targets: []plan.DeploymentTarget{target("a", 1, 3, 0)},
			event:   func(d *fakeDomain) { d.instance("k-00").UnreachableFor = time.Hour },
			serving: map[ident.Deployment]int{"a": 1},
		},
		"two broken replicas become one": {
			instances: 6, targets: []plan.DeploymentTarget{target("a", 2, 3, 0)},
			event: func(d *fakeDomain) {
				d.instance("k-00").UnreachableFor, d.instance("k-03").UnreachableFor = time.Hour, time.Hour
			},
			serving: map[ident.Deployment]int{"a": 1},
		},
		"preempted by a higher priority": {
			instances: 4, targets: []plan.DeploymentTarget{target("a", 2, 2, 0)},
			event:   func(d *fakeDomain) { d.input.Targets = append(d.input.Targets, target("b", 1, 3, 1)) },
			serving: map[ident.Deployment]int{"b": 1},
		},
		"not preempted by an equal priority": {
			instances: 4, targets: []plan.DeploymentTarget{target("a", 2, 2, 0)},
			event:   func(d *fakeDomain) { d.input.Targets = append(d.input.Targets, target("b", 1, 3, 0)) },
			serving: map[ident.Deployment]int{"a": 2},
		},
		"preempted by a repair": {
			instances: 5, targets: []plan.DeploymentTarget{target("a", 1, 2, 0), target("b", 1, 3, 1)},
			event:   func(d *fakeDomain) { d.instance("k-00").UnreachableFor = time.Hour },
			serving: map[ident.Deployment]int{"b": 1},
		},
		"deployment withdrawn": {
			instances: 4, targets: []plan.DeploymentTarget{target("a", 2, 2, 0)},
			event: func(d *fakeDomain) { d.input.Targets = nil }, serving: map[ident.Deployment]int{},
		},
		"lower target": {
			instances: 4, targets: []plan.DeploymentTarget{target("a", 2, 2, 0)},
			event:   func(d *fakeDomain) { d.input.Targets = []plan.DeploymentTarget{target("a", 1, 2, 0)} },
			serving: map[ident.Deployment]int{"a": 1},
		},
		"member out of service": {
			instances: 3, targets: []plan.DeploymentTarget{target("a", 1, 2, 0)},
			event: func(d *fakeDomain) { d.instance("k-01").OutOfService = true }, serving: map[ident.Deployment]int{"a": 1},
		},
		"member with a higher epoch": {
			instances: 2, targets: []plan.DeploymentTarget{target("a", 1, 2, 0)},
			event: func(d *fakeDomain) {
				d.instance("k-01").Report = &report.Report{Membership: report.Membership{Replica: "x", Epoch: 99}}
				d.input.Serving["k/a/0"] = false
			},
			serving: map[ident.Deployment]int{"a": 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := newFakeDomain("k", test.instances, test.targets...)
			runUntilStable(t, d)
			if test.event != nil {
				test.event(d)
				d.applyOutput(plan.Output{})
				runUntilStable(t, d)
			}
			got := map[ident.Deployment]int{}
			for _, r := range d.input.Current.Replicas {
				if d.input.Serving[r.ID] {
					got[r.Deployment]++
				}
			}
			c.Assert(got, qt.DeepEquals, test.serving)
		})
	}
}

// TestHoldTime guards against changes before their cause has lasted for the
// grace period or the hold time, and against a replica that is dissolved while
// it has requests.
func TestHoldTime(t *testing.T) {
	c := qt.New(t)
	d := newFakeDomain("k", 4, target("a", 2, 2, 0))
	runUntilStable(t, d)
	d.instance("k-00").UnreachableFor = options.GracePeriod - 1
	d.input.Serving["k/a/0"] = false
	c.Assert(plan.ForDomain(d.input).Next, qt.IsNil)
	d.instance("k-00").UnreachableFor = 0
	d.applyOutput(plan.Output{})

	d.input.Targets = append(d.input.Targets, target("b", 1, 2, 1))
	d.input.AllowPreemption, d.input.LastVoluntaryChange = true, time.Time{}
	d.input.MissingSince = map[ident.Deployment]time.Time{"b": d.input.Now.Add(time.Second - options.HoldTime)}
	c.Assert(plan.ForDomain(d.input).Next, qt.IsNil)
	d.input.Now = d.input.Now.Add(time.Second)
	d.input.LastVoluntaryChange = d.input.Now.Add(time.Second - options.HoldTime)
	c.Assert(plan.ForDomain(d.input).Next, qt.IsNil)
	d.input.Now = d.input.Now.Add(time.Second)
	o := plan.ForDomain(d.input)
	c.Assert(o.Voluntary, qt.IsTrue)
	c.Assert(o.Next.Replicas, qt.HasLen, 2)
	d.applyOutput(o)
	clear(d.input.Idle)
	c.Assert(plan.ForDomain(d.input).Next, qt.IsNil)
}

// TestLoads guards against more members that load at the same time than the
// weight store can serve, and against a replica of which only some members
// load.
func TestLoads(t *testing.T) {
	c := qt.New(t)
	d := newFakeDomain("k", 8, target("a", 2, 3, 0), target("b", 1, 2, 0))
	d.input.Current = *plan.ForDomain(d.input).Next
	first := plan.ForDomain(d.input).Orders
	c.Assert(first, qt.HasLen, 2)
	for _, o := range first {
		c.Assert(o.Order.Model, qt.Equals, ident.Model("b"))
		d.instance(o.To.Instance).Report = &report.Report{Membership: o.Order.Membership}
	}
	c.Assert(plan.ForDomain(d.input).Orders, qt.HasLen, 0)
	d.applyOutput(plan.Output{Orders: first})
	c.Assert(plan.ForDomain(d.input).Orders, qt.HasLen, 3)
}

// mostUsableInstances finds by exhaustive search the highest number of
// instances that replicas of one priority can use.
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

// TestExhaustive guards against plans that leave more instances unused than
// necessary, found by an exhaustive search, or that leave an instance unused
// with more accelerators than one that is used.
func TestExhaustive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var targets []plan.DeploymentTarget
		for i := range rapid.IntRange(1, 4).Draw(t, "deployments") {
			name := ident.Deployment(fmt.Sprint("d", i))
			targets = append(targets, target(name, rapid.IntRange(0, 4).Draw(t, "replicas"), rapid.IntRange(1, 5).Draw(t, "size"), 0))
		}
		d := newFakeDomain("k", rapid.IntRange(0, 16).Draw(t, "instances"), targets...)
		var accelerators []int
		for i := range d.input.Instances {
			n := rapid.IntRange(1, 8).Draw(t, "accelerators")
			d.input.Instances[i].Accelerators = unit.Accelerators(n)
			accelerators = append(accelerators, n)
		}
		used, largestUnused := 0, 0
		o := plan.ForDomain(d.input)
		assigned := map[ident.Instance]bool{}
		if o.Next != nil {
			for _, r := range o.Next.Replicas {
				for _, m := range r.Members {
					assigned[m.Instance] = true
				}
			}
		}
		smallestUsed := 9
		for i, n := range accelerators {
			if assigned[d.input.Instances[i].ID] {
				used, smallestUsed = used+1, min(smallestUsed, n)
			} else {
				largestUnused = max(largestUnused, n)
			}
		}
		if used != mostUsableInstances(len(accelerators), targets) || largestUnused > smallestUsed {
			t.Fatalf("replicas use %d instances, want %d; an unused instance has %d accelerators, a used one %d", used, mostUsableInstances(len(accelerators), targets), largestUnused, smallestUsed)
		}
	})
}

// TestConvergence guards against plans that never become stable, instances in
// two replicas, replicas with too few members or an outdated version, and too
// few replicas of the highest priority, after instances fail and return and the
// targets change.
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
			for _, domain := range domains {
				domain.input.Targets = targets
				for range rapid.IntRange(0, 3).Draw(t, "changes") {
					i := &domain.input.Instances[rapid.IntRange(0, len(domain.input.Instances)-1).Draw(t, "instance")]
					i.UnreachableFor = time.Hour * time.Duration(rapid.IntRange(0, 1).Draw(t, "missing"))
					i.OutOfService = rapid.IntRange(0, 4).Draw(t, "out") == 0
					if rapid.Bool().Draw(t, "stale order") {
						i.Report = &report.Report{Instance: i.ID, Membership: report.Membership{Replica: "x", Epoch: unit.Epoch(rapid.IntRange(1, 50).Draw(t, "epoch"))}}
					}
				}
				domain.applyOutput(plan.Output{})
			}
			runUntilStable(t, domains...)
			total := map[ident.Deployment]int{}
			for _, domain := range domains {
				for _, r := range domain.input.Current.Replicas {
					for _, d := range targets {
						if d.Deployment.Name == r.Deployment && len(r.Members) != d.Deployment.Size {
							t.Fatalf("replica %s has the wrong number of members, %d", r.ID, len(r.Members))
						}
					}
					if r.Deployment == "a" && r.Version != targets[0].Deployment.Version {
						t.Fatalf("replica %s has the outdated version %s", r.ID, r.Version)
					}
					if domain.input.Serving[r.ID] {
						total[r.Deployment]++
					}
				}
			}
			capacity := 0
			for _, domain := range domains {
				usable := 0
				for _, i := range domain.input.Instances {
					if i.UnreachableFor == 0 && !i.OutOfService {
						usable++
					}
				}
				capacity += usable / targets[2].Deployment.Size
			}
			if n := min(capacity, targets[2].Replicas); total["c"] < n {
				t.Fatalf("%d replicas of the highest priority serve, want at least %d", total["c"], n)
			}
			for _, d := range targets {
				if n := total[d.Deployment.Name]; n > d.Replicas {
					t.Fatalf("%d replicas of %s serve, want at most %d", n, d.Deployment.Name, d.Replicas)
				}
			}
		}
	})
}

func benchmarkPlan(b *testing.B, dataCentres int) {
	var inputsByDataCentre [][]plan.Input
	for range dataCentres {
		var inputs []plan.Input
		// 857 servers in 12 domains of about 72 servers, and 54 replicas of up
		// to 16 servers.
		targets := []plan.DeploymentTarget{target("a", 27, 16, 2), target("b", 20, 8, 1), target("c", 7, 16, 0)}
		for n := range 12 {
			domain := newFakeDomain(ident.FabricDomain(fmt.Sprintf("k%02d", n)), 71+n/7, targets...)
			inputs = append(inputs, domain.input)
		}
		for domain, o := range plan.ForDataCentre(inputs) {
			for i := range inputs {
				if inputs[i].Domain == domain && o.Next != nil {
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

func BenchmarkDataCentre(b *testing.B) { benchmarkPlan(b, 1) }
func BenchmarkFleet(b *testing.B)      { benchmarkPlan(b, 14) }
