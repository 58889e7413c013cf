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
	// Missing is the time since the last report was asked for that was
	// answered; zero if the last probe was answered.
	Missing time.Duration
	// Out says that the instance is out of service or about to be removed.
	Out bool
	// Report is the last report, nil if there was none.
	Report *report.Report
}

// Want is a deployment with the replicas wanted in the data centre.
type Want struct {
	Deployment *record.Deployment
	Replicas   int
}

// Rules are the planner's settings.
type Rules struct {
	// Grace is the time that a member must be missing to be replaced.
	Grace time.Duration
	// Hold is the time between two voluntary changes of a domain.
	Hold time.Duration
	// LoadsAtOnce bounds the members that load weights at once in a domain.
	LoadsAtOnce int
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
	Idle  map[ident.Replica]bool
	Wants []Want
	// Elsewhere counts the replicas that other domains of the data centre have.
	Elsewhere map[ident.Deployment]int
	// Unsettled has the deployments with a replica in another domain that is
	// leaving or does not serve.
	Unsettled map[ident.Deployment]bool
	// MayYield allows that replicas of lower priority yield. It is set when
	// no domain of the data centre has spare instances for what is missing.
	MayYield bool
	// Short has the time since which a deployment has had too few replicas.
	Short map[ident.Deployment]time.Time
	// Changed is the time of the last voluntary change of the domain.
	Changed time.Time
	// Out says that the data centre is out of service: its replicas are kept
	// as they are, ready for the return.
	Out   bool
	Rules Rules
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
	// Have counts the replicas of the domain that are there to stay.
	Have map[ident.Deployment]int
}

// planner is the state of one run of Plan.
type planner struct {
	*Input
	instances map[ident.Instance]*Instance
	wants     map[ident.Deployment]*Want
	next      []report.Replica
	// fresh has the replicas that get a new epoch.
	fresh map[ident.Replica]bool
	// released has the replicas that were made idle to replace members.
	released map[ident.Replica]bool
	// waiting has the broken replicas that can't be repaired now.
	waiting map[ident.Replica]bool
	// going has the replicas that are leaving for good.
	going     map[ident.Replica]bool
	spares    []*Instance
	voluntary bool
	reasons   []string
}

// Plan returns the next assignment of a domain and the orders for the current
// one. It is deterministic, and once its assignment is written and obeyed it
// returns no change.
func Plan(in Input) Output {
	p := newPlanner(&in)
	p.leave()
	p.repair()
	p.form()
	p.raise()
	out := Output{Next: p.assignment(), Voluntary: p.voluntary, Reasons: p.reasons, Have: p.have()}
	out.Orders = p.orders(out.Next)
	return out
}

// Orders returns the orders for the current assignment alone.
func Orders(in Input) []Order {
	return newPlanner(&in).orders(nil)
}

func newPlanner(in *Input) *planner {
	p := &planner{
		Input:     in,
		instances: make(map[ident.Instance]*Instance, len(in.Instances)),
		wants:     make(map[ident.Deployment]*Want, len(in.Wants)),
		fresh:     make(map[ident.Replica]bool),
		released:  make(map[ident.Replica]bool),
		waiting:   make(map[ident.Replica]bool),
		going:     make(map[ident.Replica]bool),
	}
	for i := range in.Instances {
		p.instances[in.Instances[i].ID] = &in.Instances[i]
	}
	for i := range in.Wants {
		p.wants[in.Wants[i].Deployment.Name] = &in.Wants[i]
	}
	for _, r := range in.Current.Replicas {
		r.Members = slices.Clone(r.Members)
		p.next = append(p.next, r)
	}
	p.findSpares()
	return p
}

func (p *planner) because(r ident.Replica, reason string) {
	p.reasons = append(p.reasons, string(r)+": "+reason)
}

// live reports whether an instance can be a member of a replica.
func (p *planner) live(id ident.Instance) bool {
	i := p.instances[id]
	return i != nil && i.Missing < p.Rules.Grace
}

