package engine

import (
	"context"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

func init() {
	settings.Register("engine", defaultSettings)
	plugin.Register(plugin.Endpoint, "engine", newPlugin)
}

// component is the plug-in that provides the client.
type component struct {
	plugin.NoLifecycle
	*Client
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	c := component{Client: New(*deps.Settings.Section("engine").(*Settings), deps.Clock)}
	deps.Provide(c.Client)
	return c, nil
}

// Stop closes the idle connections.
func (c component) Stop(context.Context) error {
	c.requestPool.CloseIdleConnections()
	c.controlPool.CloseIdleConnections()
	return nil
}
