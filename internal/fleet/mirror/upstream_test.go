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
