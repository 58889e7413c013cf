package remote

import "time"

// RampOptions configure a Ramp.
type RampOptions struct {
	// Duration is the time over which the fraction rises to 1.
	Duration time.Duration
	// Absence is the time without endpoints after which the data centre counts
	// as out of service.
	Absence time.Duration
	// FirstTokenTarget is the time to the first token above which the fraction
	// doesn't rise.
	FirstTokenTarget time.Duration
}

// Ramp computes which fraction of the local endpoints' limits is in use while a
// data centre returns to service. The fraction rises in steps of a tenth and
// waits while first tokens are late. A Ramp is not safe for concurrent use.
type Ramp struct {
	options RampOptions
	state   rampState
	// tenths is the fraction in use, in tenths.
	tenths int
	// usualFirstTokenTime is the time to the first token before the data centre
	// went out of service.
	usualFirstTokenTime time.Duration
	// absentSince is the time since which the data centre has had no endpoints,
	// zero if it has some.
	absentSince time.Time
	returnedAt  time.Time
	lastStep    time.Time
}

// rampState is the state of the data centre. It is starting until the ramp has
// observed an endpoint or a drain.
type rampState int

const (
	starting rampState = iota
	inService
	outOfService
	returning
)

// Observation is the state of a data centre at one time.
type Observation struct {
	// Drained says that an operator drained the data centre.
	Drained bool
	// Present says that the data centre has endpoints.
	Present bool
	// FirstTokenTime is the mean of the endpoints' estimated times to the first
	// token, zero if none is known.
	FirstTokenTime time.Duration
}

const (
	fullTenths    = 10
	initialTenths = 1
	// lateFactor is the multiple of the usual time to the first token above
	// which the fraction doesn't rise.
	lateFactor = 2
	// usualFirstTokenRamps is the number of ramp durations after the return for
	// which the usual time to the first token counts. The load may have changed
	// permanently while the data centre was out of service.
	usualFirstTokenRamps = 3
)

// NewRamp returns a ramp with the full limits in use, since the start of a
// daemon doesn't mean that its data centre returns to service.
func NewRamp(o RampOptions) *Ramp {
	return &Ramp{options: o, tenths: fullTenths}
}

// LimitFraction returns the fraction of the limits in use, from 0 to 1.
func (r *Ramp) LimitFraction() float64 {
	return float64(r.tenths) / fullTenths
}

// Observe updates the ramp with an observation.
func (r *Ramp) Observe(now time.Time, o Observation) {
	switch {
	case o.Drained:
		r.setOutOfService()
	case !o.Present:
		r.observeAbsent(now)
	default:
		r.absentSince = time.Time{}
		r.observePresent(now, o.FirstTokenTime)
	}
}

func (r *Ramp) setOutOfService() {
	r.state, r.tenths, r.absentSince = outOfService, initialTenths, time.Time{}
}

// observeAbsent counts the time without endpoints. Time before the first
// endpoint was observed doesn't count, since a daemon that is starting may not
// have received the endpoints yet.
func (r *Ramp) observeAbsent(now time.Time) {
	if r.state == starting || r.state == outOfService {
		return
	}
	if r.absentSince.IsZero() {
		r.absentSince = now
	}
	if now.Sub(r.absentSince) >= r.options.Absence {
		r.setOutOfService()
	}
}

func (r *Ramp) observePresent(now time.Time, firstTokenTime time.Duration) {
	switch r.state {
	case starting, inService:
		r.state = inService
		if firstTokenTime > 0 {
			r.usualFirstTokenTime = firstTokenTime
		}
	case outOfService:
		r.state, r.returnedAt, r.lastStep = returning, now, now
	case returning:
		r.raiseFraction(now, firstTokenTime)
	}
}

// raiseFraction raises the fraction by a tenth if the time for a step has
// passed. Time in which first tokens were late doesn't count.
func (r *Ramp) raiseFraction(now time.Time, firstTokenTime time.Duration) {
	if r.isFirstTokenLate(now, firstTokenTime) {
		r.lastStep = now
		return
	}
	if now.Sub(r.lastStep) < r.options.Duration/(fullTenths-initialTenths) {
		return
	}
	r.lastStep = now
	r.tenths++
	if r.tenths == fullTenths {
		r.state = inService
	}
}

// isFirstTokenLate reports whether first tokens take longer than the target, or
// much longer than usual.
func (r *Ramp) isFirstTokenLate(now time.Time, firstTokenTime time.Duration) bool {
	if firstTokenTime > r.options.FirstTokenTarget {
		return true
	}
	return r.usualFirstTokenTime > 0 && firstTokenTime > lateFactor*r.usualFirstTokenTime && now.Sub(r.returnedAt) < usualFirstTokenRamps*r.options.Duration
}
