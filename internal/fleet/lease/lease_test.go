package lease

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/store"
	"cuminbay/internal/standin/singlekey"
)

// TestLease guards against a holder that goes on after its lease may have
// lapsed, and against two holders after a lost answer.
func TestLease(t *testing.T) {
	const ttl = 10 * time.Second
	tests := map[string]struct {
		before func(*singlekey.Store)
		after  func(*singlekey.Store, *clockwork.FakeClock)
		first  bool
		second bool
	}{
		"free":  {first: true, second: true},
		"taken": {before: func(p *singlekey.Store) { p.Entry = store.Entry{Revision: 1, Value: []byte("e"), Lease: 9} }},
		"own name of an earlier boot": {
			before: func(p *singlekey.Store) { p.Entry = store.Entry{Revision: 1, Value: []byte("d"), Lease: 9} },
		},
		"answer lost": {before: func(p *singlekey.Store) { p.LoseAnswer = true }, second: true},
		"lapsed":      {after: func(p *singlekey.Store, _ *clockwork.FakeClock) { p.TTL = 0 }, first: true},
		"platform down for a short time": {
			after: func(p *singlekey.Store, clk *clockwork.FakeClock) {
				p.Unavailable = true
				clk.Advance(ttl/2 + time.Second)
			},
			first: true, second: true,
		},
		"platform down until the margin": {
			after: func(p *singlekey.Store, clk *clockwork.FakeClock) { p.Unavailable = true; clk.Advance(8 * time.Second) },
			first: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			p := &singlekey.Store{TTL: ttl}
			if test.before != nil {
				test.before(p)
			}
			l := New(p, clk, "key", "d", ttl)
			_ = l.AcquireOrRenew(context.Background())
			c.Assert(l.IsHeld(), qt.Equals, test.first)
			if test.after != nil {
				test.after(p, clk)
			}
			_ = l.AcquireOrRenew(context.Background())
			c.Assert(l.IsHeld(), qt.Equals, test.second)
		})
	}
}
