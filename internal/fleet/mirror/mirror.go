// Package mirror keeps a copy of the platform's keys below a prefix and tells
// followers of each change. It holds on to what it has while the platform is
// away.
package mirror

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

// Source is where the keys come from.
type Source interface {
	// List returns the keys and the revision from which Changes completes the
	// list.
	List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
	// Changes waits for changes later than the revision. forgotten says that
	// the source has dropped that history.
	Changes(ctx context.Context, prefix store.Key, after unit.Revision) (changes []store.Change, complete unit.Revision, compacted bool, err error)
}

// ChangeHandler is told of the keys below its prefix. It is called by one goroutine.
type ChangeHandler interface {
	Prefix() store.Key
	// HandleChanges applies changes. whole says that the whole list has been read.
	HandleChanges(changes []store.Change, synced bool)
}

// Options are the parts of a Mirror.
type Options struct {
	Clock  clock.Clock
	Log    zerolog.Logger
	Source Source
	// LeasedPrefix is a prefix whose keys may have lapsed while the source was away
	// and come back within Settle of its return. Until then their removal is
	// not believed.
	LeasedPrefix store.Key
	Settle       time.Duration
	// MinOutage is the shortest time without the source in which entries may
	// lapse.
	MinOutage time.Duration
}

// Mirror is the copy.
type Mirror struct {
	plugin.BackgroundTasks
	Options
	handlers  []ChangeHandler
	connected atomic.Bool
	acting    atomic.Bool
	revision  atomic.Int64
	// confirmedAt is when the platform last confirmed the copy, in nanoseconds since
	// 1970 of the local clock.
	confirmedAt atomic.Int64

	// listed and pause belong to Run.
	listed     bool
	retryDelay time.Duration
	// peerRevision is the highest revision that another daemon has, and interrupt ends
	// the call at work.
	peerRevision atomic.Int64
	cancelCall   atomic.Pointer[context.CancelFunc]

	// notifyMu is held while followers are told, so that they see changes in
	// order and one at a time.
	notifyMu sync.Mutex

	mu      sync.Mutex
	entries map[store.Key]store.Entry
	history history
	// changed is closed and replaced when the copy changes.
	changed chan struct{}
	// deferredRemovals has the removals that are not believed yet.
	deferredRemovals map[store.Key]time.Time
	// deferUntil is when removals are believed again after an outage.
	deferUntil time.Time
}

// New returns an empty mirror.
func New(o Options) *Mirror {
	return &Mirror{Options: o, retryDelay: minRetryDelay, entries: make(map[store.Key]store.Entry), changed: make(chan struct{}), deferredRemovals: make(map[store.Key]time.Time)}
}

// AddHandler adds a follower. It is called before Run.
func (m *Mirror) AddHandler(h ChangeHandler) {
	m.handlers = append(m.handlers, h)
}

// SourceConnected reports whether the source answered last.
func (m *Mirror) SourceConnected() bool {
	return m.connected.Load()
}

// Revision returns the revision up to which the copy is complete.
func (m *Mirror) Revision() unit.Revision {
	return unit.Revision(m.revision.Load())
}

// Get returns the copy of the key; a Revision of zero says that it is absent.
func (m *Mirror) Get(key store.Key) store.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[key]
}

// Times between two calls to a source that fails, and for which a burst of
// changes is gathered before the next call to the platform, where each call is
// paid for.
const (
	minRetryDelay     = 50 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
	batchTime         = 150 * time.Millisecond
	gatherActing      = 20 * time.Millisecond
	followerBatchTime = 20 * time.Millisecond
)

// SetLowLatency says whether this daemon acts on changes, as the planner does.
func (m *Mirror) SetLowLatency(enabled bool) {
	m.acting.Store(enabled)
	if u, ok := m.Source.(*Upstream); ok {
		u.Act(enabled)
	}
}

// recordConfirmation notes that the copy is up to date.
func (m *Mirror) recordConfirmation() {
	confirmedAt := m.Clock.Now()
	if u, ok := m.Source.(*Upstream); ok {
		confirmedAt = u.ConfirmedAt()
	}
	m.confirmedAt.Store(confirmedAt.UnixNano())
}

func (m *Mirror) currentBatchTime() time.Duration {
	u, ok := m.Source.(*Upstream)
	switch {
	case m.acting.Load():
		return gatherActing
	case ok && u.FollowsPeer():
		return followerBatchTime
	}
	return batchTime
}

// Run follows the source until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		plugin.Sleep(ctx, m.Clock, m.poll(ctx))
	}
}

// poll makes one call to the source and returns the time to the next.
func (m *Mirror) poll(ctx context.Context) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.cancelCall.Store(&cancel)
	var err error
	if m.listed {
		m.listed, err = m.readChanges(ctx)
	} else {
		m.listed, err = m.readList(ctx)
	}
	if err == nil {
		m.retryDelay = minRetryDelay
		return m.currentBatchTime()
	}
	// A watch that was cut may have missed changes before, and a new one from
	// the same revision may not hear of them.
	m.listed = false
	m.recordSourceLoss(err)
	delay := m.retryDelay
	m.retryDelay = min(2*m.retryDelay, maxRetryDelay)
	return clock.Jitter(delay)
}

func (m *Mirror) recordSourceLoss(err error) {
	if m.connected.Swap(false) {
		m.Log.Warn().Err(err).Int64("revision", m.revision.Load()).Msg("store-lost")
	}
}

