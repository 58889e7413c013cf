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
	inService
	// closing replicas finish their requests, since a member drains.
	closing
	// short replicas lack servers.
	short
	// leaving replicas give their members up for others.
	leaving
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
	// since is the begin of the phase, and broken that of the repair.
	since  time.Time
	broken time.Time
}

func (r *replica) enter(p phase, now time.Time) {
	r.phase, r.since = p, now
}

// growth is the number of a domain's servers and the time of its last rise.
type growth struct {
	size int
	at   time.Time
}

// death is a life of a server that didn't answer when it was last asked.
type death struct {
	born  unit.Incarnation
	asked time.Time
}

// sent is the last order of a kind to a server, which is not given again before
// the time.
type sent struct {
	order cluster.Order
	again time.Time
}

// Rules are the planner's settings.
type Rules struct {
	// Retry is the time after which an order that showed no effect is given
	// again.
	Retry time.Duration
	// Gather is the time after a server appeared for which its domain may grow
	// further, so that nothing is staged that a replica needs.
	Gather time.Duration
	// CloseLimit bounds the wait for the requests of a replica that closes.
	CloseLimit time.Duration
}

// Planner decides. It is used by one goroutine, and begins anew with every
// tenure of the duty.
type Planner struct {
	rules    Rules
	fence    unit.Revision
	epoch    unit.Epoch
	replicas map[ident.Replica]*replica
	names    int
	dead     map[ident.Instance]death
	orders   map[ident.Instance]map[cluster.Operation]sent
	loads    *loads
	// grown is when a domain last got a server.
	grown map[ident.FabricDomain]growth
	// Noted collects decisions for the log.
	Noted []Note

	now      time.Time
	view     *catalog.Snapshot
	commands []Command
	// domain has the servers of each fabric domain in order of their ids.
	domain map[domainKey][]*cluster.Server
	// placed has the members of replicas; nil says that it has to be built.
	placed map[ident.Instance]bool
}

// domainKey names a fabric domain of a service.
type domainKey struct {
	service ident.Service
	domain  ident.FabricDomain
}

// Note is a decision.
type Note struct {
	Event   string
	Replica ident.Replica
	Epoch   unit.Epoch
	Detail  string
}

// epochsPerFence is the number of epochs of one tenure. Epochs of different
// tenures never meet, so no epoch is used with two lists of members.
const epochsPerFence = 1 << 12

// New returns a planner for a tenure with the fence.
func New(rules Rules, fence unit.Revision, now time.Time) *Planner {
	return &Planner{
		rules: rules, fence: fence, epoch: unit.Epoch(fence) * epochsPerFence,
		replicas: make(map[ident.Replica]*replica),
		dead:     make(map[ident.Instance]death),
		orders:   make(map[ident.Instance]map[cluster.Operation]sent),
		loads:    newLoads(now),
		grown:    make(map[ident.FabricDomain]growth),
	}
}

// Dead records that this life of a server doesn't answer.
func (p *Planner) Dead(s *cluster.Server) {
	p.dead[s.ID] = death{s.Incarnation, p.now}
}

// Alive records that a server answers.
func (p *Planner) Alive(id ident.Instance) {
	delete(p.dead, id)
}

// IsDead reports whether this life of the server was found dead.
func (p *Planner) IsDead(s *cluster.Server) bool {
	d, dead := p.dead[s.ID]
	return dead && d.born == s.Incarnation
}

// Replica returns the name and members of the replica that the server belongs
// to.
func (p *Planner) Replica(id ident.Instance) (ident.Replica, []ident.Instance) {
	for _, r := range p.replicas {
		if slices.Contains(r.members, id) {
			return r.name, r.members
		}
	}
	return "", nil
}

