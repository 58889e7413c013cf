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

// keeper owns one shard in this process. It has one write in flight at a time
// and puts everything that waits into the next one. Only submit may be called
// from several goroutines.
type keeper struct {
	claims  *Claims
	key     store.Key
	queue   atomic.Pointer[node]
	wake    chan struct{}
	backoff *backoff.ExponentialBackOff

	// known says that base and revision are what the platform last showed.
	known    bool
	base     *Shard
	revision unit.Revision
	// shown is the time of that answer.
	shown time.Time
	// changes have ended but are not known to be so in the platform; fences
	// were given up but may be or come there.
	changes map[uint64]*attempt
	fences  map[uint64]*attempt
	// due is when changes and fences are written without a claim to share
	// the write with; zero if there are none.
	due time.Time
	// granted says that the pacer has granted a write that was not begun yet.
	granted bool
	// live are the attempts of the current cycle that wait for the platform.
	live []*attempt
}

// node is an element of the lock-free queue, the newest first.
type node struct {
	attempt *attempt
	next    *node
}

// The waits between tries while the platform can't be used.
const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
)

// freshBase is the age up to which a value is written without being read
// again. Another daemon has most likely changed an older one, and a write that
// loses costs the platform a write, of which it takes far fewer than reads.
const freshBase = 20 * time.Millisecond

func newKeeper(c *Claims, shard uint64) *keeper {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, lastBackoff
	b.Reset()
	return &keeper{
		claims:  c,
		key:     store.ClaimPrefix + store.Key(fmt.Sprintf("%02d", shard)),
		wake:    make(chan struct{}, 1),
		backoff: b,
		changes: make(map[uint64]*attempt),
		fences:  make(map[uint64]*attempt),
	}
}

