package cold_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/cold"
)

// TestDelegates guards against a quota that is delegated to two owners at the
// same time.
func TestDelegates(t *testing.T) {
	start := time.Unix(1_000, 0)
	type step struct {
		at        time.Duration
		owner     ident.Instance
		delegates bool
	}
	tests := map[string][]step{
		"not within the lifetime of a delegation after the start": {
			{0, "a", false}, {time.Second, "a", false}, {2 * time.Second, "a", false}, {2100 * time.Millisecond, "a", true},
		},
		"not before the owner has sent a token": {{3 * time.Second, "a", false}, {3300 * time.Millisecond, "a", true}},
		"not to a second owner before the first delegation has expired": {
			{3 * time.Second, "a", false},
			{4 * time.Second, "a", true},
			{4300 * time.Millisecond, "b", false},
			{6 * time.Second, "b", false},
			{6100 * time.Millisecond, "b", true},
		},
		"to the first owner again at once": {
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
			delegator := cold.NewDelegator(cold.Options{Incarnation: 1, Start: start, TTL: ttl, MaxHold: maxHold})
			for _, s := range steps {
				request := delegator.NewRequest(cold.EndpointDemand{Endpoint: endpoint, Owner: s.owner, Limit: 2, Daemons: 3}, start.Add(s.at))
				c.Assert(request.Delegates, qt.Equals, s.delegates, qt.Commentf("at %s to %s", s.at, s.owner))
				_, _, ok := delegator.AcceptGrant(s.owner, cold.Grant{Endpoint: endpoint, Sequence: request.Sequence, Token: cold.ClockToken{Incarnation: 9}})
				c.Assert(ok, qt.IsTrue)
				_, _, ok = delegator.AcceptGrant(s.owner, cold.Grant{Endpoint: endpoint, Sequence: request.Sequence - 1, Requests: 1})
				c.Assert(ok, qt.IsFalse)
			}
		})
	}
}

// TestDelayedRequest guards against a delegation or a grant that lasts longer
// than its quota because the grant request was delayed.
func TestDelayedRequest(t *testing.T) {
	start := time.Unix(1_000, 0)
	tests := map[string]struct {
		delay       time.Duration
		incarnation uint64
		granted     bool
		duration    time.Duration
	}{
		"without delay":                          {incarnation: 9, granted: true, duration: 1980 * time.Millisecond},
		"after a second":                         {delay: time.Second, incarnation: 9, granted: true, duration: 980 * time.Millisecond},
		"after the lifetime of a delegation":     {delay: 1980 * time.Millisecond, incarnation: 9},
		"with a token of an earlier incarnation": {incarnation: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			granter := cold.NewGranter(cold.Options{Incarnation: 9, Start: start, TTL: ttl, MaxHold: maxHold})
			request := func(sequence unit.Sequence, token, at time.Duration) cold.Grant {
				return granter.Grant("a", cold.GrantRequest{
					Endpoint: endpoint, Limit: 2, Daemons: 1, Incarnation: 1, Sequence: sequence,
					Token: cold.ClockToken{Incarnation: test.incarnation, Elapsed: token}, Delegates: true, Demand: 2,
				}, start.Add(at))
			}
			request(1, 0, 0)
			token := 100 * time.Millisecond
			grant := request(2, token, token+test.delay)
			c.Assert(grant.Requests > 0, qt.Equals, test.granted)
			c.Assert(grant.Duration, qt.Equals, test.duration)
		})
	}
}

// TestOutstandingGrant guards against a new owner that doesn't count a grant of
// the former owner that is still valid but not used yet.
func TestOutstandingGrant(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000, 0)
	delegator := cold.NewDelegator(cold.Options{Incarnation: 1, Start: start, TTL: ttl, MaxHold: maxHold})
	demand := cold.EndpointDemand{Endpoint: endpoint, Owner: "a", Limit: 2, Daemons: 1}
	request := delegator.NewRequest(demand, start)
	delegator.AcceptGrant("a", cold.Grant{Endpoint: endpoint, Sequence: request.Sequence, Requests: 2, Duration: time.Second})
	demand.Owner = "b"
	c.Assert(delegator.NewRequest(demand, start.Add(900*time.Millisecond)).Outstanding, qt.Equals, unit.Requests(2))
	c.Assert(delegator.NewRequest(demand, start.Add(time.Second)).Outstanding, qt.Equals, unit.Requests(0))
}
