package catalog

import (
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Load holds the request counts, response times and failures of a server, as
// observed by this daemon and reported by its peers. All fields are atomic.
type Load struct {
	inFlight atomic.Int64
	// peerInFlight is the number of requests that the peers have in flight.
	peerInFlight atomic.Int64
	// peerCountedAt is the mean time at which the peers counted these requests, as a
	// clock.Instant, zero if no peer has reported.
	peerCountedAt atomic.Int64
	// lastProgress is the time at which the last complete event of any stream
	// arrived, as a clock.Instant.
	lastProgress atomic.Int64
	// unreachable says that the server accepted no connection of this daemon when it was
	// last checked.
	unreachable atomic.Bool
	// avoidUntil is the time until which the server gets no requests, as
	// a clock.Instant.
	avoidUntil atomic.Int64
	// consecutiveFailures counts the failures since the last success, and
	// lastFailure is the time of the last failure, in nanoseconds since 1970 of
	// the local clock.
	consecutiveFailures atomic.Int64
	lastFailure         atomic.Int64
	// meanResponse is the moving average of the time to a complete answer, in
	// nanoseconds.
	meanResponse atomic.Int64

	// nextColdRequest is the earliest time of the next request while the server
	// is cold, in nanoseconds since 1970 of the local clock.
	nextColdRequest atomic.Int64

	workLoad
}

// RequestStarted adds a request of this daemon to those in flight.
func (l *Load) RequestStarted() {
	l.inFlight.Add(1)
}

// RequestEnded removes a request of this daemon from those in flight.
func (l *Load) RequestEnded() {
	l.inFlight.Add(-1)
}

// InFlight returns the number of this daemon's requests in flight.
func (l *Load) InFlight() unit.Requests {
	return unit.Requests(l.inFlight.Load())
}

// TotalInFlight returns the number of requests in flight of this daemon and, as
// last reported, of its peers.
func (l *Load) TotalInFlight() unit.Requests {
	return unit.Requests(l.inFlight.Load() + l.peerInFlight.Load())
}

// SetPeerInFlight sets the number of requests in flight of all peers together.
func (l *Load) SetPeerInFlight(n unit.Requests) {
	l.peerInFlight.Store(int64(n))
}

// SetPeerCountedAt sets the mean time at which the peers counted their requests in flight, zero if no
// peer has reported.
func (l *Load) SetPeerCountedAt(at time.Time) {
	var instant clock.Instant
	if !at.IsZero() {
		instant = clock.InstantOf(at)
	}
	l.peerCountedAt.Store(int64(instant))
}

// PeerCountedAt returns the mean time at which the peers counted their requests in flight, zero if no
// peer has reported.
func (l *Load) PeerCountedAt() time.Time {
	at := l.peerCountedAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return clock.Instant(at).Time()
}

// RecordProgress records that a complete event of a stream arrived now.
func (l *Load) RecordProgress(now time.Time) {
	l.lastProgress.Store(int64(clock.InstantOf(now)))
}

// LastProgress returns the time at which a complete event of any stream last arrived.
func (l *Load) LastProgress() time.Time {
	return clock.Instant(l.lastProgress.Load()).Time()
}

// SetUnreachable records whether the server accepts no connection of this daemon.
func (l *Load) SetUnreachable(unreachable bool) {
	l.unreachable.Store(unreachable)
}

// Unreachable reports whether the server accepted no connection of this daemon when it was
// last checked. The server may be well, and only the link to it be lost.
func (l *Load) Unreachable() bool {
	return l.unreachable.Load()
}

// AvoidUntil excludes the server from requests until the given time. It has no
// effect if the server is already excluded until a later time.
func (l *Load) AvoidUntil(until time.Time) {
	end := int64(clock.InstantOf(until))
	for {
		current := l.avoidUntil.Load()
		if current >= end || l.avoidUntil.CompareAndSwap(current, end) {
			return
		}
	}
}

// Avoided reports whether the server is excluded from requests now.
func (l *Load) Avoided(now time.Time) bool {
	return int64(clock.InstantOf(now)) < l.avoidUntil.Load()
}

// The time for which a server is avoided doubles with each consecutive failure,
// from minAvoidTime to maxAvoidTime.
const (
	minAvoidTime = 500 * time.Millisecond
	maxAvoidTime = 8 * time.Second
)

// RecordFailure records a failure and returns the time for which the server is now
// avoided. A failure within half of minAvoidTime after the last one does not count
// and returns zero, since one fault fails many requests at once.
func (l *Load) RecordFailure(now time.Time) time.Duration {
	last, current := l.lastFailure.Load(), int64(clock.InstantOf(now))
	if current-last < int64(minAvoidTime)/2 || !l.lastFailure.CompareAndSwap(last, current) {
		return 0
	}
	failures := l.consecutiveFailures.Add(1)
	avoidTime := min(minAvoidTime<<min(failures-1, 4), maxAvoidTime)
	l.AvoidUntil(now.Add(avoidTime))
	return avoidTime
}

// meanDivisor weights the moving average: a new answer counts for one eighth.
const meanDivisor = 8

// RecordSuccess records a complete answer and its duration. It ends the avoidance
// of the server.
func (l *Load) RecordSuccess(duration time.Duration) {
	l.consecutiveFailures.Store(0)
	l.avoidUntil.Store(0)
	mean := l.meanResponse.Load()
	if mean == 0 {
		l.meanResponse.Store(int64(duration))
		return
	}
	// Two concurrent answers may overwrite each other's update. A mean tolerates
	// one missing value.
	l.meanResponse.Store(mean + (int64(duration)-mean)/meanDivisor)
}

// MeanResponseTime returns the moving average of the time to a complete answer,
// zero before the first one.
func (l *Load) MeanResponseTime() time.Duration {
	return time.Duration(l.meanResponse.Load())
}

// AdmitCold reports whether a request may be sent to a cold server now, and counts
// the request if so. It admits at most perSecond requests a second, evenly spaced,
// so that the limit holds for every window of one second. The phase, from 0 to 1, is
// the part of the interval at which the requests are sent. Daemons with different
// phases don't send at the same time, although all of them receive the entry of a
// cold server at about the same time.
func (l *Load) AdmitCold(now time.Time, perSecond, phase float64) bool {
	if perSecond <= 0 {
		return false
	}
	interval := int64(float64(time.Second) / perSecond)
	for {
		next, nowNanos := l.nextColdRequest.Load(), int64(clock.InstantOf(now))
		switch {
		case nowNanos < next:
			return false
		case nowNanos > next+interval:
			l.nextColdRequest.CompareAndSwap(next, nextInPhase(nowNanos, interval, phase))
			return false
		case l.nextColdRequest.CompareAndSwap(next, next+interval):
			return true
		}
	}
}

// ColdAvailable reports whether AdmitCold would admit a request now.
func (l *Load) ColdAvailable(now time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	late := int64(clock.InstantOf(now)) - l.nextColdRequest.Load()
	return late >= 0 && late <= int64(float64(time.Second)/perSecond)
}

// nextInPhase returns the first time from now on that is at the phase of an interval, where
// intervals are counted from 1970.
func nextInPhase(now, interval int64, phase float64) int64 {
	at := now - now%interval + int64(phase*float64(interval))
	if at < now {
		at += interval
	}
	return at
}
