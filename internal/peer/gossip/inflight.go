package gossip

import (
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// UpdatePeerInFlight sets, for each endpoint, the number of requests that the other
// daemons have in flight. A live daemon without a recent datagram is assumed to have
// the mean of the other daemons of its data centre.
func (g *Gossip) UpdatePeerInFlight() {
	type centreLoad struct {
		inFlight map[endpointHash]unit.Requests
		// reporting is the number of daemons with a recent datagram, live that of
		// all live daemons.
		reporting int
		live      int
	}
	byCentre := make(map[ident.DataCentre]*centreLoad)
	g.mu.Lock()
	now := g.Clock.Now()
	for _, p := range g.peers {
		c := byCentre[p.dataCentre]
		if c == nil {
			c = &centreLoad{inFlight: make(map[endpointHash]unit.Requests)}
			byCentre[p.dataCentre] = c
		}
		if p.registered && now.Sub(p.lastHeard) < maxSilence {
			c.live++
		}
		if now.Sub(p.lastHeard) > inFlightExpiry {
			continue
		}
		c.reporting++
		for e, n := range p.inFlight {
			c.inFlight[e] += n
		}
	}
	g.mu.Unlock()
	g.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		total := 0.0
		for _, c := range byCentre {
			if c.reporting > 0 {
				total += float64(c.inFlight[hashOf(e)]) * float64(max(c.live, c.reporting)) / float64(c.reporting)
			}
		}
		e.Load.SetPeerInFlight(unit.Requests(total + 0.5))
	})
}
