package claim

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// shardWriter writes the claims of this process to one shard. It has one write in
// flight at a time and batches all waiting changes into the next write. Only
// submitAttempt may be called from several goroutines.
type shardWriter struct {
	claims  *Claims
	key     store.Key
	queue   atomic.Pointer[queueNode]
	wake    chan struct{}
	backoff *backoff.ExponentialBackOff

	// baseKnown says that baseShard and baseRevision are the shard and the revision
	// that this process last read from or wrote to the store.
	baseKnown    bool
	baseShard    *Shard
	baseRevision unit.Revision
	// baseReadAt is the time at which the store returned or accepted baseShard.
	baseReadAt time.Time
	// terminalAttempts has the attempts whose terminal states are not known to
	// be in the store. abandonedAttempts has the attempts that were given up and
	// whose claims a write of unknown result may store. Both are keyed by nonce.
	terminalAttempts  map[uint64]*attempt
	abandonedAttempts map[uint64]*attempt
	// nextTerminalWrite is the time at which terminalAttempts and abandonedAttempts are
	// written even if no new claim shares the write; zero if both are empty.
	nextTerminalWrite time.Time
	// writeGranted says that the pacer has granted a write that was not
	// started yet.
	writeGranted bool
	// unconfirmedAttempts has the attempts of the current cycle that wait for the
	// store.
	unconfirmedAttempts []*attempt
}

// queueNode is an element of the lock-free queue, which links the newest element
// first.
type queueNode struct {
	attempt *attempt
	next    *queueNode
}

// Bounds of the exponential backoff while the store can't be used.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// maxBaseAge is the age up to which baseShard is used for a write without reading the
// shard again. Another daemon has most likely changed a shard that was read
// earlier. A write with a conflict loads the store like any other write, and the
// store supports far fewer writes than reads.
const maxBaseAge = 20 * time.Millisecond

func newShardWriter(c *Claims, shard uint64) *shardWriter {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	b.Reset()
	return &shardWriter{
		claims:            c,
		key:               store.ClaimPrefix + store.Key(fmt.Sprintf("%02d", shard)),
		wake:              make(chan struct{}, 1),
		backoff:           b,
		terminalAttempts:  make(map[uint64]*attempt),
		abandonedAttempts: make(map[uint64]*attempt),
	}
}

