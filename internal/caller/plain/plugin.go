package plain

import (
	"context"

	"cuminbay/internal/kernel/plugin"
)

// mounted is the handler as a plug-in. It has no listener of its own.
type mounted struct {
	*Handler
	deps *plugin.Deps
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	m := mounted{New(Options{Clock: d.Clock}), d}
	d.Provide(m.Handler)
	return m, nil
}

// Start connects the handler to the other plug-ins.
func (m mounted) Start(context.Context) error {
	for _, need := range []any{&m.Records, &m.Dispatcher} {
		if err := m.deps.Need(need); err != nil {
			return err
		}
	}
	return nil
}

// Stop does nothing: the listener that mounts the handler is stopped instead.
func (mounted) Stop(context.Context) error {
	return nil
}
