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

// catalogReader tells what is there to route to.
type catalogReader interface {
	Current() *catalog.Snapshot
}

// suspicionListener is told of endpoints that failed another daemon.
type suspicionListener interface {
	EndpointSuspected(server ident.Instance, epoch unit.Epoch, from ident.Instance)
}

// platformCopy is the copy of the platform's keys.
type platformCopy interface {
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
	Clock        clock.Clock
	Log          zerolog.Logger
	Self         ident.Instance
	DataCentre   ident.DataCentre
	Incarnation  unit.Incarnation
	Catalog      catalogReader
	PlatformCopy platformCopy
	Suspicions   suspicions
}

// Gossip is this daemon's part of the exchange.
type Gossip struct {
	Options
	conn net.PacketConn

	mu        sync.Mutex
	random    *rand.Rand
	sequence  unit.Sequence
	peers     map[ident.Instance]*peer
	failures  map[endpointHash]time.Time
	listeners []suspicionListener
	// rounds counts the intervals, and idle those without requests in flight.
	rounds     int
	idleRounds int
}

// peer is another daemon.
type peer struct {
	address     netip.AddrPort
	feedAddress string
	dataCentre  ident.DataCentre
	// copyAge is that of its copy of the platform's keys.
	copyAge     time.Duration
	listed      bool
	incarnation unit.Incarnation
	sequence    unit.Sequence
	lastHeard   time.Time
	inFlight    map[endpointHash]unit.Requests
	// reportedFailures has the failures that were passed on to listeners already.
	reportedFailures map[endpointHash]time.Time
}

// New returns a gossip that talks over the connection.
func New(o Options, conn net.PacketConn) *Gossip {
	return &Gossip{
		Options: o, conn: conn, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		peers: make(map[ident.Instance]*peer), failures: make(map[endpointHash]time.Time),
	}
}

// AddListener adds a listener. It is called before anything is received.
func (g *Gossip) AddListener(l suspicionListener) {
	g.listeners = append(g.listeners, l)
}

// Times after which what was heard no longer counts.
const (
	loadExpiry    = 1500 * time.Millisecond
	failureExpiry = time.Second
	// failureRepeatTime is the time after which everybody is told again of an
	// endpoint that goes on failing.
	failureRepeatTime = 250 * time.Millisecond
	// crashReportTime is how long a crash is told. It bounds the daemons that never
	// hear of it to few in a hundred.
	crashReportTime = 3 * time.Second
	// clearReportTime is how long a request is vouched for after another daemon began
	// to suspect it: for as long as it tells of that, and once more as long.
	clearReportTime = 2 * crashReportTime
	// daemonExpiry is how long a silent daemon counts among those that share a
	// bound, since it may only be cut off.
	daemonExpiry = 15 * time.Second
)

// RegisteredDaemon is a daemon as the platform lists it.
type RegisteredDaemon struct {
	// Address is for datagrams, Feed for those that follow the daemon.
	Address    netip.AddrPort
	Feed       string
	DataCentre ident.DataCentre
}

// SetDaemons replaces the listed daemons.
func (g *Gossip) SetDaemons(listed map[ident.Instance]RegisteredDaemon) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for id, d := range listed {
		if id == g.Self {
			continue
		}
		p := g.peers[id]
		if p == nil {
			p = &peer{lastHeard: now, reportedFailures: make(map[endpointHash]time.Time)}
			g.peers[id] = p
		}
		p.address, p.feedAddress, p.dataCentre, p.listed = d.Address, d.Feed, d.DataCentre, true
	}
	for id, p := range g.peers {
		if _, ok := listed[id]; !ok {
			p.listed = false
			if now.Sub(p.lastHeard) > daemonExpiry {
				delete(g.peers, id)
			}
		}
	}
}

// DaemonCount returns the number of daemons that may be at work, this one included.
func (g *Gossip) DaemonCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count, now := 1, g.Clock.Now()
	for _, p := range g.peers {
		if p.listed || now.Sub(p.lastHeard) < daemonExpiry {
			count++
		}
	}
	return count
}

// idleRoundsPerSend is the number of intervals between two datagrams of a daemon without
// requests in flight: only its copy of the platform's keys is of interest then.
const idleRoundsPerSend = 6

// SendRound sends a datagram to some daemons. It is called once in each interval.
func (g *Gossip) SendRound() {
	inFlight := g.ownInFlight()
	g.mu.Lock()
	g.rounds++
	g.idleRounds++
	if len(inFlight) > 0 {
		g.idleRounds = 0
	}
	skip := g.idleRounds > 1 && g.idleRounds%idleRoundsPerSend != 0
	g.mu.Unlock()
	if !skip {
		g.send(inFlight, false)
	}
}

