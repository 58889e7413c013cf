// Package plugin is the kernel of the daemon. Plug-ins register themselves in
// their package's init; the kernel builds, connects, starts and stops the
// plug-ins.
package plugin

import (
	"context"
	"fmt"
	"sort"
	"sync"
)

// Kind is the group of a plug-in. The kernel builds and starts plug-ins in the
// order of the kinds' constants, and stops them in the reverse order.
type Kind int

// The kinds. Plug-ins that accept requests come last, so that they stop first.
const (
	Platform Kind = iota
	Roster
	Decision
	Policy
	Endpoint
	Peer
	Controller
	Caller
)

var kindNames = map[Kind]string{
	Platform:   "platform",
	Roster:     "roster",
	Decision:   "decision",
	Policy:     "policy",
	Endpoint:   "endpoint",
	Peer:       "peer",
	Controller: "duty",
	Caller:     "caller",
}

// String returns the name of the kind.
func (k Kind) String() string {
	return kindNames[k]
}

// Plugin is a part of the daemon that the kernel starts and stops.
type Plugin interface {
	// Start resolves the values that the plug-in needs and starts its work. It
	// must not block. Background work ends when Stop is called.
	Start(ctx context.Context) error
	// Stop ends the work of the plug-in before the context ends.
	Stop(ctx context.Context) error
}

// NoLifecycle implements Start and Stop for a plug-in that has nothing to start
// or stop and only provides values. Plug-ins embed the type.
type NoLifecycle struct{}

// Start does nothing.
func (NoLifecycle) Start(context.Context) error { return nil }

// Stop does nothing.
func (NoLifecycle) Stop(context.Context) error { return nil }

// Factory builds a plug-in and provides its values to the other plug-ins. A nil
// plug-in with a nil error means that the settings disable the plug-in.
type Factory func(deps *Deps) (Plugin, error)

type registration struct {
	// adapter is the name of the adapter that the plug-in belongs to. It is
	// empty for the product's own interface.
	adapter string
	kind    Kind
	name    string
	factory Factory
}

// registry holds the plug-ins that the imported packages registered from init.
var registry struct {
	mu            sync.Mutex
	registrations []registration
}

// Register adds a plug-in. The plug-in's package calls Register from init.
// Register panics on a duplicate name, since a duplicate is a programming
// error.
func Register(kind Kind, name string, factory Factory) {
	RegisterForAdapter("", kind, name, factory)
}

// RegisterForAdapter registers a plug-in that the kernel builds only if the
// settings name the adapter.
func RegisterForAdapter(adapter string, kind Kind, name string, factory Factory) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	for _, r := range registry.registrations {
		if r.kind == kind && r.name == name {
			panic(fmt.Sprintf("plugin: %s %q is registered twice", kind, name))
		}
	}
	registry.registrations = append(registry.registrations, registration{adapter, kind, name, factory})
}

// sortedRegistrations returns the registrations in the order in which the kernel
// builds the plug-ins.
func sortedRegistrations() []registration {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	sorted := append([]registration(nil), registry.registrations...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].kind != sorted[j].kind {
			return sorted[i].kind < sorted[j].kind
		}
		return sorted[i].name < sorted[j].name
	})
	return sorted
}

// Names returns the names of the registered plug-ins in the form kind/name.
func Names() []string {
	var names []string
	for _, r := range sortedRegistrations() {
		names = append(names, r.kind.String()+"/"+r.name)
	}
	return names
}
