package formation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/layout"
)

// Demand is the offered load of each service's models. A service without an entry has an unknown
// demand.
type Demand map[ident.Service]map[ident.Model]unit.Slots

// Times of the decisions on conversions.
const (
	// newDemandDelay is the time for which a conversion has to be a gain before it begins, while
	// this planner has known the demand for less than gainDelay, and gainDelay the time after that.
	// The demand is a mean over 8 s, which a burst of 3 s raises for 8 to 9 s: gainDelay is longer, so
	// that such a burst moves no replicas.
	newDemandDelay = 3 * time.Second
	gainDelay      = 10 * time.Second
	// reverseDelay is the time after a conversion in which the models aren't converted the other
	// way.
	reverseDelay = 30 * time.Second
	// conversionInterval is the least time between two decisions. Rounds may be 10 ms apart.
	conversionInterval = 250 * time.Millisecond
	// recognitionTime is the time after the first decision of a term in which closed replicas whose
	// members have another model's weights count as those of a conversion of an earlier planner.
	recognitionTime = 3 * time.Second
)

// conversionLoads is the share of the weight store's concurrent loads that conversions use. The
// others are left for repairs.
const conversionLoads = 0.8

// conversion is a conversion in progress.
type conversion struct {
	service ident.Service
	domain  ident.FabricDomain
	from    ident.Model
	to      *cluster.Model
	// donors are the replicas that are given up, none if only spare servers are used. added is the
	// number of replicas that are formed.
	donors []*replica
	added  int
	// closedAt is the time at which the donors were given up, zero while they can still be kept.
	closedAt time.Time
	// formed are the new replicas, once the donors' members have left.
	formed    []*replica
	startedAt time.Time
}

// servers returns the number of servers that the new replicas need.
func (c *conversion) servers() int {
	return c.added * c.to.ServersPerReplica
}

// modelPair is a direction of conversions.
type modelPair struct {
	from, to ident.Model
}

// modelChange has the times at which a model's replicas were last given up and formed by a
// conversion.
type modelChange struct {
	givenUpAt, gainedAt time.Time
}

// conversionState is the state of a service's conversions.
type conversionState struct {
	running []*conversion
	// decidedAt is the time of the last decision, and firstDecision that of the first one in
	// this term.
	decidedAt, firstDecision time.Time
	// demandSince is the time since which this planner has known the demand.
	demandSince time.Time
	// wanted is the direction that is a gain, since wantedSince.
	wanted      modelPair
	wantedSince time.Time
	changes     map[ident.Model]modelChange
}

// ConversionEvent is the start or the end of a conversion.
type ConversionEvent struct {
	From, To ident.Model
	// Result is begun, converted, cancelled or incomplete.
	Result string
}

// convertReplicas carries on the service's conversions and begins further ones.
func (p *Planner) convertReplicas(service *cluster.Service) {
	state := p.conversions[service.Name]
	if state == nil {
		state = &conversionState{changes: make(map[ident.Model]modelChange)}
		p.conversions[service.Name] = state
	}
	state.running = slices.DeleteFunc(state.running, func(c *conversion) bool { return !p.continueConversion(service, state, c) })
	if !p.Demand.hasLoadOf(service.Name) {
		state.wanted, state.demandSince = modelPair{}, time.Time{}
		return
	}
	if p.loads.bootstrap || p.now.Sub(state.decidedAt) < conversionInterval {
		return
	}
	if state.demandSince.IsZero() {
		state.demandSince = p.now
	}
	state.decidedAt = p.now
	if state.firstDecision.IsZero() {
		state.firstDecision = p.now
	}
	fleet := p.fleetLayout(service)
	p.cancelConversions(service, state, fleet)
	if !p.StoreUnavailable {
		p.beginConversions(service, state, fleet)
	}
}

// layoutChange returns what the conversion still changes in the layout.
func (p *Planner) layoutChange(c *conversion) layout.Conversion {
	change := layout.Conversion{Domain: c.domain, From: c.from, To: c.to.Name, Added: c.added - len(c.formed)}
	if len(c.formed) > 0 {
		return change
	}
	for _, r := range c.donors {
		if p.replicas[r.name] != r {
			continue
		}
		change.Spares += len(r.members)
		if p.isCounted(r) {
			change.Released++
		}
	}
	change.Spares -= c.servers()
	return change
}

