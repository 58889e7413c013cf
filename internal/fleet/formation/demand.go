package formation

import (
	"fmt"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

// hasLoad reports whether callers offer any load, be it to other daemons only.
func (d Demand) hasLoad() bool {
	for service := range d {
		if d.hasLoadOf(service) {
			return true
		}
	}
	return false
}

// hasLoadOf reports whether the demand for the service's models is known and not zero.
func (d Demand) hasLoadOf(service ident.Service) bool {
	for _, slots := range d[service] {
		if slots > 0 {
			return true
		}
	}
	return false
}

// needyUtilisation is the utilisation of a model's slots from which on it gets replicas of another
// model. A burst to twice the load then uses half of them, and callers begin to wait longer. Below
// it, a conversion would take capacity away for nothing.
const needyUtilisation = 0.25

// needsCapacity reports whether the model's demand uses so much of its capacity that a burst would
// make callers wait longer.
func (p *Planner) needsCapacity(service *cluster.Service, model ident.Model) bool {
	return float64(p.Demand[service.Name][model]) >= needyUtilisation*p.capacity(service, model)
}

// capacity returns the slots of the model's replicas that serve.
func (p *Planner) capacity(service *cluster.Service, model ident.Model) float64 {
	replicas := 0
	for _, r := range p.replicas {
		if r.service == service.Name && r.model.Name == model && r.phase == serving {
			replicas++
		}
	}
	return float64(replicas) * float64(service.Engine.Slots)
}

// describeDemand returns the demand and the capacity of all models for the log.
func (p *Planner) describeDemand(service *cluster.Service) string {
	var models []string
	for i := range service.Engine.Models {
		m := service.Engine.Models[i].Name
		models = append(models, fmt.Sprintf("%s demand %.1f of %.0f slots", m, float64(p.Demand[service.Name][m]), p.capacity(service, m)))
	}
	return strings.Join(models, ", ")
}

// offeredLoad returns the demand for the models of the services that have model servers.
func (c *controller) offeredLoad(snapshot *catalog.Snapshot, now time.Time) Demand {
	if c.demand == nil || snapshot.Config == nil {
		return nil
	}
	demand := make(Demand)
	for name, service := range snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		if offered, known := c.demand.OfferedLoad(now, name); known {
			demand[name] = offered
		}
	}
	return demand
}

// conversionReporter has the demand, the capacity and the conversions as metrics.
type conversionReporter struct {
	demand, capacity *prometheus.GaugeVec
	conversions      *prometheus.CounterVec
	reportedAt       time.Time
}

func newConversionReporter() *conversionReporter {
	return &conversionReporter{
		demand: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminbay_formation_demand_slots", Help: "Offered load by model in slots of replicas a quarter of whose slots are in use, while this daemon is the planner.",
		}, []string{"model"}),
		capacity: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminbay_formation_capacity_slots", Help: "Slots of the replicas that serve by model, while this daemon is the planner.",
		}, []string{"model"}),
		conversions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_formation_conversions_total", Help: "Conversions of replicas by their models and result.",
		}, []string{"from", "to", "result"}),
	}
}

func (r *conversionReporter) register(registerer prometheus.Registerer) error {
	for _, collector := range []prometheus.Collector{r.demand, r.capacity, r.conversions} {
		if err := registerer.Register(collector); err != nil {
			return err
		}
	}
	return nil
}

// report counts the conversions, and sets the gauges at most once in countInterval.
func (r *conversionReporter) report(p *Planner, now time.Time) {
	for _, e := range p.ConversionEvents {
		r.conversions.WithLabelValues(string(e.From), string(e.To), e.Result).Inc()
	}
	p.ConversionEvents = nil
	if p.snapshot.Config == nil || now.Sub(r.reportedAt) < countInterval {
		return
	}
	r.reportedAt = now
	for name, service := range p.snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		for i := range service.Engine.Models {
			m := service.Engine.Models[i].Name
			r.demand.WithLabelValues(string(m)).Set(float64(p.Demand[name][m]))
			r.capacity.WithLabelValues(string(m)).Set(p.capacity(service, m))
		}
	}
}

// reset forgets the demand and capacity of a term that has ended.
func (r *conversionReporter) reset() {
	r.demand.Reset()
	r.capacity.Reset()
}
