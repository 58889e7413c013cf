package mirror

import (
	"bytes"
	"strings"
	"time"

	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// A platform that was restored from a copy lacks the writes since that copy. The operator and
// the servers write theirs again within SettleTime; until then the list may be older than what
// the handlers know. The registration of a server that has left stays until its lease ends. What
// daemons wrote is not written again.

// missedRenewals is the number of intervals without a renewal after which the platform removes
// a leased key.
const missedRenewals = 3

// daemonPrefix is the prefix of the keys that daemons write.
const daemonPrefix store.Key = "cuminbay/"

// versionedHandler is a ChangeHandler of keys whose values have a version of their own.
type versionedHandler interface {
	ChangeHandler
	// IsVersioned reports whether HandleChanges ignores values of the key that are older
	// than the one that it has.
	IsVersioned(key store.Key) bool
}

// isRestored reports whether a list with the revision is the first one after a restoration.
func (m *Mirror) isRestored(revision unit.Revision) bool {
	own := m.Revision()
	return own != 0 && revision.Era() > own.Era()
}

// lapseTime returns the time after which a restored platform has removed the leased keys whose
// writers are gone.
func (m *Mirror) lapseTime() time.Duration {
	return missedRenewals*m.RenewInterval + m.SettleTime
}

// settleTimeOf returns the time after which a restored platform has what it should have of the
// key.
func (m *Mirror) settleTimeOf(key store.Key, isMissing bool) time.Duration {
	if isMissing || !strings.HasPrefix(string(key), string(m.LeasedPrefix)) {
		return m.SettleTime
	}
	return m.lapseTime()
}

// applyRestoredList replaces the copy by the list of a restored platform. Handlers get what
// differs from the copy after the settle time, unless it has been written again by then. What
// still differs since an earlier restoration waits for that time once more.
func (m *Mirror) applyRestoredList(entries []store.Entry, revision unit.Revision) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.mu.Lock()
	before := m.Revision()
	now := m.Clock.Now()
	for key := range m.unsettled {
		_, found := m.entries[key]
		m.unsettled[key] = now.Add(m.settleTimeOf(key, !found))
	}
	restored := make(map[store.Key]store.Entry, len(entries))
	var atOnce []store.Change
	for _, e := range entries {
		restored[e.Key] = e
		known, found := m.entries[e.Key]
		if _, deferred := m.deferredRemovals[e.Key]; found && !deferred && bytes.Equal(known.Value, e.Value) {
			continue
		}
		atOnce = m.settleLater(atOnce, store.Change{Entry: e}, now)
	}
	for key := range m.entries {
		if _, listed := restored[key]; !listed {
			atOnce = m.settleLater(atOnce, store.Change{Entry: store.Entry{Key: key, Revision: revision}, Removed: true}, now)
		}
	}
	m.entries = restored
	clear(m.deferredRemovals)
	m.deferUntil = now.Add(m.SettleTime)
	unsettled := len(m.unsettled)
	m.revision.Store(int64(revision))
	// Followers have to read the list, since the history before belongs to the earlier era.
	m.history = history{completeAfter: revision}
	m.confirmedAt.Store(int64(clock.InstantOf(confirmationTime(m.Source, m.Clock.Now()))))
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.Log.Warn().Stringer("revision", revision).Stringer("before", before).Int("unsettled", unsettled).Msg("store-restored")
	if unsettled > 0 {
		m.Clock.AfterFunc(m.SettleTime, m.settle)
		m.Clock.AfterFunc(m.lapseTime(), m.settle)
	}
	m.notify(atOnce, true)
}

// settleLater records a difference that handlers get after the settle time, or appends it to
// those that they get at once. The caller holds the lock.
func (m *Mirror) settleLater(atOnce []store.Change, change store.Change, now time.Time) []store.Change {
	if strings.HasPrefix(string(change.Key), string(daemonPrefix)) || m.isVersioned(change) {
		return append(atOnce, change)
	}
	m.unsettled[change.Key] = now.Add(m.settleTimeOf(change.Key, change.Removed))
	return atOnce
}

// isVersioned reports whether the handler of the key ignores a value that is too old.
func (m *Mirror) isVersioned(change store.Change) bool {
	for _, h := range m.handlers {
		v, ok := h.(versionedHandler)
		if ok && !change.Removed && strings.HasPrefix(string(change.Key), string(h.Prefix())) && v.IsVersioned(change.Key) {
			return true
		}
	}
	return false
}

// settle gives handlers the differences that were not written again.
func (m *Mirror) settle() {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	now := m.Clock.Now()
	m.mu.Lock()
	var settled []store.Change
	for key, due := range m.unsettled {
		if now.Before(due) {
			// A later call of settle is due.
			continue
		}
		delete(m.unsettled, key)
		if _, deferred := m.deferredRemovals[key]; deferred {
			continue
		}
		e, found := m.entries[key]
		if !found {
			e = store.Entry{Key: key, Revision: m.Revision()}
		}
		settled = append(settled, store.Change{Entry: e, Removed: !found})
	}
	m.mu.Unlock()
	if len(settled) > 0 {
		m.Log.Info().Int("keys", len(settled)).Msg("store-settled")
		m.notify(settled, false)
	}
}
