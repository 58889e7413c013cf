package demand

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// state says which demand the planner gets.
type state string

const (
	// stateKnown is the demand of at least half of the daemons, enough to divide servers by it.
	stateKnown state = "known"
	// stateLastKnown is the last such demand, while the present one isn't usable.
	stateLastKnown state = "last-known"
	// stateUnknown means that the configured shares are in force.
	stateUnknown state = "unknown"
)

// Telemetry has the metrics of demand.
type Telemetry struct {
	slots     *prometheus.GaugeVec
	daemons   *prometheus.GaugeVec
	contended *prometheus.GaugeVec
	arrivals  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
}

// NewTelemetry returns the metrics after registering them.
func NewTelemetry(registry prometheus.Registerer) (*Telemetry, error) {
	byModel := []string{"service", "model"}
	t := &Telemetry{
		slots: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminbay_demand_slots", Help: "Slots, of replicas a quarter of whose slots are in use, that the requests to all daemons occupy (offered), that those refused would have occupied, and that requests wait for.",
		}, []string{"service", "model", "kind"}),
		daemons: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminbay_demand_daemons", Help: "Live daemons, and those whose demand is known.",
		}, []string{"kind"}),
		contended: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminbay_demand_contended", Help: "1 if requests for the model waited or were refused within 2 s, at any daemon.",
		}, byModel),
		arrivals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_demand_arrivals_total", Help: "Requests that callers sent to this daemon.",
		}, byModel),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_demand_refusals_total", Help: "Requests that this daemon refused for lack of slots.",
		}, byModel),
	}
	for _, c := range []prometheus.Collector{t.slots, t.daemons, t.contended, t.arrivals, t.refusals} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// remove removes the metrics of a model that the configuration no longer has.
func (t *Telemetry) remove(key modelKey) {
	labels := prometheus.Labels{"service": string(key.service), "model": string(key.model)}
	for _, vec := range []interface {
		DeletePartialMatch(labels prometheus.Labels) int
	}{t.slots, t.contended, t.arrivals, t.refusals} {
		vec.DeletePartialMatch(labels)
	}
}

// Observe adds up the demand of all services for the metrics and the log, and so that a daemon
// that becomes the planner has a last known demand.
func (m *Meter) Observe() {
	config := m.Catalog.Current().Config
	if config == nil {
		return
	}
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpired(now)
	m.updateOwnDataCentre(now)
	for name := range m.lastKnown {
		if config.Services[name] == nil {
			delete(m.lastKnown, name)
			delete(m.states, name)
		}
	}
	offered := make(map[modelKey]unit.Slots)
	for _, service := range config.Services {
		if service.Engine != nil {
			m.observeService(now, service, offered)
		}
	}
	m.offered.Store(&offered)
}

// observeService adds the offered load of the service's models, if it is known, to offered.
func (m *Meter) observeService(now time.Time, service *cluster.Service, offered map[modelKey]unit.Slots) {
	d := m.sum(now, service.Name)
	m.Telemetry.daemons.WithLabelValues("live").Set(float64(d.Live))
	m.Telemetry.daemons.WithLabelValues("heard").Set(float64(d.Heard))
	for model, sum := range d.Models {
		m.observeModel(service.Name, model, sum)
	}
	current := stateUnknown
	if used, ok := m.knownDemand(d, service.Name); ok {
		current = stateLastKnown
		if used.ComputedAt.Equal(now) {
			current = stateKnown
		}
		for model, sum := range used.Models {
			offered[modelKey{service.Name, model}] = sum.Offered
		}
	}
	if previous, logged := m.states[service.Name]; logged && previous == current || !logged && current == stateUnknown {
		return
	}
	m.states[service.Name] = current
	m.Log.Info().Str("service", string(service.Name)).Str("state", string(current)).Int("heard", d.Heard).Int("live", d.Live).
		Int64("window_ms", d.Window.Milliseconds()).Int64("age_ms", d.Age.Milliseconds()).Msg("demand-state")
}

func (m *Meter) observeModel(service ident.Service, model ident.Model, d ModelDemand) {
	set := func(kind string, value float64) {
		m.Telemetry.slots.WithLabelValues(string(service), string(model), kind).Set(value)
	}
	set("offered", float64(d.Offered))
	set("refused", float64(d.Refused))
	set("waiting", float64(d.Waiting))
	contended := 0.0
	if _, recent := m.Contended(service, model); recent {
		contended = 1
	}
	m.Telemetry.contended.WithLabelValues(string(service), string(model)).Set(contended)
}
