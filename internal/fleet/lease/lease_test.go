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

// TestLease guards against a daemon that acts as the holder after its lease may
// have expired, and against two holders after a lost answer.
func TestLease(t *testing.T) {
	const ttl = 10 * time.Second
	tests := map[string]struct {
		prepare         func(*singlekey.Store)
		change          func(*singlekey.Store, *clockwork.FakeClock)
		heldFirst       bool
		heldAfterChange bool
	}{
		"key is free":            {heldFirst: true, heldAfterChange: true},
		"held by another daemon": {prepare: func(s *singlekey.Store) { s.Entry = store.Entry{Revision: 1, Value: []byte("e"), Lease: 9} }},
		"held by an earlier incarnation": {
			prepare: func(s *singlekey.Store) { s.Entry = store.Entry{Revision: 1, Value: []byte("d"), Lease: 9} },
		},
		"answer to the write lost":   {prepare: func(s *singlekey.Store) { s.LoseAnswer = true }, heldAfterChange: true},
		"lease expired in the store": {change: func(s *singlekey.Store, _ *clockwork.FakeClock) { s.TTL = 0 }, heldFirst: true},
		"store unavailable for a short time": {
			change: func(s *singlekey.Store, clk *clockwork.FakeClock) {
				s.Unavailable = true
				clk.Advance(ttl/2 + time.Second)
			},
			heldFirst: true, heldAfterChange: true,
		},
		"store unavailable until the safety margin": {
			change:    func(s *singlekey.Store, clk *clockwork.FakeClock) { s.Unavailable = true; clk.Advance(8 * time.Second) },
			heldFirst: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			s := &singlekey.Store{TTL: ttl}
			if test.prepare != nil {
				test.prepare(s)
			}
			l := New(s, clk, "key", "d", ttl)
			_ = l.AcquireOrRenew(context.Background())
			c.Assert(l.IsHeld(), qt.Equals, test.heldFirst)
			if test.change != nil {
				test.change(s, clk)
			}
			_ = l.AcquireOrRenew(context.Background())
			c.Assert(l.IsHeld(), qt.Equals, test.heldAfterChange)
		})
	}
}
