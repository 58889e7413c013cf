package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/clock"
)

func granted(t *writeRequest) bool {
	select {
	case <-t.granted:
		return true
	default:
		return false
	}
}

// TestPacer guards against a write above the bound, an end that is written
// before a claim, a shard that overtakes another one, and a returned write that
// is lost although a keeper waits for it.
func TestPacer(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	p := newPacer(clk, 10, 2)
	c.Assert(granted(p.request(endWrite)), qt.IsTrue)
	c.Assert(granted(p.request(claimWrite)), qt.IsTrue)
	end, raised, gone := p.request(endWrite), p.request(endWrite), p.request(claimWrite)
	first, second := p.request(claimWrite), p.request(claimWrite)
	p.promote(raised)
	again := p.request(retryWrite)
	p.cancel(gone)
	order := []*writeRequest{again, first, second, raised, end}
	for i, next := range order {
		for _, other := range order[i:] {
			c.Assert(granted(other), qt.IsFalse)
		}
		if next == second {
			p.returnGrant()
		} else {
			c.Assert(clk.BlockUntilContext(t.Context(), 1), qt.IsNil)
			clk.Advance(101 * time.Millisecond)
		}
		if next == end {
			// One write of two stays for claims.
			c.Assert(clk.BlockUntilContext(t.Context(), 1), qt.IsNil)
			c.Assert(granted(end), qt.IsFalse)
			clk.Advance(101 * time.Millisecond)
		}
		<-next.granted
	}
}

// TestWriteRate guards against writes above the bound however many claims
// arrive, and against claims that are refused although their shard's turn comes
// in time.
func TestWriteRate(t *testing.T) {
	c := qt.New(t)
	clk := clock.Real()
	o := runClaims(t, newFakePlatform(), time.Millisecond).Options
	o.Shards, o.WriteRate, o.WriteBurst = 8, 40, 2
	claims := New(o)
	claims.Run(func(f func(context.Context)) { go f(t.Context()) })
	begun := clk.Now()
	results := make(chan error)
	for i := range 500 {
		go func() {
			ticket, err := claims.Claim(t.Context(), ident.RequestKey(fmt.Sprint(i)), "org", 1)
			if err == nil {
				ticket.Release()
			}
			results <- err
		}()
	}
	for range 500 {
		c.Check(<-results, qt.IsNil)
	}
	c.Assert(claims.Drain(t.Context()), qt.IsNil)
	c.Assert(float64(claims.Writes()) <= 2+40*clk.Since(begun).Seconds(), qt.IsTrue)
}
