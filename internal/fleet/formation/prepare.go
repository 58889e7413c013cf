package formation

import (
	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// preparedRank replaces loadsToComplete for conversions that are prepared. All other loads come
// first.
const preparedRank = 1000

// minPreparedReplicas is the number of replicas of each model from which on conversions are prepared. A
// prepared member that restarts has the other model's weights, and its replica waits for a load. With
// few replicas that costs more than a conversion that begins sooner gains.
const minPreparedReplicas = 8

// preparedCandidates returns, at the first start of the system, the loads that prepare conversions:
// loads are quick then, and the demand that the first requests bring is served without the wait
// for a load. It returns none while replicas are formed.
func (p *Planner) preparedCandidates(service *cluster.Service) []stagingCandidate {
	if !p.loads.bootstrap || p.options.PreparedShare == 0 {
		return nil
	}
	counts := make(map[ident.Model]int)
	for _, r := range p.sortedReplicas(service) {
		if r.phase == joining || r.phase == opening {
			return nil
		}
		counts[r.model.Name]++
	}
	for i := range service.Engine.Models {
		if counts[service.Engine.Models[i].Name] < minPreparedReplicas {
			return nil
		}
	}
	var candidates []stagingCandidate
	for _, change := range p.fleetLayout(service).PreparedConversions(p.options.PreparedShare) {
		c := p.newConversion(service, &change)
		if c == nil {
			continue
		}
		members := p.donorMembers(c)
		for _, s := range members[:min(len(members), c.servers())] {
			switch model := p.loads.loadingModel(s.ID); {
			case s.HasStaged(c.to.Name):
			case model != "":
				p.issueOrder(s.ID, cluster.Order{Operation: cluster.StageModel, Model: model})
			case !p.loads.isBusy(s.ID):
				candidates = append(candidates, stagingCandidate{s, c.to, preparedRank})
			}
		}
	}
	return candidates
}
