package catalog

import (
	"context"

	"cuminbay/internal/kernel/plugin"
)

func init() {
	plugin.RegisterFor("platform", plugin.Decision, "catalog", newPlugin)
}

// component is the plug-in. It has no background work.
type component struct{}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	d.Provide(New(d.Clock))
	return component{}, nil
}

// Start does nothing.
func (component) Start(context.Context) error { return nil }

// Stop does nothing.
func (component) Stop(context.Context) error { return nil }
