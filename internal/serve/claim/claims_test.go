package claim

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/clock"
)

func runClaims(tb testing.TB, p *fakePlatform, endDelay time.Duration) *Claims {
	c := New(Options{
		Self: "a", Clock: clock.Real(), Platform: p, Asker: &fakePeers{},
		Rules:  Rules{Retention: 24 * time.Hour, FullRetention: time.Hour, MaxValueBytes: 900_000},
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
	claims := runClaims(t, p, time.Second)
	ticket, err := claims.Claim(t.Context(), "k", "org", 1)
	c.Assert(err, qt.IsNil)
	c.Assert(ticket.AuthoriseSend(), qt.IsNil)
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
	claims := runClaims(t, p, time.Hour)
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
	rules := Rules{Retention: 24 * time.Hour, FullRetention: time.Minute, MaxValueBytes: 900_000}
	b := &Batch{Holder: "kirtipur-entry-00001"}
	for i := range 22_000 {
		b.Proposals = append(b.Proposals, Proposal{Hash: HashOf("org", ident.RequestKey(fmt.Sprint(i))), Nonce: uint64(i + 1)})
	}
	o := rules.Apply(&Shard{}, 0, b, time.Unix(0, 0))
	c.Assert(o.Next.Len(), qt.Equals, (900_000-fixedSize-21)/41)
	c.Assert(o.Verdicts[len(o.Verdicts)-1], qt.Equals, ShardFull)
	back, err := Decode(o.Next.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(back.claims, qt.DeepEquals, o.Next.claims)
	// Once they have ended and are no longer recent, claims take 16 bytes.
	for i := range back.claims {
		back.claims[i].State, back.claims[i].Code = Done, code.CutOff
	}
	past := rules.prune(back, time.Unix(3600, 0), 0)
	c.Assert(past.size(nil), qt.Equals, fixedSize+16*back.Len())
	back, err = Decode(past.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(slices.Equal(back.compact, past.compact), qt.IsTrue)
}

// TestEnded guards against a compact claim that is forgotten before its
// retention, kept for good, or that loses its code, and against a value of the
// first version that can't be read.
func TestEnded(t *testing.T) {
	c := qt.New(t)
	rules := Rules{Retention: time.Hour, FullRetention: time.Minute, MaxValueBytes: 1000}
	hash := HashOf("org", "k")
	changed := time.Unix(1_800_000_001, 0)
	claims := &Shard{claims: []Claim{{Hash: hash, Fingerprint: 7, Nonce: 1, Holder: "a", State: Done, Code: code.CutOff, Changed: seconds(changed)}}}
	first := claims.Encode()
	first[0] = firstVersion
	s, err := Decode(first[:len(first)-8])
	c.Assert(err, qt.IsNil)
	c.Assert(s.claims, qt.DeepEquals, claims.claims)
	for name, want := range map[string]struct {
		age     time.Duration
		verdict Verdict
	}{
		"recent":           {30 * time.Second, Reused},
		"compact":          {2 * time.Minute, Exists},
		"at its retention": {time.Hour + skewMargin, Exists},
		"expired":          {time.Hour + skewMargin + time.Minute + time.Second, Added},
	} {
		c.Run(name, func(c *qt.C) {
			past, err := Decode(rules.prune(s, changed.Add(min(want.age, 2*time.Minute)), 0).Encode())
			c.Assert(err, qt.IsNil)
			b := &Batch{Holder: "b", Proposals: []Proposal{{Hash: hash, Fingerprint: 8, Nonce: 2}}}
			o := rules.Apply(past, 1, b, changed.Add(want.age))
			c.Assert(o.Verdicts[0], qt.Equals, want.verdict)
			if want.verdict == Exists {
				c.Assert(code.Of(refusalOf(o.Existing[0].Code, o.Existing[0].Holder)), qt.Equals, code.OutcomeUnknown)
			}
		})
	}
}

// BenchmarkClaim compares single claims with claims that share writes, at a
// platform that takes 1 ms a write.
func BenchmarkClaim(b *testing.B) {
	for name, parallel := range map[string]int{"single": 1, "batched": 256} {
		b.Run(name, func(b *testing.B) {
			p := newFakePlatform()
			clk := clock.Real()
			p.delay = func() { <-clk.After(time.Millisecond) }
			claims := runClaims(b, p, time.Second)
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
