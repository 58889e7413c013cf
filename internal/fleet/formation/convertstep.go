package formation

import (
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/fleet/layout"
)

// continueConversion brings the conversion to its next step. It returns false when the conversion
// has ended.
func (p *Planner) continueConversion(service *cluster.Service, state *conversionState, c *conversion) bool {
	switch {
	case len(c.formed) > 0:
		return p.continueForming(service, c)
	case !c.closedAt.IsZero():
		return p.formConverted(service, state, c)
	}
	for _, r := range c.donors {
		if p.replicas[r.name] != r || r.released || r.phase == dissolving {
			p.endConversion(service, c, "cancelled", "replica-conversion-cancelled", "the replica is given up for another one")
			return false
		}
	}
	p.limitToServers(service, c)
	if c.added == 0 || len(c.donors) == 0 && p.hasIncompleteOrDissolvingReplica(c.domain) {
		p.endConversion(service, c, "cancelled", "replica-conversion-cancelled", "too few servers are left")
		return false
	}
	if p.isStaged(service, c) && p.mayClose(service, c) {
		p.closeDonors(service, state, c)
	}
	return true
}

// limitToServers reduces the new replicas of a conversion whose donors or spare servers are too few.
func (p *Planner) limitToServers(service *cluster.Service, c *conversion) {
	servers, isBroken := len(p.sparesOf(service, c.domain)), false
	for _, r := range c.donors {
		servers += len(r.members)
		isBroken = isBroken || r.phase == incomplete && r.isSettled(p.now)
	}
	if isBroken || len(c.donors) == 0 {
		c.added = min(c.added, servers/c.to.ServersPerReplica)
	}
}

// isStaged reports whether the new replicas can be formed without a load of weights. Spare servers
// replace members that were lost or whose loads take longer.
func (p *Planner) isStaged(service *cluster.Service, c *conversion) bool {
	staged := p.stagedSpares(service, c.domain, c.to.Name)
	for _, r := range c.donors {
		staged += p.stagedMembers(r, c.to.Name)
	}
	return staged >= c.servers()
}

// mayClose reports whether the donors may be closed now. Repairs in the domain come first, and
// enough replicas of the model have to serve meanwhile.
func (p *Planner) mayClose(service *cluster.Service, c *conversion) bool {
	total, out, donorsServing := 0, 0, 0
	for _, r := range p.replicas {
		if r.service != service.Name {
			continue
		}
		isDonor := slices.Contains(c.donors, r)
		if !isDonor && r.domain == c.domain && (r.phase == incomplete || r.phase == dissolving) {
			return false
		}
		isBroken := r.phase == incomplete && r.isSettled(p.now)
		if isDonor && !isBroken && !p.canBeGivenUp(r) {
			return false
		}
		if r.model.Name != c.from {
			continue
		}
		total++
		switch {
		case r.phase != serving:
			out++
		case isDonor:
			donorsServing++
		}
	}
	return donorsServing == 0 || float64(out+donorsServing) <= layout.MaxGivenUp*float64(total)
}

// closeDonors gives the donors up. They finish their requests first.
func (p *Planner) closeDonors(service *cluster.Service, state *conversionState, c *conversion) {
	for _, r := range c.donors {
		p.recordDecision("replica-released", r, "phase %s, its %d members form replicas of %s", r.phase, len(r.members), c.to.Name)
		if r.phase == incomplete {
			r.setPhase(dissolving, p.now)
			continue
		}
		r.released, r.closeTimeout = true, p.drainTimeout(service)
		r.setPhase(closing, p.now)
	}
	c.closedAt = p.now
	state.recordChange(c, p.now)
}

// recordChange records a conversion, after which the models aren't converted the other way for a
// time.
func (s *conversionState) recordChange(c *conversion, now time.Time) {
	from, to := s.changes[c.from], s.changes[c.to.Name]
	from.givenUpAt, to.gainedAt = now, now
	s.changes[c.from], s.changes[c.to.Name] = from, to
}

// maxDrainFactor bounds the wait for the requests of a replica that is converted, in CloseTimeouts.
const maxDrainFactor = 3

// drainTimeout returns the time for which a replica that is converted finishes its requests. No
// caller waits longer than the timeout of its route.
func (p *Planner) drainTimeout(service *cluster.Service) time.Duration {
	longest := p.options.CloseTimeout
	for i := range p.snapshot.Config.Routes {
		r := &p.snapshot.Config.Routes[i]
		if slices.ContainsFunc(r.Targets, func(t cluster.Target) bool { return t.Service == service.Name }) {
			longest = max(longest, r.Timeout)
		}
	}
	return min(longest, maxDrainFactor*p.options.CloseTimeout)
}

// formConverted forms the new replicas when the donors' members have left. It returns false if
// too few servers are left for any of them.
func (p *Planner) formConverted(service *cluster.Service, state *conversionState, c *conversion) bool {
	for _, r := range c.donors {
		if p.replicas[r.name] == r {
			return true
		}
	}
	state.recordChange(c, p.now)
	for range c.added {
		if p.stagedSpares(service, c.domain, c.to.Name) >= c.to.ServersPerReplica {
			c.formed = append(c.formed, p.createReplica(service, c.domain, c.to))
		}
	}
	if len(c.formed) == 0 {
		p.endConversion(service, c, "incomplete", "replica-conversion-incomplete", "too few members are left")
		return false
	}
	return true
}

// continueForming waits until the new replicas serve, and returns false then.
func (p *Planner) continueForming(service *cluster.Service, c *conversion) bool {
	for _, r := range c.formed {
		if p.replicas[r.name] == r && r.servedEpoch == 0 {
			return true
		}
	}
	p.endConversion(service, c, "converted", "replica-converted", "out of service for "+p.now.Sub(c.closedAt).Round(time.Millisecond).String())
	return false
}
