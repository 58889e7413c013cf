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
	type dataCentreLoad struct {
		inFlight map[endpointHash]unit.Requests
		// reportingDaemons counts the daemons with a recent datagram, liveDaemons
		// all live ones.
		reportingDaemons int
		liveDaemons      int
	}
	byDataCentre := make(map[ident.DataCentre]*dataCentreLoad)
	g.mu.Lock()
	now := g.Clock.Now()
	for _, p := range g.peers {
		c := byDataCentre[p.dataCentre]
		if c == nil {
			c = &dataCentreLoad{inFlight: make(map[endpointHash]unit.Requests)}
			byDataCentre[p.dataCentre] = c
		}
		if p.registered && now.Sub(p.lastDatagramAt) < maxSilence {
			c.liveDaemons++
		}
		if now.Sub(p.lastDatagramAt) > inFlightExpiry {
			continue
		}
		c.reportingDaemons++
		for e, n := range p.inFlight {
			c.inFlight[e] += n
		}
	}
	g.mu.Unlock()
	g.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		total := 0.0
		for _, c := range byDataCentre {
			if c.reportingDaemons > 0 {
				total += float64(c.inFlight[hashOf(e)]) * float64(max(c.liveDaemons, c.reportingDaemons)) / float64(c.reportingDaemons)
			}
		}
		e.Load.SetPeerInFlight(unit.Requests(total + 0.5))
	})
}
