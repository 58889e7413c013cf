package relay

import (
	"context"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

func init() {
	settings.Register("relay", defaultSettings)
	plugin.Register(plugin.Endpoint, "relay", newPlugin)
}

// component is the plug-in that provides the client.
type component struct {
	plugin.NoLifecycle
	*Client
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	c := component{Client: New(Options{
		Settings: *deps.Settings.Section("relay").(*Settings), Clock: deps.Clock, Self: deps.Settings.Daemon.Instance,
	})}
	deps.Provide(c.Client)
	return c, nil
}

// Stop closes the idle connections.
func (c component) Stop(context.Context) error {
	c.pool.CloseIdleConnections()
	return nil
}
