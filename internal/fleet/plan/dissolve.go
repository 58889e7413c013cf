package plan

import (
	"cmp"
	"slices"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
)

// dissolveCause is a reason to drain a replica and then to rebuild or dissolve
// it.
type dissolveCause struct {
	reason string
	// rebuild keeps the usable members and gives the replica the deployment's
	// current version. Otherwise the replica is dissolved.
	rebuild bool
	// forced causes don't wait for the hold time.
	forced bool
}

// dissolveReplicas applies the causes to rebuild or dissolve replicas. A
// replica that serves or has requests first drains, and is rebuilt or dissolved
// once it is idle. A replica without a cause stops draining.
func (p *planner) dissolveReplicas() {
	causes := p.dissolveCauses()
	for _, r := range slices.Clone(p.nextReplicas) {
		c, ok := causes[r.ID]
		if !ok {
			p.setDraining(r.ID, false)
			continue
		}
		if !c.rebuild {
			p.dissolving[r.ID] = true
		}
		if r.Draining && p.Idle[r.ID] || !p.Serving[r.ID] && !p.hasRequests(r) {
			p.rebuildOrDissolve(r, c)
			continue
		}
		if r.Draining {
			continue
		}
		if !c.forced && !p.holdTimePassed() {
			delete(p.dissolving, r.ID)
			continue
		}
		p.setDraining(r.ID, true)
		p.addReason(r.ID, "leaving: "+c.reason)
		p.voluntary = p.voluntary || !c.forced
	}
}

// hasRequests reports whether a member has requests of the replica. A replica
// that has stopped serving may still finish streams.
func (p *planner) hasRequests(r report.Replica) bool {
	for _, m := range r.Members {
		i := p.instances[m.Instance]
		if p.isReachable(m.Instance) && i.Report != nil && i.Report.Replica == r.ID && i.Report.Running+i.Report.Waiting > 0 {
			return true
		}
	}
	return false
}

// holdTimePassed reports whether the hold time has passed since the last
// voluntary change.
func (p *planner) holdTimePassed() bool {
	return p.LastVoluntaryChange.IsZero() || p.Now.Sub(p.LastVoluntaryChange) >= p.Options.HoldTime
}

func (p *planner) setDraining(id ident.Replica, draining bool) {
	for i := range p.nextReplicas {
		if p.nextReplicas[i].ID == id {
			p.nextReplicas[i].Draining = draining
		}
	}
}

// rebuildOrDissolve rebuilds or dissolves a replica that is idle or has
// stopped. It keeps the replica for a repair or an update if the cause allows
// that and the deployment still has the replica's size.
func (p *planner) rebuildOrDissolve(r report.Replica, c dissolveCause) {
	p.addReason(r.ID, "taken apart: "+c.reason)
	t := p.targets[r.Deployment]
	if !c.rebuild || t == nil || t.Deployment.Size != len(r.Members) {
		p.dissolveReplica(r.ID)
		return
	}
	p.stoppedForRepair[r.ID] = true
	if !isOutdated(&r, t.Deployment) {
		return
	}
	for i := range p.nextReplicas {
		if p.nextReplicas[i].ID == r.ID {
			setModel(&p.nextReplicas[i], t.Deployment)
			p.nextReplicas[i].Draining = false
			p.needsNewEpoch[r.ID] = true
		}
	}
}

func setModel(r *report.Replica, d *record.Deployment) {
	r.Model, r.Version, r.Adapters = d.Model, d.Version, d.Adapters
}

// isOutdated reports whether the replica differs from its deployment in its
// model, the model's version, the adapters or the size.
func isOutdated(r *report.Replica, d *record.Deployment) bool {
	return r.Model != d.Model || r.Version != d.Version || !slices.Equal(r.Adapters, d.Adapters) || len(r.Members) != d.Size
}

