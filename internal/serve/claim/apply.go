package claim

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Rules bound the age and the size of the claims in a shard.
type Rules struct {
	// Retention is the time for which a claim is kept.
	Retention time.Duration
	// FullRetention is the time for which a claim in the state Done is kept in
	// full. Afterwards the claim is stored without its fingerprint, so a
	// different request with the same key is refused as already run instead of
	// as a reuse of the key.
	FullRetention time.Duration
	// MaxValueBytes bounds the encoded size of a shard in bytes.
	MaxValueBytes int
}

const (
	// skewMargin is added to the retention before a claim is removed. A daemon
	// whose wall clock is ahead by less than the margin removes no claim early.
	skewMargin = 10 * time.Minute
	// releasedRetention is the time for which a released claim is kept. Its
	// request was not sent, so the claim prevents no second run; operators can
	// see it for this time.
	releasedRetention = time.Minute
)

func (r Rules) hasExpired(c *Claim, now time.Time) bool {
	age := now.Sub(time.Unix(int64(c.ChangedAt), 0))
	if c.State == Released {
		return age > releasedRetention
	}
	return age > r.Retention+skewMargin
}

// Proposal is a claim that a holder wants to add to a shard.
type Proposal struct {
	Hash        Hash
	Fingerprint ident.Fingerprint
	Nonce       uint64
	// Supersedes is the nonce of a claim in the state Sent that the proposal
	// may replace, because its holder reported that it did not and will not
	// send the request. Zero means none.
	Supersedes uint64
}

// StateChange moves a claim of the holder from Sent to a terminal state.
type StateChange struct {
	Claim
}

// AbandonedWrite identifies a claim whose caller has given up, and that an
// earlier write of unknown result may have stored or may store later.
type AbandonedWrite struct {
	Hash  Hash
	Nonce uint64
	// ExpectedRevision is the revision of the shard that the write was
	// conditional on. Once the shard has a later revision, the write can no
	// longer take effect.
	ExpectedRevision unit.Revision
}

// Decision is the result for one proposal.
type Decision int

// The decisions. An Added claim is not in the store before the shard has been
// written; a Confirmed claim is.
const (
	// Added means that the claim is in the next value.
	Added Decision = iota + 1
	// Confirmed means that the claim is in the current value already.
	Confirmed
	// Exists means that another claim has the key.
	Exists
	// Reused means that another claim has the key and another fingerprint.
	Reused
	// ShardFull means that the claim would exceed the size limit of the shard.
	ShardFull
)

// Batch is everything that one holder wants to change in one shard with one
// write.
type Batch struct {
	Holder          ident.Instance
	Proposals       []Proposal
	Changes         []StateChange
	AbandonedWrites []AbandonedWrite
}

// ApplyResult is the result of applying a batch to a shard.
type ApplyResult struct {
	// Next is the value to write. It is the old shard if NeedsWrite is false.
	Next       *Shard
	NeedsWrite bool
	// Decisions has one decision for each proposal. If a conflicting claim
	// caused the decision, Existing has that claim under the same index.
	Decisions []Decision
	Existing  []Claim
}

// Apply applies the batch to a copy of the shard, which has the given revision.
func (r Rules) Apply(s *Shard, revision unit.Revision, b *Batch, now time.Time) ApplyResult {
	next := r.prunedCopy(s, now, len(b.Proposals))
	a := ApplyResult{
		Next:      next,
		Decisions: make([]Decision, len(b.Proposals)),
		Existing:  make([]Claim, len(b.Proposals)),
	}
	for _, w := range b.AbandonedWrites {
		a.applyAbandonedWrite(w, revision, now)
	}
	for _, c := range b.Changes {
		a.applyStateChange(c, now)
	}
	holders, holderIndex := next.holders()
	size := next.encodedSize(holders)
	for i, p := range b.Proposals {
		size += a.applyProposal(i, p, b.Holder, now, r.MaxValueBytes-size, holderIndex)
	}
	if !a.NeedsWrite {
		a.Next = s
	}
	return a
}

// applyAbandonedWrite releases the claim if the abandoned write has stored it. If the
// claim is absent and the shard still has the revision that the write was
// conditional on (or an older one, from a stale read), the shard is written even
// without a change. The write advances the revision, so that the abandoned write
// can't take effect later.
func (a *ApplyResult) applyAbandonedWrite(w AbandonedWrite, revision unit.Revision, now time.Time) {
	i, found := a.Next.indexOf(w.Hash)
	if found && a.Next.claims[i].Nonce == w.Nonce {
		c := &a.Next.claims[i]
		if c.State == Sent {
			c.State, c.ChangedAt = Released, unixSeconds(now)
			a.NeedsWrite = true
		}
		return
	}
	if revision <= w.ExpectedRevision {
		a.NeedsWrite = true
	}
}

// applyStateChange sets the state of the claim with the nonce of the change. A claim
// that has expired, or that was replaced after its release, stays unchanged.
func (a *ApplyResult) applyStateChange(change StateChange, now time.Time) {
	i, found := a.Next.indexOf(change.Hash)
	if !found {
		return
	}
	c := &a.Next.claims[i]
	if c.Nonce != change.Nonce || c.State != Sent {
		return
	}
	c.State, c.Code, c.ChangedAt = change.State, change.Code, unixSeconds(now)
	a.NeedsWrite = true
}

// applyProposal decides on the proposal with index i, adds its claim within the
// free bytes, and returns the bytes added.
func (a *ApplyResult) applyProposal(i int, p Proposal, holder ident.Instance, now time.Time, freeBytes int, holderIndex map[ident.Instance]uint16) int {
	c := Claim{
		Hash: p.Hash, Fingerprint: p.Fingerprint, Nonce: p.Nonce,
		Holder: holder, State: Sent, ChangedAt: unixSeconds(now),
	}
	index, found := a.Next.indexOf(p.Hash)
	if found {
		old := a.Next.claims[index]
		if old.Nonce == p.Nonce && old.State == Sent {
			a.Decisions[i] = Confirmed
			return 0
		}
		if old.State != Released && (p.Supersedes == 0 || old.Nonce != p.Supersedes || old.State != Sent) {
			a.Existing[i] = old
			a.Decisions[i] = Exists
			if old.Fingerprint != p.Fingerprint {
				a.Decisions[i] = Reused
			}
			return 0
		}
	}
	if old, isCompact := a.Next.findCompact(p.Hash); isCompact {
		a.Existing[i], a.Decisions[i] = old, Exists
		return 0
	}
	added := 0
	if !found {
		added = claimSize
	}
	if _, listed := holderIndex[holder]; !listed {
		added += 1 + len(holder)
	}
	if added > freeBytes || len(holderIndex) >= maxHolders || len(holder) > maxHolderName {
		a.Decisions[i] = ShardFull
		return 0
	}
	holderIndex[holder] = 0
	a.Next.putClaim(c)
	a.Decisions[i] = Added
	a.NeedsWrite = true
	return added
}
