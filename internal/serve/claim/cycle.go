package claim

import (
	"context"
	"errors"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// errRetry says that the cycle has to apply its batch again.
var errRetry = errors.New("apply the batch again")

// runCycle writes all queued changes to the store in as few writes as possible and
// passes each attempt its result. Terminal states without a new claim are written
// when they are due. After an error all unconfirmed attempts have been rejected,
// while terminalAttempts and abandonedAttempts are kept for the next cycle.
func (w *shardWriter) runCycle(ctx context.Context) error {
	w.drainQueue()
	if len(w.unconfirmedAttempts) == 0 && (!w.hasUnwrittenChanges() || w.writeDelay() > 0) {
		return nil
	}
	if !w.waitForGrant(ctx) {
		return nil
	}
	defer w.returnGrant()
	ctx, cancel := withTimeout(ctx, w.claims.Clock, w.claims.WriteTimeout)
	defer cancel()
	baseIsCurrent := false
	w.baseKnown = w.baseKnown && w.claims.Clock.Since(w.baseReadAt) < maxBaseAge
	for {
		if err := w.waitForRetryGrant(ctx); err != nil {
			return w.failCycle(err)
		}
		if !w.baseKnown {
			if err := w.readShard(ctx); err != nil {
				return w.failCycle(err)
			}
			baseIsCurrent = true
		}
		err := w.applyAndWrite(ctx, &baseIsCurrent)
		if errors.Is(err, errRetry) && ctx.Err() == nil {
			continue
		}
		if errors.Is(err, errRetry) {
			err = ctx.Err()
		}
		if err != nil {
			return w.failCycle(err)
		}
		return nil
	}
}

// failCycle rejects the unconfirmed attempts and returns the error with its code. The
// next cycle reads the shard again.
func (w *shardWriter) failCycle(err error) error {
	err = code.PlatformUnavailable.Wrap(err, "write claims to shard %s", w.key)
	w.baseKnown = false
	w.rejectUnconfirmed(err)
	return err
}

func (w *shardWriter) readShard(ctx context.Context) error {
	entry, err := w.claims.Store.Get(ctx, w.key)
	if err != nil {
		return err
	}
	return w.setBaseFromEntry(entry)
}

// setBaseFromEntry decodes the stored entry and makes its shard the base of the next
// write.
func (w *shardWriter) setBaseFromEntry(e store.Entry) error {
	s, err := Decode(e.Value)
	if err != nil {
		w.baseKnown = false
		return err
	}
	w.setBase(s, e.Revision)
	return nil
}

func (w *shardWriter) setBase(s *Shard, r unit.Revision) {
	w.baseShard, w.baseRevision, w.baseKnown, w.baseReadAt = s, r, true, w.claims.Clock.Now()
}

// applyAndWrite applies the batch to the base shard and writes the result if it differs.
// baseIsCurrent says whether the store has confirmed the base in this cycle.
func (w *shardWriter) applyAndWrite(ctx context.Context, baseIsCurrent *bool) error {
	batch := w.buildBatch()
	now := w.claims.Clock.Now()
	applied := w.claims.Rules.Apply(w.baseShard, w.baseRevision, batch, now)
	if !applied.NeedsWrite {
		if !*baseIsCurrent {
			// Another daemon may have replaced the base. A write would
			// detect that, but these decisions need no write.
			w.baseKnown = false
			return errRetry
		}
		w.completeBatch(batch, &applied)
		return nil
	}
	raw := applied.Next.Encode()
	w.writeGranted = false
	w.claims.writeCount.Add(1)
	entry, result, err := w.claims.Store.Swap(ctx, store.Swap{Key: w.key, ExpectedRevision: w.baseRevision, Value: raw})
	switch result {
	case store.Applied:
		w.setBase(applied.Next, entry.Revision)
		w.completeBatch(batch, &applied)
		return nil
	case store.Conflict:
		*baseIsCurrent = true
		if err := w.setBaseFromEntry(entry); err != nil {
			return err
		}
		return errRetry
	default:
		// The write may take effect later, as long as the revision stays the
		// same. It is safe to read the shard again and to repeat the write on
		// the same revision with the same nonces: at most one of the two
		// writes takes effect, and either of them confirms the claims that
		// both contain.
		w.markMaybeWritten(&applied)
		w.baseKnown = false
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		return errRetry
	}
}

// buildBatch collects the changes for the next write.
func (w *shardWriter) buildBatch() *Batch {
	b := &Batch{Holder: w.claims.Self}
	waitingAttempts := w.unconfirmedAttempts[:0]
	for _, a := range w.unconfirmedAttempts {
		if a.phase.Load() == phaseWaiting {
			waitingAttempts = append(waitingAttempts, a)
			b.Proposals = append(b.Proposals, a.proposal)
			continue
		}
		w.retireAttempt(a)
	}
	w.unconfirmedAttempts = waitingAttempts
	for _, a := range w.terminalAttempts {
		if c, ended := a.stateChange(); ended {
			b.Changes = append(b.Changes, c)
		}
	}
	for _, a := range w.abandonedAttempts {
		b.AbandonedWrites = append(b.AbandonedWrites, AbandonedWrite{Hash: a.proposal.Hash, Nonce: a.proposal.Nonce, ExpectedRevision: a.writeRevision})
	}
	return b
}

// markMaybeWritten marks the attempts whose claims a write of unknown result
// contains.
func (w *shardWriter) markMaybeWritten(applied *ApplyResult) {
	for i, a := range w.unconfirmedAttempts {
		if d := applied.Decisions[i]; d == Added || d == Confirmed {
			a.maybeWritten, a.writeRevision = true, max(a.writeRevision, w.baseRevision)
		}
	}
}

// completeBatch passes the decisions to the callers once the batch is in the store,
// and removes the attempts that need no further write.
func (w *shardWriter) completeBatch(b *Batch, applied *ApplyResult) {
	w.nextTerminalWrite = time.Time{}
	for _, c := range b.Changes {
		w.removeAttempt(w.terminalAttempts[c.Nonce])
	}
	for _, aw := range b.AbandonedWrites {
		w.removeAttempt(w.abandonedAttempts[aw.Nonce])
	}
	for i, a := range w.unconfirmedAttempts {
		switch d := applied.Decisions[i]; d {
		case Added, Confirmed:
			if a.confirm() {
				w.claims.confirmedCount.Add(1)
				continue
			}
			// The caller gave up while the claim was written; the claim has
			// to be released.
			a.maybeWritten, a.writeRevision = true, w.baseRevision
			w.retireAttempt(a)
		default:
			a.reject(attemptResult{decision: d, existing: applied.Existing[i]})
			// At a later revision no earlier write of unknown result can
			// store the claim.
			a.maybeWritten = a.maybeWritten && w.baseRevision <= a.writeRevision
			w.retireAttempt(a)
		}
	}
	w.unconfirmedAttempts = nil
}
