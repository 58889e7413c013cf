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
	rejoinTime   = 200 * time.Millisecond
	warmTime     = 1500 * time.Millisecond
	loadTime     = 12 * time.Second
	openTime     = 300 * time.Millisecond
	stallTime    = 6 * time.Second
	stepInterval = 50 * time.Millisecond
)

// fakeServer is a stand-in of a model server that obeys orders as the users' pages
// say.
type fakeServer struct {
	cluster.Server
	failed bool
	// highestEpoch is the highest epoch, lists the members by replica and epoch.
	highestEpoch unit.Epoch
	fencingToken unit.Revision
	lastModel    ident.Model
	// readyAt ends a join or an opening, stagedAt a load.
	readyAt   time.Time
	nextState cluster.MemberState
	staging   ident.Model
	stagedAt  time.Time
	members   []ident.Instance
	// stalledSince is since when the head has missed a member.
	stalledSince time.Time
}

// testCluster is a set of servers, with the rules that no planner may break.
type testCluster struct {
	now     time.Time
	servers map[ident.Instance]*fakeServer
	config  *cluster.Config
	// everReady has the members that were ever ready, by replica and epoch.
	everReady   map[catalog.ReplicaKey]map[ident.Instance]bool
	memberLists map[catalog.ReplicaKey][]ident.Instance
	// violations collects broken rules.
	violations []string
	// drainedDataCentre is a data centre that is out of service.
	drainedDataCentre ident.DataCentre
	// lateOrders orders are carried out at their time.
	lateOrders []lateOrder
	// orderFault, if set, says how an order is treated.
	orderFault func() (lost, late bool)
}

type lateOrder struct {
	executeAt time.Time
	to        ident.Instance
	order     cluster.Order
}

