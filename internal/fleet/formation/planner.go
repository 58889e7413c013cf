// Package formation keeps replicas whole on servers that join and open by order:
// it decides which servers form which replicas, repairs a replica that lost a
// member, and stages weights on the servers that are left over.
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

// Command is an order to give to a server.
type Command struct {
	Server *cluster.Server
	Order  cluster.Order
}

// phase is how far a replica has come.
type phase int

const (
	joining phase = iota
	opening
	serving
	// closing replicas finish their requests, since a member drains.
	closing
	// incomplete replicas lack servers.
	incomplete
	// dissolving replicas give their members up for others.
	dissolving
)

var phaseNames = [...]string{"joining", "opening", "serving", "closing", "short", "leaving"}

// String returns the phase's name.
func (p phase) String() string {
	return phaseNames[p]
}

// replica is what the planner wants and knows of one replica.
type replica struct {
	name    ident.Replica
	service ident.Service
	domain  ident.FabricDomain
	model   *cluster.Model
	epoch   unit.Epoch
	members []ident.Instance
	phase   phase
	// phaseSince is the begin of the phase, and broken that of the repair.
	phaseSince  time.Time
	brokenSince time.Time
}

func (r *replica) setPhase(p phase, now time.Time) {
	r.phase, r.phaseSince = p, now
}

// growth is the number of a domain's servers and the time of its last rise.
type growth struct {
	size   int
	grewAt time.Time
}

// unreachableServer is a life of a server that didn't answer when it was last asked.
type unreachableServer struct {
	incarnation unit.Incarnation
	probedAt    time.Time
}

// sentOrder is the last order of a kind to a server, which is not given again before
// the time.
type sentOrder struct {
	order   cluster.Order
	retryAt time.Time
}

// Options are the planner's settings.
type Options struct {
	// RetryInterval is the time after which an order that showed no effect is given
	// again.
	RetryInterval time.Duration
	// GrowthWindow is the time after a server appeared for which its domain may grow
	// further, so that nothing is staged that a replica needs.
	GrowthWindow time.Duration
	// CloseTimeout bounds the wait for the requests of a replica that closes.
	CloseTimeout time.Duration
}

// Planner decides. It is used by one goroutine, and begins anew with every
// tenure of the duty.
type Planner struct {
	options      Options
	fencingToken unit.Revision
	lastEpoch    unit.Epoch
	replicas     map[ident.Replica]*replica
	nameCount    int
	unreachable  map[ident.Instance]unreachableServer
	sentOrders   map[ident.Instance]map[cluster.Operation]sentOrder
	loads        *loadLimiter
	// growths is when a domain last got a server.
	growths map[ident.FabricDomain]growth
	// Decisions collects decisions for the log.
	Decisions []Decision

	now      time.Time
	snapshot *catalog.Snapshot
	commands []Command
	// domainServers has the servers of each fabric domain in order of their ids.
	domainServers map[domainKey][]*cluster.Server
	// members has the members of replicas; nil says that it has to be built.
	members map[ident.Instance]bool
}

// domainKey names a fabric domain of a service.
type domainKey struct {
	service ident.Service
	domain  ident.FabricDomain
}

// Decision is a decision.
type Decision struct {
	Event   string
	Replica ident.Replica
	Epoch   unit.Epoch
	Detail  string
}

// epochsPerToken is the number of epochs of one tenure. Epochs of different
// tenures never meet, so no epoch is used with two lists of members.
const epochsPerToken = 1 << 12

// NewPlanner returns a planner for a tenure with the fence.
func NewPlanner(options Options, token unit.Revision, now time.Time) *Planner {
	return &Planner{
		options: options, fencingToken: token, lastEpoch: unit.Epoch(token) * epochsPerToken,
		replicas:    make(map[ident.Replica]*replica),
		unreachable: make(map[ident.Instance]unreachableServer),
		sentOrders:  make(map[ident.Instance]map[cluster.Operation]sentOrder),
		loads:       newLoadLimiter(now),
		growths:     make(map[ident.FabricDomain]growth),
	}
}

// MarkUnreachable records that this life of a server doesn't answer.
func (p *Planner) MarkUnreachable(s *cluster.Server) {
	p.unreachable[s.ID] = unreachableServer{s.Incarnation, p.now}
}

