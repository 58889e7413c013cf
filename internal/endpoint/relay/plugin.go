package relay

import (
	"context"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

func init() {
	settings.Register("relay", defaults)
	plugin.Register(plugin.Endpoint, "relay", newPlugin)
}

// service runs the client as a plug-in.
type service struct {
	plugin.NoLifecycle
	*Client
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := service{Client: New(Options{
		Settings: *d.Settings.Section("relay").(*Settings), Clock: d.Clock, Self: d.Settings.Daemon.Instance,
	})}
	d.Provide(s.Client)
	return s, nil
}

// Stop closes the idle connections.
func (s service) Stop(context.Context) error {
	s.stream.CloseIdleConnections()
	return nil
}
