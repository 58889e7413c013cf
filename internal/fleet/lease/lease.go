// Package lease implements leader election: the daemon that holds a key of the
// platform's key-value store with a lease is the leader. The planners use it, so
// that only one daemon plans at a time.
package lease

import (
	"context"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Store has the operations of the platform's key-value store that a lease
// needs.
type Store interface {
	Get(ctx context.Context, key store.Key) (store.Entry, error)
	Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error)
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id store.LeaseID) error
}

// Lease holds a key of the store for as long as the store's lease is renewed.
// It is used by one goroutine.
type Lease struct {
	store Store
	clock clock.Clock
	key   store.Key
	self  ident.Instance
	ttl   time.Duration

	// leaseID is the store's lease, zero if there is none.
	leaseID store.LeaseID
	// acquired says that the key was written with the lease and is not known to
	// be lost since.
	acquired bool
	// validUntil is the time at which the daemon must stop acting as the holder.
	validUntil time.Time
	// fencingToken is the revision at which the key was written.
	fencingToken unit.Revision
}

// safetyMarginDivisor gives the time by which the holder stops acting before the
// lease ends in the store: a fifth of the time to live. The margin covers clocks
// that run at different rates and late timers.
const safetyMarginDivisor = 5

// New returns a lease that is not held.
func New(keyStore Store, clk clock.Clock, key store.Key, self ident.Instance, ttl time.Duration) *Lease {
	return &Lease{store: keyStore, clock: clock.CountingSuspension(clk), key: key, self: self, ttl: ttl}
}

// IsHeld reports whether this daemon may act as the holder now. It depends only
// on the machine's time since boot, which goes on while the machine is suspended:
// the time to live counts from before the last renewal was sent.
func (l *Lease) IsHeld() bool {
	return l.acquired && l.clock.Now().Before(l.validUntil)
}

// FencingToken returns the revision at which the key was written. A later
// holder has a higher token.
func (l *Lease) FencingToken() unit.Revision {
	return l.fencingToken
}

// AcquireOrRenew acquires the key if it is free, or renews the lease if it is
// held.
//
// Errors are those of the store. The lease may still be held after an error.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if l.acquired {
		return l.keepAlive(ctx)
	}
	entry, err := l.store.Get(ctx, l.key)
	if err != nil {
		return err
	}
	if entry.Revision != 0 {
		// A write of this daemon whose answer was lost may have taken effect.
		// Only the lease's id shows that, since an earlier incarnation of the
		// daemon may have written the same name.
		l.acquired = l.leaseID != 0 && entry.Lease == l.leaseID && string(entry.Value) == string(l.self)
		if !l.acquired {
			return l.revoke(ctx)
		}
		l.fencingToken = entry.Revision
		return l.keepAlive(ctx)
	}
	return l.acquire(ctx)
}

// acquire writes the key with a lease, if no other daemon does so first.
func (l *Lease) acquire(ctx context.Context) error {
	if l.leaseID == 0 {
		id, err := l.store.Grant(ctx, l.ttl)
		if err != nil {
			return err
		}
		l.leaseID = id
	}
	if err := l.keepAlive(ctx); err != nil || l.leaseID == 0 {
		return err
	}
	entry, result, err := l.store.Swap(ctx, store.Swap{Key: l.key, Value: []byte(l.self), Lease: l.leaseID})
	l.acquired, l.fencingToken = result == store.Applied, entry.Revision
	if result == store.Unknown {
		return err
	}
	return nil
}

// keepAlive renews the lease. If the lease has expired in the store, the key is
// lost.
func (l *Lease) keepAlive(ctx context.Context) error {
	requestedAt := l.clock.Now()
	ttl, err := l.store.KeepAlive(ctx, l.leaseID)
	if err != nil {
		if l.acquired && !l.IsHeld() {
			l.acquired = false
		}
		return err
	}
	if ttl <= 0 {
		l.leaseID, l.acquired = 0, false
		return nil
	}
	l.validUntil = requestedAt.Add(ttl - ttl/safetyMarginDivisor)
	return nil
}

// revoke revokes the lease in the store, which deletes the key if it was written
// with this lease.
func (l *Lease) revoke(ctx context.Context) error {
	if l.leaseID == 0 {
		return nil
	}
	id := l.leaseID
	l.leaseID, l.acquired = 0, false
	return l.store.Revoke(ctx, id)
}

// Release gives up the key at once, so that another daemon can acquire it.
//
// Errors are those of the store. The key is then deleted when the lease
// expires.
func (l *Lease) Release(ctx context.Context) error {
	l.acquired = false
	return l.revoke(ctx)
}
