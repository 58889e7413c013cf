package service

import (
	"context"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

func init() {
	settings.Register("service", defaults)
	plugin.Register(plugin.Endpoint, "service", newPlugin)
}

// service runs the client as a plug-in.
type service struct {
	*Client
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := service{New(*d.Settings.Section("service").(*Settings), d.Clock)}
	d.Provide(s.Client)
	return s, nil
}

// Start does nothing: connections are opened when they are needed.
func (service) Start(context.Context) error {
	return nil
}

// Stop closes the idle connections.
func (s service) Stop(context.Context) error {
	s.http.CloseIdleConnections()
	return nil
}