// dissolveCauses returns the causes by replica.
func (p *planner) dissolveCauses() map[ident.Replica]dissolveCause {
	causes := make(map[ident.Replica]dissolveCause)
	if p.DataCentreDrained {
		// Replicas that already drain continue, so that no drain is undone.
		for _, r := range p.nextReplicas {
			if r.Draining {
				causes[r.ID] = dissolveCause{reason: "already leaving", rebuild: true, forced: true}
			}
		}
		return causes
	}
	p.addExcessCauses(causes)
	p.addOutOfServiceCauses(causes)
	p.addOutdatedCauses(causes)
	p.addPreemptionCauses(causes)
	return causes
}

// addExcessCauses adds causes to dissolve the replicas above the target.
// Draining replicas are chosen first, so that the choice doesn't change between
// rounds, then replicas that don't serve.
func (p *planner) addExcessCauses(causes map[ident.Replica]dissolveCause) {
	byDeployment := make(map[ident.Deployment][]report.Replica)
	for _, r := range p.nextReplicas {
		byDeployment[r.Deployment] = append(byDeployment[r.Deployment], r)
	}
	for d, replicas := range byDeployment {
		excess := len(replicas) + p.ReplicasElsewhere[d] - p.targetReplicas(d)
		excess = min(max(excess, 0), len(replicas))
		slices.SortFunc(replicas, func(a, b report.Replica) int {
			return cmp.Or(compareBool(b.Draining, a.Draining), compareBool(p.Serving[a.ID], p.Serving[b.ID]), cmp.Compare(b.ID, a.ID))
		})
		for _, r := range replicas[:excess] {
			causes[r.ID] = dissolveCause{reason: "more replicas than wanted"}
		}
	}
}

// targetReplicas returns the deployment's target in the data centre, 0 if it has
// none.
func (p *planner) targetReplicas(d ident.Deployment) int {
	if t := p.targets[d]; t != nil {
		return t.Replicas
	}
	return 0
}

// addOutOfServiceCauses adds causes to rebuild the replicas with a member that
// is out of service. A replica for which there are too few spare instances is
// dissolved.
func (p *planner) addOutOfServiceCauses(causes map[ident.Replica]dissolveCause) {
	sparesLeft := len(p.spares)
	for _, r := range p.nextReplicas {
		membersToReplace := 0
		for _, m := range r.Members {
			if i := p.instances[m.Instance]; i != nil && i.OutOfService {
				membersToReplace = len(p.ranksToReplace(r))
			}
		}
		if _, found := causes[r.ID]; found || membersToReplace == 0 {
			continue
		}
		causes[r.ID] = dissolveCause{reason: "member out of service", rebuild: membersToReplace <= sparesLeft, forced: true}
		if membersToReplace <= sparesLeft {
			sparesLeft -= membersToReplace
		}
	}
}

// addOutdatedCauses adds causes to rebuild the outdated replicas. A serving
// replica is rebuilt only while the deployment's other replicas serve, so that
// one replica at a time is unavailable. Replicas beyond repair don't delay the
// update.
func (p *planner) addOutdatedCauses(causes map[ident.Replica]dissolveCause) {
	unavailable := make(map[ident.Deployment]ident.Replica)
	for _, r := range p.nextReplicas {
		if r.Draining || !p.Serving[r.ID] && !p.isBeyondRepair(r) {
			unavailable[r.Deployment] = r.ID
		}
	}
	for i := range p.nextReplicas {
		r := &p.nextReplicas[i]
		t := p.targets[r.Deployment]
		if _, found := causes[r.ID]; found || t == nil || !isOutdated(r, t.Deployment) {
			continue
		}
		mayRebuild := unavailable[r.Deployment] == "" && !p.UnavailableElsewhere[r.Deployment]
		if r.Draining || !p.Serving[r.ID] || mayRebuild && p.holdTimePassed() {
			causes[r.ID] = dissolveCause{reason: "outdated version", rebuild: true}
			unavailable[r.Deployment] = r.ID
		}
	}
}

