package plan

import (
	"cmp"
	"slices"
	"strconv"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
)

// repairReplicas replaces the failed members of broken replicas with spare
// instances. Replicas of the highest priority and with the fewest failed
// members come first. If there are too few spare instances, the last replica in
// this order is dissolved, so that its members can repair the others.
func (p *planner) repairReplicas() {
	broken := p.brokenReplicas()
	for len(broken) > 0 {
		r := broken[0]
		if needed := len(p.ranksToReplace(r)); needed <= len(p.spares) {
			p.replaceMembers(r)
			broken = broken[1:]
			continue
		}
		leastUrgent := broken[len(broken)-1]
		p.awaitingSpares[r.ID] = true
		if len(broken) == 1 {
			broken = nil
			continue
		}
		delete(p.awaitingSpares, r.ID)
		p.addReason(leastUrgent.ID, "taken apart: its members repair "+string(r.ID))
		p.dissolveReplica(leastUrgent.ID)
		broken = broken[:len(broken)-1]
	}
}

// brokenReplicas returns the replicas that have members to replace and don't
// serve, or were stopped for the repair. The most urgent replica comes first.
func (p *planner) brokenReplicas() []report.Replica {
	var broken []report.Replica
	for _, r := range p.nextReplicas {
		repairable := !p.Serving[r.ID] && !p.dissolving[r.ID] || p.stoppedForRepair[r.ID]
		if repairable && len(p.ranksToReplace(r)) > 0 {
			broken = append(broken, r)
		}
	}
	slices.SortFunc(broken, func(a, b report.Replica) int {
		return cmp.Or(
			cmp.Compare(p.priority(b.Deployment), p.priority(a.Deployment)),
			cmp.Compare(len(p.ranksToReplace(a)), len(p.ranksToReplace(b))), cmp.Compare(a.ID, b.ID))
	})
	return broken
}

