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
		prepare         func(*singlekey.Store)
		change          func(*singlekey.Store, *clockwork.FakeClock)
		heldFirst       bool
		heldAfterChange bool
	}{
		"free":  {heldFirst: true, heldAfterChange: true},
		"taken": {prepare: func(p *singlekey.Store) { p.Entry = store.Entry{Revision: 1, Value: []byte("e"), Lease: 9} }},
		"own name of an earlier boot": {
			prepare: func(p *singlekey.Store) { p.Entry = store.Entry{Revision: 1, Value: []byte("d"), Lease: 9} },
		},
		"answer lost": {prepare: func(p *singlekey.Store) { p.LoseAnswer = true }, heldAfterChange: true},
		"lapsed":      {change: func(p *singlekey.Store, _ *clockwork.FakeClock) { p.TTL = 0 }, heldFirst: true},
		"platform down for a short time": {
			change: func(p *singlekey.Store, clk *clockwork.FakeClock) {
				p.Unavailable = true
				clk.Advance(ttl/2 + time.Second)
			},
			heldFirst: true, heldAfterChange: true,
		},
		"platform down until the margin": {
			change:    func(p *singlekey.Store, clk *clockwork.FakeClock) { p.Unavailable = true; clk.Advance(8 * time.Second) },
			heldFirst: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			p := &singlekey.Store{TTL: ttl}
			if test.prepare != nil {
				test.prepare(p)
			}
			l := New(p, clk, "key", "d", ttl)
			_ = l.AcquireOrRenew(context.Background())
			c.Assert(l.IsHeld(), qt.Equals, test.heldFirst)
			if test.change != nil {
				test.change(p, clk)
			}
			_ = l.AcquireOrRenew(context.Background())
			c.Assert(l.IsHeld(), qt.Equals, test.heldAfterChange)
		})
	}
}
