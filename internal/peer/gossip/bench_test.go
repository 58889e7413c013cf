package gossip

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/ratelimit"
	"cuminbay/internal/serve/poison"
)

// newLargeGossip returns the Gossip of a daemon in a fleet of 295 daemons in five data
// centres and 75 replicas of 14 servers.
func newLargeGossip(b *testing.B) *Gossip {
	clk := clockwork.NewFakeClock()
	cat := catalog.New(clk)
	update := catalog.Update{Config: &cluster.Config{Version: 1, Services: map[ident.Service]*cluster.Service{
		"llm": {Name: "llm", Engine: &cluster.Engine{Models: []cluster.Model{{Name: "m", ServersPerReplica: 14}}}},
	}}}
	for r := range 75 {
		for rank := range 14 {
			update.Servers = append(update.Servers, &cluster.Server{
				ID: ident.Instance(fmt.Sprintf("i-%d-%d", r, rank)), Service: "llm", Address: "i", DataCentre: ident.DataCentre(fmt.Sprint(r % 5)),
				Membership: &cluster.Membership{Replica: ident.Replica(fmt.Sprint(r)), Epoch: 3, Rank: unit.Rank(rank), Model: "m", State: cluster.Open},
			})
		}
	}
	cat.Apply(update)
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	qt.New(b).Assert(err, qt.IsNil)
	b.Cleanup(func() { _ = conn.Close() })
	g := New(Options{
		Poison: poison.New(poison.Options{Clock: clk, Self: "d0", Lifetime: time.Minute, Limit: 16}),
		Parts:  poison.NewPartDetector(poison.PartOptions{Clock: clk, Threshold: 3, Lifetime: time.Minute, Limit: 16}),
		Demand: new(fakeDemand), Telemetry: newTestTelemetry(), Links: new(fakeLinks), Limits: ratelimit.New(ratelimit.Options{Clock: clk, Log: zerolog.Nop(), Self: "d0", Daemons: soleDaemon{}, Catalog: cat}), Clock: clk, Log: zerolog.Nop(), Self: "d0", DataCentre: "0", Incarnation: 1, Catalog: cat, PlatformCopy: &fakeCopy{revision: 5},
	}, conn)
	daemons := make(map[ident.Instance]RegisteredDaemon)
	for d := range 295 {
		daemons[ident.Instance(fmt.Sprintf("d%d", d))] = RegisteredDaemon{Address: netip.MustParseAddrPort("127.0.0.1:9"), FeedAddress: "x", DataCentre: ident.DataCentre(fmt.Sprint(d % 5))}
	}
	g.SetDaemons(daemons)
	n := 0
	cat.Current().EachEndpoint(func(e *catalog.Endpoint) {
		if n++; n < 4 {
			e.Load.RequestStarted()
		}
	})
	for d := 1; d < 295; d++ {
		g.handleMessage(&message{From: ident.Instance(fmt.Sprintf("d%d", d)), Incarnation: 1, Sequence: 1, Loads: map[endpointHash]endpointLoad{1: {Requests: 1}, 2: {Requests: 2}, 3: {Requests: 1}}})
	}
	return g
}

func BenchmarkSendRound(b *testing.B) {
	g := newLargeGossip(b)
	b.ReportAllocs()
	for b.Loop() {
		g.SendRound(paceFor(40*time.Millisecond, len(g.peers), len(g.peers)))
	}
}

func BenchmarkUpdatePeerInFlight(b *testing.B) {
	g := newLargeGossip(b)
	b.ReportAllocs()
	for b.Loop() {
		g.UpdatePeerInFlight()
	}
}

func BenchmarkReceive(b *testing.B) {
	g := newLargeGossip(b)
	var raws [][]byte
	m := message{From: "d7", Incarnation: 1, CopyRevision: 1, Loads: map[endpointHash]endpointLoad{1: {Requests: 1}, 2: {Requests: 2}, 3: {Requests: 1}}}
	for i := range 1000 {
		m.Sequence = unit.Sequence(i + 2)
		raw, _ := m.encode()
		raws = append(raws, raw)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		m, _ := decodeMessage(raws[i%1000])
		m.Sequence = unit.Sequence(i + 2)
		g.handleMessage(m)
		i++
	}
}

func BenchmarkParent(b *testing.B) {
	g := newLargeGossip(b)
	b.ReportAllocs()
	for b.Loop() {
		g.Parent()
	}
}
