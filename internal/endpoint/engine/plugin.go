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

// component runs the client as a plug-in.
type component struct {
	plugin.NoLifecycle
	*Client
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := component{Client: New(*d.Settings.Section("engine").(*Settings), d.Clock)}
	d.Provide(s.Client)
	return s, nil
}

// Stop closes the idle connections.
func (s component) Stop(context.Context) error {
	s.requestPool.CloseIdleConnections()
	s.controlPool.CloseIdleConnections()
	return nil
}
