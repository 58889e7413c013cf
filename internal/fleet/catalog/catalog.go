// Package catalog holds the endpoints that the platform adapter can forward
// requests to. It builds immutable snapshots from the operator's configuration
// and the servers' registrations; requests load the current snapshot from
// an atomic pointer, without a lock.
package catalog

import (
	"sync"
	"sync/atomic"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Catalog applies updates and publishes a snapshot after each one. Current takes
// no lock.
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
	// changed is closed and replaced whenever a snapshot is published.
	changed chan struct{}
}

// loadKey identifies the Load of one incarnation of a server at one epoch of its
// replica. Failures and requests of an earlier epoch do not count for the next
// one.
type loadKey struct {
	id          ident.Instance
	address     string
	incarnation unit.Incarnation
	epoch       unit.Epoch
}

func loadKeyOf(s *cluster.Server) loadKey {
	key := loadKey{id: s.ID, address: s.Address, incarnation: s.Incarnation}
	if s.Membership != nil {
		key.epoch = s.Membership.Epoch
	}
	return key
}

// New returns a catalog without configuration and servers.
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

// Current returns the latest snapshot.
func (c *Catalog) Current() *Snapshot {
	return c.current.Load()
}

// Changed returns a channel that is closed when the next snapshot is published.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Update is a set of changes that are published in one snapshot.
type Update struct {
	// Config replaces the configuration if its version is higher; nil keeps the
	// configuration.
	Config *cluster.Config
	// Servers are new or changed servers, Removed the ids of removed ones.
	Servers []*cluster.Server
	Removed []ident.Instance
	// Drained are data centres taken out of service, Restored those taken back
	// into service.
	Drained  []ident.DataCentre
	Restored []ident.DataCentre
	// Synced says that the updates so far cover the platform's whole list of
	// servers.
	Synced bool
}

// Apply publishes a snapshot with the changes. It reports whether the update's
// configuration replaced the current one; an older version never does.
func (c *Catalog) Apply(u Update) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	configReplaced := u.Config != nil && (c.config == nil || u.Config.Version > c.config.Version)
	if configReplaced {
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
	return configReplaced
}

// publish builds and stores the snapshot. The caller holds the lock.
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

// loadOf returns the Load of the server's incarnation and epoch. A Load is shared
// by all snapshots that contain the server.
func (c *Catalog) loadOf(s *cluster.Server) *Load {
	key := loadKeyOf(s)
	load := c.loads[key]
	if load == nil {
		load = new(Load)
		c.loads[key] = load
	}
	return load
}

// removeStaleLoads removes the Loads of incarnations and epochs that are no longer
// listed and have no requests in flight.
func (c *Catalog) removeStaleLoads() {
	for key, load := range c.loads {
		if s := c.servers[key.id]; (s == nil || loadKeyOf(s) != key) && load.InFlight() == 0 {
			delete(c.loads, key)
		}
	}
}
