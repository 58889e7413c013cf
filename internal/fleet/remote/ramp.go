package remote

import "time"

// RampOptions are the settings of a Ramp.
type RampOptions struct {
	// Duration is the time over which the part rises to the whole.
	Duration time.Duration
	// Absence is the time without endpoints after which their return counts
	// as the data centre's.
	Absence time.Duration
	// FirstTokenTarget is the time to the first token above which the part doesn't
	// rise.
	FirstTokenTarget time.Duration
}

// Ramp says which part of the local endpoints' limits is in use while a data
// centre returns to service: it rises in steps of a tenth, and waits while
// first tokens are late. It is not safe for concurrent use.
type Ramp struct {
	options RampOptions
	state   rampState
	// tenths is the part in use.
	tenths int
	// usualFirstToken is the time to the first token before the data centre left.
	usualFirstToken time.Duration
	// absentSince is the time since which no endpoint is present, if any was.
	absentSince time.Time
	returnedAt  time.Time
	lastStep    time.Time
}

type rampState int

const (
	starting rampState = iota
	inService
	away
	returning
)

// Observation is what a Ramp sees.
type Observation struct {
	// Out says that an operator took the data centre out of service.
	Out bool
	// Present says that it has endpoints.
	Present bool
	// FirstToken is the mean of its estimated times to the first token, zero
	// if unknown.
	FirstToken time.Duration
}

const (
	fullTenths    = 10
	initialTenths = 1
	// lateFactor is the multiple of the usual time to the first token above
	// which the part doesn't rise.
	lateFactor = 2
	// usualValidRamps is the number of ramp times for which the usual time counts.
	// The load may have changed for good while the data centre was away.
	usualValidRamps = 3
)

// NewRamp returns a ramp at the whole: a daemon that starts in a data centre in
// service doesn't return with it.
func NewRamp(o RampOptions) *Ramp {
	return &Ramp{options: o, tenths: fullTenths}
}

// LimitFraction returns the part in use, from 0 to 1.
func (r *Ramp) LimitFraction() float64 {
	return float64(r.tenths) / fullTenths
}

// Observe takes what is seen now.
func (r *Ramp) Observe(now time.Time, o Observation) {
	switch {
	case o.Out:
		r.setAway()
	case !o.Present:
		r.observeAbsent(now)
	default:
		r.absentSince = time.Time{}
		r.observePresent(now, o.FirstToken)
	}
}

func (r *Ramp) setAway() {
	r.state, r.tenths, r.absentSince = away, initialTenths, time.Time{}
}

// observeAbsent counts the time without endpoints. Before the first one was seen the
// daemon may simply not have heard of them.
func (r *Ramp) observeAbsent(now time.Time) {
	if r.state == starting || r.state == away {
		return
	}
	if r.absentSince.IsZero() {
		r.absentSince = now
	}
	if now.Sub(r.absentSince) >= r.options.Absence {
		r.setAway()
	}
}

func (r *Ramp) observePresent(now time.Time, firstToken time.Duration) {
	switch r.state {
	case starting, inService:
		r.state = inService
		if firstToken > 0 {
			r.usualFirstToken = firstToken
		}
	case away:
		r.state, r.returnedAt, r.lastStep = returning, now, now
	case returning:
		r.step(now, firstToken)
	}
}

// step raises the part by a tenth. The time during which it waited isn't made
// up for.
func (r *Ramp) step(now time.Time, firstToken time.Duration) {
	if r.late(now, firstToken) {
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

func (r *Ramp) late(now time.Time, firstToken time.Duration) bool {
	if firstToken > r.options.FirstTokenTarget {
		return true
	}
	return r.usualFirstToken > 0 && firstToken > lateFactor*r.usualFirstToken && now.Sub(r.returnedAt) < usualValidRamps*r.options.Duration
}
