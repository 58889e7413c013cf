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

// TestShares guards against a large organisation that starves a small one while capacity
// is short, and against limiting organisations to their shares while it is not.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		largeWeight, smallWeight unit.Weight
		limit                    unit.Requests
		requests                 int
		wantAdmitted             int
	}{
		"alone, up to the capacity":                    {largeWeight: 1, requests: 200, wantAdmitted: 100},
		"alone, up to its limit":                       {largeWeight: 1, limit: 5, requests: 200, wantAdmitted: 5},
		"equal weights, up to the shortage threshold":  {largeWeight: 1, smallWeight: 1, requests: 200, wantAdmitted: 80},
		"larger weight, larger share":                  {largeWeight: 9, smallWeight: 1, requests: 200, wantAdmitted: 90},
		"smaller weight, below the shortage threshold": {largeWeight: 1, smallWeight: 9, requests: 79, wantAdmitted: 79},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := admit.NewShares()
			if test.smallWeight > 0 {
				_, err := s.Admit(&record.Organisation{Name: "small", Weight: test.smallWeight}, 100)
				c.Assert(err, qt.IsNil)
			}
			large := &record.Organisation{Name: "large", Weight: test.largeWeight, Limit: test.limit}
			admitted := 0
			for range test.requests {
				if _, err := s.Admit(large, 100); err == nil {
					admitted++
				} else {
					c.Assert(code.Of(err), qt.Equals, code.OverShare)
					c.Assert(code.RetryAfter(err) > 0, qt.IsTrue)
				}
			}
			// One request of the small organisation counts towards the total.
			c.Assert(admitted >= test.wantAdmitted-1 && admitted <= test.wantAdmitted, qt.IsTrue, qt.Commentf("admitted %d", admitted))
		})
	}
}

// TestPreview guards against a preview that counts as a request, or whose load differs from that of a
// real request.
func TestPreview(t *testing.T) {
	c := qt.New(t)
	s := admit.NewShares()
	o := &record.Organisation{Name: "o", Weight: 2}
	for n := range 3 {
		preview := s.Preview(o)
		previewed := preview.LoadPerWeight()
		c.Check(s.InFlight(), qt.Equals, unit.Requests(n))
		admission, err := s.Admit(o, 100)
		c.Assert(err, qt.IsNil)
		c.Check(previewed, qt.Equals, admission.LoadPerWeight())
		preview.Release()
		c.Check(s.InFlight(), qt.Equals, unit.Requests(n+1))
	}
}

// TestQueueOrder guards against a wake-up of a request that has a lower priority, or whose
// organisation has more requests in flight.
func TestQueueOrder(t *testing.T) {
	clk := clockwork.NewFakeClock()
	tests := map[string]struct {
		priorities map[ident.Organisation]unit.Priority
		loaded     ident.Organisation
		want       ident.Organisation
	}{
		"higher priority first": {priorities: map[ident.Organisation]unit.Priority{"a": 0, "b": 5}, want: "b"},
		"less loaded first":     {priorities: map[ident.Organisation]unit.Priority{"a": 0, "b": 0}, loaded: "a", want: "b"},
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
			if test.loaded != "" {
				_, err := s.Admit(&record.Organisation{Name: test.loaded, Weight: 1}, 100)
				c.Assert(err, qt.IsNil)
			}
			for o, priority := range test.priorities {
				admission, err := s.Admit(&record.Organisation{Name: o, Weight: 1}, 100)
				c.Assert(err, qt.IsNil)
				firstTry := true
				go q.Wait(ctx, admit.WaitRequest{Key: "m", Priority: priority, Received: clk.Now(), Admission: admission, Deadline: clk.Now().Add(time.Hour)}, func(admit.Turn) bool {
					if firstTry {
						firstTry = false
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

// TestRetryBudget guards against retries that multiply the load of a fault: if all of many
// requests fail, about a tenth of them may be retried.
func TestRetryBudget(t *testing.T) {
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
