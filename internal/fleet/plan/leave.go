package plan

import (
	"cmp"
	"slices"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
)

// cause is a reason to take a serving replica apart.
type cause struct {
	reason string
	// reform keeps the members that can stay and gives the replica the
	// deployment's present version; otherwise the replica is removed.
	reform bool
	// forced causes are not held back by the hold time.
	forced bool
}

// leave finds the replicas that have to be taken apart although they may serve.
// Those that serve are marked as leaving first, and taken apart once idle. One
// whose cause has gone is unmarked.
func (p *planner) leave() {
	causes := p.causes()
	for _, r := range slices.Clone(p.next) {
		c, ok := causes[r.ID]
		if !ok {
			p.mark(r.ID, false)
			continue
		}
		if !c.reform {
			p.going[r.ID] = true
		}
		if r.Draining && p.Idle[r.ID] || !p.Serving[r.ID] && !p.busy(r) {
			p.takeApart(r, c)
			continue
		}
		if r.Draining {
			continue
		}
		if !c.forced && !p.rested() {
			delete(p.going, r.ID)
			continue
		}
		p.mark(r.ID, true)
		p.because(r.ID, "leaving: "+c.reason)
		p.voluntary = p.voluntary || !c.forced
	}
}

// busy reports whether a member has work of the replica. One that has stopped
// serving may still finish streams.
func (p *planner) busy(r report.Replica) bool {
	for _, m := range r.Members {
		i := p.instances[m.Instance]
		if p.live(m.Instance) && i.Report != nil && i.Report.Replica == r.ID && i.Report.Running+i.Report.Waiting > 0 {
			return true
		}
	}
	return false
}

// rested reports whether the hold time since the last voluntary change is over.
func (p *planner) rested() bool {
	return p.Changed.IsZero() || p.Now.Sub(p.Changed) >= p.Rules.Hold
}

func (p *planner) mark(id ident.Replica, leaving bool) {
	for i := range p.next {
		if p.next[i].ID == id {
			p.next[i].Draining = leaving
		}
	}
}

func (p *planner) takeApart(r report.Replica, c cause) {
	p.because(r.ID, "taken apart: "+c.reason)
	w := p.wants[r.Deployment]
	if !c.reform || w == nil || w.Deployment.Size != len(r.Members) {
		p.remove(r.ID)
		return
	}
	p.released[r.ID] = true
	if !outdated(&r, w.Deployment) {
		return
	}
	for i := range p.next {
		if p.next[i].ID == r.ID {
			setModel(&p.next[i], w.Deployment)
			p.next[i].Draining = false
			p.fresh[r.ID] = true
		}
	}
}

func setModel(r *report.Replica, d *record.Deployment) {
	r.Model, r.Version, r.Adapters = d.Model, d.Version, d.Adapters
}

// outdated reports whether the replica has another model or size than its
// deployment.
func outdated(r *report.Replica, d *record.Deployment) bool {
	return r.Model != d.Model || r.Version != d.Version || !slices.Equal(r.Adapters, d.Adapters) || len(r.Members) != d.Size
}

func (p *planner) causes() map[ident.Replica]cause {
	causes := make(map[ident.Replica]cause)
	if p.Out {
		// What has begun to leave goes on, so that a drain is not undone.
		for _, r := range p.next {
			if r.Draining {
				causes[r.ID] = cause{reason: "already leaving", reform: true, forced: true}
			}
		}
		return causes
	}
	p.addExcess(causes)
	p.addOut(causes)
	p.addOutdated(causes)
	p.addYielding(causes)
	return causes
}

// addExcess adds replicas above the wanted number. Leaving ones come first, so
// that the choice stays, then those that do not serve.
func (p *planner) addExcess(causes map[ident.Replica]cause) {
	byDeployment := make(map[ident.Deployment][]report.Replica)
	for _, r := range p.next {
		byDeployment[r.Deployment] = append(byDeployment[r.Deployment], r)
	}
	for d, replicas := range byDeployment {
		excess := len(replicas) + p.Elsewhere[d] - p.wanted(d)
		excess = min(max(excess, 0), len(replicas))
		slices.SortFunc(replicas, func(a, b report.Replica) int {
			return cmp.Or(compareBool(b.Draining, a.Draining), compareBool(p.Serving[a.ID], p.Serving[b.ID]), cmp.Compare(b.ID, a.ID))
		})
		for _, r := range replicas[:excess] {
			causes[r.ID] = cause{reason: "more replicas than wanted"}
		}
	}
}

func (p *planner) wanted(d ident.Deployment) int {
	if w := p.wants[d]; w != nil {
		return w.Replicas
	}
	return 0
}

// addOut adds replicas with a member that is out of service. If there are too
// few spare instances the replica is removed.
func (p *planner) addOut(causes map[ident.Replica]cause) {
	spare := len(p.spares)
	for _, r := range p.next {
		out := 0
		for _, m := range r.Members {
			if i := p.instances[m.Instance]; i != nil && i.Out {
				out = len(p.deadMembers(r))
			}
		}
		if _, has := causes[r.ID]; has || out == 0 {
			continue
		}
		causes[r.ID] = cause{reason: "member out of service", reform: out <= spare, forced: true}
		if out <= spare {
			spare -= out
		}
	}
}

