package formation

import (
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// sentOrder is the last order of an operation to a server. The same order is
// not sent again before retryAt.
type sentOrder struct {
	order   cluster.Order
	retryAt time.Time
}

// acceptedMembership is the membership of a server's incarnation after an order that it has
// accepted. The replica is empty after an order to leave.
type acceptedMembership struct {
	incarnation unit.Incarnation
	replica     ident.Replica
	epoch       unit.Epoch
}

// issueOrder adds an order to the commands unless the same order was sent and
// its retry time has not come.
func (p *Planner) issueOrder(id ident.Instance, o cluster.Order) {
	s := p.snapshot.Server(id)
	if s == nil {
		return
	}
	o.FencingToken = p.fencingToken
	last, sent := p.sentOrders[id][o.Operation]
	if sent && p.now.Before(last.retryAt) && sameOrder(&last.order, &o) {
		return
	}
	if p.sentOrders[id] == nil {
		p.sentOrders[id] = make(map[cluster.Operation]sentOrder)
	}
	p.sentOrders[id][o.Operation] = sentOrder{o, p.now.Add(p.options.RetryInterval)}
	p.commands = append(p.commands, Command{Server: s, Order: o, Confirm: o.Operation == cluster.JoinReplica && !p.knowsMembership(s)})
}

// reportDelay is the time after which a server's report shows an order that it has accepted.
const reportDelay = 200 * time.Millisecond

// knowsMembership reports whether the server's known membership is the one after the last order
// that it has accepted in this term. Only orders of this term can have changed it since, if the
// server checks fencing tokens. At the first start of the system no replica can have been formed
// without the store, and a thousand reports at once would keep the planner from its orders.
func (p *Planner) knowsMembership(s *cluster.Server) bool {
	if p.loads.bootstrap {
		return true
	}
	known := acceptedMembership{incarnation: s.Incarnation}
	if s.Membership != nil {
		known.replica, known.epoch = s.Membership.Replica, s.Membership.Epoch
	}
	accepted, found := p.accepted[s.ID]
	return p.options.Fenced && found && accepted == known
}

// recordAccepted records the membership after an order that the server has accepted.
func (p *Planner) recordAccepted(c *Command) {
	switch c.Order.Operation {
	case cluster.JoinReplica:
		p.accepted[c.Server.ID] = acceptedMembership{c.Server.Incarnation, c.Order.Replica, c.Order.Epoch}
	case cluster.LeaveReplica:
		if m := c.Server.Membership; m != nil && m.Replica == c.Order.Replica && m.Epoch == c.Order.Epoch {
			p.accepted[c.Server.ID] = acceptedMembership{incarnation: c.Server.Incarnation}
		}
	case cluster.OpenReplica, cluster.CloseReplica, cluster.StageModel:
	}
}

// HandleResult applies a server's answer to an order. A load that the server
// rejects is given to another one. If the server loads weights and the order is in
// progress or done, the order is not repeated before the expected end of the load.
func (p *Planner) HandleResult(c Command, result cluster.OrderResult) {
	last, sent := p.sentOrders[c.Server.ID][c.Order.Operation]
	if !sent || !sameOrder(&last.order, &c.Order) {
		return
	}
	if c.Order.Operation == cluster.StageModel && result == cluster.Rejected {
		p.loads.rejectLoad(c.Server.ID)
		delete(p.sentOrders[c.Server.ID], cluster.StageModel)
		return
	}
	isAccepted := result == cluster.InProgress || result == cluster.Done
	switch {
	case result == cluster.OutOfDate, result == cluster.Rejected && c.Confirm:
		// The report or what the planner knew was out of date. Both will be up to date soon.
		last.retryAt = p.now.Add(reportDelay)
		p.sentOrders[c.Server.ID][c.Order.Operation] = last
		return
	case isAccepted:
		p.recordAccepted(&c)
	}
	load, loading := p.loads.running[c.Server.ID]
	if loading && isAccepted {
		last.retryAt = load.expectedEnd
		p.sentOrders[c.Server.ID][c.Order.Operation] = last
	}
}

func sameOrder(a, b *cluster.Order) bool {
	return a.Replica == b.Replica && a.Epoch == b.Epoch && a.Model == b.Model && slices.Equal(a.Members, b.Members)
}
