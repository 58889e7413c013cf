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

// ownLoads returns the load of this daemon's requests in flight by endpoint.
func (g *Gossip) ownLoads() map[endpointHash]endpointLoad {
	loads := make(map[endpointHash]endpointLoad)
	for _, e := range g.currentEndpoints() {
		if n := e.Load.InFlight(); n > 0 {
			loads[e.hash] = endpointLoad{n, e.Load.PendingPrefill(), e.Load.Work()}
		}
	}
	return loads
}

// dataCentreLoad is the load that the other daemons of a data centre report.
type dataCentreLoad struct {
	// loads adds up the load of the daemons that count, and requests the requests in it.
	loads    map[endpointHash]endpointLoad
	requests unit.Requests
	// reportingDaemons counts the daemons with a recent datagram, liveDaemons
	// all live ones, and heardDaemons the live ones that have sent a recent datagram; one that
	// has just registered is only assumed to report. recentDaemons also counts daemons with a
	// recent datagram that are no longer registered.
	reportingDaemons, heardDaemons, liveDaemons, recentDaemons int
	// age is the mean time since the daemons reported their requests, weighted by these, and silence
	// the mean time since the latest datagrams of the daemons that have sent a recent one.
	age, silence time.Duration
	// sum has the most recent sum of the data centre, and sumAt the time at which it was so.
	sum    map[endpointHash]endpointLoad
	sumAt  time.Time
	source loadSource
}

// loadSource says from what the load of a data centre is known.
type loadSource string

const (
	// fromNothing means that no daemon of the data centre has sent a recent datagram.
	fromNothing loadSource = "nothing"
	// fromDaemons adds up the load of single daemons: of this data centre, or of another one
	// that sends no sums.
	fromDaemons loadSource = "daemons"
	// fromSums uses the most recent sum that a daemon of the data centre has sent.
	fromSums loadSource = "sums"
)

// loadOf returns the load of the data centre. The caller holds the lock.
func (g *Gossip) loadOf(dc ident.DataCentre) *dataCentreLoad {
	load := g.loads[dc]
	if load == nil {
		load = &dataCentreLoad{loads: make(map[endpointHash]endpointLoad), source: fromNothing}
		g.loads[dc] = load
	}
	return load
}

// replaceLoads replaces the load of the peer in that of its data centre. The caller holds the lock.
func (g *Gossip) replaceLoads(p *peer, loads map[endpointHash]endpointLoad) {
	dc := g.loadOf(p.dataCentre)
	for e, l := range p.loads {
		if rest := dc.loads[e].minus(l); rest == (endpointLoad{}) {
			delete(dc.loads, e)
		} else {
			dc.loads[e] = rest
		}
	}
	dc.requests -= p.requests
	p.requests = 0
	for e, l := range loads {
		dc.loads[e] = dc.loads[e].plus(l)
		p.requests += l.Requests
	}
	dc.requests += p.requests
	p.loads = loads
}

// replaceSum takes over the sum that the peer has sent, if it is more recent than the known one.
// The caller holds the lock.
func (g *Gossip) replaceSum(p *peer, sum *dataCentreSum, now time.Time) {
	if sum == nil || p.dataCentre == g.DataCentre {
		return
	}
	if dc, at := g.loadOf(p.dataCentre), now.Add(-sum.Age); at.After(dc.sumAt) {
		dc.sum, dc.sumAt = sum.Loads, at
	}
}

// UpdatePeerInFlight sets the load that the other daemons have at each endpoint. Of another data
// centre, it uses the most recent sum, as a single daemon of it is rarely heard from in a large
// fleet. Otherwise it adds up single daemons; a live daemon without a recent datagram is assumed
// to have the mean of the other daemons of its data centre.
func (g *Gossip) UpdatePeerInFlight() {
	endpoints := g.currentEndpoints()
	totals, ages := make([]endpointLoad, len(endpoints)), make([]meanAge, len(endpoints))
	var usual meanAge
	g.mu.Lock()
	now := g.Clock.Now()
	g.countDaemons(now)
	for dc, load := range g.loads {
		loads, scale := load.loads, 1.0
		source := load.currentSource(now)
		switch source {
		case fromSums:
			loads = load.sum
		case fromDaemons:
			scale = float64(max(load.liveDaemons, load.reportingDaemons)) / float64(load.reportingDaemons)
		case fromNothing:
			loads = nil
		}
		age, isKnown := load.countAge(source, now)
		if isKnown {
			usual.add(age, int64(max(load.liveDaemons, 1)))
		}
		for i := range endpoints {
			if l, ok := loads[endpoints[i].hash]; ok {
				l = l.scaled(scale)
				totals[i] = totals[i].plus(l)
				ages[i].add(age, int64(l.Requests))
			}
		}
		g.observeLoad(dc, load, source, now)
	}
	g.mu.Unlock()
	for i, e := range endpoints {
		e.Load.SetPeerInFlight(totals[i].Requests)
		e.Load.SetPeerPendingPrefill(totals[i].PendingPrefill)
		e.Load.SetPeerWork(totals[i].Work)
		e.Load.SetPeerCountedAt(ages[i].or(usual).before(now))
	}
}

