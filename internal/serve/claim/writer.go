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

// shardWriter owns one shard in this process. It has one write in flight at a time
// and puts everything that waits into the next one. Only submit may be called
// from several goroutines.
type shardWriter struct {
	claims  *Claims
	key     store.Key
	queue   atomic.Pointer[queueNode]
	wake    chan struct{}
	backoff *backoff.ExponentialBackOff

	// baseKnown says that base and revision are what the platform last showed.
	baseKnown bool
	base      *Shard
	revision  unit.Revision
	// baseTime is the time of that answer.
	baseTime time.Time
	// unwrittenEnds have ended but are not known to be so in the platform; fences
	// were given up but may be or come there.
	unwrittenEnds map[uint64]*attempt
	abandoned     map[uint64]*attempt
	// endsDue is when changes and fences are written without a claim to share
	// the write with; zero if there are none.
	endsDue time.Time
	// writeGranted says that the pacer has granted a write that was not begun yet.
	writeGranted bool
	// pending are the attempts of the current cycle that wait for the platform.
	pending []*attempt
}

// queueNode is an element of the lock-free queue, the newest first.
type queueNode struct {
	attempt *attempt
	next    *queueNode
}

// The waits between tries while the platform can't be used.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// maxBaseAge is the age up to which a value is written without being read
// again. Another daemon has most likely changed an older one, and a write that
// loses costs the platform a write, of which it takes far fewer than reads.
const maxBaseAge = 20 * time.Millisecond

func newShardWriter(c *Claims, shard uint64) *shardWriter {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	b.Reset()
	return &shardWriter{
		claims:        c,
		key:           store.ClaimPrefix + store.Key(fmt.Sprintf("%02d", shard)),
		wake:          make(chan struct{}, 1),
		backoff:       b,
		unwrittenEnds: make(map[uint64]*attempt),
		abandoned:     make(map[uint64]*attempt),
	}
}

