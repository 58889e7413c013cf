// Package singlekey is a fake of the platform's key-value store that holds a
// single key in memory, for tests of leases. Writes can lose their answer, and
// all calls can be made to fail.
package singlekey

import (
	"context"
	"errors"
	"time"

	"cuminbay/internal/domain/store"
)

// Store is a key-value store with one key.
type Store struct {
	Entry store.Entry
	// TTL is the time to live that KeepAlive returns; zero says that the lease
	// has expired.
	TTL time.Duration
	// LoseAnswer makes writes take effect and return ErrUnavailable.
	LoseAnswer bool
	// Unavailable makes all calls but Swap return ErrUnavailable.
	Unavailable bool
	// LastLease is the lease that Grant returned last.
	LastLease store.LeaseID
}

// ErrUnavailable is the error of a call that got no answer.
var ErrUnavailable = errors.New("no answer from the store")

func (s *Store) unavailableErr() error {
	if s.Unavailable {
		return ErrUnavailable
	}
	return nil
}

// Get returns the store's only entry, whatever the key.
func (s *Store) Get(context.Context, store.Key) (store.Entry, error) {
	return s.Entry, s.unavailableErr()
}

// Swap writes the value if the entry has the expected revision.
func (s *Store) Swap(_ context.Context, swap store.Swap) (store.Entry, store.SwapResult, error) {
	if s.Entry.Revision != swap.ExpectedRevision {
		return s.Entry, store.Conflict, nil
	}
	s.Entry = store.Entry{Value: swap.Value, Lease: swap.Lease, Revision: swap.ExpectedRevision + 1}
	if s.LoseAnswer {
		return store.Entry{}, store.Unknown, ErrUnavailable
	}
	return s.Entry, store.Applied, nil
}

// Grant returns a new lease.
func (s *Store) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	s.LastLease++
	return s.LastLease, s.unavailableErr()
}

// KeepAlive returns TTL.
func (s *Store) KeepAlive(context.Context, store.LeaseID) (time.Duration, error) {
	return s.TTL, s.unavailableErr()
}

// Revoke does nothing: the entry stays.
func (s *Store) Revoke(context.Context, store.LeaseID) error { return s.unavailableErr() }
