// Package catalog holds the endpoints that the platform adapter can forward
// requests to. It builds immutable snapshots from the operator's configuration
// and the servers' registrations; requests load the current snapshot from
// an atomic pointer, without a lock.
package catalog

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

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
	servers *serverSet
	index   *endpointIndex
	// leaving has the times at which incarnations of servers were last seen draining.
	leaving map[ident.ServerIncarnation]time.Time
	// unregistered has the servers that are kept although the platform has removed them.
	unregistered map[ident.Instance]bool
	// drained is replaced, not changed, since snapshots share it.
	drained map[ident.DataCentre]bool
	loads   map[loadKey]*Load
	// replacedLoads has the keys of endpoints that were replaced or removed.
	replacedLoads map[loadKey]bool
	synced        bool
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
		servers: new(serverSet),
		index:   newEndpointIndex(),
		leaving: make(map[ident.ServerIncarnation]time.Time),
		drained: make(map[ident.DataCentre]bool),
		loads:   make(map[loadKey]*Load),

		unregistered:  make(map[ident.Instance]bool),
		replacedLoads: make(map[loadKey]bool),
		changed:       make(chan struct{}),
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
	// Drained says of each data centre that was changed whether it is out of service now.
	Drained map[ident.DataCentre]bool
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
	drainedChanged := c.applyDrained(u.Drained)
	c.applyServers(c.withLaterStates(c.withLeaving(u.Servers)), u.Removed)
	if configReplaced || drainedChanged {
		c.servers.each(c.index.markAffected)
	}
	c.synced = c.synced || u.Synced
	c.publish()
	return configReplaced
}

// applyServers replaces and removes servers. The caller holds the lock.
func (c *Catalog) applyServers(servers []*cluster.Server, removed []ident.Instance) {
	edit := newServerSetEdit(c.servers)
	for _, s := range servers {
		c.put(edit, s)
	}
	for _, id := range removed {
		switch s := edit.get(id); {
		case s == nil:
		case s.Draining:
			c.remove(edit, s)
		default:
			c.put(edit, unregisteredCopy(s))
		}
	}
	c.removeUnregistered(edit)
	c.servers = edit.set()
}

// put adds or replaces a server. The caller holds the lock.
func (c *Catalog) put(edit *serverSetEdit, s *cluster.Server) {
	c.index.replace(edit.get(s.ID), s)
	edit.put(s.ID, s)
	if s.Unregistered {
		c.unregistered[s.ID] = true
	} else {
		delete(c.unregistered, s.ID)
	}
}

// remove removes a server. The caller holds the lock.
func (c *Catalog) remove(edit *serverSetEdit, s *cluster.Server) {
	c.index.replace(s, nil)
	edit.put(s.ID, nil)
	delete(c.unregistered, s.ID)
}

// applyDrained takes data centres out of service or back into service, and reports whether
// that changed anything. The caller holds the lock.
func (c *Catalog) applyDrained(drained map[ident.DataCentre]bool) bool {
	next := maps.Clone(c.drained)
	for dc, isDrained := range drained {
		if isDrained {
			next[dc] = true
		} else {
			delete(next, dc)
		}
	}
	changed := !maps.Equal(c.drained, next)
	c.drained = next
	return changed
}

// publish builds and stores the snapshot. The caller holds the lock.
func (c *Catalog) publish() {
	for _, e := range c.index.update(c) {
		c.replacedLoads[loadKeyOf(e.Server)] = true
	}
	c.removeStaleLoads()
	c.current.Store(&Snapshot{
		routing: c.routing, Config: c.config, Synced: c.synced, Drained: c.drained,
		servers: c.servers, endpoints: c.index.lists,
	})
	close(c.changed)
	c.changed = make(chan struct{})
}

// get returns the server with the id, nil if it is not listed.
func (c *Catalog) get(id ident.Instance) *cluster.Server {
	return c.servers.get(id)
}

// serviceOf returns the service of a server that may get requests, or nil.
func (c *Catalog) serviceOf(s *cluster.Server) *cluster.Service {
	if c.config == nil || s.Draining || c.drained[s.DataCentre] {
		return nil
	}
	return c.config.Services[s.Service]
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
	for key := range c.replacedLoads {
		s, load := c.servers.get(key.id), c.loads[key]
		switch {
		case s != nil && loadKeyOf(s) == key:
			delete(c.replacedLoads, key)
		case load == nil || load.InFlight() == 0:
			delete(c.replacedLoads, key)
			delete(c.loads, key)
		}
	}
}
