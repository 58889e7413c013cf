package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Peer is a daemon that can be followed.
type Peer struct {
	Instance ident.Instance
	Address  string
}

// Feed reads the copies of other daemons.
type Feed interface {
	List(ctx context.Context, p Peer) ([]store.Entry, unit.Revision, time.Duration, error)
	Changes(ctx context.Context, p Peer, after unit.Revision) (changes []store.Change, complete unit.Revision, forgotten bool, age time.Duration, err error)
}

// tree orders the daemons of the own data centre, so that few call the platform
// and no daemon has many followers.
type tree interface {
	// Parent returns the daemon to follow. A daemon at the root has none.
	Parent() (Peer, bool)
	// Others returns daemons to follow when the platform can't be reached.
	Others() []Peer
}

// Upstream chooses where the copy comes from: the parent in the tree, the
// platform itself, or any other daemon that still hears it.
type Upstream struct {
	Clock    clock.Clock
	Log      zerolog.Logger
	Platform Source
	Feed     Feed
	Tree     tree

	mu     sync.Mutex
	acting bool
	// failed has what is known of failing sources, by daemon; the platform is
	// under the empty name.
	failed map[ident.Instance]trouble
	// current is what is followed, and fresh when it was last confirmed.
	current ident.Instance
	fresh   time.Time
}

// trouble is a source that failed.
type trouble struct {
	inARow int
	until  time.Time
}

// Times for which a source is left alone after it failed, and the age above
// which a daemon's copy is of no use: it has lost the platform itself. The time
// doubles, since a call to a platform that is silent takes as long as others
// would need to tell of changes.
const (
	leaveAlone  = 1200 * time.Millisecond
	leaveMost   = 3
	longestAge  = 3 * time.Second
	platformKey = ident.Instance("")
)

// Act says whether this daemon needs changes at once, and so from the platform.
func (u *Upstream) Act(acting bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.acting = acting
}

// choose returns the daemon to follow, or the platform.
func (u *Upstream) choose() (Peer, bool) {
	parent, hasParent := u.Tree.Parent()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Clock.Now()
	usable := func(id ident.Instance) bool { return !now.Before(u.failed[id].until) }
	if hasParent && !u.acting && usable(parent.Instance) {
		return parent, true
	}
	if usable(platformKey) {
		return Peer{}, false
	}
	for _, p := range u.Tree.Others() {
		if usable(p.Instance) {
			return p, true
		}
	}
	return Peer{}, false
}

// done notes how a call to a source ended.
func (u *Upstream) done(id ident.Instance, age time.Duration, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Clock.Now()
	if err != nil {
		u.leave(id)
		return
	}
	delete(u.failed, id)
	u.fresh = now.Add(-age)
	if u.current != id {
		u.current = id
		u.Log.Info().Str("from", string(id)).Dur("age_ms", age).Msg("store-followed-through")
	}
}

// Through reports whether another daemon is followed.
func (u *Upstream) Through() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current != platformKey
}

// Leave keeps away from the current source for a while.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leave(u.current)
}

func (u *Upstream) leave(id ident.Instance) {
	if u.failed == nil {
		u.failed = make(map[ident.Instance]trouble)
	}
	t := u.failed[id]
	t.until = u.Clock.Now().Add(clock.Jitter(leaveAlone << min(t.inARow, leaveMost)))
	t.inARow++
	u.failed[id] = t
}

// Fresh returns when the platform last confirmed what was read.
func (u *Upstream) Fresh() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fresh
}

// tooOld returns an error if a daemon's copy is of no use.
//
// Errors carry code.PlatformUnavailable.
func tooOld(p Peer, age time.Duration) error {
	if age <= longestAge {
		return nil
	}
	return code.PlatformUnavailable.New("daemon %s: its copy was confirmed %s ago", p.Instance, age)
}

// List reads everything from the chosen source.
func (u *Upstream) List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error) {
	p, through := u.choose()
	if !through {
		entries, revision, err := u.Platform.List(ctx, prefix)
		u.done(platformKey, 0, err)
		return entries, revision, err
	}
	entries, revision, age, err := u.Feed.List(ctx, p)
	if err == nil {
		err = tooOld(p, age)
	}
	u.done(p.Instance, age, err)
	return entries, revision, err
}

// Changes waits for changes at the chosen source.
func (u *Upstream) Changes(ctx context.Context, prefix store.Key, after unit.Revision) ([]store.Change, unit.Revision, bool, error) {
	p, through := u.choose()
	if !through {
		changes, complete, forgotten, err := u.Platform.Changes(ctx, prefix, after)
		u.done(platformKey, 0, err)
		return changes, complete, forgotten, err
	}
	changes, complete, forgotten, age, err := u.Feed.Changes(ctx, p, after)
	if err == nil {
		err = tooOld(p, age)
	}
	u.done(p.Instance, age, err)
	return changes, complete, forgotten, err
}
