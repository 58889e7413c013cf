package catalog

import (
	"cmp"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Snapshot is an immutable view. Its maps and slices must not be changed.
type Snapshot struct {
	*routing
	// Config is nil until a configuration is known.
	Config *cluster.Config
	// Synced says that the whole list of servers has been read.
	Synced  bool
	Servers map[ident.Instance]*cluster.Server
	// Drained are the data centres that are out of service.
	Drained map[ident.DataCentre]bool

	plainEndpoints map[ident.Service][]*Endpoint
	modelEndpoints map[modelKey][]*Endpoint
}

type modelKey struct {
	service ident.Service
	model   ident.Model
}

// Endpoint is a target of requests: the head of a complete replica or a server
// of a plain service. It does not change.
type Endpoint struct {
	*cluster.Server
	// Replica, Epoch and Model are set for heads of replicas.
	Replica ident.Replica
	Epoch   unit.Epoch
	Model   *cluster.Model
	Engine  *cluster.Engine
	// ColdRate bounds the requests a second from all daemons while the server
	// is cold; zero is no bound.
	ColdRate float64
	Load     *Load
}

// PlainEndpoints returns the endpoints of a plain service.
func (s *Snapshot) PlainEndpoints(name ident.Service) []*Endpoint {
	return s.plainEndpoints[name]
}

// ModelEndpoints returns the heads of the replicas of the service that serve the model.
func (s *Snapshot) ModelEndpoints(service ident.Service, m ident.Model) []*Endpoint {
	return s.modelEndpoints[modelKey{service, m}]
}

// EachEndpoint calls f with every endpoint.
func (s *Snapshot) EachEndpoint(f func(*Endpoint)) {
	for _, list := range s.plainEndpoints {
		for _, e := range list {
			f(e)
		}
	}
	for _, list := range s.modelEndpoints {
		for _, e := range list {
			f(e)
		}
	}
}

// addEndpoints finds what may be routed to. A server that drains or whose data
// centre is out of service is left out.
func (s *Snapshot) addEndpoints(load func(*cluster.Server) *Load) {
	if s.Config == nil {
		return
	}
	replicas := s.Replicas()
	for _, server := range s.Servers {
		service := s.Config.Services[server.Service]
		if service == nil || server.Draining || s.Drained[server.DataCentre] {
			continue
		}
		e := &Endpoint{Server: server, ColdRate: service.ColdRate, Load: load(server)}
		if service.Engine == nil {
			s.plainEndpoints[service.Name] = append(s.plainEndpoints[service.Name], e)
			continue
		}
		m := server.Membership
		if m == nil || m.Rank != 0 || m.State != cluster.Open {
			continue
		}
		model := service.Engine.Model(m.Model)
		if model == nil || !replicas[ReplicaKey{m.Replica, m.Epoch}].Complete(model.ServersPerReplica) {
			continue
		}
		e.Replica, e.Epoch, e.Model, e.Engine = m.Replica, m.Epoch, model, service.Engine
		key := modelKey{service.Name, m.Model}
		s.modelEndpoints[key] = append(s.modelEndpoints[key], e)
	}
	byID := func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) }
	for _, list := range s.plainEndpoints {
		slices.SortFunc(list, byID)
	}
	for _, list := range s.modelEndpoints {
		slices.SortFunc(list, byID)
	}
}

// ReplicaKey names a replica at one epoch. The planner never uses an epoch
// twice, so equal keys have equal member lists.
type ReplicaKey struct {
	Replica ident.Replica
	Epoch   unit.Epoch
}

// Replica has the members that report one replica at one epoch.
type Replica struct {
	Members []*cluster.Server
}

// Complete reports whether every rank is there and has been ready.
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

// Replicas returns the replicas that servers report.
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
