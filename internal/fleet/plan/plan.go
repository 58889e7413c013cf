// Package plan assigns engine instances to replicas. For each fabric domain of
// a data centre it computes the next assignment from the target replicas, the
// instances and their reports, writes the assignment to the platform and sends
// the instances their orders.
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
	// UnreachableFor is the time since the last answered probe was sent; zero if
	// the most recent probe was answered.
	UnreachableFor time.Duration
	// OutOfService says that the instance is drained or announced that it will
	// leave.
	OutOfService bool
	// Report is the last report, nil if there is none.
	Report *report.Report
}

// DeploymentTarget is a deployment with its number of replicas in the data
// centre.
type DeploymentTarget struct {
	Deployment *record.Deployment
	Replicas   int
}

// Options are the planner's settings.
type Options struct {
	// GracePeriod is the time for which a member must be unreachable before it
	// is replaced.
	GracePeriod time.Duration
	// HoldTime is the least time between two voluntary changes of a domain.
	HoldTime time.Duration
	// MaxConcurrentLoads bounds the members of a domain that load weights at
	// the same time.
	MaxConcurrentLoads int
}

// Input is all that the plan of a domain depends on. The planner doesn't change
// it.
type Input struct {
	Now        time.Time
	Domain     ident.FabricDomain
	DataCentre ident.DataCentre
	// Current is the assignment stored in the platform; Epoch 0 stands for
	// none.
	Current   report.Assignment
	Instances []Instance
	// Serving has the replicas that are attested to serve, and those whose
	// members all reported to be ready.
	Serving map[ident.Replica]bool
	// Idle has the draining replicas without requests in flight, and those
	// whose drain limit has passed.
	Idle    map[ident.Replica]bool
	Targets []DeploymentTarget
	// ReplicasElsewhere counts the replicas in the other domains of the data
	// centre.
	ReplicasElsewhere map[ident.Deployment]int
	// UnavailableElsewhere has the deployments with a replica in another domain
	// that is draining or doesn't serve.
	UnavailableElsewhere map[ident.Deployment]bool
	// AllowPreemption allows the planner to dissolve replicas of lower priority
	// for missing ones of higher priority. It is set when no domain of the data
	// centre has enough spare instances.
	AllowPreemption bool
	// MissingSince has the time since which a deployment has had fewer replicas
	// than its target.
	MissingSince map[ident.Deployment]time.Time
	// LastVoluntaryChange is the time of the domain's last voluntary change.
	LastVoluntaryChange time.Time
	// DataCentreDrained says that the data centre is drained. Its replicas
	// are kept as they are, so that they can serve when it is restored.
	DataCentreDrained bool
	Options           Options
}

// Output is the plan of a domain.
type Output struct {
	// Next is the assignment to write, nil if the current one stays.
	Next *report.Assignment
	// Voluntary says that Next begins to drain a replica that could go on
	// serving.
	Voluntary bool
	// Orders are to be sent in this sequence. They follow from Current and
	// leave out the replicas that Next changes.
	Orders []Order
	// Reasons are the texts of the timeline's event plan-written.
	Reasons []string
	// RemainingReplicas counts the replicas that are neither being dissolved
	// nor waiting for spare instances.
	RemainingReplicas map[ident.Deployment]int
}

// planner is the state of one run of ForDomain.
type planner struct {
	*Input
	instances map[ident.Instance]*Instance
	targets   map[ident.Deployment]*DeploymentTarget
	// nextReplicas are the replicas of the next assignment.
	nextReplicas []report.Replica
	// needsNewEpoch has the replicas that get the epoch of the next assignment.
	needsNewEpoch map[ident.Replica]bool
	// stoppedForRepair has the replicas to rebuild that are idle or have
	// stopped, so that their members can be replaced.
	stoppedForRepair map[ident.Replica]bool
	// awaitingSpares has the broken replicas for which there are too few spare
	// instances.
	awaitingSpares map[ident.Replica]bool
	// dissolving has the replicas that drain in order to be dissolved.
	dissolving map[ident.Replica]bool
	spares     []*Instance
	voluntary  bool
	reasons    []string
}

// ForDomain returns the next assignment of a domain and the orders for the
// current one. It is deterministic. Once its assignment is written and the
// orders are carried out, it returns no change.
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

// PendingOrders returns the orders for the current assignment without a plan of
// the next one.
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

// isReachable reports whether an instance can stay a member of a replica: it
// has been unreachable for less than the grace period.
func (p *planner) isReachable(id ident.Instance) bool {
	i := p.instances[id]
	return i != nil && i.UnreachableFor < p.Options.GracePeriod
}

// isUsable reports whether an instance can become a member of a replica.
func (p *planner) isUsable(id ident.Instance) bool {
	i := p.instances[id]
	return p.isReachable(id) && i.Report != nil && !i.OutOfService
}

// findSpares lists the usable instances that belong to no replica. Instances
// with the most accelerators come first, so that the instances left over have
// the fewest.
func (p *planner) findSpares() {
	assigned := make(map[ident.Instance]bool)
	for _, r := range p.nextReplicas {
		for _, m := range r.Members {
			assigned[m.Instance] = true
		}
	}
	p.spares = nil
	for i := range p.Instances {
		if s := &p.Instances[i]; !assigned[s.ID] && p.isUsable(s.ID) {
			p.spares = append(p.spares, s)
		}
	}
	slices.SortFunc(p.spares, func(a, b *Instance) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(a.ID, b.ID))
	})
}

// takeSpares removes the first n spare instances from the list and returns them
// as members.
func (p *planner) takeSpares(n int) []report.Member {
	members := make([]report.Member, 0, n)
	for _, s := range p.spares[:n] {
		members = append(members, report.Member{Instance: s.ID, Address: s.Address})
	}
	p.spares = p.spares[n:]
	return members
}

// dissolveReplica removes a replica from the next assignment. Its usable
// members become spare.
func (p *planner) dissolveReplica(id ident.Replica) {
	p.nextReplicas = slices.DeleteFunc(p.nextReplicas, func(r report.Replica) bool { return r.ID == id })
	delete(p.awaitingSpares, id)
	delete(p.dissolving, id)
	p.findSpares()
}

// priority returns the priority of a deployment. A deployment without a target
// has the lowest priority.
func (p *planner) priority(d ident.Deployment) unit.Priority {
	if t := p.targets[d]; t != nil {
		return t.Deployment.Priority
	}
	return -1 << 31
}

// remainingReplicas counts the replicas that are neither being dissolved nor
// waiting for spare instances.
func (p *planner) remainingReplicas() map[ident.Deployment]int {
	counts := make(map[ident.Deployment]int)
	for _, r := range p.nextReplicas {
		if !p.awaitingSpares[r.ID] && !p.dissolving[r.ID] {
			counts[r.Deployment]++
		}
	}
	return counts
}

// raiseEpochs gives a stopped replica a new epoch if a member has carried out
// an order of a higher epoch, or an order of the same epoch for another
// replica. Such a member may refuse orders of the replica's present epoch.
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

// highestReportedEpoch returns the epoch that the next assignment has to
// exceed: the highest that an instance in a replica reports, or that any
// instance reports if a replica gets a new epoch.
func (p *planner) highestReportedEpoch() unit.Epoch {
	var highest unit.Epoch
	for _, i := range p.Instances {
		if i.Report != nil && (i.Report.Replica != "" || len(p.needsNewEpoch) > 0) {
			highest = max(highest, i.Report.Epoch)
		}
	}
	return highest
}

// nextAssignment returns the next assignment, or nil if it equals the current
// one.
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
