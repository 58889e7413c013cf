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

var now = time.Unix(1_000, 0)

type picker interface {
	Pick(now time.Time, endpoints []*table.Endpoint, r *work.Request) *table.Endpoint
}

func policies() map[string]picker {
	return map[string]picker{
		"random2":  policy.Random2{},
		"estimate": policy.NewLeastCost(policy.LeastCostOptions{CacheEntries: 1 << 10}),
	}
}

func endpoints(n int) []*table.Endpoint {
	list := make([]table.Endpoint, n)
	for i := range list {
		list[i] = table.Endpoint{
			ID:     ident.Endpoint(fmt.Sprintf("r%05d", i)),
			Models: []ident.Model{"m"},
			Limit:  64,
		}
	}
	p := table.NewPublisher()
	p.Publish(list)
	return p.Current().ModelEndpoints("m", "o")
}

// TestPickSkipsFull guards against a full endpoint being chosen while another
// has room, and against a choice when none has.
func TestPickSkipsFull(t *testing.T) {
	for name, p := range policies() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			list := endpoints(3)
			for _, e := range list[:2] {
				for e.Acquire(now) {
				}
			}
			for range 100 {
				c.Assert(p.Pick(now, list, &work.Request{}), qt.Equals, list[2])
			}
			list[2].Load.Avoid(now.Add(time.Second))
			c.Assert(p.Pick(now, list, &work.Request{}), qt.IsNil)
			c.Assert(p.Pick(now, nil, &work.Request{}), qt.IsNil)
		})
	}
}

// TestEstimateAffinity guards against losing cache hits while an endpoint is
// idle, and against queueing for a hit behind more work than it saves.
func TestEstimateAffinity(t *testing.T) {
	tests := map[string]struct {
		waiting unit.Requests
		stays   bool
	}{
		"idle holder keeps the prompt":    {waiting: 0, stays: true},
		"loaded holder loses the request": {waiting: 20, stays: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := policy.NewLeastCost(policy.LeastCostOptions{CacheEntries: 1 << 10})
			list := endpoints(50)
			r := &work.Request{PrefixHashes: work.HashPrefix("m", make([]byte, 4096))}
			holder := p.Pick(now, list, r)
			publishCounts(holder, test.waiting)
			stayed := 0
			const tries = 100
			for range tries {
				if p.Pick(now, list, r) == holder {
					stayed++
				}
			}
			if test.stays {
				c.Assert(stayed, qt.Equals, tries)
			} else {
				c.Assert(stayed < tries/10, qt.IsTrue, qt.Commentf("stayed %d of %d", stayed, tries))
			}
		})
	}
}

// publishCounts gives the endpoint a reported queue, through a publisher of
// its own that shares the load.
func publishCounts(e *table.Endpoint, waiting unit.Requests) {
	e.Load.SetReported(table.Counts{Waiting: waiting})
}

// TestAdaptiveLimit guards against a limit that does not fall under slow first
// tokens or does not recover.
func TestAdaptiveLimit(t *testing.T) {
	c := qt.New(t)
	p := policy.NewLeastCost(policy.LeastCostOptions{Limits: policy.LimitOptions{Min: 2, FirstTokenTarget: time.Second}})
	e := endpoints(1)[0]
	for range 100 {
		p.ObserveFirstToken(e, nil, 1500*time.Millisecond)
	}
	c.Assert(e.Load.Limit(), qt.Equals, unit.Requests(2))
	for e.Acquire(now) {
	}
	for range 3 {
		p.ObserveFirstToken(e, nil, 100*time.Millisecond)
	}
	c.Assert(e.Load.Limit() > 2, qt.IsTrue)
}

// BenchmarkPick measures a routing decision: table lookup, choice, acquire and
// release.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 12_000} {
		for name, p := range policies() {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				list := endpoints(n)
				r := &work.Request{PrefixHashes: work.HashPrefix("m", make([]byte, 4096))}
				b.ReportAllocs()
				for b.Loop() {
					e := p.Pick(now, list, r)
					if e != nil && e.Acquire(now) {
						e.Release()
					}
				}
			})
		}
	}
}
