package engine

import (
	"context"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

func init() {
	settings.Register("engine", defaults)
	plugin.Register(plugin.Endpoint, "engine", newPlugin)
}

// service runs the client as a plug-in.
type service struct {
	plugin.NoLifecycle
	*Client
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := service{Client: New(*d.Settings.Section("engine").(*Settings), d.Clock)}
	d.Provide(s.Client)
	return s, nil
}

// Stop closes the idle connections.
func (s service) Stop(context.Context) error {
	s.stream.CloseIdleConnections()
	s.control.CloseIdleConnections()
	return nil
}
