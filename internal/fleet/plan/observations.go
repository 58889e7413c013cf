package plan

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
)

// observations holds the planner's latest observation of each instance.
type observations struct {
	byInstance map[ident.Instance]observation
	// startedAt is the time at which the planner began to observe. An instance
	// without an observation counts as unreachable since then.
	startedAt time.Time
}

// observation is the last report of an instance and the time of its request.
type observation struct {
	report      *report.Report
	requestedAt time.Time
}

func newObservations(startedAt time.Time) *observations {
	return &observations{byInstance: make(map[ident.Instance]observation), startedAt: startedAt}
}

// addReport stores a report that was requested at the given time, unless a
// newer one is known.
func (o *observations) addReport(r *report.Report, requestedAt time.Time) {
	known := o.byInstance[r.Instance]
	if known.report != nil && known.report.Incarnation != 0 && !r.Newer(known.report) {
		return
	}
	o.byInstance[r.Instance] = observation{report: r, requestedAt: requestedAt}
}

// addAttestation stores an attestation that the replica serves in place of its
// members' reports.
func (o *observations) addAttestation(r *report.Replica, now time.Time) {
	for rank, m := range r.Members {
		known := o.byInstance[m.Instance]
		next := &report.Report{Instance: m.Instance, Membership: membershipOf(r, unit.Rank(rank)), Ready: true}
		if known.report != nil {
			next.Incarnation, next.Sequence = known.report.Incarnation, known.report.Sequence
		}
		o.byInstance[m.Instance] = observation{report: next, requestedAt: now}
	}
}

// unreachableFor returns the time since the request of the instance's last
// report, or since startedAt without one; zero if a report was requested at
// most maxAge ago.
func (o *observations) unreachableFor(i ident.Instance, now time.Time, maxAge time.Duration) time.Duration {
	latest, ok := o.byInstance[i]
	lastSeen := o.startedAt
	if ok && latest.requestedAt.After(lastSeen) {
		lastSeen = latest.requestedAt
	}
	if ok && now.Sub(latest.requestedAt) <= maxAge {
		return 0
	}
	return now.Sub(lastSeen)
}

// allMembersReady reports whether every member reported, at most maxAge ago, that
// it is ready with its rank in the replica. So a replica that lost its attestation
// for another reason, such as a change of its owner, does not count as stopped.
func (o *observations) allMembersReady(r *report.Replica, now time.Time, maxAge time.Duration) bool {
	for rank, m := range r.Members {
		latest, ok := o.byInstance[m.Instance]
		if !ok || now.Sub(latest.requestedAt) > maxAge || !latest.report.Ready || !sameMembership(latest.report.Membership, membershipOf(r, unit.Rank(rank))) {
			return false
		}
	}
	return true
}

// retainOnly removes the observations of instances without an address.
func (o *observations) retainOnly(addresses map[ident.Instance]string) {
	for i := range o.byInstance {
		if _, ok := addresses[i]; !ok {
			delete(o.byInstance, i)
		}
	}
}

// drainer decides when a draining replica may be dissolved or rebuilt.
type drainer struct {
	// propagationTime is the time within which every daemon is informed that a
	// replica is draining, so that no new request is on its way afterwards.
	propagationTime time.Duration
	timeout         time.Duration
	draining        map[ident.Replica]*drainingReplica
}

type drainingReplica struct {
	since time.Time
	// idleRounds counts the consecutive rounds without requests.
	idleRounds int
	timedOut   bool
}

// requiredIdleRounds is the number of consecutive rounds in which the reports
// must show no request.
const requiredIdleRounds = 2

// updateDraining records a round for the draining replicas. It returns the
// replicas that may be dissolved or rebuilt, and the replicas among them whose
// drain timeout passed in this round.
func (d *drainer) updateDraining(replicas []report.Replica, observed *observations, now time.Time) (idle map[ident.Replica]bool, timedOut []ident.Replica) {
	idle = make(map[ident.Replica]bool)
	present := make(map[ident.Replica]bool)
	for i := range replicas {
		r := &replicas[i]
		if !r.Draining {
			continue
		}
		present[r.ID] = true
		state := d.draining[r.ID]
		if state == nil {
			state = &drainingReplica{since: now}
			d.draining[r.ID] = state
		}
		state.idleRounds++
		if !membersIdleSince(r, observed, state.since) {
			state.idleRounds = 0
		}
		waited := now.Sub(state.since)
		switch {
		case state.idleRounds >= requiredIdleRounds && waited >= d.propagationTime:
			idle[r.ID] = true
		case waited >= d.timeout:
			idle[r.ID] = true
			if !state.timedOut {
				state.timedOut = true
				timedOut = append(timedOut, r.ID)
			}
		}
	}
	for id := range d.draining {
		if !present[id] {
			delete(d.draining, id)
		}
	}
	return idle, timedOut
}

// membersIdleSince reports whether every member has reported since the given
// time that it has no requests.
func membersIdleSince(r *report.Replica, observed *observations, since time.Time) bool {
	for _, m := range r.Members {
		latest, ok := observed.byInstance[m.Instance]
		if !ok || latest.requestedAt.Before(since) || latest.report.Running+latest.report.Waiting > 0 {
			return false
		}
	}
	return true
}
