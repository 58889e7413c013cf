package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/member"
)

// The interfaces that other plug-ins look for.
var _ interface {
	Self() ident.Instance
	Owner(key string) ident.Instance
	Owners(key string, n int) []ident.Instance
	LiveDaemons() []ident.Instance
	KnownDaemons() int
	Peers() []member.Peer
	RecordContact(id ident.Instance)
	Leave()
	Digest() []byte
} = (*member.Plugin)(nil)

const deadAfter = 3 * time.Second

func newView(clk clockwork.Clock, name, dataCentre string, boot int) *member.View {
	return member.New(member.Options{
		Self: member.DaemonInfo{
			Instance: ident.Instance(name), DataCentre: ident.DataCentre(dataCentre),
			Address: name + ":7700", Boot: unit.Incarnation(boot),
		},
		Clock: clk, DeadAfter: deadAfter, FarDeadAfter: 15 * time.Second,
	})
}

// exchange does what the peer plug-in does and returns the bytes of digests
// and deltas.
func exchange(a, b *member.View) int {
	digestA := a.Digest()
	deltaForA, digestB := b.Delta(digestA), b.Digest()
	if deltaForA != nil {
		_ = a.Merge(b.Self(), deltaForA)
	}
	deltaForB := a.Delta(digestB)
	b.RecordContact(a.Self())
	a.RecordContact(b.Self())
	if deltaForB != nil {
		_ = b.Merge(a.Self(), deltaForB)
	}
	return len(digestA) + len(digestB) + len(deltaForA) + len(deltaForB)
}

// cluster is a data centre of daemons, some dead, paused or apart.
type cluster struct {
	clock     *clockwork.FakeClock
	views     []*member.View
	running   []bool
	paused    []bool
	partition []int
	changedAt []time.Time
	lastTick  []time.Time
	boots     int
}

func newCluster(n int) *cluster {
	g := &cluster{
		clock: clockwork.NewFakeClock(), views: make([]*member.View, n), running: make([]bool, n), paused: make([]bool, n),
		partition: make([]int, n), changedAt: make([]time.Time, n), lastTick: make([]time.Time, n),
	}
	for i := range n {
		g.start(i)
	}
	return g
}

func (g *cluster) start(i int) {
	g.boots++
	g.views[i] = newView(g.clock, daemonName(i), "a", g.boots)
	g.running[i], g.paused[i], g.changedAt[i], g.lastTick[i] = true, false, g.clock.Now(), g.clock.Now()
}

func daemonName(i int) string { return fmt.Sprintf("d%d", i) }

// step passes a quarter of a second, in which each daemon meets the next ones.
func (g *cluster) step() {
	g.clock.Advance(250 * time.Millisecond)
	for i, v := range g.views {
		if !g.running[i] || g.paused[i] {
			continue
		}
		v.Tick()
		g.lastTick[i] = g.clock.Now()
		for j := range g.views {
			if j != i && g.running[j] && !g.paused[j] && g.partition[i] == g.partition[j] {
				exchange(v, g.views[j])
			}
		}
	}
}

// check fails if a daemon that has been silent for longer than the bound owns
// anything, or one that was paused for longer than its silence allows believes
// its view.
func (g *cluster) check(t *rapid.T) {
	// A heartbeat is passed on for half of deadAfter by each daemon that
	// learned it; the daemon that hears it last keeps it for deadAfter.
	bound := deadAfter + time.Duration(len(g.views))*deadAfter/2
	now := g.clock.Now()
	for i, v := range g.views {
		if !g.running[i] {
			continue
		}
		owners := v.Owners("replica/r1", len(g.views))
		if now.Sub(g.lastTick[i]) > deadAfter && len(owners) > 0 {
			t.Fatalf("%s was paused for %s and believes in the owners %v", daemonName(i), now.Sub(g.lastTick[i]), owners)
		}
		for j := range g.views {
			if !g.running[j] && now.Sub(g.changedAt[j]) > bound && slices.Contains(owners, ident.Instance(daemonName(j))) {
				t.Fatalf("%s takes %s for an owner, dead for %s", daemonName(i), daemonName(j), now.Sub(g.changedAt[j]))
			}
		}
	}
}

