package table_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/route/table"
)

// TestAcquire guards against more requests to a cold endpoint than its cold grant, and
// to a warm endpoint than its limit.
func TestAcquire(t *testing.T) {
	now := time.Unix(1_000, 0)
	tests := map[string]struct {
		cold          bool
		coldGrant     unit.Requests
		grantUntil    time.Time
		limit         unit.Requests
		suspectedCold bool
		want          int
	}{
		"warm, up to the limit":      {limit: 3, want: 3},
		"cold without a grant":       {cold: true, limit: 3, want: 0},
		"cold, up to the grant":      {cold: true, limit: 3, coldGrant: 1, grantUntil: now.Add(time.Second), want: 1},
		"cold with an expired grant": {cold: true, limit: 3, coldGrant: 1, grantUntil: now, want: 0},
		"warm, suspected to be cold": {limit: 3, suspectedCold: true, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := table.Endpoint{Cold: test.cold, Limit: test.limit, Load: new(table.Load)}
			e.Load.SetColdGrant(test.coldGrant, test.grantUntil)
			if test.suspectedCold {
				e.Load.ObserveFirstToken(100 * time.Millisecond)
				for range 3 {
					e.Load.ObserveFirstToken(time.Second)
				}
			}
			acquired := 0
			for e.Acquire(now) {
				acquired++
			}
			c.Assert(acquired, qt.Equals, test.want)
		})
	}
}
