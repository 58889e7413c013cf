package forward

import (
	"context"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/balance"
	"cuminbay/internal/serve/poison"
)

const section = "forward"

// Settings are the section "forward".
type Settings struct {
	// Ratio is the number of repeats for each request, and Slack the number
	// above that, from all daemons together in Window.
	Ratio float64 `json:"ratio" validate:"min=0"`
	// Slack is the number of repeats that don't depend on the requests.
	Slack float64 `json:"slack" validate:"min=0"`
	// Window is the time in which repeats are counted.
	Window settings.Duration `json:"window" validate:"duration"`
	// Away is what an endpoint of another data centre costs, as a share of its
	// slots.
	Away float64 `json:"away" validate:"min=0"`
	// Fill is the part of a replica's slots that is used.
	Fill float64 `json:"fill" validate:"gt=0"`
	// Queue is the share of a plain server's slots that may wait there.
	Queue float64 `json:"queue" validate:"min=0"`
	// Cold is the part of a cold server's rate that is used.
	Cold float64 `json:"cold" validate:"min=0,max=1"`
	// Suspicion is the time that a request is remembered that crashed servers.
	Suspicion settings.Duration `json:"suspicion" validate:"duration"`
	// Suspects bounds the requests that are remembered so.
	Suspects int `json:"suspects" validate:"min=1"`
}

func init() {
	settings.Register(section, func() any {
		return &Settings{
			Ratio: 0.2, Slack: 100, Window: settings.DurationOf(10 * time.Second), Away: 0.3, Fill: 0.95, Queue: 1, Cold: 0.9,
			Suspicion: settings.DurationOf(time.Minute), Suspects: 1024,
		}
	})
	plugin.RegisterForAdapter("platform", plugin.Decision, "forward", newPlugin)
}

// crashThreshold is the number of crashes at which a request is refused. A whole fabric
// domain may go down twice while a caller repeats an innocent one.
const crashThreshold = 3

// daemonCounter tells how many daemons there are.
type daemonCounter interface {
	DaemonCount() int
}

// component is the plug-in.
type component struct {
	plugin.NoLifecycle
	*Forwarder
	deps       *plugin.Deps
	settings   *Settings
	hasTraffic atomic.Bool
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	telemetry, err := NewTelemetry(d.Metrics)
	if err != nil {
		return nil, err
	}
	c := &component{deps: d, settings: d.Settings.Section(section).(*Settings)}
	suspicions := poison.New(poison.Options{
		Clock: d.Clock, Self: d.Settings.Daemon.Instance, Lifetime: c.settings.Suspicion.Duration, Limit: c.settings.Suspects,
		Threshold: crashThreshold,
	})
	c.Forwarder = New(Options{Clock: d.Clock, Log: d.Log, Telemetry: telemetry, Poison: suspicions})
	d.Provide(c)
	d.Provide(suspicions)
	return c, nil
}

// Start connects the parts.
func (c *component) Start(context.Context) error {
	var daemons daemonCounter
	if err := c.deps.Resolve(&c.Catalog, &c.Sender, &c.Observer, &daemons); err != nil {
		return err
	}
	s := c.settings
	c.Picker = balance.New(balance.Options{
		DataCentre: c.deps.Settings.Daemon.DataCentre, Fleet: daemons, RemotePenalty: s.Away, MaxUtilisation: s.Fill, PlainQueueRatio: s.Queue, ColdRateFraction: s.Cold,
	})
	c.Budget = balance.NewRetryBudget(balance.RetryBudgetOptions{
		Clock: c.Clock, Fleet: daemons, Ratio: s.Ratio, BaseRetries: s.Slack, Window: s.Window.Duration,
	})
	return nil
}

// Forward answers the request.
func (c *component) Forward(ctx context.Context, r *proxy.Request, s Sink) error {
	if !c.hasTraffic.Load() {
		c.hasTraffic.Store(true)
	}
	return c.Forwarder.Forward(ctx, r, s)
}

// HasTraffic reports whether any request has come.
func (c *component) HasTraffic() bool {
	return c.hasTraffic.Load()
}
