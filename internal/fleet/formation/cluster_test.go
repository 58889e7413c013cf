package formation

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// Times of the fake servers.
const (
	rejoinTime     = 200 * time.Millisecond
	stagedLoadTime = 1500 * time.Millisecond
	loadTime       = 12 * time.Second
	openTime       = 300 * time.Millisecond
	stallTime      = 6 * time.Second
	stepInterval   = 50 * time.Millisecond
)

// fakeServer is a model server that carries out orders by the rules of the
// platform's documentation.
type fakeServer struct {
	cluster.Server
	failed bool
	// cutOff says that neither the planner nor the platform can reach the server.
	cutOff bool
	// orderCount is the number of orders that the server has received.
	orderCount int
	// highestEpoch is the highest epoch of the orders to join that the server
	// accepted.
	highestEpoch unit.Epoch
	fencingToken unit.Revision
	lastModel    ident.Model
	// nextStateAt is the time at which the membership gets nextState, if that
	// is set.
	nextStateAt time.Time
	nextState   cluster.MemberState
	// stagingModel is the model that the server loads, until stagingEnd.
	stagingModel ident.Model
	stagingEnd   time.Time
	members      []ident.Instance
	// stalledSince is the time since which the head has lacked a member.
	stalledSince time.Time
}

// testCluster is a set of fake servers with a clock. It checks the rules that
// no planner may break.
type testCluster struct {
	now     time.Time
	servers map[ident.Instance]*fakeServer
	config  *cluster.Config
	// everReady has the members that were ready at any time, by replica and
	// epoch.
	everReady map[catalog.ReplicaKey]map[ident.Instance]bool
	// memberLists has the members in the orders to join, by replica and epoch.
	memberLists map[catalog.ReplicaKey][]ident.Instance
	// violations collects the broken rules.
	violations []string
	// drainedDataCentre is drained unless empty.
	drainedDataCentre ident.DataCentre
	// listed has the servers as the platform listed them before its store failed, and
	// as they have reported since; nil while the store works.
	listed *catalog.Catalog
	// strictLeave says that an order to leave a replica that serves is a violation. It isn't
	// where orders are lost, as a replica is given up in the end though its head has not closed.
	strictLeave bool
	// lateOrders are carried out when their time has come.
	lateOrders []lateOrder
	// demand is the offered load that the planner gets, nil if it is unknown.
	demand map[ident.Model]unit.Slots
	// decisions has the decisions of the last step.
	decisions []Decision
	// orderFault, if set, says whether an order is lost or carried out late.
	orderFault func() (lost, late bool)
}

// lateOrder is an order that reaches its server late.
type lateOrder struct {
	executeAt time.Time
	to        ident.Instance
	order     cluster.Order
}

