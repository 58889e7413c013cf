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
	// LoadsWeights says that the instance has to load weights to carry out the
	// order.
	LoadsWeights bool
}

// replicaOrders are the orders that the members of a replica have yet to carry
// out.
type replicaOrders struct {
	replica *report.Replica
	orders  []Order
	// loadCount counts the orders that load weights.
	loadCount int
	// loadingCount counts the members that accepted their order and are not
	// ready yet.
	loadingCount int
}

// pendingOrders returns the orders that bring the instances to the current
// assignment. Orders that release instances come first, then the orders of one
// replica after another, beginning with the replicas that have the fewest
// members to load. Orders of replicas that the next assignment changes, that
// have members to replace, or whose loads would exceed MaxConcurrentLoads are
// left out.
func (p *planner) pendingOrders(next *report.Assignment) []Order {
	orders := p.releaseOrders(next)
	var byReplica []replicaOrders
	loadsLeft := p.Options.MaxConcurrentLoads
	for i := range p.Current.Replicas {
		r := &p.Current.Replicas[i]
		if len(p.ranksToReplace(*r)) > 0 || next != nil && !slices.ContainsFunc(next.Replicas, func(s report.Replica) bool {
			return s.ID == r.ID && s.Epoch == r.Epoch
		}) {
			continue
		}
		pending := p.pendingOrdersOf(r)
		loadsLeft -= pending.loadingCount
		if len(pending.orders) > 0 {
			byReplica = append(byReplica, pending)
		}
	}
	slices.SortFunc(byReplica, func(a, b replicaOrders) int {
		return cmp.Or(
			cmp.Compare(a.loadCount, b.loadCount),
			cmp.Compare(p.priority(b.replica.Deployment), p.priority(a.replica.Deployment)),
			cmp.Compare(a.replica.ID, b.replica.ID))
	})
	for _, pending := range byReplica {
		// All members of a replica load at the same time, since they become
		// ready together. A replica with more loads than the bound may load
		// while no other replica does.
		noneLoading := loadsLeft == p.Options.MaxConcurrentLoads
		if pending.loadCount == 0 || pending.loadingCount > 0 || pending.loadCount <= loadsLeft || noneLoading {
			orders = append(orders, pending.orders...)
			loadsLeft -= pending.loadCount
		}
	}
	return orders
}

// pendingOrdersOf returns the orders for the members that report another
// membership.
func (p *planner) pendingOrdersOf(r *report.Replica) replicaOrders {
	pending := replicaOrders{replica: r}
	for rank, m := range r.Members {
		i := p.instances[m.Instance]
		if i == nil || i.Report == nil {
			continue
		}
		expected := membershipOf(r, unit.Rank(rank))
		if sameMembership(i.Report.Membership, expected) {
			if !i.Report.Ready {
				pending.loadingCount++
			}
			continue
		}
		o := Order{To: m, Order: report.Order{Membership: expected, Members: r.Members}}
		o.LoadsWeights = i.Report.Model != r.Model || i.Report.Version != r.Version || !i.Report.Ready
		if o.LoadsWeights {
			pending.loadCount++
		}
		pending.orders = append(pending.orders, o)
	}
	return pending
}

// membershipOf returns the membership of the member with the rank.
func membershipOf(r *report.Replica, rank unit.Rank) report.Membership {
	return report.Membership{
		Replica: r.ID, Epoch: r.Epoch, Rank: rank, Model: r.Model, Version: r.Version, Adapters: r.Adapters,
	}
}

// sameMembership compares two memberships; the order of adapters doesn't count.
func sameMembership(a, b report.Membership) bool {
	a.Adapters, b.Adapters = slices.Clone(a.Adapters), slices.Clone(b.Adapters)
	slices.Sort(a.Adapters)
	slices.Sort(b.Adapters)
	if len(a.Adapters) == 0 && len(b.Adapters) == 0 {
		a.Adapters, b.Adapters = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// releaseOrders returns orders to leave for the instances that report a replica
// and are members neither in the current nor in the next assignment.
func (p *planner) releaseOrders(next *report.Assignment) []Order {
	assigned := make(map[ident.Instance]bool)
	addMembers := func(a *report.Assignment) {
		for _, r := range a.Replicas {
			for _, m := range r.Members {
				assigned[m.Instance] = true
			}
		}
	}
	addMembers(&p.Current)
	if next != nil {
		addMembers(next)
	}
	var orders []Order
	for _, i := range p.Instances {
		if assigned[i.ID] || !p.isReachable(i.ID) || i.Report == nil || i.Report.Replica == "" || i.Report.Epoch > p.Current.Epoch {
			continue
		}
		orders = append(orders, Order{
			To:    report.Member{Instance: i.ID, Address: i.Address},
			Order: report.Order{Membership: report.Membership{Epoch: p.Current.Epoch}},
		})
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.To.Instance, b.To.Instance) })
	return orders
}
