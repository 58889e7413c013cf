// Package gossip tells the other daemons, by datagrams, what this one has in
// flight and which endpoints failed it. Nothing depends on a datagram's arrival.
package gossip

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/clock"
)

// snapshots tells what is there to route to.
type snapshots interface {
	Current() *catalog.Snapshot
}

// listener is told of endpoints that failed another daemon.
type listener interface {
	EndpointSuspected(server ident.Instance, epoch unit.Epoch, from ident.Instance)
}

// copies is the copy of the platform's keys.
type copies interface {
	Revision() unit.Revision
	ObserveRevision(revision unit.Revision)
	Age() time.Duration
}

// suspicions are the requests that crash endpoints.
type suspicions interface {
	LocalCrashes(within time.Duration) map[ident.Fingerprint]uint32
	MergeCrashes(from ident.Instance, counts map[ident.Fingerprint]uint32) int
	ClearedRequests(within time.Duration) []ident.Fingerprint
	RecordCompletion(f ident.Fingerprint)
}

// Options are the parts of a Gossip.
type Options struct {
	Clock      clock.Clock
	Log        zerolog.Logger
	Self       ident.Instance
	DataCentre ident.DataCentre
	Boot       unit.Incarnation
	Catalog    snapshots
	Copies     copies
	Suspicions suspicions
}

// Gossip is this daemon's part of the exchange.
type Gossip struct {
	Options
	conn net.PacketConn

	mu        sync.Mutex
	random    *rand.Rand
	sequence  unit.Sequence
	peers     map[ident.Instance]*peer
	failures  map[endpoint]time.Time
	listeners []listener
	// turns counts the intervals, and idle those without requests in flight.
	turns int
	idle  int
}

// peer is another daemon.
type peer struct {
	address netip.AddrPort
	feed    string
	centre  ident.DataCentre
	// age is that of its copy of the platform's keys.
	age      time.Duration
	listed   bool
	boot     unit.Incarnation
	sequence unit.Sequence
	heard    time.Time
	load     map[endpoint]unit.Requests
	// told has the failures that were passed on to listeners already.
	told map[endpoint]time.Time
}

// New returns a gossip that talks over the connection.
func New(o Options, conn net.PacketConn) *Gossip {
	return &Gossip{
		Options: o, conn: conn, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		peers: make(map[ident.Instance]*peer), failures: make(map[endpoint]time.Time),
	}
}

// Listen adds a listener. It is called before anything is received.
func (g *Gossip) Listen(l listener) {
	g.listeners = append(g.listeners, l)
}

// Times after which what was heard no longer counts.
const (
	loadAge    = 1500 * time.Millisecond
	failureAge = time.Second
	// failureAgain is the time after which everybody is told again of an
	// endpoint that goes on failing.
	failureAgain = 250 * time.Millisecond
	// crashAge is how long a crash is told. It bounds the daemons that never
	// hear of it to few in a hundred.
	crashAge = 3 * time.Second
	// vouchAge is how long a request is vouched for after another daemon began
	// to suspect it: for as long as it tells of that, and once more as long.
	vouchAge = 2 * crashAge
	// countedAge is how long a silent daemon counts among those that share a
	// bound, since it may only be cut off.
	countedAge = 15 * time.Second
)

// Listing is a daemon as the platform lists it.
type Listing struct {
	// Address is for datagrams, Feed for those that follow the daemon.
	Address    netip.AddrPort
	Feed       string
	DataCentre ident.DataCentre
}

// Peers replaces the listed daemons.
func (g *Gossip) Peers(listed map[ident.Instance]Listing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for id, l := range listed {
		if id == g.Self {
			continue
		}
		p := g.peers[id]
		if p == nil {
			p = &peer{heard: now, told: make(map[endpoint]time.Time)}
			g.peers[id] = p
		}
		p.address, p.feed, p.centre, p.listed = l.Address, l.Feed, l.DataCentre, true
	}
	for id, p := range g.peers {
		if _, ok := listed[id]; !ok {
			p.listed = false
			if now.Sub(p.heard) > countedAge {
				delete(g.peers, id)
			}
		}
	}
}

// DaemonCount returns the number of daemons that may be at work, this one included.
func (g *Gossip) DaemonCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, now := 1, g.Clock.Now()
	for _, p := range g.peers {
		if p.listed || now.Sub(p.heard) < countedAge {
			n++
		}
	}
	return n
}

// idleEvery is the number of intervals between two datagrams of a daemon without
// requests in flight: only its copy of the platform's keys is of interest then.
const idleEvery = 6

