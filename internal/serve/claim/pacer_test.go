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

func granted(r *writeRequest) bool {
	select {
	case <-r.granted:
		return true
	default:
		return false
	}
}

// TestPacer guards against a write above the rate, a terminal state that is written
// before a claim, a shard that overtakes another one, and a returned grant that is
// lost although a request waits for it.
func TestPacer(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	p := newPacer(clk, 10, 2)
	c.Assert(granted(p.request(terminalWrite)), qt.IsTrue)
	c.Assert(granted(p.request(claimWrite)), qt.IsTrue)
	terminal, promoted, cancelled := p.request(terminalWrite), p.request(terminalWrite), p.request(claimWrite)
	first, second := p.request(claimWrite), p.request(claimWrite)
	p.promote(promoted)
	retry := p.request(retryWrite)
	p.cancel(cancelled)
	order := []*writeRequest{retry, first, second, promoted, terminal}
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
		if next == terminal {
			// Half of the burst of two stays reserved for claims.
			c.Assert(clk.BlockUntilContext(t.Context(), 1), qt.IsNil)
			c.Assert(granted(terminal), qt.IsFalse)
			clk.Advance(101 * time.Millisecond)
		}
		<-next.granted
	}
}

// TestWriteRate guards against writes above the rate when many claims arrive, and
// against claims that are refused although their shard is written in time.
func TestWriteRate(t *testing.T) {
	c := qt.New(t)
	clk := clock.Real()
	o := runClaims(t, newFakeStore(), time.Millisecond).Options
	o.Shards, o.WriteRate, o.WriteBurst = 8, 40, 2
	claims := New(o)
	claims.Run(func(f func(context.Context)) { go f(t.Context()) })
	startedAt := clk.Now()
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
	c.Assert(float64(claims.Writes()) <= 2+40*clk.Since(startedAt).Seconds(), qt.IsTrue)
}
