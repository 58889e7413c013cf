// Package balance chooses the endpoint for a request that the daemon forwards, and bounds
// the retries of all daemons together. Package forward uses it. Decisions use this
// daemon's copy of the load, without querying other daemons.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/cost"
)

// daemonCounter returns the number of daemons among which shared budgets are divided.
type daemonCounter interface {
	DaemonCount() int
}

// daemonList also has the position of this daemon among the running daemons, ordered by id.
type daemonList interface {
	daemonCounter
	DaemonPosition() (position, count int)
}

// fleet has the number of daemons that choose among the same endpoints. Its method takes no lock.
type fleet interface {
	FleetSize() int
}

// limiter admits requests to endpoints that name a limit of requests.
type limiter interface {
	Available(now time.Time, e *catalog.Endpoint) bool
	Admit(now time.Time, e *catalog.Endpoint) bool
}

// timeModel has the published and learned times of a model's replicas. Its method takes no lock.
type timeModel interface {
	Times(service ident.Service, engine *cluster.Engine, model *cluster.Model) cost.Times
}

// Choice says how endpoints with published engine times are compared.
type Choice string

// The choices: by the expected loss for callers, or by the number of requests in flight.
const (
	ByCost  Choice = "cost"
	ByCount Choice = "count"
)

// Request is what the choice of an endpoint depends on.
type Request struct {
	// Tried are the servers that are not chosen.
	Tried        []ident.Instance
	PromptTokens unit.Tokens
	// OutputTokens is the expected number of output tokens.
	OutputTokens unit.Tokens
	// Objective is the time to the first event that callers want, and ObjectiveAt the time until
	// which this request meets it.
	Objective   time.Duration
	ObjectiveAt time.Time
	// MaxUtilisation is the share of a replica's slots that the request may use. By expected loss, a
	// replica may have more requests by those that end until the counts are renewed.
	MaxUtilisation float64
	// Draw is a random number from 0 to 1, the same for all choices of the request. If there is
	// room for a share of the requests only, those whose number is at most that share are admitted.
	Draw float64
}

// Options are the dependencies and settings of a Balancer.
type Options struct {
	DataCentre ident.DataCentre
	Daemons    daemonList
	Fleet      fleet
	Limits     limiter
	// Times and Demand are used for ByCost only. Without Demand, which may be nil, the offered load is
	// taken to be what the replicas serve.
	Times  timeModel
	Demand offeredLoad
	Choice Choice
	// RemotePenalty is added to the utilisation of an endpoint in another data centre,
	// as traffic between data centres is paid for.
	RemotePenalty float64
	// PlainQueueRatio bounds the requests queued at a plain server, as a share of its
	// slots.
	PlainQueueRatio float64
	// ColdRateFraction is the share of a cold server's request rate that is used.
	ColdRateFraction float64
}

// Balancer chooses endpoints. It takes no lock; the list of daemons, which is asked only for cold endpoints,
// may take one.
type Balancer struct {
	Options
	counters
}

// New returns a Balancer, which keeps no state of its own but counters.
func New(o Options) *Balancer {
	return &Balancer{Options: o}
}

// Pick returns an endpoint that can take the request and was not tried, or nil if there is none. By
// expected loss it is drawn from a sample so that all daemons together spread their requests, if the
// request is among the share for which there is room. By count it is the one with the lowest
// utilisation below the limit, in a large fleet of a sample. An endpoint that is
// avoided after a failure is returned only if all endpoints are avoided, as the failures were then
// more likely caused by this daemon.
func (b *Balancer) Pick(now time.Time, endpoints []*catalog.Endpoint, r Request) *catalog.Endpoint {
	p := b.newPick(now, endpoints, r)
	if p.byCost {
		e, admitted := p.draw(endpoints)
		if e != nil {
			b.drawn.Add(1)
			return e
		}
		if !admitted && !p.areAvoided(endpoints) {
			b.none.Add(1)
			return nil
		}
	}
	e := p.pickLeastUtilised(endpoints)
	if e == nil {
		b.none.Add(1)
	} else {
		b.leastUtilised.Add(1)
	}
	return e
}

