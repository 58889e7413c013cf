// Package clock is the only package that reads the machine's clock. All other
// code gets a Clock as a parameter, so that tests can pass a fake clock.
package clock

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock returns the current time and makes timers. Its times have a monotonic
// reading.
type Clock = clockwork.Clock

// realClock is the machine's clock. Its monotonic readings don't count time in which the
// machine is suspended.
type realClock struct {
	clockwork.Clock
}

// Real returns the machine's clock.
func Real() Clock {
	return realClock{clockwork.NewRealClock()}
}

// suspensionClock is the machine's clock with times since its boot, which count time in
// which the machine is suspended.
type suspensionClock struct {
	realClock
}

// Now returns the time since boot as a time. Such times can only be compared with others of
// the same clock.
func (c suspensionClock) Now() time.Time {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return c.realClock.Now()
	}
	return time.Unix(boot.Sec, boot.Nsec)
}

// CountingSuspension returns the clock for permissions that end while the machine is
// suspended. A fake clock is returned unchanged.
func CountingSuspension(c Clock) Clock {
	if real, isReal := c.(realClock); isReal {
		return suspensionClock{real}
	}
	return c
}

// Past is a deadline that has passed. It interrupts a read or a write at once.
var Past = time.Unix(1, 0)

// Instant is a time that fits an atomic integer, in nanoseconds. It is near the time since
// 1970, but follows the monotonic clock, so that differences and comparisons stay right
// when the time of day is set. Zero stands for no time.
type Instant int64

// processStart is the time from which instants are counted.
var processStart = time.Now()

// InstantOf returns the time as an Instant.
func InstantOf(t time.Time) Instant {
	return Instant(processStart.UnixNano() + int64(t.Sub(processStart)))
}

// Time returns the time with its monotonic reading.
func (i Instant) Time() time.Time {
	return processStart.Add(time.Duration(int64(i) - processStart.UnixNano()))
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
