package budget

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	refused, ended *prometheus.CounterVec
	repliesEnded   prometheus.Counter
}

func newMetrics() *metrics {
	options := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "cuminbay", Subsystem: "budget", Name: name, Help: help}
	}
	return &metrics{
		refused:      prometheus.NewCounterVec(options("refused_total", "Requests and connections of callers and, with the prefix daemon-, at the ports for other daemons that were refused before they ran, by limit."), []string{"limit"}),
		ended:        prometheus.NewCounterVec(options("ended_total", "Connections of callers and, with the prefix daemon-, at the ports for other daemons that were ended to make room, by reason."), []string{"reason"}),
		repliesEnded: prometheus.NewCounter(options("replies_ended_total", "Replies of servers that were given up, since they were the largest when the budget of replies was used up.")),
	}
}

func (m *metrics) register(r *prometheus.Registry, b *Budget) error {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cuminbay", Subsystem: "budget", Name: name, Help: help}, value)
	}
	daemons := b.ForDaemons()
	return errors.Join(
		r.Register(m.refused), r.Register(m.ended), r.Register(m.repliesEnded),
		r.Register(gauge("reply_bytes", "Bytes that replies of servers hold.", func() float64 { return float64(b.replies.Used()) })),
		r.Register(gauge("reply_capacity_bytes", "Bytes that replies of servers may hold.", func() float64 { return float64(b.replies.capacity) })),
		r.Register(gauge("bytes", "Bytes that connections of callers hold.", func() float64 { return float64(b.used.Load()) })),
		r.Register(gauge("capacity_bytes", "Bytes that connections of callers may hold.", func() float64 { return float64(b.Capacity) })),
		r.Register(gauge("connections", "Connections of callers.", func() float64 { return float64(b.count(Callers)) })),
		r.Register(gauge("connection_limit", "Highest number of connections of callers.", func() float64 { return float64(b.connectionLimit(Callers)) })),
		r.Register(gauge("daemon_bytes", "Bytes that connections at the ports for other daemons hold.", func() float64 { return float64(daemons.used.Load()) })),
		r.Register(gauge("daemon_capacity_bytes", "Bytes that connections at the ports for other daemons may hold.", func() float64 { return float64(daemons.Capacity) })),
		r.Register(gauge("daemon_connections", "Connections at the ports for other daemons.", func() float64 { return float64(daemons.count(Daemons)) })),
		r.Register(gauge("daemon_connection_limit", "Highest number of connections at the ports for other daemons.", func() float64 { return float64(daemons.connectionLimit(Daemons)) })),
	)
}

// count returns the number of connections of the kind.
func (b *Budget) count(k Kind) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[k]
}
