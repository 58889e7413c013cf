package service

import (
	"context"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/route/table"
)

// controller refreshes the Instances as a plug-in.
type controller struct {
	plugin.BackgroundTasks
	*Instances
	deps *plugin.Deps
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	c := &controller{deps: deps, Instances: New(Options{
		Settings:   *deps.Settings.Section("instances").(*Settings),
		DataCentre: deps.Settings.Daemon.DataCentre,
		Pool:       deps.Pool,
	})}
	deps.Provide(c.Instances)
	return c, nil
}

// Start begins to check the instances.
func (c *controller) Start(context.Context) error {
	if err := c.deps.Resolve(&c.Roster, &c.Records, &c.Drains); err != nil {
		return err
	}
	var checkers []healthChecker
	if err := c.deps.ResolveAll(&checkers); err != nil {
		return err
	}
	for _, checker := range checkers {
		if checker.Protocol() == table.Service {
			c.Checker = checker
		}
	}
	c.Every(c.deps.Clock, c.Settings.Interval.Duration, c.Refresh)
	return nil
}
