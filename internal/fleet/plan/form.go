package plan

import (
	"cmp"
	"slices"
	"strconv"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
)

// repair replaces the dead members of broken replicas with spare instances.
// Those of the highest priority and with the fewest dead members come first. If
// the spares don't suffice, the last one gives its members to the others.
func (p *planner) repair() {
	broken := p.broken()
	for len(broken) > 0 {
		r := broken[0]
		if need := len(p.deadMembers(r)); need <= len(p.spares) {
			p.replace(r)
			broken = broken[1:]
			continue
		}
		last := broken[len(broken)-1]
		p.waiting[r.ID] = true
		if len(broken) == 1 {
			broken = nil
			continue
		}
		delete(p.waiting, r.ID)
		p.because(last.ID, "taken apart: its members repair "+string(r.ID))
		p.remove(last.ID)
		broken = broken[:len(broken)-1]
	}
}

// broken returns the replicas with dead members that don't serve, or were
// released for it, the most urgent first.
func (p *planner) broken() []report.Replica {
	var broken []report.Replica
	for _, r := range p.next {
		stopped := !p.Serving[r.ID] && !p.going[r.ID] || p.released[r.ID]
		if stopped && len(p.deadMembers(r)) > 0 {
			broken = append(broken, r)
		}
	}
	slices.SortFunc(broken, func(a, b report.Replica) int {
		return cmp.Or(
			cmp.Compare(p.priority(b.Deployment), p.priority(a.Deployment)),
			cmp.Compare(len(p.deadMembers(a)), len(p.deadMembers(b))), cmp.Compare(a.ID, b.ID))
	})
	return broken
}

// deadMembers returns the ranks of the members that have to be replaced.
func (p *planner) deadMembers(r report.Replica) []int {
	var ranks []int
	for rank, m := range r.Members {
		if i := p.instances[m.Instance]; !p.live(m.Instance) || i.Out && !p.Out {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

func (p *planner) replace(r report.Replica) {
	for i := range p.next {
		n := &p.next[i]
		if n.ID != r.ID {
			continue
		}
		ranks := p.deadMembers(r)
		for k, m := range p.take(len(ranks)) {
			p.because(r.ID, string(n.Members[ranks[k]].Instance)+" replaced by "+string(m.Instance))
			n.Members[ranks[k]] = m
		}
		if w := p.wants[n.Deployment]; w != nil && w.Deployment.Size == len(n.Members) {
			setModel(n, w.Deployment)
		}
		n.Draining = false
		p.fresh[n.ID] = true
	}
}

// form forms the missing replicas from spare instances, and from those of
// replicas that can't be repaired if that allows another one to be formed.
func (p *planner) form() {
	if p.Out {
		return
	}
	p.formFromSpares()
	for _, r := range slices.Clone(p.next) {
		if !p.waiting[r.ID] || !p.longDead(r) {
			continue
		}
		next, waiting, spares := slices.Clone(p.next), p.waiting[r.ID], p.spares
		p.remove(r.ID)
		if p.formFromSpares() {
			p.because(r.ID, "taken apart: not enough spare instances to repair it")
			continue
		}
		p.next, p.waiting[r.ID], p.spares = next, waiting, spares
	}
}

// longDead reports whether a member has been dead for the hold time. A shorter
// absence is often a restart, after which the replica serves again without
// loading the other members.
func (p *planner) longDead(r report.Replica) bool {
	return slices.ContainsFunc(p.deadMembers(r), func(rank int) bool {
		i := p.instances[r.Members[rank].Instance]
		return i == nil || i.Missing >= p.Rules.Hold
	})
}

// formFromSpares forms replicas by priority, and within a priority so that the
// fewest spare instances are left over, and reports whether there were any.
func (p *planner) formFromSpares() bool {
	wants := p.sortedWants()
	formed := false
	for len(wants) > 0 {
		n := 1
		for n < len(wants) && wants[n].Deployment.Priority == wants[0].Deployment.Priority {
			n++
		}
		class := wants[:n]
		wants = wants[n:]
		for k, count := range p.fill(class) {
			for range count {
				p.add(class[k].Deployment)
				formed = true
			}
		}
		if p.reserved(class) {
			break
		}
	}
	return formed
}

// reserved reports whether spare instances are kept for a replica of the class
// for which others are leaving.
func (p *planner) reserved(class []Want) bool {
	if len(p.going) == 0 || !p.MayYield {
		return false
	}
	return slices.ContainsFunc(class, func(w Want) bool {
		since, short := p.Short[w.Deployment.Name]
		return p.missing(w.Deployment.Name) > 0 && short && p.Now.Sub(since) >= p.Rules.Hold
	})
}

// fill returns how many replicas of each deployment to form, so that together
// they use as many of the spare instances as possible. Among equal answers it
// takes as many as possible of the first deployments.
func (p *planner) fill(class []Want) []int {
	sizes, limits := make([]int, len(class)), make([]int, len(class))
	have := p.have()
	for k, w := range class {
		sizes[k] = max(w.Deployment.Size, 1)
		limits[k] = max(0, w.Replicas-p.Elsewhere[w.Deployment.Name]-have[w.Deployment.Name])
	}
	return pack(len(p.spares), sizes, limits)
}

// pack solves the bounded knapsack: counts up to the limits whose sizes add up
// to the most that fits in the room.
func pack(room int, sizes, limits []int) []int {
	// reach[k][n] says whether items k and later can add up to exactly n.
	reach := make([][]bool, len(sizes)+1)
	reach[len(sizes)] = make([]bool, room+1)
	reach[len(sizes)][0] = true
	for k := len(sizes) - 1; k >= 0; k-- {
		reach[k] = reachable(reach[k+1], sizes[k], limits[k])
	}
	best := room
	for !reach[0][best] {
		best--
	}
	counts := make([]int, len(sizes))
	for k := range sizes {
		n := min(limits[k], best/sizes[k])
		for !reach[k+1][best-n*sizes[k]] {
			n--
		}
		counts[k] = n
		best -= n * sizes[k]
	}
	return counts
}

// reachable adds up to limit items of one size to the sums in rest.
func reachable(rest []bool, size, limit int) []bool {
	sums := make([]bool, len(rest))
	// used[n] is the fewest items with which n is reached.
	used := make([]int, len(rest))
	for n := range rest {
		switch {
		case rest[n]:
			sums[n] = true
		case n >= size && sums[n-size] && used[n-size] < limit:
			sums[n], used[n] = true, used[n-size]+1
		}
	}
	return sums
}

func (p *planner) add(d *record.Deployment) {
	id := p.newID(d.Name)
	r := report.Replica{ID: id, Deployment: d.Name, Members: p.take(max(d.Size, 1))}
	setModel(&r, d)
	p.next = append(p.next, r)
	p.fresh[id] = true
	p.because(id, "formed")
}

// newID returns the lowest number that no replica of the deployment in the
// domain has. A number may be used again, since epochs only rise.
func (p *planner) newID(d ident.Deployment) ident.Replica {
	for n := 0; ; n++ {
		id := ident.Replica(string(p.Domain) + "/" + string(d) + "/" + strconv.Itoa(n))
		used := func(r report.Replica) bool { return r.ID == id }
		if !slices.ContainsFunc(p.next, used) && !slices.ContainsFunc(p.Current.Replicas, used) {
			return id
		}
	}
}
