package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// fixedDaemons is a daemonList that doesn't change.
type fixedDaemons []ident.Instance

func (f fixedDaemons) Daemons() []ident.Instance { return f }

func newFixedDaemons(n int) fixedDaemons {
	var names fixedDaemons
	for i := range n {
		names = append(names, daemonName(i))
	}
	return names
}

func daemonName(i int) ident.Instance { return ident.Instance(fmt.Sprintf("d%d", i)) }

func newTestLimits(clk *clockwork.FakeClock, i int, daemons fixedDaemons) *Limits {
	return New(Options{Clock: clk, Log: zerolog.Nop(), Self: daemonName(i), Daemons: daemons, Catalog: catalog.New(clk)})
}

func newTestEndpoint(i int) *catalog.Endpoint {
	s := &cluster.Server{ID: ident.Instance(fmt.Sprintf("s%d", i)), Incarnation: 7}
	return &catalog.Endpoint{Server: s, Process: s.IncarnationID()}
}

// limitChange is a limit that all servers name from a time on, zero if they name none.
type limitChange struct {
	at    time.Duration
	limit unit.RequestRate
}

// fleet is a set of daemons with requests at a fixed rate before servers that name limits.
type fleet struct {
	daemons, servers int
	// perDaemon is the number of requests a second at each daemon.
	perDaemon float64
	changes   []limitChange
	// loss is the share of lost messages between daemons, exchange the mean time between
	// two messages from one daemon to another.
	loss     float64
	exchange time.Duration
	// startAt is the time at which the last daemon starts again without what it knew.
	startAt time.Duration
}

// arrivals has the times of the requests at each server.
type arrivals [][]time.Duration

// Times of the simulated fleet.
const (
	simulatedTick = 20 * time.Millisecond
	simulatedEnd  = 22 * time.Second
	answerDelay   = 80 * time.Millisecond
)

func (f fleet) limitAt(at time.Duration) unit.RequestRate {
	limit := unit.RequestRate(0)
	for _, change := range f.changes {
		if at >= change.at {
			limit = change.limit
		}
	}
	return limit
}

// run returns the arrivals at the servers.
func (f fleet) run() arrivals {
	random := rand.New(rand.NewPCG(1, uint64(f.daemons)))
	clk := clockwork.NewFakeClock()
	limits, daemons := make([]*Limits, f.daemons), newFixedDaemons(f.daemons)
	for i := range limits {
		limits[i] = newTestLimits(clk, i, daemons)
	}
	endpoints := make([]*catalog.Endpoint, f.servers)
	for i := range endpoints {
		endpoints[i] = newTestEndpoint(i)
	}
	type answer struct {
		due            time.Duration
		daemon, server int
		named          unit.RequestRate
	}
	var pending []answer
	result := make(arrivals, f.servers)
	for at := time.Duration(0); at < simulatedEnd; at += simulatedTick {
		if f.startAt > 0 && at == f.startAt {
			limits[f.daemons-1] = newTestLimits(clk, f.daemons-1, daemons)
		}
		for len(pending) > 0 && pending[0].due <= at {
			a := pending[0]
			pending = pending[1:]
			if a.named > 0 {
				limits[a.daemon].Observe(endpoints[a.server], &a.named)
			} else {
				limits[a.daemon].Observe(endpoints[a.server], nil)
			}
		}
		for i, l := range limits {
			l.Refresh()
			messages := float64(f.daemons) * (1 - f.loss) * float64(simulatedTick) / float64(f.exchange)
			for range int(messages + random.Float64()) {
				if j := random.IntN(f.daemons); j != i {
					limits[j].Merge(daemonName(i), l.Observations())
				}
			}
			if random.Float64() >= f.perDaemon*simulatedTick.Seconds() {
				continue
			}
			for _, server := range random.Perm(f.servers) {
				if l.Admit(clk.Now(), endpoints[server]) {
					result[server] = append(result[server], at)
					pending = append(pending, answer{due: at + answerDelay, daemon: i, server: server, named: f.limitAt(at + answerDelay)})
					break
				}
			}
		}
		clk.Advance(simulatedTick)
	}
	return result
}

