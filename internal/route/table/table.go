// Package table holds the routing table: the endpoints that the dispatcher may send
// requests to, as an immutable snapshot behind an atomic pointer. Sources offer
// endpoints, and a publisher replaces the table when they change. The load of each
// endpoint is stored separately from the tables and outlives them.
package table

import (
	"sort"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Protocol is the protocol by which an endpoint is reached.
type Protocol string

// The protocols. Relay is the protocol of daemons in other data centres.
const (
	Engine  Protocol = "engine"
	Service Protocol = "service"
	Relay   Protocol = "relay"
)

// Endpoint is a target of requests. It is immutable; a changed endpoint is a new value
// that shares the Load of the old one.
type Endpoint struct {
	ID         ident.Endpoint
	Protocol   Protocol
	DataCentre ident.DataCentre
	// Address is the IP address and the port of the instance that serves requests.
	Address string

	// Replica, Epoch, Version and Deployment are set for engines.
	Replica    ident.Replica
	Epoch      unit.Epoch
	Version    ident.Version
	Deployment ident.Deployment
	// Models has the model and the adapters that the endpoint serves.
	Models []ident.Model
	// Service is set for plain services.
	Service ident.Service
	// Organisations has the organisations that may use the endpoint. If it is empty,
	// all organisations may.
	Organisations []ident.Organisation

	// Cold says that the endpoint is cold. It then accepts only requests within its
	// cold grant.
	Cold bool
	// Limit bounds the concurrent requests from this daemon.
	Limit unit.Requests
	// ColdLimit is the number of concurrent requests from all daemons that the
	// endpoint accepts while it is cold.
	ColdLimit unit.Requests
	// ReportedCounts has the last counts that the endpoint has reported. A source sets it.
	// Publish moves it to Load, so that new counts alone don't cause a new table.
	ReportedCounts RequestCounts

	Load       *Load
	stopSignal *stopSignal
}

// RequestCounts are the numbers of requests at an endpoint from all daemons.
type RequestCounts struct {
	Running unit.Requests
	Waiting unit.Requests
}

// Table is an immutable set of endpoints. Its slices are shared and must not be
// changed.
type Table struct {
	generation uint64
	endpoints  []*Endpoint
	byID       map[ident.Endpoint]*Endpoint
	// endpointsByModel has the endpoints that run requests, relaysByModel the
	// daemons of other data centres.
	endpointsByModel   modelIndex
	relaysByModel      modelIndex
	endpointsByService map[ident.Service][]*Endpoint
	capacity           unit.Requests
}

// modelIndex finds endpoints by model. openEndpoints has the endpoints that all
// organisations may use. restrictedEndpoints has an entry for each organisation that an
// endpoint of the model names, with the endpoints that name it and the open endpoints.
type modelIndex struct {
	openEndpoints       map[ident.Model][]*Endpoint
	restrictedEndpoints map[modelAccess][]*Endpoint
}

// modelAccess is the key of an organisation's access to a model.
type modelAccess struct {
	model        ident.Model
	organisation ident.Organisation
}

// New returns a table with the endpoints. The generation is the number of the table
// within the process.
func New(generation uint64, endpoints []*Endpoint) *Table {
	t := &Table{
		generation:         generation,
		endpoints:          append([]*Endpoint(nil), endpoints...),
		byID:               make(map[ident.Endpoint]*Endpoint, len(endpoints)),
		endpointsByModel:   newModelIndex(),
		relaysByModel:      newModelIndex(),
		endpointsByService: make(map[ident.Service][]*Endpoint),
	}
	sort.Slice(t.endpoints, func(i, j int) bool { return t.endpoints[i].ID < t.endpoints[j].ID })
	for _, e := range t.endpoints {
		t.byID[e.ID] = e
		if !e.Cold {
			t.capacity += e.Limit
		}
		for _, m := range e.Models {
			t.modelIndexOf(e.Protocol).addEndpoint(m, e)
		}
		if e.Service != "" {
			t.endpointsByService[e.Service] = append(t.endpointsByService[e.Service], e)
		}
	}
	t.endpointsByModel.addOpenToRestricted()
	t.relaysByModel.addOpenToRestricted()
	return t
}

func (t *Table) modelIndexOf(p Protocol) *modelIndex {
	if p == Relay {
		return &t.relaysByModel
	}
	return &t.endpointsByModel
}

func newModelIndex() modelIndex {
	return modelIndex{openEndpoints: make(map[ident.Model][]*Endpoint), restrictedEndpoints: make(map[modelAccess][]*Endpoint)}
}

func (i *modelIndex) addEndpoint(m ident.Model, e *Endpoint) {
	if len(e.Organisations) == 0 {
		i.openEndpoints[m] = append(i.openEndpoints[m], e)
		return
	}
	for _, o := range e.Organisations {
		a := modelAccess{m, o}
		i.restrictedEndpoints[a] = append(i.restrictedEndpoints[a], e)
	}
}

// addOpenToRestricted adds the open endpoints to the restricted lists. It is called once
// after all endpoints were added.
func (i *modelIndex) addOpenToRestricted() {
	for a, named := range i.restrictedEndpoints {
		all := append(named, i.openEndpoints[a.model]...)
		sort.Slice(all, func(j, k int) bool { return all[j].ID < all[k].ID })
		i.restrictedEndpoints[a] = all
	}
}

func (i *modelIndex) findEndpoints(m ident.Model, o ident.Organisation) []*Endpoint {
	if endpoints, found := i.restrictedEndpoints[modelAccess{m, o}]; found {
		return endpoints
	}
	return i.openEndpoints[m]
}

// Capacity returns the sum of the limits of the endpoints that are not cold. It includes
// relays, as a daemon of a drained data centre can use the free slots of others.
func (t *Table) Capacity() unit.Requests {
	return t.capacity
}

// Generation returns the number of the table, which ascends within a process.
func (t *Table) Generation() uint64 {
	return t.generation
}

// Endpoints returns all endpoints in the order of their ids.
func (t *Table) Endpoints() []*Endpoint {
	return t.endpoints
}

// Endpoint returns the endpoint with the id, or nil.
func (t *Table) Endpoint(id ident.Endpoint) *Endpoint {
	return t.byID[id]
}

// ModelEndpoints returns the endpoints that serve the model or adapter to the
// organisation, in the order of their ids. It does not include relays.
func (t *Table) ModelEndpoints(m ident.Model, o ident.Organisation) []*Endpoint {
	return t.endpointsByModel.findEndpoints(m, o)
}

// Relays returns the daemons of other data centres that have free slots for the model or
// adapter and the organisation, in the order of their ids.
func (t *Table) Relays(m ident.Model, o ident.Organisation) []*Endpoint {
	return t.relaysByModel.findEndpoints(m, o)
}

// ServiceEndpoints returns the endpoints of the plain service.
func (t *Table) ServiceEndpoints(s ident.Service) []*Endpoint {
	return t.endpointsByService[s]
}
