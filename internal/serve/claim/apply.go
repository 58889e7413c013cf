package claim

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Rules bound what a shard keeps.
type Rules struct {
	// Retention is the time for which a claim is kept.
	Retention time.Duration
	// FullRetention is the time for which the claim of a request that ended is kept
	// in full. Later its fingerprint is gone, so that another request with the
	// key is refused as already run instead of as a reuse of the key.
	FullRetention time.Duration
	// MaxValueBytes bounds the encoded size of a shard in bytes.
	MaxValueBytes int
}

const (
	// skewMargin is added to the retention before a claim is removed, so that
	// a daemon whose wall clock is ahead by less removes none too early.
	skewMargin = 10 * time.Minute
	// releasedRetention is the time for which a released claim is kept. It
	// protects nothing, as its request was not sent; it only shows to
	// operators what happened.
	releasedRetention = time.Minute
)

func (r Rules) expired(c *Claim, now time.Time) bool {
	age := now.Sub(time.Unix(int64(c.Changed), 0))
	if c.State == Released {
		return age > releasedRetention
	}
	return age > r.Retention+skewMargin
}

// Proposal is a claim that a holder wants to make.
type Proposal struct {
	Hash        Hash
	Fingerprint ident.Fingerprint
	Nonce       uint64
	// Supersedes is the nonce of a claim in the state Sent of which its holder said
	// that it did not and will not send; zero is none.
	Supersedes uint64
}

// StateChange is a new state of a claim of the same holder.
type StateChange struct {
	Claim
}

// AbandonedWrite names a nonce that an earlier write of unknown result had in it, and
// that has been given up since.
type AbandonedWrite struct {
	Hash  Hash
	Nonce uint64
	// ExpectedRevision is the revision that the write was conditional on: once the shard
	// has another one, the write can't take effect any more.
	ExpectedRevision unit.Revision
}

// Verdict says what became of a Want.
type Verdict int

// The verdicts. Confirmed and Added differ in that an added claim is not in
// the platform before the shard has been written.
const (
	// Added: the claim is in the next value.
	Added Verdict = iota + 1
	// Confirmed: the claim is in the current value already.
	Confirmed
	// Exists: another claim has the key.
	Exists
	// Reused: another claim has the key and another fingerprint.
	Reused
	// ShardFull: the shard has no room.
	ShardFull
)

// Batch is everything that one holder wants of one shard in one write.
type Batch struct {
	Holder          ident.Instance
	Proposals       []Proposal
	Changes         []StateChange
	AbandonedWrites []AbandonedWrite
}

// ApplyResult is the result of applying a batch to a shard.
type ApplyResult struct {
	// Next is the value to write. It is the old one if Write is false.
	Next       *Shard
	NeedsWrite bool
	// Verdicts has one for each want, Existing the claim that is in the way.
	Verdicts []Verdict
	Existing []Claim
}

// Apply returns what the batch makes of the shard of the given revision. The
// shard itself is not changed.
func (r Rules) Apply(s *Shard, revision unit.Revision, b *Batch, now time.Time) ApplyResult {
	next := r.prune(s, now, len(b.Proposals))
	o := ApplyResult{
		Next:     next,
		Verdicts: make([]Verdict, len(b.Proposals)),
		Existing: make([]Claim, len(b.Proposals)),
	}
	for _, f := range b.AbandonedWrites {
		o.applyAbandoned(f, revision, now)
	}
	for _, c := range b.Changes {
		o.applyChange(c, now)
	}
	holders, known := next.holders()
	size := next.size(holders)
	for i, w := range b.Proposals {
		size += o.applyProposal(i, w, b.Holder, now, r.MaxValueBytes-size, known)
	}
	if !o.NeedsWrite {
		o.Next = s
	}
	return o
}

// applyAbandoned releases the nonce if it is in the shard. If it is not and the shard's
// revision is still the one that the doubtful write was conditional on (or an
// older one, from a read that lagged), the shard has to be written even without
// a change: that moves the revision, and the doubtful write can't take effect
// later.
func (o *ApplyResult) applyAbandoned(f AbandonedWrite, revision unit.Revision, now time.Time) {
	i, found := o.Next.find(f.Hash)
	if found && o.Next.claims[i].Nonce == f.Nonce {
		c := &o.Next.claims[i]
		if c.State == Sent {
			c.State, c.Changed = Released, seconds(now)
			o.NeedsWrite = true
		}
		return
	}
	if revision <= f.ExpectedRevision {
		o.NeedsWrite = true
	}
}

// applyChange sets the state of a claim of the same nonce. A claim that has expired
// or was replaced after its release needs no change.
func (o *ApplyResult) applyChange(change StateChange, now time.Time) {
	i, found := o.Next.find(change.Hash)
	if !found {
		return
	}
	c := &o.Next.claims[i]
	if c.Nonce != change.Nonce || c.State != Sent {
		return
	}
	c.State, c.Code, c.Changed = change.State, change.Code, seconds(now)
	o.NeedsWrite = true
}

// applyProposal decides on one claim and returns the bytes that it adds.
func (o *ApplyResult) applyProposal(i int, w Proposal, holder ident.Instance, now time.Time, room int, known map[ident.Instance]uint16) int {
	c := Claim{
		Hash: w.Hash, Fingerprint: w.Fingerprint, Nonce: w.Nonce,
		Holder: holder, State: Sent, Changed: seconds(now),
	}
	place, found := o.Next.find(w.Hash)
	if found {
		old := o.Next.claims[place]
		if old.Nonce == w.Nonce && old.State == Sent {
			o.Verdicts[i] = Confirmed
			return 0
		}
		if old.State != Released && (w.Supersedes == 0 || old.Nonce != w.Supersedes || old.State != Sent) {
			o.Existing[i] = old
			o.Verdicts[i] = Exists
			if old.Fingerprint != w.Fingerprint {
				o.Verdicts[i] = Reused
			}
			return 0
		}
	}
	if old, past := o.Next.findCompact(w.Hash); past {
		o.Existing[i], o.Verdicts[i] = old, Exists
		return 0
	}
	grows := 0
	if !found {
		grows = claimSize
	}
	if _, k := known[holder]; !k {
		grows += 1 + len(holder)
	}
	if grows > room || len(known) >= maxHolders || len(holder) > maxHolderName {
		o.Verdicts[i] = ShardFull
		return 0
	}
	known[holder] = 0
	o.Next.put(c)
	o.Verdicts[i] = Added
	o.NeedsWrite = true
	return grows
}
