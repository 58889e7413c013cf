package gossip

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// hashedEndpoint is an endpoint with its hash.
type hashedEndpoint struct {
	*catalog.Endpoint
	hash endpointHash
}

// hashedEndpoints are the endpoints of a snapshot.
type hashedEndpoints struct {
	snapshot  *catalog.Snapshot
	endpoints []hashedEndpoint
}

// currentEndpoints returns the endpoints of the catalog's snapshot with their hashes, which
// are computed once for each snapshot.
func (g *Gossip) currentEndpoints() []hashedEndpoint {
	snapshot := g.Catalog.Current()
	if known := g.hashed.Load(); known != nil && known.snapshot == snapshot {
		return known.endpoints
	}
	computed := &hashedEndpoints{snapshot: snapshot}
	snapshot.EachEndpoint(func(e *catalog.Endpoint) {
		computed.endpoints = append(computed.endpoints, hashedEndpoint{e, hashOf(e)})
	})
	g.hashed.Store(computed)
	return computed.endpoints
}

// ownInFlight returns the numbers of this daemon's requests in flight by endpoint.
func (g *Gossip) ownInFlight() map[endpointHash]unit.Requests {
	inFlight := make(map[endpointHash]unit.Requests)
	for _, e := range g.currentEndpoints() {
		if n := e.Load.InFlight(); n > 0 {
			inFlight[e.hash] = n
		}
	}
	return inFlight
}

// dataCentreLoad is the load that the other daemons of a data centre report.
type dataCentreLoad struct {
	// inFlight adds up the requests of the daemons that count.
	inFlight map[endpointHash]unit.Requests
	// reportingDaemons counts the daemons with a recent datagram, liveDaemons
	// all live ones.
	reportingDaemons int
	liveDaemons      int
}

// loadOf returns the load of the data centre. The caller holds the lock.
func (g *Gossip) loadOf(dc ident.DataCentre) *dataCentreLoad {
	load := g.loads[dc]
	if load == nil {
		load = &dataCentreLoad{inFlight: make(map[endpointHash]unit.Requests)}
		g.loads[dc] = load
	}
	return load
}

// replaceInFlight replaces the requests in flight of the peer in its data centre's load.
// The caller holds the lock.
func (g *Gossip) replaceInFlight(p *peer, inFlight map[endpointHash]unit.Requests) {
	load := g.loadOf(p.dataCentre)
	for e, n := range p.inFlight {
		if load.inFlight[e] -= n; load.inFlight[e] == 0 {
			delete(load.inFlight, e)
		}
	}
	for e, n := range inFlight {
		load.inFlight[e] += n
	}
	p.inFlight = inFlight
}

// UpdatePeerInFlight sets, for each endpoint, the number of requests that the other
// daemons have in flight. A live daemon without a recent datagram is assumed to have
// the mean of the other daemons of its data centre.
func (g *Gossip) UpdatePeerInFlight() {
	endpoints := g.currentEndpoints()
	totals := make([]float64, len(endpoints))
	g.mu.Lock()
	g.countDaemons(g.Clock.Now())
	for _, load := range g.loads {
		if load.reportingDaemons == 0 {
			continue
		}
		scale := float64(max(load.liveDaemons, load.reportingDaemons)) / float64(load.reportingDaemons)
		for i := range endpoints {
			totals[i] += float64(load.inFlight[endpoints[i].hash]) * scale
		}
	}
	g.mu.Unlock()
	for i, e := range endpoints {
		e.Load.SetPeerInFlight(unit.Requests(totals[i] + 0.5))
	}
}

// countDaemons counts the daemons of each data centre, and removes the requests of daemons
// without a recent datagram. The caller holds the lock.
func (g *Gossip) countDaemons(now time.Time) {
	for _, load := range g.loads {
		load.reportingDaemons, load.liveDaemons = 0, 0
	}
	for _, p := range g.peers {
		silence := now.Sub(p.lastDatagramAt)
		if silence > inFlightExpiry && len(p.inFlight) > 0 {
			g.replaceInFlight(p, nil)
		}
		load := g.loadOf(p.dataCentre)
		if p.isLive(now) {
			load.liveDaemons++
		}
		if silence <= inFlightExpiry {
			load.reportingDaemons++
		}
	}
}

// removePeer removes a daemon. The caller holds the lock.
func (g *Gossip) removePeer(id ident.Instance) {
	g.replaceInFlight(g.peers[id], nil)
	delete(g.peers, id)
}
