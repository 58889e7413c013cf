// Package formation assigns model servers to replicas on the adapter
// "platform", whose servers are ordered to join, open, close and leave
// replicas. One daemon, the leader, forms replicas, repairs replicas that have
// lost a member, and has model weights staged on spare servers.
package formation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// Command is an order to send to a server.
type Command struct {
	// Server is the server as the planner knew it when it decided.
	Server *cluster.Server
	Order  cluster.Order
	// Confirm says that the server's own report has to confirm what the planner knew, before
	// the order is sent.
	Confirm bool
}

// IsConfirmedBy reports whether the server's own report shows the membership that the planner
// knew, or the one that the order brings about.
func (c *Command) IsConfirmedBy(reported *cluster.Server) bool {
	m := reported.Membership
	return reported.SameMembership(c.Server) || m != nil && m.Replica == c.Order.Replica && m.Epoch == c.Order.Epoch
}

// phase is the state of a replica in its life cycle.
type phase int

const (
	// joining replicas wait until all members are ready.
	joining phase = iota
	// opening replicas wait until the head serves.
	opening
	serving
	// closing replicas finish their requests, since a member drains.
	closing
	// incomplete replicas lack members.
	incomplete
	// dissolving replicas release their members for other replicas.
	dissolving
)

// phaseNames are the names in the log: incomplete replicas are logged as short,
// dissolving ones as leaving.
var phaseNames = [...]string{"joining", "opening", "serving", "closing", "short", "leaving"}

// String returns the phase's name.
func (p phase) String() string {
	return phaseNames[p]
}

// replica is the planner's state of a replica.
type replica struct {
	name    ident.Replica
	service ident.Service
	domain  ident.FabricDomain
	model   *cluster.Model
	epoch   unit.Epoch
	// members are in order of their ranks once the replica is complete; the
	// first one is the head.
	members []ident.Instance
	phase   phase
	// servedEpoch is the epoch at which the replica last served. lastReturn is the
	// time at which a member of that epoch last became usable again, or at which the replica
	// was adopted with a part of its members.
	servedEpoch unit.Epoch
	lastReturn  time.Time
	// phaseSince is the time at which the phase began. brokenSince is the time
	// at which the replica was formed or stopped serving, zero while it serves.
	phaseSince  time.Time
	brokenSince time.Time
	// released says that the replica is given up, and dissolved when it has closed. closeTimeout
	// bounds the wait for its requests if that is longer than CloseTimeout.
	released     bool
	closeTimeout time.Duration
}

// missing returns the number of members that the replica lacks.
func (r *replica) missing() int {
	return r.model.ServersPerReplica - len(r.members)
}

func (r *replica) setPhase(p phase, now time.Time) {
	r.phase, r.phaseSince = p, now
}

// growth is the number of usable servers of a domain and the time of its last
// increase.
type growth struct {
	usableServers int
	grewAt        time.Time
}

// unreachableServer is an incarnation of a server that didn't answer the last
// probe.
type unreachableServer struct {
	incarnation unit.Incarnation
	probedAt    time.Time
}

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

// Options are the planner's settings.
type Options struct {
	// RetryInterval is the time after which an order that showed no effect is
	// sent again.
	RetryInterval time.Duration
	// GrowthWindow is the time for which a domain counts as growing after a
	// server was added. While a domain grows, weights are staged only for
	// incomplete replicas, since a new replica may soon need the spare servers.
	GrowthWindow time.Duration
	// CloseTimeout bounds the wait for the requests of a closing replica.
	CloseTimeout time.Duration
	// Fenced says that servers refuse orders with an old fencing token.
	Fenced bool
	// PreparedShare is the share of each model's replicas whose members stage another model's
	// weights at the first start, so that they can be converted without a load.
	PreparedShare float64
}

