package poison

import (
	"context"
	"time"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

// Settings are the section "poison".
type Settings struct {
	// Lifetime is how long a suspicion lasts.
	Lifetime settings.Duration `json:"lifetime" validate:"duration"`
	// Limit bounds the observations kept.
	Limit int `json:"limit" validate:"min=1,max=100000"`
}

func init() {
	settings.Register("poison", func() any {
		return &Settings{Lifetime: settings.Of(10 * time.Minute), Limit: 1000}
	})
	plugin.Register(plugin.Decision, "poison", build)
}

type poisonPlugin struct {
	plugin.Loops
}

func build(d *plugin.Deps) (plugin.Plugin, error) {
	s := d.Settings.Section("poison").(*Settings)
	d.Provide(New(Options{
		Self:     d.Settings.Daemon.Instance,
		Clock:    d.Clock,
		Lifetime: s.Lifetime.Duration,
		Limit:    s.Limit,
	}))
	return &poisonPlugin{}, nil
}

// Start implements plugin.Plugin; the book has no work of its own.
func (p *poisonPlugin) Start(context.Context) error {
	return nil
}
