package claim

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

// Settings are the settings in the section "claim".
type Settings struct {
	// Shards is the number of store keys over which claims are spread. It must be equal at all daemons, and it may change only while no claim is retained, because a change assigns keys to other shards.
	Shards uint64 `json:"shards" validate:"min=1,max=4096"`
	// Retention is the time for which a claim prevents a second run of its key.
	Retention settings.Duration `json:"retention" validate:"duration"`
	// Recent is the time for which the fingerprint of an ended request is stored, for comparison with another request that has the same key. Afterwards only a hash of the key, the result code and the time are stored.
	Recent settings.Duration `json:"recent" validate:"duration"`
	// PauseLimit bounds the time from the start of a claim to the send.
	PauseLimit settings.Duration `json:"pauseLimit" validate:"duration"`
	// MaxValue bounds the encoded size of a shard in bytes, below the limit of 1 MB of the platform's store.
	MaxValue int `json:"maxValue" validate:"min=1024,max=1000000"`
	// WriteTimeout bounds the wait for a claim to be written to the platform's store.
	WriteTimeout settings.Duration `json:"writeTimeout" validate:"duration"`
	// AskTimeout bounds the wait for the reply of the daemon that holds a conflicting claim.
	AskTimeout settings.Duration `json:"askTimeout" validate:"duration"`
	// EndDelay is the time for which the terminal state of a claim waits to share a store write with a new claim. If the daemon crashes in this time, the outcome of the request is reported as unknown.
	EndDelay settings.Duration `json:"endDelay" validate:"duration"`
	// WriteRate bounds the store writes per second of this daemon for claims. With more calls, more of them share a write. A shard waits at most shards/writeRate seconds for its next write, which should be below writeTimeout.
	WriteRate float64 `json:"writeRate" validate:"min=1,max=1000"`
	// WriteBurst bounds the writes that start at once after an idle time.
	WriteBurst int `json:"writeBurst" validate:"min=1,max=1000"`
}

const section = "claim"

func init() {
	settings.Register(section, func() any {
		return &Settings{
			// At 20 writes per second each of 32 shards is written within
			// 1.6 s, below the write timeout.
			Shards:       32,
			Retention:    settings.DurationOf(24 * time.Hour),
			Recent:       settings.DurationOf(10 * time.Minute),
			PauseLimit:   settings.DurationOf(5 * time.Second),
			MaxValue:     900_000,
			WriteTimeout: settings.DurationOf(2 * time.Second),
			AskTimeout:   settings.DurationOf(time.Second),
			EndDelay:     settings.DurationOf(time.Second),
			// 8 daemons start at most 8*(20+4) = 192 writes in any second,
			// of the several hundred that the platform's store supports.
			WriteRate:  20,
			WriteBurst: 4,
		}
	})
	plugin.Register(plugin.Decision, section, newPlugin)
}

type component struct {
	plugin.BackgroundTasks
	*Claims
	deps *plugin.Deps
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section(section).(*Settings)
	if s.WriteTimeout.Duration >= s.PauseLimit.Duration {
		return nil, code.BadSettings.New("settings: claim.writeTimeout is %s, expected less than claim.pauseLimit, %s", s.WriteTimeout, s.PauseLimit)
	}
	c := New(Options{
		Self:          deps.Settings.Daemon.Instance,
		Clock:         deps.Clock,
		Rules:         Rules{Retention: s.Retention.Duration, FullRetention: s.Recent.Duration, MaxValueBytes: s.MaxValue},
		Shards:        s.Shards,
		PauseLimit:    s.PauseLimit.Duration,
		WriteTimeout:  s.WriteTimeout.Duration,
		QueryTimeout:  s.AskTimeout.Duration,
		TerminalDelay: s.EndDelay.Duration,
		WriteRate:     s.WriteRate,
		WriteBurst:    s.WriteBurst,
	})
	deps.Provide(c)
	return &component{Claims: c, deps: deps}, nil
}

// Start implements plugin.Plugin.
func (p *component) Start(context.Context) error {
	if err := p.deps.Resolve(&p.Store, &p.Peers); err != nil {
		return err
	}
	if err := p.registerMetrics(); err != nil {
		return err
	}
	p.StartWriters(p.Go)
	return nil
}

func (p *component) registerMetrics() error {
	for name, value := range map[string]func() int64{
		"cuminbay_claim_writes_total":    p.WriteCount,
		"cuminbay_claim_confirmed_total": p.ConfirmedCount,
	} {
		counter := prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: name, Help: "Platform writes begun for claims, and claims confirmed."},
			func() float64 { return float64(value()) })
		if err := p.deps.Metrics.Register(counter); err != nil {
			return err
		}
	}
	return nil
}

// Stop implements plugin.Plugin. It writes the terminal states of ended claims to
// the store before it stops the background tasks.
func (p *component) Stop(ctx context.Context) error {
	return errors.Join(p.Drain(ctx), p.BackgroundTasks.Stop(ctx))
}
