package dispatch

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
)

// Telemetry has the metrics of requests. It looks up all counters when it is
// created, as a lookup by labels takes a lock.
type Telemetry struct {
	requests             map[resultLabels]prometheus.Counter
	failedAttempts       map[code.Code]prometheus.Counter
	firstTokenSeconds    prometheus.Histogram
	tokenIntervalSeconds prometheus.Histogram
	requestSeconds       prometheus.Histogram
	tokens               prometheus.Counter
}

// resultLabels are the labels for the result of a request. An error may carry an
// outcome that differs from the default outcome of its code.
type resultLabels struct {
	code    code.Code
	outcome code.Outcome
}

// NewTelemetry returns the metrics after registering them.
func NewTelemetry(registry prometheus.Registerer) *Telemetry {
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminbay_requests_total", Help: "Requests ended, by result code and outcome.",
	}, []string{"code", "outcome"})
	attempts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminbay_attempts_failed_total", Help: "Failed attempts at endpoints, by result code.",
	}, []string{"code"})
	t := &Telemetry{
		requests:       make(map[resultLabels]prometheus.Counter),
		failedAttempts: make(map[code.Code]prometheus.Counter),
		firstTokenSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cuminbay_first_token_seconds", Help: "Time from receipt of a request to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 22),
		}),
		tokenIntervalSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cuminbay_between_tokens_seconds", Help: "Time between two pieces of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 18),
		}),
		requestSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cuminbay_request_seconds", Help: "Time from receipt of a request to its end.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 20),
		}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminbay_tokens_total", Help: "Tokens generated and passed on.",
		}),
	}
	for _, s := range code.All() {
		number := strconv.Itoa(int(s.Code))
		for _, o := range []code.Outcome{code.NotRun, code.Ran, code.Unknown} {
			t.requests[resultLabels{s.Code, o}] = requests.WithLabelValues(number, string(o))
		}
		t.failedAttempts[s.Code] = attempts.WithLabelValues(number)
	}
	registry.MustRegister(requests, attempts, t.firstTokenSeconds, t.tokenIntervalSeconds, t.requestSeconds, t.tokens)
	return t
}

func (t *Telemetry) requestEnded(r *work.Request, err error, now time.Time) {
	t.requests[resultLabels{code.Of(err), code.OutcomeOf(err)}].Inc()
	t.requestSeconds.Observe(now.Sub(r.Received).Seconds())
}

func (t *Telemetry) requestAnswered(r *work.Request, a *attemptSink) {
	if r.Operation == work.ServiceCall || a.lastChunkAt.IsZero() {
		return
	}
	t.tokens.Add(float64(a.sentTokens))
	t.firstTokenSeconds.Observe(a.attemptStart.Add(a.timeToFirstChunk).Sub(r.Received).Seconds())
	for _, gap := range a.chunkGaps {
		t.tokenIntervalSeconds.Observe(gap.Seconds())
	}
}

func (t *Telemetry) attemptFailed(err error) {
	t.failedAttempts[code.Of(err)].Inc()
}
