package demand

import (
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// A mean covers the time since the first request to the daemon, from minWindow to maxWindow. The
// idle time before it would lower the first means, by which the planner corrects the layout. In less than
// minWindow, a few long requests would decide it. maxWindow is longer than a burst of requests, for
// which no replica is to be converted, and short enough that a lasting change counts in full before
// a conversion of replicas has ended.
const (
	minWindow = 2 * time.Second
	maxWindow = 8 * time.Second
)

// SampleInterval is the time between two samples of the counters.
const SampleInterval = 250 * time.Millisecond

// sampleCount is the number of samples kept: those of maxWindow, if each one is early by the
// jitter of a tenth, and the one at its beginning.
const sampleCount = 40

// history has the times of the latest samples of the counters. The models have the values at the
// same indexes.
type history struct {
	times [sampleCount]clock.Instant
	// count is the number of samples since the start of the daemon.
	count int
}

// begin returns the index of the sample at which the mean begins: the latest one that is at least
// maxWindow old, else the oldest. It returns false if the mean would cover less than minWindow.
func (h *history) begin(now clock.Instant) (index int, window time.Duration, ok bool) {
	for n := h.count - 1; n >= max(0, h.count-sampleCount); n-- {
		index = n % sampleCount
		window = time.Duration(now - h.times[index])
		if window >= maxWindow {
			break
		}
	}
	return index, window, window >= minWindow
}

// ModelLoad is the demand for one model.
type ModelLoad struct {
	Model ModelHash
	// Offered is the load of all arriving requests, Refused the part that was refused. Waiting
	// is the mean number of requests that wait for a slot, with one slot for each.
	Offered, Refused, Waiting unit.Slots
}

// Report is what a daemon tells the others of the demand.
type Report struct {
	// Window is the time that the means cover. It is zero if the daemon doesn't know its demand
	// yet or runs an older version.
	Window time.Duration
	// Loads has the sender's demand. Models without any are left out.
	Loads []ModelLoad
	// Contention has what the sender knows of all daemons.
	Contention []Contention
	// DataCentre is the demand at the daemons of the sender's data centre, nil if the report has
	// none.
	DataCentre *DataCentreDemand
}

// DataCentreDemand adds up the demand at the daemons of a data centre that were heard from.
type DataCentreDemand struct {
	Live, Heard int
	Loads       []ModelLoad
}

// Sample computes the mean demand of this daemon and saves the counters for later means. It is
// called every SampleInterval.
func (m *Meter) Sample() {
	now := m.Clock.Now()
	instant := clock.InstantOf(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Catalog.Current().Config != nil {
		m.updateModels()
	}
	if !m.hasArrivals() {
		m.sampleIdle(now)
		return
	}
	begin, window, ok := m.history.begin(instant)
	next := m.history.count % sampleCount
	report := &Report{Window: window}
	for _, meter := range m.models.Load().byKey {
		values := meter.read()
		if load := meanLoad(values, meter.samples[begin], window); ok && load != (ModelLoad{}) {
			load.Model = meter.hash
			report.Loads = append(report.Loads, load)
		}
		meter.samples[next] = values
	}
	if ok {
		m.own.Store(report)
	}
	m.history.times[next] = instant
	m.history.count++
}

// hasArrivals reports whether any request has arrived since the start of the daemon.
func (m *Meter) hasArrivals() bool {
	for _, meter := range m.models.Load().byKey {
		if meter.arrivedWork.Load() > 0 {
			return true
		}
	}
	return false
}

// sampleIdle begins the history anew before the first request, and reports that callers ask for
// nothing. The caller holds the lock.
func (m *Meter) sampleIdle(now time.Time) {
	for _, meter := range m.models.Load().byKey {
		meter.samples[0] = counters{}
	}
	m.history.times[0], m.history.count = clock.InstantOf(now), 1
	if window := min(now.Sub(m.startedAt), maxWindow); window >= minWindow {
		m.own.Store(&Report{Window: window})
	}
}

// meanLoad returns the mean load between two readings of the counters.
func meanLoad(end, begin counters, window time.Duration) ModelLoad {
	mean := func(total time.Duration) unit.Slots {
		if window <= 0 {
			return 0
		}
		return unit.Slots(total.Seconds() / window.Seconds())
	}
	return ModelLoad{
		Offered: mean(end.arrivedWork - begin.arrivedWork), Refused: mean(end.refusedWork - begin.refusedWork),
		Waiting: mean(end.waited - begin.waited),
	}
}

// DemandReport returns this daemon's demand for the next datagram.
func (m *Meter) DemandReport(now time.Time) Report {
	var r Report
	if own := m.own.Load(); own != nil {
		r = *own
	}
	for _, meter := range m.models.Load().byKey {
		r.Contention = meter.contention.report(r.Contention, meter.hash, now)
	}
	return r
}