// usable reports whether an instance can be a new member of a replica.
func (p *planner) usable(id ident.Instance) bool {
	i := p.instances[id]
	return p.live(id) && i.Report != nil && !i.Out
}

// findSpares lists the usable instances in no replica. Those with the most
// accelerators come first, so that the ones left over strand the fewest.
func (p *planner) findSpares() {
	placed := make(map[ident.Instance]bool)
	for _, r := range p.next {
		for _, m := range r.Members {
			placed[m.Instance] = true
		}
	}
	p.spares = nil
	for i := range p.Instances {
		if s := &p.Instances[i]; !placed[s.ID] && p.usable(s.ID) {
			p.spares = append(p.spares, s)
		}
	}
	slices.SortFunc(p.spares, func(a, b *Instance) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(a.ID, b.ID))
	})
}

func (p *planner) take(n int) []report.Member {
	members := make([]report.Member, 0, n)
	for _, s := range p.spares[:n] {
		members = append(members, report.Member{Instance: s.ID, Address: s.Address})
	}
	p.spares = p.spares[n:]
	return members
}

// remove takes a replica apart; its usable members become spare.
func (p *planner) remove(id ident.Replica) {
	p.next = slices.DeleteFunc(p.next, func(r report.Replica) bool { return r.ID == id })
	delete(p.waiting, id)
	delete(p.going, id)
	p.findSpares()
}

// priority returns the priority of the replica's deployment. One that is not
// wanted any more yields to every other.
func (p *planner) priority(d ident.Deployment) unit.Priority {
	if w := p.wants[d]; w != nil {
		return w.Deployment.Priority
	}
	return -1 << 31
}

// have counts the replicas that are there to stay.
func (p *planner) have() map[ident.Deployment]int {
	count := make(map[ident.Deployment]int)
	for _, r := range p.next {
		if !p.waiting[r.ID] && !p.going[r.ID] {
			count[r.Deployment]++
		}
	}
	return count
}

// raise gives a replica a new epoch if a member has obeyed a number as high as
// the replica's for something else, since it may refuse the replica's own.
func (p *planner) raise() {
	for _, r := range p.next {
		if p.fresh[r.ID] || p.Serving[r.ID] {
			continue
		}
		for _, m := range r.Members {
			i := p.instances[m.Instance]
			if i == nil || i.Report == nil {
				continue
			}
			e := i.Report.Epoch
			if e > r.Epoch || e == r.Epoch && i.Report.Replica != r.ID && i.Report.Replica != "" {
				p.fresh[r.ID] = true
				p.because(r.ID, "raised above epoch "+strconv.FormatUint(uint64(e), 10)+" of "+string(m.Instance))
				break
			}
		}
	}
}

// highest returns the highest epoch that an instance of the domain reports, if
// it has to be exceeded.
func (p *planner) highest() unit.Epoch {
	var highest unit.Epoch
	for _, i := range p.Instances {
		if i.Report != nil && (i.Report.Replica != "" || len(p.fresh) > 0) {
			highest = max(highest, i.Report.Epoch)
		}
	}
	return highest
}

// assignment returns the next assignment, or nil if it is the current one.
func (p *planner) assignment() *report.Assignment {
	highest := p.highest()
	slices.SortFunc(p.next, func(a, b report.Replica) int { return cmp.Compare(a.ID, b.ID) })
	if len(p.fresh) == 0 && highest <= p.Current.Epoch && sameReplicas(p.next, p.Current.Replicas) {
		return nil
	}
	next := &report.Assignment{
		Domain: p.Domain, DataCentre: p.DataCentre, Epoch: max(p.Current.Epoch, highest) + 1, Replicas: p.next,
	}
	for i := range next.Replicas {
		if r := &next.Replicas[i]; p.fresh[r.ID] {
			r.Epoch, r.Draining = next.Epoch, false
		}
	}
	return next
}

func sameReplicas(a, b []report.Replica) bool {
	return slices.EqualFunc(a, b, func(r, s report.Replica) bool { return reflect.DeepEqual(r, s) })
}
