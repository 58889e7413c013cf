package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/plugin"
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
	plugin.Wake(w.wake)
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
