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

// Peer is another daemon whose copy can be read.
type Peer struct {
	Instance ident.Instance
	Address  string
}

// Feed reads the copies of other daemons. Besides the results of Source it returns
// the age of the copy.
type Feed interface {
	List(ctx context.Context, p Peer) ([]store.Entry, unit.Revision, time.Duration, error)
	// Changes waits for changes, or for a confirmation of the daemon's copy that is
	// later than that of this daemon's copy of the age ownAge. The returned age includes the
	// time that the answer took to arrive, as that of List does.
	Changes(ctx context.Context, p Peer, after unit.Revision, ownAge, wait time.Duration) (changes []store.Change, completeUpTo unit.Revision, compacted bool, age time.Duration, err error)
	// Transferring reports whether a large answer is arriving.
	Transferring() bool
}

// tree orders the daemons of the same data centre in a tree in which each daemon
// follows its parent. Few daemons then call the platform, and no daemon has many
// followers.
type tree interface {
	// Parent returns the daemon to follow, and false if this daemon is the root.
	Parent() (Peer, bool)
	// FallbackPeers returns the daemons to follow if neither the parent nor the
	// platform can be reached, in order of preference.
	FallbackPeers() []Peer
	// ReaderGroup returns the position, among the groups of daemons that read from the platform in
	// turn, of this daemon's group. Daemons of group 0 may always do so; those of a later one only if
	// the groups before it get no answer.
	ReaderGroup() int
}

// Upstream is the Source that chooses, for each call, between the parent in the
// tree, the platform, and other daemons that still reach the platform.
type Upstream struct {
	Clock    clock.Clock
	Log      zerolog.Logger
	Platform Source
	Feed     Feed
	Tree     tree
	// MaxAge is the age of a daemon's copy above which the copy is not followed: the
	// daemon has lost its connection to the platform.
	MaxAge time.Duration
	// Recovery is the time after an outage of the platform within which all daemons have to have the
	// changes. Zero means three seconds.
	Recovery time.Duration

	mu             sync.Mutex
	preferPlatform bool
	failures       failureRecord
	// currentSource is the source of the last successful call, and confirmedAt the time
	// at which the platform confirmed that source's copy.
	currentSource ident.Instance
	confirmedAt   time.Time
	// firstCallAt is the time at which a source was chosen for the first time.
	firstCallAt time.Time
	// waitingAt is the daemon at which the current call waits for changes, empty if
	// it does not. leftOldCopy says that LeaveOldCopy has ended that call.
	waitingAt   ident.Instance
	leftOldCopy bool
}

// PreferPlatform sets whether this daemon reads from the platform even if it has a
// parent, so that it gets changes sooner.
func (u *Upstream) PreferPlatform(enabled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.preferPlatform = enabled
}

// chooseSource returns the daemon to read from; the platform is the zero Peer.
//
// Errors carry code.PlatformUnavailable if no source can be used now.
func (u *Upstream) chooseSource() (Peer, error) {
	parent, hasParent := u.Tree.Parent()
	readerGroup := u.Tree.ReaderGroup()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Clock.Now()
	needsPlatform := u.needsPlatform(now)
	usable := func(id ident.Instance) bool { return !now.Before(u.failures.usableAt(id, needsPlatform)) }
	if hasParent && !u.preferPlatform && usable(parent.Instance) {
		return parent, nil
	}
	// A parent that fails or lags, rather than having an old copy itself, says nothing
	// about the platform.
	parentFailed := hasParent && u.failures.hasFailed(parent.Instance)
	mayReadPlatform := u.preferPlatform || parentFailed || !hasParent && u.readsPlatform() || u.isTurnOf(readerGroup, now)
	if mayReadPlatform && usable(platformSource) {
		return Peer{}, nil
	}
	peers := u.Tree.FallbackPeers()
	for _, p := range peers {
		if usable(p.Instance) {
			return p, nil
		}
	}
	if hasParent {
		peers = append(peers, parent)
	}
	if p, found := u.failures.longestFailed(peers, now); found {
		return p, nil
	}
	return Peer{}, code.PlatformUnavailable.New("choose a source of the copy: all sources have failed within %s", minAvoidTime<<maxAvoidDoublings)
}

// needsPlatform reports whether no other source has replaced the platform since the last call to it
// failed. The caller holds the lock.
func (u *Upstream) needsPlatform(now time.Time) bool {
	return now.Sub(u.confirmedAt) > u.MaxAge || u.confirmedAt.Before(u.failures.sources[platformSource].beganAt)
}

// readsPlatform reports whether the last successful call read from the platform. The caller holds the
// lock.
func (u *Upstream) readsPlatform() bool {
	return u.currentSource == platformSource && !u.confirmedAt.IsZero()
}

// isTurnOf reports whether the reader group may read from the platform. Each group that gets no answer
// is joined by the next one after a probe interval, since the platform may refuse some daemons and
// serve others. The caller holds the lock.
func (u *Upstream) isTurnOf(group int, now time.Time) bool {
	if u.firstCallAt.IsZero() {
		u.firstCallAt = now
	}
	suppliedAt := u.confirmedAt
	if suppliedAt.IsZero() {
		suppliedAt = u.firstCallAt
	}
	turn := u.MaxAge + time.Duration(group)*probeIntervalFor(u.Recovery)
	return group == 0 || now.Sub(suppliedAt) > turn
}

// untilNextSource returns the time until a source that is avoided now can be used again, at most the
// limit.
func (u *Upstream) untilNextSource(limit time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Clock.Now()
	if next, found := u.failures.nextUsableAt(now, u.needsPlatform(now)); found {
		return min(next.Sub(now), limit)
	}
	return limit
}

