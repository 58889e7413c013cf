package budget

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

const (
	testGrace = time.Second
	testBytes = 100 << 10
)

func peer(host byte) net.Addr {
	return &net.TCPAddr{IP: net.IPv4(10, 0, 0, host)}
}

// TestOrder guards against an order in which a connection with progress is ended before one without,
// and against ending a request that runs or the oldest request that is read.
func TestOrder(t *testing.T) {
	type state struct {
		// prepare brings the account of the other connection into a state, before the grace period.
		prepare func(a *Account)
		// during is done at the end of the grace period.
		during func(a *Account)
		host   byte
	}
	idle := state{}
	stalled := state{prepare: func(a *Account) { a.Begin() }}
	slow := state{prepare: func(a *Account) { a.Begin() }, during: func(a *Account) { a.Received(1) }}
	steady := state{prepare: func(a *Account) { a.Begin() }, during: func(a *Account) { a.Received(1 << 20) }}
	running := state{prepare: func(a *Account) { a.Begin(); a.Run() }}
	notReading := state{prepare: func(a *Account) { a.Begin(); a.Run(); a.StartWrite() }}
	foreign := func(s state) state { s.host = 2; return s }
	tests := map[string]struct {
		others []state
		// wantEnded is the index of the connection that is ended, -1 if none is.
		wantEnded int
	}{
		"idle":                             {others: []state{running, idle}, wantEnded: 1},
		"stalled before idle":              {others: []state{idle, stalled}, wantEnded: 1},
		"answer not read before idle":      {others: []state{idle, notReading}, wantEnded: 1},
		"idle before slow":                 {others: []state{slow, idle}, wantEnded: 1},
		"slow":                             {others: []state{steady, slow, running}, wantEnded: 1},
		"steady of own address":            {others: []state{steady, running}, wantEnded: -1},
		"steady of address over quota":     {others: []state{foreign(running), foreign(steady)}, wantEnded: 1},
		"running of address over quota":    {others: []state{foreign(running), foreign(running)}, wantEnded: -1},
		"stalled of address over quota":    {others: []state{stalled, foreign(stalled), foreign(running)}, wantEnded: 1},
		"nothing that may be ended at all": {others: []state{running, running}, wantEnded: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			b := New(Options{
				Clock: clk, Log: zerolog.Nop(), Capacity: unit.Bytes(connectionBytes + len(test.others)*(connectionBytes+testBytes)),
				AddressShare: 0.5, MinRate: 1000, Grace: testGrace, Wait: 2 * testGrace,
			})
			ended := make([]bool, len(test.others))
			var accounts []*Account
			for i, s := range test.others {
				a := b.Open(Callers, peer(s.host), func() { ended[i] = true })
				if s.prepare != nil {
					s.prepare(a)
				}
				a.add(testBytes)
				accounts = append(accounts, a)
			}
			clk.Advance(testGrace)
			for i, s := range test.others {
				if s.during != nil {
					s.during(accounts[i])
				}
			}
			requester := b.Open(Callers, peer(0), func() {})
			c.Assert(requester.Begin(), qt.IsTrue)
			c.Check(b.take(testBytes), qt.IsFalse)
			b.makeRoom(requester, testBytes)
			for i := range ended {
				c.Check(ended[i], qt.Equals, i == test.wantEnded, qt.Commentf("connection %d", i))
			}
			for _, a := range accounts {
				a.Close()
			}
			c.Check(requester.Reserve(testBytes), qt.IsNil)
			requester.Close()
			c.Check(b.Used(), qt.Equals, unit.Bytes(0))
		})
	}
}

