// Package formation assigns model servers to replicas on the adapter
// "platform", whose servers are ordered to join, open, close and leave
// replicas. One daemon, the leader, forms replicas, repairs replicas that have
// lost a member, and has model weights staged on spare servers.
package formation

import (
	"cmp"
	"fmt"
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
