package gossip

import (
	"net"
	"net/netip"
	"time"
)

// SendRound sends a datagram to some of the daemons. It is called once per interval of the
// pace. In most rounds an idle daemon sends nothing.
func (g *Gossip) SendRound(p pace) {
	own := g.ownLoads()
	g.mu.Lock()
	g.rounds++
	g.idleRounds++
	if len(own) > 0 {
		g.idleRounds = 0
	}
	// After the last request, all daemons of the data centre are told that it has ended.
	idle := g.idleRounds > g.local.roundsPerCycle(p.localFanout)
	skip := idle && g.idleRounds%p.idleRoundsPerSend != 0
	withRemote := g.idleRounds > 0 || g.rounds%remoteRoundInterval == 0
	g.mu.Unlock()
	if skip {
		return
	}
	to := targets{localCount: p.localFanout}
	if idle {
		to.localCount = localFanout
	}
	if withRemote {
		to.remoteCount = remoteFanout
	}
	g.send(own, to)
}

// sendToAll sends a datagram to all daemons.
func (g *Gossip) sendToAll() {
	g.send(g.ownLoads(), allDaemons)
}

func (g *Gossip) send(own map[endpointHash]endpointLoad, to targets) {
	for _, d := range g.encodeDatagrams(own, to) {
		for _, address := range d.addresses {
			g.Telemetry.sent(len(d.raw))
			// A failed send has the same effect as a lost datagram.
			_, _ = g.conn.WriteTo(d.raw, net.UDPAddrFromAddrPort(address))
		}
	}
}

// outgoing is an encoded datagram with the addresses that it is sent to.
type outgoing struct {
	raw       []byte
	addresses []netip.AddrPort
}

// encodeDatagrams returns the next datagrams. Those to other data centres may have the sum of
// this one.
func (g *Gossip) encodeDatagrams(own map[endpointHash]endpointLoad, to targets) []outgoing {
	m := message{
		From: g.Self, Incarnation: g.Incarnation, CopyRevision: g.PlatformCopy.Revision(), CopyAge: g.PlatformCopy.Age(),
		Loads: own, FailureAges: make(map[endpointHash]time.Duration), CutOff: g.Links.CutOff(),
		Crashes: g.Poison.CrashReport(crashReportTime), ClearedRequests: g.Poison.ClearedRequests(clearedReportTime),
	}
	m.PartCrashes, m.SoundParts = g.Parts.PartReport()
	m.Limits = g.Limits.Observations()
	m.Demand = g.Demand.DemandReport(g.Clock.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for e, failedAt := range g.failures {
		if now.Sub(failedAt) > failureExpiry {
			delete(g.failures, e)
			continue
		}
		if !m.CutOff {
			m.FailureAges[e] = now.Sub(failedAt)
		}
	}
	m.Formations = g.announcedFormations(now)
	local, remote := g.local.next(to.localCount), g.remote.next(to.remoteCount)
	if len(local)+len(remote) == 0 {
		return nil
	}
	g.sequence++
	m.Sequence = g.sequence
	// The datagram to this data centre is encoded before the message gets the sum.
	datagrams := g.appendDatagram(nil, &m, local)
	if len(remote) > 0 && to != allDaemons {
		m.DataCentreSum = g.nextSum(own, len(remote), now)
	}
	switch {
	case m.DataCentreSum != nil:
		m.Demand.DataCentre = g.Demand.DataCentreDemand()
	case len(datagrams) > 0:
		// Without a sum, other data centres get the same datagram.
		datagrams[0].addresses = append(datagrams[0].addresses, remote...)
		return datagrams
	}
	return g.appendDatagram(datagrams, &m, remote)
}

// appendDatagram appends the encoded message, if there are addresses.
func (g *Gossip) appendDatagram(datagrams []outgoing, m *message, addresses []netip.AddrPort) []outgoing {
	if len(addresses) == 0 {
		return datagrams
	}
	raw, err := m.encode()
	if err != nil {
		g.Log.Error().Err(err).Msg("datagram-not-written")
		return datagrams
	}
	return append(datagrams, outgoing{raw, addresses})
}

// Sums of a large deployment are sent less often, so that they take at most sumBytesPerSecond of
// the link of a small machine. sumEndpointBytes is the usual size of an endpoint in a sum.
const (
	sumBytesPerSecond = 16 << 10
	sumEndpointBytes  = 8
)

// nextSum returns the sum for a datagram to the number of daemons, nil if a sum was sent too
// recently. The caller holds the lock.
func (g *Gossip) nextSum(own map[endpointHash]endpointLoad, daemons int, now time.Time) *dataCentreSum {
	if now.Before(g.nextSumAt) {
		return nil
	}
	sum := g.ownDataCentreSum(own)
	if sum != nil {
		size := daemons * len(sum.Loads) * sumEndpointBytes
		g.nextSumAt = now.Add(time.Duration(size) * time.Second / sumBytesPerSecond)
	}
	return sum
}
