package catalog

import "cuminbay/internal/domain/cluster"

func unregisteredCopy(s *cluster.Server) *cluster.Server {
	unregistered := *s
	unregistered.Unregistered = true
	return &unregistered
}

// removeUnregistered removes the servers without an entry on the platform, except the members of
// replicas whose heads serve. Requests go to the head only, and a member that works is still part
// of its replica: an entry also ends if its server can't reach the platform. The planner finds out
// whether the member answers. The caller holds the lock.
func (c *Catalog) removeUnregistered(edit *serverSetEdit) {
	for id := range c.unregistered {
		if s := edit.get(id); !c.index.servesWith(s) {
			c.remove(edit, s)
		}
	}
}

// servesWith reports whether the server is a member, not the head, of a replica whose head is
// registered and serves. If several servers report rank 0, one that serves is enough, so that the
// result doesn't depend on the order in which the members are visited.
func (x *endpointIndex) servesWith(s *cluster.Server) bool {
	if s.Membership == nil || s.Membership.Rank == 0 {
		return false
	}
	for _, member := range x.members[replicaKeyOf(s)] {
		if member.Membership.Rank == 0 && isServingHead(member) {
			return true
		}
	}
	return false
}

func isServingHead(s *cluster.Server) bool {
	return !s.Unregistered && s.Membership.State == cluster.Open
}
