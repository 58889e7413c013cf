package claim

import (
	"fmt"
	"testing"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
)

// benchShard returns a shard to which daemons have added count claims, spread
// over a day, and the time at the end of that day.
func benchShard(rules Rules, count int) (*Shard, time.Time) {
	const day = 24 * time.Hour
	start := time.Unix(1_800_000_000, 0)
	s := &Shard{}
	for i := range count {
		at := start.Add(time.Duration(i) * day / time.Duration(count))
		s.claims = append(s.claims, Claim{
			Hash: Hash{High: uint64(i) << 40, Low: uint64(i)}, Fingerprint: 1, Nonce: uint64(i + 1),
			Holder: ident.Instance(fmt.Sprintf("kirtipur-entry-%05d", i%8)),
			State:  Done, Code: code.Answered, ChangedAt: unixSeconds(at),
		})
	}
	now := start.Add(day)
	b := &Batch{Holder: "kirtipur-entry-00001", Proposals: []Proposal{{Hash: HashOf("org", "k"), Nonce: 1}}}
	return rules.Apply(s, 0, b, now).Next, now
}

// BenchmarkShard measures the steps of one write to a shard with 20,000 claims of
// one day, and the encoded bytes per claim.
func BenchmarkShard(b *testing.B) {
	rules := Rules{Retention: 24 * time.Hour, FullRetention: 10 * time.Minute, MaxValueBytes: 900_000}
	const count = 20_000
	s, now := benchShard(rules, count)
	raw := s.Encode()
	batch := &Batch{Holder: "kirtipur-entry-00001"}
	for i := range 8 {
		batch.Proposals = append(batch.Proposals, Proposal{Hash: HashOf("org", ident.IdempotencyKey(fmt.Sprint(i))), Nonce: uint64(i + 1)})
	}
	for name, step := range map[string]func(){
		"decode": func() { _, _ = Decode(raw) },
		"apply":  func() { rules.Apply(s, 1, batch, now) },
		"encode": func() { s.Encode() },
		"write": func() {
			old, _ := Decode(raw)
			rules.Apply(old, 1, batch, now).Next.Encode()
		},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				step()
			}
			b.ReportMetric(float64(len(raw))/count, "bytes/claim")
		})
	}
}
