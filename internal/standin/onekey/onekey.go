// Package onekey is a stand-in of the platform that has one key, for tests of
// leases.
package onekey

import (
	"context"
	"errors"
	"time"

	"cuminbay/internal/domain/store"
)

// Platform is one key whose answers can be lost.
type Platform struct {
	Entry store.Entry
	// TTL is what KeepAlive answers; zero says that the lease has ended.
	TTL time.Duration
	// Lost makes a write take effect without an answer, Down fails all calls.
	Lost    bool
	Down    bool
	Granted store.LeaseID
}

// ErrDown is the error of a call without an answer.
var ErrDown = errors.New("no answer")

func (p *Platform) fail() error {
	if p.Down {
		return ErrDown
	}
	return nil
}

// Get returns the key.
func (p *Platform) Get(context.Context, store.Key) (store.Entry, error) { return p.Entry, p.fail() }

// Swap writes the key if it has the old revision.
func (p *Platform) Swap(_ context.Context, s store.Swap) (store.Entry, store.Result, error) {
	if p.Entry.Revision != s.Old {
		return p.Entry, store.Lost, nil
	}
	p.Entry = store.Entry{Value: s.Value, Lease: s.Lease, Revision: s.Old + 1}
	if p.Lost {
		return store.Entry{}, store.Unknown, ErrDown
	}
	return p.Entry, store.Done, nil
}

// Grant returns a new lease.
func (p *Platform) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	p.Granted++
	return p.Granted, p.fail()
}

// KeepAlive returns the time to live.
func (p *Platform) KeepAlive(context.Context, store.LeaseID) (time.Duration, error) {
	return p.TTL, p.fail()
}

// Revoke ends a lease; the key stays.
func (p *Platform) Revoke(context.Context, store.LeaseID) error { return p.fail() }
