package formation

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// ReplicaCount has the replicas of a model by what they can do.
type ReplicaCount struct {
	Model ident.Model
	// Serving replicas serve or finish their requests, Joining ones will serve without further
	// servers, and Waiting ones lack members.
	Serving, Joining, Waiting int
	// Staged is the number of spare servers with the model's weights.
	Staged int
}

// ReplicaCounts returns the replicas of each model of the service as of the last Step.
func (p *Planner) ReplicaCounts(service *cluster.Service) []ReplicaCount {
	counts := make([]ReplicaCount, len(service.Engine.Models))
	for i := range service.Engine.Models {
		m := &service.Engine.Models[i]
		counts[i].Model = m.Name
		for _, r := range p.replicas {
			if r.service == service.Name && r.model.Name == m.Name {
				counts[i].add(r.phase)
			}
		}
		for _, domain := range p.sortedDomains(service) {
			counts[i].Staged += p.stagedSpares(service, domain, m.Name)
		}
	}
	return counts
}

func (c *ReplicaCount) add(p phase) {
	switch p {
	case serving, closing:
		c.Serving++
	case joining, opening:
		c.Joining++
	case incomplete:
		c.Waiting++
	case dissolving:
	}
}

// countInterval is the least time between two counts of the replicas.
const countInterval = time.Second

// countReporter logs the numbers of replicas that have changed, and has them as metrics.
type countReporter struct {
	gauge     *prometheus.GaugeVec
	countedAt time.Time
	last      map[ident.Service][]ReplicaCount
}

func newCountReporter() *countReporter {
	return &countReporter{
		gauge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminbay_formation_replicas", Help: "Replicas by model and state, while this daemon is the planner.",
		}, []string{"model", "state"}),
		last: make(map[ident.Service][]ReplicaCount),
	}
}

// report counts the planner's replicas, at most once in countInterval.
func (c *countReporter) report(log zerolog.Logger, p *Planner, now time.Time) {
	if p.snapshot.Config == nil || now.Sub(c.countedAt) < countInterval {
		return
	}
	c.countedAt = now
	for name, service := range p.snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		counts := p.ReplicaCounts(service)
		if slices.Equal(counts, c.last[name]) {
			continue
		}
		c.last[name] = counts
		for _, n := range counts {
			c.gauge.WithLabelValues(string(n.Model), "serving").Set(float64(n.Serving))
			c.gauge.WithLabelValues(string(n.Model), "joining").Set(float64(n.Joining))
			c.gauge.WithLabelValues(string(n.Model), "waiting").Set(float64(n.Waiting))
			log.Info().Str("model", string(n.Model)).Int("serving", n.Serving).Int("joining", n.Joining).
				Int("waiting", n.Waiting).Int("staged", n.Staged).Msg("replicas-counted")
		}
	}
}

// reset forgets the replicas of a term that has ended.
func (c *countReporter) reset() {
	c.gauge.Reset()
	clear(c.last)
}