// submit queues an attempt that is new or has ended.
func (k *keeper) submit(a *attempt) {
	n := &node{attempt: a}
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

// take moves what is queued into live and changes, in order of arrival.
func (k *keeper) take() {
	var newest []*attempt
	for n := k.queue.Swap(nil); n != nil; n = n.next {
		newest = append(newest, n.attempt)
	}
	for i := len(newest) - 1; i >= 0; i-- {
		a := newest[i]
		switch a.phase.Load() {
		case waiting:
			k.live = append(k.live, a)
		case finished, released:
			k.changes[a.want.Nonce] = a
		default:
			k.forget(a)
		}
	}
}

// forget drops the attempt from the process's memory.
func (k *keeper) forget(a *attempt) {
	delete(k.changes, a.want.Nonce)
	delete(k.fences, a.want.Nonce)
	k.claims.attempts.Delete(a.want.Nonce)
}

// remains reports whether work is left that nobody will wake the keeper for.
func (k *keeper) remains() bool {
	return len(k.changes)+len(k.fences) > 0
}

// delay returns how long the ends that remain may still wait for a claim to
// share a write with; zero if something has to be written now.
func (k *keeper) delay() time.Duration {
	now := k.claims.Clock.Now()
	if k.due.IsZero() {
		k.due = now.Add(k.claims.EndDelay)
	}
	if len(k.live) > 0 || k.claims.stopping() {
		return 0
	}
	return max(0, k.due.Sub(now))
}

// run works until the context ends, or until Drain was called and nothing
// remains.
func (k *keeper) run(ctx context.Context) {
	for {
		err := k.cycle(ctx)
		if err == nil {
			k.backoff.Reset()
		}
		if !k.wait(ctx, err) {
			return
		}
	}
}

// wait returns true when the next cycle is due.
func (k *keeper) wait(ctx context.Context, err error) bool {
	if err != nil {
		return k.pause(ctx)
	}
	for {
		k.take()
		if len(k.live) == 0 && !k.remains() {
			return k.idle(ctx)
		}
		delay := k.delay()
		if delay == 0 {
			return ctx.Err() == nil
		}
		if !k.rest(ctx, delay) {
			return false
		}
	}
}

// idle waits for something to do.
func (k *keeper) idle(ctx context.Context) bool {
	select {
	case <-k.wake:
		return true
	case <-ctx.Done():
		return false
	case <-k.claims.draining:
		return k.queue.Load() != nil
	}
}

// rest waits until the delay is over or there may be more to do.
func (k *keeper) rest(ctx context.Context, delay time.Duration) bool {
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

// pause waits before the platform is tried again. Claims that arrive meanwhile
// are refused at once.
func (k *keeper) pause(ctx context.Context) bool {
	timer := k.claims.Clock.NewTimer(k.backoff.NextBackOff())
	defer timer.Stop()
	for {
		select {
		case <-timer.Chan():
			return true
		case <-ctx.Done():
			return false
		case <-k.wake:
			k.take()
			k.refuse(code.PlatformUnavailable.New("%s: the platform did not answer a moment ago", k.key))
		}
	}
}

// refuse rejects every live attempt with the error.
func (k *keeper) refuse(err error) {
	for _, a := range k.live {
		a.reject(result{err: err})
		k.leave(a)
	}
	k.live = nil
}

// leave keeps an attempt that was given up for as long as it may be or come in
// the platform.
func (k *keeper) leave(a *attempt) {
	if a.phase.Load() != abandoned {
		return
	}
	if a.exposed {
		k.fences[a.want.Nonce] = a
		return
	}
	k.forget(a)
}

// errAgain asks for another round of a cycle.
var errAgain = errors.New("another round")

// cycle brings everything queued into the platform in as few writes as
// possible, and tells each claim's caller the verdict. Ends alone are written
// once they are due. After an error the live
// attempts have been refused, and changes and fences remain.
func (k *keeper) cycle(ctx context.Context) error {
	k.take()
	if len(k.live) == 0 && (!k.remains() || k.delay() > 0) {
		return nil
	}
	if !k.admit(ctx) {
		return nil
	}
	defer k.refund()
	ctx, cancel := limit(ctx, k.claims.Clock, k.claims.WriteTimeout)
	defer cancel()
	fresh := false
	k.known = k.known && k.claims.Clock.Since(k.shown) < freshBase
	for {
		if err := k.readmit(ctx); err != nil {
			return k.fail(err)
		}
		if !k.known {
			if err := k.read(ctx); err != nil {
				return k.fail(err)
			}
			fresh = true
		}
		err := k.round(ctx, &fresh)
		if errors.Is(err, errAgain) && ctx.Err() == nil {
			continue
		}
		if errors.Is(err, errAgain) {
			err = ctx.Err()
		}
		if err != nil {
			return k.fail(err)
		}
		return nil
	}
}

// admit waits for the pacer's permission to write. Claims that arrive meanwhile
// join the write. It returns false if the context ends first.
func (k *keeper) admit(ctx context.Context) bool {
	pace := k.claims.pace
	u := ending
	if len(k.live) > 0 {
		u = claiming
	}
	t := pace.enter(u)
	for {
		select {
		case <-t.granted:
			k.granted = true
			k.take()
			return true
		case <-ctx.Done():
			pace.leave(t)
			return false
		case <-k.wake:
			k.take()
			if len(k.live) > 0 {
				pace.raise(t)
			}
		}
	}
}

// readmit waits for the permission to write again in the same cycle. After a
// wait the platform's value may have changed, so that it is read again.
func (k *keeper) readmit(ctx context.Context) error {
	if k.granted {
		return nil
	}
	t := k.claims.pace.enter(repeated)
	select {
	case <-t.granted:
		k.granted = true
		return nil
	default:
	}
	select {
	case <-t.granted:
		k.granted, k.known = true, false
		k.take()
		return nil
	case <-ctx.Done():
		k.claims.pace.leave(t)
		return ctx.Err()
	}
}

// refund returns the permission to write if the cycle did not use it.
func (k *keeper) refund() {
	if k.granted {
		k.granted = false
		k.claims.pace.refund()
	}
}

func (k *keeper) fail(err error) error {
	err = code.PlatformUnavailable.Wrap(err, "claim in %s", k.key)
	k.known = false
	k.refuse(err)
	return err
}

func (k *keeper) read(ctx context.Context) error {
	entry, err := k.claims.Platform.Get(ctx, k.key)
	if err != nil {
		return err
	}
	return k.adopt(entry)
}

// adopt takes the platform's value as the current one.
func (k *keeper) adopt(e store.Entry) error {
	s, err := Decode(e.Value)
	if err != nil {
		k.known = false
		return err
	}
	k.show(s, e.Revision)
	return nil
}

func (k *keeper) show(s *Shard, r unit.Revision) {
	k.base, k.revision, k.known, k.shown = s, r, true, k.claims.Clock.Now()
}

// round applies the batch to the current value and writes it if it changes.
func (k *keeper) round(ctx context.Context, fresh *bool) error {
	batch := k.batch()
	now := k.claims.Clock.Now()
	o := k.claims.Rules.Apply(k.base, k.revision, batch, now)
	if !o.Write {
		if !*fresh {
			// What was decided without a write may rest on a value that
			// another daemon has replaced since.
			k.known = false
			return errAgain
		}
		k.settle(batch, &o)
		return nil
	}
	raw := o.Next.Encode()
	k.granted = false
	k.claims.writes.Add(1)
	entry, result, err := k.claims.Platform.Swap(ctx, store.Swap{Key: k.key, ExpectedRevision: k.revision, Value: raw})
	switch result {
	case store.Applied:
		k.show(o.Next, entry.Revision)
		k.settle(batch, &o)
		return nil
	case store.Conflict:
		*fresh = true
		if err := k.adopt(entry); err != nil {
			return err
		}
		return errAgain
	default:
		// The write may take effect later, as long as the revision stays.
		// Reading back and writing again on the same revision with the same
		// nonces is safe: at most one of the two writes takes effect, and
		// either of them confirms the claims that both hold.
		k.expose(&o)
		k.known = false
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		return errAgain
	}
}

// batch collects what the next write should hold.
func (k *keeper) batch() *Batch {
	b := &Batch{Holder: k.claims.Self}
	kept := k.live[:0]
	for _, a := range k.live {
		if a.phase.Load() == waiting {
			kept = append(kept, a)
			b.Wants = append(b.Wants, a.want)
			continue
		}
		k.leave(a)
	}
	k.live = kept
	for _, a := range k.changes {
		if c, ok := a.change(); ok {
			b.Changes = append(b.Changes, c)
		}
	}
	for _, a := range k.fences {
		b.Fences = append(b.Fences, Fence{Hash: a.want.Hash, Nonce: a.want.Nonce, Old: a.old})
	}
	return b
}

// expose marks the attempts that a write of unknown result holds.
func (k *keeper) expose(o *Outcome) {
	for i, a := range k.live {
		if v := o.Verdicts[i]; v == Added || v == Confirmed {
			a.exposed, a.old = true, max(a.old, k.revision)
		}
	}
}

// settle tells the callers their verdicts once the outcome is in the platform,
// and forgets what needs no more attention.
func (k *keeper) settle(b *Batch, o *Outcome) {
	k.due = time.Time{}
	for _, c := range b.Changes {
		k.forget(k.changes[c.Nonce])
	}
	for _, f := range b.Fences {
		k.forget(k.fences[f.Nonce])
	}
	for i, a := range k.live {
		switch v := o.Verdicts[i]; v {
		case Added, Confirmed:
			if a.confirm() {
				k.claims.confirmed.Add(1)
				continue
			}
			// The caller left while the claim was written: release it.
			a.exposed, a.old = true, k.revision
			k.leave(a)
		default:
			a.reject(result{verdict: v, existing: o.Existing[i]})
			// On a later revision no doubtful write can bring in the nonce.
			a.exposed = a.exposed && k.revision <= a.old
			k.leave(a)
		}
	}
	k.live = nil
}