// addPreemptionCauses adds causes to dissolve replicas of lower priority, if a
// replica of a higher priority has been missing for the hold time.
func (p *planner) addPreemptionCauses(causes map[ident.Replica]dissolveCause) {
	if !p.AllowPreemption {
		return
	}
	for _, t := range p.sortedTargets() {
		d := t.Deployment
		missingSince, missing := p.MissingSince[d.Name]
		if p.missingReplicas(d.Name)+len(p.replacementCounts(d.Name)) <= 0 || !missing || p.Now.Sub(missingSince) < p.Options.HoldTime {
			continue
		}
		if victims := p.preemptionVictims(d, causes); len(victims) > 0 {
			for _, v := range victims {
				causes[v.ID] = dissolveCause{reason: "yields to " + string(d.Name)}
			}
			return
		}
	}
}

// isBeyondRepair reports whether a replica has stopped and there are too few
// spare instances to repair it.
func (p *planner) isBeyondRepair(r report.Replica) bool {
	return !p.Serving[r.ID] && len(p.ranksToReplace(r)) > len(p.spares)
}

// replacementCounts returns, for each of the deployment's replicas beyond
// repair, the number of members to replace.
func (p *planner) replacementCounts(d ident.Deployment) []int {
	var counts []int
	for _, r := range p.nextReplicas {
		if r.Deployment == d && p.isBeyondRepair(r) {
			counts = append(counts, len(p.ranksToReplace(r)))
		}
	}
	return counts
}

// missingReplicas returns how many replicas of the deployment the data centre
// lacks.
func (p *planner) missingReplicas(d ident.Deployment) int {
	return p.targetReplicas(d) - p.ReplicasElsewhere[d] - p.remainingReplicas()[d]
}

// preemptionVictims returns the replicas to preempt for a replica of the
// deployment: as few as possible, of the lowest priorities, whose usable
// members, together with the spare instances, suffice to form or repair it. It
// returns none if that is impossible or needs no preemption.
func (p *planner) preemptionVictims(d *record.Deployment, causes map[ident.Replica]dissolveCause) []report.Replica {
	needed := d.Size
	for _, n := range p.replacementCounts(d.Name) {
		needed = min(needed, n)
	}
	needed -= len(p.spares)
	var candidates []report.Replica
	for _, r := range p.nextReplicas {
		if c, found := causes[r.ID]; found {
			// The members of a dissolved replica become spare anyway.
			if !c.rebuild {
				needed -= p.countUsableMembers(r)
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
		if needed <= 0 {
			break
		}
		if n := p.countUsableMembers(r); n > 0 {
			chosen, needed = append(chosen, r), needed-n
		}
	}
	if needed > 0 {
		return nil
	}
	// A later, larger victim may make earlier ones unnecessary.
	return slices.DeleteFunc(chosen, func(r report.Replica) bool {
		n := p.countUsableMembers(r)
		if needed+n > 0 {
			return false
		}
		needed += n
		return true
	})
}

func (p *planner) countUsableMembers(r report.Replica) int {
	n := 0
	for _, m := range r.Members {
		if p.isUsable(m.Instance) {
			n++
		}
	}
	return n
}

// sortedTargets returns the deployments in order of priority, then of the
// number of missing replicas, then of their names.
func (p *planner) sortedTargets() []DeploymentTarget {
	existing := p.remainingReplicas()
	missing := func(t DeploymentTarget) int {
		return t.Replicas - p.ReplicasElsewhere[t.Deployment.Name] - existing[t.Deployment.Name]
	}
	targets := slices.Clone(p.Targets)
	slices.SortFunc(targets, func(a, b DeploymentTarget) int {
		return cmp.Or(
			cmp.Compare(b.Deployment.Priority, a.Deployment.Priority),
			cmp.Compare(missing(b), missing(a)), cmp.Compare(a.Deployment.Name, b.Deployment.Name))
	})
	return targets
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
