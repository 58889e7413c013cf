// Package plan decides which instances of a fabric domain form which replicas,
// and which orders bring the instances there.
package plan

import (
	"cmp"
	"reflect"
	"slices"
	"strconv"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
)

// Instance is an engine instance of the domain.
type Instance struct {
	ID           ident.Instance
	Address      string
	Accelerators unit.Accelerators
	// UnreachableFor is the time since the last report was asked for that was
	// answered; zero if the last probe was answered.
	UnreachableFor time.Duration
	// OutOfService says that the instance is out of service or about to be removed.
	OutOfService bool
	// Report is the last report, nil if there was none.
	Report *report.Report
}

// DeploymentTarget is a deployment with the replicas wanted in the data centre.
type DeploymentTarget struct {
	Deployment *record.Deployment
	Replicas   int
}

// Options are the planner's settings.
type Options struct {
	// GracePeriod is the time that a member must be missing to be replaced.
	GracePeriod time.Duration
	// HoldTime is the time between two voluntary changes of a domain.
	HoldTime time.Duration
	// MaxConcurrentLoads bounds the members that load weights at once in a domain.
	MaxConcurrentLoads int
}

// Input is all that a plan depends on. Nothing in it is changed.
type Input struct {
	Now        time.Time
	Domain     ident.FabricDomain
	DataCentre ident.DataCentre
	// Current is the assignment in the platform; Epoch 0 stands for none.
	Current   report.Assignment
	Instances []Instance
	// Serving has the replicas that are attested to serve or were seen complete.
	Serving map[ident.Replica]bool
	// Idle has the leaving replicas with nothing in flight, and those whose
	// time limit for that has passed.
	Idle    map[ident.Replica]bool
	Targets []DeploymentTarget
	// ReplicasElsewhere counts the replicas that other domains of the data centre have.
	ReplicasElsewhere map[ident.Deployment]int
	// UnavailableElsewhere has the deployments with a replica in another domain that is
	// leaving or does not serve.
	UnavailableElsewhere map[ident.Deployment]bool
	// AllowPreemption allows that replicas of lower priority yield. It is set when
	// no domain of the data centre has spare instances for what is missing.
	AllowPreemption bool
	// ShortSince has the time since which a deployment has had too few replicas.
	ShortSince map[ident.Deployment]time.Time
	// LastVoluntaryChange is the time of the last voluntary change of the domain.
	LastVoluntaryChange time.Time
	// DataCentreOutOfService says that the data centre is out of service: its replicas are kept
	// as they are, ready for the return.
	DataCentreOutOfService bool
	Options                Options
}

// Output is a plan.
type Output struct {
	// Next is the assignment to write, nil if the current one stays.
	Next *report.Assignment
	// Voluntary says that Next begins to take a serving replica apart.
	Voluntary bool
	// Orders are to be given in this order. They follow from Current and
	// leave out replicas that Next changes.
	Orders  []Order
	Reasons []string
	// RemainingReplicas counts the replicas of the domain that are there to stay.
	RemainingReplicas map[ident.Deployment]int
}

// planner is the state of one run of Plan.
type planner struct {
	*Input
	instances    map[ident.Instance]*Instance
	targets      map[ident.Deployment]*DeploymentTarget
	nextReplicas []report.Replica
	// needsNewEpoch has the replicas that get a new epoch.
	needsNewEpoch map[ident.Replica]bool
	// stoppedForRepair has the replicas that were made idle to replace members.
	stoppedForRepair map[ident.Replica]bool
	// awaitingSpares has the broken replicas that can't be repaired now.
	awaitingSpares map[ident.Replica]bool
	// dissolving has the replicas that are leaving for good.
	dissolving map[ident.Replica]bool
	spares     []*Instance
	voluntary  bool
	reasons    []string
}

// ForDomain returns the next assignment of a domain and the orders for the current
// one. It is deterministic, and once its assignment is written and obeyed it
// returns no change.
func ForDomain(in Input) Output {
	p := newPlanner(&in)
	p.dissolveReplicas()
	p.repairReplicas()
	p.formReplicas()
	p.raiseEpochs()
	out := Output{Next: p.nextAssignment(), Voluntary: p.voluntary, Reasons: p.reasons, RemainingReplicas: p.remainingReplicas()}
	out.Orders = p.pendingOrders(out.Next)
	return out
}

// PendingOrders returns the orders for the current assignment alone.
func PendingOrders(in Input) []Order {
	return newPlanner(&in).pendingOrders(nil)
}

func newPlanner(in *Input) *planner {
	p := &planner{
		Input:            in,
		instances:        make(map[ident.Instance]*Instance, len(in.Instances)),
		targets:          make(map[ident.Deployment]*DeploymentTarget, len(in.Targets)),
		needsNewEpoch:    make(map[ident.Replica]bool),
		stoppedForRepair: make(map[ident.Replica]bool),
		awaitingSpares:   make(map[ident.Replica]bool),
		dissolving:       make(map[ident.Replica]bool),
	}
	for i := range in.Instances {
		p.instances[in.Instances[i].ID] = &in.Instances[i]
	}
	for i := range in.Targets {
		p.targets[in.Targets[i].Deployment.Name] = &in.Targets[i]
	}
	for _, r := range in.Current.Replicas {
		r.Members = slices.Clone(r.Members)
		p.nextReplicas = append(p.nextReplicas, r)
	}
	p.findSpares()
	return p
}

