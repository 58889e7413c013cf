package mirror

import (
	"slices"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/clock"
)

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

// oldCopyRecallTime is the time after which a daemon whose copy was too old is called again if it
// reports a recent one.
const oldCopyRecallTime = 100 * time.Millisecond

// sourceFailures counts the consecutive failures of a source, of which the last one was at
// failedAt, in a call that began at beganAt. The source is not used until avoidUntil.
type sourceFailures struct {
	consecutiveFailures           int
	beganAt, failedAt, avoidUntil time.Time
	// probeAt is, for the platform, the time from which it is called if no other source has replaced it.
	probeAt time.Time
}

// failureRecord has the sources whose last call failed, by daemon; platformSource stands for the
// platform. Its zero value is empty.
type failureRecord struct {
	sources map[ident.Instance]sourceFailures
}

// usableAt returns the time from which the source can be used. The platform is called sooner if
// no other source has replaced it.
func (r *failureRecord) usableAt(id ident.Instance, needsPlatform bool) time.Time {
	f := r.sources[id]
	if id == platformSource && needsPlatform && f.probeAt.Before(f.avoidUntil) {
		return f.probeAt
	}
	return f.avoidUntil
}

// nextUsableAt returns the time at which the first of the sources that are avoided now can be used
// again, and false if none is avoided.
func (r *failureRecord) nextUsableAt(now time.Time, needsPlatform bool) (next time.Time, found bool) {
	for id := range r.sources {
		at := r.usableAt(id, needsPlatform)
		if at.After(now) && (!found || at.Before(next)) {
			next, found = at, true
		}
	}
	return next, found
}

// hasFailed reports whether the last call to the source failed.
func (r *failureRecord) hasFailed(id ident.Instance) bool {
	return r.sources[id].consecutiveFailures > 0
}

// add counts a failure of a call to the source, which is then avoided for the time. The platform may be
// called again probeInterval after the call began.
func (r *failureRecord) add(id ident.Instance, beganAt, now time.Time, avoidFor, probeInterval time.Duration) {
	r.set(id, sourceFailures{
		consecutiveFailures: r.sources[id].consecutiveFailures + 1,
		beganAt:             beganAt,
		failedAt:            now,
		avoidUntil:          now.Add(avoidFor),
		probeAt:             beganAt.Add(clock.Jitter(probeInterval)),
	})
}

// avoidTime returns the time for which a source is avoided after a further failure.
func (r *failureRecord) avoidTime(id ident.Instance) time.Duration {
	doublings := maxAvoidDoublings
	if id == platformSource {
		doublings = maxPlatformDoublings
	}
	return clock.Jitter(minAvoidTime << min(r.sources[id].consecutiveFailures, doublings))
}

// addOldCopy records that the daemon answered with a copy that is too old. It may read from the
// platform again at any time, so the time for which it is avoided does not grow.
func (r *failureRecord) addOldCopy(id ident.Instance, now time.Time) {
	r.set(id, sourceFailures{failedAt: now, avoidUntil: now.Add(clock.Jitter(minAvoidTime))})
}

// acceptCopy shortens the time for which a daemon is avoided as its copy was too old: it has reported
// a recent one. A daemon that can't be called is still avoided.
func (r *failureRecord) acceptCopy(id ident.Instance) {
	f, found := r.sources[id]
	if recallAt := f.failedAt.Add(oldCopyRecallTime); found && f.consecutiveFailures == 0 && recallAt.Before(f.avoidUntil) {
		f.avoidUntil = recallAt
		r.sources[id] = f
	}
}

func (r *failureRecord) set(id ident.Instance, f sourceFailures) {
	if r.sources == nil {
		r.sources = make(map[ident.Instance]sourceFailures)
	}
	r.sources[id] = f
}

// forget removes the failures of the source, since a call to it succeeded.
func (r *failureRecord) forget(id ident.Instance) {
	delete(r.sources, id)
}

// longestFailed returns the daemon whose last failure is the longest ago, and false if none may be
// called again yet.
func (r *failureRecord) longestFailed(peers []Peer, now time.Time) (Peer, bool) {
	if len(peers) == 0 {
		return Peer{}, false
	}
	first := slices.MinFunc(peers, func(a, b Peer) int {
		return r.sources[a.Instance].failedAt.Compare(r.sources[b.Instance].failedAt)
	})
	return first, now.Sub(r.sources[first.Instance].failedAt) >= minRecallTime
}

// isConnectionLoss reports whether a call to the platform failed after it had been sent, as when its
// connection has gone silent.
func isConnectionLoss(err error) bool {
	return code.Of(err) == code.PlatformUnavailable && code.OutcomeOf(err) == code.Unknown
}
