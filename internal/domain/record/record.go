// Package record holds the records that operators write: deployments of models,
// organisations and plain services. Daemons decode schema versions 1 and 2 of a
// record to the same types.
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

// The kinds of records.
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

// NameFromKey returns the name of the record that the platform key belongs to.
//
// Errors carry code.BadRecord.
func NameFromKey(k store.Key) (Name, error) {
	name, found := strings.CutPrefix(string(k), string(store.RecordPrefix))
	if !found {
		return Name{}, code.BadRecord.New("record key %s: does not start with %s", k, store.RecordPrefix)
	}
	return ParseName(name)
}

// ParseName parses a name of the form kind/name.
//
// Errors carry code.BadRecord.
func ParseName(s string) (Name, error) {
	kind, name, found := strings.Cut(s, "/")
	if !found {
		return Name{}, code.BadRecord.New("record name %q: expected the form kind/name", s)
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

// Record is a decoded record. Exactly one of the pointers is set, or none if
// the record is withdrawn.
type Record struct {
	Name
	Schema    int
	Withdrawn bool

	Deployment   *Deployment
	Organisation *Organisation
	Service      *Service
}

// Deployment says which organisations may use a model version, and how many
// replicas each data centre runs.
type Deployment struct {
	Name     ident.Deployment
	Model    ident.Model
	Version  ident.Version
	Adapters []ident.Adapter
	// Organisations lists the organisations that may use the deployment; an
	// empty list allows all.
	Organisations []ident.Organisation
	Placements    []Placement
	// Size is the number of instances of a replica.
	Size int
	// Priority decides which deployment loses replicas when instances are
	// short; a lower priority loses first.
	Priority unit.Priority
	// ColdLimit is the highest number of requests in flight to a cold replica.
	ColdLimit unit.Requests
	// Limit is the highest number of requests in flight to a warm replica.
	Limit unit.Requests
}

// Placement is the number of replicas that a data centre should run.
type Placement struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	Replicas   int              `json:"replicas"`
}

// Organisation is a customer.
type Organisation struct {
	Name ident.Organisation
	// Keys are the bearer keys that identify the organisation.
	Keys []string
	// Weight is the organisation's share while capacity is short.
	Weight unit.Weight
	// Limit bounds the organisation's requests in flight at one daemon; zero
	// means no limit.
	Limit unit.Requests
}

// Service is a plain service.
type Service struct {
	Name ident.Service
	// Prefix is the path prefix that callers use. Daemons remove the prefix
	// before they forward a request.
	Prefix string
	Calls  []Call
	// Organisations lists the organisations that may use the service; an empty
	// list allows all.
	Organisations []ident.Organisation
	// Limit is the highest number of requests in flight to an instance.
	Limit unit.Requests
}

// Call is a method and a path of a service.
type Call struct {
	Method string `json:"method"`
	// Path is a path below the prefix. A path that ends in * matches every path
	// with the same beginning.
	Path string `json:"path"`
	// AtMostOnce says that the call must not run twice, so that callers have to
	// send an idempotency key.
	AtMostOnce bool `json:"atMostOnce"`
}

// Matches reports whether the call covers the method and the path.
func (c Call) Matches(method, path string) bool {
	if c.Method != method {
		return false
	}
	if prefix, wildcard := strings.CutSuffix(c.Path, "*"); wildcard {
		return strings.HasPrefix(path, prefix)
	}
	return c.Path == path
}
