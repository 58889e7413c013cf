package catalog

import (
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
	Synced bool
	// Drained has the data centres that are out of service.
	Drained map[ident.DataCentre]bool

	servers   *serverSet
	endpoints map[endpointKey][]*Endpoint
}

// Server returns the server with the id, nil if it is not listed.
func (s *Snapshot) Server(id ident.Instance) *cluster.Server {
	return s.servers.get(id)
}

// EachServer calls f with every server, in no order.
func (s *Snapshot) EachServer(f func(*cluster.Server)) {
	s.servers.each(f)
}

// PlainEndpoints returns the endpoints of a plain service.
func (s *Snapshot) PlainEndpoints(name ident.Service) []*Endpoint {
	return s.endpoints[endpointKey{service: name}]
}

// ModelEndpoints returns the heads of the service's replicas that serve the model.
func (s *Snapshot) ModelEndpoints(service ident.Service, m ident.Model) []*Endpoint {
	if m == "" {
		return nil
	}
	return s.endpoints[endpointKey{service, m}]
}

// EachEndpoint calls f with every endpoint.
func (s *Snapshot) EachEndpoint(f func(*Endpoint)) {
	for _, endpoints := range s.endpoints {
		for _, e := range endpoints {
			f(e)
		}
	}
}

// ReplicaKey identifies a replica at one epoch. The planner never uses an epoch
// twice, so two replicas with the same key have the same member list.
type ReplicaKey struct {
	Replica ident.Replica
	Epoch   unit.Epoch
}

func replicaKeyOf(s *cluster.Server) ReplicaKey {
	return ReplicaKey{s.Membership.Replica, s.Membership.Epoch}
}

// Replica holds the servers that report membership in one replica at one epoch.
type Replica struct {
	Members []*cluster.Server
}

// Complete reports whether the replica has one member for each of its size ranks
// and every member has finished joining.
func (r *Replica) Complete(size int) bool {
	return r != nil && isComplete(r.Members, size)
}

// Replicas groups the servers by the replica and epoch that they report.
func (s *Snapshot) Replicas() map[ReplicaKey]*Replica {
	replicas := make(map[ReplicaKey]*Replica)
	s.EachServer(func(server *cluster.Server) {
		if server.Membership == nil {
			return
		}
		key := replicaKeyOf(server)
		r := replicas[key]
		if r == nil {
			r = new(Replica)
			replicas[key] = r
		}
		r.Members = append(r.Members, server)
	})
	return replicas
}
