package plugin

import (
	"context"
	"errors"
	"fmt"
)

// Kernel holds the plug-ins that New built.
type Kernel struct {
	deps         *Deps
	plugins      []namedPlugin
	startedCount int
}

type namedPlugin struct {
	name   string
	plugin Plugin
}

// New builds every registered plug-in of the adapter that the settings name. No
// plug-in runs before Start.
func New(deps *Deps) (*Kernel, error) {
	k := &Kernel{deps: deps}
	for _, r := range sortedRegistrations() {
		if r.adapter != deps.adapterName() {
			continue
		}
		name := r.kind.String() + "/" + r.name
		p, err := r.factory(deps)
		if err != nil {
			return nil, fmt.Errorf("plugin %s: %w", name, err)
		}
		if p != nil {
			k.plugins = append(k.plugins, namedPlugin{name, p})
		}
	}
	return k, nil
}

// Start starts the plug-ins in order. If a plug-in fails to start, Start stops
// the plug-ins that it has started.
func (k *Kernel) Start(ctx context.Context) error {
	for _, p := range k.plugins {
		if err := p.plugin.Start(ctx); err != nil {
			return errors.Join(fmt.Errorf("start %s: %w", p.name, err), k.Stop(ctx))
		}
		k.startedCount++
		k.deps.Log.Debug().Str("plugin", p.name).Msg("plugin-started")
	}
	return nil
}

// stopAnnouncer is a plug-in that announces a planned stop before any plug-in
// stops, for example to the other daemons or to the load balancer.
type stopAnnouncer interface {
	AnnounceStop()
}

// Stop announces the stop, then stops the started plug-ins in the reverse
// order. It returns the errors of all plug-ins.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	for _, p := range k.plugins[:k.startedCount] {
		if a, ok := p.plugin.(stopAnnouncer); ok {
			a.AnnounceStop()
		}
	}
	for ; k.startedCount > 0; k.startedCount-- {
		p := k.plugins[k.startedCount-1]
		if err := p.plugin.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop %s: %w", p.name, err))
		}
	}
	return errors.Join(errs...)
}
