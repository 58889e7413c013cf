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
	Changes(ctx context.Context, prefix store.Key, after unit.Revision) (changes []store.Change, complete unit.Revision, forgotten bool, err error)
}

// Follower is told of the keys below its prefix. It is called by one goroutine.
type Follower interface {
	Prefix() store.Key
	// Follow applies changes. whole says that the whole list has been read.
	Follow(changes []store.Change, whole bool)
}

// Options are the parts of a Mirror.
type Options struct {
	Clock  clock.Clock
	Log    zerolog.Logger
	Source Source
	// Lapsing is a prefix whose keys may have lapsed while the source was away
	// and come back within Settle of its return. Until then their removal is
	// not believed.
	Lapsing store.Key
	Settle  time.Duration
	// Outage is the shortest time without the source in which entries may
	// lapse.
	Outage time.Duration
}

// Mirror is the copy.
type Mirror struct {
	plugin.BackgroundTasks
	Options
	followers []Follower
	connected atomic.Bool
	acting    atomic.Bool
	revision  atomic.Int64
	// fresh is when the platform last confirmed the copy, in nanoseconds since
	// 1970 of the local clock.
	fresh atomic.Int64

	// listed and pause belong to Run.
	listed bool
	pause  time.Duration
	// heard is the highest revision that another daemon has, and interrupt ends
	// the call at work.
	heard     atomic.Int64
	interrupt atomic.Pointer[context.CancelFunc]

	// telling is held while followers are told, so that they see changes in
	// order and one at a time.
	telling sync.Mutex

	mu      sync.Mutex
	keys    map[store.Key]store.Entry
	history history
	// changed is closed and replaced when the copy changes.
	changed chan struct{}
	// lapsed has the removals that are not believed yet.
	lapsed map[store.Key]time.Time
	// settled is when removals are believed again after an outage.
	settled time.Time
}

// New returns an empty mirror.
func New(o Options) *Mirror {
	return &Mirror{Options: o, pause: firstPause, keys: make(map[store.Key]store.Entry), changed: make(chan struct{}), lapsed: make(map[store.Key]time.Time)}
}

// Follow adds a follower. It is called before Run.
func (m *Mirror) Follow(f Follower) {
	m.followers = append(m.followers, f)
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
	return m.keys[key]
}

// Times between two calls to a source that fails, and for which a burst of
// changes is gathered before the next call to the platform, where each call is
// paid for.
const (
	firstPause    = 50 * time.Millisecond
	longestPause  = 500 * time.Millisecond
	gather        = 150 * time.Millisecond
	gatherActing  = 20 * time.Millisecond
	gatherThrough = 20 * time.Millisecond
)

// SetLowLatency says whether this daemon acts on changes, as the planner does.
func (m *Mirror) SetLowLatency(acting bool) {
	m.acting.Store(acting)
	if u, ok := m.Source.(*Upstream); ok {
		u.Act(acting)
	}
}

// confirmed notes that the copy is up to date.
func (m *Mirror) confirmed() {
	fresh := m.Clock.Now()
	if u, ok := m.Source.(*Upstream); ok {
		fresh = u.Fresh()
	}
	m.fresh.Store(fresh.UnixNano())
}

func (m *Mirror) gatherTime() time.Duration {
	u, ok := m.Source.(*Upstream)
	switch {
	case m.acting.Load():
		return gatherActing
	case ok && u.Through():
		return gatherThrough
	}
	return gather
}

// Run follows the source until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		plugin.Sleep(ctx, m.Clock, m.step(ctx))
	}
}

// step makes one call to the source and returns the time to the next.
func (m *Mirror) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.interrupt.Store(&cancel)
	var err error
	if m.listed {
		m.listed, err = m.read(ctx)
	} else {
		m.listed, err = m.list(ctx)
	}
	if err == nil {
		m.pause = firstPause
		return m.gatherTime()
	}
	// A watch that was cut may have missed changes before, and a new one from
	// the same revision may not hear of them.
	m.listed = false
	m.lost(err)
	pause := m.pause
	m.pause = min(2*m.pause, longestPause)
	return clock.Jitter(pause)
}

func (m *Mirror) lost(err error) {
	if m.connected.Swap(false) {
		m.Log.Warn().Err(err).Int64("revision", m.revision.Load()).Msg("store-lost")
	}
}

// ObserveRevision takes the revision that another daemon has.
func (m *Mirror) ObserveRevision(revision unit.Revision) {
	for {
		known := m.heard.Load()
		if known >= int64(revision) || m.heard.CompareAndSwap(known, int64(revision)) {
			return
		}
	}
}

// behindTime is how long another daemon may be ahead: changes are gathered and
// pass several daemons.
const behindTime = 700 * time.Millisecond

// Watch notices that other daemons have later changes, since the source of this
// one has gone silent or lost the platform. The call at work is ended, and
// another source is chosen.
func (m *Mirror) Watch(ctx context.Context) {
	var behind int64
	for plugin.Sleep(ctx, m.Clock, behindTime) {
		own, heard := m.revision.Load(), m.heard.Load()
		if behind == 0 || own >= behind {
			behind = 0
			if heard > own {
				behind = heard
			}
			continue
		}
		m.Log.Info().Int64("revision", own).Int64("heard", heard).Msg("store-behind")
		behind = 0
		if u, ok := m.Source.(*Upstream); ok {
			u.Leave()
		}
		if cancel := m.interrupt.Load(); cancel != nil {
			(*cancel)()
		}
	}
}

