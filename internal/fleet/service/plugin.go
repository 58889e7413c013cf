package service

import (
	"context"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/route/table"
)

// duty runs the checks as a plug-in.
type duty struct {
	plugin.BackgroundTasks
	*Instances
	deps *plugin.Deps
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := &duty{deps: d, Instances: New(Options{
		Settings:   *d.Settings.Section("instances").(*Settings),
		DataCentre: d.Settings.Daemon.DataCentre,
		Pool:       d.Pool,
	})}
	d.Provide(s.Instances)
	return s, nil
}

// Start begins to check.
func (s *duty) Start(context.Context) error {
	if err := s.deps.Resolve(&s.Roster, &s.Records, &s.Drains); err != nil {
		return err
	}
	var checkers []checker
	if err := s.deps.ResolveAll(&checkers); err != nil {
		return err
	}
	for _, c := range checkers {
		if c.Protocol() == table.Service {
			s.Checker = c
		}
	}
	s.Every(s.deps.Clock, s.Settings.Interval.Duration, s.Refresh)
	return nil
}
