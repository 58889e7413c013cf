package gossip

import (
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// UpdatePeerInFlight sets, for each endpoint, what the other daemons have in flight. Live ones
// that were not heard lately are taken to have as much as the others of their
// data centre.
func (g *Gossip) UpdatePeerInFlight() {
	type centreLoad struct {
		load   map[endpointHash]unit.Requests
		heard  int
		listed int
	}
	byCentre := make(map[ident.DataCentre]*centreLoad)
	g.mu.Lock()
	now := g.Clock.Now()
	for _, p := range g.peers {
		c := byCentre[p.dataCentre]
		if c == nil {
			c = &centreLoad{load: make(map[endpointHash]unit.Requests)}
			byCentre[p.dataCentre] = c
		}
		if p.listed && now.Sub(p.lastHeard) < maxSilence {
			c.listed++
		}
		if now.Sub(p.lastHeard) > loadExpiry {
			continue
		}
		c.heard++
		for e, n := range p.inFlight {
			c.load[e] += n
		}
	}
	g.mu.Unlock()
	g.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		total := 0.0
		for _, c := range byCentre {
			if c.heard > 0 {
				total += float64(c.load[hashOf(e)]) * float64(max(c.listed, c.heard)) / float64(c.heard)
			}
		}
		e.Load.SetPeerInFlight(unit.Requests(total + 0.5))
	})
}
