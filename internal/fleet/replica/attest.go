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

// attestation is the newest that is known from one owner.
type attestation struct {
	incarnation unit.Incarnation
	sequence    unit.Sequence
	// changedSequence is the sequence at which the states last changed.
	changedSequence unit.Sequence
	// madeAt is a time of the local clock that is not later than the time at
	// which the owner evaluated the reports.
	madeAt time.Time
	states map[ident.Replica]State
}

// retentionFactor is the number of AttestStaleAfter after which the attestation of
// a silent owner is dropped. It is kept for longer than it counts so that a
// late copy of it is still recognised as old.
const retentionFactor = 20

// maxEmptyAttestations is the number of attestations without a replica that are passed
// on. By then the states that they replace are stale by age everywhere.
const maxEmptyAttestations = 20

// omitted reports whether the attestation need not be passed on: about two in
// five of 60 daemons own none of 54 replicas.
func (a *attestation) omitted() bool {
	return len(a.states) == 0 && a.sequence-a.changedSequence > maxEmptyAttestations
}

// PublishAttestation evaluates the replicas that this daemon owns and attests them with a
// new sequence.
//
// A replica that was just taken over is attested once every member has reported
// or StaleAfter has passed, and one that was handed over for StaleAfter longer,
// so that a move of the ownership does not interrupt the service. Two owners at
// once do no harm, since both attest what the members reported.
func (t *Tracker) PublishAttestation(owns func(ident.Replica) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	states := make(map[ident.Replica]State)
	ownerships := make(map[ident.Replica]ownership)
	for _, a := range t.assignments {
		for i := range a.Replicas {
			r := &a.Replicas[i]
			o, ok := t.currentOwnership(r.ID, owns(r.ID), now)
			if !ok {
				continue
			}
			ownerships[r.ID] = o
			s := t.evaluate(a.Domain, r, now)
			if s.Serving || now.Sub(o.since) >= t.options.StaleAfter || t.allMembersReported(r, now) {
				states[r.ID] = s
			}
		}
	}
	t.ownerships = ownerships
	t.storeOwnAttestation(states, now)
}

func (t *Tracker) currentOwnership(id ident.Replica, owner bool, now time.Time) (ownership, bool) {
	o, owned := t.ownerships[id]
	if owner {
		if !owned {
			o.since = now
		}
		o.lastOwned = now
		return o, true
	}
	return o, owned && now.Sub(o.lastOwned) < t.options.StaleAfter
}

// allMembersReported reports whether every member has a fresh report. Those from an earlier
// ownership are stale and say nothing.
func (t *Tracker) allMembersReported(r *report.Replica, now time.Time) bool {
	for _, m := range r.Members {
		o, ok := t.reports[m.Instance]
		if !ok || now.Sub(o.requestedAt) >= t.options.StaleAfter {
			return false
		}
	}
	return true
}

func (t *Tracker) storeOwnAttestation(states map[ident.Replica]State, now time.Time) {
	previous := t.attestations[t.options.Self]
	if previous == nil || previous.incarnation != t.options.Boot {
		previous = &attestation{incarnation: t.options.Boot}
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

// similarStates reports whether peers need not be told of the difference. Small
// changes of the counts are left out, since they change all the time and would
// take most of the bytes of an exchange.
func similarStates(a, b map[ident.Replica]State) bool {
	if len(a) != len(b) {
		return false
	}
	for id, s := range a {
		u, ok := b[id]
		if !ok || !similarCounts(s.Running, u.Running) || !similarCounts(s.Waiting, u.Waiting) {
			return false
		}
		u.Running, u.Waiting = s.Running, s.Waiting
		if !reflect.DeepEqual(s, u) {
			return false
		}
	}
	return true
}

// similarCounts reports whether two counts differ by at most a quarter and agree on
// being zero.
func similarCounts(a, b unit.Requests) bool {
	const quarter = 4
	return (a == 0) == (b == 0) && max(a-b, b-a)*quarter <= max(a, b)
}

// AttestedStates returns the state of every replica as this daemon sees it, in order
// of the ids.
//
// The rule when several daemons attest a replica: only attestations of the
// highest epoch that was heard of count, from assignments, from attestations
// and also from those that are stale, so an older epoch is never served. Of the
// fresh ones the youngest decides, whatever it says. A "not serving" therefore
// beats every older "serving", and one of a higher epoch beats all of a lower
// one. An older "not serving" does not beat a younger "serving", since the
// younger one rests on reports of every member that were fresh when it was made;
// otherwise a former owner that lost its connection to a member could stop a
// replica that serves.
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
	all := make([]State, 0, len(best))
	for _, s := range best {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b State) int { return cmp.Compare(a.Replica, b.Replica) })
	return all
}

// addUnattested adds the assigned replicas that nobody attests, and takes Leaving
// from the assignment, which may be newer than the attestation.
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

// noLongerAssigned reports whether the domain's assignment is newer than the state and
// has the replica no more.
func (t *Tracker) noLongerAssigned(s State) bool {
	a, ok := t.assignments[s.Domain]
	if !ok || s.Epoch > a.Epoch {
		return false
	}
	return !slices.ContainsFunc(a.Replicas, func(r report.Replica) bool {
		return r.ID == s.Replica && r.Epoch == s.Epoch
	})
}

func (t *Tracker) sortedOwners() []ident.Instance {
	owners := make([]ident.Instance, 0, len(t.attestations))
	for o := range t.attestations {
		owners = append(owners, o)
	}
	slices.Sort(owners)
	return owners
}

// ProbeTargets returns the members of the replicas that the function selects, in
// order of their instances, and of those handed over a short time ago.
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
