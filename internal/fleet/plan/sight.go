package plan

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
)

// sights keeps what the planner has seen of each instance.
type sights struct {
	seen map[ident.Instance]sight
	// since is the time since which the planner looks; an instance that has
	// not been seen counts as missing from then.
	since time.Time
}

type sight struct {
	report *report.Report
	at     time.Time
}

func newSights(since time.Time) *sights {
	return &sights{seen: make(map[ident.Instance]sight), since: since}
}

// observe takes a report asked for at the given time, unless a newer is known.
func (s *sights) observe(r *report.Report, asked time.Time) {
	old := s.seen[r.Instance]
	if old.report != nil && old.report.Incarnation != 0 && !r.Newer(old.report) {
		return
	}
	s.seen[r.Instance] = sight{report: r, at: asked}
}

// attested takes an attestation in the place of the members' reports.
func (s *sights) attested(r *report.Replica, now time.Time) {
	for rank, m := range r.Members {
		old := s.seen[m.Instance]
		next := &report.Report{Instance: m.Instance, Placement: placement(r, unit.Rank(rank)), Ready: true}
		if old.report != nil {
			next.Incarnation, next.Sequence = old.report.Incarnation, old.report.Sequence
		}
		s.seen[m.Instance] = sight{report: next, at: now}
	}
}

// missing returns the time since the instance was last seen, zero if that was
// within the interval of the probes.
func (s *sights) missing(i ident.Instance, now time.Time, interval time.Duration) time.Duration {
	at, ok := s.seen[i]
	last := s.since
	if ok && at.at.After(last) {
		last = at.at
	}
	if ok && now.Sub(at.at) <= interval {
		return 0
	}
	return now.Sub(last)
}

// complete reports whether every member was seen within the interval in its
// place and ready. A replica that lost its attestation for another reason, such
// as a move of its ownership, is not taken for stopped.
func (s *sights) complete(r *report.Replica, now time.Time, interval time.Duration) bool {
	for rank, m := range r.Members {
		at, ok := s.seen[m.Instance]
		if !ok || now.Sub(at.at) > interval || !at.report.Ready || !samePlacement(at.report.Placement, placement(r, unit.Rank(rank))) {
			return false
		}
	}
	return true
}

// keep drops the instances that are not listed.
func (s *sights) keep(listed map[ident.Instance]string) {
	for i := range s.seen {
		if _, ok := listed[i]; !ok {
			delete(s.seen, i)
		}
	}
}

// drainer decides when a leaving replica may be taken apart.
type drainer struct {
	// settle is the time after which every daemon has heard that a replica
	// is leaving, so that no new work is on its way.
	settle time.Duration
	limit  time.Duration
	leave  map[ident.Replica]*leaving
}

type leaving struct {
	since time.Time
	// quiet counts the rounds in a row without work.
	quiet   int
	limited bool
}

// quietRounds is the number of probes in a row that have to show no work.
const quietRounds = 2

// idle updates the leaving replicas and returns those that may be taken apart,
// and those of them whose limit passed in this round.
func (d *drainer) idle(replicas []report.Replica, seen *sights, now time.Time) (idle map[ident.Replica]bool, limited []ident.Replica) {
	idle = make(map[ident.Replica]bool)
	present := make(map[ident.Replica]bool)
	for i := range replicas {
		r := &replicas[i]
		if !r.Draining {
			continue
		}
		present[r.ID] = true
		l := d.leave[r.ID]
		if l == nil {
			l = &leaving{since: now}
			d.leave[r.ID] = l
		}
		l.quiet++
		if !quiet(r, seen, l.since) {
			l.quiet = 0
		}
		waited := now.Sub(l.since)
		switch {
		case l.quiet >= quietRounds && waited >= d.settle:
			idle[r.ID] = true
		case waited >= d.limit:
			idle[r.ID] = true
			if !l.limited {
				l.limited = true
				limited = append(limited, r.ID)
			}
		}
	}
	for id := range d.leave {
		if !present[id] {
			delete(d.leave, id)
		}
	}
	return idle, limited
}

// quiet reports whether every member has said since the replica began to leave
// that it has no work.
func quiet(r *report.Replica, seen *sights, since time.Time) bool {
	for _, m := range r.Members {
		s, ok := seen.seen[m.Instance]
		if !ok || s.at.Before(since) || s.report.Running+s.report.Waiting > 0 {
			return false
		}
	}
	return true
}