// submitAttempt queues an attempt that is new or whose claim has reached a terminal
// state.
func (w *shardWriter) submitAttempt(a *attempt) {
	n := &queueNode{attempt: a}
	for {
		n.next = w.queue.Load()
		if w.queue.CompareAndSwap(n.next, n) {
			break
		}
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// drainQueue moves the queued attempts into unconfirmedAttempts and
// terminalAttempts, in order of arrival. It removes attempts that were abandoned
// while they were queued.
func (w *shardWriter) drainQueue() {
	var newestFirst []*attempt
	for n := w.queue.Swap(nil); n != nil; n = n.next {
		newestFirst = append(newestFirst, n.attempt)
	}
	for i := len(newestFirst) - 1; i >= 0; i-- {
		a := newestFirst[i]
		switch a.phase.Load() {
		case phaseWaiting:
			w.unconfirmedAttempts = append(w.unconfirmedAttempts, a)
		case phaseFinished, phaseReleased:
			w.terminalAttempts[a.proposal.Nonce] = a
		default:
			w.removeAttempt(a)
		}
	}
}

// removeAttempt removes the attempt from all maps of this process.
func (w *shardWriter) removeAttempt(a *attempt) {
	delete(w.terminalAttempts, a.proposal.Nonce)
	delete(w.abandonedAttempts, a.proposal.Nonce)
	w.claims.attempts.Delete(a.proposal.Nonce)
}

// hasUnwrittenChanges reports whether terminal states or releases are left to write.
// No further wake-up is sent for them.
func (w *shardWriter) hasUnwrittenChanges() bool {
	return len(w.terminalAttempts)+len(w.abandonedAttempts) > 0
}

// writeDelay returns how long the remaining changes may wait to share a write with
// a new claim. It returns zero if a write is due now. The first call after a write
// sets nextTerminalWrite.
func (w *shardWriter) writeDelay() time.Duration {
	now := w.claims.Clock.Now()
	if w.nextTerminalWrite.IsZero() {
		w.nextTerminalWrite = now.Add(w.claims.TerminalDelay)
	}
	if len(w.unconfirmedAttempts) > 0 || w.claims.isDraining() {
		return 0
	}
	return max(0, w.nextTerminalWrite.Sub(now))
}

// runCycles runs write cycles until the context ends, or until Drain was called and no
// change is left to write.
func (w *shardWriter) runCycles(ctx context.Context) {
	for {
		err := w.runCycle(ctx)
		if err == nil {
			w.backoff.Reset()
		}
		if !w.waitForCycle(ctx, err) {
			return
		}
	}
}

// waitForCycle waits until the next cycle is due. It returns false if runCycles has
// to return. The argument err is the error of the last cycle.
func (w *shardWriter) waitForCycle(ctx context.Context, err error) bool {
	if err != nil {
		return w.waitForBackoff(ctx)
	}
	for {
		w.drainQueue()
		if len(w.unconfirmedAttempts) == 0 && !w.hasUnwrittenChanges() {
			return w.waitForWork(ctx)
		}
		delay := w.writeDelay()
		if delay == 0 {
			return ctx.Err() == nil
		}
		if !w.waitForDelay(ctx, delay) {
			return false
		}
	}
}

// waitForWork waits for a submitted attempt. It returns false if the context ends,
// or if Drain was called and the queue is empty.
func (w *shardWriter) waitForWork(ctx context.Context) bool {
	select {
	case <-w.wake:
		return true
	case <-ctx.Done():
		return false
	case <-w.claims.draining:
		return w.queue.Load() != nil
	}
}

// waitForDelay waits until the delay has passed, an attempt is submitted or Drain
// is called. It returns false if the context ends.
func (w *shardWriter) waitForDelay(ctx context.Context, delay time.Duration) bool {
	timer := w.claims.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.Chan():
	case <-w.claims.draining:
	case <-ctx.Done():
		return false
	}
	return true
}

// waitForBackoff waits before the next try to use the store. Claims that arrive
// during the wait are refused at once. It returns false if the context ends.
func (w *shardWriter) waitForBackoff(ctx context.Context) bool {
	timer := w.claims.Clock.NewTimer(w.backoff.NextBackOff())
	defer timer.Stop()
	for {
		select {
		case <-timer.Chan():
			return true
		case <-ctx.Done():
			return false
		case <-w.wake:
			w.drainQueue()
			w.rejectUnconfirmed(code.PlatformUnavailable.New("claim in shard %s: the last operation on the platform's store failed; waiting to retry", w.key))
		}
	}
}

// rejectUnconfirmed rejects every unconfirmed attempt with the error.
func (w *shardWriter) rejectUnconfirmed(err error) {
	for _, a := range w.unconfirmedAttempts {
		a.reject(attemptResult{err: err})
		w.retireAttempt(a)
	}
	w.unconfirmedAttempts = nil
}

// retireAttempt handles an attempt that no longer waits for a write. An abandoned
// attempt is kept while a write may store its claim, and removed otherwise.
func (w *shardWriter) retireAttempt(a *attempt) {
	if a.phase.Load() != phaseAbandoned {
		return
	}
	if a.maybeWritten {
		w.abandonedAttempts[a.proposal.Nonce] = a
		return
	}
	w.removeAttempt(a)
}

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

// waitForGrant waits until the pacer grants a write. Claims that arrive during the
// wait join the write. It returns false if the context ends first.
func (w *shardWriter) waitForGrant(ctx context.Context) bool {
	pacer := w.claims.pacer
	priority := terminalWrite
	if len(w.unconfirmedAttempts) > 0 {
		priority = claimWrite
	}
	r := pacer.requestWrite(priority)
	for {
		select {
		case <-r.granted:
			w.writeGranted = true
			w.drainQueue()
			return true
		case <-ctx.Done():
			pacer.cancelRequest(r)
			return false
		case <-w.wake:
			w.drainQueue()
			if len(w.unconfirmedAttempts) > 0 {
				pacer.promoteRequest(r)
			}
		}
	}
}

// waitForRetryGrant waits until the pacer grants another write of the same cycle.
// The stored value may change during a wait, so the shard is then read again.
func (w *shardWriter) waitForRetryGrant(ctx context.Context) error {
	if w.writeGranted {
		return nil
	}
	r := w.claims.pacer.requestWrite(retryWrite)
	select {
	case <-r.granted:
		w.writeGranted = true
		return nil
	default:
	}
	select {
	case <-r.granted:
		w.writeGranted, w.baseKnown = true, false
		w.drainQueue()
		return nil
	case <-ctx.Done():
		w.claims.pacer.cancelRequest(r)
		return ctx.Err()
	}
}

// returnGrant gives the grant back to the pacer if the cycle did not use it.
func (w *shardWriter) returnGrant() {
	if w.writeGranted {
		w.writeGranted = false
		w.claims.pacer.returnGrant()
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
