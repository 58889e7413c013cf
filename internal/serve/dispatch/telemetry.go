package dispatch

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
)

// Telemetry has the metrics of requests. Counters are resolved at the start,
// as a look-up by label takes a lock.
type Telemetry struct {
	requests   map[result]prometheus.Counter
	attempts   map[code.Code]prometheus.Counter
	firstToken prometheus.Histogram
	betweens   prometheus.Histogram
	duration   prometheus.Histogram
	tokens     prometheus.Counter
}

// result is what a request ended with. An error may state another outcome than
// its code's usual one.
type result struct {
	code    code.Code
	outcome code.Outcome
}

// NewTelemetry registers the metrics.
func NewTelemetry(registry prometheus.Registerer) *Telemetry {
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminbay_requests_total", Help: "Requests ended, by result code and outcome.",
	}, []string{"code", "outcome"})
	attempts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminbay_attempts_failed_total", Help: "Failed attempts at endpoints, by result code.",
	}, []string{"code"})
	t := &Telemetry{
		requests: make(map[result]prometheus.Counter),
		attempts: make(map[code.Code]prometheus.Counter),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cuminbay_first_token_seconds", Help: "Time from receipt of a request to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 22),
		}),
		betweens: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cuminbay_between_tokens_seconds", Help: "Time between two pieces of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 18),
		}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
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
			t.requests[result{s.Code, o}] = requests.WithLabelValues(number, string(o))
		}
		t.attempts[s.Code] = attempts.WithLabelValues(number)
	}
	registry.MustRegister(requests, attempts, t.firstToken, t.betweens, t.duration, t.tokens)
	return t
}

func (t *Telemetry) finished(r *work.Request, err error, now time.Time) {
	t.requests[result{code.Of(err), code.OutcomeOf(err)}].Inc()
	t.duration.Observe(now.Sub(r.Received).Seconds())
}

func (t *Telemetry) answered(r *work.Request, p *progress) {
	if r.Operation == work.ServiceCall || p.last.IsZero() {
		return
	}
	t.tokens.Add(float64(p.tokens))
	t.firstToken.Observe(p.begun.Add(p.first).Sub(r.Received).Seconds())
	for _, gap := range p.gaps {
		t.betweens.Observe(gap.Seconds())
	}
}

func (t *Telemetry) attemptFailed(err error) {
	t.attempts[code.Of(err)].Inc()
}
