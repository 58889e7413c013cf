// Package policy holds the rules by which an endpoint is chosen for a request.
// They are plug-ins; the setting policy.name selects one.
package policy

import (
	"math/rand/v2"
	"time"

	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

// Random2 takes the less loaded of two random endpoints and leaves limits
// fixed. It is the baseline that other policies are measured against.
type Random2 struct{}

// Pick returns the endpoint for the request, or nil if every endpoint that it
// looked at is at its bound.
func (Random2) Pick(now time.Time, endpoints []*table.Endpoint, _ *work.Request) *table.Endpoint {
	first := randomEndpoint(endpoints)
	second := randomEndpoint(endpoints)
	if first == nil {
		return nil
	}
	if freeSlots(second, now) > freeSlots(first, now) {
		first = second
	}
	if freeSlots(first, now) > 0 {
		return first
	}
	return firstFree(now, endpoints)
}

// ObserveFirstToken records the time to a first token and leaves the limit alone.
func (Random2) ObserveFirstToken(e *table.Endpoint, _ *work.Request, d time.Duration) {
	e.Load.ObserveFirstToken(d)
}

// EstimateFirstToken returns the expected time to the first token, zero if unknown.
func (Random2) EstimateFirstToken(e *table.Endpoint, _ *work.Request) time.Duration {
	return e.Load.FirstToken()
}

// Evicted does nothing, as Random2 ignores caches.
func (Random2) Evicted(*table.Endpoint, work.PrefixHash) {}

func randomEndpoint(endpoints []*table.Endpoint) *table.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	return endpoints[rand.IntN(len(endpoints))]
}

// freeSlots returns the number of requests that the endpoint can still be given.
func freeSlots(e *table.Endpoint, now time.Time) int64 {
	return int64(e.EffectiveLimit(now) - e.Load.InFlight())
}

// scanLimit bounds the endpoints that scan looks at, so that a decision stays
// cheap when most of 12,000 endpoints are at their bound.
const scanLimit = 64

// firstFree returns the first endpoint with room from a random start, or nil.
func firstFree(now time.Time, endpoints []*table.Endpoint) *table.Endpoint {
	n := len(endpoints)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	for i := range min(n, scanLimit) {
		e := endpoints[(start+i)%n]
		if freeSlots(e, now) > 0 {
			return e
		}
	}
	return nil
}
