package formation

import (
	"cmp"
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/layout"
)

// stagingCandidate is a useful load of a model's weights on a spare server. The
// weight store serves few loads at the same time, so the loads that complete a
// replica soonest come first.
type stagingCandidate struct {
	server *cluster.Server
	model  *cluster.Model
	// loadsToComplete is the number of loads after which a replica is complete.
	loadsToComplete float64
}

// precautionaryLoads replaces loadsToComplete if no replica waits for the load
// but a replica of the domain may lose a member. Such a load comes after loads
// that complete a replica with two loads, and before those with three.
const precautionaryLoads = 2.5

// stageWeights issues orders to load weights on spare servers: for incomplete
// replicas, for replicas of the domain that may lose a member, and for new
// replicas. Servers of a drained data centre get none, since the number of
// loads is limited.
func (p *Planner) stageWeights(service *cluster.Service) {
	if p.loads.bootstrap && p.anyGrowing(service) {
		return
	}
	var candidates []stagingCandidate
	fleet := p.fleetLayout(service)
	for _, domain := range p.sortedDomains(service) {
		if p.isDataCentreDrained(service, domain) {
			continue
		}
		candidates = append(candidates, p.stagingCandidates(service, fleet, domain)...)
	}
	candidates = append(candidates, p.conversionCandidates(service)...)
	candidates = append(candidates, p.preparedCandidates(service)...)
	slices.SortStableFunc(candidates, func(a, b stagingCandidate) int { return cmp.Compare(a.loadsToComplete, b.loadsToComplete) })
	for _, c := range candidates {
		if p.loads.loadingModel(c.server.ID) != "" || !p.loads.allowsLoads(1) {
			continue
		}
		p.loads.addLoad(c.server.ID, c.model.Name, p.now.Add(c.model.LoadTime))
		p.issueOrder(c.server.ID, cluster.Order{Operation: cluster.StageModel, Model: c.model.Name})
	}
}

// conversionRank replaces loadsToComplete for the members of replicas that are converted. Their
// loads come after those that complete a replica with two loads, and before precautionary ones.
const conversionRank = 2.4

// conversionCandidates returns the loads of the conversions in progress, and issues the orders of
// running loads again.
func (p *Planner) conversionCandidates(service *cluster.Service) []stagingCandidate {
	var candidates []stagingCandidate
	running, limit := 0, maxConversionLoads(service.Engine)
	for _, c := range p.conversions[service.Name].running {
		if !c.closedAt.IsZero() {
			continue
		}
		missing := c.servers()
		var unstaged []*cluster.Server
		for _, s := range p.conversionServers(service, c) {
			model := p.loads.loadingModel(s.ID)
			switch {
			case s.HasStaged(c.to.Name):
				missing--
			case model == c.to.Name:
				missing--
				running++
				p.issueOrder(s.ID, cluster.Order{Operation: cluster.StageModel, Model: model})
				p.awaitLoad(s)
			case model == "" && !p.loads.isBusy(s.ID):
				unstaged = append(unstaged, s)
			}
		}
		for _, s := range unstaged[:min(len(unstaged), max(0, missing))] {
			candidates = append(candidates, stagingCandidate{s, c.to, conversionRank})
		}
	}
	if limit > 0 {
		candidates = candidates[:min(len(candidates), max(0, limit-running))]
	}
	return candidates
}

// conversionServers returns the servers that may load the weights for the conversion: the members
// of the replicas that it gives up, and spare servers if these are too few and no repair needs them.
func (p *Planner) conversionServers(service *cluster.Service, c *conversion) []*cluster.Server {
	servers := p.donorMembers(c)
	if len(servers) < c.servers() && !p.hasIncompleteOrDissolvingReplica(c.domain) {
		servers = append(servers, p.spareServers(service, c.domain, c.to.Name)...)
	}
	return servers
}

// donorMembers returns the usable members of the replicas that the conversion gives up.
func (p *Planner) donorMembers(c *conversion) []*cluster.Server {
	var servers []*cluster.Server
	for _, r := range c.donors {
		for _, id := range r.members {
			if s := p.snapshot.Server(id); s != nil && p.isUsable(s) {
				servers = append(servers, s)
			}
		}
	}
	return servers
}

// loadMargin is the time before the expected end of a load from which on the weights may be there.
const loadMargin = time.Second

// awaitLoad adds the server to those whose orders should have taken effect, if its load should have
// ended.
func (p *Planner) awaitLoad(s *cluster.Server) {
	if p.loads.running[s.ID].expectedEnd.Sub(p.now) <= loadMargin {
		p.Awaited = append(p.Awaited, s)
	}
}

