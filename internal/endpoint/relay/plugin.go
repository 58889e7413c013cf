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

// component is the plug-in that provides the client.
type component struct {
	plugin.NoLifecycle
	*Client
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := component{Client: New(Options{
		Settings: *deps.Settings.Section("relay").(*Settings), Clock: deps.Clock, Self: deps.Settings.Daemon.Instance,
	})}
	deps.Provide(s.Client)
	return s, nil
}

// Stop closes the idle connections.
func (s component) Stop(context.Context) error {
	s.pool.CloseIdleConnections()
	return nil
}
