// Package table holds the endpoints that requests are routed to, as an
// immutable snapshot behind an atomic pointer.
package table

import (
	"sort"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Protocol names the endpoint protocol that reaches an endpoint.
type Protocol string

// The protocols. Relay reaches a daemon of another data centre.
const (
	Engine  Protocol = "engine"
	Service Protocol = "service"
	Relay   Protocol = "relay"
)

// Endpoint is a target of requests. It does not change; a changed endpoint is
// a new value that shares the Load of the old one.
type Endpoint struct {
	ID         ident.Endpoint
	Protocol   Protocol
	DataCentre ident.DataCentre
	// Address is the IP number and port of the instance that takes requests.
	Address string

	// Replica, Epoch, Version and Deployment are set for engines.
	Replica    ident.Replica
	Epoch      unit.Epoch
	Version    ident.Version
	Deployment ident.Deployment
	// Models are the model and the adapters that the endpoint serves.
	Models []ident.Model
	// Service is set for plain services.
	Service ident.Service
	// Organisations that may use the endpoint; empty means all.
	Organisations []ident.Organisation

	// Cold says that the endpoint accepts only what it was granted.
	Cold bool
	// Limit bounds the requests at once from this daemon.
	Limit unit.Requests
	// ColdLimit is the number of requests at once that the endpoint accepts
	// while it is cold, from all daemons together.
	ColdLimit unit.Requests
	// Reported has the endpoint's own last counts. A source sets it; Publish
	// moves it into Load, so that new counts don't make a new table.
	Reported Counts

	Load *Load
	stop *stopSignal
}

// Counts are numbers of requests at an endpoint, from all daemons.
type Counts struct {
	Running unit.Requests
	Waiting unit.Requests
}

// Table is an immutable set of endpoints. Its slices are shared and must not
// be changed.
type Table struct {
	generation uint64
	endpoints  []*Endpoint
	byID       map[ident.Endpoint]*Endpoint
	// local has the endpoints that run requests, relays the daemons of other
	// data centres.
	local     index
	relays    index
	byService map[ident.Service][]*Endpoint
	capacity  unit.Requests
}

// index finds endpoints by model. open has those that every organisation may
// use; granted, for an organisation that some endpoint of the model names,
// these and its own.
type index struct {
	open       map[ident.Model][]*Endpoint
	restricted map[access][]*Endpoint
}

// access is an organisation's permission to use a model.
type access struct {
	model        ident.Model
	organisation ident.Organisation
}

// New returns a table of the endpoints.
func New(generation uint64, endpoints []*Endpoint) *Table {
	t := &Table{
		generation: generation,
		endpoints:  append([]*Endpoint(nil), endpoints...),
		byID:       make(map[ident.Endpoint]*Endpoint, len(endpoints)),
		local:      newIndex(),
		relays:     newIndex(),
		byService:  make(map[ident.Service][]*Endpoint),
	}
	sort.Slice(t.endpoints, func(i, j int) bool { return t.endpoints[i].ID < t.endpoints[j].ID })
	for _, e := range t.endpoints {
		t.byID[e.ID] = e
		if !e.Cold {
			t.capacity += e.Limit
		}
		for _, m := range e.Models {
			t.indexOf(e.Protocol).add(m, e)
		}
		if e.Service != "" {
			t.byService[e.Service] = append(t.byService[e.Service], e)
		}
	}
	t.local.addOpenToRestricted()
	t.relays.addOpenToRestricted()
	return t
}

func (t *Table) indexOf(p Protocol) *index {
	if p == Relay {
		return &t.relays
	}
	return &t.local
}

func newIndex() index {
	return index{open: make(map[ident.Model][]*Endpoint), restricted: make(map[access][]*Endpoint)}
}

func (x *index) add(m ident.Model, e *Endpoint) {
	if len(e.Organisations) == 0 {
		x.open[m] = append(x.open[m], e)
		return
	}
	for _, o := range e.Organisations {
		g := access{m, o}
		x.restricted[g] = append(x.restricted[g], e)
	}
}

// addOpenToRestricted adds the open endpoints to the lists of named organisations.
func (x *index) addOpenToRestricted() {
	for g, own := range x.restricted {
		all := append(own, x.open[g.model]...)
		sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
		x.restricted[g] = all
	}
}

func (x *index) find(m ident.Model, o ident.Organisation) []*Endpoint {
	if list, named := x.restricted[access{m, o}]; named {
		return list
	}
	return x.open[m]
}

// Capacity returns the sum of the limits of the endpoints that are not cold,
// relays included: a daemon whose data centre is out of service still has the
// room that others offer.
func (t *Table) Capacity() unit.Requests {
	return t.capacity
}

// Generation numbers the tables of a process.
func (t *Table) Generation() uint64 {
	return t.generation
}

// Endpoints returns all endpoints in order of their ids.
func (t *Table) Endpoints() []*Endpoint {
	return t.endpoints
}

// Endpoint returns the endpoint of that id, or nil.
func (t *Table) Endpoint(id ident.Endpoint) *Endpoint {
	return t.byID[id]
}

// ModelEndpoints returns the endpoints that serve the model or adapter to the
// organisation, in order of their ids. Relays are not among them.
func (t *Table) ModelEndpoints(m ident.Model, o ident.Organisation) []*Endpoint {
	return t.local.find(m, o)
}

// Relays returns the daemons of other data centres that have room for the
// model or adapter and the organisation, in order of their ids.
func (t *Table) Relays(m ident.Model, o ident.Organisation) []*Endpoint {
	return t.relays.find(m, o)
}

// ServiceEndpoints returns the endpoints of the plain service.
func (t *Table) ServiceEndpoints(s ident.Service) []*Endpoint {
	return t.byService[s]
}
