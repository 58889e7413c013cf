package mirror

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

// After a failed call the mirror waits from minRetryDelay up to maxRetryDelay.
// After a successful call it waits for a batch time, so that a burst of changes
// takes one call: each call to the platform has a cost. The batch time is shorter
// for a daemon that needs changes with low latency, even more while it awaits one, and for
// a daemon that follows another daemon. A hundred servers renew their entries so often that
// without a batch time each call would return at once.
const (
	minRetryDelay       = 50 * time.Millisecond
	maxRetryDelay       = 500 * time.Millisecond
	batchTime           = 300 * time.Millisecond
	lowLatencyBatchTime = 100 * time.Millisecond
	awaitedBatchTime    = 20 * time.Millisecond
	followerBatchTime   = 20 * time.Millisecond
)

func (m *Mirror) currentBatchTime() time.Duration {
	u, ok := m.Source.(*Upstream)
	switch {
	case m.lowLatency.Load() && m.awaitsChange.Load():
		return awaitedBatchTime
	case m.lowLatency.Load():
		return lowLatencyBatchTime
	case ok && u.CurrentSource() != platformSource:
		return followerBatchTime
	}
	return batchTime
}

// Run copies the source until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay, answered := m.poll(ctx)
		if answered {
			plugin.Sleep(ctx, m.Clock, delay)
			continue
		}
		// Datagrams arrive much more often than a failed call is worth repeating.
		plugin.Sleep(ctx, m.Clock, minRetryDelay)
		plugin.SleepOrWake(ctx, m.Clock, delay-minRetryDelay, m.sourceRegained)
	}
}

// poll makes one call to the source. It returns the delay before the next one, and whether the
// source answered.
func (m *Mirror) poll(ctx context.Context) (delay time.Duration, answered bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.cancelCall.Store(&cancel)
	var err error
	if m.synced {
		m.synced, err = m.readChanges(ctx)
	} else {
		m.synced, err = m.readList(ctx)
	}
	if err == nil {
		m.retryDelay = minRetryDelay
		return m.currentBatchTime(), true
	}
	if code.Of(err) == code.BadMessage {
		// The same changes would be malformed again.
		m.synced = false
	}
	m.recordSourceLoss(err)
	return m.nextRetryDelay(), false
}

// nextRetryDelay returns the delay before the next call after one that failed. It ends as soon as a
// source that is avoided can be used again.
func (m *Mirror) nextRetryDelay() time.Duration {
	delay := clock.Jitter(m.retryDelay)
	m.retryDelay = min(2*m.retryDelay, maxRetryDelay)
	if u, ok := m.Source.(*Upstream); ok {
		return max(u.untilNextSource(delay), minRetryDelay)
	}
	return delay
}

func (m *Mirror) recordSourceLoss(err error) {
	if m.sourceConnected.Swap(false) {
		m.Log.Warn().Err(err).Stringer("revision", m.Revision()).Msg("store-lost")
	}
}

// cancelCurrentCall cancels the call to the source that is in progress, if any.
func (m *Mirror) cancelCurrentCall() {
	if cancel := m.cancelCall.Load(); cancel != nil {
		(*cancel)()
	}
}

// recordSourceRecovery records that the source answers again. After an outage of
// at least MinOutage it starts deferring removals.
func (m *Mirror) recordSourceRecovery() {
	if m.sourceConnected.Swap(true) {
		return
	}
	isOutage := m.confirmedAt.Load() != 0 && m.Age() >= m.MinOutage
	if isOutage {
		m.mu.Lock()
		m.deferUntil = m.Clock.Now().Add(m.SettleTime)
		m.mu.Unlock()
	}
	m.Log.Info().Stringer("revision", m.Revision()).Dur("age_ms", m.Age()).Bool("outage", isOutage).Msg("store-regained")
}

// readList reads the source's whole list and applies the differences from the copy.
// It returns true if the copy is synced with the list.
func (m *Mirror) readList(ctx context.Context) (bool, error) {
	entries, revision, err := m.Source.List(ctx, "")
	if err != nil {
		return false, err
	}
	if ownRevision := m.Revision(); revision < ownRevision {
		// A copy of another daemon that is older than this copy would undo
		// changes.
		if u, ok := m.Source.(*Upstream); ok {
			u.AvoidCurrentSource()
		}
		return false, code.PlatformUnavailable.New("mirror: read list: got revision %s, expected at least revision %s of this copy", revision, ownRevision)
	}
	m.recordSourceRecovery()
	if m.isRestored(revision) {
		m.applyRestoredList(entries, revision)
		return true, nil
	}
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
	// The changes go into the history in order of their revisions, so that the
	// followers of this daemon need not read the list again.
	slices.SortFunc(changes, func(a, b store.Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	m.apply(changes, revision, true)
	m.Log.Info().Int("keys", len(entries)).Stringer("revision", revision).Msg("store-listed")
	return true, nil
}

// readChanges waits for changes and applies them. It returns false if the list has
// to be read again.
func (m *Mirror) readChanges(ctx context.Context) (bool, error) {
	changes, completeUpTo, compacted, err := m.Source.Changes(ctx, "", m.Revision(), m.nextWait())
	if err != nil {
		return true, err
	}
	m.recordSourceRecovery()
	if compacted {
		m.Log.Info().Stringer("revision", m.Revision()).Msg("store-history-lost")
		return false, nil
	}
	m.apply(changes, completeUpTo, false)
	return true, nil
}
