// Package policy holds the routing policies, by which the dispatcher chooses an endpoint
// for a request. They are plug-ins; the setting policy.name selects one.
package policy

import (
	"math/rand/v2"
	"time"

	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

// Random2 chooses two random endpoints, picks the endpoint with more free slots, and does
// not change limits. It is the baseline to which other policies are compared.
type Random2 struct{}

// Pick chooses two random endpoints and returns the endpoint with more free slots. If both
// are at their limits, it returns another endpoint with a free slot, or nil if it finds none.
func (Random2) Pick(now time.Time, endpoints []*table.Endpoint, _ *work.Request) *table.Endpoint {
	chosen := randomEndpoint(endpoints)
	other := randomEndpoint(endpoints)
	if chosen == nil {
		return nil
	}
	if freeSlots(other, now) > freeSlots(chosen, now) {
		chosen = other
	}
	if freeSlots(chosen, now) > 0 {
		return chosen
	}
	return firstFreeEndpoint(now, endpoints)
}

// ObserveFirstToken records the time to a first token. It does not change the limit.
func (Random2) ObserveFirstToken(e *table.Endpoint, _ *work.Request, firstToken time.Duration) {
	e.Load.ObserveFirstToken(firstToken)
}

// EstimateFirstToken returns the estimated time to the first token, or zero if it is
// unknown.
func (Random2) EstimateFirstToken(e *table.Endpoint, _ *work.Request) time.Duration {
	return e.Load.FirstTokenTime()
}

func randomEndpoint(endpoints []*table.Endpoint) *table.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	return endpoints[rand.IntN(len(endpoints))]
}

// freeSlots returns the number of further requests that the endpoint can get.
func freeSlots(e *table.Endpoint, now time.Time) int64 {
	return int64(e.EffectiveLimit(now) - e.Load.InFlight())
}

// maxScannedEndpoints bounds the endpoints that firstFreeEndpoint checks, so that a
// decision stays cheap when most of 12,000 endpoints are at their limits.
const maxScannedEndpoints = 64

// firstFreeEndpoint returns the first endpoint with a free slot, from a random start, or
// nil if it finds none.
func firstFreeEndpoint(now time.Time, endpoints []*table.Endpoint) *table.Endpoint {
	n := len(endpoints)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	for i := range min(n, maxScannedEndpoints) {
		e := endpoints[(start+i)%n]
		if freeSlots(e, now) > 0 {
			return e
		}
	}
	return nil
}
