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

// Settings are the section "claim".
type Settings struct {
	// Shards has to be equal at all daemons and may be changed only while no
	// claim is retained, as a key moves to another shard with it.
	Shards uint64 `json:"shards" validate:"min=1,max=4096"`
	// Retention is the time for which a key can't run again.
	Retention settings.Duration `json:"retention" validate:"duration"`
	// Recent is the time for which a request's content is compared with that of an earlier one with its key; afterwards the key is only known to have run.
	Recent settings.Duration `json:"recent" validate:"duration"`
	// PauseLimit bounds the time from claim to send.
	PauseLimit settings.Duration `json:"pauseLimit" validate:"duration"`
	// MaxValue bounds a shard in bytes, below the platform's limit of 1 MB.
	MaxValue int `json:"maxValue" validate:"min=1024,max=1000000"`
	// WriteTimeout bounds the wait for a claim in the platform.
	WriteTimeout settings.Duration `json:"writeTimeout" validate:"duration"`
	// AskTimeout bounds the wait for the holder of a claim.
	AskTimeout settings.Duration `json:"askTimeout" validate:"duration"`
	// EndDelay is how long the end of a claim waits for another claim to share a platform write with. If the daemon crashes in this time, the outcome reads as unknown.
	EndDelay settings.Duration `json:"endDelay" validate:"duration"`
	// WriteRate bounds the platform writes a second of this daemon for claims. With more calls more of them share a write. A shard's turn comes after at most shards/writeRate seconds, which should be below writeTimeout.
	WriteRate float64 `json:"writeRate" validate:"min=1,max=1000"`
	// WriteBurst bounds the writes that are begun at once after a time of fewer writes.
	WriteBurst int `json:"writeBurst" validate:"min=1,max=1000"`
}

const section = "claim"

func init() {
	settings.Register(section, func() any {
		return &Settings{
			// At 20 writes a second each of 32 shards has its turn within
			// 1.6 s, below the write timeout.
			Shards:       32,
			Retention:    settings.DurationOf(24 * time.Hour),
			Recent:       settings.DurationOf(10 * time.Minute),
			PauseLimit:   settings.DurationOf(5 * time.Second),
			MaxValue:     900_000,
			WriteTimeout: settings.DurationOf(2 * time.Second),
			AskTimeout:   settings.DurationOf(time.Second),
			EndDelay:     settings.DurationOf(time.Second),
			// 8 daemons begin at most 8*(20+4) = 192 writes in any second,
			// of the several hundred that the platform takes in all.
			WriteRate:  20,
			WriteBurst: 4,
		}
	})
	plugin.Register(plugin.Decision, section, build)
}

type component struct {
	plugin.BackgroundTasks
	*Claims
	deps *plugin.Deps
}

func build(d *plugin.Deps) (plugin.Plugin, error) {
	s := d.Settings.Section(section).(*Settings)
	if s.WriteTimeout.Duration >= s.PauseLimit.Duration {
		return nil, code.BadSettings.New("claim.writeTimeout: %s is not below claim.pauseLimit %s", s.WriteTimeout, s.PauseLimit)
	}
	c := New(Options{
		Self:         d.Settings.Daemon.Instance,
		Clock:        d.Clock,
		Rules:        Rules{Retention: s.Retention.Duration, FullRetention: s.Recent.Duration, MaxValueBytes: s.MaxValue},
		Shards:       s.Shards,
		PauseLimit:   s.PauseLimit.Duration,
		WriteTimeout: s.WriteTimeout.Duration,
		AskTimeout:   s.AskTimeout.Duration,
		EndDelay:     s.EndDelay.Duration,
		WriteRate:    s.WriteRate,
		WriteBurst:   s.WriteBurst,
	})
	d.Provide(c)
	return &component{Claims: c, deps: d}, nil
}

// Start implements plugin.Plugin.
func (p *component) Start(context.Context) error {
	if err := p.deps.Resolve(&p.Platform, &p.Asker); err != nil {
		return err
	}
	if err := p.register(); err != nil {
		return err
	}
	p.Run(p.Go)
	return nil
}

func (p *component) register() error {
	for name, value := range map[string]func() int64{
		"cuminbay_claim_writes_total":    p.Writes,
		"cuminbay_claim_confirmed_total": p.Confirmed,
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

// Stop implements plugin.Plugin. It writes what has ended to the platform
// first.
func (p *component) Stop(ctx context.Context) error {
	return errors.Join(p.Drain(ctx), p.BackgroundTasks.Stop(ctx))
}
