package plan

import (
	"cmp"
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
)

// Round plans every domain of a data centre and returns the outputs by domain.
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
func Round(inputs []Input) map[ident.FabricDomain]Output {
	inputs = slices.Clone(inputs)
	slices.SortFunc(inputs, func(a, b Input) int { return cmp.Compare(a.Domain, b.Domain) })
	have := make(map[ident.FabricDomain]map[ident.Deployment]int, len(inputs))
	for i := range inputs {
		have[inputs[i].Domain] = standing(&inputs[i])
	}
	outputs := pass(inputs, have, false)
	if len(inputs) > 0 && len(Lacking(inputs[0].Wants, outputs)) > 0 {
		outputs = pass(inputs, have, true)
	}
	return outputs
}

func pass(inputs []Input, have map[ident.FabricDomain]map[ident.Deployment]int, yield bool) map[ident.FabricDomain]Output {
	outputs := make(map[ident.FabricDomain]Output, len(inputs))
	total := make(map[ident.Deployment]int)
	for _, counts := range have {
		addCounts(total, counts, 1)
	}
	unsettled := make(map[ident.FabricDomain]map[ident.Deployment]bool)
	for i := range inputs {
		unsettled[inputs[i].Domain] = unsettledIn(&inputs[i], nil)
	}
	for _, in := range inputs {
		addCounts(total, have[in.Domain], -1)
		in.Elsewhere = make(map[ident.Deployment]int, len(total))
		addCounts(in.Elsewhere, total, 1)
		in.Unsettled = make(map[ident.Deployment]bool)
		for domain, set := range unsettled {
			for d := range set {
				if domain != in.Domain {
					in.Unsettled[d] = true
				}
			}
		}
		in.MayYield = yield
		out := Plan(in)
		have[in.Domain] = out.Have
		addCounts(total, out.Have, 1)
		unsettled[in.Domain] = unsettledIn(&in, &out)
		outputs[in.Domain] = out
	}
	return outputs
}

func addCounts(total, counts map[ident.Deployment]int, sign int) {
	for d, n := range counts {
		total[d] += sign * n
	}
}

// Lacking returns the deployments with fewer replicas than wanted.
func Lacking(wants []Want, outputs map[ident.FabricDomain]Output) map[ident.Deployment]int {
	lacking := make(map[ident.Deployment]int)
	for _, w := range wants {
		n := w.Replicas
		for _, o := range outputs {
			n -= o.Have[w.Deployment.Name]
		}
		if n > 0 {
			lacking[w.Deployment.Name] = n
		}
	}
	return lacking
}

// Shortage returns since when each lacking deployment has been short, given the
// times of the round before.
func Shortage(before map[ident.Deployment]time.Time, lacking map[ident.Deployment]int, now time.Time) map[ident.Deployment]time.Time {
	since := make(map[ident.Deployment]time.Time, len(lacking))
	for d := range lacking {
		since[d] = now
		if t, ok := before[d]; ok {
			since[d] = t
		}
	}
	return since
}

// standing counts the replicas of a domain that stay as far as can be told
// before it is planned. One that leaves to be formed again is counted.
func standing(in *Input) map[ident.Deployment]int {
	p := newPlanner(in)
	count := make(map[ident.Deployment]int)
	for i := range in.Current.Replicas {
		r := &in.Current.Replicas[i]
		dead := len(p.deadMembers(*r))
		w := p.wants[r.Deployment]
		reform := dead > 0 || w != nil && outdated(r, w.Deployment)
		if (!r.Draining || reform) && (in.Serving[r.ID] || dead <= len(p.spares)) {
			count[r.Deployment]++
		}
	}
	return count
}

// unsettledIn returns the deployments with a replica that is leaving or does
// not serve, before or after the plan, unless it can't be repaired.
func unsettledIn(in *Input, out *Output) map[ident.Deployment]bool {
	set := make(map[ident.Deployment]bool)
	replicas := in.Current.Replicas
	if out != nil && out.Next != nil {
		replicas = out.Next.Replicas
	}
	p := newPlanner(in)
	for _, r := range replicas {
		if r.Draining || !in.Serving[r.ID] && !p.stuck(r) {
			set[r.Deployment] = true
		}
	}
	return set
}
