package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/kernel/budget"
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

// Settings are the settings in the section "dispatch".
type Settings struct {
	// QueueLimit bounds the number of requests that wait for a free slot.
	QueueLimit int `json:"queueLimit" validate:"min=0,max=100000"`
	// QueueWait bounds the time for which a request waits for a free slot.
	QueueWait settings.Duration `json:"queueWait" validate:"duration"`
	// Recheck is the interval at which a waiting request checks for free slots without a wake-up.
	Recheck settings.Duration `json:"recheck" validate:"duration"`
	// RetryAfter is the Retry-After time that refused callers receive.
	RetryAfter settings.Duration `json:"retryAfter" validate:"duration"`
	// Avoid is the time for which an endpoint gets no requests after it was unreachable or failed a health check.
	Avoid settings.Duration `json:"avoid" validate:"duration"`
	// RelayAvoid is the time for which a daemon that refused a relayed request gets no further ones. It is about the time between two summaries of a data centre.
	RelayAvoid settings.Duration `json:"relayAvoid" validate:"duration"`
	// HealthTimeout bounds the health check of an endpoint after an answer was cut off or stalled.
	HealthTimeout settings.Duration `json:"healthTimeout" validate:"duration"`
}

// component is the dispatcher as a plug-in.
type component struct {
	*Dispatcher
	deps *plugin.Deps
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	c := &component{deps: deps, Dispatcher: New(Options{
		Clock:     deps.Clock,
		Log:       deps.Log,
		Senders:   make(map[table.Protocol]sender),
		Telemetry: NewTelemetry(deps.Metrics),
		Replies:   budget.OrUnlimited(deps.Budget, deps.Clock).ForReplies(),
		Settings:  *deps.Settings.Section("dispatch").(*Settings),
	})}
	deps.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_requests_in_flight", Help: "Requests admitted and not yet ended.",
	}, func() float64 { return float64(c.InFlight()) }))
	deps.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_requests_queued", Help: "Requests that wait for a place at an endpoint.",
	}, func() float64 { return float64(c.queue.Length()) }))
	deps.Provide(c.Dispatcher)
	return c, nil
}

// Start implements plugin.Plugin. It connects the dispatcher to the other plug-ins.
func (c *component) Start(context.Context) error {
	if err := c.deps.Resolve(&c.Tables, &c.Records, &c.Policy, &c.Claims, &c.Poison); err != nil {
		return err
	}
	var senders []sender
	if err := c.deps.ResolveAll(&senders); err != nil {
		return err
	}
	for _, s := range senders {
		c.Senders[s.Protocol()] = s
	}
	return nil
}

// Stop implements plugin.Plugin. It waits until no request is in flight. Front ends
// are stopped earlier and have already called Drain.
func (c *component) Stop(ctx context.Context) error {
	if inFlight := c.Drain(ctx); inFlight > 0 {
		c.deps.Timeline.Record("drain-limit-reached", "dispatch", "inFlight", strconv.FormatInt(int64(inFlight), 10))
	}
	return nil
}
