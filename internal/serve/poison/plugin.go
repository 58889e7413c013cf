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

// Settings are the settings of the poison plug-in.
type Settings struct {
	// Lifetime is the time that a suspicion lasts after its last crash.
	Lifetime settings.Duration `json:"lifetime" validate:"duration"`
	// Limit bounds the suspicions kept.
	Limit int `json:"limit" validate:"min=1,max=1000000"`
}

// component is the plug-in: requests and peers call it.
type component struct {
	plugin.NoLifecycle
	*Detector
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := d.Settings.Section("poison").(*Settings)
	p := component{Detector: New(Options{Clock: d.Clock, Self: d.Settings.Daemon.Instance, Lifetime: s.Lifetime.Duration, Limit: s.Limit})}
	d.Provide(p.Detector)
	return p, nil
}
