package balance

import (
	"errors"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// counters count the results of choices.
type counters struct {
	// drawn counts the choices by expected loss, leastUtilised those by count, and none those
	// without an endpoint that may be chosen.
	drawn         atomic.Int64
	leastUtilised atomic.Int64
	none          atomic.Int64
	// cacheFull counts the endpoints that were left out of a choice for lack of KV cache.
	cacheFull atomic.Int64
}

// Register registers the metrics.
func (b *Balancer) Register(registry prometheus.Registerer) error {
	var errs []error
	for result, counter := range map[string]*atomic.Int64{"drawn": &b.drawn, "least-utilised": &b.leastUtilised, "none": &b.none} {
		errs = append(errs, registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cuminbay_balance_choices_total", Help: "Choices of an endpoint by result.", ConstLabels: prometheus.Labels{"result": result},
		}, func() float64 { return float64(counter.Load()) })))
	}
	errs = append(errs, registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "cuminbay_balance_cache_full_total", Help: "Endpoints left out of a choice because the request would exceed their KV cache.",
	}, func() float64 { return float64(b.cacheFull.Load()) })))
	return errors.Join(errs...)
}
