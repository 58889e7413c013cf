package formation

import (
	"fmt"
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// Times of the stand-in servers.
const (
	rejoinTime = 200 * time.Millisecond
	warmTime   = 1500 * time.Millisecond
	loadTime   = 12 * time.Second
	formTime   = 300 * time.Millisecond
	stallTime  = 6 * time.Second
	tick       = 50 * time.Millisecond
)

// machine is a stand-in of a model server that obeys orders as the users' pages
// say.
type machine struct {
	cluster.Server
	dead bool
	// seen is the highest epoch, lists the members by replica and epoch.
	seen  unit.Epoch
	fence unit.Revision
	last  ident.Model
	// readyAt ends a join or an opening, stagedAt a load.
	readyAt  time.Time
	next     cluster.MemberState
	staging  ident.Model
	stagedAt time.Time
	members  []ident.Instance
	// stalled is since when the head has missed a member.
	stalled time.Time
}

// world is a set of servers, with the rules that no planner may break.
type world struct {
	now      time.Time
	machines map[ident.Instance]*machine
	config   *cluster.Config
	// ready has the members that were ever ready, by replica and epoch.
	ready map[catalog.ReplicaKey]map[ident.Instance]bool
	lists map[catalog.ReplicaKey][]ident.Instance
	// broken collects broken rules.
	broken []string
	// out is a data centre that is out of service.
	out ident.DataCentre
	// late orders are carried out at their time.
	late []lateOrder
	// lose, if set, says how an order is treated.
	lose func() (lost, late bool)
}

type lateOrder struct {
	at time.Time
	to ident.Instance
	o  cluster.Order
}

func newWorld(domains, size int, models ...cluster.Model) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), machines: make(map[ident.Instance]*machine),
		ready: make(map[catalog.ReplicaKey]map[ident.Instance]bool), lists: make(map[catalog.ReplicaKey][]ident.Instance),
	}
	w.config = &cluster.Config{Version: 1, Services: map[ident.Service]*cluster.Service{
		"llm": {Name: "llm", Engine: &cluster.Engine{Models: models, MaxLoadsPerSecond: 4.5, MaxConcurrentLoads: 6}},
	}}
	for d := range domains {
		for i := range size {
			w.add(fmt.Sprintf("d%d-%02d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return w
}

func (w *world) add(id, domain string) *machine {
	m := &machine{Server: cluster.Server{
		ID: ident.Instance(id), Service: "llm", DataCentre: ident.DataCentre("z" + domain[1:]), Domain: ident.FabricDomain(domain),
		Incarnation: unit.Incarnation(w.now.UnixMilli()), Slots: 8,
	}}
	w.machines[m.ID] = m
	return m
}

// restart gives the machine a new life with its staged weights.
func (w *world) restart(id ident.Instance) {
	old := w.machines[id]
	m := w.add(string(id), string(old.Domain))
	m.StagedModels = old.StagedModels
	m.Incarnation++
}

// view is what the platform lists.
func (w *world) view() *catalog.Snapshot {
	cat := catalog.New(nil)
	u := catalog.Update{Config: w.config, Synced: true}
	if w.out != "" {
		u.Drained = []ident.DataCentre{w.out}
	}
	for _, m := range w.machines {
		s := m.Server
		if m.Membership != nil {
			member := *m.Membership
			s.Membership = &member
		}
		u.Servers = append(u.Servers, &s)
	}
	cat.Apply(u)
	return cat.Current()
}

// step lets time pass and gives the planner's orders.
func (w *world) step(p *Planner, bootstrap bool) {
	w.now = w.now.Add(tick)
	w.carryOutLate()
	for _, m := range w.machines {
		w.progress(m, bootstrap)
	}
	for _, c := range p.Step(w.now, w.view(), bootstrap) {
		lost, late := false, false
		if w.lose != nil {
			lost, late = w.lose()
		}
		switch {
		case late:
			w.late = append(w.late, lateOrder{w.now.Add(3 * time.Second), c.Server.ID, c.Order})
		case !lost:
			p.Result(c, w.obey(c.Server.ID, &c.Order, bootstrap))
		}
		if (lost || late) && w.machines[c.Server.ID].dead {
			p.Dead(c.Server)
		}
	}
	p.Noted = nil
}

func (w *world) carryOutLate() {
	for _, l := range w.late {
		if !w.now.Before(l.at) {
			w.obey(l.to, &l.o, false)
		}
	}
	w.late = slices.DeleteFunc(w.late, func(l lateOrder) bool { return !w.now.Before(l.at) })
}

func (w *world) progress(m *machine, bootstrap bool) {
	if m.dead {
		return
	}
	if m.staging != "" && !w.now.Before(m.stagedAt) {
		m.StagedModels, m.staging = []ident.Model{m.staging}, ""
	}
	if m.Membership == nil {
		return
	}
	key := catalog.ReplicaKey{Replica: m.Membership.Replica, Epoch: m.Membership.Epoch}
	if m.next != "" && !w.now.Before(m.readyAt) {
		m.Membership.State, m.next = m.next, ""
		if w.ready[key] == nil {
			w.ready[key] = make(map[ident.Instance]bool)
		}
		w.ready[key][m.ID] = true
		if m.Membership.State == cluster.Open {
			w.checkWhole(m, key)
		}
	}
	if m.Membership.State == cluster.Closing {
		m.Membership.State = cluster.Ready
	}
	w.stall(m, key, bootstrap)
}

// checkWhole notes a head that serves with a member that was never ready.
func (w *world) checkWhole(m *machine, key catalog.ReplicaKey) {
	model := w.config.Services["llm"].Engine.Model(m.Membership.Model)
	if len(m.members) != model.ServersPerReplica {
		w.broken = append(w.broken, fmt.Sprintf("%s opens with %d of %d members", key.Replica, len(m.members), model.ServersPerReplica))
	}
	for _, id := range m.members {
		if !w.ready[key][id] {
			w.broken = append(w.broken, fmt.Sprintf("%s epoch %d opens and %s was never ready", key.Replica, key.Epoch, id))
		}
	}
}

// stall makes a head stand still while a member is missing, and broken later.
func (w *world) stall(m *machine, key catalog.ReplicaKey, _ bool) {
	if m.Membership.Rank != 0 || m.Membership.State != cluster.Open {
		m.stalled = time.Time{}
		return
	}
	whole := true
	for _, id := range m.members {
		o := w.machines[id]
		if o == nil || o.dead || o.Membership == nil || o.Membership.Replica != key.Replica || o.Membership.Epoch != key.Epoch {
			whole = false
		}
	}
	switch {
	case whole:
		m.stalled = time.Time{}
	case m.stalled.IsZero():
		m.stalled = w.now
	case w.now.Sub(m.stalled) >= stallTime:
		m.Membership.State = cluster.Broken
	}
}

// obey carries out an order.
func (w *world) obey(id ident.Instance, o *cluster.Order, bootstrap bool) cluster.OrderResult {
	m := w.machines[id]
	if m == nil || m.dead {
		return cluster.Unanswered
	}
	if o.FencingToken < m.fence {
		return cluster.Fenced
	}
	m.fence = o.FencingToken
	switch o.Operation {
	case cluster.JoinReplica:
		return w.join(m, o, bootstrap)
	case cluster.OpenReplica:
		if m.Membership == nil || m.Membership.Replica != o.Replica || m.Membership.Epoch != o.Epoch || m.Membership.State != cluster.Ready {
			return cluster.Rejected
		}
		if m.next == "" {
			m.next, m.readyAt = cluster.Open, w.now.Add(formTime)
		}
		return cluster.InProgress
	case cluster.CloseReplica:
		if m.Membership != nil && m.Membership.Replica == o.Replica && m.Membership.Epoch == o.Epoch && m.Membership.State == cluster.Open {
			m.Membership.State = cluster.Closing
		}
		return cluster.InProgress
	case cluster.LeaveReplica:
		if m.Membership != nil && m.Membership.Replica == o.Replica && m.Membership.Epoch == o.Epoch {
			m.Membership, m.next, m.members = nil, "", nil
		}
		return cluster.Done
	case cluster.StageModel:
		if m.staging == "" && !m.HasStaged(o.Model) {
			m.staging, m.stagedAt = o.Model, w.now.Add(w.load(bootstrap))
		}
		return cluster.InProgress
	}
	return cluster.Rejected
}

func (w *world) load(bootstrap bool) time.Duration {
	if bootstrap {
		return loadTime / 10
	}
	return loadTime
}

func (w *world) join(m *machine, o *cluster.Order, bootstrap bool) cluster.OrderResult {
	key := catalog.ReplicaKey{Replica: o.Replica, Epoch: o.Epoch}
	if list, known := w.lists[key]; known && !slices.Equal(list, o.Members) {
		w.broken = append(w.broken, fmt.Sprintf("%s epoch %d with two lists of members", o.Replica, o.Epoch))
	}
	w.lists[key] = o.Members
	if m.Membership != nil && m.Membership.Replica == o.Replica && m.Membership.Epoch == o.Epoch {
		return cluster.Done
	}
	if o.Epoch < m.seen {
		return cluster.Rejected
	}
	w.checkAlone(m, o)
	m.seen = o.Epoch
	wait := w.load(bootstrap)
	switch {
	case m.last == o.Model:
		wait = rejoinTime
	case m.HasStaged(o.Model):
		wait = warmTime
	}
	m.last, m.StagedModels, m.staging = o.Model, []ident.Model{o.Model}, ""
	m.Membership = &cluster.Membership{Replica: o.Replica, Epoch: o.Epoch, Rank: unit.Rank(slices.Index(o.Members, m.ID)), Model: o.Model, State: cluster.Joining}
	m.members, m.next, m.readyAt = o.Members, cluster.Ready, w.now.Add(wait)
	return cluster.InProgress
}

// checkAlone notes a server that joins another replica while the head of its own
// may still serve.
func (w *world) checkAlone(m *machine, o *cluster.Order) {
	if m.Membership == nil || m.Membership.Replica == o.Replica || len(m.members) == 0 {
		return
	}
	head := w.machines[m.members[0]]
	if head == nil || head.dead || head.Membership == nil || head.Membership.Replica != m.Membership.Replica || head.Membership.Epoch != m.Membership.Epoch {
		return
	}
	if head.Membership.State == cluster.Open || head.Membership.State == cluster.Closing {
		w.broken = append(w.broken, fmt.Sprintf("%s joins %s while %s still serves %s", m.ID, o.Replica, head.ID, m.Membership.Replica))
	}
}

// serving counts the replicas of each model that are open and whole.
func (w *world) serving() map[ident.Model]int {
	count := make(map[ident.Model]int)
	for _, m := range w.machines {
		if m.dead || m.Membership == nil || m.Membership.Rank != 0 || m.Membership.State != cluster.Open || !m.stalled.IsZero() {
			continue
		}
		count[m.Membership.Model]++
	}
	return count
}