// draw returns a candidate by expected loss, nil if none may be chosen or the candidates have no room for
// the request, and reports whether all endpoints together have room for it.
func (p *pick) draw(endpoints []*catalog.Endpoint) (*catalog.Endpoint, bool) {
	var drawn [maxCandidates]*catalog.Endpoint
	var buffer [maxCandidates]weighed
	candidates := endpoints
	if len(endpoints) > maxCandidates {
		candidates = p.sample(endpoints, drawn[:0], maxCandidates/2)
	}
	all := buffer[:len(candidates)]
	switch {
	case p.isAdmitted(p.supplyOf(candidates, len(endpoints), all)):
		return p.drawByLoss(candidates, all), true
	case len(endpoints) <= maxCandidates:
		return nil, false
	}
	return nil, p.isAdmitted(p.supplyOf(endpoints, len(endpoints), nil))
}

// pickLeastUtilised returns the endpoint with the lowest utilisation, in a large fleet of a sample. It
// returns nil if none may be chosen.
func (p *pick) pickLeastUtilised(endpoints []*catalog.Endpoint) *catalog.Endpoint {
	if !p.byCost && p.Fleet.FleetSize() > maxInformedDaemons {
		var drawn [2 * sampleSize]*catalog.Endpoint
		if e := p.leastUtilised(p.sample(endpoints, drawn[:0], sampleSize)); e != nil {
			return e
		}
	}
	if e := p.leastUtilised(endpoints); e != nil {
		return e
	}
	if !p.areAvoided(endpoints) {
		return nil
	}
	p.includeAvoided = true
	return p.leastUtilised(endpoints)
}

// areAvoided reports whether all endpoints are avoided after a failure.
func (p *pick) areAvoided(endpoints []*catalog.Endpoint) bool {
	return !slices.ContainsFunc(endpoints, func(e *catalog.Endpoint) bool { return !e.Load.Avoided(p.now) })
}

// pick is the state of one choice.
type pick struct {
	*Balancer
	request Request
	now     time.Time
	// byCost says that endpoints are compared by expected loss, of which times and timeLeft, the
	// time until the request misses its objective, are set.
	byCost   bool
	times    cost.Times
	timeLeft time.Duration
	// includeAvoided says that endpoints that are avoided after a failure may be chosen.
	includeAvoided bool
	// isExplained says that the choice is only explained, so that it isn't counted.
	isExplained bool
}

func (b *Balancer) newPick(now time.Time, endpoints []*catalog.Endpoint, r Request) pick {
	p := pick{Balancer: b, request: r, now: now}
	if b.Choice != ByCost || len(endpoints) == 0 || !hasTimes(endpoints[0].Engine) {
		return p
	}
	e := endpoints[0]
	p.byCost, p.times, p.timeLeft = true, b.Times.Times(e.Service, e.Engine, e.Model), r.ObjectiveAt.Sub(now)
	return p
}

// hasTimes reports whether the engine publishes the times from which first events are predicted.
func hasTimes(engine *cluster.Engine) bool {
	return engine != nil && engine.StepTime > 0
}

// leastUtilised returns the endpoint with the lowest utilisation that may be chosen and admits the
// request.
func (p *pick) leastUtilised(endpoints []*catalog.Endpoint) *catalog.Endpoint {
	for excluded := []ident.Instance(nil); ; {
		i := p.leastIndex(endpoints, excluded)
		if i < 0 {
			return nil
		}
		if p.admits(endpoints[i]) {
			return endpoints[i]
		}
		excluded = append(excluded, endpoints[i].ID)
	}
}

// leastIndex returns the index of the endpoint with the lowest utilisation that may be chosen and is
// not excluded, negative if there is none.
func (p *pick) leastIndex(endpoints []*catalog.Endpoint, excluded []ident.Instance) int {
	best, lowest := -1, 0.0
	for i, e := range endpoints {
		if !p.mayChoose(e) || slices.Contains(excluded, e.ID) {
			continue
		}
		if used := p.utilisation(e) + tieBreakRange*rand.Float64(); best < 0 || used < lowest {
			best, lowest = i, used
		}
	}
	return best
}

// Exclusion is the reason for which an endpoint may not be chosen; it is empty if it may.
type Exclusion string

// The reasons. By expected loss, NoFreeSlot says that the replica has no room until the counts are
// renewed.
const (
	Failed     Exclusion = "avoided after a failure"
	Tried      Exclusion = "was tried"
	AtLimit    Exclusion = "at the limit that it names, or wants a pause"
	NoFreeSlot Exclusion = "no free slot"
	CacheFull  Exclusion = "no room in the KV cache"
	AtColdRate Exclusion = "cold, and takes no further request of this daemon yet"
)

