package policy

import (
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

// LeastCost picks the endpoint with the lowest estimated cost among up to two that
// probably cache the prompt's prefix and two random ones. An endpoint that caches the
// prefix is therefore not chosen if the wait for it costs more than the cache hit saves.
type LeastCost struct {
	prefixes *prefixIndex
	limits   LimitOptions
}

// LeastCostOptions are the settings of LeastCost.
type LeastCostOptions struct {
	// CacheEntries bounds the number of prefixes that are recorded.
	CacheEntries int
	Limits       LimitOptions
}

// NewLeastCost returns the policy without recorded prefixes.
func NewLeastCost(o LeastCostOptions) *LeastCost {
	return &LeastCost{prefixes: newPrefixIndex(o.CacheEntries), limits: o.Limits}
}

// defaultFirstTokenTime is the assumed time to the first token of an endpoint without
// observations.
const defaultFirstTokenTime = 200 * time.Millisecond

// The unit of cost is the time to the first token of an idle endpoint.
const (
	// waitingCost and runningCost are the costs of each waiting and each running
	// request. An engine runs its requests as a batch, so a running request costs
	// far less than a waiting one. The cost is not negligible, as a larger batch
	// slows down every request in it.
	waitingCost = 0.5
	runningCost = 0.1
	// cacheHitSaving is the saving when the endpoint caches the whole prefix.
	cacheHitSaving = 0.8
)

// Pick returns the candidate with the lowest cost. If all candidates are at their limits,
// it returns another endpoint with a free slot, or nil if it finds none.
func (p *LeastCost) Pick(now time.Time, endpoints []*table.Endpoint, r *work.Request) *table.Endpoint {
	var candidates [4]*table.Endpoint
	n := p.prefixes.cachingEndpoints(candidates[:2], endpoints, r)
	for range 2 {
		if e := randomEndpoint(endpoints); e != nil {
			candidates[n] = e
			n++
		}
	}
	best := p.cheapestEndpoint(now, candidates[:n], r)
	if best == nil {
		best = firstFreeEndpoint(now, endpoints)
	}
	if best != nil {
		p.prefixes.recordSent(best, r)
	}
	return best
}

// cheapestEndpoint returns the candidate with the lowest cost and a free slot, or nil.
func (p *LeastCost) cheapestEndpoint(now time.Time, candidates []*table.Endpoint, r *work.Request) *table.Endpoint {
	shortestInterval := time.Duration(0)
	for _, e := range candidates {
		if interval := e.Load.TokenInterval(); interval > 0 && (shortestInterval == 0 || interval < shortestInterval) {
			shortestInterval = interval
		}
	}
	var best *table.Endpoint
	var lowest float64
	for _, e := range candidates {
		if freeSlots(e, now) <= 0 {
			continue
		}
		if cost := p.endpointCost(e, r, shortestInterval); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// endpointCost returns the cost of a request at the endpoint. It recognises slow
// endpoints by their time between tokens, compared with the shortest one of the
// candidates. The time to the first token is unsuitable: it is short where prompts are
// cached, and would direct all requests to the endpoints that already have the most.
func (p *LeastCost) endpointCost(e *table.Endpoint, r *work.Request, shortestInterval time.Duration) float64 {
	reported := e.Load.ReportedCounts()
	running := float64(max(reported.Running, e.Load.InFlight()))
	cost := 1 + waitingCost*float64(reported.Waiting) + runningCost*running
	cost -= cacheHitSaving * p.prefixes.cachedShare(e, r)
	if interval := e.Load.TokenInterval(); interval > 0 {
		cost *= float64(interval) / float64(shortestInterval)
	}
	return cost
}

// EstimateFirstToken returns the estimated time to the first token.
func (p *LeastCost) EstimateFirstToken(e *table.Endpoint, _ *work.Request) time.Duration {
	idleTime := e.Load.FirstTokenTime()
	if idleTime == 0 {
		idleTime = defaultFirstTokenTime
	}
	waiting := float64(e.Load.ReportedCounts().Waiting)
	return time.Duration(float64(idleTime) * (1 + waitingCost*waiting))
}

// ObserveFirstToken records the time to a first token and adapts the endpoint's limit.
func (p *LeastCost) ObserveFirstToken(e *table.Endpoint, _ *work.Request, firstToken time.Duration) {
	p.limits.adaptLimit(e, firstToken)
	e.Load.ObserveFirstToken(firstToken)
}

// LimitOptions are the bounds of the adaptive limit of an endpoint.
type LimitOptions struct {
	// Min is the lowest adaptive limit.
	Min unit.Requests
	// FirstTokenTarget is the time to the first token above which the limit is
	// decreased.
	FirstTokenTarget time.Duration
}

// limitDecrease is the factor by which a limit is decreased, limitStep the number of
// requests by which it is increased. With additive increase and multiplicative decrease,
// daemons that share an endpoint converge to equal limits without communication.
const (
	limitDecrease = 0.9
	limitStep     = 1
)

// adaptLimit changes the limit after a first token: down by a tenth if the token came later
// than the target, up by one if the endpoint was used to its limit.
func (l LimitOptions) adaptLimit(e *table.Endpoint, firstToken time.Duration) {
	limit := e.Load.Limit()
	if limit == 0 {
		limit = e.Limit
	}
	switch {
	case firstToken > l.FirstTokenTarget:
		limit = max(l.Min, unit.Requests(float64(limit)*limitDecrease))
	case e.Load.InFlight() >= limit:
		limit = min(e.Limit, limit+limitStep)
	default:
		return
	}
	e.Load.SetLimit(limit)
}
