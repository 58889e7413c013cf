package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/clock"
)

func newRunning(tb testing.TB, p *fakePlatform, endDelay time.Duration) *Claims {
	c := New(Options{
		Self: "a", Clock: clock.Real(), Platform: p, Asker: &fakePeers{},
		Rules:  Rules{Retention: 24 * time.Hour, MaxValue: 900_000},
		Shards: 1, PauseLimit: 5 * time.Second, WriteTimeout: time.Second, AskTimeout: time.Second,
		EndDelay: endDelay, WriteRate: 1000, WriteBurst: 1000,
	})
	c.Run(func(f func(context.Context)) { go f(tb.Context()) })
	return c
}

// TestClaim guards against a key that ran being sent again, a claim that waits
// for a platform that is down, and a dated key that outlived its claim.
func TestClaim(t *testing.T) {
	c := qt.New(t)
	p := newFakePlatform()
	claims := newRunning(t, p, time.Second)
	ticket, err := claims.Claim(t.Context(), "k", "org", 1)
	c.Assert(err, qt.IsNil)
	c.Assert(ticket.MaySend(), qt.IsNil)
	_, err = claims.Claim(t.Context(), "k", "org", 1)
	c.Assert(code.Of(err), qt.Equals, code.KeyInProgress)
	ticket.Finish(code.Answered)
	_, err = claims.Claim(t.Context(), "k", "org", 1)
	c.Assert(code.Of(err), qt.Equals, code.AlreadyRan)
	_, err = claims.Claim(t.Context(), "k", "org", 2)
	c.Assert(code.Of(err), qt.Equals, code.KeyReused)
	_, err = claims.Claim(t.Context(), "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "org", 2)
	c.Assert(code.Of(err), qt.Equals, code.KeyTooOld)
	p.setDown(true)
	for range 3 {
		_, err = claims.Claim(t.Context(), "k2", "org", 1)
		c.Assert(code.Of(err), qt.Equals, code.PlatformUnavailable)
		c.Assert(code.OutcomeOf(err), qt.Equals, code.NotRun)
		c.Assert(err, qt.Not(qt.ErrorMatches), ".*not confirmed within.*")
	}
	p.setDown(false)
	c.Assert(claims.Drain(t.Context()), qt.IsNil)
	s, err := Decode(p.entries["/cuminbay/claims/00"].Value)
	c.Assert(err, qt.IsNil)
	ended, _ := s.Find(HashOf("org", "k"))
	c.Assert(ended.State, qt.Equals, Done)
}

// TestDrain guards against an end that waits for its delay and is lost at a
// planned stop.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	p := newFakePlatform()
	claims := newRunning(t, p, time.Hour)
	ticket, err := claims.Claim(t.Context(), "k", "org", 1)
	c.Assert(err, qt.IsNil)
	ticket.Finish(code.Answered)
	c.Assert(claims.Writes(), qt.Equals, int64(1))
	c.Assert(claims.Drain(t.Context()), qt.IsNil)
	c.Assert(claims.Writes(), qt.Equals, int64(2))
}

// TestSize guards against the claim growing beyond what the capacity rests on.
func TestSize(t *testing.T) {
	c := qt.New(t)
	rules := Rules{Retention: time.Hour, MaxValue: 900_000}
	b := &Batch{Holder: "kirtipur-entry-00001"}
	for i := range 22_000 {
		b.Wants = append(b.Wants, Want{Hash: HashOf("org", ident.RequestKey(fmt.Sprint(i))), Nonce: uint64(i + 1)})
	}
	o := rules.Apply(&Shard{}, 0, b, time.Unix(0, 0))
	c.Assert(o.Next.Len(), qt.Equals, (900_000-fixedSize-21)/41)
	c.Assert(o.Verdicts[len(o.Verdicts)-1], qt.Equals, Full)
	back, err := Decode(o.Next.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(back.claims, qt.DeepEquals, o.Next.claims)
}

// BenchmarkClaim compares single claims with claims that share writes, at a
// platform that takes 1 ms a write.
func BenchmarkClaim(b *testing.B) {
	for name, parallel := range map[string]int{"single": 1, "batched": 256} {
		b.Run(name, func(b *testing.B) {
			p := newFakePlatform()
			clk := clock.Real()
			p.delay = func() { <-clk.After(time.Millisecond) }
			claims := newRunning(b, p, time.Second)
			work := make(chan int)
			done := make(chan error)
			for range parallel {
				go func() {
					for i := range work {
						_, err := claims.Claim(b.Context(), ident.RequestKey(fmt.Sprint(i)), "org", 1)
						done <- err
					}
				}()
			}
			go func() {
				for i := range b.N {
					work <- i
				}
				close(work)
			}()
			for range b.N {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(claims.Writes())/float64(b.N), "writes/claim")
		})
	}
}
