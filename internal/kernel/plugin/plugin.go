// Package plugin is the kernel: plug-ins register themselves here, and the
// kernel builds, connects, starts and stops them.
package plugin

import (
	"context"
	"fmt"
	"sort"
	"sync"
)

// Kind groups plug-ins. Plug-ins are built and started kind by kind in the
// order of the constants and stopped in the reverse order.
type Kind int

// The kinds. What takes in work comes last, so that it stops first.
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

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[k]
}

// Plugin is a part of the daemon with a life of its own.
type Plugin interface {
	// Start asks for what the plug-in needs and begins its work. It must
	// not block. Work in the background ends when Stop is called.
	Start(ctx context.Context) error
	// Stop ends the plug-in's work in order, within the context's time.
	Stop(ctx context.Context) error
}

// NoLifecycle is a plug-in without work of its own: others call what it provides.
// Plug-ins embed it to get Start and Stop.
type NoLifecycle struct{}

// Start does nothing.
func (NoLifecycle) Start(context.Context) error { return nil }

// Stop does nothing.
func (NoLifecycle) Stop(context.Context) error { return nil }

// Factory builds a plug-in and provides what it offers to others. A nil
// plug-in with a nil error means that the settings leave it out.
type Factory func(d *Deps) (Plugin, error)

type registration struct {
	// adapter names the adapter that the plug-in belongs to, empty for the
	// product's own interface.
	adapter string
	kind    Kind
	name    string
	factory Factory
}

// registry holds what the imported packages registered from their init.
var registry struct {
	mu            sync.Mutex
	registrations []registration
}

// Register adds a plug-in. It is called from init of the plug-in's package and
// panics on a name used twice, since that is a mistake of the program.
func Register(kind Kind, name string, factory Factory) {
	RegisterForAdapter("", kind, name, factory)
}

// RegisterForAdapter is Register for a plug-in that runs only with the adapter that the
// settings name.
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

// registered returns the registrations in building order.
func registered() []registration {
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

// Names returns the names of the registered plug-ins as kind/name.
func Names() []string {
	var names []string
	for _, r := range registered() {
		names = append(names, r.kind.String()+"/"+r.name)
	}
	return names
}
