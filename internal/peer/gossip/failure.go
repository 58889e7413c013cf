package gossip

import (
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

// EndpointFailed reports an endpoint failure that this daemon observed to the listeners.
// It also sends the failure to all daemons immediately, unless the endpoint's previous
// failure is at most failureRepeatTime old or another daemon has reported the failure.
func (g *Gossip) EndpointFailed(e *catalog.Endpoint, _ code.Code) {
	for _, l := range g.listeners {
		l.EndpointSuspected(e.ID, e.Epoch, g.Self)
	}
	g.mu.Lock()
	now := g.Clock.Now()
	previous, repeated := g.failures[hashOf(e)]
	g.failures[hashOf(e)] = now
	reported := g.reportedByPeer(hashOf(e), now)
	g.mu.Unlock()
	if !reported && (!repeated || now.Sub(previous) > failureRepeatTime) {
		g.sendToAll()
	}
}

// PartsSuspected sends the latest crashes of prompt parts to all daemons immediately, since
// requests with such a part may arrive at any of them.
func (g *Gossip) PartsSuspected() {
	g.sendToAll()
}

// reportedByPeer reports whether another daemon has reported the failure within
// failureExpiry. That daemon sent the report to all daemons.
func (g *Gossip) reportedByPeer(e endpointHash, now time.Time) bool {
	for _, p := range g.peers {
		if reportedAt, ok := p.reportedFailures[e]; ok && now.Sub(reportedAt) < failureExpiry {
			return true
		}
	}
	return false
}

// handlePeerFailures notifies the listeners of endpoint failures that another daemon
// reported. It avoids the reported replicas that have sent this daemon no bytes within
// maxProgressAge.
func (g *Gossip) handlePeerFailures(hashes []endpointHash, from ident.Instance) {
	if len(hashes) == 0 {
		return
	}
	failed := make(map[endpointHash]bool, len(hashes))
	for _, h := range hashes {
		failed[h] = true
	}
	now := g.Clock.Now()
	g.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		if !failed[hashOf(e)] {
			return
		}
		for _, l := range g.listeners {
			l.EndpointSuspected(e.ID, e.Epoch, from)
		}
		if e.Replica != "" && now.Sub(e.Load.LastProgress()) > maxProgressAge {
			e.Load.AvoidUntil(now.Add(peerReportedAvoidTime))
		}
	})
}

// A replica whose failure another daemon reported is avoided for peerReportedAvoidTime,
// unless it has sent bytes to this daemon within maxProgressAge.
const (
	maxProgressAge        = 150 * time.Millisecond
	peerReportedAvoidTime = 500 * time.Millisecond
)