// TestNoRefusalWithRoom guards against a request that is refused although the budget has room, and
// against a wait that goes on after its limit.
func TestNoRefusalWithRoom(t *testing.T) {
	c := qt.New(t)
	b := New(Options{Clock: clock.Real(), Log: zerolog.Nop(), Capacity: 2*connectionBytes + testBytes, AddressShare: 0.5, MinRate: 1, Grace: time.Minute, Wait: 50 * time.Millisecond})
	first, second := b.Open(Callers, peer(0), func() {}), b.Open(Callers, peer(0), func() {})
	c.Assert(first.Begin() && second.Begin(), qt.IsTrue)
	c.Assert(first.Reserve(testBytes), qt.IsNil)
	c.Check(errors.Is(second.Reserve(1), ErrNoRoom), qt.IsTrue)
	first.Release(testBytes)
	c.Check(second.Reserve(testBytes), qt.IsNil)
	c.Check(second.Run(), qt.IsTrue)
}

// TestOldestGoesOn guards against requests that wait for each other's bytes until all are refused.
func TestOldestGoesOn(t *testing.T) {
	c := qt.New(t)
	const requests = 8
	b := New(Options{Clock: clock.Real(), Log: zerolog.Nop(), Capacity: requests * (connectionBytes + testBytes), AddressShare: 1, MinRate: 1, Grace: time.Minute, Wait: 5 * time.Second})
	var done sync.WaitGroup
	errs := make([]error, requests)
	for i := range requests {
		a := b.Open(Callers, peer(0), func() {})
		c.Assert(a.Begin(), qt.IsTrue)
		c.Assert(a.Reserve(testBytes), qt.IsNil)
		done.Go(func() {
			errs[i] = a.Reserve(2 * testBytes)
			a.Close()
		})
	}
	done.Wait()
	c.Check(errs[0], qt.IsNil)
	c.Check(b.Used(), qt.Equals, unit.Bytes(0))
}

// TestConnectionLimit guards against connections above the limit, against an idle connection that
// keeps others out, and against a kind that takes the connections of another.
func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	b := New(Options{Clock: clk, Log: zerolog.Nop(), Capacity: 1 << 30, Connections: map[Kind]int{Callers: 2, Readiness: 1}, AddressShare: 0.5, MinRate: 1, Grace: testGrace, Wait: testGrace})
	ended := false
	idle := b.Open(Callers, peer(0), func() { ended = true })
	running := b.Open(Callers, peer(0), func() { t.Error("a connection whose request runs was ended") })
	c.Assert(running.Begin() && running.Run(), qt.IsTrue)
	c.Check(b.Open(Callers, peer(1), func() {}), qt.IsNil)
	c.Check(b.Open(Readiness, peer(1), func() {}), qt.IsNotNil)
	clk.Advance(testGrace)
	third := b.Open(Callers, peer(1), func() {})
	c.Check(third, qt.IsNotNil)
	c.Check(ended, qt.IsTrue)
	c.Check(idle.Begin(), qt.IsFalse, qt.Commentf("an ended connection reads a request"))
}

// TestReservations guards against bytes that are returned twice or never, whatever the order of
// reservations, releases and ends of connections.
func TestReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Options{Clock: clock.Real(), Log: zerolog.Nop(), Capacity: 300 << 10, AddressShare: 0.5, MinRate: 1, Grace: time.Nanosecond, Wait: time.Nanosecond})
		var accounts []*Account
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(accounts) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				accounts = append(accounts, b.Open(Callers, peer(byte(len(accounts)%3)), func() {}))
			}
			a := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			size := unit.Bytes(rapid.IntRange(0, 100<<10).Draw(t, "size"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				a.Begin()
			case 1:
				a.Run()
			case 2:
				a.Finish()
			case 3:
				_ = a.Reserve(size)
			case 4:
				a.ReserveAnswer(size)
			case 5:
				a.Release(size)
			case 6:
				a.Close()
			}
			sum := int64(0)
			for _, open := range accounts {
				sum += open.held.Load()
			}
			if sum != b.used.Load() || sum < 0 {
				t.Fatalf("accounts hold %d bytes, the budget counts %d", sum, b.used.Load())
			}
		}
		for _, a := range accounts {
			a.Close()
		}
		if b.Used() != 0 || len(b.accounts) != 0 || len(b.addresses) != 0 || b.counts[Callers] != 0 {
			t.Fatalf("after the end: %d bytes, %d accounts, %d addresses, %d connections", b.Used(), len(b.accounts), len(b.addresses), b.counts[Callers])
		}
	})
}

