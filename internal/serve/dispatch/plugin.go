package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/table"
)

func init() {
	settings.Register("dispatch", func() any {
		return &Settings{
			QueueLimit:    1024,
			QueueWait:     settings.DurationOf(2 * time.Second),
			Recheck:       settings.DurationOf(100 * time.Millisecond),
			RetryAfter:    settings.DurationOf(time.Second),
			Avoid:         settings.DurationOf(2 * time.Second),
			RelayAvoid:    settings.DurationOf(500 * time.Millisecond),
			HealthTimeout: settings.DurationOf(500 * time.Millisecond),
		}
	})
	plugin.Register(plugin.Endpoint, "dispatch", newPlugin)
}

// Settings are the settings of the dispatch plug-in.
type Settings struct {
	// QueueLimit bounds the requests that wait for a place.
	QueueLimit int `json:"queueLimit" validate:"min=0,max=100000"`
	// QueueWait bounds the time that a request waits for a place.
	QueueWait settings.Duration `json:"queueWait" validate:"duration"`
	// Recheck is the time after which a waiting request looks by itself.
	Recheck settings.Duration `json:"recheck" validate:"duration"`
	// RetryAfter is what refused callers are told to wait.
	RetryAfter settings.Duration `json:"retryAfter" validate:"duration"`
	// Avoid is the time for which an endpoint that failed gets nothing.
	Avoid settings.Duration `json:"avoid" validate:"duration"`
	// RelayAvoid is the time for which a daemon that refused a relayed
	// request gets none, about that between two summaries.
	RelayAvoid settings.Duration `json:"relayAvoid" validate:"duration"`
	// HealthTimeout bounds the check of an endpoint after a cut-off answer.
	HealthTimeout settings.Duration `json:"healthTimeout" validate:"duration"`
}

// component runs the dispatcher as a plug-in.
type component struct {
	*Dispatcher
	deps *plugin.Deps
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := &component{deps: d, Dispatcher: New(Options{
		Clock:     d.Clock,
		Log:       d.Log,
		Senders:   make(map[table.Protocol]sender),
		Telemetry: NewTelemetry(d.Metrics),
		Settings:  *d.Settings.Section("dispatch").(*Settings),
	})}
	d.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_requests_in_flight", Help: "Requests admitted and not yet ended.",
	}, func() float64 { return float64(s.InFlight()) }))
	d.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_requests_queued", Help: "Requests that wait for a place at an endpoint.",
	}, func() float64 { return float64(s.queue.Length()) }))
	d.Provide(s.Dispatcher)
	return s, nil
}

// Start connects the dispatcher to the other plug-ins.
func (s *component) Start(context.Context) error {
	if err := s.deps.Resolve(&s.Tables, &s.Records, &s.Policy, &s.Claims, &s.Poison); err != nil {
		return err
	}
	var senders []sender
	if err := s.deps.ResolveAll(&senders); err != nil {
		return err
	}
	for _, sd := range senders {
		s.Senders[sd.Protocol()] = sd
	}
	return nil
}

// Stop waits until no request is in flight. Front ends, which are stopped
// before, have already called Drain.
func (s *component) Stop(ctx context.Context) error {
	if left := s.Drain(ctx); left > 0 {
		s.deps.Timeline.Record("drain-limit-reached", "dispatch", "inFlight", strconv.FormatInt(int64(left), 10))
	}
	return nil
}
