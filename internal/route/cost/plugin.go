package cost

import "cuminbay/internal/kernel/plugin"

func init() {
	plugin.RegisterForAdapter("platform", plugin.Decision, "cost", newPlugin)
}

// component is the model as a plug-in.
type component struct {
	plugin.NoLifecycle
	*Model
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	c := &component{Model: New()}
	if err := c.Register(deps.Metrics); err != nil {
		return nil, err
	}
	deps.Provide(c)
	return c, nil
}
