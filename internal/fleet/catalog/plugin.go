package catalog

import "cuminbay/internal/kernel/plugin"

func init() {
	plugin.RegisterForAdapter("platform", plugin.Decision, "catalog", newPlugin)
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	d.Provide(New(d.Clock))
	return plugin.NoLifecycle{}, nil
}
