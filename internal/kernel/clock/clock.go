// Package clock is the only package that reads the machine's clock. All other
// code gets a Clock as a parameter, so that tests can pass a fake clock.
package clock

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock returns the current time and makes timers. Its times have a monotonic
// reading.
type Clock = clockwork.Clock

// Real returns the machine's clock.
func Real() Clock {
	return clockwork.NewRealClock()
}

// Jitter returns the duration, increased or reduced by a random amount of up to
// a tenth, so that the periodic tasks of many daemons do not run at the same
// time.
func Jitter(d time.Duration) time.Duration {
	const jitterDivisor = 10
	maxChange := int64(d) / jitterDivisor
	if maxChange <= 0 {
		return d
	}
	return d + time.Duration(rand.Int64N(2*maxChange)-maxChange)
}

// WithDeadline returns a context that is cancelled when the clock reaches the
// deadline.
func WithDeadline(parent context.Context, clk Clock, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	timer := clk.AfterFunc(deadline.Sub(clk.Now()), cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
