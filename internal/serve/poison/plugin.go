package poison

import (
	"time"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

func init() {
	settings.Register("poison", func() any {
		return &Settings{Lifetime: settings.DurationOf(10 * time.Minute), Limit: 4096}
	})
	plugin.Register(plugin.Decision, "poison", newPlugin)
}

// Settings are the settings in the section "poison".
type Settings struct {
	// Lifetime is the time for which the crashes of a request are kept after the last one.
	Lifetime settings.Duration `json:"lifetime" validate:"duration"`
	// Limit bounds the number of crash sets. There is one for each suspected request and each daemon that observed its crashes.
	Limit int `json:"limit" validate:"min=1,max=1000000"`
}

// component is the detector as a plug-in. It has no tasks of its own: requests and
// the exchange between peers call it.
type component struct {
	plugin.NoLifecycle
	*Detector
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section("poison").(*Settings)
	c := component{Detector: New(Options{Clock: deps.Clock, Self: deps.Settings.Daemon.Instance, Lifetime: s.Lifetime.Duration, Limit: s.Limit})}
	deps.Provide(c.Detector)
	return c, nil
}
