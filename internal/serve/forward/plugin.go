package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/balance"
	"cuminbay/internal/route/cost"
	"cuminbay/internal/route/ratelimit"
	"cuminbay/internal/serve/poison"
)

const section = "forward"

// Settings are the settings in the section "forward".
type Settings struct {
	// Ratio is the number of retries allowed for each request in Window.
	Ratio float64 `json:"ratio" validate:"min=0"`
	// Slack is the number of retries that all daemons together may send in Window in addition to Ratio.
	Slack float64 `json:"slack" validate:"min=0"`
	// Window is the time over which requests and retries are counted.
	Window settings.Duration `json:"window" validate:"duration"`
	// Away is the cost of an endpoint in another data centre, as a share of its slots.
	Away float64 `json:"away" validate:"min=0"`
	// Fill is the share of a replica's slots that requests may use as long as they can meet their objective. Late requests and, beside a higher priority that is short of slots, those of a lower priority may use less.
	Fill float64 `json:"fill" validate:"gt=0"`
	// Choice is how a replica is chosen where the service publishes engine times. With `cost` it is that with the lowest expected loss for callers: requests that miss their objective, here and at the replica, by the expected time to the first event. With `count`, and where no times are published, it is that with the fewest requests in flight for its slots.
	Choice balance.Choice `json:"choice" validate:"oneof=cost count"`
	// Queue bounds the requests queued at a plain server, as a share of its slots.
	Queue float64 `json:"queue" validate:"min=0"`
	// Cold is the share of a cold server's request rate that all daemons together use.
	Cold float64 `json:"cold" validate:"min=0,max=1"`
	// Suspicion is the time for which the crashes of a request are kept after the last one. They are crashes of servers during equal requests, or during requests with the same part of the prompt.
	Suspicion settings.Duration `json:"suspicion" validate:"duration"`
	// Suspects bounds the number of crash sets. There is one for each suspected request and each daemon that observed its crashes. The same number bounds the suspected parts of prompts.
	Suspects int `json:"suspects" validate:"min=1"`
}

func init() {
	settings.Register(section, func() any {
		return &Settings{
			Ratio: 0.2, Slack: 100, Window: settings.DurationOf(10 * time.Second), Away: 0.3, Fill: 0.95, Choice: balance.ByCost, Queue: 1, Cold: 0.9,
			Suspicion: settings.DurationOf(time.Minute), Suspects: 1024,
		}
	})
	plugin.RegisterForAdapter("platform", plugin.Decision, "forward", newPlugin)
}

// crashThreshold is the number of crashes at which a request, or a part of its prompt, is
// refused. A failure of a whole fabric domain may hit a harmless request twice, as its
// caller repeats the request.
const crashThreshold = 3

// daemonList has the number of running daemons, and the position of this one among them.
type daemonList interface {
	DaemonCount() int
	DaemonPosition() (position, count int)
}

// fleetSizer returns the number of registered daemons without a lock.
type fleetSizer interface {
	FleetSize() int
}

// offeredLoad has the load that callers offer to all daemons.
type offeredLoad interface {
	Offered(service ident.Service, model ident.Model) (unit.Slots, bool)
}

// timeModel has the times of models' replicas.
type timeModel interface {
	Times(service ident.Service, engine *cluster.Engine, model *cluster.Model) cost.Times
}

// component is the forwarder as a plug-in.
type component struct {
	plugin.BackgroundTasks
	*Forwarder
	blocklist          *poison.Blocklist
	deps               *plugin.Deps
	settings           *Settings
	limits             *ratelimit.Limits
	hasReceivedRequest atomic.Bool
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	telemetry, err := NewTelemetry(deps.Metrics)
	if err != nil {
		return nil, err
	}
	c := &component{deps: deps, settings: deps.Settings.Section(section).(*Settings)}
	lifetime := c.settings.Suspicion.Duration
	suspectsChanged := make(chan struct{}, 1)
	detector := poison.New(poison.Options{
		Clock: deps.Clock, Self: deps.Settings.Daemon.Instance, Lifetime: lifetime, Limit: c.settings.Suspects,
		Threshold: crashThreshold, Changed: suspectsChanged,
	})
	parts := poison.NewPartDetector(poison.PartOptions{
		Clock: deps.Clock, Threshold: crashThreshold, Lifetime: lifetime, Limit: c.settings.Suspects, Changed: suspectsChanged,
	})
	c.blocklist = poison.NewBlocklist(poison.BlocklistOptions{
		Clock: deps.Clock, Log: deps.Log, KeyPrefix: "cuminbay/poison/", Requests: detector, Parts: parts, Lifetime: lifetime, Changed: suspectsChanged,
	})
	c.limits = ratelimit.New(ratelimit.Options{Clock: deps.Clock, Log: deps.Log, Self: deps.Settings.Daemon.Instance})
	if err := c.limits.Register(deps.Metrics); err != nil {
		return nil, err
	}
	c.Forwarder = New(Options{Clock: deps.Clock, Log: deps.Log, Self: deps.Settings.Daemon.Instance, Telemetry: telemetry, Poison: detector, Parts: parts, Limits: c.limits, Replies: budget.OrUnlimited(deps.Budget, deps.Clock).ForReplies()})
	if err := deps.Metrics.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_admission_waiting", Help: "Requests that wait for a free slot of an endpoint.",
	}, func() float64 { return float64(c.queue.Length()) })); err != nil {
		return nil, err
	}
	deps.Provide(c)
	deps.Provide(detector)
	deps.Provide(parts)
	deps.Provide(c.blocklist)
	deps.Provide(c.limits)
	return c, nil
}

// Start implements plugin.Plugin. It connects the forwarder to other plug-ins.
func (c *component) Start(context.Context) error {
	var daemons daemonList
	var fleet fleetSizer
	var times timeModel
	var offered offeredLoad
	if err := c.deps.Resolve(&c.Catalog, &c.Sender, &c.Costs, &c.Demand, &c.Links, &c.Relays, &c.Observer, &c.Copy, &daemons, &fleet, &times, &offered, &c.limits.Daemons, &c.limits.Catalog, &c.blocklist.Store, &c.blocklist.Readers); err != nil {
		return err
	}
	if err := c.deps.ResolveAll(&c.Contentions); err != nil {
		return err
	}
	s := c.settings
	balancer := balance.New(balance.Options{
		DataCentre: c.deps.Settings.Daemon.DataCentre, Daemons: daemons, Fleet: fleet, Limits: c.limits, Times: times, Demand: offered, Choice: s.Choice, RemotePenalty: s.Away, PlainQueueRatio: s.Queue, ColdRateFraction: s.Cold,
	})
	c.Picker, c.Explainer = balancer, balancer
	c.Rules = admit.Rules{Fill: s.Fill}
	c.RetryBudget = balance.NewRetryBudget(balance.RetryBudgetOptions{
		Clock: c.Clock, Daemons: daemons, Ratio: s.Ratio, BaseRetries: s.Slack, Window: s.Window.Duration,
	})
	c.Go(c.blocklist.Run)
	return balancer.Register(c.deps.Metrics)
}

// Forward forwards the request, as Forwarder.Forward does, and records that a request
// has arrived.
func (c *component) Forward(ctx context.Context, r *proxy.Request, s Sink) error {
	if !c.hasReceivedRequest.Load() {
		c.hasReceivedRequest.Store(true)
	}
	return c.Forwarder.Forward(ctx, r, s)
}

// HasTraffic reports whether any request has arrived since the start of the daemon.
func (c *component) HasTraffic() bool {
	return c.hasReceivedRequest.Load()
}
