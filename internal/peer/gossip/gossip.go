// Package gossip exchanges UDP datagrams between the daemons of the platform
// adapter. A datagram reports the sender's requests in flight, the endpoint failures
// that the sender observed, and the requests during which endpoints crashed. The
// daemons use the reports to balance load and to avoid failed endpoints. A datagram
// also has the revision and age of the sender's copy of the platform's keys, by which
// this package chooses the daemon whose copy the mirror package reads. A lost datagram
// does no harm, since later datagrams repeat its content.
package gossip

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/fleet/demand"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/ratelimit"
)

// endpointCatalog has the endpoints that requests can be sent to.
type endpointCatalog interface {
	Current() *catalog.Snapshot
	ApplyFormations(formations []cluster.Formation)
}

// failureListener is notified of endpoint failures that this daemon or another daemon
// observed.
type failureListener interface {
	EndpointSuspected(server ident.Instance, epoch unit.Epoch, from ident.Instance)
}

// platformCopy is this daemon's copy of the platform's keys.
type platformCopy interface {
	Revision() unit.Revision
	ObserveCopy(from ident.Instance, revision unit.Revision, age time.Duration)
	Age() time.Duration
	// MaxAge returns the age above which a copy is not followed.
	MaxAge() time.Duration
	// Leader returns the daemon that holds the planner lease, empty if none does.
	Leader() ident.Instance
}

// poisonDetector counts the endpoints that crashed while they ran a request.
type poisonDetector interface {
	CrashReport(within time.Duration) map[ident.Fingerprint][]ident.Crash
	MergeCrashes(from ident.Instance, crashes map[ident.Fingerprint][]ident.Crash) int
	ClearedRequests(within time.Duration) []ident.Fingerprint
	MergeCleared(f ident.Fingerprint)
}

// partDetector counts the endpoints that crashed by prompt part.
type partDetector interface {
	PartReport() (crashes map[ident.PromptPart][]ident.Crash, sound []ident.PromptPart)
	MergePartCrashes(reported map[ident.PromptPart][]ident.Crash) []ident.PromptPart
	ClearParts(parts []ident.PromptPart)
}

// requestLimits has the limits of requests that endpoints name.
type requestLimits interface {
	Observations() []ratelimit.Observation
	Merge(from ident.Instance, observations []ratelimit.Observation)
	Refresh()
}

// linkMonitor knows whether this daemon can connect to servers.
type linkMonitor interface {
	CutOff() bool
}

// demandMeter measures the load that callers offer, and adds up what other daemons report.
type demandMeter interface {
	DemandReport(now time.Time) demand.Report
	DataCentreDemand() *demand.DataCentreDemand
	MergeDemand(from ident.Instance, r demand.Report)
}

// Options configure a Gossip.
type Options struct {
	Clock        clock.Clock
	Log          zerolog.Logger
	Self         ident.Instance
	DataCentre   ident.DataCentre
	Incarnation  unit.Incarnation
	Catalog      endpointCatalog
	PlatformCopy platformCopy
	Poison       poisonDetector
	Parts        partDetector
	Limits       requestLimits
	Links        linkMonitor
	Demand       demandMeter
	Telemetry    *Telemetry
}

// Gossip sends and receives the datagrams of one daemon.
type Gossip struct {
	Options
	conn net.PacketConn
	// hashed has the endpoints of the catalog's latest snapshot.
	hashed atomic.Pointer[hashedEndpoints]
	// registeredCount is the number of registered daemons other than this one.
	registeredCount atomic.Int64
	// relays has the daemons that can forward requests for this one.
	relays atomic.Pointer[relayList]

	mu       sync.Mutex
	random   *rand.Rand
	sequence unit.Sequence
	peers    map[ident.Instance]*peer
	failures map[endpointHash]time.Time
	// local and remote are the registered daemons of this and of other data centres.
	local, remote rotation
	// nextSumAt is the time from which a datagram may have a sum.
	nextSumAt time.Time
	// loads has the load of the other daemons of each data centre.
	loads     map[ident.DataCentre]*dataCentreLoad
	listeners []failureListener
	// announcements are the formations that this daemon announces, the oldest first.
	announcements []announcement
	// rounds counts the calls of SendRound, and idleRounds the consecutive latest
	// calls without requests in flight.
	rounds     int
	idleRounds int
}

