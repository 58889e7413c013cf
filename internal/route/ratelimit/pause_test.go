package ratelimit

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// TestPause guards against requests to a server during its pause, against a pause that a
// shorter one ends or that outlasts its time, and against a wrong number of requests that the
// servers will admit.
func TestPause(t *testing.T) {
	const second = time.Second
	rate := unit.RequestRate(1)
	tests := map[string]struct {
		pauses []time.Duration
		// limited says that the server names a limit, whose share is used up.
		limited bool
		at      time.Duration
		want    bool
		// before is the number of requests that the server admits within ten seconds.
		before unit.Requests
	}{
		"none":                   {want: true},
		"paused":                 {pauses: []time.Duration{2 * second}, at: second, before: math.MaxInt64},
		"over":                   {pauses: []time.Duration{2 * second}, at: 2 * second, want: true},
		"longer one":             {pauses: []time.Duration{second, 3 * second}, at: 2 * second, before: math.MaxInt64},
		"shorter one":            {pauses: []time.Duration{3 * second, second}, at: 2 * second, before: math.MaxInt64},
		"no time":                {pauses: []time.Duration{0}, want: true},
		"longer than the wait":   {pauses: []time.Duration{20 * second}, at: second},
		"longer than the bound":  {pauses: []time.Duration{math.MaxInt64}, at: maxPause, want: true},
		"paused, with a limit":   {pauses: []time.Duration{5 * second}, limited: true, at: 2 * second, before: 6},
		"pause over, with limit": {pauses: []time.Duration{second / 2}, limited: true, at: second / 2, before: 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			l, start := newTestLimits(clk, 0, newFixedDaemons(1)), clk.Now()
			e := newTestEndpoint(0)
			e.Load = new(catalog.Load)
			if test.limited {
				l.Observe(e, &rate)
				(*l.shares.Load())[e.Process].next.Store(0)
				c.Assert(l.Admit(start.Add(second/2), e), qt.IsTrue)
			}
			for _, d := range test.pauses {
				l.Pause(e, d)
			}
			now := start.Add(test.at)
			c.Check(l.Available(now, e), qt.Equals, test.want)
			c.Check(l.Admit(now, e), qt.Equals, test.want)
			supply, exhausted := l.Exhausted(now, []*catalog.Endpoint{e})
			c.Check(exhausted, qt.Equals, !test.want)
			if !test.want {
				c.Check(supply.Before(start.Add(10*second)), qt.Equals, test.before)
			}
		})
	}
}

// TestPausesOfManyServers guards against pauses that are kept although they are over.
func TestPausesOfManyServers(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	l := newTestLimits(clk, 0, newFixedDaemons(1))
	for i := range 100 {
		e := newTestEndpoint(i)
		e.Load = new(catalog.Load)
		l.Pause(e, 5*time.Second)
		clk.Advance(time.Second)
	}
	c.Check(len(*l.pauses.current.Load()) <= 6, qt.IsTrue)
}
