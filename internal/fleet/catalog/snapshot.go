package catalog

import (
	"cmp"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Snapshot is an immutable state of the catalog. Callers must not change its maps
// and slices.
type Snapshot struct {
	*routing
	// Config is nil until the first configuration has been applied.
	Config *cluster.Config
	// Synced says that the platform's whole list of servers has been read.
	Synced  bool
	Servers map[ident.Instance]*cluster.Server
	// Drained has the data centres that are out of service.
	Drained map[ident.DataCentre]bool

	plainEndpoints map[ident.Service][]*Endpoint
	modelEndpoints map[modelKey][]*Endpoint
}

// modelKey is the key of modelEndpoints.
type modelKey struct {
	service ident.Service
	model   ident.Model
}

// Endpoint is a server that requests can be sent to: the head of a complete
// replica, or a server of a plain service. Only its Load changes.
type Endpoint struct {
	*cluster.Server
	// Replica, Epoch, Model and Engine are set for heads of replicas only.
	Replica ident.Replica
	Epoch   unit.Epoch
	Model   *cluster.Model
	Engine  *cluster.Engine
	// ColdRate is the limit of requests a second from all daemons together while
	// the server is cold; zero is no limit.
	ColdRate float64
	Load     *Load
}

// PlainEndpoints returns the endpoints of a plain service.
func (s *Snapshot) PlainEndpoints(name ident.Service) []*Endpoint {
	return s.plainEndpoints[name]
}

// ModelEndpoints returns the heads of the service's replicas that serve the model.
func (s *Snapshot) ModelEndpoints(service ident.Service, m ident.Model) []*Endpoint {
	return s.modelEndpoints[modelKey{service, m}]
}

// EachEndpoint calls f with every endpoint.
func (s *Snapshot) EachEndpoint(f func(*Endpoint)) {
	for _, endpoints := range s.plainEndpoints {
		for _, e := range endpoints {
			f(e)
		}
	}
	for _, endpoints := range s.modelEndpoints {
		for _, e := range endpoints {
			f(e)
		}
	}
}

// addEndpoints fills plainEndpoints and modelEndpoints, in order of instance id.
// Draining servers and the servers of drained data centres are left out.
func (s *Snapshot) addEndpoints(loadOf func(*cluster.Server) *Load) {
	if s.Config == nil {
		return
	}
	replicas := s.Replicas()
	for _, server := range s.Servers {
		service := s.Config.Services[server.Service]
		if service == nil || server.Draining || s.Drained[server.DataCentre] {
			continue
		}
		endpoint := &Endpoint{Server: server, ColdRate: service.ColdRate, Load: loadOf(server)}
		if service.Engine == nil {
			s.plainEndpoints[service.Name] = append(s.plainEndpoints[service.Name], endpoint)
			continue
		}
		membership := server.Membership
		if membership == nil || membership.Rank != 0 || membership.State != cluster.Open {
			continue
		}
		model := service.Engine.Model(membership.Model)
		if model == nil || !replicas[ReplicaKey{membership.Replica, membership.Epoch}].Complete(model.ServersPerReplica) {
			continue
		}
		endpoint.Replica, endpoint.Epoch, endpoint.Model, endpoint.Engine = membership.Replica, membership.Epoch, model, service.Engine
		key := modelKey{service.Name, membership.Model}
		s.modelEndpoints[key] = append(s.modelEndpoints[key], endpoint)
	}
	byID := func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) }
	for _, endpoints := range s.plainEndpoints {
		slices.SortFunc(endpoints, byID)
	}
	for _, endpoints := range s.modelEndpoints {
		slices.SortFunc(endpoints, byID)
	}
}

// ReplicaKey identifies a replica at one epoch. The planner never uses an epoch
// twice, so two replicas with the same key have the same member list.
type ReplicaKey struct {
	Replica ident.Replica
	Epoch   unit.Epoch
}

// Replica holds the servers that report membership in one replica at one epoch.
type Replica struct {
	Members []*cluster.Server
}

// Complete reports whether the replica has one member for each of its size ranks
// and every member has finished joining.
func (r *Replica) Complete(size int) bool {
	if r == nil || len(r.Members) != size {
		return false
	}
	ranks := make(map[unit.Rank]bool, size)
	for _, s := range r.Members {
		if s.Membership.State == cluster.Joining {
			return false
		}
		ranks[s.Membership.Rank] = true
	}
	return len(ranks) == size
}

// Replicas groups the servers by the replica and epoch that they report.
func (s *Snapshot) Replicas() map[ReplicaKey]*Replica {
	replicas := make(map[ReplicaKey]*Replica)
	for _, server := range s.Servers {
		if server.Membership == nil {
			continue
		}
		key := ReplicaKey{server.Membership.Replica, server.Membership.Epoch}
		r := replicas[key]
		if r == nil {
			r = new(Replica)
			replicas[key] = r
		}
		r.Members = append(r.Members, server)
	}
	return replicas
}
