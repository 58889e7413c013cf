package budget

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	refused, ended *prometheus.CounterVec
}

func newMetrics() *metrics {
	options := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "cuminbay", Subsystem: "budget", Name: name, Help: help}
	}
	return &metrics{
		refused: prometheus.NewCounterVec(options("refused_total", "Requests and connections of callers that were refused before they ran, by limit."), []string{"limit"}),
		ended:   prometheus.NewCounterVec(options("ended_total", "Connections of callers that were ended to make room, by reason."), []string{"reason"}),
	}
}

func (m *metrics) register(r *prometheus.Registry, b *Budget) error {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cuminbay", Subsystem: "budget", Name: name, Help: help}, value)
	}
	return errors.Join(
		r.Register(m.refused), r.Register(m.ended),
		r.Register(gauge("bytes", "Bytes that connections of callers hold.", func() float64 { return float64(b.used.Load()) })),
		r.Register(gauge("capacity_bytes", "Bytes that connections of callers may hold.", func() float64 { return float64(b.Capacity) })),
		r.Register(gauge("connections", "Connections of callers.", func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return float64(b.counts[Callers])
		})),
		r.Register(gauge("connection_limit", "Highest number of connections of callers.", func() float64 { return float64(b.connectionLimit(Callers)) })),
	)
}
