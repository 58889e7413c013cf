// Package lease holds a key of the platform for as long as its lease is kept
// alive, for duties that one daemon does at a time.
package lease

import (
	"context"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Store is the part of the platform that a lease needs.
type Store interface {
	Get(ctx context.Context, key store.Key) (store.Entry, error)
	Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error)
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id store.LeaseID) error
}

// Lease holds a key of the platform for as long as its lease is kept alive. It
// is used by one goroutine.
type Lease struct {
	store Store
	clock clock.Clock
	key   store.Key
	self  ident.Instance
	ttl   time.Duration

	leaseID    store.LeaseID
	acquired   bool
	validUntil time.Time
	// fencingToken is the revision at which the key was taken.
	fencingToken unit.Revision
}

// safetyMarginDivisor is the part of the time to live by which the holder gives up
// before the platform does, for clocks of different speed and late timers.
const safetyMarginDivisor = 5

// New returns a lease that is not held.
func New(keyStore Store, clk clock.Clock, key store.Key, self ident.Instance, ttl time.Duration) *Lease {
	return &Lease{store: keyStore, clock: clk, key: key, self: self, ttl: ttl}
}

// IsHeld reports whether the holder may act now. It depends on the local monotonic
// clock only: the lease counts from before it was asked for.
func (l *Lease) IsHeld() bool {
	return l.acquired && l.clock.Now().Before(l.validUntil)
}

// FencingToken returns the revision at which the key was taken. A later holder has a
// higher one.
func (l *Lease) FencingToken() unit.Revision {
	return l.fencingToken
}

// AcquireOrRenew acquires the key or keeps it alive.
//
// Errors are those of the platform. The lease may still be held after one.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if l.acquired {
		return l.keepAlive(ctx)
	}
	entry, err := l.store.Get(ctx, l.key)
	if err != nil {
		return err
	}
	if entry.Revision != 0 {
		// A write whose answer was lost may have taken effect. Only the
		// lease's number tells, as an earlier boot has the same name.
		l.acquired = l.leaseID != 0 && entry.Lease == l.leaseID && string(entry.Value) == string(l.self)
		if !l.acquired {
			return l.revoke(ctx)
		}
		l.fencingToken = entry.Revision
		return l.keepAlive(ctx)
	}
	return l.acquire(ctx)
}

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

// revoke revokes the lease that holds nothing.
func (l *Lease) revoke(ctx context.Context) error {
	if l.leaseID == 0 {
		return nil
	}
	id := l.leaseID
	l.leaseID, l.acquired = 0, false
	return l.store.Revoke(ctx, id)
}

// Release gives the key up at once, so that another daemon may take it.
//
// Errors are those of the platform; the key then lapses with its lease.
func (l *Lease) Release(ctx context.Context) error {
	l.acquired = false
	return l.revoke(ctx)
}
