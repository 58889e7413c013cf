// Package replica holds the serving rule: from the members' own reports to a
// state of each replica that its owner attests to the other daemons.
package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// State is the state of a replica.
type State = report.ReplicaState

// Options are the parts of a Tracker.
type Options struct {
	Clock      clock.Clock
	Self       ident.Instance
	DataCentre ident.DataCentre
	// Boot orders the starts of this daemon: its start time in milliseconds.
	Boot unit.Incarnation
	// StaleAfter is the age at which a report no longer counts.
	StaleAfter time.Duration
	// AttestStaleAfter is the age at which an attestation no longer counts.
	AttestStaleAfter time.Duration
}

// Tracker applies the serving rule. It is safe for concurrent use.
//
// A replica that serves here was attested less than AttestStaleAfter ago, from
// reports less than StaleAfter old at that time. The sum of the two bounds how
// long a replica with a lost member is taken for serving.
type Tracker struct {
	options Options
	start   time.Time

	mu          sync.Mutex
	assignments map[ident.FabricDomain]report.Assignment
	reports     map[ident.Instance]observed
	owned       map[ident.Replica]ownership
	owners      map[ident.Instance]*attestation
	// highest is the highest epoch heard of each replica, so that an older
	// one is never served again.
	highest map[ident.Replica]unit.Epoch
}

// observed is the newest report of an instance with the time before which it
// was certainly not made.
type observed struct {
	report    *report.Report
	requested time.Time
}

// ownership is the time since which this daemon attests a replica, and the last
// time it was its owner.
type ownership struct {
	since, last time.Time
}

// NewTracker returns a tracker that knows nothing.
func NewTracker(o Options) *Tracker {
	return &Tracker{
		options:     o,
		start:       o.Clock.Now(),
		assignments: make(map[ident.FabricDomain]report.Assignment),
		reports:     make(map[ident.Instance]observed),
		owned:       make(map[ident.Replica]ownership),
		owners:      make(map[ident.Instance]*attestation),
		highest:     make(map[ident.Replica]unit.Epoch),
	}
}

// UpdateAssignment takes a domain's assignment if it is newer than the known one, and
// reports whether it was taken. Those of other data centres are ignored.
//
// Errors say what is wrong with the assignment.
func (t *Tracker) UpdateAssignment(a report.Assignment) (bool, error) {
	if err := a.Check(); err != nil {
		return false, err
	}
	if a.DataCentre != t.options.DataCentre {
		return false, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.assignments[a.Domain]; ok && known.Epoch >= a.Epoch {
		return false, nil
	}
	t.assignments[a.Domain] = a
	for _, r := range a.Replicas {
		t.highest[r.ID] = max(t.highest[r.ID], r.Epoch)
	}
	t.forget()
	return true, nil
}

// forget drops what belongs to no assignment any more. Epochs are kept while an
// attestation names the replica.
func (t *Tracker) forget() {
	placed := make(map[ident.Instance]bool)
	named := make(map[ident.Replica]bool)
	for _, a := range t.assignments {
		for _, r := range a.Replicas {
			named[r.ID] = true
			for _, m := range r.Members {
				placed[m.Instance] = true
			}
		}
	}
	for _, o := range t.owners {
		for id := range o.states {
			named[id] = true
		}
	}
	for i := range t.reports {
		if !placed[i] {
			delete(t.reports, i)
		}
	}
	for id := range t.highest {
		if !named[id] {
			delete(t.highest, id)
		}
	}
}

// ObserveReport takes a report that was requested at the given time of the local
// clock. A report that is not newer than the known one is dropped.
func (t *Tracker) ObserveReport(r *report.Report, requested time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.reports[r.Instance]
	if ok {
		if !r.Newer(known.report) {
			return
		}
		// The newer report was made after the older one, which was made
		// after its own request.
		if requested.Before(known.requested) {
			requested = known.requested
		}
	}
	t.reports[r.Instance] = observed{report: r, requested: requested}
}

// Assignments returns the known assignments in order of their domains.
func (t *Tracker) Assignments() []report.Assignment {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]report.Assignment, 0, len(t.assignments))
	for _, a := range t.assignments {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b report.Assignment) int { return cmp.Compare(a.Domain, b.Domain) })
	return all
}

// evaluate applies the serving rule to a replica.
func (t *Tracker) evaluate(domain ident.FabricDomain, r *report.Replica, now time.Time) State {
	s := describe(domain, r)
	for rank, m := range r.Members {
		o, ok := t.reports[m.Instance]
		if reason := t.judge(r, unit.Rank(rank), o, ok, now); reason != "" {
			s.UnreadyMembers = append(s.UnreadyMembers, report.UnreadyMember{Instance: m.Instance, Reason: reason})
			continue
		}
		s.Cold = s.Cold || o.report.Cold
		s.Running = max(s.Running, o.report.Running)
		s.Waiting = max(s.Waiting, o.report.Waiting)
	}
	s.Serving = len(s.UnreadyMembers) == 0
	return s
}

// describe returns the state of a replica of which nothing was reported.
func describe(domain ident.FabricDomain, r *report.Replica) State {
	s := State{
		Replica: r.ID, Epoch: r.Epoch, Domain: domain, Deployment: r.Deployment,
		Model: r.Model, Version: r.Version, Adapters: r.Adapters, Draining: r.Draining,
		Address: r.Members[0].Address,
	}
	for _, m := range r.Members {
		s.Members = append(s.Members, m.Instance)
	}
	return s
}

// judge returns why a member does not support the replica, or nothing.
func (t *Tracker) judge(r *report.Replica, rank unit.Rank, o observed, known bool, now time.Time) string {
	if !known {
		return "no report"
	}
	p := o.report
	switch {
	case now.Sub(o.requested) >= t.options.StaleAfter:
		return "stale report"
	case p.Replica != r.ID:
		return "reports another replica"
	case p.Epoch != r.Epoch:
		return "reports another epoch"
	case p.Rank != rank:
		return "reports another rank"
	case p.Model != r.Model || p.Version != r.Version || !sameAdapters(p.Adapters, r.Adapters):
		return "reports another model"
	case p.Role != report.Complete:
		return "reports another role"
	case !p.Ready:
		return "not ready"
	}
	return ""
}

func sameAdapters(a, b []ident.Adapter) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