// newTestCluster returns a cluster with the given number of domains and of
// servers in each.
func newTestCluster(domains, size int, models ...cluster.Model) *testCluster {
	tc := &testCluster{
		now: time.Unix(1_000_000, 0), servers: make(map[ident.Instance]*fakeServer),
		everReady: make(map[catalog.ReplicaKey]map[ident.Instance]bool), memberLists: make(map[catalog.ReplicaKey][]ident.Instance),
	}
	tc.config = &cluster.Config{Version: 1, Services: map[ident.Service]*cluster.Service{
		"llm": {Name: "llm", Engine: &cluster.Engine{Models: models, MaxLoadsPerSecond: 4.5, MaxConcurrentLoads: 6}},
	}}
	for d := range domains {
		for i := range size {
			tc.addServer(fmt.Sprintf("d%d-%02d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return tc
}

// dataCentres is the number of data centres, among which the domains are distributed.
const dataCentres = 3

// addServer adds a server to the domain. The name of a domain is a letter and its number.
func (tc *testCluster) addServer(id, domain string) *fakeServer {
	number, err := strconv.Atoi(domain[1:])
	if err != nil {
		panic(err)
	}
	server := &fakeServer{Server: cluster.Server{
		ID: ident.Instance(id), Service: "llm", DataCentre: ident.DataCentre(fmt.Sprintf("z%d", number%dataCentres)), Domain: ident.FabricDomain(domain),
		Incarnation: unit.Incarnation(tc.now.UnixMilli()), Slots: 8,
	}}
	tc.servers[server.ID] = server
	return server
}

// restartServer replaces the server by a new incarnation that keeps the staged
// weights.
func (tc *testCluster) restartServer(id ident.Instance) {
	old := tc.servers[id]
	server := tc.addServer(string(id), string(old.Domain))
	server.StagedModels = old.StagedModels
	server.Incarnation++
}

// snapshot returns the configuration and the servers as the platform lists
// them.
func (tc *testCluster) snapshot() *catalog.Snapshot {
	if tc.listed != nil {
		return tc.listed.Current()
	}
	return tc.list().Current()
}

// list returns a catalog with the servers as they are now.
func (tc *testCluster) list() *catalog.Catalog {
	catalogue := catalog.New(clockwork.NewFakeClock())
	update := catalog.Update{Config: tc.config, Synced: true}
	if tc.drainedDataCentre != "" {
		update.Drained = map[ident.DataCentre]bool{tc.drainedDataCentre: true}
	}
	for _, server := range tc.servers {
		if server.cutOff {
			continue
		}
		update.Servers = append(update.Servers, server.report())
	}
	catalogue.Apply(update)
	return catalogue
}

// report returns the state of the server.
func (s *fakeServer) report() *cluster.Server {
	reported := s.Server
	if s.Membership != nil {
		member := *s.Membership
		reported.Membership = &member
	}
	return &reported
}

// step advances the clock by stepInterval and carries out the planner's orders.
func (tc *testCluster) step(p *Planner, bootstrap bool) {
	tc.now = tc.now.Add(stepInterval)
	tc.executeLateOrders()
	for _, server := range tc.servers {
		tc.progressServer(server, bootstrap)
	}
	p.Demand, p.StoreUnavailable = nil, tc.listed != nil
	if tc.demand != nil {
		p.Demand = Demand{"llm": tc.demand}
	}
	for _, c := range p.Step(tc.now, tc.snapshot(), bootstrap) {
		lost, late := false, false
		if tc.orderFault != nil {
			lost, late = tc.orderFault()
		}
		switch {
		case late:
			tc.lateOrders = append(tc.lateOrders, lateOrder{tc.now.Add(3 * time.Second), c.Server.ID, c.Order})
		case !lost:
			p.HandleResult(c, tc.sendCommand(&c, bootstrap))
		}
		if (lost || late) && tc.servers[c.Server.ID].failed {
			p.MarkUnreachable(c.Server)
		}
	}
	tc.decisions, p.Decisions = p.Decisions, nil
	for _, s := range slices.Concat(p.Awaited, p.Unconfirmed) {
		if server := tc.servers[s.ID]; tc.listed != nil && !server.failed {
			tc.listed.ApplyReport(server.report())
		}
	}
}

// sendCommand confirms the command by the server's report, if it has to be confirmed, and sends
// the order. A report that doesn't confirm it is applied to the list of servers.
func (tc *testCluster) sendCommand(command *Command, bootstrap bool) cluster.OrderResult {
	server := tc.servers[command.Server.ID]
	if !command.Confirm || server == nil || server.failed || server.cutOff {
		return tc.executeOrder(command.Server.ID, &command.Order, bootstrap)
	}
	if command.IsConfirmedBy(server.report()) {
		return tc.executeOrder(command.Server.ID, &command.Order, bootstrap)
	}
	if tc.listed != nil {
		tc.listed.ApplyReport(server.report())
	}
	return cluster.OutOfDate
}

func (tc *testCluster) executeLateOrders() {
	for _, l := range tc.lateOrders {
		if !tc.now.Before(l.executeAt) {
			tc.executeOrder(l.to, &l.order, false)
		}
	}
	tc.lateOrders = slices.DeleteFunc(tc.lateOrders, func(l lateOrder) bool { return !tc.now.Before(l.executeAt) })
}

// progressServer ends the loads and state changes of a server whose time has
// come.
func (tc *testCluster) progressServer(server *fakeServer, bootstrap bool) {
	if server.failed {
		return
	}
	if server.stagingModel != "" && !tc.now.Before(server.stagingEnd) {
		server.StagedModels, server.stagingModel = []ident.Model{server.stagingModel}, ""
	}
	if server.Membership == nil {
		return
	}
	key := catalog.ReplicaKey{Replica: server.Membership.Replica, Epoch: server.Membership.Epoch}
	if server.nextState != "" && !tc.now.Before(server.nextStateAt) {
		server.Membership.State, server.nextState = server.nextState, ""
		if tc.everReady[key] == nil {
			tc.everReady[key] = make(map[ident.Instance]bool)
		}
		tc.everReady[key][server.ID] = true
		if server.Membership.State == cluster.Open {
			tc.checkAllReady(server, key)
		}
	}
	if server.Membership.State == cluster.Closing {
		server.Membership.State = cluster.Ready
	}
	tc.updateStall(server, key, bootstrap)
}

// checkAllReady records a violation if the head opens while a member has never
// been ready.
func (tc *testCluster) checkAllReady(server *fakeServer, key catalog.ReplicaKey) {
	model := tc.config.Services["llm"].Engine.Model(server.Membership.Model)
	if len(server.members) != model.ServersPerReplica {
		tc.violations = append(tc.violations, fmt.Sprintf("%s opens with %d of %d members", key.Replica, len(server.members), model.ServersPerReplica))
	}
	for _, id := range server.members {
		if !tc.everReady[key][id] {
			tc.violations = append(tc.violations, fmt.Sprintf("%s epoch %d opens although %s has never been ready", key.Replica, key.Epoch, id))
		}
	}
}

// updateStall records since when the head has lacked a member. After the stall
// time the head reports that it is broken.
func (tc *testCluster) updateStall(server *fakeServer, key catalog.ReplicaKey, _ bool) {
	if server.Membership.Rank != 0 || server.Membership.State != cluster.Open {
		server.stalledSince = time.Time{}
		return
	}
	complete := true
	for _, id := range server.members {
		member := tc.servers[id]
		if member == nil || member.failed || member.Membership == nil || member.Membership.Replica != key.Replica || member.Membership.Epoch != key.Epoch {
			complete = false
		}
	}
	switch {
	case complete:
		server.stalledSince = time.Time{}
	case server.stalledSince.IsZero():
		server.stalledSince = tc.now
	case tc.now.Sub(server.stalledSince) >= stallTime:
		server.Membership.State = cluster.Broken
	}
}

// executeOrder carries out an order and returns the server's answer.
func (tc *testCluster) executeOrder(id ident.Instance, o *cluster.Order, bootstrap bool) cluster.OrderResult {
	server := tc.servers[id]
	if server == nil || server.failed || server.cutOff {
		return cluster.Unanswered
	}
	server.orderCount++
	if o.FencingToken < server.fencingToken {
		return cluster.Fenced
	}
	server.fencingToken = o.FencingToken
	switch o.Operation {
	case cluster.JoinReplica:
		return tc.joinReplica(server, o, bootstrap)
	case cluster.OpenReplica:
		if server.Membership == nil || server.Membership.Replica != o.Replica || server.Membership.Epoch != o.Epoch || server.Membership.State != cluster.Ready {
			return cluster.Rejected
		}
		if server.nextState == "" {
			server.nextState, server.nextStateAt = cluster.Open, tc.now.Add(openTime)
		}
		return cluster.InProgress
	case cluster.CloseReplica:
		if server.Membership != nil && server.Membership.Replica == o.Replica && server.Membership.Epoch == o.Epoch && server.Membership.State == cluster.Open {
			server.Membership.State = cluster.Closing
		}
		return cluster.InProgress
	case cluster.LeaveReplica:
		if server.Membership != nil && server.Membership.Replica == o.Replica && server.Membership.Epoch == o.Epoch {
			if tc.strictLeave {
				tc.checkNotServing(server)
			}
			server.Membership, server.nextState, server.members = nil, "", nil
		}
		return cluster.Done
	case cluster.StageModel:
		if server.stagingModel != "" && server.stagingModel != o.Model {
			return cluster.Rejected
		}
		if server.stagingModel == "" && !server.HasStaged(o.Model) {
			server.stagingModel, server.stagingEnd = o.Model, tc.now.Add(tc.loadDuration(bootstrap))
		}
		return cluster.InProgress
	}
	return cluster.Rejected
}

func (tc *testCluster) loadDuration(bootstrap bool) time.Duration {
	if bootstrap {
		return loadTime / 10
	}
	return loadTime
}

// joinReplica carries out an order to join a replica.
func (tc *testCluster) joinReplica(server *fakeServer, o *cluster.Order, bootstrap bool) cluster.OrderResult {
	key := catalog.ReplicaKey{Replica: o.Replica, Epoch: o.Epoch}
	if list, known := tc.memberLists[key]; known && !slices.Equal(list, o.Members) {
		tc.violations = append(tc.violations, fmt.Sprintf("%s epoch %d has two lists of members", o.Replica, o.Epoch))
	}
	tc.memberLists[key] = o.Members
	if server.Membership != nil && server.Membership.Replica == o.Replica && server.Membership.Epoch == o.Epoch {
		return cluster.Done
	}
	if o.Epoch < server.highestEpoch {
		return cluster.Rejected
	}
	tc.checkNoSecondReplica(server, o)
	server.highestEpoch = o.Epoch
	joinTime := tc.loadDuration(bootstrap)
	switch {
	case server.lastModel == o.Model:
		// Whatever is staged or loaded stays so.
		joinTime = rejoinTime
		server.Membership = &cluster.Membership{Replica: o.Replica, Epoch: o.Epoch, Rank: unit.Rank(slices.Index(o.Members, server.ID)), Model: o.Model, State: cluster.Joining}
		server.members, server.nextState, server.nextStateAt = o.Members, cluster.Ready, tc.now.Add(joinTime)
		return cluster.InProgress
	case server.HasStaged(o.Model):
		joinTime = stagedLoadTime
	}
	server.lastModel, server.StagedModels, server.stagingModel = o.Model, []ident.Model{o.Model}, ""
	server.Membership = &cluster.Membership{Replica: o.Replica, Epoch: o.Epoch, Rank: unit.Rank(slices.Index(o.Members, server.ID)), Model: o.Model, State: cluster.Joining}
	server.members, server.nextState, server.nextStateAt = o.Members, cluster.Ready, tc.now.Add(joinTime)
	return cluster.InProgress
}

// checkNoSecondReplica records a violation if a server joins another replica
// while the head of its present replica may still serve.
func (tc *testCluster) checkNoSecondReplica(server *fakeServer, o *cluster.Order) {
	if server.Membership == nil || server.Membership.Replica == o.Replica || len(server.members) == 0 {
		return
	}
	head := tc.servers[server.members[0]]
	if head == nil || head.failed || head.Membership == nil || head.Membership.Replica != server.Membership.Replica || head.Membership.Epoch != server.Membership.Epoch {
		return
	}
	if head.Membership.State == cluster.Open || head.Membership.State == cluster.Closing {
		tc.violations = append(tc.violations, fmt.Sprintf("%s joins %s while %s still serves %s", server.ID, o.Replica, head.ID, server.Membership.Replica))
	}
}

// checkNotServing records a violation if a server is ordered to leave a replica that is open and
// complete. A replica that is given up is closed first.
func (tc *testCluster) checkNotServing(server *fakeServer) {
	head := tc.servers[server.members[0]]
	if head.failed || head.Membership == nil || head.Membership.State != cluster.Open || !head.stalledSince.IsZero() {
		return
	}
	if head.Membership.Replica == server.Membership.Replica && head.Membership.Epoch == server.Membership.Epoch {
		tc.violations = append(tc.violations, fmt.Sprintf("%s has to leave %s, which serves", server.ID, server.Membership.Replica))
	}
}

// servingReplicas counts the complete and open replicas of each model.
func (tc *testCluster) servingReplicas() map[ident.Model]int {
	counts := make(map[ident.Model]int)
	for _, server := range tc.servers {
		if server.failed || server.Membership == nil || server.Membership.Rank != 0 || server.Membership.State != cluster.Open || !server.stalledSince.IsZero() {
			continue
		}
		counts[server.Membership.Model]++
	}
	return counts
}

// cutOff cuts the data centre off and returns its servers in order of their ids.
func (tc *testCluster) cutOff(dc ident.DataCentre) []ident.Instance {
	var ids []ident.Instance
	for id, server := range tc.servers {
		if server.DataCentre == dc {
			server.cutOff = true
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
