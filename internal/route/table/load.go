package table

import (
	"math"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
)

// Load is what this daemon knows of an endpoint from its own requests. It is
// atomic throughout and outlives the snapshots that point to it.
type Load struct {
	inFlight   atomic.Int64
	limit      atomic.Int64
	firstToken movingAverage
	perToken   movingAverage
	// granted is the number of requests that a cold endpoint may be given
	// until grantedUntil, in nanoseconds since 1970 of the local clock.
	granted      atomic.Int64
	grantedUntil atomic.Int64
	// slowFirstTokens counts first tokens in a row far above the estimate.
	slowFirstTokens atomic.Int64
	// suspectedCold says that the endpoint behaves as if cold.
	suspectedCold atomic.Bool
	// avoidUntil, in nanoseconds since 1970 of the local clock, ends the time
	// in which the endpoint gets no requests after a failure.
	avoidUntil atomic.Int64
	// running and waiting are the endpoint's last reported counts.
	running atomic.Int64
	waiting atomic.Int64
	// limitFraction, if set, is the part of the limit that is given now. The loads of
	// all local engines share it.
	limitFraction *LimitFraction
}

// LimitFraction is the part of the endpoints' limits that is in use, in thousandths. It
// is below the whole while a data centre returns to service. The zero value is
// the whole.
type LimitFraction struct {
	missingThousandths atomic.Int64
}

const thousandths = 1000

// Set sets the part, from 0 to 1.
func (p *LimitFraction) Set(part float64) {
	p.missingThousandths.Store(thousandths - int64(math.Round(thousandths*min(max(part, 0), 1))))
}

// applyTo returns the part of a limit, at least one request of it.
func (p *LimitFraction) applyTo(limit unit.Requests) unit.Requests {
	if p == nil || limit <= 0 {
		return limit
	}
	missing := p.missingThousandths.Load()
	if missing == 0 {
		return limit
	}
	return max(1, limit*unit.Requests(thousandths-missing)/thousandths)
}

// SetReported records the endpoint's own counts.
func (l *Load) SetReported(c Counts) {
	l.running.Store(int64(c.Running))
	l.waiting.Store(int64(c.Waiting))
}

// Reported returns the endpoint's last reported counts.
func (l *Load) Reported() Counts {
	return Counts{unit.Requests(l.running.Load()), unit.Requests(l.waiting.Load())}
}

// Avoid keeps requests away from the endpoint until the given time.
func (l *Load) Avoid(until time.Time) {
	l.avoidUntil.Store(until.UnixNano())
}

// movingAverage is an exponentially weighted mean of durations in seconds.
type movingAverage struct {
	bits atomic.Uint64
}

// sampleWeight is the weight of a new sample in an estimate.
const sampleWeight = 0.1

func (e *movingAverage) add(d time.Duration) {
	for {
		old := e.bits.Load()
		mean := math.Float64frombits(old)
		if old == 0 {
			mean = d.Seconds()
		} else {
			mean += sampleWeight * (d.Seconds() - mean)
		}
		if e.bits.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}

func (e *movingAverage) value() time.Duration {
	return time.Duration(math.Float64frombits(e.bits.Load()) * float64(time.Second))
}

// FirstToken returns the estimated time to the first token, zero if unknown.
func (l *Load) FirstToken() time.Duration {
	return l.firstToken.value()
}

// PerToken returns the estimated time between tokens, zero if unknown.
func (l *Load) PerToken() time.Duration {
	return l.perToken.value()
}

// InFlight returns the requests of this daemon in flight to the endpoint.
func (l *Load) InFlight() unit.Requests {
	return unit.Requests(l.inFlight.Load())
}

// SetLimit sets the adaptive limit of requests in flight; zero is no limit.
func (l *Load) SetLimit(limit unit.Requests) {
	l.limit.Store(int64(limit))
}

// Limit returns the adaptive limit of requests in flight, zero for none.
func (l *Load) Limit() unit.Requests {
	return unit.Requests(l.limit.Load())
}

// SetColdGrant allows the number of requests at once to the endpoint while it is
// cold, until the given time.
func (l *Load) SetColdGrant(n unit.Requests, until time.Time) {
	// The number shrinks before the time moves, so that a reader between
	// the two stores never combines an old number with a new time.
	l.granted.Store(0)
	l.grantedUntil.Store(until.UnixNano())
	l.granted.Store(int64(n))
}

func (l *Load) coldGrant(now time.Time) unit.Requests {
	if now.UnixNano() >= l.grantedUntil.Load() {
		return 0
	}
	return unit.Requests(l.granted.Load())
}

// SuspectCold reports whether the endpoint behaves as if it had turned cold.
func (l *Load) SuspectCold() bool {
	return l.suspectedCold.Load()
}

// ClearColdSuspicion ends the suspicion that the endpoint has turned cold.
func (l *Load) ClearColdSuspicion() {
	l.slowFirstTokens.Store(0)
	l.suspectedCold.Store(false)
}

// Bounds of the rule by which a warm endpoint is taken for cold: this many
// first tokens in a row, each later than this multiple of the estimate.
const (
	slowCount  = 3
	slowFactor = 4
	slowFloor  = 50 * time.Millisecond
)

// ObserveFirstToken records the time that a request waited for its first token.
func (l *Load) ObserveFirstToken(d time.Duration) {
	mean := l.FirstToken()
	if mean > 0 && d > slowFactor*mean && d > slowFloor {
		if l.slowFirstTokens.Add(1) >= slowCount {
			l.suspectedCold.Store(true)
		}
		return
	}
	l.ClearColdSuspicion()
	l.firstToken.add(d)
}

// ObserveToken records the time between two tokens.
func (l *Load) ObserveToken(d time.Duration) {
	l.perToken.add(d)
}

// EffectiveLimit returns the number of requests that this daemon may have in flight to
// the endpoint now.
func (e *Endpoint) EffectiveLimit(now time.Time) unit.Requests {
	if now.UnixNano() < e.Load.avoidUntil.Load() {
		return 0
	}
	if e.Cold || e.Load.SuspectCold() {
		return e.Load.coldGrant(now)
	}
	limit := e.Limit
	if adaptive := e.Load.Limit(); adaptive > 0 {
		limit = min(adaptive, limit)
	}
	return e.Load.limitFraction.applyTo(limit)
}

// Acquire takes a place at the endpoint and reports whether there was one.
func (e *Endpoint) Acquire(now time.Time) bool {
	for {
		n := e.Load.inFlight.Load()
		if n >= int64(e.EffectiveLimit(now)) {
			return false
		}
		if e.Load.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release gives back a place taken by Acquire.
func (e *Endpoint) Release() {
	e.Load.inFlight.Add(-1)
}
