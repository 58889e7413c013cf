package policy_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/policy"
	"cuminbay/internal/route/table"
)

var testTime = time.Unix(1_000, 0)

type picker interface {
	Pick(now time.Time, endpoints []*table.Endpoint, r *work.Request) *table.Endpoint
}

func newPolicies() map[string]picker {
	return map[string]picker{
		"random2":  policy.Random2{},
		"estimate": policy.NewLeastCost(policy.LeastCostOptions{CacheEntries: 1 << 10}),
	}
}

// newEndpoints returns n endpoints with a limit of 64 requests, from a published table.
func newEndpoints(n int) []*table.Endpoint {
	endpoints := make([]table.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = table.Endpoint{
			ID:     ident.Endpoint(fmt.Sprintf("r%05d", i)),
			Models: []ident.Model{"m"},
			Limit:  64,
		}
	}
	p := table.NewPublisher()
	p.Publish(endpoints)
	return p.Current().ModelEndpoints("m", "o")
}

// TestPickSkipsFull guards against choosing an endpoint at its limit while another one has
// a free slot, and against any choice when there is no free slot.
func TestPickSkipsFull(t *testing.T) {
	for name, p := range newPolicies() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			endpoints := newEndpoints(3)
			for _, e := range endpoints[:2] {
				for e.Acquire(testTime) {
				}
			}
			for range 100 {
				c.Assert(p.Pick(testTime, endpoints, &work.Request{}), qt.Equals, endpoints[2])
			}
			endpoints[2].Load.AvoidUntil(testTime.Add(time.Second))
			c.Assert(p.Pick(testTime, endpoints, &work.Request{}), qt.IsNil)
			c.Assert(p.Pick(testTime, nil, &work.Request{}), qt.IsNil)
		})
	}
}

// TestCacheAffinity guards against lost cache hits while the caching endpoint is idle, and
// against queueing at it when the wait costs more than the cache hit saves.
func TestCacheAffinity(t *testing.T) {
	tests := map[string]struct {
		waiting  unit.Requests
		wantSame bool
	}{
		"idle endpoint gets the prompt again": {waiting: 0, wantSame: true},
		"loaded endpoint does not":            {waiting: 20, wantSame: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := policy.NewLeastCost(policy.LeastCostOptions{CacheEntries: 1 << 10})
			endpoints := newEndpoints(50)
			r := &work.Request{PrefixHashes: work.HashPrefix("m", make([]byte, 4096))}
			cachingEndpoint := p.Pick(testTime, endpoints, r)
			setWaiting(cachingEndpoint, test.waiting)
			sameChoices := 0
			const tries = 100
			for range tries {
				if p.Pick(testTime, endpoints, r) == cachingEndpoint {
					sameChoices++
				}
			}
			if test.wantSame {
				c.Assert(sameChoices, qt.Equals, tries)
			} else {
				c.Assert(sameChoices < tries/10, qt.IsTrue, qt.Commentf("%d of %d choices were the same endpoint", sameChoices, tries))
			}
		})
	}
}

// setWaiting sets the number of waiting requests that the endpoint has reported.
func setWaiting(e *table.Endpoint, waiting unit.Requests) {
	e.Load.SetReportedCounts(table.RequestCounts{Waiting: waiting})
}

// TestAdaptiveLimit guards against a limit that does not decrease after slow first tokens
// or does not recover.
func TestAdaptiveLimit(t *testing.T) {
	c := qt.New(t)
	p := policy.NewLeastCost(policy.LeastCostOptions{Limits: policy.LimitOptions{Min: 2, FirstTokenTarget: time.Second}})
	e := newEndpoints(1)[0]
	for range 100 {
		p.ObserveFirstToken(e, nil, 1500*time.Millisecond)
	}
	c.Assert(e.Load.Limit(), qt.Equals, unit.Requests(2))
	for e.Acquire(testTime) {
	}
	for range 3 {
		p.ObserveFirstToken(e, nil, 100*time.Millisecond)
	}
	c.Assert(e.Load.Limit() > 2, qt.IsTrue)
}

// BenchmarkPick measures a routing decision: Pick, Acquire and Release.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 12_000} {
		for name, p := range newPolicies() {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				endpoints := newEndpoints(n)
				r := &work.Request{PrefixHashes: work.HashPrefix("m", make([]byte, 4096))}
				b.ReportAllocs()
				for b.Loop() {
					e := p.Pick(testTime, endpoints, r)
					if e != nil && e.Acquire(testTime) {
						e.Release()
					}
				}
			})
		}
	}
}