func newTestCluster(domains, size int, models ...cluster.Model) *testCluster {
	w := &testCluster{
		now: time.Unix(1_000_000, 0), servers: make(map[ident.Instance]*fakeServer),
		everReady: make(map[catalog.ReplicaKey]map[ident.Instance]bool), memberLists: make(map[catalog.ReplicaKey][]ident.Instance),
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

func (w *testCluster) add(id, domain string) *fakeServer {
	m := &fakeServer{Server: cluster.Server{
		ID: ident.Instance(id), Service: "llm", DataCentre: ident.DataCentre("z" + domain[1:]), Domain: ident.FabricDomain(domain),
		Incarnation: unit.Incarnation(w.now.UnixMilli()), Slots: 8,
	}}
	w.servers[m.ID] = m
	return m
}

// restart gives the machine a new life with its staged weights.
func (w *testCluster) restart(id ident.Instance) {
	old := w.servers[id]
	m := w.add(string(id), string(old.Domain))
	m.StagedModels = old.StagedModels
	m.Incarnation++
}

// snapshot is what the platform lists.
func (w *testCluster) snapshot() *catalog.Snapshot {
	cat := catalog.New(nil)
	u := catalog.Update{Config: w.config, Synced: true}
	if w.drainedDataCentre != "" {
		u.Drained = []ident.DataCentre{w.drainedDataCentre}
	}
	for _, m := range w.servers {
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
func (w *testCluster) step(p *Planner, bootstrap bool) {
	w.now = w.now.Add(stepInterval)
	w.executeLateOrders()
	for _, m := range w.servers {
		w.progress(m, bootstrap)
	}
	for _, c := range p.Step(w.now, w.snapshot(), bootstrap) {
		lost, late := false, false
		if w.orderFault != nil {
			lost, late = w.orderFault()
		}
		switch {
		case late:
			w.lateOrders = append(w.lateOrders, lateOrder{w.now.Add(3 * time.Second), c.Server.ID, c.Order})
		case !lost:
			p.HandleResult(c, w.execute(c.Server.ID, &c.Order, bootstrap))
		}
		if (lost || late) && w.servers[c.Server.ID].failed {
			p.MarkUnreachable(c.Server)
		}
	}
	p.Decisions = nil
}

func (w *testCluster) executeLateOrders() {
	for _, l := range w.lateOrders {
		if !w.now.Before(l.executeAt) {
			w.execute(l.to, &l.order, false)
		}
	}
	w.lateOrders = slices.DeleteFunc(w.lateOrders, func(l lateOrder) bool { return !w.now.Before(l.executeAt) })
}

func (w *testCluster) progress(m *fakeServer, bootstrap bool) {
	if m.failed {
		return
	}
	if m.staging != "" && !w.now.Before(m.stagedAt) {
		m.StagedModels, m.staging = []ident.Model{m.staging}, ""
	}
	if m.Membership == nil {
		return
	}
	key := catalog.ReplicaKey{Replica: m.Membership.Replica, Epoch: m.Membership.Epoch}
	if m.nextState != "" && !w.now.Before(m.readyAt) {
		m.Membership.State, m.nextState = m.nextState, ""
		if w.everReady[key] == nil {
			w.everReady[key] = make(map[ident.Instance]bool)
		}
		w.everReady[key][m.ID] = true
		if m.Membership.State == cluster.Open {
			w.checkAllReady(m, key)
		}
	}
	if m.Membership.State == cluster.Closing {
		m.Membership.State = cluster.Ready
	}
	w.updateStall(m, key, bootstrap)
}

// checkAllReady notes a head that serves with a member that was never ready.
func (w *testCluster) checkAllReady(m *fakeServer, key catalog.ReplicaKey) {
	model := w.config.Services["llm"].Engine.Model(m.Membership.Model)
	if len(m.members) != model.ServersPerReplica {
		w.violations = append(w.violations, fmt.Sprintf("%s opens with %d of %d members", key.Replica, len(m.members), model.ServersPerReplica))
	}
	for _, id := range m.members {
		if !w.everReady[key][id] {
			w.violations = append(w.violations, fmt.Sprintf("%s epoch %d opens and %s was never ready", key.Replica, key.Epoch, id))
		}
	}
}

// updateStall makes a head stand still while a member is missing, and broken later.
func (w *testCluster) updateStall(m *fakeServer, key catalog.ReplicaKey, _ bool) {
	if m.Membership.Rank != 0 || m.Membership.State != cluster.Open {
		m.stalledSince = time.Time{}
		return
	}
	complete := true
	for _, id := range m.members {
		o := w.servers[id]
		if o == nil || o.failed || o.Membership == nil || o.Membership.Replica != key.Replica || o.Membership.Epoch != key.Epoch {
			complete = false
		}
	}
	switch {
	case complete:
		m.stalledSince = time.Time{}
	case m.stalledSince.IsZero():
		m.stalledSince = w.now
	case w.now.Sub(m.stalledSince) >= stallTime:
		m.Membership.State = cluster.Broken
	}
}

// execute carries out an order.
func (w *testCluster) execute(id ident.Instance, o *cluster.Order, bootstrap bool) cluster.OrderResult {
	m := w.servers[id]
	if m == nil || m.failed {
		return cluster.Unanswered
	}
	if o.FencingToken < m.fencingToken {
		return cluster.Fenced
	}
	m.fencingToken = o.FencingToken
	switch o.Operation {
	case cluster.JoinReplica:
		return w.join(m, o, bootstrap)
	case cluster.OpenReplica:
		if m.Membership == nil || m.Membership.Replica != o.Replica || m.Membership.Epoch != o.Epoch || m.Membership.State != cluster.Ready {
			return cluster.Rejected
		}
		if m.nextState == "" {
			m.nextState, m.readyAt = cluster.Open, w.now.Add(openTime)
		}
		return cluster.InProgress
	case cluster.CloseReplica:
		if m.Membership != nil && m.Membership.Replica == o.Replica && m.Membership.Epoch == o.Epoch && m.Membership.State == cluster.Open {
			m.Membership.State = cluster.Closing
		}
		return cluster.InProgress
	case cluster.LeaveReplica:
		if m.Membership != nil && m.Membership.Replica == o.Replica && m.Membership.Epoch == o.Epoch {
			m.Membership, m.nextState, m.members = nil, "", nil
		}
		return cluster.Done
	case cluster.StageModel:
		if m.staging == "" && !m.HasStaged(o.Model) {
			m.staging, m.stagedAt = o.Model, w.now.Add(w.loadDuration(bootstrap))
		}
		return cluster.InProgress
	}
	return cluster.Rejected
}

func (w *testCluster) loadDuration(bootstrap bool) time.Duration {
	if bootstrap {
		return loadTime / 10
	}
	return loadTime
}

func (w *testCluster) join(m *fakeServer, o *cluster.Order, bootstrap bool) cluster.OrderResult {
	key := catalog.ReplicaKey{Replica: o.Replica, Epoch: o.Epoch}
	if list, known := w.memberLists[key]; known && !slices.Equal(list, o.Members) {
		w.violations = append(w.violations, fmt.Sprintf("%s epoch %d with two lists of members", o.Replica, o.Epoch))
	}
	w.memberLists[key] = o.Members
	if m.Membership != nil && m.Membership.Replica == o.Replica && m.Membership.Epoch == o.Epoch {
		return cluster.Done
	}
	if o.Epoch < m.highestEpoch {
		return cluster.Rejected
	}
	w.checkNoSecondReplica(m, o)
	m.highestEpoch = o.Epoch
	wait := w.loadDuration(bootstrap)
	switch {
	case m.lastModel == o.Model:
		wait = rejoinTime
	case m.HasStaged(o.Model):
		wait = warmTime
	}
	m.lastModel, m.StagedModels, m.staging = o.Model, []ident.Model{o.Model}, ""
	m.Membership = &cluster.Membership{Replica: o.Replica, Epoch: o.Epoch, Rank: unit.Rank(slices.Index(o.Members, m.ID)), Model: o.Model, State: cluster.Joining}
	m.members, m.nextState, m.readyAt = o.Members, cluster.Ready, w.now.Add(wait)
	return cluster.InProgress
}

// checkNoSecondReplica notes a server that joins another replica while the head of its own
// may still serve.
func (w *testCluster) checkNoSecondReplica(m *fakeServer, o *cluster.Order) {
	if m.Membership == nil || m.Membership.Replica == o.Replica || len(m.members) == 0 {
		return
	}
	head := w.servers[m.members[0]]
	if head == nil || head.failed || head.Membership == nil || head.Membership.Replica != m.Membership.Replica || head.Membership.Epoch != m.Membership.Epoch {
		return
	}
	if head.Membership.State == cluster.Open || head.Membership.State == cluster.Closing {
		w.violations = append(w.violations, fmt.Sprintf("%s joins %s while %s still serves %s", m.ID, o.Replica, head.ID, m.Membership.Replica))
	}
}

// servingReplicas counts the replicas of each model that are open and whole.
func (w *testCluster) servingReplicas() map[ident.Model]int {
	count := make(map[ident.Model]int)
	for _, m := range w.servers {
		if m.failed || m.Membership == nil || m.Membership.Rank != 0 || m.Membership.State != cluster.Open || !m.stalledSince.IsZero() {
			continue
		}
		count[m.Membership.Model]++
	}
	return count
}
