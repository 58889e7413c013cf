package plan

import (
	"cmp"
	"reflect"
	"slices"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
)

// Order is an order to one instance.
type Order struct {
	To    report.Member
	Order report.Order
	// Loads says that the instance has to load weights to obey.
	Loads bool
}

// job is the orders that a replica lacks.
type job struct {
	replica *report.Replica
	orders  []Order
	loads   int
	// loading counts members that have obeyed and are not ready yet.
	loading int
}

// orders returns the orders that bring the instances to the current assignment:
// first the idle ones, then replica by replica, those with the fewest members
// to load first.
func (p *planner) orders(next *report.Assignment) []Order {
	orders := p.idleOrders(next)
	var jobs []job
	budget := p.Rules.LoadsAtOnce
	for i := range p.Current.Replicas {
		r := &p.Current.Replicas[i]
		if len(p.deadMembers(*r)) > 0 || next != nil && !slices.ContainsFunc(next.Replicas, func(s report.Replica) bool {
			return s.ID == r.ID && s.Epoch == r.Epoch
		}) {
			continue
		}
		j := p.job(r)
		budget -= j.loading
		if len(j.orders) > 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b job) int {
		return cmp.Or(
			cmp.Compare(a.loads, b.loads),
			cmp.Compare(p.priority(b.replica.Deployment), p.priority(a.replica.Deployment)),
			cmp.Compare(a.replica.ID, b.replica.ID))
	})
	for _, j := range jobs {
		// A replica is loaded whole: its members become ready together.
		// One that needs more than the bound is loaded alone.
		alone := budget == p.Rules.LoadsAtOnce
		if j.loads == 0 || j.loading > 0 || j.loads <= budget || alone {
			orders = append(orders, j.orders...)
			budget -= j.loads
		}
	}
	return orders
}

func (p *planner) job(r *report.Replica) job {
	j := job{replica: r}
	for rank, m := range r.Members {
		i := p.instances[m.Instance]
		if i == nil || i.Report == nil {
			continue
		}
		want := placement(r, unit.Rank(rank))
		if samePlacement(i.Report.Placement, want) {
			if !i.Report.Ready {
				j.loading++
			}
			continue
		}
		o := Order{To: m, Order: report.Order{Placement: want, Members: r.Members}}
		o.Loads = i.Report.Model != r.Model || i.Report.Version != r.Version || !i.Report.Ready
		if o.Loads {
			j.loads++
		}
		j.orders = append(j.orders, o)
	}
	return j
}

func placement(r *report.Replica, rank unit.Rank) report.Placement {
	return report.Placement{
		Replica: r.ID, Epoch: r.Epoch, Rank: rank, Model: r.Model, Version: r.Version, Adapters: r.Adapters,
	}
}

func samePlacement(a, b report.Placement) bool {
	a.Adapters, b.Adapters = slices.Clone(a.Adapters), slices.Clone(b.Adapters)
	slices.Sort(a.Adapters)
	slices.Sort(b.Adapters)
	if len(a.Adapters) == 0 && len(b.Adapters) == 0 {
		a.Adapters, b.Adapters = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// idleOrders returns orders for the instances that report a replica and are in
// none, now or next.
func (p *planner) idleOrders(next *report.Assignment) []Order {
	placed := make(map[ident.Instance]bool)
	mark := func(a *report.Assignment) {
		for _, r := range a.Replicas {
			for _, m := range r.Members {
				placed[m.Instance] = true
			}
		}
	}
	mark(&p.Current)
	if next != nil {
		mark(next)
	}
	var orders []Order
	for _, i := range p.Instances {
		if placed[i.ID] || !p.live(i.ID) || i.Report == nil || i.Report.Replica == "" || i.Report.Epoch > p.Current.Epoch {
			continue
		}
		orders = append(orders, Order{
			To:    report.Member{Instance: i.ID, Address: i.Address},
			Order: report.Order{Placement: report.Placement{Epoch: p.Current.Epoch}},
		})
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.To.Instance, b.To.Instance) })
	return orders
}