// peer is the state of another daemon, from its registration and its latest
// datagram.
type peer struct {
	address     netip.AddrPort
	feedAddress string
	// relay is the daemon as an endpoint for requests that it forwards, nil if it forwards
	// none. cutOff says that it can't connect to servers.
	relay      *catalog.Endpoint
	cutOff     bool
	dataCentre ident.DataCentre
	// copyAge is the age of the daemon's copy of the platform's keys.
	copyAge     time.Duration
	registered  bool
	incarnation unit.Incarnation
	sequence    unit.Sequence
	// lastDatagramAt is the time of the daemon's latest datagram, or of its first
	// registration if it has sent none.
	lastDatagramAt time.Time
	// loads is the daemon's load by endpoint, and requests the sum of its requests in flight.
	loads    map[endpointHash]endpointLoad
	requests unit.Requests
	// reportedFailures has the endpoint failures that the daemon reported, with
	// the time at which the listeners were notified.
	reportedFailures map[endpointHash]time.Time
}

// New returns a Gossip that sends and receives over the connection.
func New(o Options, conn net.PacketConn) *Gossip {
	return &Gossip{
		Options: o, conn: conn, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		peers: make(map[ident.Instance]*peer), failures: make(map[endpointHash]time.Time), loads: make(map[ident.DataCentre]*dataCentreLoad),
	}
}

// AddListener adds a listener. It must not be called after Receive.
func (g *Gossip) AddListener(l failureListener) {
	g.listeners = append(g.listeners, l)
}

// Expiry times of reports.
const (
	// inFlightExpiry is the time after which a peer's requests in flight no
	// longer count.
	inFlightExpiry = 1500 * time.Millisecond
	// failureExpiry is the time for which the failure of an endpoint is reported.
	failureExpiry = time.Second
	// failureRepeatTime is the time after an endpoint's previous failure for which a
	// further failure is not sent to all daemons immediately.
	failureRepeatTime = 250 * time.Millisecond
	// crashReportTime is the time for which a crash is reported. After this time,
	// only a few percent of the daemons have not received the report.
	crashReportTime = 3 * time.Second
	// clearedReportTime is the time for which a cleared request is reported after the
	// last increase of another daemon's crash count for the request. That daemon may
	// report the crash for crashReportTime; the cleared request is reported for
	// crashReportTime longer.
	clearedReportTime = 2 * crashReportTime
	// daemonExpiry is the time for which a daemon that sends no datagrams still
	// counts as one of the daemons that share a limit, since it may only be
	// unreachable.
	daemonExpiry = 15 * time.Second
)

// RegisteredDaemon is a daemon's registration on the platform.
type RegisteredDaemon struct {
	// Address receives datagrams, FeedAddress the calls of followers, and RelayAddress the
	// requests of daemons that can't reach the servers.
	Address      netip.AddrPort
	FeedAddress  string
	RelayAddress string
	DataCentre   ident.DataCentre
}

// SetDaemons replaces the registered daemons.
func (g *Gossip) SetDaemons(daemons map[ident.Instance]RegisteredDaemon) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for id, d := range daemons {
		if id == g.Self {
			continue
		}
		p := g.peers[id]
		if p == nil {
			p = &peer{lastDatagramAt: now, reportedFailures: make(map[endpointHash]time.Time)}
			g.peers[id] = p
		}
		if p.dataCentre != d.DataCentre && len(p.loads) > 0 {
			g.replaceLoads(p, nil)
		}
		p.address, p.feedAddress, p.dataCentre, p.registered = d.Address, d.FeedAddress, d.DataCentre, true
		p.setRelay(id, d.RelayAddress)
	}
	for id, p := range g.peers {
		if _, ok := daemons[id]; !ok {
			p.registered = false
			if now.Sub(p.lastDatagramAt) > daemonExpiry {
				g.removePeer(id)
			}
		}
	}
	g.listAddresses()
}

// listAddresses lists the addresses of the registered daemons. The caller holds the lock.
func (g *Gossip) listAddresses() {
	var local, remote []netip.AddrPort
	for _, p := range g.peers {
		switch {
		case !p.registered:
		case p.dataCentre == g.DataCentre:
			local = append(local, p.address)
		default:
			remote = append(remote, p.address)
		}
	}
	g.local.replace(local, g.random)
	g.remote.replace(remote, g.random)
	g.registeredCount.Store(int64(len(local) + len(remote)))
}

