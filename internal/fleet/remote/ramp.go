package remote

import "time"

// RampOptions are the settings of a Ramp.
type RampOptions struct {
	// Time is the time over which the part rises to the whole.
	Time time.Duration
	// Absence is the time without endpoints after which their return counts
	// as the data centre's.
	Absence time.Duration
	// Target is the time to the first token above which the part doesn't
	// rise.
	Target time.Duration
}

// Ramp says which part of the local endpoints' limits is in use while a data
// centre returns to service: it rises in steps of a tenth, and waits while
// first tokens are late. It is not safe for concurrent use.
type Ramp struct {
	options RampOptions
	state   rampState
	// tenths is the part in use.
	tenths int
	// usual is the time to the first token before the data centre left.
	usual time.Duration
	// missing is the time since which no endpoint is present, if any was.
	missing time.Time
	began   time.Time
	stepped time.Time
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
	wholeTenths = 10
	firstTenths = 1
	// lateFactor is the multiple of the usual time to the first token above
	// which the part doesn't rise.
	lateFactor = 2
	// usualLimit is the number of ramp times for which the usual time counts.
	// The load may have changed for good while the data centre was away.
	usualLimit = 3
)

// NewRamp returns a ramp at the whole: a daemon that starts in a data centre in
// service doesn't return with it.
func NewRamp(o RampOptions) *Ramp {
	return &Ramp{options: o, tenths: wholeTenths}
}

// Part returns the part in use, from 0 to 1.
func (r *Ramp) Part() float64 {
	return float64(r.tenths) / wholeTenths
}

// Observe takes what is seen now.
func (r *Ramp) Observe(now time.Time, o Observation) {
	switch {
	case o.Out:
		r.leave()
	case !o.Present:
		r.absent(now)
	default:
		r.missing = time.Time{}
		r.present(now, o.FirstToken)
	}
}

func (r *Ramp) leave() {
	r.state, r.tenths, r.missing = away, firstTenths, time.Time{}
}

// absent counts the time without endpoints. Before the first one was seen the
// daemon may simply not have heard of them.
func (r *Ramp) absent(now time.Time) {
	if r.state == starting || r.state == away {
		return
	}
	if r.missing.IsZero() {
		r.missing = now
	}
	if now.Sub(r.missing) >= r.options.Absence {
		r.leave()
	}
}

func (r *Ramp) present(now time.Time, firstToken time.Duration) {
	switch r.state {
	case starting, inService:
		r.state = inService
		if firstToken > 0 {
			r.usual = firstToken
		}
	case away:
		r.state, r.began, r.stepped = returning, now, now
	case returning:
		r.step(now, firstToken)
	}
}

// step raises the part by a tenth. The time during which it waited isn't made
// up for.
func (r *Ramp) step(now time.Time, firstToken time.Duration) {
	if r.late(now, firstToken) {
		r.stepped = now
		return
	}
	if now.Sub(r.stepped) < r.options.Time/(wholeTenths-firstTenths) {
		return
	}
	r.stepped = now
	r.tenths++
	if r.tenths == wholeTenths {
		r.state = inService
	}
}

func (r *Ramp) late(now time.Time, firstToken time.Duration) bool {
	if firstToken > r.options.Target {
		return true
	}
	return r.usual > 0 && firstToken > lateFactor*r.usual && now.Sub(r.began) < usualLimit*r.options.Time
}