// cancelConversions ends the conversions that are no gain any more and whose replicas haven't been
// closed. It applies the others to the fleet.
func (p *Planner) cancelConversions(service *cluster.Service, state *conversionState, fleet *layout.Fleet) {
	slices.SortStableFunc(state.running, func(a, b *conversion) int { return cmp.Compare(closedRank(a), closedRank(b)) })
	state.running = slices.DeleteFunc(state.running, func(c *conversion) bool {
		change := p.layoutChange(c)
		if reason := p.reasonToCancel(service, c, fleet.Gain(&change)); reason != "" {
			p.endConversion(service, c, "cancelled", "replica-conversion-cancelled", reason)
			return true
		}
		fleet.Apply(&change)
		return false
	})
}

// reasonToCancel returns why the conversion of the gain is cancelled, empty if it isn't.
func (p *Planner) reasonToCancel(service *cluster.Service, c *conversion, gain float64) string {
	switch {
	case !c.closedAt.IsZero() || p.StoreUnavailable:
		return ""
	case gain <= 0:
		return "no gain any more"
	case float64(len(c.donors)) > layout.MaxGivenUp*float64(p.replicasOf(service, c.from)):
		return "too few replicas are left"
	}
	return ""
}

// replicasOf returns the number of replicas of the model, whether they serve or not.
func (p *Planner) replicasOf(service *cluster.Service, model ident.Model) int {
	n := 0
	for _, r := range p.replicas {
		if r.service == service.Name && r.model.Name == model {
			n++
		}
	}
	return n
}

// closedRank orders conversions by whether their donors have been given up.
func closedRank(c *conversion) int {
	if c.closedAt.IsZero() {
		return 1
	}
	return 0
}

// endConversion records the end of a conversion.
func (p *Planner) endConversion(service *cluster.Service, c *conversion, result, event, reason string) {
	p.ConversionEvents = append(p.ConversionEvents, ConversionEvent{c.from, c.to.Name, result})
	p.recordConversion(event, service, c, fmt.Sprintf("after %s, %s", p.now.Sub(c.startedAt).Round(time.Millisecond), reason))
}

// recordConversion records a decision on a conversion with the demand and capacity of its models.
func (p *Planner) recordConversion(event string, service *cluster.Service, c *conversion, detail string) {
	d := Decision{Event: event}
	models := fmt.Sprintf("spare servers to %d replicas of %s", c.added, c.to.Name)
	if len(c.donors) > 0 {
		d.Replica, d.Epoch = c.donors[0].name, c.donors[0].epoch
		models = fmt.Sprintf("%d replicas of %s to %d of %s", len(c.donors), c.from, c.added, c.to.Name)
	}
	d.Detail = fmt.Sprintf("%s in domain %s, %s: %s", models, c.domain, detail, p.describeDemand(service))
	p.Decisions = append(p.Decisions, d)
}

// beginConversions begins the conversions that are a gain for the fleet. At the start of a term it
// first recognises those that an earlier planner began, which needs no least gain and no delay.
func (p *Planner) beginConversions(service *cluster.Service, state *conversionState, fleet *layout.Fleet) {
	isRecognising := p.now.Sub(state.firstDecision) < recognitionTime
	for {
		minGain := layout.MinGain
		if isRecognising {
			minGain = 0
		}
		next, found := fleet.NextConversion(minGain, func(c *layout.Conversion) (int, bool) {
			return p.conversionCost(service, state, c, isRecognising)
		})
		if !found && isRecognising {
			isRecognising = false
			continue
		}
		pair := modelPair{next.From, next.To}
		switch {
		case !found:
			state.wanted = modelPair{}
			return
		case isRecognising:
		case state.wanted != pair:
			state.wanted, state.wantedSince = pair, p.now
			return
		case p.now.Sub(state.wantedSince) < state.delay(p.now):
			return
		}
		c := p.newConversion(service, &next)
		if !p.allowsConversionLoads(service, state, c) {
			return
		}
		state.running = append(state.running, c)
		fleet.Apply(&next)
		p.recordBegin(service, c)
		p.continueConversion(service, state, c)
	}
}

// delay returns the time for which a conversion has to be a gain. A demand that is new to the planner
// is acted on sooner: the layout follows the configured shares until then, or an earlier planner has
// not come to its conversions.
func (s *conversionState) delay(now time.Time) time.Duration {
	if now.Sub(s.demandSince) < gainDelay {
		return newDemandDelay
	}
	return gainDelay
}

// recordBegin records the beginning of a conversion.
func (p *Planner) recordBegin(service *cluster.Service, c *conversion) {
	p.ConversionEvents = append(p.ConversionEvents, ConversionEvent{c.from, c.to.Name, "begun"})
	p.recordConversion("replica-converting", service, c, fmt.Sprintf("%d of %d loads done", c.servers()-p.missingLoads(service, c), c.servers()))
}