// recordResult records the result of a call to a source that began at the given time.
func (u *Upstream) recordResult(id ident.Instance, beganAt time.Time, age time.Duration, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Clock.Now()
	if err != nil {
		avoidFor := u.failures.avoidTime(id)
		if id == platformSource && !u.failures.hasFailed(id) && isConnectionLoss(err) {
			avoidFor = 0
		}
		u.recordFailure(id, beganAt, avoidFor)
		return
	}
	u.failures.forget(id)
	u.confirmedAt = now.Add(-age)
	if u.currentSource != id {
		u.currentSource = id
		u.Log.Info().Str("from", string(id)).Dur("age_ms", age).Msg("store-followed-through")
	}
}

// recordFailure counts a failure of a call that began at the given time. The caller holds the lock.
func (u *Upstream) recordFailure(id ident.Instance, beganAt time.Time, avoidFor time.Duration) {
	u.failures.add(id, beganAt, u.Clock.Now(), avoidFor, probeIntervalFor(u.Recovery))
}

// AvoidCurrentSource avoids the current source as if its last call had failed.
func (u *Upstream) AvoidCurrentSource() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordFailure(u.currentSource, u.Clock.Now(), u.failures.avoidTime(u.currentSource))
}

// acceptCopyOf records that the daemon has reported a recent copy.
func (u *Upstream) acceptCopyOf(id ident.Instance) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures.acceptCopy(id)
}

// rejectOldCopy avoids a daemon that answers, but whose copy is too old.
func (u *Upstream) rejectOldCopy(p Peer, err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures.addOldCopy(p.Instance, u.Clock.Now())
	return err
}

// CurrentSource returns the daemon that the last successful call read from, empty for
// the platform.
func (u *Upstream) CurrentSource() ident.Instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.currentSource
}

// ConfirmedAt returns the time at which the platform last confirmed the entries
// that were read.
func (u *Upstream) ConfirmedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.confirmedAt
}

// checkCopyAge returns an error if the daemon's copy is older than MaxAge.
//
// Errors carry code.PlatformUnavailable.
func (u *Upstream) checkCopyAge(p Peer, age time.Duration) error {
	if age <= u.MaxAge {
		return nil
	}
	return code.PlatformUnavailable.New("read copy of daemon %s: the platform last confirmed the copy %s ago, longer than allowed", p.Instance, age)
}

// List reads the entries below the prefix from the chosen source.
func (u *Upstream) List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error) {
	p, err := u.chooseSource()
	if err != nil {
		return nil, 0, err
	}
	beganAt := u.Clock.Now()
	if p.Instance == platformSource {
		entries, revision, err := u.Platform.List(ctx, prefix)
		u.recordResult(platformSource, beganAt, u.platformAge(), err)
		return entries, revision, err
	}
	entries, revision, age, err := u.Feed.List(ctx, p)
	if err == nil {
		if err = u.checkCopyAge(p, age); err != nil {
			return nil, 0, u.rejectOldCopy(p, err)
		}
	}
	u.recordResult(p.Instance, beganAt, age, err)
	return entries, revision, err
}

// Changes waits for changes after the revision at the chosen source.
func (u *Upstream) Changes(ctx context.Context, prefix store.Key, after unit.Revision, wait time.Duration) ([]store.Change, unit.Revision, bool, error) {
	p, err := u.chooseSource()
	if err != nil {
		return nil, 0, false, err
	}
	if p.Instance != platformSource {
		return u.changesOfPeer(ctx, p, after, wait)
	}
	beganAt := u.Clock.Now()
	changes, completeUpTo, compacted, err := u.Platform.Changes(ctx, prefix, after, wait)
	u.recordResult(platformSource, beganAt, u.platformAge(), err)
	return changes, completeUpTo, compacted, err
}

// changesOfPeer waits for changes of another daemon's copy for as long as this daemon's copy
// stays recent. Without a wait it asks for the changes that the other daemon has.
func (u *Upstream) changesOfPeer(ctx context.Context, p Peer, after unit.Revision, wait time.Duration) ([]store.Change, unit.Revision, bool, error) {
	beganAt := u.Clock.Now()
	ownAge := beganAt.Sub(u.ConfirmedAt())
	if wait > 0 {
		wait = u.MaxAge
		u.setWaitingAt(p.Instance)
	}
	changes, completeUpTo, compacted, age, err := u.Feed.Changes(ctx, p, after, ownAge, wait)
	leftOldCopy := u.setWaitingAt(platformSource)
	if err == nil {
		err = u.checkCopyAge(p, age)
		leftOldCopy = err != nil
	}
	if leftOldCopy {
		return nil, 0, false, u.rejectOldCopy(p, err)
	}
	u.recordResult(p.Instance, beganAt, age, err)
	return changes, completeUpTo, compacted, err
}

// platformAge returns the time since the platform confirmed what the last call to it read.
func (u *Upstream) platformAge() time.Duration {
	now := u.Clock.Now()
	return now.Sub(confirmationTime(u.Platform, now))
}

// setWaitingAt records at which daemon a call waits for changes, platformSource if the call
// has ended. It reports whether LeaveOldCopy ended the call.
func (u *Upstream) setWaitingAt(id ident.Instance) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	left := u.leftOldCopy
	u.waitingAt, u.leftOldCopy = id, false
	return left
}

// LeaveOldCopy reports whether the current call waits for changes at another daemon. The
// caller then cancels the call, and that daemon is avoided as one whose copy is too old.
func (u *Upstream) LeaveOldCopy() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leftOldCopy = u.waitingAt != platformSource && !u.Feed.Transferring()
	return u.leftOldCopy
}
