package plan

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
)

// observations keeps what the planner has seen of each instance.
type observations struct {
	byInstance map[ident.Instance]observation
	// startedAt is the time since which the planner looks; an instance that has
	// not been seen counts as missing from then.
	startedAt time.Time
}

type observation struct {
	report      *report.Report
	requestedAt time.Time
}

func newObservations(startedAt time.Time) *observations {
	return &observations{byInstance: make(map[ident.Instance]observation), startedAt: startedAt}
}

// addReport takes a report asked for at the given time, unless a newer is known.
func (s *observations) addReport(r *report.Report, requestedAt time.Time) {
	known := s.byInstance[r.Instance]
	if known.report != nil && known.report.Incarnation != 0 && !r.Newer(known.report) {
		return
	}
	s.byInstance[r.Instance] = observation{report: r, requestedAt: requestedAt}
}

// addAttestation takes an attestation in the place of the members' reports.
func (s *observations) addAttestation(r *report.Replica, now time.Time) {
	for rank, m := range r.Members {
		known := s.byInstance[m.Instance]
		next := &report.Report{Instance: m.Instance, Placement: placementOf(r, unit.Rank(rank)), Ready: true}
		if known.report != nil {
			next.Incarnation, next.Sequence = known.report.Incarnation, known.report.Sequence
		}
		s.byInstance[m.Instance] = observation{report: next, requestedAt: now}
	}
}

// unreachableFor returns the time since the instance was last seen, zero if that was
// within the interval of the probes.
func (s *observations) unreachableFor(i ident.Instance, now time.Time, maxAge time.Duration) time.Duration {
	latest, ok := s.byInstance[i]
	lastSeen := s.startedAt
	if ok && latest.requestedAt.After(lastSeen) {
		lastSeen = latest.requestedAt
	}
	if ok && now.Sub(latest.requestedAt) <= maxAge {
		return 0
	}
	return now.Sub(lastSeen)
}

// allMembersReady reports whether every member was seen within the interval in its
// place and ready. A replica that lost its attestation for another reason, such
// as a move of its ownership, is not taken for stopped.
func (s *observations) allMembersReady(r *report.Replica, now time.Time, maxAge time.Duration) bool {
	for rank, m := range r.Members {
		latest, ok := s.byInstance[m.Instance]
		if !ok || now.Sub(latest.requestedAt) > maxAge || !latest.report.Ready || !samePlacement(latest.report.Placement, placementOf(r, unit.Rank(rank))) {
			return false
		}
	}
	return true
}

// retainOnly drops the instances that are not listed.
func (s *observations) retainOnly(addresses map[ident.Instance]string) {
	for i := range s.byInstance {
		if _, ok := addresses[i]; !ok {
			delete(s.byInstance, i)
		}
	}
}

// drainer decides when a leaving replica may be taken apart.
type drainer struct {
	// propagationTime is the time after which every daemon has heard that a replica
	// is leaving, so that no new work is on its way.
	propagationTime time.Duration
	timeout         time.Duration
	draining        map[ident.Replica]*drainingReplica
}

type drainingReplica struct {
	since time.Time
	// idleRounds counts the rounds in a row without work.
	idleRounds int
	timedOut   bool
}

// requiredIdleRounds is the number of probes in a row that have to show no work.
const requiredIdleRounds = 2

// update updates the leaving replicas and returns those that may be taken apart,
// and those of them whose limit passed in this round.
func (d *drainer) update(replicas []report.Replica, observed *observations, now time.Time) (idle map[ident.Replica]bool, timedOut []ident.Replica) {
	idle = make(map[ident.Replica]bool)
	present := make(map[ident.Replica]bool)
	for i := range replicas {
		r := &replicas[i]
		if !r.Draining {
			continue
		}
		present[r.ID] = true
		l := d.draining[r.ID]
		if l == nil {
			l = &drainingReplica{since: now}
			d.draining[r.ID] = l
		}
		l.idleRounds++
		if !membersIdleSince(r, observed, l.since) {
			l.idleRounds = 0
		}
		waited := now.Sub(l.since)
		switch {
		case l.idleRounds >= requiredIdleRounds && waited >= d.propagationTime:
			idle[r.ID] = true
		case waited >= d.timeout:
			idle[r.ID] = true
			if !l.timedOut {
				l.timedOut = true
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

// membersIdleSince reports whether every member has said since the replica began to leave
// that it has no work.
func membersIdleSince(r *report.Replica, observed *observations, since time.Time) bool {
	for _, m := range r.Members {
		s, ok := observed.byInstance[m.Instance]
		if !ok || s.requestedAt.Before(since) || s.report.Running+s.report.Waiting > 0 {
			return false
		}
	}
	return true
}