// exclusion returns why the endpoint may not be chosen.
func (p *pick) exclusion(e *catalog.Endpoint) Exclusion {
	switch {
	case !p.includeAvoided && e.Load.Avoided(p.now):
		return Failed
	case slices.Contains(p.request.Tried, e.ID):
		return Tried
	case !p.Limits.Available(p.now, e):
		return AtLimit
	case !p.hasFreeSlot(e):
		return NoFreeSlot
	case p.byCost && !p.fitsCache(e):
		return CacheFull
	}
	return ""
}

// mayChoose reports whether nothing excludes the endpoint.
func (p *pick) mayChoose(e *catalog.Endpoint) bool {
	return p.exclusion(e) == ""
}

// admits reports whether the endpoint takes the request within its cold rate and the limit that it
// names, and counts the request against them.
func (p *pick) admits(e *catalog.Endpoint) bool {
	return p.admitCold(p.now, e) && p.Limits.Admit(p.now, e)
}

// Choice by count in a large fleet. With more than maxInformedDaemons daemons, the counts of the other
// daemons' requests are up to seconds old. Daemons that all chose the endpoint with the lowest count
// would meet there, so each one chooses among sampleSize endpoints of its data centre and as many of
// any. From sampleDraws draws it gets that many of its own in up to eight data centres.
const (
	maxInformedDaemons = 100
	sampleSize         = 3
	sampleDraws        = 24
)

// sample appends random endpoints to the empty list, size of this data centre and as many of any. An
// endpoint may be drawn twice.
func (b *Balancer) sample(endpoints, drawn []*catalog.Endpoint, size int) []*catalog.Endpoint {
	if len(endpoints) == 0 {
		return drawn
	}
	local, other := 0, 0
	for draws := 0; draws < sampleDraws && local+other < 2*size; draws++ {
		e := endpoints[rand.IntN(len(endpoints))]
		switch {
		case e.DataCentre == b.DataCentre && local < size:
			local++
		case other < size:
			other++
		default:
			continue
		}
		drawn = append(drawn, e)
	}
	return drawn
}

// tieBreakRange is the range of the random number added to a utilisation, so that daemons
// with equal counts choose different endpoints.
const tieBreakRange = 0.04

// usedShare returns the share of the endpoint's slots that is in use.
func usedShare(e *catalog.Endpoint) float64 {
	return float64(e.Load.TotalInFlight()) / float64(max(e.Slots, 1))
}

// utilisation returns the share of the endpoint's slots that is in use, plus the penalty for
// another data centre. The tie-break is added to it.
func (b *Balancer) utilisation(e *catalog.Endpoint) float64 {
	used := usedShare(e)
	if e.DataCentre != b.DataCentre {
		used += b.RemotePenalty
	}
	return used
}

// hasFreeSlot reports whether the endpoint may get another request: by count if one of the slots that the
// request may use is free, by expected loss if there is room.
func (p *pick) hasFreeSlot(e *catalog.Endpoint) bool {
	if e.Engine == nil {
		return usedShare(e) < 1+p.PlainQueueRatio
	}
	if p.byCost {
		return p.roomOf(e) > 0
	}
	return usedShare(e) < p.request.MaxUtilisation
}

// admitCold reports whether this daemon may send another request to a server. It counts
// requests to a cold server against this daemon's part of the server's cold rate.
func (b *Balancer) admitCold(now time.Time, e *catalog.Endpoint) bool {
	if !isCold(now, e) {
		return true
	}
	rate, phase := b.coldShare(e)
	return e.Load.AdmitCold(now, rate, phase)
}

// isCold reports whether the server takes requests at its cold rate only.
func isCold(now time.Time, e *catalog.Endpoint) bool {
	return e.ColdRate > 0 && now.Sub(e.ReceivedAt) < e.ColdFor
}

// coldShare returns this daemon's part of the server's cold rate in requests a second, and its phase.
func (b *Balancer) coldShare(e *catalog.Endpoint) (rate, phase float64) {
	position, count := b.Daemons.DaemonPosition()
	daemons := float64(max(count, 1))
	return e.ColdRate * b.ColdRateFraction / daemons, float64(position) / daemons
}
