package forward

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/route/admit"
)

// Telemetry has the metrics of forwarded requests.
type Telemetry struct {
	requests         *prometheus.CounterVec
	failedAttempts   *prometheus.CounterVec
	firstByteSeconds *prometheus.HistogramVec
	requestSeconds   *prometheus.HistogramVec
	refusals         *prometheus.CounterVec
	waitSeconds      *prometheus.HistogramVec
	predictedSeconds *prometheus.HistogramVec
}

// NewTelemetry returns the metrics after registering them.
func NewTelemetry(registry prometheus.Registerer) (*Telemetry, error) {
	buckets := []float64{.01, .02, .05, .1, .15, .2, .3, .4, .6, 1, 2, 4, 8}
	t := &Telemetry{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_forward_requests_total", Help: "Forwarded requests by kind of route and result code.",
		}, []string{"kind", "code"}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_forward_attempts_failed_total", Help: "Failed attempts by cause.",
		}, []string{"cause"}),
		firstByteSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminbay_forward_first_seconds", Help: "Time to the first byte of an answer by kind of route.", Buckets: buckets,
		}, []string{"kind"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminbay_forward_seconds", Help: "Time to the end of an answer by kind of route.", Buckets: buckets,
		}, []string{"kind"}),
	}
	t.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminbay_admission_refused_total", Help: "Requests that were refused for lack of a slot, by priority, class and reason.",
	}, []string{"priority", "class", "reason"})
	t.waitSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cuminbay_admission_wait_seconds", Help: "Time in the queue by class at its end and result.", Buckets: buckets,
	}, []string{"class", "result"})
	t.predictedSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cuminbay_admission_predicted_seconds", Help: "Predicted time in the queue of the requests that waited, by class and result of the wait.", Buckets: buckets,
	}, []string{"class", "result"})
	for _, c := range []prometheus.Collector{t.requests, t.failedAttempts, t.firstByteSeconds, t.requestSeconds, t.refusals, t.waitSeconds, t.predictedSeconds} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// recordWait records the predicted and the actual time in the queue.
func (t *Telemetry) recordWait(class admit.Class, predicted, waited time.Duration, gotSlot bool) {
	result := "slot"
	if !gotSlot {
		result = "none"
	}
	t.waitSeconds.WithLabelValues(class.String(), result).Observe(waited.Seconds())
	if predicted > 0 {
		t.predictedSeconds.WithLabelValues(class.String(), result).Observe(predicted.Seconds())
	}
}

// recordRefusal records a request that was refused for lack of a slot.
func (t *Telemetry) recordRefusal(priority unit.Priority, class admit.Class, reason string) {
	t.refusals.WithLabelValues(strconv.Itoa(int(priority)), class.String(), reason).Inc()
}

// requestEnded records the result of a request in the metrics and in the log.
func (t *Telemetry) requestEnded(x *exchange, err error, now time.Time) {
	kind, route := "none", ""
	if x.route != nil {
		kind, route = string(x.route.Kind), x.route.Name
	}
	c := code.Of(err)
	duration := now.Sub(x.request.Received)
	t.requests.WithLabelValues(kind, c.Spec().Name).Inc()
	if err == nil {
		t.firstByteSeconds.WithLabelValues(kind).Observe(x.timeToFirstByte.Seconds())
		t.requestSeconds.WithLabelValues(kind).Observe(duration.Seconds())
	}
	logEvent := x.Log.Info().Str("request", string(x.request.ID)).Str("route", route).
		Str("model", string(x.request.Model)).Int64("prompt", int64(x.request.PromptTokens)).
		Int64("work_ms", x.estimate.Work.Milliseconds()).Int64("expected_ms", x.expectedFirst.Milliseconds()).Str("endpoint", string(x.lastEndpoint)).Int64("inflight", int64(x.lastInFlight)).Int("attempts", x.attemptCount).
		Int64("waited_ms", x.queueTime.Milliseconds()).Int64("predicted_ms", x.predictedWait.Milliseconds()).Int64("first_ms", x.timeToFirstByte.Milliseconds()).
		Int64("pause_ms", x.longestPause.Milliseconds()).Int64("took_ms", duration.Milliseconds()).
		Str("code", c.String()).Str("outcome", string(code.OutcomeOf(err)))
	if x.refusal != "" {
		logEvent = logEvent.Str("refusal", x.refusal).Int("priority", int(x.priority())).Str("organisation", string(x.organisationName()))
	}
	if err != nil {
		logEvent = logEvent.Str("detail", code.Message(err))
	}
	if c == code.UnknownPath || c == code.UnknownOrganisation || c == code.NotReady {
		copyStatus := x.Copy.Status()
		logEvent = logEvent.Stringer("copy_revision", copyStatus.Revision).Dur("copy_age_ms", copyStatus.Age).
			Dur("copy_max_age_ms", copyStatus.MaxAge).Str("copy_from", string(copyStatus.Source))
	}
	logEvent.Msg("request-ended")
}