// regained notes that the source answers again after an outage.
func (m *Mirror) regained() {
	if m.connected.Swap(true) {
		return
	}
	if m.fresh.Load() != 0 && m.Age() >= m.Outage {
		m.mu.Lock()
		m.settled = m.Clock.Now().Add(m.Settle)
		m.mu.Unlock()
	}
	m.Log.Info().Int64("revision", m.revision.Load()).Msg("store-regained")
}

// list reads everything and tells the followers of the differences.
func (m *Mirror) list(ctx context.Context) (bool, error) {
	entries, revision, err := m.Source.List(ctx, "")
	if err != nil {
		return false, err
	}
	if own := m.Revision(); revision < own {
		// Another daemon's copy that is older than this one would undo changes.
		if u, ok := m.Source.(*Upstream); ok {
			u.Leave()
		}
		return false, code.PlatformUnavailable.New("list at revision %d, own copy at %d", revision, own)
	}
	m.regained()
	m.mu.Lock()
	listed := make(map[store.Key]bool, len(entries))
	changes := make([]store.Change, 0, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if e.Revision > m.keys[e.Key].Revision {
			changes = append(changes, store.Change{Entry: e})
		}
	}
	for key := range m.keys {
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
	m.confirmed()
	m.Log.Info().Int("keys", len(entries)).Int64("revision", int64(revision)).Msg("store-listed")
	return true, nil
}

// read waits for changes. It returns false if the list has to be read anew.
func (m *Mirror) read(ctx context.Context) (bool, error) {
	changes, complete, forgotten, err := m.Source.Changes(ctx, "", m.Revision())
	if err != nil {
		return true, err
	}
	m.regained()
	if forgotten {
		m.Log.Info().Int64("revision", m.revision.Load()).Msg("store-history-lost")
		return false, nil
	}
	m.apply(changes, complete, false)
	m.confirmed()
	return true, nil
}

// apply changes the copy and tells the followers. Daemons that follow this one
// get every change and put removals off by themselves.
func (m *Mirror) apply(changes []store.Change, revision unit.Revision, whole bool) {
	m.telling.Lock()
	defer m.telling.Unlock()
	m.mu.Lock()
	passed, believed := m.sift(changes)
	m.revision.Store(max(m.revision.Load(), int64(revision)))
	if m.history.from == 0 {
		m.history.from = m.Revision()
	}
	m.history.add(passed)
	if len(passed) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.mu.Unlock()
	m.tell(believed, whole)
}

// sift applies changes to the copy. It returns those that are new, and of these
// those that are believed: the others are removals that may be undone. The
// caller holds the lock.
func (m *Mirror) sift(changes []store.Change) (passed, believed []store.Change) {
	now := m.Clock.Now()
	for _, change := range changes {
		if change.Revision < m.keys[change.Key].Revision {
			// A list is no snapshot, so a change that it had already may
			// come after it.
			continue
		}
		passed = append(passed, change)
		if change.Removed && now.Before(m.settled) && strings.HasPrefix(string(change.Key), string(m.Lapsing)) {
			if len(m.lapsed) == 0 {
				m.Clock.AfterFunc(m.settled.Sub(now), m.believeLapses)
			}
			m.lapsed[change.Key] = m.settled
			continue
		}
		if change.Removed {
			delete(m.keys, change.Key)
		} else {
			m.keys[change.Key] = change.Entry
		}
		delete(m.lapsed, change.Key)
		believed = append(believed, change)
	}
	return passed, believed
}

// tell passes the changes on.
func (m *Mirror) tell(changes []store.Change, whole bool) {
	for _, f := range m.followers {
		var own []store.Change
		for _, change := range changes {
			if strings.HasPrefix(string(change.Key), string(f.Prefix())) {
				own = append(own, change)
			}
		}
		if len(own) > 0 || whole {
			f.Follow(own, whole)
		}
	}
}

// believeLapses believes the removals that were put off and not undone.
func (m *Mirror) believeLapses() {
	m.telling.Lock()
	defer m.telling.Unlock()
	now := m.Clock.Now()
	m.mu.Lock()
	var gone []store.Change
	for key, at := range m.lapsed {
		if now.Before(at) {
			// The platform was away once more meanwhile.
			m.Clock.AfterFunc(at.Sub(now), m.believeLapses)
			continue
		}
		delete(m.lapsed, key)
		delete(m.keys, key)
		gone = append(gone, store.Change{Entry: store.Entry{Key: key, Revision: m.Revision()}, Removed: true})
	}
	m.mu.Unlock()
	if len(gone) > 0 {
		slices.SortFunc(gone, func(a, b store.Change) int { return strings.Compare(string(a.Key), string(b.Key)) })
		m.Log.Info().Int("keys", len(gone)).Msg("store-lapses-believed")
		m.tell(gone, false)
	}
}
