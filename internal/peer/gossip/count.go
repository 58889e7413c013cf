package gossip

import (
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// Count sets, for each endpoint, what the other daemons have in flight. Live ones
// that were not heard lately are taken to have as much as the others of their
// data centre.
func (g *Gossip) Count() {
	type sum struct {
		load   map[endpoint]unit.Requests
		heard  int
		listed int
	}
	centres := make(map[ident.DataCentre]*sum)
	g.mu.Lock()
	now := g.Clock.Now()
	for _, p := range g.peers {
		c := centres[p.centre]
		if c == nil {
			c = &sum{load: make(map[endpoint]unit.Requests)}
			centres[p.centre] = c
		}
		if p.listed && now.Sub(p.heard) < liveAge {
			c.listed++
		}
		if now.Sub(p.heard) > loadAge {
			continue
		}
		c.heard++
		for e, n := range p.load {
			c.load[e] += n
		}
	}
	g.mu.Unlock()
	g.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		total := 0.0
		for _, c := range centres {
			if c.heard > 0 {
				total += float64(c.load[nameOf(e)]) * float64(max(c.listed, c.heard)) / float64(c.heard)
			}
		}
		e.Load.SetPeerInFlight(unit.Requests(total + 0.5))
	})
}
