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
	begin := time.Unix(1_000, 0)
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
			q := cold.NewQuota(cold.Options{Boot: 1, Start: begin, TTL: ttl, MaxHold: maxHold})
			for _, s := range steps {
				a := q.Ask(cold.Need{Endpoint: endpoint, Owner: s.owner, Limit: 2, Daemons: 3}, begin.Add(s.at))
				c.Assert(a.Delegates, qt.Equals, s.want, qt.Commentf("at %s to %s", s.at, s.owner))
				_, _, ok := q.Accept(s.owner, cold.Grant{Endpoint: endpoint, Sequence: a.Sequence, Token: cold.Token{Boot: 9}})
				c.Assert(ok, qt.IsTrue)
				_, _, ok = q.Accept(s.owner, cold.Grant{Endpoint: endpoint, Sequence: a.Sequence - 1, Requests: 1})
				c.Assert(ok, qt.IsFalse)
			}
		})
	}
}

// TestLate guards against a delegation or a grant that outlasts its quota
// because a message took long.
func TestLate(t *testing.T) {
	begin := time.Unix(1_000, 0)
	tests := map[string]struct {
		late time.Duration
		boot uint64
		want bool
		most time.Duration
	}{
		"at once":                     {boot: 9, want: true, most: 1980 * time.Millisecond},
		"after a second":              {late: time.Second, boot: 9, want: true, most: 980 * time.Millisecond},
		"after a delegation's time":   {late: 1980 * time.Millisecond, boot: 9},
		"with a token of an old boot": {boot: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := cold.NewDelegations(cold.Options{Boot: 9, Start: begin, TTL: ttl, MaxHold: maxHold})
			ask := func(sequence unit.Sequence, token, at time.Duration) cold.Grant {
				return d.Answer("a", cold.Ask{
					Endpoint: endpoint, Limit: 2, Daemons: 1, Boot: 1, Sequence: sequence,
					Token: cold.Token{Boot: test.boot, At: token}, Delegates: true, Demand: 2,
				}, begin.Add(at))
			}
			ask(1, 0, 0)
			token := 100 * time.Millisecond
			g := ask(2, token, token+test.late)
			c.Assert(g.Requests > 0, qt.Equals, test.want)
			c.Assert(g.For, qt.Equals, test.most)
		})
	}
}

// TestHeld guards against a new owner that doesn't count a grant of the one
// before which is still in force but not yet used.
func TestHeld(t *testing.T) {
	c := qt.New(t)
	begin := time.Unix(1_000, 0)
	q := cold.NewQuota(cold.Options{Boot: 1, Start: begin, TTL: ttl, MaxHold: maxHold})
	need := cold.Need{Endpoint: endpoint, Owner: "a", Limit: 2, Daemons: 1}
	a := q.Ask(need, begin)
	q.Accept("a", cold.Grant{Endpoint: endpoint, Sequence: a.Sequence, Requests: 2, For: time.Second})
	need.Owner = "b"
	c.Assert(q.Ask(need, begin.Add(900*time.Millisecond)).Held, qt.Equals, unit.Requests(2))
	c.Assert(q.Ask(need, begin.Add(time.Second)).Held, qt.Equals, unit.Requests(0))
}
