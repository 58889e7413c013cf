package cost

import (
	"errors"
	"math"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// errorDivisor weights the moving averages of errors: a new observation counts for 1/64.
const errorDivisor = 64

// errorMeasure compares predicted values with actual ones.
type errorMeasure struct {
	count atomic.Int64
	// under counts the actual values above the predicted ones.
	under atomic.Int64
	// logError is the moving average of |ln(actual/predicted)| as the bits of a float64.
	logError atomic.Uint64
}

// record compares two values, which are ignored unless both are positive.
func (m *errorMeasure) record(predicted, actual float64) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	n := m.count.Add(1)
	if actual > predicted {
		m.under.Add(1)
	}
	// Two concurrent observations may overwrite each other, which an average tolerates.
	average := math.Float64frombits(m.logError.Load())
	average += (math.Abs(math.Log(actual/predicted)) - average) / float64(min(n, errorDivisor))
	m.logError.Store(math.Float64bits(average))
}

// errorMeasures are the errors of a Model's estimates.
type errorMeasures struct {
	output     errorMeasure
	firstEvent errorMeasure
}

// Register registers the metrics.
func (m *Model) Register(registry prometheus.Registerer) error {
	var errs []error
	for estimate, measure := range map[string]*errorMeasure{"output": &m.errors.output, "first": &m.errors.firstEvent} {
		labels := prometheus.Labels{"estimate": estimate}
		errs = append(errs,
			registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "cuminbay_cost_estimates_total", Help: "Estimates that were compared with the actual value, by what was estimated.", ConstLabels: labels,
			}, func() float64 { return float64(measure.count.Load()) })),
			registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "cuminbay_cost_exceeded_total", Help: "Estimates that the actual value exceeded, by what was estimated.", ConstLabels: labels,
			}, func() float64 { return float64(measure.under.Load()) })),
			registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "cuminbay_cost_log_error", Help: "Moving average of |ln(actual/estimate)|, by what was estimated.", ConstLabels: labels,
			}, func() float64 { return math.Float64frombits(measure.logError.Load()) })))
	}
	return errors.Join(errs...)
}
