package catalog

import "cuminbay/internal/kernel/plugin"

func init() {
	plugin.RegisterForAdapter("platform", plugin.Decision, "catalog", newPlugin)
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	deps.Provide(New(deps.Clock))
	return plugin.NoLifecycle{}, nil
}