// TestView guards against dead daemons that keep duties, paused ones that
// believe themselves the owner of everything, and connected daemons that
// disagree about owners.
func TestView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "daemons")
		g := newCluster(n)
		daemon := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"": g.check,
			"steps": func(t *rapid.T) {
				for range rapid.IntRange(1, 16).Draw(t, "steps") {
					g.step()
					g.check(t)
				}
			},
			"kill": func(t *rapid.T) {
				if i := daemon.Draw(t, "daemon"); g.running[i] {
					g.running[i], g.changedAt[i] = false, g.clock.Now()
				}
			},
			"boot":   func(t *rapid.T) { g.start(daemon.Draw(t, "daemon")) },
			"pause":  func(t *rapid.T) { g.paused[daemon.Draw(t, "daemon")] = true },
			"resume": func(t *rapid.T) { g.paused[daemon.Draw(t, "daemon")] = false },
			"part":   func(t *rapid.T) { g.partition[daemon.Draw(t, "daemon")] = rapid.IntRange(0, 1).Draw(t, "side") },
		})
		clear(g.paused)
		clear(g.partition)
		for range 4 * n * int(deadAfter/time.Second) {
			g.step()
		}
		var want []ident.Instance
		for i := range g.views {
			if g.running[i] {
				want = append(want, ident.Instance(daemonName(i)))
			}
		}
		for i, v := range g.views {
			if g.running[i] && !slices.Equal(v.LiveDaemons(), want) {
				t.Fatalf("%s sees %v, live are %v", daemonName(i), v.LiveDaemons(), want)
			}
			if g.running[i] && v.Owner("replica/r1") != g.views[slices.Index(g.running, true)].Owner("replica/r1") {
				t.Fatalf("%s sees another owner", daemonName(i))
			}
		}
	})
}

// TestKnown guards against quotas that are too large because a daemon is not
// counted, and against duties of daemons that are leaving.
func TestKnown(t *testing.T) {
	daemon := func(id string, state roster.State) roster.Instance {
		return roster.Instance{ID: ident.Instance(id), DataCentre: "a", Role: roster.Daemon, State: state, Address: id + ":1"}
	}
	tests := map[string]struct {
		roster []roster.Instance
		leave  bool
		known  int
		live   []ident.Instance
	}{
		"alone":                            {known: 2, live: []ident.Instance{"d0", "d1"}},
		"the roster counts, not for duty":  {roster: []roster.Instance{daemon("d7", roster.Live)}, known: 3, live: []ident.Instance{"d0", "d1"}},
		"leaving by the roster":            {roster: []roster.Instance{daemon("d1", roster.Leaving)}, known: 2, live: []ident.Instance{"d0"}},
		"leaving by its own word":          {leave: true, known: 2, live: []ident.Instance{"d0"}},
		"itself leaving by the roster":     {roster: []roster.Instance{daemon("d0", roster.Leaving)}, known: 2, live: []ident.Instance{"d1"}},
		"a daemon in both is counted once": {roster: []roster.Instance{daemon("d1", roster.Live)}, known: 2, live: []ident.Instance{"d0", "d1"}},
	}
	for label, test := range tests {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			a := member.New(member.Options{
				Self: member.DaemonInfo{Instance: "d0", DataCentre: "a", Boot: 1}, Clock: clk, DeadAfter: deadAfter,
				FarDeadAfter: deadAfter, Roster: func() []roster.Instance { return test.roster },
			})
			b := newView(clk, "d1", "a", 1)
			c.Assert(a.Owner("k"), qt.Equals, ident.Instance(""))
			if test.leave {
				b.Leave()
			}
			for range 4 {
				clk.Advance(time.Second)
				a.Tick()
				b.Tick()
				exchange(a, b)
			}
			c.Assert(a.KnownDaemons(), qt.Equals, test.known)
			c.Assert(a.LiveDaemons(), qt.DeepEquals, test.live)
		})
	}
}

// BenchmarkExchange measures an exchange within a data centre in the steady
// state, by the number of data centres of 60 daemons.
func BenchmarkExchange(b *testing.B) {
	for label, dataCentres := range map[string]int{"60": 1, "840": 14} {
		b.Run(label, func(b *testing.B) {
			clk := clockwork.NewFakeClock()
			views := []*member.View{newView(clk, "a-0", "a", 1), newView(clk, "a-1", "a", 1)}
			var others []*member.View
			for i := range dataCentres {
				for j := range 60 {
					if i > 0 || j > 1 {
						others = append(others, newView(clk, fmt.Sprintf("%c-%d", 'a'+i, j), string(rune('a'+i)), 1))
					}
				}
			}
			for range 3 {
				for _, o := range others {
					exchange(views[0], o)
					exchange(views[1], o)
				}
				exchange(views[0], views[1])
			}
			bytes := 0
			for b.Loop() {
				bytes += exchange(views[0], views[1])
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
		})
	}
}
