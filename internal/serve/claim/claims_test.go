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

func runClaims(tb testing.TB, fake *fakeStore, terminalDelay time.Duration) *Claims {
	c := New(Options{
		Self: "a", Clock: clock.Real(), Store: fake, Peers: &fakePeers{},
		Rules:  Rules{Retention: 24 * time.Hour, FullRetention: time.Hour, MaxValueBytes: 900_000},
		Shards: 1, PauseLimit: 5 * time.Second, WriteTimeout: time.Second, QueryTimeout: time.Second,
		TerminalDelay: terminalDelay, WriteRate: 1000, WriteBurst: 1000,
	})
	c.StartWriters(func(f func(context.Context)) { go f(tb.Context()) })
	return c
}

// TestClaim guards against a second send of a key that ran, a claim that waits
// while the store is unavailable, and a key whose timestamp is older than the
// retention.
func TestClaim(t *testing.T) {
	c := qt.New(t)
	fake := newFakeStore()
	claims := runClaims(t, fake, time.Second)
	permit, err := claims.Claim(t.Context(), "k", "org", 1)
	c.Assert(err, qt.IsNil)
	c.Assert(permit.AuthoriseSend(), qt.IsNil)
	_, err = claims.Claim(t.Context(), "k", "org", 1)
	c.Assert(code.Of(err), qt.Equals, code.KeyInProgress)
	permit.Finish(code.Answered)
	_, err = claims.Claim(t.Context(), "k", "org", 1)
	c.Assert(code.Of(err), qt.Equals, code.AlreadyRan)
	_, err = claims.Claim(t.Context(), "k", "org", 2)
	c.Assert(code.Of(err), qt.Equals, code.KeyReused)
	_, err = claims.Claim(t.Context(), "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "org", 2)
	c.Assert(code.Of(err), qt.Equals, code.KeyTooOld)
	fake.setUnavailable(true)
	for range 3 {
		_, err = claims.Claim(t.Context(), "k2", "org", 1)
		c.Assert(code.Of(err), qt.Equals, code.PlatformUnavailable)
		c.Assert(code.OutcomeOf(err), qt.Equals, code.NotRun)
		c.Assert(err, qt.Not(qt.ErrorMatches), ".*not confirmed within.*")
	}
	fake.setUnavailable(false)
	c.Assert(claims.Drain(t.Context()), qt.IsNil)
	s, err := Decode(fake.entries["/cuminbay/claims/00"].Value)
	c.Assert(err, qt.IsNil)
	claim, _ := s.Find(HashOf("org", "k"))
	c.Assert(claim.State, qt.Equals, Done)
}

// TestDrainWritesTerminalState guards against the loss of a terminal state that
// still waits for its delay at a planned stop.
func TestDrainWritesTerminalState(t *testing.T) {
	c := qt.New(t)
	fake := newFakeStore()
	claims := runClaims(t, fake, time.Hour)
	permit, err := claims.Claim(t.Context(), "k", "org", 1)
	c.Assert(err, qt.IsNil)
	permit.Finish(code.Answered)
	c.Assert(claims.WriteCount(), qt.Equals, int64(1))
	c.Assert(claims.Drain(t.Context()), qt.IsNil)
	c.Assert(claims.WriteCount(), qt.Equals, int64(2))
}

// TestShardSize guards against an encoded claim that is larger than assumed in the
// calculation of a shard's capacity.
func TestShardSize(t *testing.T) {
	c := qt.New(t)
	rules := Rules{Retention: 24 * time.Hour, FullRetention: time.Minute, MaxValueBytes: 900_000}
	b := &Batch{Holder: "kirtipur-entry-00001"}
	for i := range 22_000 {
		b.Proposals = append(b.Proposals, Proposal{Hash: HashOf("org", ident.IdempotencyKey(fmt.Sprint(i))), Nonce: uint64(i + 1)})
	}
	applied := rules.Apply(&Shard{}, 0, b, time.Unix(0, 0))
	c.Assert(applied.Next.Len(), qt.Equals, (900_000-fixedSize-21)/41)
	c.Assert(applied.Decisions[len(applied.Decisions)-1], qt.Equals, ShardFull)
	decoded, err := Decode(applied.Next.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.claims, qt.DeepEquals, applied.Next.claims)
	// A Done claim takes 16 bytes after its full retention.
	for i := range decoded.claims {
		decoded.claims[i].State, decoded.claims[i].Code = Done, code.CutOff
	}
	compacted := rules.prunedCopy(decoded, time.Unix(3600, 0), 0)
	c.Assert(compacted.encodedSize(nil), qt.Equals, fixedSize+16*decoded.Len())
	decoded, err = Decode(compacted.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(slices.Equal(decoded.compactClaims, compacted.compactClaims), qt.IsTrue)
}

// TestCompactClaims guards against a compact claim that is removed before the end
// of its retention, never removed, or stored without its code, and against a value
// of format version 1 that can't be decoded.
func TestCompactClaims(t *testing.T) {
	c := qt.New(t)
	rules := Rules{Retention: time.Hour, FullRetention: time.Minute, MaxValueBytes: 1000}
	hash := HashOf("org", "k")
	changed := time.Unix(1_800_000_001, 0)
	claims := &Shard{claims: []Claim{{Hash: hash, Fingerprint: 7, Nonce: 1, Holder: "a", State: Done, Code: code.CutOff, ChangedAt: unixSeconds(changed)}}}
	raw := claims.Encode()
	raw[0] = firstVersion
	s, err := Decode(raw[:len(raw)-8])
	c.Assert(err, qt.IsNil)
	c.Assert(s.claims, qt.DeepEquals, claims.claims)
	for name, test := range map[string]struct {
		age  time.Duration
		want Decision
	}{
		"within the full retention":   {30 * time.Second, Reused},
		"after the full retention":    {2 * time.Minute, Exists},
		"at the end of its retention": {time.Hour + skewMargin, Exists},
		"after its retention":         {time.Hour + skewMargin + time.Minute + time.Second, Added},
	} {
		c.Run(name, func(c *qt.C) {
			pruned, err := Decode(rules.prunedCopy(s, changed.Add(min(test.age, 2*time.Minute)), 0).Encode())
			c.Assert(err, qt.IsNil)
			b := &Batch{Holder: "b", Proposals: []Proposal{{Hash: hash, Fingerprint: 8, Nonce: 2}}}
			applied := rules.Apply(pruned, 1, b, changed.Add(test.age))
			c.Assert(applied.Decisions[0], qt.Equals, test.want)
			if test.want == Exists {
				c.Assert(code.Of(refusalOf(applied.Existing[0].Code, applied.Existing[0].Holder)), qt.Equals, code.OutcomeUnknown)
			}
		})
	}
}

// BenchmarkClaim compares single claims with claims that share writes, with a
// store that takes 1 ms for each write.
func BenchmarkClaim(b *testing.B) {
	for name, callers := range map[string]int{"single": 1, "batched": 256} {
		b.Run(name, func(b *testing.B) {
			fake := newFakeStore()
			clk := clock.Real()
			fake.beforeSwap = func() { <-clk.After(time.Millisecond) }
			claims := runClaims(b, fake, time.Second)
			numbers := make(chan int)
			done := make(chan error)
			for range callers {
				go func() {
					for i := range numbers {
						_, err := claims.Claim(b.Context(), ident.IdempotencyKey(fmt.Sprint(i)), "org", 1)
						done <- err
					}
				}()
			}
			go func() {
				for i := range b.N {
					numbers <- i
				}
				close(numbers)
			}()
			for range b.N {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(claims.WriteCount())/float64(b.N), "writes/claim")
		})
	}
}
