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
	platform Store
	clock    clock.Clock
	key      store.Key
	self     ident.Instance
	ttl      time.Duration

	id    store.LeaseID
	held  bool
	until time.Time
	// fence is the revision at which the key was taken.
	fence unit.Revision
}

// marginShare is the part of the time to live by which the holder gives up
// before the platform does, for clocks of different speed and late timers.
const marginShare = 5

// New returns a lease that is not held.
func New(platform Store, clk clock.Clock, key store.Key, self ident.Instance, ttl time.Duration) *Lease {
	return &Lease{platform: platform, clock: clk, key: key, self: self, ttl: ttl}
}

// IsHeld reports whether the holder may act now. It depends on the local monotonic
// clock only: the lease counts from before it was asked for.
func (l *Lease) IsHeld() bool {
	return l.held && l.clock.Now().Before(l.until)
}

// FencingToken returns the revision at which the key was taken. A later holder has a
// higher one.
func (l *Lease) FencingToken() unit.Revision {
	return l.fence
}

// AcquireOrRenew acquires the key or keeps it alive.
//
// Errors are those of the platform. The lease may still be held after one.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if l.held {
		return l.keep(ctx)
	}
	entry, err := l.platform.Get(ctx, l.key)
	if err != nil {
		return err
	}
	if entry.Revision != 0 {
		// A write whose answer was lost may have taken effect. Only the
		// lease's number tells, as an earlier boot has the same name.
		l.held = l.id != 0 && entry.Lease == l.id && string(entry.Value) == string(l.self)
		if !l.held {
			return l.drop(ctx)
		}
		l.fence = entry.Revision
		return l.keep(ctx)
	}
	return l.acquire(ctx)
}

func (l *Lease) acquire(ctx context.Context) error {
	if l.id == 0 {
		id, err := l.platform.Grant(ctx, l.ttl)
		if err != nil {
			return err
		}
		l.id = id
	}
	if err := l.keep(ctx); err != nil || l.id == 0 {
		return err
	}
	entry, result, err := l.platform.Swap(ctx, store.Swap{Key: l.key, Value: []byte(l.self), Lease: l.id})
	l.held, l.fence = result == store.Applied, entry.Revision
	if result == store.Unknown {
		return err
	}
	return nil
}

func (l *Lease) keep(ctx context.Context) error {
	asked := l.clock.Now()
	ttl, err := l.platform.KeepAlive(ctx, l.id)
	if err != nil {
		if l.held && !l.IsHeld() {
			l.held = false
		}
		return err
	}
	if ttl <= 0 {
		l.id, l.held = 0, false
		return nil
	}
	l.until = asked.Add(ttl - ttl/marginShare)
	return nil
}

// drop revokes the lease that holds nothing.
func (l *Lease) drop(ctx context.Context) error {
	if l.id == 0 {
		return nil
	}
	id := l.id
	l.id, l.held = 0, false
	return l.platform.Revoke(ctx, id)
}

// Release gives the key up at once, so that another daemon may take it.
//
// Errors are those of the platform; the key then lapses with its lease.
func (l *Lease) Release(ctx context.Context) error {
	l.held = false
	return l.drop(ctx)
}
