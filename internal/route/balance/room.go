package balance

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// offeredLoad has the load that callers offer to all daemons. Its method takes no lock.
type offeredLoad interface {
	// Offered returns the offered load of the model, and false if it isn't known.
	Offered(service ident.Service, model ident.Model) (unit.Slots, bool)
}

// Room for further requests. All daemons see a slot become free at about the same time, and for as long
// as their counts are old they don't see that others have taken it. A replica that is the only one with
// a free slot would get the requests of all of them. Each daemon therefore admits only the share of its
// requests for which the replicas are expected to have room until the counts are renewed.

// countWindow returns the time until the counts of the other daemons' requests at the endpoint are
// renewed, zero if there are none. It is twice their mean age, since half of the time between two
// renewals has passed on average.
func (p *pick) countWindow(e *catalog.Endpoint) time.Duration {
	at := e.Load.PeerCountedAt()
	if at.IsZero() {
		return 0
	}
	return 2 * max(p.now.Sub(at), 0)
}

// turnover returns the number of the other daemons' requests that begin at the endpoint before their
// counts are renewed. In a steady state, as many end.
func (p *pick) turnover(e *catalog.Endpoint) float64 {
	peers := e.Load.TotalInFlight() - e.Load.InFlight()
	return p.times.Ended(float64(peers), p.countWindow(e))
}

// roomOf returns the number of requests that the replica can take until the counts are renewed: its free
// slots, and those that become free while all of them are in use.
func (p *pick) roomOf(e *catalog.Endpoint) float64 {
	// The conversion rounds the product, so that processors with fused operations get the same result.
	slots := float64(p.request.MaxUtilisation * float64(e.Slots))
	return slots - float64(e.Load.TotalInFlight()) + p.times.Ended(slots, p.countWindow(e))
}

// supply compares the room of endpoints with the requests that arrive for them.
type supply struct {
	room, arrivals float64
}

// admitted returns the share of the requests for which there is room.
func (s supply) admitted() float64 {
	if s.arrivals <= s.room {
		return 1
	}
	return max(s.room, 0) / s.arrivals
}

// supplyOf returns the supply of the candidates, which are a sample of the number of endpoints, and sets
// the room and the turnover of each of them in all, unless that is nil. Arrivals are the requests that
// begin in a steady state or, if they are more, those of the offered load: refused requests are not in
// flight.
func (p *pick) supplyOf(candidates []*catalog.Endpoint, endpoints int, all []weighed) supply {
	var s supply
	var turnover float64
	var window time.Duration
	for i, e := range candidates {
		w := weighed{turnover: p.turnover(e)}
		reason := p.exclusion(e)
		if reason == "" {
			w.room = p.roomOf(e)
		}
		if all != nil {
			all[i] = w
			p.countExclusion(reason)
		}
		s.room += w.room
		turnover += w.turnover
		window += p.countWindow(e)
	}
	n := float64(max(len(candidates), 1))
	s.arrivals = max(turnover, p.offeredRequests(candidates, window/time.Duration(n))*n/float64(max(endpoints, 1)))
	// This request comes in addition.
	s.arrivals++
	return s
}

// countExclusion counts an endpoint that is left out of a choice for lack of KV cache.
func (p *pick) countExclusion(reason Exclusion) {
	if reason == CacheFull && !p.isExplained {
		p.cacheFull.Add(1)
	}
}

// offeredRequests returns the number of requests that callers send to all daemons in the time, zero if
// the offered load isn't known.
func (p *pick) offeredRequests(candidates []*catalog.Endpoint, window time.Duration) float64 {
	if p.Demand == nil || len(candidates) == 0 || candidates[0].Model == nil {
		return 0
	}
	offered, known := p.Demand.Offered(candidates[0].Service, candidates[0].Model.Name)
	if !known {
		return 0
	}
	return p.times.Arrived(offered, window)
}

// isAdmitted reports whether the request is among the share for which there is room.
func (p *pick) isAdmitted(s supply) bool {
	return s.room > 0 && p.request.Draw <= s.admitted()
}
