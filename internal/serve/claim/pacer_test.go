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

func isGranted(r *writeRequest) bool {
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
	c.Assert(isGranted(p.requestWrite(terminalWrite)), qt.IsTrue)
	c.Assert(isGranted(p.requestWrite(claimWrite)), qt.IsTrue)
	terminal, promoted, cancelled := p.requestWrite(terminalWrite), p.requestWrite(terminalWrite), p.requestWrite(claimWrite)
	first, second := p.requestWrite(claimWrite), p.requestWrite(claimWrite)
	p.promoteRequest(promoted)
	retry := p.requestWrite(retryWrite)
	p.cancelRequest(cancelled)
	order := []*writeRequest{retry, first, second, promoted, terminal}
	for i, next := range order {
		for _, other := range order[i:] {
			c.Assert(isGranted(other), qt.IsFalse)
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
			c.Assert(isGranted(terminal), qt.IsFalse)
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
	claims.StartWriters(func(f func(context.Context)) { go f(t.Context()) })
	startedAt := clk.Now()
	results := make(chan error)
	for i := range 500 {
		go func() {
			permit, err := claims.Claim(t.Context(), ident.IdempotencyKey(fmt.Sprint(i)), "org", 1)
			if err == nil {
				permit.Release()
			}
			results <- err
		}()
	}
	for range 500 {
		c.Check(<-results, qt.IsNil)
	}
	c.Assert(claims.Drain(t.Context()), qt.IsNil)
	c.Assert(float64(claims.WriteCount()) <= 2+40*clk.Since(startedAt).Seconds(), qt.IsTrue)
}
