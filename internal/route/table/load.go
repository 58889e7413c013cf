package table

import (
	"math"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Load is the state of an endpoint that changes with each request of this daemon. All
// its values are atomic. It outlives the tables that point to it.
type Load struct {
	// inFlight is the number of this daemon's requests in flight, limit the
	// adaptive limit for it, or zero if there is none.
	inFlight      atomic.Int64
	limit         atomic.Int64
	firstToken    movingAverage
	tokenInterval movingAverage
	// coldLimit is the number of concurrent requests that a cold endpoint may get
	// until coldLimitUntil, in nanoseconds since 1970 of the local clock.
	coldLimit      atomic.Int64
	coldLimitUntil atomic.Int64
	// slowFirstTokens counts consecutive first tokens far above the estimate.
	slowFirstTokens atomic.Int64
	// suspectedCold says that the endpoint is handled as cold because its first
	// tokens are slow.
	suspectedCold atomic.Bool
	// avoidUntil is the time until which the endpoint gets no requests after a
	// failure, in nanoseconds since 1970 of the local clock.
	avoidUntil atomic.Int64
	// running and waiting are the counts that the endpoint has last reported.
	running atomic.Int64
	waiting atomic.Int64
	// limitFraction, if set, scales the limit. All local engines share it.
	limitFraction *LimitFraction
}

// LimitFraction is the fraction of the endpoints' limits that is in use. It is below one
// while a data centre returns to service. The zero value is one.
type LimitFraction struct {
	missingThousandths atomic.Int64
}

// thousandths is the resolution of a LimitFraction.
const thousandths = 1000

// Set sets the fraction, from 0 to 1.
func (f *LimitFraction) Set(fraction float64) {
	f.missingThousandths.Store(thousandths - int64(math.Round(thousandths*min(max(fraction, 0), 1))))
}

// applyTo returns the fraction of a limit, but at least one request.
func (f *LimitFraction) applyTo(limit unit.Requests) unit.Requests {
	if f == nil || limit <= 0 {
		return limit
	}
	missing := f.missingThousandths.Load()
	if missing == 0 {
		return limit
	}
	return max(1, limit*unit.Requests(thousandths-missing)/thousandths)
}

// SetReportedCounts records the counts that the endpoint has reported.
func (l *Load) SetReportedCounts(c RequestCounts) {
	l.running.Store(int64(c.Running))
	l.waiting.Store(int64(c.Waiting))
}

// ReportedCounts returns the counts that the endpoint has last reported.
func (l *Load) ReportedCounts() RequestCounts {
	return RequestCounts{unit.Requests(l.running.Load()), unit.Requests(l.waiting.Load())}
}

// AvoidUntil excludes the endpoint from requests until the given time.
func (l *Load) AvoidUntil(until time.Time) {
	l.avoidUntil.Store(int64(clock.InstantOf(until)))
}

// movingAverage is an exponentially weighted moving average of durations. It stores
// seconds as the bits of a float64.
type movingAverage struct {
	bits atomic.Uint64
}

// sampleWeight is the weight of a new sample in a moving average.
const sampleWeight = 0.1

func (a *movingAverage) addSample(d time.Duration) {
	for {
		old := a.bits.Load()
		mean := math.Float64frombits(old)
		if old == 0 {
			mean = d.Seconds()
		} else {
			mean += sampleWeight * (d.Seconds() - mean)
		}
		if a.bits.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}

func (a *movingAverage) mean() time.Duration {
	return time.Duration(math.Float64frombits(a.bits.Load()) * float64(time.Second))
}

// FirstTokenTime returns the estimated time to the first token, or zero if it is unknown.
func (l *Load) FirstTokenTime() time.Duration {
	return l.firstToken.mean()
}

// TokenInterval returns the estimated time between tokens, or zero if it is unknown.
func (l *Load) TokenInterval() time.Duration {
	return l.tokenInterval.mean()
}

// InFlight returns the number of this daemon's requests in flight to the endpoint.
func (l *Load) InFlight() unit.Requests {
	return unit.Requests(l.inFlight.Load())
}

// SetLimit sets the adaptive limit of requests in flight. Zero means no limit.
func (l *Load) SetLimit(limit unit.Requests) {
	l.limit.Store(int64(limit))
}

// Limit returns the adaptive limit of requests in flight, or zero if there is none.
func (l *Load) Limit() unit.Requests {
	return unit.Requests(l.limit.Load())
}

// SetColdGrant allows the number of concurrent requests to the endpoint while it is
// cold, until the given time.
func (l *Load) SetColdGrant(requests unit.Requests, until time.Time) {
	// The limit is zero while the time changes, so that a concurrent reader
	// never combines the old limit with the new time.
	l.coldLimit.Store(0)
	l.coldLimitUntil.Store(int64(clock.InstantOf(until)))
	l.coldLimit.Store(int64(requests))
}

func (l *Load) coldGrant(now time.Time) unit.Requests {
	if int64(clock.InstantOf(now)) >= l.coldLimitUntil.Load() {
		return 0
	}
	return unit.Requests(l.coldLimit.Load())
}

// IsSuspectedCold reports whether first tokens are so slow that the endpoint is handled as
// cold.
func (l *Load) IsSuspectedCold() bool {
	return l.suspectedCold.Load()
}

// ClearColdSuspicion ends the suspicion that the endpoint is cold.
func (l *Load) ClearColdSuspicion() {
	l.slowFirstTokens.Store(0)
	l.suspectedCold.Store(false)
}

// A warm endpoint is suspected to be cold after slowCount consecutive first tokens that
// each took longer than slowFactor times the estimate and longer than minSlowFirstToken.
const (
	slowCount         = 3
	slowFactor        = 4
	minSlowFirstToken = 50 * time.Millisecond
)

// ObserveFirstToken records the time to the first token of a request.
func (l *Load) ObserveFirstToken(d time.Duration) {
	mean := l.FirstTokenTime()
	if mean > 0 && d > slowFactor*mean && d > minSlowFirstToken {
		if l.slowFirstTokens.Add(1) >= slowCount {
			l.suspectedCold.Store(true)
		}
		return
	}
	l.ClearColdSuspicion()
	l.firstToken.addSample(d)
}

// ObserveToken records the time between two tokens.
func (l *Load) ObserveToken(d time.Duration) {
	l.tokenInterval.addSample(d)
}

// EffectiveLimit returns the number of requests that this daemon may currently have in
// flight to the endpoint.
func (e *Endpoint) EffectiveLimit(now time.Time) unit.Requests {
	if int64(clock.InstantOf(now)) < e.Load.avoidUntil.Load() {
		return 0
	}
	if e.Cold || e.Load.IsSuspectedCold() {
		return e.Load.coldGrant(now)
	}
	limit := e.Limit
	if adaptive := e.Load.Limit(); adaptive > 0 {
		limit = min(adaptive, limit)
	}
	return e.Load.limitFraction.applyTo(limit)
}

// Acquire acquires a slot of the endpoint. It reports false if there is no free slot.
func (e *Endpoint) Acquire(now time.Time) bool {
	for {
		inFlight := e.Load.inFlight.Load()
		if inFlight >= int64(e.EffectiveLimit(now)) {
			return false
		}
		if e.Load.inFlight.CompareAndSwap(inFlight, inFlight+1) {
			return true
		}
	}
}

// Release releases a slot that Acquire has acquired.
func (e *Endpoint) Release() {
	e.Load.inFlight.Add(-1)
}
