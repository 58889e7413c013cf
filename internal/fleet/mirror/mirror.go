// Package mirror keeps a copy of the keys in the platform's key-value store and
// passes each change to handlers. The copy comes from the platform or from another
// daemon's copy, and stays in use while neither can be reached.
package mirror

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

// Source is a store that the mirror copies.
type Source interface {
	// List returns the entries below the prefix, and the revision after which
	// Changes has all changes that are not in the list.
	List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
	// Changes waits for changes after the revision, not longer than the given time.
	// completeUpTo is the revision up to which the changes are complete; compacted
	// says that the source no longer has the history since the revision.
	Changes(ctx context.Context, prefix store.Key, after unit.Revision, wait time.Duration) (changes []store.Change, completeUpTo unit.Revision, compacted bool, err error)
}

// ChangeHandler handles the changes of the keys below its prefix. Its methods are
// called one at a time.
type ChangeHandler interface {
	Prefix() store.Key
	// HandleChanges applies changes in order. synced says that the source's whole
	// list has been read.
	HandleChanges(changes []store.Change, synced bool)
}

// Options configure a Mirror.
type Options struct {
	Clock  clock.Clock
	Log    zerolog.Logger
	Source Source
	// LeasedPrefix is the prefix of the keys that are bound to a lease. After an
	// outage of the source, keys may be missing because their leases expired,
	// and their writers write them again. The mirror therefore defers removals
	// of these keys until SettleTime after the outage.
	LeasedPrefix store.Key
	SettleTime   time.Duration
	// RenewInterval is the interval at which writers renew the leases of these keys.
	RenewInterval time.Duration
	// MinOutage is the shortest outage of the source in which leases of running
	// writers may expire.
	MinOutage time.Duration
	// Within is the time within which a change has to be in force. Zero means two
	// seconds.
	Within time.Duration
}

// Mirror copies the keys of its Source and passes the changes to its handlers.
type Mirror struct {
	plugin.BackgroundTasks
	Options
	handlers        []ChangeHandler
	sourceConnected atomic.Bool
	lowLatency      atomic.Bool
	awaitsChange    atomic.Bool
	revision        atomic.Int64
	// confirmedAt is the time at which the platform last confirmed the copy, as a
	// clock.Instant.
	confirmedAt atomic.Int64

	// Only Run uses synced and retryDelay. synced says that the list has been
	// read and that Changes continues from the copy's revision.
	synced     bool
	retryDelay time.Duration
	// peerRevision is the highest revision that another daemon has announced, and
	// cancelCall cancels the current call to the source.
	peerRevision atomic.Int64
	cancelCall   atomic.Pointer[context.CancelFunc]
	// sourceRegained is signalled when another daemon reports a recent copy while this one is too
	// old.
	sourceRegained chan struct{}
	// freshness has the bounds of the copy's age.
	freshness freshness

	// notifyMu is held while handlers are called, so that they get changes in
	// order and one call at a time.
	notifyMu sync.Mutex

	mu      sync.Mutex
	entries map[store.Key]store.Entry
	history history
	// changed is closed and replaced when the copy changes or is confirmed.
	changed chan struct{}
	// deferredRemovals has the keys whose removal is deferred, with the time at
	// which the removal is due.
	deferredRemovals map[store.Key]time.Time
	// unsettled has the keys of which handlers don't know the state after a restoration
	// of the platform yet, with the time at which they get it.
	unsettled map[store.Key]time.Time
	// deferUntil is the time until which removals below LeasedPrefix are deferred.
	deferUntil time.Time
}

// New returns an empty mirror.
func New(o Options) *Mirror {
	return &Mirror{Options: o, freshness: freshnessFor(o.Within), retryDelay: minRetryDelay, entries: make(map[store.Key]store.Entry), changed: make(chan struct{}), sourceRegained: make(chan struct{}, 1), deferredRemovals: make(map[store.Key]time.Time), unsettled: make(map[store.Key]time.Time)}
}

// AddHandler adds a handler of changes. It must not be called after Run.
func (m *Mirror) AddHandler(h ChangeHandler) {
	m.handlers = append(m.handlers, h)
}

// SourceConnected reports whether the source answered the last call.
func (m *Mirror) SourceConnected() bool {
	return m.sourceConnected.Load()
}

// Revision returns the revision up to which the copy is complete.
func (m *Mirror) Revision() unit.Revision {
	return unit.Revision(m.revision.Load())
}

// Get returns the entry of the key; a Revision of zero says that the key is absent.
func (m *Mirror) Get(key store.Key) store.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[key]
}

// LeaderKey is the key that the leader holds, with its name as the value.
const LeaderKey store.Key = "cuminbay/planner"

