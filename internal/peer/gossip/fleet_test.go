package gossip

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/fleet/demand"
	"cuminbay/internal/route/ratelimit"
	"cuminbay/internal/serve/poison"
)

const (
	fleetStep     = 10 * time.Millisecond
	fleetInterval = 40 * time.Millisecond
)

// testFleet has daemons that exchange datagrams in one process. Each daemon has a load on one
// endpoint of its data centre that grows by one request a millisecond, so that the known load
// shows how old the knowledge is.
type testFleet struct {
	net.PacketConn
	clock   *clockwork.FakeClock
	random  *rand.Rand
	daemons []*Gossip
	next    []time.Time
	byPort  map[uint16]*Gossip
	// perDataCentre is the number of daemons of a data centre.
	dataCentres, perDataCentre int
	// loss is the fraction of datagrams that are lost.
	loss             float64
	datagrams, bytes int
}

// WriteTo delivers a datagram.
func (f *testFleet) WriteTo(raw []byte, to net.Addr) (int, error) {
	f.datagrams++
	f.bytes += len(raw)
	if f.loss == 0 || f.random.Float64() >= f.loss {
		f.byPort[to.(*net.UDPAddr).AddrPort().Port()].handleDatagram(raw)
	}
	return len(raw), nil
}

func fleetDaemon(i int) ident.Instance { return ident.Instance(fmt.Sprint("daemon-", i)) }

// newTestFleet returns daemons with requests in flight at four replicas each.
func newTestFleet(dataCentres, perDataCentre, replicas int) *testFleet {
	f := &testFleet{
		clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, 2)), byPort: make(map[uint16]*Gossip),
		dataCentres: dataCentres, perDataCentre: perDataCentre,
	}
	registered := make(map[ident.Instance]RegisteredDaemon)
	for i := range dataCentres * perDataCentre {
		port := uint16(1000 + i)
		registered[fleetDaemon(i)] = RegisteredDaemon{
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), FeedAddress: "x", DataCentre: ident.DataCentre(fmt.Sprint(i % dataCentres)),
		}
		g := f.newDaemon(i, replicas)
		f.byPort[port] = g
		f.daemons = append(f.daemons, g)
		f.next = append(f.next, f.clock.Now().Add(time.Duration(f.random.Int64N(int64(100*time.Millisecond)))))
	}
	for _, g := range f.daemons {
		g.SetDaemons(registered)
	}
	return f
}

func (f *testFleet) newDaemon(i, replicas int) *Gossip {
	cat := catalog.New(f.clock)
	update := catalog.Update{Config: &cluster.Config{Version: 1, Services: map[ident.Service]*cluster.Service{
		"llm": {Name: "llm", Engine: &cluster.Engine{Models: []cluster.Model{{Name: "m", ServersPerReplica: 1}}}},
	}}}
	for r := range replicas {
		id := ident.Instance(fmt.Sprint("server-", r))
		update.Servers = append(update.Servers, &cluster.Server{
			ID: id, Service: "llm", Address: string(id), DataCentre: "0",
			Membership: &cluster.Membership{Replica: ident.Replica(id), Epoch: 3, Model: "m", State: cluster.Open},
		})
	}
	cat.Apply(update)
	self := fleetDaemon(i)
	g := New(Options{
		Clock: f.clock, Log: zerolog.Nop(), Self: self, DataCentre: ident.DataCentre(fmt.Sprint(i % f.dataCentres)), Incarnation: 1,
		Catalog: cat, PlatformCopy: &fakeCopy{revision: 5}, Links: new(fakeLinks), Telemetry: newTestTelemetry(),
		Poison: poison.New(poison.Options{Clock: f.clock, Self: self, Lifetime: time.Minute, Limit: 16}),
		Parts:  poison.NewPartDetector(poison.PartOptions{Clock: f.clock, Threshold: 3, Lifetime: time.Minute, Limit: 16}),
		Limits: ratelimit.New(ratelimit.Options{Clock: f.clock, Log: zerolog.Nop(), Self: self, Daemons: soleDaemon{}, Catalog: cat}),
		Demand: &fakeDemand{sum: &demand.DataCentreDemand{
			Live: f.perDataCentre, Heard: f.perDataCentre, Loads: []demand.ModelLoad{{Model: 1 << 30, Offered: 100}, {Model: 1 << 29, Offered: 100}},
		}, own: demand.Report{
			Window: 8 * time.Second, Loads: []demand.ModelLoad{{Model: 1 << 30, Offered: 3}, {Model: 1 << 29, Offered: 3}},
			Contention: []demand.Contention{{Model: 1 << 30, Age: time.Second}},
		}},
	}, f)
	for range 3 {
		f.loadAt(g, f.dataCentres+f.random.IntN(replicas-f.dataCentres)).RequestStarted()
	}
	return g
}

