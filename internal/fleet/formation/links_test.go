package formation

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/fleet/lease"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/standin/singlekey"
)

// silentServers answer neither orders nor probes.
type silentServers struct{}

func (silentServers) SendOrder(context.Context, *cluster.Server, *cluster.Order) cluster.OrderResult {
	return cluster.Unanswered
}

func (silentServers) ReadReport(context.Context, *cluster.Server) *cluster.Server { return nil }

// fakeLinks are the links of this daemon and of the others.
type fakeLinks struct{ lost, lostElsewhere bool }

func (l *fakeLinks) CutOff() bool                        { return l.lost }
func (l *fakeLinks) LinksWork(context.Context) bool      { return !l.lost }
func (l *fakeLinks) HasConnectedDaemon() bool            { return !l.lostElsewhere }
func (*fakeLinks) AnnounceFormation(_ cluster.Formation) {}

// TestLostLinks guards against a planner that takes its own lost links for the death of all
// servers, against one that keeps its term although only others can plan, and against a term that
// ends for links that were lost for a moment.
func TestLostLinks(t *testing.T) {
	tests := map[string]struct {
		links fakeLinks
		// restored says that the links work again before the end of yieldDelay.
		restored        bool
		wantUnreachable int
		wantTerm        bool
	}{
		"links work":                  {wantUnreachable: 1, wantTerm: true},
		"links of this daemon lost":   {links: fakeLinks{lost: true}},
		"links lost for a moment":     {links: fakeLinks{lost: true}, restored: true, wantTerm: true},
		"links of all daemons lost":   {links: fakeLinks{lost: true, lostElsewhere: true}, wantTerm: true},
		"links of other daemons lost": {links: fakeLinks{lostElsewhere: true}, wantUnreachable: 1, wantTerm: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			control := &controller{
				deps: &plugin.Deps{Clock: clk, Log: zerolog.Nop()}, settings: &Settings{}, keys: fakeKeys{}, wake: make(chan struct{}, 1),
				servers: silentServers{}, links: &test.links, peers: &test.links, catalog: catalog.New(clk),
			}
			control.settings.Lease.Duration = time.Second
			s := &revokingStore{Store: singlekey.Store{TTL: time.Second}}
			l := lease.New(s, clk, "key", "d", time.Second)
			control.renewLease(context.Background(), l)
			token := control.fencingToken.Load()
			c.Assert(token != 0, qt.IsTrue)

			p := NewPlanner(Options{}, 1, clk.Now())
			control.probeServer(context.Background(), &cluster.Server{ID: "i"})
			control.applyResults(p)
			c.Check(p.unreachable, qt.HasLen, test.wantUnreachable)

			control.yieldTerm(token, clk.Now())
			clk.Advance(yieldDelay / 2)
			c.Check(control.fencingToken.Load(), qt.Equals, token)
			test.links.lost = test.links.lost && !test.restored
			control.yieldTerm(token, clk.Now())
			clk.Advance(yieldDelay / 2)
			control.yieldTerm(token, clk.Now())
			control.renewLease(context.Background(), l)
			c.Check(control.fencingToken.Load() == token, qt.Equals, test.wantTerm)
			c.Check(l.IsHeld(), qt.Equals, test.wantTerm)
		})
	}
}