// Send sends a datagram to some daemons. It is called once in each interval.
func (g *Gossip) Send() {
	load := g.load()
	g.mu.Lock()
	g.turns++
	g.idle++
	if len(load) > 0 {
		g.idle = 0
	}
	skip := g.idle > 1 && g.idle%idleEvery != 0
	g.mu.Unlock()
	if !skip {
		g.send(load, false)
	}
}

// load returns this daemon's requests in flight.
func (g *Gossip) load() map[endpoint]unit.Requests {
	load := make(map[endpoint]unit.Requests)
	g.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		if n := e.Load.InFlight(); n > 0 {
			load[nameOf(e)] = n
		}
	})
	return load
}

func (g *Gossip) send(load map[endpoint]unit.Requests, everybody bool) {
	raw, to := g.compose(load, everybody)
	if raw == nil {
		return
	}
	for _, address := range to {
		// A datagram that can't be sent is like one that is lost.
		_, _ = g.conn.WriteTo(raw, net.UDPAddrFromAddrPort(address))
	}
}

// Daemons that a datagram goes to at each interval: so many of the own data
// centre, whose endpoints are shared most, and so many of others at every second
// interval, as bytes between data centres are dear.
const (
	nearFanout = 7
	farFanout  = 5
	farEvery   = 2
)

// choose returns where the next datagram goes.
func (g *Gossip) choose(everybody bool) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, p := range g.peers {
		switch {
		case !p.listed:
		case p.centre == g.DataCentre:
			near = append(near, p.address)
		default:
			far = append(far, p.address)
		}
	}
	if everybody {
		return append(near, far...)
	}
	shuffle := func(list []netip.AddrPort, most int) []netip.AddrPort {
		g.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list[:min(most, len(list))]
	}
	if g.idle == 0 && g.turns%farEvery != 0 {
		far = nil
	}
	return append(shuffle(near, nearFanout), shuffle(far, farFanout)...)
}

func (g *Gossip) compose(load map[endpoint]unit.Requests, everybody bool) ([]byte, []netip.AddrPort) {
	m := message{
		From: g.Self, Boot: g.Boot, Revision: g.Copies.Revision(), Age: g.Copies.Age(),
		Load: load, Failed: make(map[endpoint]time.Duration),
		Crashes: g.Suspicions.LocalCrashes(crashAge), Proven: g.Suspicions.ClearedRequests(vouchAge),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for e, at := range g.failures {
		if now.Sub(at) > failureAge {
			delete(g.failures, e)
			continue
		}
		m.Failed[e] = now.Sub(at)
	}
	to := g.choose(everybody)
	if len(to) == 0 {
		return nil, nil
	}
	g.sequence++
	m.Sequence = g.sequence
	raw, err := m.encode()
	if err != nil {
		g.Log.Error().Err(err).Msg("datagram-not-written")
		return nil, nil
	}
	return raw, to
}

// Receive reads datagrams until the connection is closed.
func (g *Gossip) Receive() {
	const maxDatagram = 64 << 10
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		m, err := decodeMessage(buffer[:n])
		if err != nil {
			g.Log.Debug().Err(err).Msg("datagram-rejected")
			continue
		}
		g.learn(m)
	}
}

// learn takes a datagram unless a later one was heard.
func (g *Gossip) learn(m *message) {
	var suspects []endpoint
	g.mu.Lock()
	p := g.peers[m.From]
	if p == nil || m.Boot < p.boot || m.Boot == p.boot && m.Sequence <= p.sequence {
		g.mu.Unlock()
		return
	}
	now := g.Clock.Now()
	p.boot, p.sequence, p.heard, p.load = m.Boot, m.Sequence, now, m.Load
	p.age = m.Age
	for e := range m.Failed {
		if now.Sub(p.told[e]) > failureAge {
			p.told[e] = now
			suspects = append(suspects, e)
		}
	}
	for e, at := range p.told {
		if now.Sub(at) > countedAge {
			delete(p.told, e)
		}
	}
	g.mu.Unlock()
	g.Copies.ObserveRevision(m.Revision)
	for _, f := range m.Proven {
		g.Suspicions.RecordCompletion(f)
	}
	if len(m.Crashes) > 0 {
		if news := g.Suspicions.MergeCrashes(m.From, m.Crashes); news > 0 {
			g.Log.Info().Str("from", string(m.From)).Int("requests", news).Msg("suspicions-heard")
		}
	}
	g.suspect(suspects, m.From)
}