// Planner computes orders from snapshots of the servers. It is used by one
// goroutine. Each term of the leader begins with a new Planner.
type Planner struct {
	options      Options
	fencingToken unit.Revision
	lastEpoch    unit.Epoch
	replicas     map[ident.Replica]*replica
	nameCount    int
	unreachable  map[ident.Instance]unreachableServer
	sentOrders   map[ident.Instance]map[cluster.Operation]sentOrder
	// accepted has the memberships that result from the last orders that servers have
	// accepted in this term. The list of the platform may be older than what the other
	// servers have done since.
	accepted map[ident.Instance]acceptedMembership
	loads    *loadLimiter
	// growths has the growth of each domain.
	growths map[ident.FabricDomain]growth
	// Decisions collects the decisions to log. The caller of Step clears it.
	Decisions []Decision
	// Awaited has, after a Step, the servers whose orders should have taken effect.
	Awaited []*cluster.Server
	// Unconfirmed has, after a Step, the servers that may belong to replicas of which only some
	// members are known. Their own reports tell.
	Unconfirmed []*cluster.Server
	// Formed collects the replicas that began to serve. The caller of Step clears it.
	Formed []cluster.Formation
	// Unregistered has, after a Step, the members that the platform has removed and that are not
	// known to be unreachable.
	Unregistered []*cluster.Server
	// Superseded says that a server reports an epoch of a later term. Step then returns
	// no orders any more.
	Superseded bool
	// LatestRevision is the latest revision of the platform that this daemon knows.
	LatestRevision unit.Revision
	// Demand is the offered load, and StoreUnavailable says that the platform's store can't be read.
	// Conversions in progress are then finished and none is begun.
	Demand           Demand
	StoreUnavailable bool
	// ConversionEvents collects the conversions begun and ended. The caller of Step clears it.
	ConversionEvents []ConversionEvent
	// conversions has the conversions of each service.
	conversions map[ident.Service]*conversionState

	// now and snapshot are the arguments of the current Step, commands its
	// result.
	now      time.Time
	snapshot *catalog.Snapshot
	commands []Command
	// domainServers has the servers of each fabric domain in order of their
	// ids.
	domainServers map[domainKey][]*cluster.Server
	// reported has the replicas as the servers report them.
	reported map[catalog.ReplicaKey]*catalog.Replica
	// members has the members of all replicas, and spares the usable servers of each domain that
	// belong to none, in order of their ids. Both are empty after a change and built again when
	// they are needed.
	members map[ident.Instance]bool
	spares  map[domainKey][]*cluster.Server
}

// domainKey identifies a fabric domain of a service.
type domainKey struct {
	service ident.Service
	domain  ident.FabricDomain
}

// Decision is a change of a replica's phase or members. Event is the text of
// the log line.
type Decision struct {
	Event   string
	Replica ident.Replica
	Epoch   unit.Epoch
	Detail  string
}

// epochsPerToken is the number of epochs of one term. The epochs of two terms
// never overlap, so no epoch is used with two lists of members.
const epochsPerToken = 1 << 12

// maxLostRevisions bounds the writes that a restored platform has lost. The tokens of an era
// follow on those of the era before by as much, which keeps epochs within the 53 bits that
// every decoder of JSON holds.
const maxLostRevisions = 1 << 28

// firstEpoch returns the first epoch of the term with the token.
func firstEpoch(token unit.Revision) unit.Epoch {
	return unit.Epoch(int64(token.Era())*maxLostRevisions+token.Number()) * epochsPerToken
}

// NewPlanner returns a planner for the term with the fencing token.
func NewPlanner(options Options, token unit.Revision, now time.Time) *Planner {
	return &Planner{
		options: options, fencingToken: token, lastEpoch: firstEpoch(token),
		replicas:    make(map[ident.Replica]*replica),
		unreachable: make(map[ident.Instance]unreachableServer),
		sentOrders:  make(map[ident.Instance]map[cluster.Operation]sentOrder),
		accepted:    make(map[ident.Instance]acceptedMembership),
		loads:       newLoadLimiter(now),
		growths:     make(map[ident.FabricDomain]growth),
		spares:      make(map[domainKey][]*cluster.Server),
		conversions: make(map[ident.Service]*conversionState),
	}
}

// MarkUnreachable records that this incarnation of a server doesn't answer.
func (p *Planner) MarkUnreachable(s *cluster.Server) {
	p.unreachable[s.ID] = unreachableServer{s.Incarnation, p.now}
}

// MarkReachable records that a server answers.
func (p *Planner) MarkReachable(id ident.Instance) {
	delete(p.unreachable, id)
}

// IsUnreachable reports whether this incarnation of the server didn't answer
// the last probe.
func (p *Planner) IsUnreachable(s *cluster.Server) bool {
	u, found := p.unreachable[s.ID]
	return found && u.incarnation == s.Incarnation
}

// ReplicaOf returns the name and the members of the replica that the server
// belongs to.
func (p *Planner) ReplicaOf(id ident.Instance) (ident.Replica, []ident.Instance) {
	for _, r := range p.replicas {
		if slices.Contains(r.members, id) {
			return r.name, r.members
		}
	}
	return "", nil
}

