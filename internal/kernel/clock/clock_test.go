package clock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/kernel/clock"
)

// TestCountingSuspension guards against a fake clock that is replaced, and against a clock
// that stands still or goes back.
func TestCountingSuspension(t *testing.T) {
	c := qt.New(t)
	fake := clockwork.NewFakeClock()
	c.Check(clock.CountingSuspension(fake), qt.Equals, clock.Clock(fake))
	counting := clock.CountingSuspension(clock.Real())
	before := counting.Now()
	counting.Sleep(2 * time.Millisecond)
	elapsed := counting.Now().Sub(before)
	c.Check(elapsed >= 2*time.Millisecond, qt.IsTrue, qt.Commentf("%s", elapsed))
}

// TestInstant guards against durations that change when the time of day is set, and against
// an instant that differs from its time.
func TestInstant(t *testing.T) {
	now := clock.Real().Now()
	fake := clockwork.NewFakeClock().Now()
	// The wall clock of a time without its monotonic reading has been set back.
	setBack := now.Round(0).Add(-5 * time.Second)
	tests := map[string]struct {
		from, to time.Time
		want     time.Duration
	}{
		"monotonic":      {from: now, to: now.Add(3 * time.Second), want: 3 * time.Second},
		"earlier":        {from: now, to: now.Add(-time.Hour), want: -time.Hour},
		"fake clock":     {from: fake, to: fake.Add(time.Minute), want: time.Minute},
		"round trip":     {from: now, to: clock.InstantOf(now).Time(), want: 0},
		"from wall time": {from: setBack, to: setBack.Add(time.Second), want: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(time.Duration(clock.InstantOf(test.to)-clock.InstantOf(test.from)), qt.Equals, test.want)
			c.Check(clock.InstantOf(test.to).Time().Equal(test.to), qt.IsTrue)
			c.Check(clock.InstantOf(test.to) > 0, qt.IsTrue)
		})
	}
	// A wall clock that is set back moves no instant: the monotonic reading decides.
	later := clock.Real().Now()
	qt.Check(t, clock.InstantOf(later) >= clock.InstantOf(now), qt.IsTrue)
}
