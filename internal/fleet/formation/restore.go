package formation

import (
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

// returnWindow is the time for which an incomplete replica waits for further members
// after one has returned. The members behind a cut link return one after the other, as
// their entries reach the server list.
const returnWindow = time.Second

// isSettled reports whether no further members of the replica's last epoch are expected to return.
func (r *replica) isSettled(now time.Time) bool {
	return now.Sub(r.lastReturn) >= returnWindow
}

// possibleMembers returns the servers that may be members of a replica that isn't settled, although
// their known states are of earlier epochs: a server that can't reach the platform doesn't
// register what it has joined.
func (p *Planner) possibleMembers(r *replica) []*cluster.Server {
	var servers []*cluster.Server
	for _, s := range p.domainServers[domainKey{r.service, r.domain}] {
		isFree := s.Membership == nil || s.Membership.Replica == r.name
		if isFree && s.HighestEpoch < r.epoch && p.isUsable(s) {
			servers = append(servers, s)
		}
	}
	return servers
}

// restoreReplica returns members to the incomplete replica that could not be reached and
// have not noticed it. The replica serves again, without a new epoch, if it is still
// complete and open.
func (p *Planner) restoreReplica(r *replica) bool {
	reported := p.reported[catalog.ReplicaKey{Replica: r.name, Epoch: r.servedEpoch}]
	if reported == nil {
		return false
	}
	for _, s := range reported.Members {
		if len(r.members) < r.model.ServersPerReplica && p.isUsable(s) && !p.isMember(s.ID) {
			r.members = append(r.members, s.ID)
			r.lastReturn = p.now
			p.membersChanged()
		}
	}
	if !p.isIntact(r, reported) {
		return false
	}
	r.epoch = r.servedEpoch
	r.members = make([]ident.Instance, len(reported.Members))
	for _, s := range reported.Members {
		r.members[s.Membership.Rank] = s.ID
	}
	p.membersChanged()
	p.recordDecision("replica-restored", r, "its members can be reached again after %s", p.now.Sub(r.brokenSince).Round(time.Millisecond))
	p.startServing(r)
	return true
}

// isIntact reports whether the replica still serves at its last epoch with members that
// are all usable and in no other replica. Spare servers that were to replace some of them
// don't matter.
func (p *Planner) isIntact(r *replica, reported *catalog.Replica) bool {
	if !reported.Complete(r.model.ServersPerReplica) {
		return false
	}
	for _, s := range reported.Members {
		rank := int(s.Membership.Rank)
		isOpen := s.Membership.State == cluster.Open
		isAssigned := p.isMember(s.ID) && !hasMember(r, s.ID)
		if !p.isUsable(s) || isAssigned || rank < 0 || rank >= len(reported.Members) || rank == 0 && !isOpen {
			return false
		}
	}
	return true
}