// loadAt returns the daemon's view of the load of a replica.
func (f *testFleet) loadAt(g *Gossip, replica int) *catalog.Load {
	id := ident.Instance(fmt.Sprint("server-", replica))
	for _, e := range g.Catalog.Current().ModelEndpoints("llm", "m") {
		if e.ID == id {
			return e.Load
		}
	}
	return nil
}

// run lets the time pass.
func (f *testFleet) run(duration time.Duration) {
	markers := make([]*catalog.Load, len(f.daemons))
	for i, g := range f.daemons {
		markers[i] = f.loadAt(g, i%f.dataCentres)
	}
	for end := f.clock.Now().Add(duration); f.clock.Now().Before(end); {
		f.clock.Advance(fleetStep)
		for _, load := range markers {
			for range fleetStep.Milliseconds() {
				load.RequestStarted()
			}
		}
		for i, g := range f.daemons {
			if now := f.clock.Now(); !now.Before(f.next[i]) {
				current := g.currentPace(fleetInterval)
				f.next[i] = f.next[i].Add(current.interval)
				g.UpdatePeerInFlight()
				g.updateRelays()
				g.SendRound(current)
			}
		}
	}
}

// knownAge returns the mean age of the load of the data centre that the daemon knows.
func (f *testFleet) knownAge(observer, dataCentre int) time.Duration {
	g := f.daemons[observer]
	g.UpdatePeerInFlight()
	load := f.loadAt(g, dataCentre)
	others := f.perDataCentre
	if observer%f.dataCentres == dataCentre {
		others--
	}
	truth := f.loadAt(f.daemons[dataCentre], dataCentre).InFlight()
	known := float64(load.TotalInFlight()-load.InFlight()) / float64(others)
	return time.Duration((float64(truth) - known) * float64(time.Millisecond))
}

// meanAges returns the mean ages of what daemons know of their own and of another data centre.
func (f *testFleet) meanAges() (own, other time.Duration) {
	const times = 20
	observers := min(6, len(f.daemons))
	for range times {
		f.run(50 * time.Millisecond)
		for i := range observers {
			own += f.knownAge(i, i%f.dataCentres)
			other += f.knownAge(i, (i+1)%f.dataCentres)
		}
	}
	return own / time.Duration(times*observers), other / time.Duration(times*observers)
}

// BenchmarkFleetSecond measures what a second costs each daemon, without the system calls, and how
// old the load is that the daemons know. It doesn't count the time that the test itself takes for
// growing loads.
func BenchmarkFleetSecond(b *testing.B) {
	sizes := map[string]struct{ dataCentres, perDataCentre, replicas int }{
		"8": {2, 4, 12}, "111": {3, 37, 55}, "295": {5, 59, 75},
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			f := newTestFleet(size.dataCentres, size.perDataCentre, size.replicas)
			f.run(3 * time.Second)
			own, other := f.meanAges()
			f.datagrams, f.bytes = 0, 0
			for b.Loop() {
				f.run(time.Second)
			}
			daemonSeconds := float64(b.N * len(f.daemons))
			b.ReportMetric(float64(b.Elapsed().Microseconds())/daemonSeconds, "us/daemon-s")
			b.ReportMetric(float64(f.datagrams)/daemonSeconds, "datagrams/daemon-s")
			b.ReportMetric(float64(f.bytes)/daemonSeconds, "B/daemon-s")
			b.ReportMetric(float64(own.Milliseconds()), "own-age-ms")
			b.ReportMetric(float64(other.Milliseconds()), "other-age-ms")
		})
	}
}
