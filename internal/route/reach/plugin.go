package reach

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/kernel/plugin"
)

func init() {
	plugin.RegisterForAdapter("platform", plugin.Policy, "reach", newPlugin)
}

// component is the Monitor as a plug-in.
type component struct {
	plugin.BackgroundTasks
	*Monitor
	deps *plugin.Deps
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	c := &component{deps: deps, Monitor: New(Options{Clock: deps.Clock, Log: deps.Log, DataCentre: deps.Settings.Daemon.DataCentre})}
	deps.Provide(c)
	return c, deps.Metrics.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_reach_cut_off", Help: "1 if this daemon can connect to no server.",
	}, func() float64 {
		if c.CutOff() {
			return 1
		}
		return 0
	}))
}

// Start begins to check endpoints that fail.
func (c *component) Start(context.Context) error {
	if err := c.deps.Resolve(&c.Connector, &c.Catalog); err != nil {
		return err
	}
	c.Go(c.Run)
	return nil
}
