package plan

import (
	"cmp"
	"slices"
	"strconv"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
)

// repairReplicas replaces the dead members of broken replicas with spare instances.
// Those of the highest priority and with the fewest dead members come first. If
// the spares don't suffice, the last one gives its members to the others.
func (p *planner) repairReplicas() {
	broken := p.brokenReplicas()
	for len(broken) > 0 {
		r := broken[0]
		if needed := len(p.ranksToReplace(r)); needed <= len(p.spares) {
			p.replaceMembers(r)
			broken = broken[1:]
			continue
		}
		lowest := broken[len(broken)-1]
		p.awaitingSpares[r.ID] = true
		if len(broken) == 1 {
			broken = nil
			continue
		}
		delete(p.awaitingSpares, r.ID)
		p.addReason(lowest.ID, "taken apart: its members repair "+string(r.ID))
		p.dissolveReplica(lowest.ID)
		broken = broken[:len(broken)-1]
	}
}

// brokenReplicas returns the replicas with dead members that don't serve, or were
// released for it, the most urgent first.
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

// ranksToReplace returns the ranks of the members that have to be replaced.
func (p *planner) ranksToReplace(r report.Replica) []int {
	var ranks []int
	for rank, m := range r.Members {
		if i := p.instances[m.Instance]; !p.reachable(m.Instance) || i.OutOfService && !p.DataCentreOutOfService {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

func (p *planner) replaceMembers(r report.Replica) {
	for i := range p.nextReplicas {
		n := &p.nextReplicas[i]
		if n.ID != r.ID {
			continue
		}
		ranks := p.ranksToReplace(r)
		for k, m := range p.takeSpares(len(ranks)) {
			p.addReason(r.ID, string(n.Members[ranks[k]].Instance)+" replaced by "+string(m.Instance))
			n.Members[ranks[k]] = m
		}
		if w := p.targets[n.Deployment]; w != nil && w.Deployment.Size == len(n.Members) {
			setModel(n, w.Deployment)
		}
		n.Draining = false
		p.needsNewEpoch[n.ID] = true
	}
}

// formReplicas forms the missing replicas from spare instances, and from those of
// replicas that can't be repaired if that allows another one to be formed.
func (p *planner) formReplicas() {
	if p.DataCentreOutOfService {
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

// unreachableForHoldTime reports whether a member has been dead for the hold time. A shorter
// absence is often a restart, after which the replica serves again without
// loading the other members.
func (p *planner) unreachableForHoldTime(r report.Replica) bool {
	return slices.ContainsFunc(p.ranksToReplace(r), func(rank int) bool {
		i := p.instances[r.Members[rank].Instance]
		return i == nil || i.UnreachableFor >= p.Options.HoldTime
	})
}

// formFromSpares forms replicas by priority, and within a priority so that the
// fewest spare instances are left over, and reports whether there were any.
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

// sparesReserved reports whether spare instances are kept for a replica of the class
// for which others are leaving.
func (p *planner) sparesReserved(class []DeploymentTarget) bool {
	if len(p.dissolving) == 0 || !p.AllowPreemption {
		return false
	}
	return slices.ContainsFunc(class, func(w DeploymentTarget) bool {
		shortSince, short := p.ShortSince[w.Deployment.Name]
		return p.missingReplicas(w.Deployment.Name) > 0 && short && p.Now.Sub(shortSince) >= p.Options.HoldTime
	})
}

// replicasToForm returns how many replicas of each deployment to form, so that together
// they use as many of the spare instances as possible. Among equal answers it
// takes as many as possible of the first deployments.
func (p *planner) replicasToForm(class []DeploymentTarget) []int {
	sizes, limits := make([]int, len(class)), make([]int, len(class))
	existing := p.remainingReplicas()
	for k, w := range class {
		sizes[k] = max(w.Deployment.Size, 1)
		limits[k] = max(0, w.Replicas-p.ReplicasElsewhere[w.Deployment.Name]-existing[w.Deployment.Name])
	}
	return solveKnapsack(len(p.spares), sizes, limits)
}

// solveKnapsack solves the bounded knapsack: counts up to the limits whose sizes add up
// to the most that fits in the room.
func solveKnapsack(capacity int, sizes, limits []int) []int {
	// reach[k][n] says whether items k and later can add up to exactly n.
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

// reachableSums adds up to limit items of one size to the sums in rest.
func reachableSums(sumsOfRest []bool, size, limit int) []bool {
	sums := make([]bool, len(sumsOfRest))
	// used[n] is the fewest items with which n is reached.
	used := make([]int, len(sumsOfRest))
	for n := range sumsOfRest {
		switch {
		case sumsOfRest[n]:
			sums[n] = true
		case n >= size && sums[n-size] && used[n-size] < limit:
			sums[n], used[n] = true, used[n-size]+1
		}
	}
	return sums
}

func (p *planner) addReplica(d *record.Deployment) {
	id := p.newID(d.Name)
	r := report.Replica{ID: id, Deployment: d.Name, Members: p.takeSpares(max(d.Size, 1))}
	setModel(&r, d)
	p.nextReplicas = append(p.nextReplicas, r)
	p.needsNewEpoch[id] = true
	p.addReason(id, "formed")
}

// newID returns the lowest number that no replica of the deployment in the
// domain has. A number may be used again, since epochs only rise.
func (p *planner) newID(d ident.Deployment) ident.Replica {
	for n := 0; ; n++ {
		id := ident.Replica(string(p.Domain) + "/" + string(d) + "/" + strconv.Itoa(n))
		used := func(r report.Replica) bool { return r.ID == id }
		if !slices.ContainsFunc(p.nextReplicas, used) && !slices.ContainsFunc(p.Current.Replicas, used) {
			return id
		}
	}
}
