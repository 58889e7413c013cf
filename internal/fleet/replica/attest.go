package replica

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
)

// attestation is the newest attestation of an owner.
type attestation struct {
	incarnation unit.Incarnation
	sequence    unit.Sequence
	// changedSequence is the sequence at which the states last changed.
	changedSequence unit.Sequence
	// madeAt is a time of the local clock. The owner evaluated the reports at
	// this time or later.
	madeAt time.Time
	states map[ident.Replica]State
}

// retentionFactor is the multiple of AttestStaleAfter for which the attestation
// of a silent owner is kept. A stale attestation is kept so that a delayed copy of
// it is still recognised as old.
const retentionFactor = 20

// maxEmptyAttestations is the number of attestations without a replica that an
// owner sends after its last replica. By then the states that they replace are
// stale at every daemon.
const maxEmptyAttestations = 20

// canBeOmitted reports whether the attestation need not be sent, since it has
// had no replicas for long. With 60 daemons and 54 replicas, about two in five
// daemons own no replica.
func (a *attestation) canBeOmitted() bool {
	return len(a.states) == 0 && a.sequence-a.changedSequence > maxEmptyAttestations
}

// PublishAttestation evaluates the replicas that this daemon owns and attests
// them with a new sequence.
//
// When the owner of a replica changes, the replica must go on serving. So the
// new owner attests the replica once every member has reported or StaleAfter
// has passed, and the former owner continues to attest it for StaleAfter. Two
// owners at the same time are safe, since both attest only the members' reports.
func (t *Tracker) PublishAttestation(owns func(ident.Replica) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	states := make(map[ident.Replica]State)
	ownerships := make(map[ident.Replica]ownership)
	for _, a := range t.assignments {
		for i := range a.Replicas {
			r := &a.Replicas[i]
			own, ok := t.currentOwnership(r.ID, owns(r.ID), now)
			if !ok {
				continue
			}
			ownerships[r.ID] = own
			s := t.evaluateReplica(a.Domain, r, now)
			if s.Serving || now.Sub(own.since) >= t.options.StaleAfter || t.allMembersReported(r, now) {
				states[r.ID] = s
			}
		}
	}
	t.ownerships = ownerships
	t.storeOwnAttestation(states, now)
}

// currentOwnership returns the ownership of a replica and whether this daemon
// attests the replica: as its owner, or for StaleAfter after it was the owner.
func (t *Tracker) currentOwnership(id ident.Replica, isOwner bool, now time.Time) (ownership, bool) {
	own, owned := t.ownerships[id]
	if isOwner {
		if !owned {
			own.since = now
		}
		own.lastOwned = now
		return own, true
	}
	return own, owned && now.Sub(own.lastOwned) < t.options.StaleAfter
}

// allMembersReported reports whether every member has a report that is not
// stale.
func (t *Tracker) allMembersReported(r *report.Replica, now time.Time) bool {
	for _, m := range r.Members {
		observed, ok := t.reports[m.Instance]
		if !ok || now.Sub(observed.requestedAt) >= t.options.StaleAfter {
			return false
		}
	}
	return true
}

// storeOwnAttestation replaces the attestation of this daemon, and removes
// the attestations of owners that have been silent for long.
func (t *Tracker) storeOwnAttestation(states map[ident.Replica]State, now time.Time) {
	previous := t.attestations[t.options.Self]
	if previous == nil || previous.incarnation != t.options.Incarnation {
		previous = &attestation{incarnation: t.options.Incarnation}
	}
	next := &attestation{incarnation: previous.incarnation, sequence: previous.sequence + 1, changedSequence: previous.changedSequence, madeAt: now, states: previous.states}
	if next.sequence == 1 || !similarStates(previous.states, states) {
		next.changedSequence, next.states = next.sequence, states
	}
	t.attestations[t.options.Self] = next
	for owner, a := range t.attestations {
		if now.Sub(a.madeAt) > retentionFactor*t.options.AttestStaleAfter {
			delete(t.attestations, owner)
		}
	}
}

