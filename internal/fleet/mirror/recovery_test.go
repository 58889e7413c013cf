package mirror

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// outageSource is a platform that gives no answers until its return. A call takes hangTime by the clock
// of the test, or refuses at once if that is zero.
type outageSource struct {
	clock    *clockwork.FakeClock
	hangTime time.Duration
	began    time.Time
	returns  time.Time
	calls    int
}

func (s *outageSource) call() error {
	s.calls++
	if now := s.clock.Now(); now.Before(s.began) || !now.Before(s.returns) {
		return nil
	}
	s.clock.Advance(s.hangTime)
	err := code.PlatformUnavailable.New("the platform gives no answers")
	if s.hangTime > 0 {
		return code.WithOutcome(err, code.Unknown)
	}
	return err
}

func (s *outageSource) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	return nil, 1, s.call()
}

func (s *outageSource) Changes(_ context.Context, _ store.Key, after unit.Revision, wait time.Duration) ([]store.Change, unit.Revision, bool, error) {
	if s.hangTime > 0 && wait > 0 && s.clock.Now().Before(s.began) {
		s.clock.Advance(wait)
	}
	return nil, after, false, s.call()
}

// TestRecovery guards against a daemon that calls the platform so rarely after a failure that changes
// come into force too late after its return: requests with a withdrawn key were run 3.5 s after an outage.
// A call costs, so a daemon must not call all the time either.
func TestRecovery(t *testing.T) {
	const (
		recovery = 3 * time.Second
		// readBy is the time for the daemon's own call. What is left of the recovery is for its answer
		// and for the daemons that follow.
		readBy = recovery * 3 / 5
		step   = 50 * time.Millisecond
	)
	tests := map[string]struct {
		hangTime time.Duration
		within   time.Duration
	}{
		"silent":                {hangTime: 600 * time.Millisecond, within: 2 * time.Second},
		"silent, slow settings": {hangTime: 600 * time.Millisecond, within: 4 * time.Second},
		"busy or reset":         {within: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for outage := step; outage < 12*time.Second; outage += step {
				clk := clockwork.NewFakeClock()
				platform := &outageSource{clock: clk, hangTime: test.hangTime}
				m := New(Options{Clock: clk, Log: zerolog.Nop(), Within: test.within})
				m.Source = &Upstream{Clock: clk, Log: zerolog.Nop(), Platform: platform, Feed: new(fakeFeed), Tree: fakeTree{}, MaxAge: m.MaxAge(), Recovery: recovery}
				poll := func() bool {
					delay, answered := m.poll(context.Background())
					clk.Advance(delay)
					return answered
				}
				c.Assert(poll(), qt.IsTrue)
				platform.began = clk.Now()
				platform.returns = platform.began.Add(outage)
				platform.calls = 0
				for clk.Now().Before(platform.returns) || m.Age() > clk.Since(platform.returns) {
					poll()
				}
				late := clk.Since(platform.returns) - m.Age()
				c.Check(late <= readBy, qt.IsTrue, qt.Commentf("outage of %s: read %s after the return", outage, late))
				// Two calls fail before the platform is avoided.
				c.Check(platform.calls <= 4+int(outage/(recovery/recoveryPerProbe)*11/10), qt.IsTrue, qt.Commentf("outage of %s: %d calls", outage, platform.calls))
			}
		})
	}
}

// TestRecoveryNews guards against a daemon that sleeps, or avoids a daemon whose copy was too old, while
// that one has read from the platform again and says so.
func TestRecoveryNews(t *testing.T) {
	tests := map[string]struct {
		// age is the reported age of the other daemon's copy.
		age  time.Duration
		read bool
	}{
		"recent copy reported":  {read: true},
		"old copy reported":     {age: time.Minute},
		"copy's age at the end": {age: 1200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			clk := clockwork.NewFakeClock()
			feed := &fakeFeed{ages: map[ident.Instance]time.Duration{"q": time.Hour}}
			platform := &fakeSource{answers: []sourceAnswer{{fails: true}}, cancel: stop}
			m := New(Options{Clock: clk, Log: zerolog.Nop()})
			u := &Upstream{Clock: clk, Log: zerolog.Nop(), Platform: platform, Feed: feed, Tree: fakeTree{fallbacks: []Peer{{Instance: "q"}}}, MaxAge: m.MaxAge()}
			m.Source = u
			for range 4 {
				_, answered := m.poll(ctx)
				c.Assert(answered, qt.IsFalse)
			}
			clk.Advance(oldCopyRecallTime)
			feed.ages["q"] = test.age
			m.ObserveCopy("q", 9, test.age)
			_, answered := m.poll(ctx)
			c.Check(answered, qt.Equals, test.read)
			c.Check(len(m.sourceRegained) == 1, qt.Equals, test.read)
		})
	}
}
