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
	Changes(ctx context.Context, p Peer, after unit.Revision) (changes []store.Change, complete unit.Revision, compacted bool, age time.Duration, err error)
}

// tree orders the daemons of the own data centre, so that few call the platform
// and no daemon has many followers.
type tree interface {
	// Parent returns the daemon to follow. A daemon at the root has none.
	Parent() (Peer, bool)
	// FallbackPeers returns daemons to follow when the platform can't be reached.
	FallbackPeers() []Peer
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
	// failures has what is known of failing sources, by daemon; the platform is
	// under the empty name.
	failures map[ident.Instance]sourceFailures
	// current is what is followed, and fresh when it was last confirmed.
	current     ident.Instance
	confirmedAt time.Time
}

// sourceFailures is a source that failed.
type sourceFailures struct {
	consecutive int
	avoidUntil  time.Time
}

// Times for which a source is left alone after it failed, and the age above
// which a daemon's copy is of no use: it has lost the platform itself. The time
// doubles, since a call to a platform that is silent takes as long as others
// would need to tell of changes.
const (
	minAvoidTime      = 1200 * time.Millisecond
	maxAvoidDoublings = 3
	maxCopyAge        = 3 * time.Second
	platformSource    = ident.Instance("")
)

// Act says whether this daemon needs changes at once, and so from the platform.
func (u *Upstream) Act(acting bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.acting = acting
}

// chooseSource returns the daemon to follow, or the platform.
func (u *Upstream) chooseSource() (Peer, bool) {
	parent, hasParent := u.Tree.Parent()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Clock.Now()
	usable := func(id ident.Instance) bool { return !now.Before(u.failures[id].avoidUntil) }
	if hasParent && !u.acting && usable(parent.Instance) {
		return parent, true
	}
	if usable(platformSource) {
		return Peer{}, false
	}
	for _, p := range u.Tree.FallbackPeers() {
		if usable(p.Instance) {
			return p, true
		}
	}
	return Peer{}, false
}

// recordResult notes how a call to a source ended.
func (u *Upstream) recordResult(id ident.Instance, age time.Duration, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Clock.Now()
	if err != nil {
		u.avoid(id)
		return
	}
	delete(u.failures, id)
	u.confirmedAt = now.Add(-age)
	if u.current != id {
		u.current = id
		u.Log.Info().Str("from", string(id)).Dur("age_ms", age).Msg("store-followed-through")
	}
}

// FollowsPeer reports whether another daemon is followed.
func (u *Upstream) FollowsPeer() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current != platformSource
}

// AvoidCurrent keeps away from the current source for a while.
func (u *Upstream) AvoidCurrent() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.avoid(u.current)
}

func (u *Upstream) avoid(id ident.Instance) {
	if u.failures == nil {
		u.failures = make(map[ident.Instance]sourceFailures)
	}
	f := u.failures[id]
	f.avoidUntil = u.Clock.Now().Add(clock.Jitter(minAvoidTime << min(f.consecutive, maxAvoidDoublings)))
	f.consecutive++
	u.failures[id] = f
}

// ConfirmedAt returns when the platform last confirmed what was read.
func (u *Upstream) ConfirmedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.confirmedAt
}

// checkCopyAge returns an error if a daemon's copy is of no use.
//
// Errors carry code.PlatformUnavailable.
func checkCopyAge(p Peer, age time.Duration) error {
	if age <= maxCopyAge {
		return nil
	}
	return code.PlatformUnavailable.New("daemon %s: its copy was confirmed %s ago", p.Instance, age)
}

// List reads everything from the chosen source.
func (u *Upstream) List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error) {
	p, viaPeer := u.chooseSource()
	if !viaPeer {
		entries, revision, err := u.Platform.List(ctx, prefix)
		u.recordResult(platformSource, 0, err)
		return entries, revision, err
	}
	entries, revision, age, err := u.Feed.List(ctx, p)
	if err == nil {
		err = checkCopyAge(p, age)
	}
	u.recordResult(p.Instance, age, err)
	return entries, revision, err
}

// Changes waits for changes at the chosen source.
func (u *Upstream) Changes(ctx context.Context, prefix store.Key, after unit.Revision) ([]store.Change, unit.Revision, bool, error) {
	p, viaPeer := u.chooseSource()
	if !viaPeer {
		changes, complete, compacted, err := u.Platform.Changes(ctx, prefix, after)
		u.recordResult(platformSource, 0, err)
		return changes, complete, compacted, err
	}
	changes, complete, forgotten, age, err := u.Feed.Changes(ctx, p, after)
	if err == nil {
		err = checkCopyAge(p, age)
	}
	u.recordResult(p.Instance, age, err)
	return changes, complete, forgotten, err
}
