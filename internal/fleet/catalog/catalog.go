// Package catalog holds what is there to route to: the configuration in force,
// the servers and the complete replicas, as an immutable snapshot behind an
// atomic pointer.
package catalog

import (
	"sync"
	"sync/atomic"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Catalog takes updates and publishes snapshots. Reads take no lock.
type Catalog struct {
	clock   clock.Clock
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	config  *cluster.Config
	routing *routing
	servers map[ident.Instance]*cluster.Server
	out     map[ident.DataCentre]bool
	loads   map[life]*Load
	listed  bool
	// changed is closed and replaced with every snapshot.
	changed chan struct{}
}

// life is one life of a server, and of the replica that it is a member of: what
// was seen of one epoch doesn't count for the next.
type life struct {
	id      ident.Instance
	address string
	born    unit.Incarnation
	epoch   unit.Epoch
}

func lifeOf(s *cluster.Server) life {
	l := life{id: s.ID, address: s.Address, born: s.Incarnation}
	if s.Membership != nil {
		l.epoch = s.Membership.Epoch
	}
	return l
}

// New returns a catalog that knows nothing.
func New(clk clock.Clock) *Catalog {
	c := &Catalog{
		clock:   clk,
		routing: newRouting(nil),
		servers: make(map[ident.Instance]*cluster.Server),
		out:     make(map[ident.DataCentre]bool),
		loads:   make(map[life]*Load),
		changed: make(chan struct{}),
	}
	c.publish()
	return c
}

// Current returns the snapshot in force.
func (c *Catalog) Current() *Snapshot {
	return c.current.Load()
}

// Changed returns a channel that is closed when a later snapshot than the
// current one is published.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Update is a set of changes that take effect together.
type Update struct {
	// Config replaces the configuration if its version is higher.
	Config *cluster.Config
	// Servers are new or changed entries, Gone the ids of removed ones.
	Servers []*cluster.Server
	Removed []ident.Instance
	// Drained and In are data centres taken out of service and back.
	Drained  []ident.DataCentre
	Restored []ident.DataCentre
	// Synced says that every server that the platform lists is known.
	Synced bool
}

// Apply publishes a snapshot with the changes. It reports whether the update's
// configuration was taken; an older one than that in force never is.
func (c *Catalog) Apply(u Update) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := u.Config != nil && (c.config == nil || u.Config.Version > c.config.Version)
	if taken {
		c.config = u.Config
		c.routing = newRouting(u.Config)
	}
	for _, s := range u.Servers {
		c.servers[s.ID] = s
	}
	for _, id := range u.Removed {
		delete(c.servers, id)
	}
	for _, dc := range u.Drained {
		c.out[dc] = true
	}
	for _, dc := range u.Restored {
		delete(c.out, dc)
	}
	c.listed = c.listed || u.Synced
	c.publish()
	return taken
}

// publish builds the snapshot. The caller holds the lock.
func (c *Catalog) publish() {
	s := &Snapshot{
		routing: c.routing, Config: c.config, Synced: c.listed,
		Servers: make(map[ident.Instance]*cluster.Server, len(c.servers)),
		Drained: make(map[ident.DataCentre]bool, len(c.out)),
		plain:   make(map[ident.Service][]*Endpoint),
		models:  make(map[modelKey][]*Endpoint),
	}
	for id, server := range c.servers {
		s.Servers[id] = server
	}
	for dc := range c.out {
		s.Drained[dc] = true
	}
	s.addEndpoints(c.load)
	c.forget()
	c.current.Store(s)
	close(c.changed)
	c.changed = make(chan struct{})
}

// load returns the counts of a server's life, which outlive snapshots.
func (c *Catalog) load(s *cluster.Server) *Load {
	l := lifeOf(s)
	load := c.loads[l]
	if load == nil {
		load = new(Load)
		c.loads[l] = load
	}
	return load
}

// forget drops the loads of lives that are not listed and have nothing in
// flight.
func (c *Catalog) forget() {
	for l, load := range c.loads {
		if s := c.servers[l.id]; (s == nil || lifeOf(s) != l) && load.InFlight() == 0 {
			delete(c.loads, l)
		}
	}
}