// ownInFlight returns this daemon's requests in flight.
func (g *Gossip) ownInFlight() map[endpointHash]unit.Requests {
	inFlight := make(map[endpointHash]unit.Requests)
	g.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		if n := e.Load.InFlight(); n > 0 {
			inFlight[hashOf(e)] = n
		}
	})
	return inFlight
}

func (g *Gossip) send(inFlight map[endpointHash]unit.Requests, toAll bool) {
	raw, targets := g.encodeDatagram(inFlight, toAll)
	if raw == nil {
		return
	}
	for _, address := range targets {
		// A datagram that can't be sent is like one that is lost.
		_, _ = g.conn.WriteTo(raw, net.UDPAddrFromAddrPort(address))
	}
}

// Daemons that a datagram goes to at each interval: so many of the own data
// centre, whose endpoints are shared most, and so many of others at every second
// interval, as bytes between data centres are dear.
const (
	localFanout         = 7
	remoteFanout        = 5
	remoteRoundInterval = 2
)

// chooseTargets returns where the next datagram goes.
func (g *Gossip) chooseTargets(toAll bool) []netip.AddrPort {
	var local, remote []netip.AddrPort
	for _, p := range g.peers {
		switch {
		case !p.listed:
		case p.dataCentre == g.DataCentre:
			local = append(local, p.address)
		default:
			remote = append(remote, p.address)
		}
	}
	if toAll {
		return append(local, remote...)
	}
	shuffle := func(addresses []netip.AddrPort, limit int) []netip.AddrPort {
		g.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		return addresses[:min(limit, len(addresses))]
	}
	if g.idleRounds == 0 && g.rounds%remoteRoundInterval != 0 {
		remote = nil
	}
	return append(shuffle(local, localFanout), shuffle(remote, remoteFanout)...)
}

func (g *Gossip) encodeDatagram(inFlight map[endpointHash]unit.Requests, toAll bool) ([]byte, []netip.AddrPort) {
	m := message{
		From: g.Self, Incarnation: g.Incarnation, Revision: g.PlatformCopy.Revision(), Age: g.PlatformCopy.Age(),
		InFlight: inFlight, FailureAges: make(map[endpointHash]time.Duration),
		Crashes: g.Suspicions.LocalCrashes(crashReportTime), Completed: g.Suspicions.ClearedRequests(clearReportTime),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for e, failedAt := range g.failures {
		if now.Sub(failedAt) > failureExpiry {
			delete(g.failures, e)
			continue
		}
		m.FailureAges[e] = now.Sub(failedAt)
	}
	targets := g.chooseTargets(toAll)
	if len(targets) == 0 {
		return nil, nil
	}
	g.sequence++
	m.Sequence = g.sequence
	raw, err := m.encode()
	if err != nil {
		g.Log.Error().Err(err).Msg("datagram-not-written")
		return nil, nil
	}
	return raw, targets
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
		g.handleMessage(m)
	}
}

// handleMessage takes a datagram unless a later one was heard.
func (g *Gossip) handleMessage(m *message) {
	var newFailures []endpointHash
	g.mu.Lock()
	p := g.peers[m.From]
	if p == nil || m.Incarnation < p.incarnation || m.Incarnation == p.incarnation && m.Sequence <= p.sequence {
		g.mu.Unlock()
		return
	}
	now := g.Clock.Now()
	p.incarnation, p.sequence, p.lastHeard, p.inFlight = m.Incarnation, m.Sequence, now, m.InFlight
	p.copyAge = m.Age
	for e := range m.FailureAges {
		if now.Sub(p.reportedFailures[e]) > failureExpiry {
			p.reportedFailures[e] = now
			newFailures = append(newFailures, e)
		}
	}
	for e, reportedAt := range p.reportedFailures {
		if now.Sub(reportedAt) > daemonExpiry {
			delete(p.reportedFailures, e)
		}
	}
	g.mu.Unlock()
	g.PlatformCopy.ObserveRevision(m.Revision)
	for _, f := range m.Completed {
		g.Suspicions.RecordCompletion(f)
	}
	if len(m.Crashes) > 0 {
		if count := g.Suspicions.MergeCrashes(m.From, m.Crashes); count > 0 {
			g.Log.Info().Str("from", string(m.From)).Int("requests", count).Msg("suspicions-heard")
		}
	}
	g.handlePeerFailures(newFailures, m.From)
}
