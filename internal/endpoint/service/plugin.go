package service

import (
	"context"
	"time"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

// Settings are the settings of the client of plain services.
type Settings struct {
	// DialTimeout is the longest time to open a connection.
	DialTimeout settings.Duration `json:"dialTimeout" validate:"duration"`
	// Silence is the longest wait for the next byte of an answer.
	Silence settings.Duration `json:"silence" validate:"duration"`
	// MaxBody is the maximum size of an answer's body in bytes.
	MaxBody int64 `json:"maxBody" validate:"min=1"`
	// HealthPath is the path that health checks request.
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

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section("service").(*Settings)
	deps.Provide(New(Options{
		Clock: deps.Clock, DialTimeout: s.DialTimeout.Duration, StallTimeout: s.Silence.Duration,
		MaxBodyBytes: s.MaxBody, HealthPath: s.HealthPath,
	}))
	return &component{}, nil
}

// Start implements plugin.Plugin. The client has nothing to start.
func (c *component) Start(context.Context) error { return nil }
