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

// The methods by which other plug-ins find this plug-in.
var _ interface {
	Self() ident.Instance
	Owner(key string) ident.Instance
	Owners(key string, n int) []ident.Instance
	LiveDaemons() []ident.Instance
	KnownDaemons() int
	Peers() []member.Peer
	RecordContact(id ident.Instance)
	AnnounceStop()
	Digest() []byte
} = (*member.Plugin)(nil)

const failureTimeout = 3 * time.Second

func newView(clk clockwork.Clock, name, dataCentre string, incarnation int) *member.View {
	return member.New(member.Options{
		Self: member.DaemonInfo{
			Instance: ident.Instance(name), DataCentre: ident.DataCentre(dataCentre),
			Address: name + ":7700", Incarnation: unit.Incarnation(incarnation),
		},
		Clock: clk, FailureTimeout: failureTimeout, RemoteFailureTimeout: 15 * time.Second,
	})
}

// exchange runs one exchange as the peer plug-in does, and returns the number of
// bytes of the digests and deltas.
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

// cluster is a data centre of daemons, of which some are stopped, paused or in
// another partition.
type cluster struct {
	clock     *clockwork.FakeClock
	views     []*member.View
	running   []bool
	paused    []bool
	partition []int
	changedAt []time.Time
	lastTick  []time.Time
	starts    int
}

func newCluster(n int) *cluster {
	c := &cluster{
		clock: clockwork.NewFakeClock(), views: make([]*member.View, n), running: make([]bool, n), paused: make([]bool, n),
		partition: make([]int, n), changedAt: make([]time.Time, n), lastTick: make([]time.Time, n),
	}
	for i := range n {
		c.start(i)
	}
	return c
}

func (c *cluster) start(i int) {
	c.starts++
	c.views[i] = newView(c.clock, daemonName(i), "a", c.starts)
	c.running[i], c.paused[i], c.changedAt[i], c.lastTick[i] = true, false, c.clock.Now(), c.clock.Now()
}

func daemonName(i int) string { return fmt.Sprintf("d%d", i) }

// step advances the clock by a quarter of a second and runs an exchange of each
// daemon with every other daemon of its partition.
func (c *cluster) step() {
	c.clock.Advance(250 * time.Millisecond)
	for i, v := range c.views {
		if !c.running[i] || c.paused[i] {
			continue
		}
		v.Tick()
		c.lastTick[i] = c.clock.Now()
		for j := range c.views {
			if j != i && c.running[j] && !c.paused[j] && c.partition[i] == c.partition[j] {
				exchange(v, c.views[j])
			}
		}
	}
}

// check fails if a daemon that was stopped for longer than the bound still owns a
// key, or if a daemon that was paused for longer than failureTimeout still names owners.
func (c *cluster) check(t *rapid.T) {
	// Each daemon forwards a heartbeat for half of failureTimeout after receiving
	// it; the last daemon to receive it counts the sender as alive for failureTimeout.
	bound := failureTimeout + time.Duration(len(c.views))*failureTimeout/2
	now := c.clock.Now()
	for i, v := range c.views {
		if !c.running[i] {
			continue
		}
		owners := v.Owners("replica/r1", len(c.views))
		if now.Sub(c.lastTick[i]) > failureTimeout && len(owners) > 0 {
			t.Fatalf("%s was paused for %s and still names the owners %v", daemonName(i), now.Sub(c.lastTick[i]), owners)
		}
		for j := range c.views {
			if !c.running[j] && now.Sub(c.changedAt[j]) > bound && slices.Contains(owners, ident.Instance(daemonName(j))) {
				t.Fatalf("%s names the owner %s, which stopped %s ago", daemonName(i), daemonName(j), now.Sub(c.changedAt[j]))
			}
		}
	}
}

// TestView guards against stopped daemons that still own keys, against paused
// daemons that name themselves the owner of every key after they resume, and
// against connected daemons that disagree about owners.
func TestView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "daemons")
		c := newCluster(n)
		daemon := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"": c.check,
			"steps": func(t *rapid.T) {
				for range rapid.IntRange(1, 16).Draw(t, "steps") {
					c.step()
					c.check(t)
				}
			},
			"stop": func(t *rapid.T) {
				if i := daemon.Draw(t, "daemon"); c.running[i] {
					c.running[i], c.changedAt[i] = false, c.clock.Now()
				}
			},
			"start":     func(t *rapid.T) { c.start(daemon.Draw(t, "daemon")) },
			"pause":     func(t *rapid.T) { c.paused[daemon.Draw(t, "daemon")] = true },
			"resume":    func(t *rapid.T) { c.paused[daemon.Draw(t, "daemon")] = false },
			"partition": func(t *rapid.T) { c.partition[daemon.Draw(t, "daemon")] = rapid.IntRange(0, 1).Draw(t, "partition") },
		})
		clear(c.paused)
		clear(c.partition)
		for range 4 * n * int(failureTimeout/time.Second) {
			c.step()
		}
		var want []ident.Instance
		for i := range c.views {
			if c.running[i] {
				want = append(want, ident.Instance(daemonName(i)))
			}
		}
		for i, v := range c.views {
			if c.running[i] && !slices.Equal(v.LiveDaemons(), want) {
				t.Fatalf("%s has the live daemons %v, want %v", daemonName(i), v.LiveDaemons(), want)
			}
			if c.running[i] && v.Owner("replica/r1") != c.views[slices.Index(c.running, true)].Owner("replica/r1") {
				t.Fatalf("%s names another owner of replica/r1 than the other daemons", daemonName(i))
			}
		}
	})
}

// TestKnownDaemons guards against quotas that are too large because a daemon is not
// counted, and against leaving daemons that own keys.
func TestKnownDaemons(t *testing.T) {
	daemon := func(id string, state roster.State) roster.Instance {
		return roster.Instance{ID: ident.Instance(id), DataCentre: "a", Role: roster.Daemon, State: state, Address: id + ":1"}
	}
	tests := map[string]struct {
		roster []roster.Instance
		leave  bool
		known  int
		live   []ident.Instance
	}{
		"no roster": {known: 2, live: []ident.Instance{"d0", "d1"}},
		"daemon in the roster only is known, not live":   {roster: []roster.Instance{daemon("d7", roster.Live)}, known: 3, live: []ident.Instance{"d0", "d1"}},
		"other daemon leaving by the roster":             {roster: []roster.Instance{daemon("d1", roster.Leaving)}, known: 2, live: []ident.Instance{"d0"}},
		"other daemon announced its stop":                {leave: true, known: 2, live: []ident.Instance{"d0"}},
		"this daemon leaving by the roster":              {roster: []roster.Instance{daemon("d0", roster.Leaving)}, known: 2, live: []ident.Instance{"d1"}},
		"daemon alive and in the roster is counted once": {roster: []roster.Instance{daemon("d1", roster.Live)}, known: 2, live: []ident.Instance{"d0", "d1"}},
	}
	for label, test := range tests {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			a := member.New(member.Options{
				Self: member.DaemonInfo{Instance: "d0", DataCentre: "a", Incarnation: 1}, Clock: clk, FailureTimeout: failureTimeout,
				RemoteFailureTimeout: failureTimeout, Roster: func() []roster.Instance { return test.roster },
			})
			b := newView(clk, "d1", "a", 1)
			c.Assert(a.Owner("k"), qt.Equals, ident.Instance(""))
			if test.leave {
				b.AnnounceStop()
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

// BenchmarkExchange measures one exchange within a data centre in the steady state.
// The names are the numbers of daemons, in data centres of 60.
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
				for _, other := range others {
					exchange(views[0], other)
					exchange(views[1], other)
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
