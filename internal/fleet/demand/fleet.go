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
	// dataCentre is the latest demand of the daemon's data centre that it has reported, and
	// dataCentreAt the time of it.
	dataCentre   *DataCentreDemand
	dataCentreAt time.Time
	at           time.Time
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
	received := receivedReport{window: r.Window, loads: r.Loads, dataCentre: r.DataCentre, dataCentreAt: now, at: now}
	if previous := m.reports[from]; r.DataCentre == nil {
		received.dataCentre, received.dataCentreAt = previous.dataCentre, previous.dataCentreAt
	}
	m.reports[from] = received
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
	d, ok := m.knownDemand(m.sum(now, service), service)
	if !ok {
		return nil, false
	}
	offered := make(map[ident.Model]unit.Slots, len(d.Models))
	for name, model := range d.Models {
		offered[name] = model.Offered
	}
	return offered, true
}

// Offered returns the load that callers offer to the whole fleet for the model, as it was at the latest
// observation, and false if it isn't known. It takes no lock.
func (m *Meter) Offered(service ident.Service, model ident.Model) (unit.Slots, bool) {
	offered, known := (*m.offered.Load())[modelKey{service, model}]
	return offered, known
}

// knownDemand returns the present demand if it is usable, or else the last usable one for
// lastKnownTime. The caller holds the lock.
func (m *Meter) knownDemand(present Demand, service ident.Service) (Demand, bool) {
	if present.Usable() {
		m.lastKnown[service] = present
		return present, true
	}
	last, ok := m.lastKnown[service]
	return last, ok && present.ComputedAt.Sub(last.ComputedAt) <= lastKnownTime
}

// Demand returns the demand of the whole fleet as far as it is known now.
func (m *Meter) Demand(now time.Time, service ident.Service) Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sum(now, service)
}

// dataCentreSum adds up the demand at the daemons of a data centre.
type dataCentreSum struct {
	live, heard int
	loads       map[ModelHash]ModelDemand
	// reported is the most complete demand that a daemon of the data centre has reported for it.
	reported *DataCentreDemand
}

func newDataCentreSum() *dataCentreSum {
	return &dataCentreSum{loads: make(map[ModelHash]ModelDemand)}
}

func (c *dataCentreSum) add(loads []ModelLoad) {
	for _, l := range loads {
		sum := c.loads[l.Model]
		sum.Offered += l.Offered
		sum.Refused += l.Refused
		sum.Waiting += l.Waiting
		c.loads[l.Model] = sum
	}
}

// useReported replaces the demand by the reported one, if that covers more daemons.
func (c *dataCentreSum) useReported() {
	if r := c.reported; r != nil && r.Heard > c.heard {
		c.live, c.heard, c.loads = max(r.Live, r.Heard), r.Heard, make(map[ModelHash]ModelDemand)
		c.add(r.Loads)
	}
}

// sum adds up the demands of the live daemons. The caller holds the lock.
func (m *Meter) sum(now time.Time, service ident.Service) Demand {
	d := Demand{Models: make(map[ident.Model]ModelDemand), ComputedAt: now}
	dataCentres, direct := m.byDataCentre(now)
	for _, r := range direct {
		d.Window += r.window / time.Duration(len(direct))
		d.Age += now.Sub(r.at) / time.Duration(len(direct))
	}
	liveWhereHeard := 0
	for _, c := range dataCentres {
		c.useReported()
		d.Live += c.live
		d.Heard += c.heard
		if c.heard > 0 {
			liveWhereHeard += c.live
		}
	}
	for key, meter := range m.models.Load().byKey {
		if key.service == service {
			d.Models[key.model] = total(meter.hash, dataCentres, d.Live, liveWhereHeard)
		}
	}
	return d
}

// byDataCentre adds up the demands of the live daemons by data centre, and returns the reports that
// count. The caller holds the lock.
func (m *Meter) byDataCentre(now time.Time) (map[ident.DataCentre]*dataCentreSum, []receivedReport) {
	dataCentres := make(map[ident.DataCentre]*dataCentreSum)
	var reports []receivedReport
	m.Daemons.EachLiveDaemon(func(id ident.Instance, dc ident.DataCentre) {
		c := dataCentres[dc]
		if c == nil {
			c = newDataCentreSum()
			dataCentres[dc] = c
		}
		c.live++
		r, ok := m.reportOf(id, now)
		if !ok {
			return
		}
		c.heard++
		c.add(r.loads)
		reports = append(reports, r)
		if r.dataCentre != nil && now.Sub(r.dataCentreAt) <= reportExpiry && (c.reported == nil || r.dataCentre.Heard > c.reported.Heard) {
			c.reported = r.dataCentre
		}
	})
	return dataCentres, reports
}

// updateOwnDataCentre adds up the demand at the daemons of this data centre for the others. The
// caller holds the lock.
func (m *Meter) updateOwnDataCentre(now time.Time) {
	dataCentres, _ := m.byDataCentre(now)
	own := dataCentres[m.DataCentre]
	if own == nil || own.heard == 0 {
		m.ownDataCentre.Store(nil)
		return
	}
	sum := &DataCentreDemand{Live: own.live, Heard: own.heard}
	for hash, l := range own.loads {
		sum.Loads = append(sum.Loads, ModelLoad{hash, l.Offered, l.Refused, l.Waiting})
	}
	m.ownDataCentre.Store(sum)
}

// DataCentreDemand returns the demand at the daemons of this data centre, nil before it is known.
func (m *Meter) DataCentreDemand() *DataCentreDemand {
	return m.ownDataCentre.Load()
}

// total adds up the demand for a model. A daemon that wasn't heard from is assumed to have the mean
// demand of its data centre, or of all if none of its data centre was heard from.
func total(hash ModelHash, dataCentres map[ident.DataCentre]*dataCentreSum, live, liveWhereHeard int) ModelDemand {
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
		return receivedReport{window: own.Window, loads: own.Loads, at: now}, true
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
