package cold_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/cold"
)

// TestDelegates guards against one quota being with two owners at once.
func TestDelegates(t *testing.T) {
	start := time.Unix(1_000, 0)
	type step struct {
		at    time.Duration
		owner ident.Instance
		want  bool
	}
	tests := map[string][]step{
		"not within a delegation's time of the start": {
			{0, "a", false}, {time.Second, "a", false}, {2 * time.Second, "a", false}, {2100 * time.Millisecond, "a", true},
		},
		"not before the owner has sent a token": {{3 * time.Second, "a", false}, {3300 * time.Millisecond, "a", true}},
		"not to another before the first has run out": {
			{3 * time.Second, "a", false},
			{4 * time.Second, "a", true},
			{4300 * time.Millisecond, "b", false},
			{6 * time.Second, "b", false},
			{6100 * time.Millisecond, "b", true},
		},
		"again to the first at once": {
			{3 * time.Second, "a", false},
			{4 * time.Second, "a", true},
			{4300 * time.Millisecond, "b", false},
			{4600 * time.Millisecond, "a", false},
			{4900 * time.Millisecond, "a", true},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := cold.NewDelegator(cold.Options{Incarnation: 1, Start: start, TTL: ttl, MaxHold: maxHold})
			for _, s := range steps {
				a := q.NewRequest(cold.EndpointDemand{Endpoint: endpoint, Owner: s.owner, Limit: 2, Daemons: 3}, start.Add(s.at))
				c.Assert(a.Delegates, qt.Equals, s.want, qt.Commentf("at %s to %s", s.at, s.owner))
				_, _, ok := q.AcceptGrant(s.owner, cold.Grant{Endpoint: endpoint, Sequence: a.Sequence, Token: cold.ClockToken{Incarnation: 9}})
				c.Assert(ok, qt.IsTrue)
				_, _, ok = q.AcceptGrant(s.owner, cold.Grant{Endpoint: endpoint, Sequence: a.Sequence - 1, Requests: 1})
				c.Assert(ok, qt.IsFalse)
			}
		})
	}
}

// TestLate guards against a delegation or a grant that outlasts its quota
// because a message took long.
func TestLate(t *testing.T) {
	start := time.Unix(1_000, 0)
	tests := map[string]struct {
		delay    time.Duration
		boot     uint64
		granted  bool
		duration time.Duration
	}{
		"at once":                     {boot: 9, granted: true, duration: 1980 * time.Millisecond},
		"after a second":              {delay: time.Second, boot: 9, granted: true, duration: 980 * time.Millisecond},
		"after a delegation's time":   {delay: 1980 * time.Millisecond, boot: 9},
		"with a token of an old boot": {boot: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := cold.NewGranter(cold.Options{Incarnation: 9, Start: start, TTL: ttl, MaxHold: maxHold})
			request := func(sequence unit.Sequence, token, at time.Duration) cold.Grant {
				return d.Grant("a", cold.GrantRequest{
					Endpoint: endpoint, Limit: 2, Daemons: 1, Incarnation: 1, Sequence: sequence,
					Token: cold.ClockToken{Incarnation: test.boot, Elapsed: token}, Delegates: true, Demand: 2,
				}, start.Add(at))
			}
			request(1, 0, 0)
			token := 100 * time.Millisecond
			g := request(2, token, token+test.delay)
			c.Assert(g.Requests > 0, qt.Equals, test.granted)
			c.Assert(g.Duration, qt.Equals, test.duration)
		})
	}
}

// TestHeld guards against a new owner that doesn't count a grant of the one
// before which is still in force but not yet used.
func TestHeld(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000, 0)
	q := cold.NewDelegator(cold.Options{Incarnation: 1, Start: start, TTL: ttl, MaxHold: maxHold})
	demand := cold.EndpointDemand{Endpoint: endpoint, Owner: "a", Limit: 2, Daemons: 1}
	a := q.NewRequest(demand, start)
	q.AcceptGrant("a", cold.Grant{Endpoint: endpoint, Sequence: a.Sequence, Requests: 2, Duration: time.Second})
	demand.Owner = "b"
	c.Assert(q.NewRequest(demand, start.Add(900*time.Millisecond)).Outstanding, qt.Equals, unit.Requests(2))
	c.Assert(q.NewRequest(demand, start.Add(time.Second)).Outstanding, qt.Equals, unit.Requests(0))
}
