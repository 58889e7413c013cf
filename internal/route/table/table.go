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

	// Cold says that the endpoint bears only what it was granted.
	Cold bool
	// ColdLimit bounds the requests at once from all daemons of the data
	// centre while the endpoint is cold; zero stands for the default.
	ColdLimit unit.Requests
	// Limit bounds the requests at once from this daemon.
	Limit unit.Requests
	// Running and Waiting are the endpoint's own last reported counts.
	Running unit.Requests
	Waiting unit.Requests

	Load *Load
}

// Table is an immutable set of endpoints. Its slices are shared and must not
// be changed.
type Table struct {
	generation uint64
	endpoints  []*Endpoint
	byID       map[ident.Endpoint]*Endpoint
	byModel    map[ident.Model][]*Endpoint
	byService  map[ident.Service][]*Endpoint
}

// New returns a table of the endpoints.
func New(generation uint64, endpoints []*Endpoint) *Table {
	t := &Table{
		generation: generation,
		endpoints:  append([]*Endpoint(nil), endpoints...),
		byID:       make(map[ident.Endpoint]*Endpoint, len(endpoints)),
		byModel:    make(map[ident.Model][]*Endpoint),
		byService:  make(map[ident.Service][]*Endpoint),
	}
	sort.Slice(t.endpoints, func(i, j int) bool { return t.endpoints[i].ID < t.endpoints[j].ID })
	for _, e := range t.endpoints {
		t.byID[e.ID] = e
		for _, m := range e.Models {
			t.byModel[m] = append(t.byModel[m], e)
		}
		if e.Service != "" {
			t.byService[e.Service] = append(t.byService[e.Service], e)
		}
	}
	return t
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

// Model returns the endpoints that serve the model or adapter.
func (t *Table) Model(m ident.Model) []*Endpoint {
	return t.byModel[m]
}

// Service returns the endpoints of the plain service.
func (t *Table) Service(s ident.Service) []*Endpoint {
	return t.byService[s]
}