// addOutdated adds the replicas with another version than their deployment. A
// serving one is replaced only while the deployment's other replicas serve, so
// that one at a time is away. Those that can't be repaired don't hold it back.
func (p *planner) addOutdated(causes map[ident.Replica]cause) {
	busy := make(map[ident.Deployment]ident.Replica)
	for _, r := range p.next {
		if r.Draining || !p.Serving[r.ID] && !p.stuck(r) {
			busy[r.Deployment] = r.ID
		}
	}
	for i := range p.next {
		r := &p.next[i]
		w := p.wants[r.Deployment]
		if _, has := causes[r.ID]; has || w == nil || !outdated(r, w.Deployment) {
			continue
		}
		free := busy[r.Deployment] == "" && !p.Unsettled[r.Deployment]
		if r.Draining || !p.Serving[r.ID] || free && p.rested() {
			causes[r.ID] = cause{reason: "outdated version", reform: true}
			busy[r.Deployment] = r.ID
		}
	}
}

// addYielding adds replicas that yield to a missing one of higher priority,
// which has been missing for the hold time.
func (p *planner) addYielding(causes map[ident.Replica]cause) {
	if !p.MayYield {
		return
	}
	for _, w := range p.sortedWants() {
		d := w.Deployment
		since, short := p.Short[d.Name]
		if p.missing(d.Name)+len(p.unrepairable(d.Name)) <= 0 || !short || p.Now.Sub(since) < p.Rules.Hold {
			continue
		}
		if victims := p.victims(d, causes); len(victims) > 0 {
			for _, v := range victims {
				causes[v.ID] = cause{reason: "yields to " + string(d.Name)}
			}
			return
		}
	}
}

// stuck reports whether a replica has stopped and can't be repaired for lack of
// spare instances.
func (p *planner) stuck(r report.Replica) bool {
	return !p.Serving[r.ID] && len(p.deadMembers(r)) > len(p.spares)
}

// unrepairable returns the numbers of dead members of the deployment's replicas
// that don't serve and have too few spare instances to be repaired.
func (p *planner) unrepairable(d ident.Deployment) []int {
	var numbers []int
	for _, r := range p.next {
		if r.Deployment == d && p.stuck(r) {
			numbers = append(numbers, len(p.deadMembers(r)))
		}
	}
	return numbers
}

// missing returns how many replicas the data centre lacks.
func (p *planner) missing(d ident.Deployment) int {
	return p.wanted(d) - p.Elsewhere[d] - p.have()[d]
}

// victims returns the fewest replicas of the lowest priorities whose members,
// with the spare instances, are enough for a replica; none if that is
// impossible or needs no yielding.
func (p *planner) victims(d *record.Deployment, causes map[ident.Replica]cause) []report.Replica {
	need := d.Size
	for _, n := range p.unrepairable(d.Name) {
		need = min(need, n)
	}
	need -= len(p.spares)
	var candidates []report.Replica
	for _, r := range p.next {
		if c, has := causes[r.ID]; has {
			// The members of a removed one become spare anyway.
			if !c.reform {
				need -= p.usableMembers(r)
			}
		} else if p.priority(r.Deployment) < d.Priority {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b report.Replica) int {
		return cmp.Or(
			compareBool(b.Draining, a.Draining),
			cmp.Compare(p.priority(a.Deployment), p.priority(b.Deployment)),
			compareBool(p.Serving[a.ID], p.Serving[b.ID]),
			cmp.Compare(len(a.Members), len(b.Members)), cmp.Compare(a.ID, b.ID))
	})
	var chosen []report.Replica
	for _, r := range candidates {
		if need <= 0 {
			break
		}
		if n := p.usableMembers(r); n > 0 {
			chosen, need = append(chosen, r), need-n
		}
	}
	if need > 0 {
		return nil
	}
	// A later, larger victim may make earlier ones unnecessary.
	return slices.DeleteFunc(chosen, func(r report.Replica) bool {
		n := p.usableMembers(r)
		if need+n > 0 {
			return false
		}
		need += n
		return true
	})
}

func (p *planner) usableMembers(r report.Replica) int {
	n := 0
	for _, m := range r.Members {
		if p.usable(m.Instance) {
			n++
		}
	}
	return n
}

// sortedWants returns the deployments by priority, then by how many replicas
// they miss, then by name.
func (p *planner) sortedWants() []Want {
	have := p.have()
	missing := func(w Want) int {
		return w.Replicas - p.Elsewhere[w.Deployment.Name] - have[w.Deployment.Name]
	}
	wants := slices.Clone(p.Wants)
	slices.SortFunc(wants, func(a, b Want) int {
		return cmp.Or(
			cmp.Compare(b.Deployment.Priority, a.Deployment.Priority),
			cmp.Compare(missing(b), missing(a)), cmp.Compare(a.Deployment.Name, b.Deployment.Name))
	})
	return wants
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
