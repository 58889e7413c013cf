package mirror

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/ident"
)

// TestUpstreamAfterOutage guards against a daemon that has no source for seconds after an outage, as
// all its sources have failed in it again and again.
func TestUpstreamAfterOutage(t *testing.T) {
	const (
		outage = 20 * time.Second
		step   = 100 * time.Millisecond
		within = time.Second
	)
	tests := map[string]struct {
		tree fakeTree
	}{
		"fallbacks": {tree: fakeTree{fallbacks: []Peer{{Instance: "q"}, {Instance: "r"}}}},
		"parent":    {tree: fakeTree{parent: "p", readerGroup: 1}},
		"all":       {tree: fakeTree{parent: "p", fallbacks: []Peer{{Instance: "q"}}, readerGroup: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			feed := new(fakeFeed)
			platform := &fakeSource{answers: []sourceAnswer{{fails: true}}, cancel: func() {}}
			u := &Upstream{Clock: clk, Log: zerolog.Nop(), Platform: platform, Feed: feed, Tree: test.tree, MaxAge: 3 * time.Second}
			list := func() error {
				clk.Advance(step)
				_, _, err := u.List(context.Background(), "")
				return err
			}
			for range outage / step {
				c.Assert(list(), qt.IsNotNil)
			}
			// A daemon that is called all the time would have no time to recover.
			c.Check(len(feed.calls) <= int(2*outage/minRecallTime), qt.IsTrue, qt.Commentf("%d calls", len(feed.calls)))
			feed.ages = map[ident.Instance]time.Duration{"p": 0, "q": 0, "r": 0}
			waited := time.Duration(0)
			for list() != nil {
				waited += step
			}
			c.Check(waited <= within, qt.IsTrue, qt.Commentf("no source for %s after the outage", waited))
		})
	}
}

// TestReaderGroups guards against all daemons that call a platform which is unavailable, and against one
// that is the only one served and reads rarely, since it is not among the first.
func TestReaderGroups(t *testing.T) {
	const (
		maxAge   = 1200 * time.Millisecond
		step     = 100 * time.Millisecond
		interval = defaultRecovery / recoveryPerProbe
	)
	tests := map[string]struct {
		group int
		// fails says that the platform refuses the daemon, and reads that the daemon has read from it
		// before.
		fails, reads bool
		// firstCall is the time until the first call to the platform.
		firstCall time.Duration
		// minCalls and maxCalls bound the number of calls within ten seconds.
		minCalls, maxCalls int
	}{
		"first group":              {minCalls: 100, maxCalls: 100},
		"first group, unavailable": {fails: true, minCalls: 6, maxCalls: 8},
		"third group":              {group: 2, firstCall: maxAge + 2*interval, minCalls: 50, maxCalls: 60},
		"third group, unavailable": {group: 2, fails: true, firstCall: maxAge + 2*interval, minCalls: 3, maxCalls: 5},
		"third group, reads":       {group: 2, reads: true, minCalls: 100, maxCalls: 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			platform := &outageSource{clock: clk}
			u := &Upstream{Clock: clk, Log: zerolog.Nop(), Platform: platform, Feed: new(fakeFeed), Tree: fakeTree{readerGroup: test.group}, MaxAge: maxAge}
			u.confirmedAt, u.currentSource = clk.Now(), "p"
			if test.reads {
				u.currentSource = platformSource
			}
			if test.fails {
				platform.returns = clk.Now().Add(time.Hour)
			}
			start, firstCall := clk.Now(), time.Duration(-1)
			for clk.Since(start) < 10*time.Second {
				_, _, _ = u.List(context.Background(), "")
				if platform.calls > 0 && firstCall < 0 {
					firstCall = clk.Since(start)
				}
				clk.Advance(step)
			}
			c.Check(firstCall >= test.firstCall && firstCall <= test.firstCall+2*step, qt.IsTrue, qt.Commentf("first call after %s", firstCall))
			c.Check(platform.calls >= test.minCalls && platform.calls <= test.maxCalls, qt.IsTrue, qt.Commentf("%d calls", platform.calls))
		})
	}
}