// submit queues an attempt that is new or has ended.
func (k *shardWriter) submit(a *attempt) {
	n := &queueNode{attempt: a}
	for {
		n.next = k.queue.Load()
		if k.queue.CompareAndSwap(n.next, n) {
			break
		}
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// drainQueue moves what is queued into live and changes, in order of arrival.
func (k *shardWriter) drainQueue() {
	var newest []*attempt
	for n := k.queue.Swap(nil); n != nil; n = n.next {
		newest = append(newest, n.attempt)
	}
	for i := len(newest) - 1; i >= 0; i-- {
		a := newest[i]
		switch a.phase.Load() {
		case waiting:
			k.pending = append(k.pending, a)
		case finished, released:
			k.unwrittenEnds[a.proposal.Nonce] = a
		default:
			k.forget(a)
		}
	}
}

// forget drops the attempt from the process's memory.
func (k *shardWriter) forget(a *attempt) {
	delete(k.unwrittenEnds, a.proposal.Nonce)
	delete(k.abandoned, a.proposal.Nonce)
	k.claims.attempts.Delete(a.proposal.Nonce)
}

// hasUnwritten reports whether work is left that nobody will wake the keeper for.
func (k *shardWriter) hasUnwritten() bool {
	return len(k.unwrittenEnds)+len(k.abandoned) > 0
}

// writeDelay returns how long the ends that remain may still wait for a claim to
// share a write with; zero if something has to be written now.
func (k *shardWriter) writeDelay() time.Duration {
	now := k.claims.Clock.Now()
	if k.endsDue.IsZero() {
		k.endsDue = now.Add(k.claims.EndDelay)
	}
	if len(k.pending) > 0 || k.claims.stopping() {
		return 0
	}
	return max(0, k.endsDue.Sub(now))
}

// run works until the context ends, or until Drain was called and nothing
// remains.
func (k *shardWriter) run(ctx context.Context) {
	for {
		err := k.cycle(ctx)
		if err == nil {
			k.backoff.Reset()
		}
		if !k.waitForCycle(ctx, err) {
			return
		}
	}
}

// waitForCycle returns true when the next cycle is due.
func (k *shardWriter) waitForCycle(ctx context.Context, err error) bool {
	if err != nil {
		return k.waitForBackoff(ctx)
	}
	for {
		k.drainQueue()
		if len(k.pending) == 0 && !k.hasUnwritten() {
			return k.waitForWork(ctx)
		}
		delay := k.writeDelay()
		if delay == 0 {
			return ctx.Err() == nil
		}
		if !k.waitForDelay(ctx, delay) {
			return false
		}
	}
}

// waitForWork waits for something to do.
func (k *shardWriter) waitForWork(ctx context.Context) bool {
	select {
	case <-k.wake:
		return true
	case <-ctx.Done():
		return false
	case <-k.claims.draining:
		return k.queue.Load() != nil
	}
}

// waitForDelay waits until the delay is over or there may be more to do.
func (k *shardWriter) waitForDelay(ctx context.Context, delay time.Duration) bool {
	timer := k.claims.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-k.wake:
	case <-timer.Chan():
	case <-k.claims.draining:
	case <-ctx.Done():
		return false
	}
	return true
}

// waitForBackoff waits before the platform is tried again. Claims that arrive meanwhile
// are refused at once.
func (k *shardWriter) waitForBackoff(ctx context.Context) bool {
	timer := k.claims.Clock.NewTimer(k.backoff.NextBackOff())
	defer timer.Stop()
	for {
		select {
		case <-timer.Chan():
			return true
		case <-ctx.Done():
			return false
		case <-k.wake:
			k.drainQueue()
			k.rejectPending(code.PlatformUnavailable.New("%s: the platform did not answer a moment ago", k.key))
		}
	}
}

// rejectPending rejects every live attempt with the error.
func (k *shardWriter) rejectPending(err error) {
	for _, a := range k.pending {
		a.reject(result{err: err})
		k.retire(a)
	}
	k.pending = nil
}

// retire keeps an attempt that was given up for as long as it may be or come in
// the platform.
func (k *shardWriter) retire(a *attempt) {
	if a.phase.Load() != abandoned {
		return
	}
	if a.maybeWritten {
		k.abandoned[a.proposal.Nonce] = a
		return
	}
	k.forget(a)
}

// errRetry asks for another round of a cycle.
var errRetry = errors.New("another round")

// cycle brings everything queued into the platform in as few writes as
// possible, and tells each claim's caller the verdict. Ends alone are written
// once they are due. After an error the live
// attempts have been refused, and changes and fences remain.
func (k *shardWriter) cycle(ctx context.Context) error {
	k.drainQueue()
	if len(k.pending) == 0 && (!k.hasUnwritten() || k.writeDelay() > 0) {
		return nil
	}
	if !k.waitForGrant(ctx) {
		return nil
	}
	defer k.returnGrant()
	ctx, cancel := withTimeout(ctx, k.claims.Clock, k.claims.WriteTimeout)
	defer cancel()
	fresh := false
	k.baseKnown = k.baseKnown && k.claims.Clock.Since(k.baseTime) < maxBaseAge
	for {
		if err := k.waitForRetryGrant(ctx); err != nil {
			return k.fail(err)
		}
		if !k.baseKnown {
			if err := k.readShard(ctx); err != nil {
				return k.fail(err)
			}
			fresh = true
		}
		err := k.applyAndWrite(ctx, &fresh)
		if errors.Is(err, errRetry) && ctx.Err() == nil {
			continue
		}
		if errors.Is(err, errRetry) {
			err = ctx.Err()
		}
		if err != nil {
			return k.fail(err)
		}
		return nil
	}
}

// waitForGrant waits for the pacer's permission to write. Claims that arrive meanwhile
// join the write. It returns false if the context ends first.
func (k *shardWriter) waitForGrant(ctx context.Context) bool {
	pace := k.claims.pacer
	u := endWrite
	if len(k.pending) > 0 {
		u = claimWrite
	}
	t := pace.request(u)
	for {
		select {
		case <-t.granted:
			k.writeGranted = true
			k.drainQueue()
			return true
		case <-ctx.Done():
			pace.cancel(t)
			return false
		case <-k.wake:
			k.drainQueue()
			if len(k.pending) > 0 {
				pace.promote(t)
			}
		}
	}
}

// waitForRetryGrant waits for the permission to write again in the same cycle. After a
// wait the platform's value may have changed, so that it is read again.
func (k *shardWriter) waitForRetryGrant(ctx context.Context) error {
	if k.writeGranted {
		return nil
	}
	t := k.claims.pacer.request(retryWrite)
	select {
	case <-t.granted:
		k.writeGranted = true
		return nil
	default:
	}
	select {
	case <-t.granted:
		k.writeGranted, k.baseKnown = true, false
		k.drainQueue()
		return nil
	case <-ctx.Done():
		k.claims.pacer.cancel(t)
		return ctx.Err()
	}
}

// returnGrant returns the permission to write if the cycle did not use it.
func (k *shardWriter) returnGrant() {
	if k.writeGranted {
		k.writeGranted = false
		k.claims.pacer.returnGrant()
	}
}

func (k *shardWriter) fail(err error) error {
	err = code.PlatformUnavailable.Wrap(err, "claim in %s", k.key)
	k.baseKnown = false
	k.rejectPending(err)
	return err
}

func (k *shardWriter) readShard(ctx context.Context) error {
	entry, err := k.claims.Platform.Get(ctx, k.key)
	if err != nil {
		return err
	}
	return k.setBaseFromEntry(entry)
}

// setBaseFromEntry takes the platform's value as the current one.
func (k *shardWriter) setBaseFromEntry(e store.Entry) error {
	s, err := Decode(e.Value)
	if err != nil {
		k.baseKnown = false
		return err
	}
	k.setBase(s, e.Revision)
	return nil
}

func (k *shardWriter) setBase(s *Shard, r unit.Revision) {
	k.base, k.revision, k.baseKnown, k.baseTime = s, r, true, k.claims.Clock.Now()
}

// applyAndWrite applies the batch to the current value and writes it if it changes.
func (k *shardWriter) applyAndWrite(ctx context.Context, fresh *bool) error {
	batch := k.buildBatch()
	now := k.claims.Clock.Now()
	o := k.claims.Rules.Apply(k.base, k.revision, batch, now)
	if !o.NeedsWrite {
		if !*fresh {
			// What was decided without a write may rest on a value that
			// another daemon has replaced since.
			k.baseKnown = false
			return errRetry
		}
		k.complete(batch, &o)
		return nil
	}
	raw := o.Next.Encode()
	k.writeGranted = false
	k.claims.writes.Add(1)
	entry, result, err := k.claims.Platform.Swap(ctx, store.Swap{Key: k.key, ExpectedRevision: k.revision, Value: raw})
	switch result {
	case store.Applied:
		k.setBase(o.Next, entry.Revision)
		k.complete(batch, &o)
		return nil
	case store.Conflict:
		*fresh = true
		if err := k.setBaseFromEntry(entry); err != nil {
			return err
		}
		return errRetry
	default:
		// The write may take effect later, as long as the revision stays.
		// Reading back and writing again on the same revision with the same
		// nonces is safe: at most one of the two writes takes effect, and
		// either of them confirms the claims that both hold.
		k.markMaybeWritten(&o)
		k.baseKnown = false
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		return errRetry
	}
}

// buildBatch collects what the next write should hold.
func (k *shardWriter) buildBatch() *Batch {
	b := &Batch{Holder: k.claims.Self}
	kept := k.pending[:0]
	for _, a := range k.pending {
		if a.phase.Load() == waiting {
			kept = append(kept, a)
			b.Proposals = append(b.Proposals, a.proposal)
			continue
		}
		k.retire(a)
	}
	k.pending = kept
	for _, a := range k.unwrittenEnds {
		if c, ok := a.stateChange(); ok {
			b.Changes = append(b.Changes, c)
		}
	}
	for _, a := range k.abandoned {
		b.AbandonedWrites = append(b.AbandonedWrites, AbandonedWrite{Hash: a.proposal.Hash, Nonce: a.proposal.Nonce, ExpectedRevision: a.writeRevision})
	}
	return b
}

// markMaybeWritten marks the attempts that a write of unknown result holds.
func (k *shardWriter) markMaybeWritten(o *ApplyResult) {
	for i, a := range k.pending {
		if v := o.Verdicts[i]; v == Added || v == Confirmed {
			a.maybeWritten, a.writeRevision = true, max(a.writeRevision, k.revision)
		}
	}
}

// complete tells the callers their verdicts once the outcome is in the platform,
// and forgets what needs no more attention.
func (k *shardWriter) complete(b *Batch, o *ApplyResult) {
	k.endsDue = time.Time{}
	for _, c := range b.Changes {
		k.forget(k.unwrittenEnds[c.Nonce])
	}
	for _, f := range b.AbandonedWrites {
		k.forget(k.abandoned[f.Nonce])
	}
	for i, a := range k.pending {
		switch v := o.Verdicts[i]; v {
		case Added, Confirmed:
			if a.confirm() {
				k.claims.confirmed.Add(1)
				continue
			}
			// The caller left while the claim was written: release it.
			a.maybeWritten, a.writeRevision = true, k.revision
			k.retire(a)
		default:
			a.reject(result{verdict: v, existing: o.Existing[i]})
			// On a later revision no doubtful write can bring in the nonce.
			a.maybeWritten = a.maybeWritten && k.revision <= a.writeRevision
			k.retire(a)
		}
	}
	k.pending = nil
}