// TestDaemonConnections guards against a default limit that the daemons of the largest fleet reach, and
// against one that takes the descriptors of callers where there are few.
func TestDaemonConnections(t *testing.T) {
	const fleet, connectionsOfDaemon = 295, 3
	tests := map[string]struct {
		setting, descriptors, want int
	}{
		"many descriptors": {descriptors: 1 << 19, want: mostDaemonConnections},
		"just enough":      {descriptors: 1 << 14, want: mostDaemonConnections},
		"few descriptors":  {descriptors: 256, want: 16},
		"set":              {setting: 40, descriptors: 256, want: 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Settings{DaemonConnections: test.setting}
			qt.New(t).Check(s.daemonConnections(test.descriptors/descriptorParts), qt.Equals, test.want)
		})
	}
	qt.New(t).Check(mostDaemonConnections >= (fleet-1)*connectionsOfDaemon, qt.IsTrue)
}

// TestForDaemons guards against callers that use up the bytes of the ports for other daemons, and
// against clients of those ports that use up the bytes of callers.
func TestForDaemons(t *testing.T) {
	c := qt.New(t)
	options := Options{Clock: clock.Real(), Log: zerolog.Nop(), Capacity: connectionBytes + testBytes, AddressShare: 0.5, MinRate: 1, Grace: time.Minute, Wait: time.Millisecond}
	b := New(options)
	b.addDaemons(options)
	accounts := map[string]*Account{"caller": b.Open(Callers, peer(0), func() {}), "daemon": b.ForDaemons().Open(Daemons, peer(0), func() {})}
	for name, a := range accounts {
		c.Assert(a.Begin(), qt.IsTrue)
		c.Check(a.Reserve(testBytes), qt.IsNil, qt.Commentf("%s", name))
		c.Check(errors.Is(a.Reserve(1), ErrNoRoom), qt.IsTrue, qt.Commentf("%s", name))
	}
	registry := prometheus.NewRegistry()
	c.Assert(b.Register(registry), qt.IsNil)
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	refused := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "cuminbay_budget_refused_total" {
				refused[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
			}
		}
	}
	c.Check(refused, qt.DeepEquals, map[string]float64{"bytes": 1, "daemon-bytes": 1})
}

// TestTotalMemory guards against a budget from a misread /proc/meminfo.
func TestTotalMemory(t *testing.T) {
	tests := map[string]struct {
		content string
		want    unit.Bytes
		fails   bool
	}{
		"usual":      {content: "MemTotal:       16384 kB\nMemFree: 1 kB\n", want: 16 << 20},
		"no total":   {content: "MemFree: 1 kB\n", fails: true},
		"no number":  {content: "MemTotal: x kB\n", fails: true},
		"empty file": {fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, err := totalMemory(test.content)
			c.Check(err != nil, qt.Equals, test.fails)
			c.Check(got, qt.Equals, test.want)
		})
	}
}

// BenchmarkReserve measures what the budget adds to an ordinary request.
func BenchmarkReserve(b *testing.B) {
	budget := New(Options{Clock: clock.Real(), Log: zerolog.Nop(), Capacity: 1 << 30, AddressShare: 0.5, MinRate: 1, Grace: time.Second, Wait: time.Second})
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		a := budget.Open(Callers, peer(0), func() {})
		defer a.Close()
		for p.Next() {
			a.Begin()
			_ = a.Reserve(2000)
			_ = a.Reserve(4000)
			a.Run()
			a.Release(6000)
			a.Finish()
		}
	})
}
