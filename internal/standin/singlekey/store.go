// Package singlekey is a stand-in of the platform that has one key, for tests of
// leases.
package singlekey

import (
	"context"
	"errors"
	"time"

	"cuminbay/internal/domain/store"
)

// Store is one key whose answers can be lost.
type Store struct {
	Entry store.Entry
	// TTL is what KeepAlive answers; zero says that the lease has ended.
	TTL time.Duration
	// LoseAnswer makes a write take effect without an answer, Down fails all calls.
	LoseAnswer  bool
	Unavailable bool
	LastLease   store.LeaseID
}

// ErrUnavailable is the error of a call without an answer.
var ErrUnavailable = errors.New("no answer")

func (p *Store) unavailableErr() error {
	if p.Unavailable {
		return ErrUnavailable
	}
	return nil
}

// Get returns the key.
func (p *Store) Get(context.Context, store.Key) (store.Entry, error) {
	return p.Entry, p.unavailableErr()
}

// Swap writes the key if it has the old revision.
func (p *Store) Swap(_ context.Context, s store.Swap) (store.Entry, store.SwapResult, error) {
	if p.Entry.Revision != s.ExpectedRevision {
		return p.Entry, store.Conflict, nil
	}
	p.Entry = store.Entry{Value: s.Value, Lease: s.Lease, Revision: s.ExpectedRevision + 1}
	if p.LoseAnswer {
		return store.Entry{}, store.Unknown, ErrUnavailable
	}
	return p.Entry, store.Applied, nil
}

// Grant returns a new lease.
func (p *Store) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	p.LastLease++
	return p.LastLease, p.unavailableErr()
}

// KeepAlive returns the time to live.
func (p *Store) KeepAlive(context.Context, store.LeaseID) (time.Duration, error) {
	return p.TTL, p.unavailableErr()
}

// Revoke ends a lease; the key stays.
func (p *Store) Revoke(context.Context, store.LeaseID) error { return p.unavailableErr() }
