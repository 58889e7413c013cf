// Package clock is the only place that reads the machine's clock. Everything
// else gets a Clock, so that tests can pass a fake one.
package clock

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock tells time and makes timers. Its times carry a monotonic reading.
type Clock = clockwork.Clock

// Real returns the machine's clock.
func Real() Clock {
	return clockwork.NewRealClock()
}

// Jitter returns the duration changed by up to a tenth either way, so that
// periodic work of many daemons doesn't fall into step.
func Jitter(d time.Duration) time.Duration {
	const tenth = 10
	spread := int64(d) / tenth
	if spread <= 0 {
		return d
	}
	return d + time.Duration(rand.Int64N(2*spread)-spread)
}

// WithDeadline returns a context that is cancelled at the given time of the
// clock.
func WithDeadline(parent context.Context, clk Clock, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	timer := clk.AfterFunc(deadline.Sub(clk.Now()), cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
