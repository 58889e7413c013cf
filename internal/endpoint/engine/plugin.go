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

// component is the plug-in that provides the client.
type component struct {
	plugin.NoLifecycle
	*Client
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := component{Client: New(*deps.Settings.Section("engine").(*Settings), deps.Clock)}
	deps.Provide(s.Client)
	return s, nil
}

// Stop closes the idle connections.
func (s component) Stop(context.Context) error {
	s.requestPool.CloseIdleConnections()
	s.controlPool.CloseIdleConnections()
	return nil
}
