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
	drained map[ident.DataCentre]bool
	loads   map[loadKey]*Load
	synced  bool
	// changed is closed and replaced with every snapshot.
	changed chan struct{}
}

// loadKey is one life of a server, and of the replica that it is a member of: what
// was seen of one epoch doesn't count for the next.
type loadKey struct {
	id          ident.Instance
	address     string
	incarnation unit.Incarnation
	epoch       unit.Epoch
}

func loadKeyOf(s *cluster.Server) loadKey {
	l := loadKey{id: s.ID, address: s.Address, incarnation: s.Incarnation}
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
		drained: make(map[ident.DataCentre]bool),
		loads:   make(map[loadKey]*Load),
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
		c.drained[dc] = true
	}
	for _, dc := range u.Restored {
		delete(c.drained, dc)
	}
	c.synced = c.synced || u.Synced
	c.publish()
	return taken
}

// publish builds the snapshot. The caller holds the lock.
func (c *Catalog) publish() {
	s := &Snapshot{
		routing: c.routing, Config: c.config, Synced: c.synced,
		Servers:        make(map[ident.Instance]*cluster.Server, len(c.servers)),
		Drained:        make(map[ident.DataCentre]bool, len(c.drained)),
		plainEndpoints: make(map[ident.Service][]*Endpoint),
		modelEndpoints: make(map[modelKey][]*Endpoint),
	}
	for id, server := range c.servers {
		s.Servers[id] = server
	}
	for dc := range c.drained {
		s.Drained[dc] = true
	}
	s.addEndpoints(c.loadOf)
	c.removeStaleLoads()
	c.current.Store(s)
	close(c.changed)
	c.changed = make(chan struct{})
}

// loadOf returns the counts of a server's life, which outlive snapshots.
func (c *Catalog) loadOf(s *cluster.Server) *Load {
	l := loadKeyOf(s)
	load := c.loads[l]
	if load == nil {
		load = new(Load)
		c.loads[l] = load
	}
	return load
}

// removeStaleLoads drops the loads of lives that are not listed and have nothing in
// flight.
func (c *Catalog) removeStaleLoads() {
	for l, load := range c.loads {
		if s := c.servers[l.id]; (s == nil || loadKeyOf(s) != l) && load.InFlight() == 0 {
			delete(c.loads, l)
		}
	}
}