// conversionCost returns the number of loads that the conversion needs, and whether it may begin.
// One that an earlier planner began is recognised by replicas that are closed and whose members have
// at least half of the weights.
func (p *Planner) conversionCost(service *cluster.Service, state *conversionState, change *layout.Conversion, isRecognising bool) (int, bool) {
	isReverse := p.now.Sub(state.changes[change.From].gainedAt) < reverseDelay || p.now.Sub(state.changes[change.To].givenUpAt) < reverseDelay
	if isReverse || p.isConverting(service, change.Domain) || p.isDataCentreDrained(service, change.Domain) || !p.needsCapacity(service, change.To) {
		return 0, false
	}
	c := p.newConversion(service, change)
	if c == nil {
		return 0, false
	}
	missing := p.missingLoads(service, c)
	if isRecognising {
		areClosed := len(c.donors) > 0 && !slices.ContainsFunc(c.donors, func(r *replica) bool { return !p.wasClosed(r) })
		return missing, areClosed && 2*missing <= c.servers()
	}
	return missing, true
}

// isConverting reports whether a conversion is in progress in the domain.
func (p *Planner) isConverting(service *cluster.Service, domain ident.FabricDomain) bool {
	return slices.ContainsFunc(p.conversions[service.Name].running, func(c *conversion) bool { return c.domain == domain })
}

// newConversion returns the conversion with the donors whose members have most of the weights, nil
// if there are too few replicas that may be given up.
func (p *Planner) newConversion(service *cluster.Service, change *layout.Conversion) *conversion {
	if change.Spares < 0 && p.hasIncompleteOrDissolvingReplica(change.Domain) {
		// The spare servers are left for repairs.
		return nil
	}
	to := service.Engine.Model(change.To)
	var donors []*replica
	for _, r := range p.sortedReplicas(service) {
		if r.domain == change.Domain && r.model.Name == change.From && p.canBeGivenUp(r) {
			donors = append(donors, r)
		}
	}
	if len(donors) < change.Released {
		return nil
	}
	slices.SortStableFunc(donors, func(a, b *replica) int {
		return cmp.Compare(p.stagedMembers(b, to.Name), p.stagedMembers(a, to.Name))
	})
	return &conversion{
		service: service.Name, domain: change.Domain, from: change.From, to: to, donors: donors[:change.Released], added: change.Added, startedAt: p.now,
	}
}

// canBeGivenUp reports whether the replica is complete and known for certain. A replica that a
// new planner has adopted while it is closed counts as joining.
func (p *Planner) canBeGivenUp(r *replica) bool {
	return !r.released && r.isSettled(p.now) && (r.phase == serving || p.wasClosed(r))
}

// wasClosed reports whether the replica was closed by an earlier planner.
func (p *Planner) wasClosed(r *replica) bool {
	if r.phase != joining || r.epoch != r.servedEpoch || len(r.members) < r.model.ServersPerReplica {
		return false
	}
	head := p.snapshot.Server(r.members[0])
	return head != nil && head.Membership != nil && (head.Membership.State == cluster.Closing || head.Membership.State == cluster.Ready)
}

// stagedMembers returns the number of members of the replica that have the model's weights.
func (p *Planner) stagedMembers(r *replica, model ident.Model) int {
	n := 0
	for _, id := range r.members {
		if s := p.snapshot.Server(id); s != nil && s.HasStaged(model) {
			n++
		}
	}
	return n
}

// missingLoads returns the number of servers of the new replicas that don't have the weights.
func (p *Planner) missingLoads(service *cluster.Service, c *conversion) int {
	missing := c.servers()
	for _, r := range c.donors {
		missing -= p.stagedMembers(r, c.to.Name)
	}
	if len(c.donors) == 0 {
		missing -= p.stagedSpares(service, c.domain, c.to.Name)
	}
	return max(0, missing)
}

// allowsConversionLoads reports whether the loads of the conversion can begin beside those of the
// others.
func (p *Planner) allowsConversionLoads(service *cluster.Service, state *conversionState, next *conversion) bool {
	loads := 0
	for _, c := range state.running {
		if c.closedAt.IsZero() {
			loads += p.missingLoads(service, c)
		}
	}
	limit := maxConversionLoads(service.Engine)
	return loads == 0 || limit == 0 || loads+p.missingLoads(service, next) <= limit
}

// maxConversionLoads returns the number of loads that conversions may run at once, zero for any.
func maxConversionLoads(e *cluster.Engine) int {
	if e.MaxConcurrentLoads == 0 {
		return 0
	}
	return max(1, int(conversionLoads*float64(e.MaxConcurrentLoads)))
}
