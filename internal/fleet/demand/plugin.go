package demand

import (
	"context"

	"cuminbay/internal/kernel/plugin"
)

func init() {
	plugin.RegisterForAdapter("platform", plugin.Decision, "demand", newPlugin)
}

// samplesPerObservation is the number of samples for each update of the fleet's demand.
const samplesPerObservation = 4

// component is the meter as a plug-in.
type component struct {
	plugin.BackgroundTasks
	*Meter
	deps *plugin.Deps
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	telemetry, err := NewTelemetry(deps.Metrics)
	if err != nil {
		return nil, err
	}
	c := &component{deps: deps, Meter: New(Options{
		Clock: deps.Clock, Log: deps.Log, Self: deps.Settings.Daemon.Instance, DataCentre: deps.Settings.Daemon.DataCentre, Telemetry: telemetry,
	})}
	// The daemons' datagrams may arrive before this plug-in has started.
	if err := deps.Resolve(&c.Catalog); err != nil {
		return nil, err
	}
	deps.Provide(c.Meter)
	return c, nil
}

// Start implements plugin.Plugin. It begins to sample the counters.
func (c *component) Start(context.Context) error {
	if err := c.deps.Resolve(&c.Daemons); err != nil {
		return err
	}
	samples := 0
	c.Every(c.Clock, SampleInterval, func(context.Context) {
		c.Sample()
		if samples++; samples%samplesPerObservation == 0 {
			c.Observe()
		}
	})
	return nil
}
