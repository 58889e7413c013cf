// Package record holds the operators' records: which models serve which
// organisations in which data centres, the organisations, and the plain
// services. Records of schema versions 1 and 2 decode to the same types.
package record

import (
	"strings"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// Kind is the kind of a record.
type Kind string

// The kinds.
const (
	DeploymentKind   Kind = "deployment"
	OrganisationKind Kind = "organisation"
	ServiceKind      Kind = "service"
)

// Name identifies a record.
type Name struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns kind/name.
func (n Name) String() string {
	return string(n.Kind) + "/" + n.Name
}

// Key returns the platform key of the record.
func (n Name) Key() store.Key {
	return store.RecordPrefix + store.Key(n.String())
}

// NameFromKey returns the name of the record under the key.
//
// Errors carry code.BadRecord.
func NameFromKey(k store.Key) (Name, error) {
	rest, found := strings.CutPrefix(string(k), string(store.RecordPrefix))
	if !found {
		return Name{}, code.BadRecord.New("key %s: not below %s", k, store.RecordPrefix)
	}
	return ParseName(rest)
}

// ParseName reads kind/name.
//
// Errors carry code.BadRecord.
func ParseName(s string) (Name, error) {
	kind, name, found := strings.Cut(s, "/")
	if !found {
		return Name{}, code.BadRecord.New("record name %q: want kind/name", s)
	}
	switch Kind(kind) {
	case DeploymentKind, OrganisationKind, ServiceKind:
	default:
		return Name{}, code.BadRecord.New("record name %q: kind is not one of deployment, organisation, service", s)
	}
	if err := ident.CheckName(name); err != nil {
		return Name{}, code.BadRecord.Wrap(err, "record name %q", s)
	}
	return Name{Kind(kind), name}, nil
}

// Record is a decoded record. Exactly one of the pointers is set, or none for
// a withdrawn one.
type Record struct {
	Name
	Schema    int
	Withdrawn bool

	Deployment   *Deployment
	Organisation *Organisation
	Service      *Service
}

// Deployment says which model version serves which organisations where.
type Deployment struct {
	Name     ident.Deployment
	Model    ident.Model
	Version  ident.Version
	Adapters []ident.Adapter
	// Organisations that may use it; empty means all.
	Organisations []ident.Organisation
	Placements    []Placement
	// Size is the number of instances of a replica.
	Size int
	// Priority decides which deployment yields when instances are short.
	Priority unit.Priority
	// ColdLimit is the number of requests that a cold replica accepts at once.
	ColdLimit unit.Requests
	// Limit bounds the requests at once that a warm replica is given.
	Limit unit.Requests
}

// Placement is the number of replicas wanted in a data centre.
type Placement struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Replicas   int              `json:"replicas"`
}

// Organisation is a customer.
type Organisation struct {
	Name ident.Organisation
	// Keys are the bearer keys that name the organisation.
	Keys []string
	// Weight is its share while capacity is short.
	Weight unit.Weight
	// Limit bounds its requests in flight at one daemon; zero is no bound.
	Limit unit.Requests
}

// Service is a plain service.
type Service struct {
	Name ident.Service
	// Prefix is the path prefix that callers use; it is not passed on.
	Prefix string
	Calls  []Call
	// Organisations that may use it; empty means all.
	Organisations []ident.Organisation
	// Limit bounds the requests at once that an instance is given.
	Limit unit.Requests
}

// Call is a method and path of a service.
type Call struct {
	Method string `json:"method"`
	// Path is a path below the prefix; one that ends in * matches what
	// starts with it.
	Path string `json:"path"`
	// AtMostOnce says that the call may not run twice and needs a key.
	AtMostOnce bool `json:"atMostOnce"`
}

// Matches reports whether the call covers the method and path.
func (c Call) Matches(method, path string) bool {
	if c.Method != method {
		return false
	}
	if prefix, wildcard := strings.CutSuffix(c.Path, "*"); wildcard {
		return strings.HasPrefix(path, prefix)
	}
	return c.Path == path
}
