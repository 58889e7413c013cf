package mirror

import (
	"context"
	"slices"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// The history for the followers of this daemon is bounded by the number of changes and by their size. A
// follower that lacks older ones reads the list, which is smaller than many versions of a large value.
const (
	maxHistory      = 1024
	maxHistoryBytes = 4 << 20
	// changeBytes is what a change takes beside its key and value.
	changeBytes = 96
)

// history holds the latest changes in order of their revisions.
type history struct {
	changes []store.Change
	size    unit.Bytes
	// completeAfter is the revision after which no change is missing.
	completeAfter unit.Revision
}

func (h *history) add(changes []store.Change) {
	h.changes = append(h.changes, changes...)
	for _, change := range changes {
		h.size += sizeOf(change)
	}
	dropped := 0
	for len(h.changes)-dropped > maxHistory || h.size > maxHistoryBytes {
		h.size -= sizeOf(h.changes[dropped])
		h.completeAfter = h.changes[dropped].Revision
		dropped++
	}
	// Delete clears what follows the remaining changes, so that dropped values are not kept.
	h.changes = slices.Delete(h.changes, 0, dropped)
}

// sizeOf returns the memory of a change.
func sizeOf(change store.Change) unit.Bytes {
	return unit.Bytes(changeBytes + len(change.Key) + len(change.Value))
}

// changesAfter returns the changes after the revision, or false if the history no longer
// has all of them.
func (h *history) changesAfter(after unit.Revision) ([]store.Change, bool) {
	if after < h.completeAfter {
		return nil, false
	}
	i := len(h.changes)
	for i > 0 && h.changes[i-1].Revision > after {
		i--
	}
	return append([]store.Change(nil), h.changes[i:]...), true
}

// Age returns the time since the platform last confirmed the copy, directly or
// through other daemons.
func (m *Mirror) Age() time.Duration {
	return m.Clock.Now().Sub(clock.Instant(m.confirmedAt.Load()).Time())
}

// Status returns the state of the copy.
func (m *Mirror) Status() store.CopyStatus {
	status := store.CopyStatus{Revision: m.Revision(), Age: m.Age(), MaxAge: m.MaxAge()}
	if u, ok := m.Source.(*Upstream); ok {
		status.Source = u.CurrentSource()
	}
	return status
}

// Entries returns all entries of the copy, the copy's revision and the time at which the platform
// confirmed it, for a follower.
//
// Errors carry code.NotReady before the first list has been read.
func (m *Mirror) Entries() (entries []store.Entry, revision unit.Revision, confirmedAt time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision.Load() == 0 {
		return nil, 0, time.Time{}, code.NotReady.New("mirror: get entries: the list of keys has not been read yet")
	}
	entries = make([]store.Entry, 0, len(m.entries))
	for key, e := range m.entries {
		// A key with a deferred removal is no longer in the source's list.
		if _, deferred := m.deferredRemovals[key]; !deferred {
			entries = append(entries, e)
		}
	}
	return entries, m.Revision(), clock.Instant(m.confirmedAt.Load()).Time(), nil
}

// WaitForChanges waits, for a follower, until there are changes after the revision, the
// platform has confirmed the copy later than the follower's copy of the given age, or the
// wait ends. completeUpTo is the revision up to which the changes are complete, and confirmedAt the
// time at which the platform confirmed that; compacted says that the history no longer has all of
// them.
func (m *Mirror) WaitForChanges(ctx context.Context, after unit.Revision, age, wait time.Duration) (changes []store.Change, completeUpTo unit.Revision, confirmedAt time.Time, compacted bool) {
	timer := m.Clock.NewTimer(wait)
	defer timer.Stop()
	confirmedBefore := int64(clock.InstantOf(m.Clock.Now().Add(-age)))
	for {
		m.mu.Lock()
		changed := m.changed
		found, covered := m.history.changesAfter(after)
		completeUpTo = max(m.Revision(), after)
		confirmed := m.confirmedAt.Load()
		m.mu.Unlock()
		confirmedAt = clock.Instant(confirmed).Time()
		if !covered || len(found) > 0 || confirmed > confirmedBefore {
			return found, completeUpTo, confirmedAt, !covered
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return nil, completeUpTo, confirmedAt, false
		case <-ctx.Done():
			return nil, completeUpTo, confirmedAt, false
		}
	}
}
