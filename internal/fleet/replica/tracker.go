// Package replica decides which replicas of a data centre serve. The daemon
// that owns a replica evaluates the reports of its members and attests the
// result to the other daemons, which route requests to the serving replicas.
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

// State is the attested state of a replica.
type State = report.ReplicaState

// Options configure a Tracker.
type Options struct {
	Clock      clock.Clock
	Self       ident.Instance
	DataCentre ident.DataCentre
	// Incarnation is the incarnation of this daemon: its start time in milliseconds.
	Incarnation unit.Incarnation
	// StaleAfter is the age from which a report no longer counts.
	StaleAfter time.Duration
	// AttestStaleAfter is the age from which an attestation no longer counts.
	AttestStaleAfter time.Duration
}

// Tracker applies the serving rule: a replica serves while every member reports
// its rank in the replica, the replica's epoch and model, and that it is ready.
// It is safe for concurrent use.
//
// A replica that counts as serving was attested less than AttestStaleAfter ago,
// from reports less than StaleAfter old at that time. So a replica that lost a
// member counts as serving for at most AttestStaleAfter plus StaleAfter.
type Tracker struct {
	options Options
	start   time.Time

	mu          sync.Mutex
	assignments map[ident.FabricDomain]report.Assignment
	reports     map[ident.Instance]observedReport
	ownerships  map[ident.Replica]ownership
	// attestations has the newest attestation of each owner.
	attestations map[ident.Instance]*attestation
	// highestEpochs has the highest known epoch of each replica, so that a
	// replica never serves at an older epoch again.
	highestEpochs map[ident.Replica]unit.Epoch
}

// observedReport is the newest report of an instance. The instance made it at
// requestedAt or later.
type observedReport struct {
	report      *report.Report
	requestedAt time.Time
}

// ownership says since when this daemon has attested a replica, and when it was
// last its owner.
type ownership struct {
	since, lastOwned time.Time
}

// NewTracker returns a tracker without assignments, reports or attestations.
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

// UpdateAssignment stores a domain's assignment if it is newer than the known
// one, and reports whether it did. Assignments of other data centres are
// ignored.
//
// The error says what is wrong with the assignment.
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

// prune removes the reports of unassigned instances, and the epochs of replicas
// that no assignment and no attestation names.
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
	for _, a := range t.attestations {
		for id := range a.states {
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

// ObserveReport stores a report that was requested at the given time of the
// local clock. It ignores a report that is not newer than the known one.
func (t *Tracker) ObserveReport(r *report.Report, requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.reports[r.Instance]
	if ok {
		if !r.Newer(known.report) {
			return
		}
		// The newer report was made after the known one, and so after the
		// request of the known one.
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

// evaluateReplica applies the serving rule to the reports of a replica's
// members.
func (t *Tracker) evaluateReplica(domain ident.FabricDomain, r *report.Replica, now time.Time) State {
	s := newState(domain, r)
	for rank, m := range r.Members {
		observed, ok := t.reports[m.Instance]
		if reason := t.memberProblem(r, unit.Rank(rank), observed, ok, now); reason != "" {
			s.UnreadyMembers = append(s.UnreadyMembers, report.UnreadyMember{Instance: m.Instance, Reason: reason})
			continue
		}
		s.Cold = s.Cold || observed.report.Cold
		s.Running = max(s.Running, observed.report.Running)
		s.Waiting = max(s.Waiting, observed.report.Waiting)
	}
	s.Serving = len(s.UnreadyMembers) == 0
	return s
}

// newState returns the state of a replica before any report of its members is
// applied.
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

// memberProblem returns the reason for which the replica can't serve with the
// member, empty if the member's report meets the serving rule.
func (t *Tracker) memberProblem(r *report.Replica, rank unit.Rank, observed observedReport, known bool, now time.Time) string {
	if !known {
		return "no report"
	}
	reported := observed.report
	switch {
	case now.Sub(observed.requestedAt) >= t.options.StaleAfter:
		return "stale report"
	case reported.Replica != r.ID:
		return "reports another replica"
	case reported.Epoch != r.Epoch:
		return "reports another epoch"
	case reported.Rank != rank:
		return "reports another rank"
	case reported.Model != r.Model || reported.Version != r.Version || !sameAdapters(reported.Adapters, r.Adapters):
		return "reports another model"
	case reported.Role != report.Complete:
		return "reports another role"
	case !reported.Ready:
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
