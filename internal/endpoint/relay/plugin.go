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

// component runs the client as a plug-in.
type component struct {
	plugin.NoLifecycle
	*Client
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := component{Client: New(Options{
		Settings: *d.Settings.Section("relay").(*Settings), Clock: d.Clock, Self: d.Settings.Daemon.Instance,
	})}
	d.Provide(s.Client)
	return s, nil
}

// Stop closes the idle connections.
func (s component) Stop(context.Context) error {
	s.pool.CloseIdleConnections()
	return nil
}
