package gossip

import (
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

// EndpointFailed tells the other daemons and the listeners at once that an endpoint
// failed.
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
		g.send(g.ownInFlight(), true)
	}
}

// reportedByPeer reports whether another daemon has said a short time ago that the
// endpoint failed, and so has told everybody.
func (g *Gossip) reportedByPeer(e endpointHash, now time.Time) bool {
	for _, p := range g.peers {
		if reportedAt, ok := p.reportedFailures[e]; ok && now.Sub(reportedAt) < failureExpiry {
			return true
		}
	}
	return false
}

// handlePeerFailures avoids what failed another daemon, for as long as this daemon has no
// experience of its own, and tells the listeners.
func (g *Gossip) handlePeerFailures(hashes []endpointHash, from ident.Instance) {
	if len(hashes) == 0 {
		return
	}
	failed := make(map[endpointHash]bool, len(hashes))
	for _, n := range hashes {
		failed[n] = true
	}
	now := g.Clock.Now()
	g.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		if !failed[hashOf(e)] {
			return
		}
		for _, l := range g.listeners {
			l.EndpointSuspected(e.ID, e.Epoch, from)
		}
		if e.Replica != "" && now.Sub(e.Load.LastProgress()) > reportedSilence {
			e.Load.AvoidUntil(now.Add(reportedAvoidTime))
		}
	})
}

// A replica that fails another daemon is avoided too, unless it sent something
// here lately.
const (
	reportedSilence   = 150 * time.Millisecond
	reportedAvoidTime = 500 * time.Millisecond
)