// Step returns the orders that bring the servers closer to whole replicas.
func (p *Planner) Step(now time.Time, view *catalog.Snapshot, bootstrap bool) []Command {
	p.now, p.view, p.commands = now, view, nil
	if view.Config == nil || !view.Synced {
		return nil
	}
	p.loads.begin(now, bootstrap)
	for id, d := range p.dead {
		if s := view.Servers[id]; s == nil || s.Incarnation != d.born {
			delete(p.dead, id)
		}
	}
	p.index()
	for id, l := range p.loads.running {
		if s := view.Servers[id]; s == nil || s.HasStaged(l.model) {
			p.loads.done(id)
		}
	}
	for _, service := range view.Config.Services {
		if service.Engine == nil {
			continue
		}
		p.loads.configure(service.Engine)
		p.adopt(service)
		p.check(service)
		p.repair(service)
		p.form(service)
		p.drive(service)
		p.stage(service)
	}
	return p.commands
}

// index sorts the servers into their fabric domains.
func (p *Planner) index() {
	p.placed = nil
	p.domain = make(map[domainKey][]*cluster.Server)
	for _, s := range p.view.Servers {
		if s.Domain != "" {
			key := domainKey{s.Service, s.Domain}
			p.domain[key] = append(p.domain[key], s)
		}
	}
	for _, list := range p.domain {
		slices.SortFunc(list, func(a, b *cluster.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// isPlaced reports whether the server is a member of a replica. What changes
// members sets placed to nil.
func (p *Planner) isPlaced(id ident.Instance) bool {
	if p.placed == nil {
		p.placed = make(map[ident.Instance]bool)
		for _, r := range p.replicas {
			for _, member := range r.members {
				p.placed[member] = true
			}
		}
	}
	return p.placed[id]
}

func (p *Planner) note(event string, r *replica, format string, args ...any) {
	p.Noted = append(p.Noted, Note{Event: event, Replica: r.name, Epoch: r.epoch, Detail: fmt.Sprintf(format, args...)})
}

// usable reports whether a server can become a member.
func (p *Planner) usable(s *cluster.Server) bool {
	return !s.Draining && !p.IsDead(s) && s.Domain != ""
}

// order gives an order unless the same one was given a short time ago.
func (p *Planner) order(id ident.Instance, o cluster.Order) {
	s := p.view.Servers[id]
	if s == nil {
		return
	}
	o.FencingToken = p.fence
	last, given := p.orders[id][o.Operation]
	if given && p.now.Before(last.again) && sameOrder(&last.order, &o) {
		return
	}
	if p.orders[id] == nil {
		p.orders[id] = make(map[cluster.Operation]sent)
	}
	p.orders[id][o.Operation] = sent{o, p.now.Add(p.rules.Retry)}
	p.commands = append(p.commands, Command{Server: s, Order: o})
}

// Result takes a server's answer. An order that was begun shows its effect when
// it is done, a load only after the model's time.
func (p *Planner) Result(c Command, result cluster.OrderResult) {
	last, given := p.orders[c.Server.ID][c.Order.Operation]
	if !given || !sameOrder(&last.order, &c.Order) {
		return
	}
	l, loading := p.loads.running[c.Server.ID]
	if loading && (result == cluster.InProgress || result == cluster.Done) {
		last.again = l.until
		p.orders[c.Server.ID][c.Order.Operation] = last
	}
}

func sameOrder(a, b *cluster.Order) bool {
	return a.Replica == b.Replica && a.Epoch == b.Epoch && a.Model == b.Model && slices.Equal(a.Members, b.Members)
}

// next returns an epoch above all that were used.
func (p *Planner) next() unit.Epoch {
	for _, s := range p.view.Servers {
		if s.Membership != nil {
			p.epoch = max(p.epoch, s.Membership.Epoch)
		}
	}
	p.epoch++
	return p.epoch
}

// sorted returns the service's replicas in order of their names.
func (p *Planner) sorted(service *cluster.Service) []*replica {
	var list []*replica
	for _, r := range p.replicas {
		if r.service == service.Name {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *replica) int { return cmp.Compare(a.name, b.name) })
	return list
}
