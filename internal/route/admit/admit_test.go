package admit_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/route/admit"
)

// TestShares guards against a large organisation starving a small one while
// capacity is short, and against shares being enforced while it is not.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		large, small unit.Weight
		limit        unit.Requests
		offered      int
		wantLarge    int
	}{
		"alone it may fill the capacity":      {large: 1, offered: 200, wantLarge: 100},
		"its own limit comes first":           {large: 1, limit: 5, offered: 200, wantLarge: 5},
		"an equal weight leaves room unused":  {large: 1, small: 1, offered: 200, wantLarge: 80},
		"a larger weight has a larger share":  {large: 9, small: 1, offered: 200, wantLarge: 90},
		"below the short mark nobody is held": {large: 1, small: 9, offered: 79, wantLarge: 79},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := admit.NewShares()
			if test.small > 0 {
				_, err := s.Admit(&record.Organisation{Name: "small", Weight: test.small}, 100)
				c.Assert(err, qt.IsNil)
			}
			large := &record.Organisation{Name: "large", Weight: test.large, Limit: test.limit}
			got := 0
			for range test.offered {
				if _, err := s.Admit(large, 100); err == nil {
					got++
				} else {
					c.Assert(code.Of(err), qt.Equals, code.OverShare)
					c.Assert(code.RetryAfter(err) > 0, qt.IsTrue)
				}
			}
			// One request of the small organisation counts towards the total.
			c.Assert(got >= test.wantLarge-1 && got <= test.wantLarge, qt.IsTrue, qt.Commentf("admitted %d", got))
		})
	}
}

// TestQueueOrder guards against a freed place going to a request that has a
// lower priority or whose organisation already has more.
func TestQueueOrder(t *testing.T) {
	clk := clockwork.NewFakeClock()
	tests := map[string]struct {
		priorities map[ident.Organisation]unit.Priority
		busy       ident.Organisation
		want       ident.Organisation
	}{
		"higher priority first": {priorities: map[ident.Organisation]unit.Priority{"a": 0, "b": 5}, want: "b"},
		"less loaded first":     {priorities: map[ident.Organisation]unit.Priority{"a": 0, "b": 0}, busy: "a", want: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := admit.NewQueue(admit.QueueOptions{Clock: clk, Limit: 10, RecheckInterval: time.Hour})
			s := admit.NewShares()
			served := make(chan ident.Organisation, 2)
			tried := make(chan struct{}, 10)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.busy != "" {
				_, err := s.Admit(&record.Organisation{Name: test.busy, Weight: 1}, 100)
				c.Assert(err, qt.IsNil)
			}
			for o, priority := range test.priorities {
				place, err := s.Admit(&record.Organisation{Name: o, Weight: 1}, 100)
				c.Assert(err, qt.IsNil)
				first := true
				go q.Wait(ctx, admit.WaitRequest{Key: "m", Priority: priority, Received: clk.Now(), Admission: place, Deadline: clk.Now().Add(time.Hour)}, func() bool {
					if first {
						first = false
						tried <- struct{}{}
						return false
					}
					served <- o
					return true
				})
			}
			<-tried
			<-tried
			q.Wake("other")
			q.Wake("m")
			c.Assert(<-served, qt.Equals, test.want)
		})
	}
}

// TestBudget guards against retries multiplying the load of a fault: of many
// requests that all fail, about a tenth may be retried.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	b := admit.NewRetryBudget()
	const requests = 10_000
	retries := 0
	for range requests {
		b.RecordRequest()
		for b.AllowRetry() {
			retries++
		}
	}
	c.Assert(retries <= requests/10+20, qt.IsTrue, qt.Commentf("%d retries", retries))
	c.Assert(retries >= requests/10, qt.IsTrue, qt.Commentf("%d retries", retries))
}