// FleetSize returns the number of registered daemons, including this daemon. It takes no lock.
func (g *Gossip) FleetSize() int {
	return int(g.registeredCount.Load()) + 1
}

// mayRun reports whether the daemon may be running.
func (p *peer) mayRun(now time.Time) bool {
	return p.registered || now.Sub(p.lastDatagramAt) < daemonExpiry
}

// DaemonCount returns the number of daemons that may be running, including this daemon.
func (g *Gossip) DaemonCount() int {
	_, count := g.DaemonPosition()
	return count
}

// DaemonPosition returns the position of this daemon among the daemons that may be running, ordered by
// id, and their number.
func (g *Gossip) DaemonPosition() (position, count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	count, now := 1, g.Clock.Now()
	for id, p := range g.peers {
		if !p.mayRun(now) {
			continue
		}
		count++
		if id < g.Self {
			position++
		}
	}
	return position, count
}

// Daemons returns the daemons that may be running, including this daemon, in no order.
func (g *Gossip) Daemons() []ident.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	daemons, now := []ident.Instance{g.Self}, g.Clock.Now()
	for id, p := range g.peers {
		if p.mayRun(now) {
			daemons = append(daemons, id)
		}
	}
	return daemons
}

// EachLiveDaemon calls f with each daemon that is registered and has sent a datagram recently, and
// with this daemon.
func (g *Gossip) EachLiveDaemon(f func(id ident.Instance, dataCentre ident.DataCentre)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.Self, g.DataCentre)
	now := g.Clock.Now()
	for id, p := range g.peers {
		if p.isLive(now) {
			f(id, p.dataCentre)
		}
	}
}

// Receive reads and handles datagrams until the connection is closed.
func (g *Gossip) Receive() {
	const maxDatagram = 64 << 10
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		g.Telemetry.received(n)
		g.handleDatagram(buffer[:n])
	}
}

// handleDatagram decodes and applies a datagram. A panic ends the handling of this datagram,
// not the process.
func (g *Gossip) handleDatagram(raw []byte) {
	defer func() {
		if cause := recover(); cause != nil {
			g.Log.Error().Str("cause", fmt.Sprint(cause)).Str("stack", string(debug.Stack())).Msg("datagram-panic")
		}
	}()
	m, err := decodeMessage(raw)
	if err != nil {
		g.Log.Debug().Err(err).Msg("datagram-rejected")
		return
	}
	g.handleMessage(m)
}

// handleMessage applies a datagram. It ignores the datagram if its sender is
// unknown, or if the same or a later datagram of the sender has been applied.
func (g *Gossip) handleMessage(m *message) {
	var newFailures []endpointHash
	g.mu.Lock()
	p := g.peers[m.From]
	if p == nil || m.Incarnation < p.incarnation || m.Incarnation == p.incarnation && m.Sequence <= p.sequence {
		g.mu.Unlock()
		return
	}
	now := g.Clock.Now()
	p.incarnation, p.sequence, p.lastDatagramAt = m.Incarnation, m.Sequence, now
	g.replaceLoads(p, m.Loads)
	g.replaceSum(p, m.DataCentreSum, now)
	p.copyAge, p.cutOff = m.CopyAge, m.CutOff
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
	g.PlatformCopy.ObserveCopy(m.From, m.CopyRevision, m.CopyAge)
	if len(m.Formations) > 0 {
		g.Catalog.ApplyFormations(m.Formations)
	}
	for _, f := range m.ClearedRequests {
		g.Poison.MergeCleared(f)
	}
	if len(m.Crashes) > 0 {
		if count := g.Poison.MergeCrashes(m.From, m.Crashes); count > 0 {
			g.Log.Info().Str("from", string(m.From)).Int("requests", count).Msg("suspicions-heard")
		}
	}
	g.handleParts(m)
	g.Limits.Merge(m.From, m.Limits)
	g.Demand.MergeDemand(m.From, m.Demand)
	g.handlePeerFailures(newFailures, m.From)
}

// handleParts applies what a datagram says of prompt parts.
func (g *Gossip) handleParts(m *message) {
	g.Parts.ClearParts(m.SoundParts)
	for _, part := range g.Parts.MergePartCrashes(m.PartCrashes) {
		g.Log.Warn().Str("from", string(m.From)).Stringer("part", part).Msg("part-refused")
	}
}
