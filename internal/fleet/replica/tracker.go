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

	mu           sync.Mutex
	assignments  map[ident.FabricDomain]report.Assignment
	reports      map[ident.Instance]observedReport
	ownerships   map[ident.Replica]ownership
	attestations map[ident.Instance]*attestation
	// highestEpochs is the highest epoch heard of each replica, so that an older
	// one is never served again.
	highestEpochs map[ident.Replica]unit.Epoch
}

// observedReport is the newest report of an instance with the time before which it
// was certainly not made.
type observedReport struct {
	report      *report.Report
	requestedAt time.Time
}

// ownership is the time since which this daemon attests a replica, and the last
// time it was its owner.
type ownership struct {
	since, lastOwned time.Time
}

// NewTracker returns a tracker that knows nothing.
func NewTracker(o Options) *Tracker {
	return &Tracker{
		options:       o,
		start:         o.Clock.Now(),
		assignments:   make(map[ident.FabricDomain]report.Assignment),
		reports:       make(map[ident.Instance]observedReport),
		ownerships:    make(map[ident.Replica]ownership),
		attestations:  make(map[ident.Instance]*attestation),
		highestEpochs: make(map[ident.Replica]unit.Epoch),
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
		t.highestEpochs[r.ID] = max(t.highestEpochs[r.ID], r.Epoch)
	}
	t.prune()
	return true, nil
}

// prune drops what belongs to no assignment any more. Epochs are kept while an
// attestation names the replica.
func (t *Tracker) prune() {
	assignedInstances := make(map[ident.Instance]bool)
	namedReplicas := make(map[ident.Replica]bool)
	for _, a := range t.assignments {
		for _, r := range a.Replicas {
			namedReplicas[r.ID] = true
			for _, m := range r.Members {
				assignedInstances[m.Instance] = true
			}
		}
	}
	for _, o := range t.attestations {
		for id := range o.states {
			namedReplicas[id] = true
		}
	}
	for i := range t.reports {
		if !assignedInstances[i] {
			delete(t.reports, i)
		}
	}
	for id := range t.highestEpochs {
		if !namedReplicas[id] {
			delete(t.highestEpochs, id)
		}
	}
}

// ObserveReport takes a report that was requested at the given time of the local
// clock. A report that is not newer than the known one is dropped.
func (t *Tracker) ObserveReport(r *report.Report, requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.reports[r.Instance]
	if ok {
		if !r.Newer(known.report) {
			return
		}
		// The newer report was made after the older one, which was made
		// after its own request.
		if requestedAt.Before(known.requestedAt) {
			requestedAt = known.requestedAt
		}
	}
	t.reports[r.Instance] = observedReport{report: r, requestedAt: requestedAt}
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
	s := newState(domain, r)
	for rank, m := range r.Members {
		o, ok := t.reports[m.Instance]
		if reason := t.memberProblem(r, unit.Rank(rank), o, ok, now); reason != "" {
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

// newState returns the state of a replica of which nothing was reported.
func newState(domain ident.FabricDomain, r *report.Replica) State {
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

// memberProblem returns why a member does not support the replica, or nothing.
func (t *Tracker) memberProblem(r *report.Replica, rank unit.Rank, o observedReport, known bool, now time.Time) string {
	if !known {
		return "no report"
	}
	p := o.report
	switch {
	case now.Sub(o.requestedAt) >= t.options.StaleAfter:
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