// most returns the highest number of requests at one server in a window that lies within the
// times.
func (a arrivals) most(from, to, window time.Duration) int {
	most := 0
	for _, times := range a {
		for i, start := range times {
			if start < from || start+window > to {
				continue
			}
			count := 0
			for _, at := range times[i:] {
				if at < start+window {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

// total returns the number of requests at all servers within the times.
func (a arrivals) total(from, to time.Duration) int {
	total := 0
	for _, times := range a {
		for _, at := range times {
			if at >= from && at < to {
				total++
			}
		}
	}
	return total
}

// TestFleet guards against more requests from all daemons together than a server's limit
// allows, and against daemons that leave a large part of it unused.
func TestFleet(t *testing.T) {
	const window = 4 * time.Second
	always := func(limit unit.RequestRate) []limitChange { return []limitChange{{2 * time.Second, limit}} }
	tests := map[string]struct {
		fleet
		// Within the times, a server has named no limit over limit. minUsed is the share
		// of the limits that has to be used.
		from, to time.Duration
		limit    unit.RequestRate
		minUsed  float64
	}{
		"six daemons":                  {fleet: fleet{daemons: 6, servers: 5, perDaemon: 20, changes: always(5), exchange: 80 * time.Millisecond}, from: 5 * time.Second, to: simulatedEnd, limit: 5, minUsed: 0.9},
		"low limit":                    {fleet: fleet{daemons: 6, servers: 5, perDaemon: 20, changes: always(0.4), exchange: 80 * time.Millisecond}, from: 5 * time.Second, to: simulatedEnd, limit: 0.4, minUsed: 0.8},
		"no requests wanted":           {fleet: fleet{daemons: 6, servers: 5, perDaemon: 20, changes: always(minLimit / 2), exchange: 80 * time.Millisecond}, from: 5 * time.Second, to: simulatedEnd, limit: minLimit, minUsed: 0},
		"75 daemons":                   {fleet: fleet{daemons: 75, servers: 8, perDaemon: 4, changes: always(5), exchange: 500 * time.Millisecond}, from: 5 * time.Second, to: simulatedEnd, limit: 5, minUsed: 0.9},
		"295 daemons, one server":      {fleet: fleet{daemons: 295, servers: 1, perDaemon: 1, changes: always(3), exchange: 2 * time.Second}, from: 5 * time.Second, to: simulatedEnd, limit: 3, minUsed: 0.5},
		"half of the messages lost":    {fleet: fleet{daemons: 8, servers: 5, perDaemon: 20, changes: always(4), exchange: 80 * time.Millisecond, loss: 0.5}, from: 5 * time.Second, to: simulatedEnd, limit: 4, minUsed: 0.9},
		"no messages":                  {fleet: fleet{daemons: 6, servers: 5, perDaemon: 20, changes: always(4), exchange: 80 * time.Millisecond, loss: 1}, from: 5 * time.Second, to: simulatedEnd, limit: 4, minUsed: 0.5},
		"limit falls":                  {fleet: fleet{daemons: 6, servers: 5, perDaemon: 20, changes: []limitChange{{2 * time.Second, 9}, {10 * time.Second, 2}}, exchange: 80 * time.Millisecond}, from: 13 * time.Second, to: simulatedEnd, limit: 2, minUsed: 0.8},
		"limit rises":                  {fleet: fleet{daemons: 6, servers: 5, perDaemon: 20, changes: []limitChange{{2 * time.Second, 1}, {10 * time.Second, 9}}, exchange: 80 * time.Millisecond}, from: 13 * time.Second, to: simulatedEnd, limit: 9, minUsed: 0.9},
		"daemon starts meanwhile":      {fleet: fleet{daemons: 6, servers: 5, perDaemon: 20, changes: always(4), exchange: 80 * time.Millisecond, startAt: 10 * time.Second}, from: 5 * time.Second, to: simulatedEnd, limit: 4, minUsed: 0.9},
		"few requests, limit not used": {fleet: fleet{daemons: 6, servers: 5, perDaemon: 0.5, changes: always(4), exchange: 80 * time.Millisecond}, from: 5 * time.Second, to: simulatedEnd, limit: 4, minUsed: 0.1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			a := test.run()
			allowed := 1.5*float64(test.limit)*window.Seconds() + 5
			c.Check(float64(a.most(test.from, test.to, window)) <= allowed, qt.IsTrue, qt.Commentf("%d requests in %s, allowed %.1f", a.most(test.from, test.to, window), window, allowed))
			capacity := float64(test.limit) * float64(test.servers) * (test.to - test.from).Seconds()
			c.Check(float64(a.total(test.from, test.to)) >= test.minUsed*capacity, qt.IsTrue, qt.Commentf("%d requests of %.1f", a.total(test.from, test.to), capacity))
		})
	}
}

// TestLimitEnds guards against a limit that goes on after the server stopped naming it, at
// daemons with a share and at those without one.
func TestLimitEnds(t *testing.T) {
	c := qt.New(t)
	f := fleet{daemons: 12, servers: 2, perDaemon: 5, changes: []limitChange{{2 * time.Second, 1}, {12 * time.Second, 0}}, exchange: 80 * time.Millisecond}
	a := f.run()
	const afterEnd = 16 * time.Second
	c.Check(a.total(afterEnd, simulatedEnd) > int(0.9*60*(simulatedEnd-afterEnd).Seconds()), qt.IsTrue, qt.Commentf("%d requests", a.total(afterEnd, simulatedEnd)))
}

// TestObserve guards against an answer that is older than the last one with a limit and ends
// it, and against the order of messages mattering.
func TestObserve(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	type seen struct {
		limit unit.RequestRate
		at    time.Duration
	}
	tests := map[string]struct {
		seen []seen
		want unit.RequestRate
	}{
		"named":                             {[]seen{{3, 0}}, 3},
		"changed":                           {[]seen{{3, 0}, {4, time.Second}}, 4},
		"older limit arrives later":         {[]seen{{4, time.Second}, {3, 0}}, 4},
		"ended":                             {[]seen{{3, 0}, {0, 2 * time.Second}}, 0},
		"answer without limit just after":   {[]seen{{3, 0}, {0, time.Second / 2}}, 3},
		"answer without limit from before":  {[]seen{{3, 2 * time.Second}, {0, 0}}, 3},
		"ended, older limit arrives later":  {[]seen{{0, 5 * time.Second}, {3, 2 * time.Second}}, 0},
		"ended and named again":             {[]seen{{3, 0}, {0, 2 * time.Second}, {5, 4 * time.Second}}, 5},
		"ended and named again, late order": {[]seen{{5, 4 * time.Second}, {0, 2 * time.Second}, {3, 0}}, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var known namedLimit
			for _, s := range test.seen {
				known.observe(s.limit, start.Add(s.at))
			}
			qt.Check(t, known.effectiveLimit(), qt.Equals, test.want)
		})
	}
}

// TestStaleLimit guards against daemons without a share that never learn that a limit has
// ended, since those with a share are away.
func TestStaleLimit(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	daemons := newFixedDaemons(20)
	e, limit := newTestEndpoint(0), unit.RequestRate(1)
	admitted := 0
	for i := range daemons {
		l := newTestLimits(clk, i, daemons)
		l.Observe(e, &limit)
		if l.Available(clk.Now().Add(time.Minute), e) {
			continue
		}
		after := clockwork.NewFakeClockAt(clk.Now().Add(staleTime + time.Second))
		l.Clock = after
		l.Refresh()
		if l.Admit(after.Now().Add(time.Minute), e) {
			admitted++
		}
	}
	c.Check(admitted, qt.Equals, len(daemons)-int(limit)-spareUsers)
}

// TestRestartedServer guards against a limit that is kept for the next incarnation of a
// server.
func TestRestartedServer(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	l, limit := newTestLimits(clk, 0, newFixedDaemons(1)), unit.RequestRate(minLimit)
	e := newTestEndpoint(0)
	l.Observe(e, &limit)
	c.Check(l.Admit(clk.Now(), e), qt.IsFalse)
	restarted := &cluster.Server{ID: e.ID, Incarnation: e.Incarnation + 1}
	c.Check(l.Admit(clk.Now(), &catalog.Endpoint{Server: restarted, Process: restarted.IncarnationID()}), qt.IsTrue)
}

// TestRetrySchedule guards against callers that are all told to come back at one time or
// during a pause, against times that grow by callers who won't come back, and against a look at the next
// time that takes a place.
func TestRetrySchedule(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	var r RetrySchedule
	const rate, patience = 4.0, time.Second
	supply := Supply{fleetRate: rate}
	for i := 1; i <= 4; i++ {
		for range 2 {
			c.Check(r.Peek(now, "m", supply, patience), qt.Equals, time.Duration(i)*time.Second/rate)
		}
		c.Check(r.Next(now, "m", supply, patience), qt.Equals, time.Duration(i)*time.Second/rate)
	}
	for range 10 {
		c.Check(r.Next(now, "m", supply, patience), qt.Equals, 5*time.Second/rate)
	}
	c.Check(r.Next(now, "other", supply, patience), qt.Equals, time.Second/rate)
	c.Check(r.Next(now.Add(time.Minute), "m", supply, patience), qt.Equals, time.Second/rate)
	paused := Supply{fleetRate: rate, startsAt: now.Add(time.Second / 2)}
	for i := 1; i <= 2; i++ {
		c.Check(r.Next(now, "paused", paused, patience), qt.Equals, time.Second/2+time.Duration(i)*time.Second/rate)
	}
}

// listedDaemons is a daemonList that changes.
type listedDaemons struct{ fixedDaemons }

// TestDaemonsChange guards against shares that stay as they were when daemons come and go, and
// against shares that depend on the order of the daemons.
func TestDaemonsChange(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	list := &listedDaemons{newFixedDaemons(1)}
	l := New(Options{Clock: clk, Log: zerolog.Nop(), Self: daemonName(0), Daemons: list, Catalog: catalog.New(clk)})
	const servers = 20
	limit := unit.RequestRate(2)
	sum := func() unit.RequestRate {
		clk.Advance(refreshInterval)
		l.Refresh()
		var sum unit.RequestRate
		for _, s := range *l.shares.Load() {
			sum += s.load()
		}
		return sum
	}
	for i := range servers {
		l.Observe(newTestEndpoint(i), &limit)
	}
	c.Check(sum(), qt.Equals, servers*limit)
	list.fixedDaemons = newFixedDaemons(40)
	few := sum()
	c.Check(few < servers*limit/4, qt.IsTrue, qt.Commentf("%v of %v", few, servers*limit))
	slices.Reverse(list.fixedDaemons)
	c.Check(sum(), qt.Equals, few)
	list.fixedDaemons = newFixedDaemons(1)
	c.Check(sum(), qt.Equals, servers*limit)
}
