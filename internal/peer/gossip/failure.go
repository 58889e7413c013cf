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
	last, known := g.failures[nameOf(e)]
	g.failures[nameOf(e)] = now
	heard := g.told(nameOf(e), now)
	g.mu.Unlock()
	if !heard && (!known || now.Sub(last) > failureAgain) {
		g.send(g.load(), true)
	}
}

// told reports whether another daemon has said a short time ago that the
// endpoint failed, and so has told everybody.
func (g *Gossip) told(e endpoint, now time.Time) bool {
	for _, p := range g.peers {
		if at, ok := p.told[e]; ok && now.Sub(at) < failureAge {
			return true
		}
	}
	return false
}

// suspect avoids what failed another daemon, for as long as this daemon has no
// experience of its own, and tells the listeners.
func (g *Gossip) suspect(names []endpoint, from ident.Instance) {
	if len(names) == 0 {
		return
	}
	named := make(map[endpoint]bool, len(names))
	for _, n := range names {
		named[n] = true
	}
	now := g.Clock.Now()
	g.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		if !named[nameOf(e)] {
			return
		}
		for _, l := range g.listeners {
			l.EndpointSuspected(e.ID, e.Epoch, from)
		}
		if e.Replica != "" && now.Sub(e.Load.LastProgress()) > hearsaySilence {
			e.Load.AvoidUntil(now.Add(hearsayAvoid))
		}
	})
}

// A replica that fails another daemon is avoided too, unless it sent something
// here lately.
const (
	hearsaySilence = 150 * time.Millisecond
	hearsayAvoid   = 500 * time.Millisecond
)