// stagingCandidates returns the useful loads in the domain, and issues the
// orders of running loads again.
func (p *Planner) stagingCandidates(service *cluster.Service, fleet *layout.Fleet, domain ident.FabricDomain) []stagingCandidate {
	staged := make(map[ident.Model]int)
	var unstaged, stagedServers []*cluster.Server
	for _, s := range p.spareServers(service, domain, "") {
		model := p.loads.loadingModel(s.ID)
		switch {
		case p.loads.isBusy(s.ID):
		case model != "":
			staged[model]++
			p.issueOrder(s.ID, cluster.Order{Operation: cluster.StageModel, Model: model})
		case len(s.StagedModels) == 0:
			unstaged = append(unstaged, s)
		default:
			staged[s.StagedModels[0]]++
			stagedServers = append(stagedServers, s)
		}
	}
	candidates := p.candidatesForIncomplete(domain, staged, &unstaged, stagedServers)
	if p.isGrowing(service, domain) {
		return candidates
	}
	for _, s := range unstaged {
		m := service.Engine.Model(fleet.NextStaged(domain, staged))
		loads := precautionaryLoads
		if !p.hasReplicaOf(domain, m.Name) {
			loads = float64(max(m.ServersPerReplica-staged[m.Name], 1))
		}
		staged[m.Name]++
		candidates = append(candidates, stagingCandidate{s, m, loads})
	}
	if c, found := p.restagingCandidate(service, domain, staged, stagedServers); found {
		candidates = append(candidates, c)
	}
	return candidates
}

// restagingRank replaces loadsToComplete for spare servers that replace their weights. All other
// loads but those at the first start come first.
const restagingRank = 100

// restagingCandidate returns the load for a model of the domain without a staged spare server, on
// one of several servers of another model or of a model that the domain has no replica of. Where
// replicas are converted, members leave their weights behind. false means that there is none.
func (p *Planner) restagingCandidate(service *cluster.Service, domain ident.FabricDomain, staged map[ident.Model]int, stagedServers []*cluster.Server) (stagingCandidate, bool) {
	if p.StoreUnavailable || !p.Demand.hasLoadOf(service.Name) || p.hasIncompleteOrDissolvingReplica(domain) || p.isConverting(service, domain) {
		return stagingCandidate{}, false
	}
	for i := range service.Engine.Models {
		m := &service.Engine.Models[i]
		if staged[m.Name] > 0 || !p.hasReplicaOf(domain, m.Name) {
			continue
		}
		for _, s := range stagedServers {
			if other := s.StagedModels[0]; staged[other] > 1 || !p.hasReplicaOf(domain, other) {
				return stagingCandidate{s, m, restagingRank}, true
			}
		}
	}
	return stagingCandidate{}, false
}

// candidatesForIncomplete returns the loads that complete the domain's
// incomplete replicas. Servers without weights are used first, then servers
// with another model that no incomplete replica needs. The servers used are
// removed from unstaged.
func (p *Planner) candidatesForIncomplete(domain ident.FabricDomain, staged map[ident.Model]int, unstaged *[]*cluster.Server, stagedServers []*cluster.Server) []stagingCandidate {
	needed := make(map[ident.Model]int)
	var incompleteReplicas []*replica
	for _, r := range p.replicas {
		if r.domain == domain && r.phase == incomplete {
			needed[r.model.Name] += r.missing()
			incompleteReplicas = append(incompleteReplicas, r)
		}
	}
	slices.SortFunc(incompleteReplicas, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.missing(), b.missing()), cmp.Compare(a.name, b.name))
	})
	var candidates []stagingCandidate
	for _, r := range incompleteReplicas {
		name := r.model.Name
		missing := r.missing() - staged[name]
		staged[name] = max(0, staged[name]-r.missing())
		for loads := float64(missing); missing > 0; missing-- {
			var s *cluster.Server
			if len(*unstaged) > 0 {
				s, *unstaged = (*unstaged)[0], (*unstaged)[1:]
			} else if i := slices.IndexFunc(stagedServers, func(o *cluster.Server) bool {
				return !o.HasStaged(name) && needed[o.StagedModels[0]] == 0
			}); i >= 0 {
				s, stagedServers = stagedServers[i], slices.Delete(slices.Clone(stagedServers), i, i+1)
			} else {
				break
			}
			candidates = append(candidates, stagingCandidate{s, r.model, loads})
		}
	}
	return candidates
}

// hasReplicaOf reports whether the domain has a replica of the model.
func (p *Planner) hasReplicaOf(domain ident.FabricDomain, model ident.Model) bool {
	for _, r := range p.replicas {
		if r.domain == domain && r.model.Name == model {
			return true
		}
	}
	return false
}

// anyGrowing reports whether any domain of the service is growing. It updates
// the growth of all domains.
func (p *Planner) anyGrowing(service *cluster.Service) bool {
	growing := false
	for _, domain := range p.sortedDomains(service) {
		growing = p.isGrowing(service, domain) || growing
	}
	return growing
}

// isGrowing reports whether a server was added to the domain within the growth
// window, and updates the domain's growth.
func (p *Planner) isGrowing(service *cluster.Service, domain ident.FabricDomain) bool {
	g, size := p.growths[domain], p.usableServers(service, domain)
	if size > g.usableServers {
		g.grewAt = p.now
	}
	g.usableServers = size
	p.growths[domain] = g
	return p.now.Sub(g.grewAt) < p.options.GrowthWindow
}
