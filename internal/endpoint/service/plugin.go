package service

import (
	"context"
	"time"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

// Settings are the section "service".
type Settings struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout settings.Duration `json:"dialTimeout" validate:"duration"`
	// Silence bounds the wait for each next byte of an answer.
	Silence settings.Duration `json:"silence" validate:"duration"`
	// MaxBody bounds an answer's body in bytes.
	MaxBody int64 `json:"maxBody" validate:"min=1"`
	// HealthPath is asked by health checks.
	HealthPath string `json:"healthPath" validate:"startswith=/"`
}

func init() {
	settings.Register("service", func() any {
		return &Settings{
			DialTimeout: settings.DurationOf(time.Second),
			Silence:     settings.DurationOf(10 * time.Second),
			MaxBody:     16 << 20,
			HealthPath:  "/health",
		}
	})
	plugin.Register(plugin.Endpoint, "service", newPlugin)
}

type component struct {
	plugin.BackgroundTasks
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	s := d.Settings.Section("service").(*Settings)
	d.Provide(New(Options{
		Clock: d.Clock, DialTimeout: s.DialTimeout.Duration, StallTimeout: s.Silence.Duration,
		MaxBodyBytes: s.MaxBody, HealthPath: s.HealthPath,
	}))
	return &component{}, nil
}

// Start implements plugin.Plugin; the protocol has no work of its own.
func (p *component) Start(context.Context) error { return nil }
