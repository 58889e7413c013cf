// Package demand measures the load that callers offer to this daemon, by service and model,
// and adds up what the other daemons report of theirs. The planner divides the servers among the
// models by it, and package balance compares the room of replicas with it. It also knows for which
// models requests waited or were refused recently, at any daemon, by priority, so that admission
// reserves slots only where they are scarce.
//
// Offered load is measured in slots: the time for which the arriving requests would occupy slots of
// replicas a quarter of whose slots are in use, divided by the time in which they arrived. It depends
// on the callers alone, not on the capacity that they find.
package demand

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/clock"
)

// configSource has the current configuration.
type configSource interface {
	Current() *catalog.Snapshot
}

// daemonLister knows the daemons that run.
type daemonLister interface {
	// EachLiveDaemon calls f with each live daemon, including this one.
	EachLiveDaemon(f func(id ident.Instance, dataCentre ident.DataCentre))
}

// Options are the dependencies of a Meter.
type Options struct {
	Clock clock.Clock
	Log   zerolog.Logger
	Self  ident.Instance
	// DataCentre is that of this daemon.
	DataCentre ident.DataCentre
	Catalog    configSource
	Daemons    daemonLister
	// Telemetry has the metrics.
	Telemetry *Telemetry
}

// Meter measures demand. Its methods may be called from several goroutines; those that are
// called during a request take no lock.
type Meter struct {
	Options
	startedAt time.Time
	// models has the models of the current configuration.
	models atomic.Pointer[modelTable]
	// own is this daemon's demand at the latest sample, nil before the first mean.
	own atomic.Pointer[Report]
	// ownDataCentre is the demand at the daemons of this data centre.
	ownDataCentre atomic.Pointer[DataCentreDemand]
	// offered is the fleet's offered load at the latest observation.
	offered atomic.Pointer[map[modelKey]unit.Slots]

	mu      sync.Mutex
	history history
	// reports has the latest report of each other daemon.
	reports map[ident.Instance]receivedReport
	// lastKnown has the latest usable demand, and states the states that were logged last.
	lastKnown map[ident.Service]Demand
	states    map[ident.Service]state
}

// New returns a Meter that has measured nothing.
func New(o Options) *Meter {
	m := &Meter{
		Options: o, startedAt: o.Clock.Now(), reports: make(map[ident.Instance]receivedReport),
		lastKnown: make(map[ident.Service]Demand), states: make(map[ident.Service]state),
	}
	m.models.Store(new(modelTable))
	m.offered.Store(new(map[modelKey]unit.Slots))
	return m
}

// modelKey identifies a model of a service.
type modelKey struct {
	service ident.Service
	model   ident.Model
}

// ModelHash identifies a model of a service in messages between daemons. Two models with the
// same hash share their demand; that is tolerable, as a fleet has few models.
type ModelHash uint32

// HashOf returns the hash of a model of a service.
func HashOf(service ident.Service, model ident.Model) ModelHash {
	// Names have no space.
	return ModelHash(xxhash.Sum64String(string(service)+" "+string(model)) >> 32)
}

// modelTable is an immutable index of the models of a configuration.
type modelTable struct {
	config *cluster.Config
	byKey  map[modelKey]*modelMeter
	byHash map[ModelHash]*modelMeter
}

// modelMeter counts the requests for one model at this daemon. The counters only rise.
type modelMeter struct {
	key                modelKey
	hash               ModelHash
	arrivals, refusals prometheus.Counter
	// arrivedWork and refusedWork add up the requests' work, and waited the time that requests
	// have waited for a slot, in nanoseconds.
	arrivedWork, refusedWork, waited atomic.Int64
	contention                       contentionList
	// samples has the counters at the times of the history. It is zero from before the model
	// was configured. The Meter's lock protects it.
	samples [sampleCount]counters
}

// counters are the values of a modelMeter's counters.
type counters struct {
	arrivedWork, refusedWork, waited time.Duration
}

func (m *modelMeter) read() counters {
	return counters{
		arrivedWork: time.Duration(m.arrivedWork.Load()), refusedWork: time.Duration(m.refusedWork.Load()),
		waited: time.Duration(m.waited.Load()),
	}
}

// meterOf returns the meter of the model, nil if the configuration doesn't have it. Callers
// can name any model, so meters exist for configured ones only.
func (m *Meter) meterOf(service ident.Service, model ident.Model) *modelMeter {
	return m.models.Load().byKey[modelKey{service, model}]
}

// RecordArrival counts a request that a caller has sent to this daemon. The work is the time
// for which it would occupy a slot of a replica a quarter of whose slots are in use.
func (m *Meter) RecordArrival(service ident.Service, model ident.Model, work time.Duration) {
	if meter := m.meterOf(service, model); meter != nil {
		meter.arrivals.Inc()
		meter.arrivedWork.Add(int64(work))
	}
}

// RecordRefusal counts a request that this daemon has refused for lack of slots.
func (m *Meter) RecordRefusal(service ident.Service, model ident.Model, priority unit.Priority, work time.Duration) {
	if meter := m.meterOf(service, model); meter != nil {
		meter.refusals.Inc()
		meter.refusedWork.Add(int64(work))
		meter.contention.record(priority, m.Clock.Now())
	}
}

// RecordWaitStart records that a request begins to wait for a slot.
func (m *Meter) RecordWaitStart(service ident.Service, model ident.Model, priority unit.Priority) {
	if meter := m.meterOf(service, model); meter != nil {
		meter.contention.record(priority, m.Clock.Now())
	}
}

// RecordWaitEnd records that a request has waited for a slot, with or without success.
func (m *Meter) RecordWaitEnd(service ident.Service, model ident.Model, priority unit.Priority, waited time.Duration) {
	if meter := m.meterOf(service, model); meter != nil {
		meter.waited.Add(int64(waited))
		meter.contention.record(priority, m.Clock.Now())
	}
}

// Contended returns the highest priority whose requests for the model waited for a slot or were
// refused within the last contentionTime, at any daemon. It returns false if none did.
func (m *Meter) Contended(service ident.Service, model ident.Model) (priority unit.Priority, recent bool) {
	meter := m.meterOf(service, model)
	if meter == nil {
		return 0, false
	}
	return meter.contention.highest(m.Clock.Now())
}

// updateModels adds and removes meters after a change of the configuration. The caller holds
// the lock.
func (m *Meter) updateModels() {
	config, current := m.Catalog.Current().Config, m.models.Load()
	if config == current.config {
		return
	}
	updated := &modelTable{config: config, byKey: make(map[modelKey]*modelMeter), byHash: make(map[ModelHash]*modelMeter)}
	for name, service := range config.Services {
		if service.Engine == nil {
			continue
		}
		for i := range service.Engine.Models {
			key := modelKey{name, service.Engine.Models[i].Name}
			meter := current.byKey[key]
			if meter == nil {
				meter = m.newModelMeter(key)
			}
			updated.byKey[key], updated.byHash[meter.hash] = meter, meter
		}
	}
	for key := range current.byKey {
		if updated.byKey[key] == nil {
			m.Telemetry.remove(key)
		}
	}
	m.models.Store(updated)
}

func (m *Meter) newModelMeter(key modelKey) *modelMeter {
	labels := []string{string(key.service), string(key.model)}
	return &modelMeter{
		key: key, hash: HashOf(key.service, key.model),
		arrivals: m.Telemetry.arrivals.WithLabelValues(labels...), refusals: m.Telemetry.refusals.WithLabelValues(labels...),
	}
}