// Step returns the orders that bring the servers closer to complete replicas.
// It returns none before the configuration and the whole server list are known, and none
// after a server has reported an epoch of a later term.
func (p *Planner) Step(now time.Time, snapshot *catalog.Snapshot, bootstrap bool) []Command {
	p.now, p.snapshot, p.commands, p.Awaited, p.Unconfirmed = now, snapshot, nil, nil, nil
	if snapshot.Config == nil || !snapshot.Synced {
		return nil
	}
	p.loads.refill(now, bootstrap)
	for id, u := range p.unreachable {
		if s := snapshot.Server(id); s == nil || s.Incarnation != u.incarnation {
			delete(p.unreachable, id)
		}
	}
	p.indexServers()
	p.reported = snapshot.Replicas()
	p.dropImpossibleEpochs()
	if p.isSuperseded() {
		p.Superseded = true
		return nil
	}
	for id, l := range p.loads.running {
		if s := snapshot.Server(id); s == nil || s.HasStaged(l.model) {
			p.loads.removeLoad(id)
		}
	}
	for _, service := range snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		p.loads.setLimits(service.Engine)
		p.releaseClaimedMembers(service)
		p.adoptReplicas(service)
		p.checkMembers(service)
		p.repairReplicas(service)
		p.convertReplicas(service)
		p.formReplicas(service)
		p.advanceReplicas(service)
		p.stageWeights(service)
	}
	return p.commands
}

// maxMissedRevisions bounds the revisions, over restorations of the platform too, that this daemon
// doesn't know yet.
const maxMissedRevisions = 2 * maxLostRevisions

// dropImpossibleEpochs drops the replicas whose epochs no planner can have given, as its token
// would be far above all revisions. The registration of such a server is another writer's.
func (p *Planner) dropImpossibleEpochs() {
	highest := firstEpoch(max(p.LatestRevision, p.fencingToken)) + maxMissedRevisions*epochsPerToken
	maps.DeleteFunc(p.reported, func(key catalog.ReplicaKey, _ *catalog.Replica) bool { return key.Epoch > highest })
}

// isSuperseded reports whether a server reports an epoch of a later term.
func (p *Planner) isSuperseded() bool {
	firstLaterEpoch := firstEpoch(p.fencingToken + 1)
	for key := range p.reported {
		if key.Epoch >= firstLaterEpoch {
			return true
		}
	}
	return p.Superseded
}

// indexServers groups the servers by their fabric domains.
func (p *Planner) indexServers() {
	p.membersChanged()
	p.Unregistered = nil
	p.domainServers = make(map[domainKey][]*cluster.Server)
	p.snapshot.EachServer(func(s *cluster.Server) {
		if s.Unregistered && !p.IsUnreachable(s) {
			p.Unregistered = append(p.Unregistered, s)
		}
		if s.Domain != "" {
			key := domainKey{s.Service, s.Domain}
			p.domainServers[key] = append(p.domainServers[key], s)
		}
	})
	for _, servers := range p.domainServers {
		slices.SortFunc(servers, func(a, b *cluster.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// membersChanged must be called after a change of a replica's members.
func (p *Planner) membersChanged() {
	p.members = nil
	clear(p.spares)
}

// isMember reports whether the server is a member of a replica.
func (p *Planner) isMember(id ident.Instance) bool {
	if p.members == nil {
		p.members = make(map[ident.Instance]bool)
		for _, r := range p.replicas {
			for _, member := range r.members {
				p.members[member] = true
			}
		}
	}
	return p.members[id]
}

func (p *Planner) recordDecision(event string, r *replica, format string, args ...any) {
	p.Decisions = append(p.Decisions, Decision{Event: event, Replica: r.name, Epoch: r.epoch, Detail: fmt.Sprintf(format, args...)})
}

// isUsable reports whether a server can become a member of a replica.
func (p *Planner) isUsable(s *cluster.Server) bool {
	return !s.Draining && !s.Unregistered && !p.IsUnreachable(s) && s.Domain != ""
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

// nextEpoch returns an epoch above all epochs of this term and all that servers
// report.
func (p *Planner) nextEpoch() unit.Epoch {
	for key := range p.reported {
		p.lastEpoch = max(p.lastEpoch, key.Epoch)
	}
	p.lastEpoch++
	return p.lastEpoch
}

// sortedReplicas returns the service's replicas in order of their names.
func (p *Planner) sortedReplicas(service *cluster.Service) []*replica {
	var replicas []*replica
	for _, r := range p.replicas {
		if r.service == service.Name {
			replicas = append(replicas, r)
		}
	}
	slices.SortFunc(replicas, func(a, b *replica) int { return cmp.Compare(a.name, b.name) })
	return replicas
}
