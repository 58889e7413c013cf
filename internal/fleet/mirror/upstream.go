package mirror

import (
	"context"
	"slices"
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
	// MayReadPlatform reports whether this daemon may read from the platform although
	// it has a parent.
	MayReadPlatform() bool
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

	mu             sync.Mutex
	preferPlatform bool
	// failures has the sources whose last call failed, by daemon;
	// platformSource stands for the platform.
	failures map[ident.Instance]sourceFailures
	// currentSource is the source of the last successful call, and confirmedAt the time
	// at which the platform confirmed that source's copy.
	currentSource ident.Instance
	confirmedAt   time.Time
	// waitingAt is the daemon at which the current call waits for changes, empty if
	// it does not. leftOldCopy says that LeaveOldCopy has ended that call.
	waitingAt   ident.Instance
	leftOldCopy bool
}

// sourceFailures counts the consecutive failures of a source, of which the last one was at
// failedAt. The source is not used until avoidUntil.
type sourceFailures struct {
	consecutiveFailures  int
	failedAt, avoidUntil time.Time
}

// A source that failed is avoided for minAvoidTime, doubled for each consecutive
// failure up to maxAvoidDoublings times: a call to a stalled platform takes as long
// as other daemons need to pass on changes. The platform is avoided for less time, as few
// daemons call it and the others depend on them, and not for the first failure on an open
// connection, which may have gone silent while new ones work.
const (
	minAvoidTime         = 1200 * time.Millisecond
	maxAvoidDoublings    = 3
	maxPlatformDoublings = 1
	platformSource       = ident.Instance("")
)

// minRecallTime is the time after its failure at which a daemon with a recent copy is called again
// if no other source can be used. That all of them have failed is a sign of an outage of the
// platform or of the network, which may be over, rather than of a fault of each.
const minRecallTime = 400 * time.Millisecond

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
	mayReadPlatform := !hasParent || u.Tree.MayReadPlatform()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Clock.Now()
	usable := func(id ident.Instance) bool { return !now.Before(u.failures[id].avoidUntil) }
	if hasParent && !u.preferPlatform && usable(parent.Instance) {
		return parent, nil
	}
	// A parent that fails or lags, rather than having an old copy itself, says nothing
	// about the platform.
	parentFailed := hasParent && u.failures[parent.Instance].consecutiveFailures > 0
	if (mayReadPlatform || u.preferPlatform || parentFailed) && usable(platformSource) {
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
	if p, found := u.failedFirst(peers); found && now.Sub(u.failures[p.Instance].failedAt) >= minRecallTime {
		return p, nil
	}
	return Peer{}, code.PlatformUnavailable.New("choose a source of the copy: all sources have failed within %s", minAvoidTime<<maxAvoidDoublings)
}

// failedFirst returns the daemon whose last failure is the longest ago, and false without any
// daemon. The caller holds the lock.
func (u *Upstream) failedFirst(peers []Peer) (Peer, bool) {
	if len(peers) == 0 {
		return Peer{}, false
	}
	return slices.MinFunc(peers, func(a, b Peer) int {
		return u.failures[a.Instance].failedAt.Compare(u.failures[b.Instance].failedAt)
	}), true
}

// recordResult records the result of a call to a source.
func (u *Upstream) recordResult(id ident.Instance, age time.Duration, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Clock.Now()
	if err != nil {
		if id == platformSource && u.failures[id].consecutiveFailures == 0 && isConnectionLoss(err) {
			u.recordFailure(id, 0)
			return
		}
		u.avoidSource(id)
		return
	}
	delete(u.failures, id)
	u.confirmedAt = now.Add(-age)
	if u.currentSource != id {
		u.currentSource = id
		u.Log.Info().Str("from", string(id)).Dur("age_ms", age).Msg("store-followed-through")
	}
}

// isConnectionLoss reports whether a call to the platform failed after it had been sent, as when its
// connection has gone silent.
func isConnectionLoss(err error) bool {
	return code.Of(err) == code.PlatformUnavailable && code.OutcomeOf(err) == code.Unknown
}

// CurrentSource returns the daemon that the last successful call read from, empty for
// the platform.
func (u *Upstream) CurrentSource() ident.Instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.currentSource
}

// AvoidCurrentSource avoids the current source as if its last call had failed.
func (u *Upstream) AvoidCurrentSource() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.avoidSource(u.currentSource)
}

func (u *Upstream) avoidSource(id ident.Instance) {
	doublings := maxAvoidDoublings
	if id == platformSource {
		doublings = maxPlatformDoublings
	}
	u.recordFailure(id, clock.Jitter(minAvoidTime<<min(u.failures[id].consecutiveFailures, doublings)))
}

// recordFailure counts a failure of the source, which is then avoided for the time. The caller holds
// the lock.
func (u *Upstream) recordFailure(id ident.Instance, avoidFor time.Duration) {
	if u.failures == nil {
		u.failures = make(map[ident.Instance]sourceFailures)
	}
	f := u.failures[id]
	f.failedAt = u.Clock.Now()
	f.avoidUntil = f.failedAt.Add(avoidFor)
	f.consecutiveFailures++
	u.failures[id] = f
}

// rejectOldCopy avoids a daemon that answers, but whose copy is too old. It may read from
// the platform again at any time, so the time does not grow.
func (u *Upstream) rejectOldCopy(p Peer, err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failures == nil {
		u.failures = make(map[ident.Instance]sourceFailures)
	}
	now := u.Clock.Now()
	u.failures[p.Instance] = sourceFailures{failedAt: now, avoidUntil: now.Add(clock.Jitter(minAvoidTime))}
	return err
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
	if p.Instance == platformSource {
		entries, revision, err := u.Platform.List(ctx, prefix)
		u.recordResult(platformSource, u.platformAge(), err)
		return entries, revision, err
	}
	entries, revision, age, err := u.Feed.List(ctx, p)
	if err == nil {
		if err = u.checkCopyAge(p, age); err != nil {
			return nil, 0, u.rejectOldCopy(p, err)
		}
	}
	u.recordResult(p.Instance, age, err)
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
	changes, completeUpTo, compacted, err := u.Platform.Changes(ctx, prefix, after, wait)
	u.recordResult(platformSource, u.platformAge(), err)
	return changes, completeUpTo, compacted, err
}

// changesOfPeer waits for changes of another daemon's copy for as long as this daemon's copy
// stays recent. Without a wait it asks for the changes that the other daemon has.
func (u *Upstream) changesOfPeer(ctx context.Context, p Peer, after unit.Revision, wait time.Duration) ([]store.Change, unit.Revision, bool, error) {
	ownAge := u.Clock.Now().Sub(u.ConfirmedAt())
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
	u.recordResult(p.Instance, age, err)
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
