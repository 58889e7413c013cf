package catalog

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
)

// Load is what this daemon knows of a server from its own requests and from its
// peers. It is atomic throughout.
type Load struct {
	inFlight atomic.Int64
	// peerInFlight is the number of requests that peers have in flight.
	peerInFlight atomic.Int64
	// lastProgress is the time of the last byte of any answer, in nanoseconds since
	// 1970 of the local clock.
	lastProgress atomic.Int64
	// avoidUntil ends the time in which the server gets no requests.
	avoidUntil atomic.Int64
	// consecutiveFailures counts failures in a row, and failed is the time of the last.
	consecutiveFailures atomic.Int64
	lastFailure         atomic.Int64
	// meanResponse is the mean time of a whole answer of a plain service, in
	// nanoseconds.
	meanResponse atomic.Int64

	// nextColdRequest is the earliest time of the next request while the server is
	// cold, in nanoseconds since 1970 of the local clock.
	nextColdRequest atomic.Int64
}

// RequestStarted counts a request in flight.
func (l *Load) RequestStarted() {
	l.inFlight.Add(1)
}

// RequestEnded counts its end.
func (l *Load) RequestEnded() {
	l.inFlight.Add(-1)
}

// InFlight returns this daemon's requests in flight.
func (l *Load) InFlight() unit.Requests {
	return unit.Requests(l.inFlight.Load())
}

// TotalInFlight returns the requests in flight of all daemons, as far as known.
func (l *Load) TotalInFlight() unit.Requests {
	return unit.Requests(l.inFlight.Load() + l.peerInFlight.Load())
}

// SetPeerInFlight sets the requests in flight of the other daemons.
func (l *Load) SetPeerInFlight(n unit.Requests) {
	l.peerInFlight.Store(int64(n))
}

// RecordProgress records that bytes of an answer came.
func (l *Load) RecordProgress(now time.Time) {
	l.lastProgress.Store(now.UnixNano())
}

// LastProgress returns when bytes of any answer came last.
func (l *Load) LastProgress() time.Time {
	return time.Unix(0, l.lastProgress.Load())
}

// AvoidUntil keeps requests away until the given time, if that is later than known.
func (l *Load) AvoidUntil(until time.Time) {
	for {
		known := l.avoidUntil.Load()
		if known >= until.UnixNano() || l.avoidUntil.CompareAndSwap(known, until.UnixNano()) {
			return
		}
	}
}

// Avoided reports whether the server gets no requests now.
func (l *Load) Avoided(now time.Time) bool {
	return now.UnixNano() < l.avoidUntil.Load()
}

// The server is avoided for a time that doubles with each failure in a row.
const (
	minAvoidTime = 500 * time.Millisecond
	maxAvoidTime = 8 * time.Second
)

// RecordFailure records a failure, after which the server is avoided for a while. It
// returns that time. Requests that fail together count once.
func (l *Load) RecordFailure(now time.Time) time.Duration {
	last := l.lastFailure.Load()
	if now.UnixNano()-last < int64(minAvoidTime)/2 || !l.lastFailure.CompareAndSwap(last, now.UnixNano()) {
		return 0
	}
	n := l.consecutiveFailures.Add(1)
	avoid := min(minAvoidTime<<min(n-1, 4), maxAvoidTime)
	l.AvoidUntil(now.Add(avoid))
	return avoid
}

// meanDivisor is the weight of a new answer in the mean, as a divisor.
const meanDivisor = 8

// RecordSuccess records a whole answer and the time that it took.
func (l *Load) RecordSuccess(took time.Duration) {
	l.consecutiveFailures.Store(0)
	l.avoidUntil.Store(0)
	mean := l.meanResponse.Load()
	if mean == 0 {
		l.meanResponse.Store(int64(took))
		return
	}
	// A lost update between two answers at once does no harm to a mean.
	l.meanResponse.Store(mean + (int64(took)-mean)/meanDivisor)
}

// MeanResponseTime returns the mean time of a whole answer, zero if none came.
func (l *Load) MeanResponseTime() time.Duration {
	return time.Duration(l.meanResponse.Load())
}

// AdmitCold reports whether a request may be sent to a cold server now, with at
// most perSecond requests a second, and counts it. Requests are spaced evenly,
// which bounds every second, wherever it begins. The first one waits for a
// random part of the interval, as all daemons learn of a cold server together.
func (l *Load) AdmitCold(now time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	interval := int64(float64(time.Second) / perSecond)
	for {
		next, at := l.nextColdRequest.Load(), now.UnixNano()
		switch {
		case at < next:
			return false
		case at > next+interval:
			l.nextColdRequest.CompareAndSwap(next, at+rand.Int64N(interval))
			return false
		case l.nextColdRequest.CompareAndSwap(next, next+interval):
			return true
		}
	}
}
