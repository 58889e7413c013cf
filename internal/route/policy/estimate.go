package policy

import (
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

// Estimate takes the endpoint with the lowest estimated time to the first
// token among the one or two that probably cache the prompt's prefix and two
// random ones. So a cache hit never costs more waiting than it saves.
type Estimate struct {
	cache  *cacheIndex
	limits Limits
}

// EstimateOptions are the parts of Estimate.
type EstimateOptions struct {
	// CacheEntries bounds the prefixes remembered.
	CacheEntries int
	Limits       Limits
}

// NewEstimate returns the policy with an empty cache index.
func NewEstimate(o EstimateOptions) *Estimate {
	return &Estimate{cache: newCacheIndex(o.CacheEntries), limits: o.Limits}
}

// Costs that the estimate assumes until it has measured the endpoint.
const (
	defaultFirstToken = 200 * time.Millisecond
	// waitingShare and runningShare are the parts of a first token's time
	// that each waiting and each running request adds. An engine batches
	// what runs, so that costs far less than what waits.
	waitingShare = 0.5
	runningShare = 0.05
	// cachedShare is the part of a first token's time that a full cache hit
	// saves.
	cachedShare = 0.8
)

// Pick returns the endpoint with the lowest estimate, or nil if every endpoint
// that it looked at is at its bound.
func (p *Estimate) Pick(now time.Time, endpoints []*table.Endpoint, r *work.Request) *table.Endpoint {
	var candidates [4]*table.Endpoint
	n := p.cache.holders(candidates[:2], endpoints, r)
	for range 2 {
		if e := random(endpoints); e != nil {
			candidates[n] = e
			n++
		}
	}
	var best *table.Endpoint
	var lowest time.Duration
	for _, e := range candidates[:n] {
		if free(e, now) <= 0 {
			continue
		}
		if cost := p.Estimate(e, r); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		best = scan(now, endpoints)
	}
	if best != nil {
		p.cache.add(best, r)
	}
	return best
}

// Estimate returns the expected time to the first token.
func (p *Estimate) Estimate(e *table.Endpoint, r *work.Request) time.Duration {
	base := e.Load.FirstToken()
	if base == 0 {
		base = defaultFirstToken
	}
	reported := e.Load.Reported()
	running := float64(max(reported.Running, e.Load.InFlight()))
	cost := 1 + waitingShare*float64(reported.Waiting) + runningShare*running
	cost -= cachedShare * p.cache.share(e, r)
	return time.Duration(float64(base) * cost)
}

// FirstToken records the time to a first token and adapts the endpoint's limit.
func (p *Estimate) FirstToken(e *table.Endpoint, _ *work.Request, d time.Duration) {
	p.limits.adapt(e, d)
	e.Load.ObserveFirstToken(d)
}

// Evicted records an engine's event that it no longer caches a prefix.
func (p *Estimate) Evicted(e *table.Endpoint, h work.PrefixHash) {
	p.cache.evicted(e, h)
}

// Limits are the bounds of the adaptive limit of an endpoint.
type Limits struct {
	Least unit.Requests
	// Target is the time to the first token above which the limit falls.
	Target time.Duration
}

// limitDecrease is the factor by which a limit falls; limitStep is what it
// rises by. Additive increase with multiplicative decrease lets daemons that
// share an endpoint converge to equal parts without talking to each other.
const (
	limitDecrease = 0.9
	limitStep     = 1
)

// adapt changes the limit after a first token: down by a tenth if it came
// later than the target, up by one if the endpoint was used to its limit.
func (l Limits) adapt(e *table.Endpoint, d time.Duration) {
	limit := e.Load.Limit()
	if limit == 0 {
		limit = e.Limit
	}
	switch {
	case d > l.Target:
		limit = max(l.Least, unit.Requests(float64(limit)*limitDecrease))
	case e.Load.InFlight() >= limit:
		limit = min(e.Limit, limit+limitStep)
	default:
		return
	}
	e.Load.SetLimit(limit)
}
