package catalog

import (
	"cmp"
	"maps"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

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
	// Process identifies the server's incarnation. It is computed once for each endpoint,
	// as requests look up the state of the incarnation.
	Process ident.ServerIncarnation
	// IsRelay says that this is another daemon, which forwards requests to servers that this
	// daemon can't reach.
	IsRelay bool
}

// endpointKey is the key of a list of endpoints. Model is empty for plain services.
type endpointKey struct {
	service ident.Service
	model   ident.Model
}

func keyOf(e *Endpoint) endpointKey {
	if e.Model == nil {
		return endpointKey{service: e.Service}
	}
	return endpointKey{e.Service, e.Model.Name}
}

// endpointIndex keeps the lists of endpoints while servers change. It recomputes only the
// endpoints that a change can affect.
type endpointIndex struct {
	// members has the servers that report membership in each replica.
	members   map[ReplicaKey]map[ident.Instance]*cluster.Server
	endpoints map[ident.Instance]*Endpoint
	// lists has the endpoints of each key in order of their ids. Snapshots share the
	// lists, so a change makes a new list, and a new map when published.
	lists map[endpointKey][]*Endpoint
	// affected has the servers whose endpoints have to be computed again.
	affected map[ident.Instance]bool
}

func newEndpointIndex() *endpointIndex {
	return &endpointIndex{
		members: make(map[ReplicaKey]map[ident.Instance]*cluster.Server), endpoints: make(map[ident.Instance]*Endpoint),
		lists: make(map[endpointKey][]*Endpoint), affected: make(map[ident.Instance]bool),
	}
}

// replace records that a server changed. before is nil for a new server, and after for a
// removed one.
func (x *endpointIndex) replace(before, after *cluster.Server) {
	if before != nil {
		x.markAffected(before)
		if before.Membership != nil {
			key := replicaKeyOf(before)
			delete(x.members[key], before.ID)
			if len(x.members[key]) == 0 {
				delete(x.members, key)
			}
		}
	}
	if after == nil {
		return
	}
	if after.Membership != nil {
		key := replicaKeyOf(after)
		if x.members[key] == nil {
			x.members[key] = make(map[ident.Instance]*cluster.Server)
		}
		x.members[key][after.ID] = after
	}
	x.markAffected(after)
}

// markAffected records that the endpoints of the server and of its replica's head may
// change.
func (x *endpointIndex) markAffected(s *cluster.Server) {
	x.affected[s.ID] = true
	if s.Membership == nil {
		return
	}
	for id, member := range x.members[replicaKeyOf(s)] {
		if member.Membership.Rank == 0 {
			x.affected[id] = true
		}
	}
}

// endpointSource has what the endpoints of a server depend on besides the replicas.
type endpointSource interface {
	get(id ident.Instance) *cluster.Server
	serviceOf(s *cluster.Server) *cluster.Service
	loadOf(s *cluster.Server) *Load
}

// update computes the endpoints of the affected servers and returns those that were
// replaced or removed.
func (x *endpointIndex) update(source endpointSource) []*Endpoint {
	if len(x.affected) == 0 {
		return nil
	}
	var replaced []*Endpoint
	lists := maps.Clone(x.lists)
	for id := range x.affected {
		before, after := x.endpoints[id], x.endpointOf(source.get(id), source)
		if before == nil && after == nil {
			continue
		}
		if before != nil {
			replaced = append(replaced, before)
			lists[keyOf(before)] = without(lists[keyOf(before)], id)
			delete(x.endpoints, id)
		}
		if after != nil {
			lists[keyOf(after)] = with(lists[keyOf(after)], after)
			x.endpoints[id] = after
		}
	}
	clear(x.affected)
	x.lists = lists
	return replaced
}

// endpointOf returns the endpoint of the server, nil if it gets no requests. Draining
// servers and those of drained data centres have no service in the source.
func (x *endpointIndex) endpointOf(s *cluster.Server, source endpointSource) *Endpoint {
	if s == nil {
		return nil
	}
	service := source.serviceOf(s)
	if service == nil {
		return nil
	}
	if service.Engine == nil {
		return &Endpoint{Server: s, ColdRate: service.ColdRate, Load: source.loadOf(s), Process: s.IncarnationID()}
	}
	m := s.Membership
	if m == nil || m.Rank != 0 || m.State != cluster.Open {
		return nil
	}
	model := service.Engine.Model(m.Model)
	if model == nil || !isComplete(slices.Collect(maps.Values(x.members[replicaKeyOf(s)])), model.ServersPerReplica) {
		return nil
	}
	return &Endpoint{
		Server: s, ColdRate: service.ColdRate, Load: source.loadOf(s), Process: s.IncarnationID(),
		Replica: m.Replica, Epoch: m.Epoch, Model: model, Engine: service.Engine,
	}
}

// isComplete reports whether there is a member for each of the size ranks and every member
// has finished joining.
func isComplete(members []*cluster.Server, size int) bool {
	if len(members) != size {
		return false
	}
	ranks := make(map[unit.Rank]bool, size)
	for _, s := range members {
		if s.Membership.State == cluster.Joining {
			return false
		}
		ranks[s.Membership.Rank] = true
	}
	return len(ranks) == size
}

// without returns a copy of the list without the endpoint of the server.
func without(list []*Endpoint, id ident.Instance) []*Endpoint {
	return slices.DeleteFunc(slices.Clone(list), func(e *Endpoint) bool { return e.ID == id })
}

// with returns a copy of the list with the endpoint.
func with(list []*Endpoint, e *Endpoint) []*Endpoint {
	i, _ := slices.BinarySearchFunc(list, e, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Insert(slices.Clone(list), i, e)
}