// similarStates reports whether the states differ so little that peers need not
// get the new ones. Small changes of the counts are not sent: they are so
// frequent that they would take most bytes of the exchange.
func similarStates(a, b map[ident.Replica]State) bool {
	if len(a) != len(b) {
		return false
	}
	for id, s := range a {
		other, ok := b[id]
		if !ok || !similarCounts(s.Running, other.Running) || !similarCounts(s.Waiting, other.Waiting) {
			return false
		}
		other.Running, other.Waiting = s.Running, s.Waiting
		if !reflect.DeepEqual(s, other) {
			return false
		}
	}
	return true
}

// similarCounts reports whether two counts differ by at most a quarter of the
// larger one, and are both zero or both not.
func similarCounts(a, b unit.Requests) bool {
	const quarterDivisor = 4
	return (a == 0) == (b == 0) && max(a-b, b-a)*quarterDivisor <= max(a, b)
}

// AttestedStates returns the state of every replica by the assignments and
// attestations that this daemon has, in order of the ids.
//
// If several daemons attest a replica, only attestations of the highest known
// epoch count. That epoch may come from an assignment or an attestation, even a
// stale one, so a replica never serves at an older epoch. Of the fresh
// attestations of that epoch the youngest decides. So "not serving" overrides
// every older "serving". An older "not serving" does not override a younger
// "serving", since the younger attestation is based on reports of all members
// that were fresh when it was made. Otherwise a former owner that lost its
// connection to a member could stop a replica that serves.
func (t *Tracker) AttestedStates() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	best := make(map[ident.Replica]State)
	madeAt := make(map[ident.Replica]time.Time)
	for _, owner := range t.sortedOwners() {
		a := t.attestations[owner]
		if now.Sub(a.madeAt) >= t.options.AttestStaleAfter {
			continue
		}
		for id, s := range a.states {
			if s.Epoch != t.highestEpochs[id] || t.noLongerAssigned(s) {
				continue
			}
			if newest, ok := madeAt[id]; !ok || a.madeAt.After(newest) {
				best[id], madeAt[id] = s, a.madeAt
			}
		}
	}
	t.addUnattested(best)
	states := make([]State, 0, len(best))
	for _, s := range best {
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Replica, b.Replica) })
	return states
}

// addUnattested adds the assigned replicas without an attestation. It also sets
// Draining from the assignment, which may be newer than the attestation.
func (t *Tracker) addUnattested(best map[ident.Replica]State) {
	for _, a := range t.assignments {
		for i := range a.Replicas {
			r := &a.Replicas[i]
			s, ok := best[r.ID]
			if !ok {
				s = newState(a.Domain, r)
				s.UnreadyMembers = []report.UnreadyMember{{Instance: r.Members[0].Instance, Reason: "no fresh attestation"}}
			}
			s.Draining = s.Draining || r.Draining
			if s.Epoch == r.Epoch {
				s.Draining = r.Draining
			}
			best[r.ID] = s
		}
	}
}

// noLongerAssigned reports whether the domain's assignment is at least as new
// as the state and doesn't have the replica at the state's epoch.
func (t *Tracker) noLongerAssigned(s State) bool {
	a, ok := t.assignments[s.Domain]
	if !ok || s.Epoch > a.Epoch {
		return false
	}
	return !slices.ContainsFunc(a.Replicas, func(r report.Replica) bool {
		return r.ID == s.Replica && r.Epoch == s.Epoch
	})
}

// sortedOwners returns the owners with an attestation in order of their names.
func (t *Tracker) sortedOwners() []ident.Instance {
	owners := make([]ident.Instance, 0, len(t.attestations))
	for owner := range t.attestations {
		owners = append(owners, owner)
	}
	slices.Sort(owners)
	return owners
}

// ProbeTargets returns the members of the replicas that this daemon attests, in
// order of their instances. The function owns says which replicas it owns.
func (t *Tracker) ProbeTargets(owns func(ident.Replica) bool) []report.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	var targets []report.Member
	for _, a := range t.assignments {
		for _, r := range a.Replicas {
			if _, ok := t.currentOwnership(r.ID, owns(r.ID), now); ok {
				targets = append(targets, r.Members...)
			}
		}
	}
	slices.SortFunc(targets, func(a, b report.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return targets
}