// MarkReachable records that a server answers.
func (p *Planner) MarkReachable(id ident.Instance) {
	delete(p.unreachable, id)
}

// IsUnreachable reports whether this life of the server was found dead.
func (p *Planner) IsUnreachable(s *cluster.Server) bool {
	d, dead := p.unreachable[s.ID]
	return dead && d.incarnation == s.Incarnation
}

// ReplicaOf returns the name and members of the replica that the server belongs
// to.
func (p *Planner) ReplicaOf(id ident.Instance) (ident.Replica, []ident.Instance) {
	for _, r := range p.replicas {
		if slices.Contains(r.members, id) {
			return r.name, r.members
		}
	}
	return "", nil
}

// Step returns the orders that bring the servers closer to whole replicas.
func (p *Planner) Step(now time.Time, snapshot *catalog.Snapshot, bootstrap bool) []Command {
	p.now, p.snapshot, p.commands = now, snapshot, nil
	if snapshot.Config == nil || !snapshot.Synced {
		return nil
	}
	p.loads.refill(now, bootstrap)
	for id, d := range p.unreachable {
		if s := snapshot.Servers[id]; s == nil || s.Incarnation != d.incarnation {
			delete(p.unreachable, id)
		}
	}
	p.indexServers()
	for id, l := range p.loads.running {
		if s := snapshot.Servers[id]; s == nil || s.HasStaged(l.model) {
			p.loads.remove(id)
		}
	}
	for _, service := range snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		p.loads.configure(service.Engine)
		p.adoptReplicas(service)
		p.checkMembers(service)
		p.repairReplicas(service)
		p.formReplicas(service)
		p.advanceReplicas(service)
		p.stageWeights(service)
	}
	return p.commands
}

// indexServers sorts the servers into their fabric domains.
func (p *Planner) indexServers() {
	p.members = nil
	p.domainServers = make(map[domainKey][]*cluster.Server)
	for _, s := range p.snapshot.Servers {
		if s.Domain != "" {
			key := domainKey{s.Service, s.Domain}
			p.domainServers[key] = append(p.domainServers[key], s)
		}
	}
	for _, list := range p.domainServers {
		slices.SortFunc(list, func(a, b *cluster.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// isMember reports whether the server is a member of a replica. What changes
// members sets placed to nil.
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

// usable reports whether a server can become a member.
func (p *Planner) usable(s *cluster.Server) bool {
	return !s.Draining && !p.IsUnreachable(s) && s.Domain != ""
}

// issueOrder gives an order unless the same one was given a short time ago.
func (p *Planner) issueOrder(id ident.Instance, o cluster.Order) {
	s := p.snapshot.Servers[id]
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
	p.commands = append(p.commands, Command{Server: s, Order: o})
}

// HandleResult takes a server's answer. An order that was begun shows its effect when
// it is done, a load only after the model's time.
func (p *Planner) HandleResult(c Command, result cluster.OrderResult) {
	last, sent := p.sentOrders[c.Server.ID][c.Order.Operation]
	if !sent || !sameOrder(&last.order, &c.Order) {
		return
	}
	load, loading := p.loads.running[c.Server.ID]
	if loading && (result == cluster.InProgress || result == cluster.Done) {
		last.retryAt = load.expectedEnd
		p.sentOrders[c.Server.ID][c.Order.Operation] = last
	}
}

func sameOrder(a, b *cluster.Order) bool {
	return a.Replica == b.Replica && a.Epoch == b.Epoch && a.Model == b.Model && slices.Equal(a.Members, b.Members)
}

// nextEpoch returns an epoch above all that were used.
func (p *Planner) nextEpoch() unit.Epoch {
	for _, s := range p.snapshot.Servers {
		if s.Membership != nil {
			p.lastEpoch = max(p.lastEpoch, s.Membership.Epoch)
		}
	}
	p.lastEpoch++
	return p.lastEpoch
}

// sortedReplicas returns the service's replicas in order of their names.
func (p *Planner) sortedReplicas(service *cluster.Service) []*replica {
	var list []*replica
	for _, r := range p.replicas {
		if r.service == service.Name {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *replica) int { return cmp.Compare(a.name, b.name) })
	return list
}