// meanAge is the mean age of counts.
type meanAge struct {
	sum    time.Duration
	weight int64
}

func (m *meanAge) add(age time.Duration, weight int64) {
	m.sum += age * time.Duration(weight)
	m.weight += weight
}

// or returns the mean, or the other one if this one has no counts.
func (m meanAge) or(other meanAge) meanAge {
	if m.weight == 0 {
		return other
	}
	return m
}

// before returns the time that lies the mean age before the given one, zero without counts.
func (m meanAge) before(now time.Time) time.Time {
	if m.weight == 0 {
		return time.Time{}
	}
	return now.Add(-m.sum / time.Duration(m.weight))
}

// countAge returns the mean age of the counts of the data centre's requests, and whether any were
// received.
func (l *dataCentreLoad) countAge(source loadSource, now time.Time) (age time.Duration, isKnown bool) {
	switch {
	case source == fromSums:
		return now.Sub(l.sumAt), true
	case source == fromNothing || l.recentDaemons == 0:
		return 0, false
	case l.requests == 0:
		return l.silence, true
	}
	return l.age, true
}

// currentSource returns from what the load of the data centre is known.
func (l *dataCentreLoad) currentSource(now time.Time) loadSource {
	switch {
	case now.Sub(l.sumAt) <= inFlightExpiry:
		return fromSums
	case l.reportingDaemons > 0:
		return fromDaemons
	}
	return fromNothing
}

// observeLoad updates the metrics and the log. The caller holds the lock.
func (g *Gossip) observeLoad(dc ident.DataCentre, load *dataCentreLoad, source loadSource, now time.Time) {
	age := load.age
	if source == fromSums {
		age = now.Sub(load.sumAt)
	}
	g.Telemetry.loadAge.WithLabelValues(string(dc)).Set(age.Seconds())
	if source == load.source {
		return
	}
	load.source = source
	g.Log.Info().Str("datacentre", string(dc)).Str("source", string(source)).Int("heard", load.heardDaemons).
		Int("live", load.liveDaemons).Int64("age_ms", age.Milliseconds()).Msg("load-source")
}

// countDaemons counts the daemons of each data centre, computes the mean ages of what they reported, and
// removes the requests of daemons without a recent datagram. The caller holds the lock.
func (g *Gossip) countDaemons(now time.Time) {
	for _, load := range g.loads {
		load.reportingDaemons, load.heardDaemons, load.liveDaemons, load.recentDaemons = 0, 0, 0, 0
		load.age, load.silence = 0, 0
	}
	for _, p := range g.peers {
		silence := now.Sub(p.lastDatagramAt)
		if silence > inFlightExpiry && len(p.loads) > 0 {
			g.replaceLoads(p, nil)
		}
		load := g.loadOf(p.dataCentre)
		if p.isLive(now) {
			load.liveDaemons++
		}
		if silence <= inFlightExpiry {
			load.reportingDaemons++
			if p.sequence > 0 {
				load.recentDaemons++
				load.silence += silence
				if p.registered {
					load.heardDaemons++
				}
			}
		}
		load.age += silence * time.Duration(p.requests)
	}
	for _, load := range g.loads {
		load.age /= time.Duration(max(load.requests, 1))
		load.silence /= time.Duration(max(load.recentDaemons, 1))
	}
}

// ownDataCentreSum returns the load of all daemons of this data centre, nil if too few of them were
// heard from. The caller holds the lock.
func (g *Gossip) ownDataCentreSum(own map[endpointHash]endpointLoad) *dataCentreSum {
	dc := g.loadOf(g.DataCentre)
	if 2*dc.heardDaemons < dc.liveDaemons {
		return nil
	}
	scale := 1.0
	if dc.heardDaemons > 0 {
		scale = float64(max(dc.liveDaemons, dc.heardDaemons)) / float64(dc.heardDaemons)
	}
	sum := &dataCentreSum{Loads: make(map[endpointHash]endpointLoad, len(dc.loads)+len(own))}
	var ownRequests, otherRequests unit.Requests
	for e, l := range dc.loads {
		sum.Loads[e] = l.scaled(scale)
		otherRequests += sum.Loads[e].Requests
	}
	for e, l := range own {
		sum.Loads[e] = sum.Loads[e].plus(l)
		ownRequests += l.Requests
	}
	if all := ownRequests + otherRequests; all > 0 {
		sum.Age = time.Duration(float64(dc.age) * float64(otherRequests) / float64(all))
	}
	return sum
}

// removePeer removes a daemon. The caller holds the lock.
func (g *Gossip) removePeer(id ident.Instance) {
	g.replaceLoads(g.peers[id], nil)
	delete(g.peers, id)
}
