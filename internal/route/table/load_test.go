package table_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/route/table"
)

// TestAcquire guards against a cold endpoint being given more requests than it
// was granted, and a warm one more than its limit.
func TestAcquire(t *testing.T) {
	now := time.Unix(1_000, 0)
	tests := map[string]struct {
		cold    bool
		grant   unit.Requests
		until   time.Time
		limit   unit.Requests
		suspect bool
		want    int
	}{
		"warm takes its limit":                {limit: 3, want: 3},
		"cold without a grant takes nothing":  {cold: true, limit: 3, want: 0},
		"cold takes what it was granted":      {cold: true, limit: 3, grant: 1, until: now.Add(time.Second), want: 1},
		"a grant that has run out is nothing": {cold: true, limit: 3, grant: 1, until: now, want: 0},
		"warm but slow counts as cold":        {limit: 3, suspect: true, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := table.Endpoint{Cold: test.cold, Limit: test.limit, Load: new(table.Load)}
			e.Load.SetColdGrant(test.grant, test.until)
			if test.suspect {
				e.Load.ObserveFirstToken(100 * time.Millisecond)
				for range 3 {
					e.Load.ObserveFirstToken(time.Second)
				}
			}
			got := 0
			for e.Acquire(now) {
				got++
			}
			c.Assert(got, qt.Equals, test.want)
		})
	}
}
