package policy

import (
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

// LeastCost takes the endpoint with the lowest estimated cost among the one or
// two that probably cache the prompt's prefix and two random ones. So a cache
// hit never costs more waiting than it saves.
type LeastCost struct {
	cache  *prefixIndex
	limits LimitOptions
}

// LeastCostOptions are the parts of Estimate.
type LeastCostOptions struct {
	// CacheEntries bounds the prefixes remembered.
	CacheEntries int
	Limits       LimitOptions
}

// NewLeastCost returns the policy with an empty cache index.
func NewLeastCost(o LeastCostOptions) *LeastCost {
	return &LeastCost{cache: newPrefixIndex(o.CacheEntries), limits: o.Limits}
}

// defaultFirstToken is assumed until an endpoint has been measured.
const defaultFirstToken = 200 * time.Millisecond

// The cost of an endpoint is counted in first tokens of an idle one.
const (
	// waitingCost and runningCost are what each waiting and each running
	// request adds. An engine batches what runs, so that costs far less than
	// what waits; but a batch that fills up slows every request in it, so it
	// must not cost too little either.
	waitingCost = 0.5
	runningCost = 0.1
	// cachedSaving is what a full cache hit saves.
	cachedSaving = 0.8
)

// Pick returns the endpoint with the lowest cost, or nil if every endpoint that
// it looked at is at its bound.
func (p *LeastCost) Pick(now time.Time, endpoints []*table.Endpoint, r *work.Request) *table.Endpoint {
	var candidates [4]*table.Endpoint
	n := p.cache.holders(candidates[:2], endpoints, r)
	for range 2 {
		if e := randomEndpoint(endpoints); e != nil {
			candidates[n] = e
			n++
		}
	}
	best := p.cheapest(now, candidates[:n], r)
	if best == nil {
		best = firstFree(now, endpoints)
	}
	if best != nil {
		p.cache.add(best, r)
	}
	return best
}

func (p *LeastCost) cheapest(now time.Time, candidates []*table.Endpoint, r *work.Request) *table.Endpoint {
	fastest := time.Duration(0)
	for _, e := range candidates {
		if t := e.Load.PerToken(); t > 0 && (fastest == 0 || t < fastest) {
			fastest = t
		}
	}
	var best *table.Endpoint
	var lowest float64
	for _, e := range candidates {
		if freeSlots(e, now) <= 0 {
			continue
		}
		if cost := p.cost(e, r, fastest); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// cost compares endpoints. A straggler is known by its time between tokens: the
// time to the first token is short where prompts are cached, and would draw
// every request to the endpoints that already have the most.
func (p *LeastCost) cost(e *table.Endpoint, r *work.Request, fastest time.Duration) float64 {
	reported := e.Load.Reported()
	running := float64(max(reported.Running, e.Load.InFlight()))
	cost := 1 + waitingCost*float64(reported.Waiting) + runningCost*running
	cost -= cachedSaving * p.cache.cachedShare(e, r)
	if t := e.Load.PerToken(); t > 0 {
		cost *= float64(t) / float64(fastest)
	}
	return cost
}

// EstimateFirstToken returns the expected time to the first token.
func (p *LeastCost) EstimateFirstToken(e *table.Endpoint, _ *work.Request) time.Duration {
	base := e.Load.FirstToken()
	if base == 0 {
		base = defaultFirstToken
	}
	waiting := float64(e.Load.Reported().Waiting)
	return time.Duration(float64(base) * (1 + waitingCost*waiting))
}

// ObserveFirstToken records the time to a first token and adapts the endpoint's limit.
func (p *LeastCost) ObserveFirstToken(e *table.Endpoint, _ *work.Request, d time.Duration) {
	p.limits.adaptLimit(e, d)
	e.Load.ObserveFirstToken(d)
}

// RecordEviction records an engine's event that it no longer caches a prefix.
func (p *LeastCost) RecordEviction(e *table.Endpoint, h work.PrefixHash) {
	p.cache.remove(e, h)
}

// LimitOptions are the bounds of the adaptive limit of an endpoint.
type LimitOptions struct {
	Min unit.Requests
	// FirstTokenTarget is the time to the first token above which the limit falls.
	FirstTokenTarget time.Duration
}

// limitDecrease is the factor by which a limit falls; limitStep is what it
// rises by. Additive increase with multiplicative decrease lets daemons that
// share an endpoint converge to equal parts without talking to each other.
const (
	limitDecrease = 0.9
	limitStep     = 1
)

// adaptLimit changes the limit after a first token: down by a tenth if it came
// later than the target, up by one if the endpoint was used to its limit.
func (l LimitOptions) adaptLimit(e *table.Endpoint, d time.Duration) {
	limit := e.Load.Limit()
	if limit == 0 {
		limit = e.Limit
	}
	switch {
	case d > l.FirstTokenTarget:
		limit = max(l.Min, unit.Requests(float64(limit)*limitDecrease))
	case e.Load.InFlight() >= limit:
		limit = min(e.Limit, limit+limitStep)
	default:
		return
	}
	e.Load.SetLimit(limit)
}
