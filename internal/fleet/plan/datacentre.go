package plan

import (
	"cmp"
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
)

// ForDataCentre plans every domain of a data centre and returns the outputs by
// domain. It fills in ReplicasElsewhere, UnavailableElsewhere and
// AllowPreemption of the inputs.
//
// One planner plans all domains of a data centre one after another, in the
// order of their names, and counts for each domain the replicas in the other
// domains. So existing replicas stay in their domain, and a missing replica
// goes to the first domain with enough spare instances. A domain that fails or
// is planned late changes nothing in the other domains.
//
// Each domain is a stored value with its own compare-and-swap, so two planners
// at the same time can't corrupt it. At worst they form one replica too many,
// which the next round dissolves. Preemption is allowed only if no domain has
// enough spare instances.
func ForDataCentre(inputs []Input) map[ident.FabricDomain]Output {
	inputs = slices.Clone(inputs)
	slices.SortFunc(inputs, func(a, b Input) int { return cmp.Compare(a.Domain, b.Domain) })
	remaining := make(map[ident.FabricDomain]map[ident.Deployment]int, len(inputs))
	for i := range inputs {
		remaining[inputs[i].Domain] = expectedReplicas(&inputs[i])
	}
	outputs := planDomains(inputs, remaining, false)
	if len(inputs) > 0 && len(MissingReplicas(inputs[0].Targets, outputs)) > 0 {
		outputs = planDomains(inputs, remaining, true)
	}
	return outputs
}

// planDomains plans the domains in turn. The map remaining counts the replicas
// of each domain that remain, and is updated with each plan.
func planDomains(inputs []Input, remaining map[ident.FabricDomain]map[ident.Deployment]int, allowPreemption bool) map[ident.FabricDomain]Output {
	outputs := make(map[ident.FabricDomain]Output, len(inputs))
	total := make(map[ident.Deployment]int)
	for _, counts := range remaining {
		addCounts(total, counts, 1)
	}
	unavailable := make(map[ident.FabricDomain]map[ident.Deployment]bool)
	for i := range inputs {
		unavailable[inputs[i].Domain] = unavailableDeployments(&inputs[i], nil)
	}
	for _, in := range inputs {
		addCounts(total, remaining[in.Domain], -1)
		in.ReplicasElsewhere = make(map[ident.Deployment]int, len(total))
		addCounts(in.ReplicasElsewhere, total, 1)
		in.UnavailableElsewhere = make(map[ident.Deployment]bool)
		for domain, deployments := range unavailable {
			for d := range deployments {
				if domain != in.Domain {
					in.UnavailableElsewhere[d] = true
				}
			}
		}
		in.AllowPreemption = allowPreemption
		out := ForDomain(in)
		remaining[in.Domain] = out.RemainingReplicas
		addCounts(total, out.RemainingReplicas, 1)
		unavailable[in.Domain] = unavailableDeployments(&in, &out)
		outputs[in.Domain] = out
	}
	return outputs
}

// addCounts adds the counts to the total, or subtracts them if the sign is -1.
func addCounts(total, counts map[ident.Deployment]int, sign int) {
	for d, n := range counts {
		total[d] += sign * n
	}
}

// MissingReplicas returns how many replicas are missing, for each deployment
// with fewer remaining replicas than its target.
func MissingReplicas(targets []DeploymentTarget, outputs map[ident.FabricDomain]Output) map[ident.Deployment]int {
	missing := make(map[ident.Deployment]int)
	for _, t := range targets {
		n := t.Replicas
		for _, o := range outputs {
			n -= o.RemainingReplicas[t.Deployment.Name]
		}
		if n > 0 {
			missing[t.Deployment.Name] = n
		}
	}
	return missing
}

// UpdateMissingSince returns, for each deployment with missing replicas, the time
// since which it has had too few. It keeps the times of the previous round.
func UpdateMissingSince(previous map[ident.Deployment]time.Time, missing map[ident.Deployment]int, now time.Time) map[ident.Deployment]time.Time {
	next := make(map[ident.Deployment]time.Time, len(missing))
	for d := range missing {
		next[d] = now
		if t, ok := previous[d]; ok {
			next[d] = t
		}
	}
	return next
}

// expectedReplicas estimates, before the domain is planned, how many replicas
// of each deployment will remain. A replica that drains in order to be rebuilt
// counts. A replica that has stopped and can't be repaired doesn't.
func expectedReplicas(in *Input) map[ident.Deployment]int {
	p := newPlanner(in)
	counts := make(map[ident.Deployment]int)
	for i := range in.Current.Replicas {
		r := &in.Current.Replicas[i]
		membersToReplace := len(p.ranksToReplace(*r))
		t := p.targets[r.Deployment]
		rebuild := membersToReplace > 0 || t != nil && isOutdated(r, t.Deployment)
		if (!r.Draining || rebuild) && (in.Serving[r.ID] || membersToReplace <= len(p.spares)) {
			counts[r.Deployment]++
		}
	}
	return counts
}

// unavailableDeployments returns the deployments with a replica that is
// draining or doesn't serve, after the plan if there is one. Replicas beyond
// repair don't count.
func unavailableDeployments(in *Input, out *Output) map[ident.Deployment]bool {
	unavailable := make(map[ident.Deployment]bool)
	replicas := in.Current.Replicas
	if out != nil && out.Next != nil {
		replicas = out.Next.Replicas
	}
	p := newPlanner(in)
	for _, r := range replicas {
		if r.Draining || !in.Serving[r.ID] && !p.isBeyondRepair(r) {
			unavailable[r.Deployment] = true
		}
	}
	return unavailable
}
