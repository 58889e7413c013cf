package plan

import (
	"cmp"
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
)

// ForDataCentre plans every domain of a data centre and returns the outputs by domain.
// Elsewhere, Unsettled and MayYield of the inputs are filled in.
//
// The wanted replicas are shared out without the domains' planners talking to
// each other: one duty plans all domains of a data centre, one after another in
// the order of their names, and each counts what the others have. Existing
// replicas so stay where they are, a missing one goes to the first domain with
// room, and a domain that fails or is planned late changes nothing in the
// others. Each domain is still one value with its own compare-and-swap, so two
// planners at once can't break it; at worst they form a replica too many, which
// the next round removes. Only if no domain has room may one yield.
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

func addCounts(total, counts map[ident.Deployment]int, sign int) {
	for d, n := range counts {
		total[d] += sign * n
	}
}

// MissingReplicas returns the deployments with fewer replicas than wanted.
func MissingReplicas(targets []DeploymentTarget, outputs map[ident.FabricDomain]Output) map[ident.Deployment]int {
	missing := make(map[ident.Deployment]int)
	for _, w := range targets {
		n := w.Replicas
		for _, o := range outputs {
			n -= o.RemainingReplicas[w.Deployment.Name]
		}
		if n > 0 {
			missing[w.Deployment.Name] = n
		}
	}
	return missing
}

// UpdateShortSince returns since when each lacking deployment has been short, given the
// times of the round before.
func UpdateShortSince(previous map[ident.Deployment]time.Time, missing map[ident.Deployment]int, now time.Time) map[ident.Deployment]time.Time {
	next := make(map[ident.Deployment]time.Time, len(missing))
	for d := range missing {
		next[d] = now
		if t, ok := previous[d]; ok {
			next[d] = t
		}
	}
	return next
}

// expectedReplicas counts the replicas of a domain that stay as far as can be told
// before it is planned. One that leaves to be formed again is counted.
func expectedReplicas(in *Input) map[ident.Deployment]int {
	p := newPlanner(in)
	counts := make(map[ident.Deployment]int)
	for i := range in.Current.Replicas {
		r := &in.Current.Replicas[i]
		replaced := len(p.ranksToReplace(*r))
		w := p.targets[r.Deployment]
		rebuild := replaced > 0 || w != nil && outdated(r, w.Deployment)
		if (!r.Draining || rebuild) && (in.Serving[r.ID] || replaced <= len(p.spares)) {
			counts[r.Deployment]++
		}
	}
	return counts
}

// unavailableDeployments returns the deployments with a replica that is leaving or does
// not serve, before or after the plan, unless it can't be repaired.
func unavailableDeployments(in *Input, out *Output) map[ident.Deployment]bool {
	unavailable := make(map[ident.Deployment]bool)
	replicas := in.Current.Replicas
	if out != nil && out.Next != nil {
		replicas = out.Next.Replicas
	}
	p := newPlanner(in)
	for _, r := range replicas {
		if r.Draining || !in.Serving[r.ID] && !p.beyondRepair(r) {
			unavailable[r.Deployment] = true
		}
	}
	return unavailable
}