func (p *planner) addReason(r ident.Replica, reason string) {
	p.reasons = append(p.reasons, string(r)+": "+reason)
}

// reachable reports whether an instance can be a member of a replica.
func (p *planner) reachable(id ident.Instance) bool {
	i := p.instances[id]
	return i != nil && i.UnreachableFor < p.Options.GracePeriod
}

// usable reports whether an instance can be a new member of a replica.
func (p *planner) usable(id ident.Instance) bool {
	i := p.instances[id]
	return p.reachable(id) && i.Report != nil && !i.OutOfService
}

// findSpares lists the usable instances in no replica. Those with the most
// accelerators come first, so that the ones left over strand the fewest.
func (p *planner) findSpares() {
	assigned := make(map[ident.Instance]bool)
	for _, r := range p.nextReplicas {
		for _, m := range r.Members {
			assigned[m.Instance] = true
		}
	}
	p.spares = nil
	for i := range p.Instances {
		if s := &p.Instances[i]; !assigned[s.ID] && p.usable(s.ID) {
			p.spares = append(p.spares, s)
		}
	}
	slices.SortFunc(p.spares, func(a, b *Instance) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(a.ID, b.ID))
	})
}

func (p *planner) takeSpares(n int) []report.Member {
	members := make([]report.Member, 0, n)
	for _, s := range p.spares[:n] {
		members = append(members, report.Member{Instance: s.ID, Address: s.Address})
	}
	p.spares = p.spares[n:]
	return members
}

// dissolveReplica takes a replica apart; its usable members become spare.
func (p *planner) dissolveReplica(id ident.Replica) {
	p.nextReplicas = slices.DeleteFunc(p.nextReplicas, func(r report.Replica) bool { return r.ID == id })
	delete(p.awaitingSpares, id)
	delete(p.dissolving, id)
	p.findSpares()
}

// priority returns the priority of the replica's deployment. One that is not
// wanted any more yields to every other.
func (p *planner) priority(d ident.Deployment) unit.Priority {
	if w := p.targets[d]; w != nil {
		return w.Deployment.Priority
	}
	return -1 << 31
}

// remainingReplicas counts the replicas that are there to stay.
func (p *planner) remainingReplicas() map[ident.Deployment]int {
	counts := make(map[ident.Deployment]int)
	for _, r := range p.nextReplicas {
		if !p.awaitingSpares[r.ID] && !p.dissolving[r.ID] {
			counts[r.Deployment]++
		}
	}
	return counts
}

// raiseEpochs gives a replica a new epoch if a member has obeyed a number as high as
// the replica's for something else, since it may refuse the replica's own.
func (p *planner) raiseEpochs() {
	for _, r := range p.nextReplicas {
		if p.needsNewEpoch[r.ID] || p.Serving[r.ID] {
			continue
		}
		for _, m := range r.Members {
			i := p.instances[m.Instance]
			if i == nil || i.Report == nil {
				continue
			}
			e := i.Report.Epoch
			if e > r.Epoch || e == r.Epoch && i.Report.Replica != r.ID && i.Report.Replica != "" {
				p.needsNewEpoch[r.ID] = true
				p.addReason(r.ID, "raised above epoch "+strconv.FormatUint(uint64(e), 10)+" of "+string(m.Instance))
				break
			}
		}
	}
}

// highestReportedEpoch returns the highest epoch that an instance of the domain reports, if
// it has to be exceeded.
func (p *planner) highestReportedEpoch() unit.Epoch {
	var highest unit.Epoch
	for _, i := range p.Instances {
		if i.Report != nil && (i.Report.Replica != "" || len(p.needsNewEpoch) > 0) {
			highest = max(highest, i.Report.Epoch)
		}
	}
	return highest
}

// nextAssignment returns the next assignment, or nil if it is the current one.
func (p *planner) nextAssignment() *report.Assignment {
	highest := p.highestReportedEpoch()
	slices.SortFunc(p.nextReplicas, func(a, b report.Replica) int { return cmp.Compare(a.ID, b.ID) })
	if len(p.needsNewEpoch) == 0 && highest <= p.Current.Epoch && sameReplicas(p.nextReplicas, p.Current.Replicas) {
		return nil
	}
	next := &report.Assignment{
		Domain: p.Domain, DataCentre: p.DataCentre, Epoch: max(p.Current.Epoch, highest) + 1, Replicas: p.nextReplicas,
	}
	for i := range next.Replicas {
		if r := &next.Replicas[i]; p.needsNewEpoch[r.ID] {
			r.Epoch, r.Draining = next.Epoch, false
		}
	}
	return next
}

func sameReplicas(a, b []report.Replica) bool {
	return slices.EqualFunc(a, b, func(r, s report.Replica) bool { return reflect.DeepEqual(r, s) })
}
