package demand

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

const (
	// reportExpiry is the time after which another daemon's demand no longer counts. It is
	// longer than the time between two datagrams of a daemon to another one of its data centre.
	reportExpiry = 5 * time.Second
	// lastKnownTime is the time for which the last demand that was complete enough counts.
	lastKnownTime = 30 * time.Second
	// minLoad is the least load of a service that divides its servers. Any layout serves less,
	// and the shares of so few requests are random.
	minLoad unit.Slots = 1
)

// receivedReport is the latest demand of another daemon.
type receivedReport struct {
	window time.Duration
	loads  []ModelLoad
	at     time.Time
}

// MergeDemand takes over what another daemon has reported. A daemon of an older version reports
// no demand of its own, and counts as one that wasn't heard from.
func (m *Meter) MergeDemand(from ident.Instance, r Report) {
	now := m.Clock.Now()
	m.mergeContention(r.Contention, now)
	if r.Window <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[from] = receivedReport{r.Window, r.Loads, now}
}

// ModelDemand is the demand of the whole fleet for one model.
type ModelDemand struct {
	Offered, Refused, Waiting unit.Slots
}

// Demand is the demand of the whole fleet for a service.
type Demand struct {
	// Models has all models of the service.
	Models map[ident.Model]ModelDemand
	// Live is the number of live daemons, Heard that of daemons whose demand is known.
	// The others are assumed to have the mean demand of those of their data centre.
	Live, Heard int
	// Window is the mean time that the daemons' means cover, and Age the mean time since they
	// were received.
	Window, Age time.Duration
	// ComputedAt is the time at which the demands were added up.
	ComputedAt time.Time
}

// Complete reports whether the demand of enough daemons is known: at least half.
func (d *Demand) Complete() bool {
	return d.Heard > 0 && 2*d.Heard >= d.Live
}

// Usable reports whether the demand says how to divide the servers.
func (d *Demand) Usable() bool {
	var total unit.Slots
	for _, model := range d.Models {
		total += model.Offered
	}
	return d.Complete() && total >= minLoad
}

// OfferedLoad returns the load that callers offer to the whole fleet, by model of the service. If
// too few daemons were heard from, or the load is too low to divide servers by it, it returns
// the last usable value for lastKnownTime, and after that false.
func (m *Meter) OfferedLoad(now time.Time, service ident.Service) (map[ident.Model]unit.Slots, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.knownDemand(now, service)
	if !ok {
		return nil, false
	}
	offered := make(map[ident.Model]unit.Slots, len(d.Models))
	for name, model := range d.Models {
		offered[name] = model.Offered
	}
	return offered, true
}

// knownDemand returns the demand, or the last usable one for lastKnownTime. The caller holds the
// lock.
func (m *Meter) knownDemand(now time.Time, service ident.Service) (Demand, bool) {
	if d := m.sum(now, service); d.Usable() {
		m.lastKnown[service] = d
		return d, true
	}
	d, ok := m.lastKnown[service]
	return d, ok && now.Sub(d.ComputedAt) <= lastKnownTime
}

// Demand returns the demand of the whole fleet as far as it is known now.
func (m *Meter) Demand(now time.Time, service ident.Service) Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sum(now, service)
}

// dataCentreDemand adds up the demand of the daemons of a data centre.
type dataCentreDemand struct {
	live, heard int
	loads       map[ModelHash]ModelDemand
}

func (c *dataCentreDemand) add(loads []ModelLoad) {
	c.heard++
	for _, l := range loads {
		sum := c.loads[l.Model]
		sum.Offered += l.Offered
		sum.Refused += l.Refused
		sum.Waiting += l.Waiting
		c.loads[l.Model] = sum
	}
}

// sum adds up the demands of the live daemons. The caller holds the lock.
func (m *Meter) sum(now time.Time, service ident.Service) Demand {
	d := Demand{Models: make(map[ident.Model]ModelDemand), ComputedAt: now}
	dataCentres := make(map[ident.DataCentre]*dataCentreDemand)
	m.Daemons.EachLiveDaemon(func(id ident.Instance, dc ident.DataCentre) {
		c := dataCentres[dc]
		if c == nil {
			c = &dataCentreDemand{loads: make(map[ModelHash]ModelDemand)}
			dataCentres[dc] = c
		}
		c.live++
		if r, ok := m.reportOf(id, now); ok {
			c.add(r.loads)
			d.Window += r.window
			d.Age += now.Sub(r.at)
		}
	})
	liveWhereHeard := 0
	for _, c := range dataCentres {
		d.Live += c.live
		d.Heard += c.heard
		if c.heard > 0 {
			liveWhereHeard += c.live
		}
	}
	if d.Heard > 0 {
		d.Window /= time.Duration(d.Heard)
		d.Age /= time.Duration(d.Heard)
	}
	for key, meter := range m.models.Load().byKey {
		if key.service == service {
			d.Models[key.model] = total(meter.hash, dataCentres, d.Live, liveWhereHeard)
		}
	}
	return d
}

// total adds up the demand for a model. A daemon that wasn't heard from is assumed to have the mean
// demand of its data centre, or of all if none of its data centre was heard from.
func total(hash ModelHash, dataCentres map[ident.DataCentre]*dataCentreDemand, live, liveWhereHeard int) ModelDemand {
	var sum ModelDemand
	for _, c := range dataCentres {
		if c.heard > 0 {
			sum = sum.plus(c.loads[hash], float64(c.live)/float64(c.heard))
		}
	}
	if liveWhereHeard == 0 {
		return sum
	}
	return ModelDemand{}.plus(sum, float64(live)/float64(liveWhereHeard))
}

// plus returns the sum of d and the scaled value of the other.
func (d ModelDemand) plus(other ModelDemand, scale float64) ModelDemand {
	factor := unit.Slots(scale)
	return ModelDemand{d.Offered + other.Offered*factor, d.Refused + other.Refused*factor, d.Waiting + other.Waiting*factor}
}

// reportOf returns the recent demand of the daemon. The caller holds the lock.
func (m *Meter) reportOf(id ident.Instance, now time.Time) (receivedReport, bool) {
	if id == m.Self {
		own := m.own.Load()
		if own == nil {
			return receivedReport{}, false
		}
		return receivedReport{own.Window, own.Loads, now}, true
	}
	r, ok := m.reports[id]
	return r, ok && now.Sub(r.at) <= reportExpiry
}

// removeExpired removes the demand of daemons that weren't heard from. The caller holds the lock.
func (m *Meter) removeExpired(now time.Time) {
	for id, r := range m.reports {
		if now.Sub(r.at) > reportExpiry {
			delete(m.reports, id)
		}
	}
}