// ObserveRevision takes the revision that another daemon has.
func (m *Mirror) ObserveRevision(revision unit.Revision) {
	for {
		current := m.peerRevision.Load()
		if current >= int64(revision) || m.peerRevision.CompareAndSwap(current, int64(revision)) {
			return
		}
	}
}

// maxLagTime is how long another daemon may be ahead: changes are gathered and
// pass several daemons.
const maxLagTime = 700 * time.Millisecond

// MonitorLag notices that other daemons have later changes, since the source of this
// one has gone silent or lost the platform. The call at work is ended, and
// another source is chosen.
func (m *Mirror) MonitorLag(ctx context.Context) {
	var missingRevision int64
	for plugin.Sleep(ctx, m.Clock, maxLagTime) {
		own, peer := m.revision.Load(), m.peerRevision.Load()
		if missingRevision == 0 || own >= missingRevision {
			missingRevision = 0
			if peer > own {
				missingRevision = peer
			}
			continue
		}
		m.Log.Info().Int64("revision", own).Int64("heard", peer).Msg("store-behind")
		missingRevision = 0
		if u, ok := m.Source.(*Upstream); ok {
			u.AvoidCurrent()
		}
		if cancel := m.cancelCall.Load(); cancel != nil {
			(*cancel)()
		}
	}
}

// recordSourceRecovery notes that the source answers again after an outage.
func (m *Mirror) recordSourceRecovery() {
	if m.connected.Swap(true) {
		return
	}
	if m.confirmedAt.Load() != 0 && m.Age() >= m.MinOutage {
		m.mu.Lock()
		m.deferUntil = m.Clock.Now().Add(m.Settle)
		m.mu.Unlock()
	}
	m.Log.Info().Int64("revision", m.revision.Load()).Msg("store-regained")
}

// readList reads everything and tells the followers of the differences.
func (m *Mirror) readList(ctx context.Context) (bool, error) {
	entries, revision, err := m.Source.List(ctx, "")
	if err != nil {
		return false, err
	}
	if ownRevision := m.Revision(); revision < ownRevision {
		// Another daemon's copy that is older than this one would undo changes.
		if u, ok := m.Source.(*Upstream); ok {
			u.AvoidCurrent()
		}
		return false, code.PlatformUnavailable.New("list at revision %d, own copy at %d", revision, ownRevision)
	}
	m.recordSourceRecovery()
	m.mu.Lock()
	listed := make(map[store.Key]bool, len(entries))
	changes := make([]store.Change, 0, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if e.Revision > m.entries[e.Key].Revision {
			changes = append(changes, store.Change{Entry: e})
		}
	}
	for key := range m.entries {
		if !listed[key] {
			changes = append(changes, store.Change{Entry: store.Entry{Key: key, Revision: revision}, Removed: true})
		}
	}
	m.mu.Unlock()
	// What changed since the last list or change, in order, so that those that
	// follow this daemon need no list.
	slices.SortFunc(changes, func(a, b store.Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	m.apply(changes, revision, true)
	m.recordConfirmation()
	m.Log.Info().Int("keys", len(entries)).Int64("revision", int64(revision)).Msg("store-listed")
	return true, nil
}

// readChanges waits for changes. It returns false if the list has to be read anew.
func (m *Mirror) readChanges(ctx context.Context) (bool, error) {
	changes, complete, compacted, err := m.Source.Changes(ctx, "", m.Revision())
	if err != nil {
		return true, err
	}
	m.recordSourceRecovery()
	if compacted {
		m.Log.Info().Int64("revision", m.revision.Load()).Msg("store-history-lost")
		return false, nil
	}
	m.apply(changes, complete, false)
	m.recordConfirmation()
	return true, nil
}

// apply changes the copy and tells the followers. Daemons that follow this one
// get every change and put removals off by themselves.
func (m *Mirror) apply(changes []store.Change, revision unit.Revision, synced bool) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.mu.Lock()
	forwarded, accepted := m.filterChanges(changes)
	m.revision.Store(max(m.revision.Load(), int64(revision)))
	if m.history.completeAfter == 0 {
		m.history.completeAfter = m.Revision()
	}
	m.history.add(forwarded)
	if len(forwarded) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.mu.Unlock()
	m.notify(accepted, synced)
}

// filterChanges applies changes to the copy. It returns those that are new, and of these
// those that are believed: the others are removals that may be undone. The
// caller holds the lock.
func (m *Mirror) filterChanges(changes []store.Change) (forwarded, accepted []store.Change) {
	now := m.Clock.Now()
	for _, change := range changes {
		if change.Revision < m.entries[change.Key].Revision {
			// A list is no snapshot, so a change that it had already may
			// come after it.
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
		accepted = append(accepted, change)
	}
	return forwarded, accepted
}

// notify passes the changes on.
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

// applyDeferredRemovals believes the removals that were put off and not undone.
func (m *Mirror) applyDeferredRemovals() {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	now := m.Clock.Now()
	m.mu.Lock()
	var removed []store.Change
	for key, until := range m.deferredRemovals {
		if now.Before(until) {
			// The platform was away once more meanwhile.
			m.Clock.AfterFunc(until.Sub(now), m.applyDeferredRemovals)
			continue
		}
		delete(m.deferredRemovals, key)
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