// ranksToReplace returns the ranks of the members that are unreachable or out
// of service. While the data centre is drained, only unreachable members are
// replaced.
func (p *planner) ranksToReplace(r report.Replica) []int {
	var ranks []int
	for rank, m := range r.Members {
		if i := p.instances[m.Instance]; !p.isReachable(m.Instance) || i.OutOfService && !p.DataCentreDrained {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// replaceMembers replaces members of the replica with spare instances. There
// must be enough of them.
func (p *planner) replaceMembers(r report.Replica) {
	for i := range p.nextReplicas {
		next := &p.nextReplicas[i]
		if next.ID != r.ID {
			continue
		}
		ranks := p.ranksToReplace(r)
		for k, m := range p.takeSpares(len(ranks)) {
			p.addReason(r.ID, string(next.Members[ranks[k]].Instance)+" replaced by "+string(m.Instance))
			next.Members[ranks[k]] = m
		}
		if t := p.targets[next.Deployment]; t != nil && t.Deployment.Size == len(next.Members) {
			setModel(next, t.Deployment)
		}
		next.Draining = false
		p.needsNewEpoch[next.ID] = true
	}
}

// formReplicas forms missing replicas from spare instances. It also dissolves a
// replica that can't be repaired if another replica can be formed with its
// members.
func (p *planner) formReplicas() {
	if p.DataCentreDrained {
		return
	}
	p.formFromSpares()
	for _, r := range slices.Clone(p.nextReplicas) {
		if !p.awaitingSpares[r.ID] || !p.unreachableForHoldTime(r) {
			continue
		}
		next, awaiting, spares := slices.Clone(p.nextReplicas), p.awaitingSpares[r.ID], p.spares
		p.dissolveReplica(r.ID)
		if p.formFromSpares() {
			p.addReason(r.ID, "taken apart: not enough spare instances to repair it")
			continue
		}
		p.nextReplicas, p.awaitingSpares[r.ID], p.spares = next, awaiting, spares
	}
}

// unreachableForHoldTime reports whether a member to replace has been
// unreachable for the hold time. A shorter absence is often a restart, after
// which the replica serves again and the other members need not load weights.
func (p *planner) unreachableForHoldTime(r report.Replica) bool {
	return slices.ContainsFunc(p.ranksToReplace(r), func(rank int) bool {
		i := p.instances[r.Members[rank].Instance]
		return i == nil || i.UnreachableFor >= p.Options.HoldTime
	})
}

// formFromSpares forms missing replicas in order of their priority. Within a
// priority it leaves as few spare instances as possible. It reports whether it
// formed any replica.
func (p *planner) formFromSpares() bool {
	targets := p.sortedTargets()
	formed := false
	for len(targets) > 0 {
		n := 1
		for n < len(targets) && targets[n].Deployment.Priority == targets[0].Deployment.Priority {
			n++
		}
		class := targets[:n]
		targets = targets[n:]
		for k, count := range p.replicasToForm(class) {
			for range count {
				p.addReplica(class[k].Deployment)
				formed = true
			}
		}
		if p.sparesReserved(class) {
			break
		}
	}
	return formed
}

// sparesReserved reports whether the spare instances are reserved for a missing
// replica of the priority class, since other replicas are being dissolved for
// it. No replica of a lower priority is then formed.
func (p *planner) sparesReserved(class []DeploymentTarget) bool {
	if len(p.dissolving) == 0 || !p.AllowPreemption {
		return false
	}
	return slices.ContainsFunc(class, func(t DeploymentTarget) bool {
		missingSince, missing := p.MissingSince[t.Deployment.Name]
		return p.missingReplicas(t.Deployment.Name) > 0 && missing && p.Now.Sub(missingSince) >= p.Options.HoldTime
	})
}

// replicasToForm returns how many replicas of each deployment to form, so that
// together they use as many spare instances as possible. Among equal solutions
// it prefers the first deployments.
func (p *planner) replicasToForm(class []DeploymentTarget) []int {
	sizes, limits := make([]int, len(class)), make([]int, len(class))
	existing := p.remainingReplicas()
	for k, t := range class {
		sizes[k] = max(t.Deployment.Size, 1)
		limits[k] = max(0, t.Replicas-p.ReplicasElsewhere[t.Deployment.Name]-existing[t.Deployment.Name])
	}
	return solveKnapsack(len(p.spares), sizes, limits)
}

// solveKnapsack solves the bounded knapsack problem. It returns a count for
// each size, up to its limit, so that the sum of the sizes is as high as the
// capacity allows.
func solveKnapsack(capacity int, sizes, limits []int) []int {
	// reach[k][n] says whether the items from k on can add up to exactly n.
	reach := make([][]bool, len(sizes)+1)
	reach[len(sizes)] = make([]bool, capacity+1)
	reach[len(sizes)][0] = true
	for k := len(sizes) - 1; k >= 0; k-- {
		reach[k] = reachableSums(reach[k+1], sizes[k], limits[k])
	}
	total := capacity
	for !reach[0][total] {
		total--
	}
	counts := make([]int, len(sizes))
	for k := range sizes {
		n := min(limits[k], total/sizes[k])
		for !reach[k+1][total-n*sizes[k]] {
			n--
		}
		counts[k] = n
		total -= n * sizes[k]
	}
	return counts
}

// reachableSums returns the sums that can be reached by adding up to limit
// items of one size to sumsOfOthers, the sums that the other items can reach.
func reachableSums(sumsOfOthers []bool, size, limit int) []bool {
	sums := make([]bool, len(sumsOfOthers))
	// used[n] is the lowest number of items that reach n.
	used := make([]int, len(sumsOfOthers))
	for n := range sumsOfOthers {
		switch {
		case sumsOfOthers[n]:
			sums[n] = true
		case n >= size && sums[n-size] && used[n-size] < limit:
			sums[n], used[n] = true, used[n-size]+1
		}
	}
	return sums
}

// addReplica forms a replica of the deployment from spare instances.
func (p *planner) addReplica(d *record.Deployment) {
	id := p.newID(d.Name)
	r := report.Replica{ID: id, Deployment: d.Name, Members: p.takeSpares(max(d.Size, 1))}
	setModel(&r, d)
	p.nextReplicas = append(p.nextReplicas, r)
	p.needsNewEpoch[id] = true
	p.addReason(id, "formed")
}

// newID returns an id with the lowest number that no replica of the deployment
// in the domain has. A number may be used again, since epochs only rise.
func (p *planner) newID(d ident.Deployment) ident.Replica {
	for n := 0; ; n++ {
		id := ident.Replica(string(p.Domain) + "/" + string(d) + "/" + strconv.Itoa(n))
		used := func(r report.Replica) bool { return r.ID == id }
		if !slices.ContainsFunc(p.nextReplicas, used) && !slices.ContainsFunc(p.Current.Replicas, used) {
			return id
		}
	}
}