// Leader returns the daemon that holds LeaderKey, empty if none does.
func (m *Mirror) Leader() ident.Instance {
	return ident.Instance(m.Get(LeaderKey).Value)
}

// SetLowLatency sets whether this daemon needs each change with low latency, as the
// leader does, whose planner acts on changes.
func (m *Mirror) SetLowLatency(enabled bool) {
	m.lowLatency.Store(enabled)
	if u, ok := m.Source.(*Upstream); ok {
		u.PreferPlatform(enabled)
	}
}

// SetAwaitsChange sets whether a daemon that needs changes with low latency awaits one now.
func (m *Mirror) SetAwaitsChange(awaits bool) {
	m.awaitsChange.Store(awaits)
}

// confirmer is a Source that knows the time at which the platform confirmed what the last call
// read. It is earlier than the end of the call by the time that the answer took to arrive.
type confirmer interface {
	ConfirmedAt() time.Time
}

// confirmationTime returns the time at which the platform confirmed what the last call to the source
// read.
func confirmationTime(s Source, now time.Time) time.Time {
	if c, ok := s.(confirmer); ok {
		return c.ConfirmedAt()
	}
	return now
}

// apply applies changes to the copy, records the time of its confirmation and calls the
// handlers. The history gets every change: daemons that follow this daemon defer removals
// themselves.
func (m *Mirror) apply(changes []store.Change, revision unit.Revision, synced bool) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.mu.Lock()
	forwarded, accepted := m.applyToEntries(changes)
	m.revision.Store(max(m.revision.Load(), int64(revision)))
	if m.history.completeAfter == 0 {
		m.history.completeAfter = m.Revision()
	}
	m.history.add(forwarded)
	// An answer that took long may be older than a confirmation from another source.
	confirmed := int64(clock.InstantOf(confirmationTime(m.Source, m.Clock.Now())))
	m.confirmedAt.Store(max(m.confirmedAt.Load(), confirmed))
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.notify(accepted, synced)
}

// applyToEntries applies changes to the entries of the copy. It ignores changes
// that are older than the copy's entry of their key and returns all others as
// forwarded. It returns the forwarded changes without deferred removals as
// accepted. The caller holds the lock.
func (m *Mirror) applyToEntries(changes []store.Change) (forwarded, accepted []store.Change) {
	now := m.Clock.Now()
	for _, change := range changes {
		if change.Revision < m.entries[change.Key].Revision {
			// A list is not a snapshot, so the changes after it can be
			// older than its entries.
			continue
		}
		forwarded = append(forwarded, change)
		if change.Removed && now.Before(m.deferUntil) && strings.HasPrefix(string(change.Key), string(m.LeasedPrefix)) {
			if len(m.deferredRemovals) == 0 {
				m.Clock.AfterFunc(m.deferUntil.Sub(now), m.applyDeferredRemovals)
			}
			m.deferredRemovals[change.Key] = m.deferUntil
			continue
		}
		if change.Removed {
			delete(m.entries, change.Key)
		} else {
			m.entries[change.Key] = change.Entry
		}
		delete(m.deferredRemovals, change.Key)
		delete(m.unsettled, change.Key)
		accepted = append(accepted, change)
	}
	return forwarded, accepted
}

// notify calls the handlers with the changes below their prefixes.
func (m *Mirror) notify(changes []store.Change, synced bool) {
	for _, h := range m.handlers {
		var matching []store.Change
		for _, change := range changes {
			if strings.HasPrefix(string(change.Key), string(h.Prefix())) {
				matching = append(matching, change)
			}
		}
		if len(matching) > 0 || synced {
			h.HandleChanges(matching, synced)
		}
	}
}

// applyDeferredRemovals removes the keys whose removal was deferred and that have
// not been written again.
func (m *Mirror) applyDeferredRemovals() {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	now := m.Clock.Now()
	m.mu.Lock()
	var removed []store.Change
	for key, until := range m.deferredRemovals {
		if now.Before(until) {
			// Another outage of the platform has extended the deferral.
			m.Clock.AfterFunc(until.Sub(now), m.applyDeferredRemovals)
			continue
		}
		delete(m.deferredRemovals, key)
		delete(m.unsettled, key)
		delete(m.entries, key)
		removed = append(removed, store.Change{Entry: store.Entry{Key: key, Revision: m.Revision()}, Removed: true})
	}
	m.mu.Unlock()
	if len(removed) > 0 {
		slices.SortFunc(removed, func(a, b store.Change) int { return strings.Compare(string(a.Key), string(b.Key)) })
		m.Log.Info().Int("keys", len(removed)).Msg("store-lapses-believed")
		m.notify(removed, false)
	}
}
