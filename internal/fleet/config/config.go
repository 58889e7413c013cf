// Package config keeps the operators' records that are in effect. It merges
// them by revision from the platform and from peers.
package config

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

// watchKey places the watch among the daemons of a data centre.
const watchKey = "config"

// watcherCount is the number of daemons of a data centre that watch the platform:
// two, so that one may pause without a gap.
const watcherCount = 2

// ownerCheckInterval is the time between two looks at who has to watch.
const ownerCheckInterval = time.Second

// The delays after a watch has broken.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// members is the part of the view of daemons that this package uses.
type members interface {
	Self() ident.Instance
	Owners(key string, n int) []ident.Instance
}

// Config is the plug-in. The embedded State is its peer section.
type Config struct {
	*State
	plugin.BackgroundTasks
	clock    clock.Clock
	log      zerolog.Logger
	platform platform
	members  members
	deps     *plugin.Deps
}

// Options are the parts of a Config.
type Options struct {
	Clock    clock.Clock
	Log      zerolog.Logger
	Events   eventRecorder
	Platform platform
	Members  members
}

// New returns a Config that has heard nothing; Run keeps it up to date.
func New(o Options) *Config {
	return &Config{
		State:    NewState(o.Clock, o.Events),
		clock:    o.Clock,
		log:      o.Log,
		platform: o.Platform,
		members:  o.Members,
	}
}

func init() {
	plugin.Register(plugin.Decision, "config", func(d *plugin.Deps) (plugin.Plugin, error) {
		c := New(Options{Clock: d.Clock, Log: d.Log, Events: d.Timeline})
		c.deps = d
		if err := c.register(d.Metrics); err != nil {
			return nil, err
		}
		d.Provide(c)
		return c, nil
	})
}

func (c *Config) register(r *prometheus.Registry) error {
	revision := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_config_revision",
		Help: "Highest platform revision of the records known.",
	}, func() float64 { return float64(c.Revision()) })
	rejected := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_config_rejected",
		Help: "Records that are invalid and not in effect.",
	}, func() float64 { return float64(len(c.Rejected())) })
	if err := r.Register(revision); err != nil {
		return err
	}
	return r.Register(rejected)
}

// Start begins to follow the platform.
func (c *Config) Start(context.Context) error {
	if err := c.deps.Resolve(&c.platform, &c.members); err != nil {
		return err
	}
	c.Go(c.Run)
	return nil
}

// Run watches the platform while this daemon is one of the two that have to,
// and until the context ends. Another daemon lists the records only while it
// is not ready.
func (c *Config) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.ownsWatch() {
			c.watchWhileOwner(ctx)
			continue
		}
		if !c.Ready() {
			if _, err := c.refresh(ctx); err != nil {
				c.log.Warn().Err(err).Msg("config-list-failed")
			}
		}
		plugin.Sleep(ctx, c.clock, clock.Jitter(ownerCheckInterval))
	}
}

func (c *Config) ownsWatch() bool {
	return slices.Contains(c.members.Owners(watchKey, watcherCount), c.members.Self())
}

// watchWhileOwner follows the platform and returns once this daemon is no
// owner any more.
func (c *Config) watchWhileOwner(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.listAndWatch(ctx)
	}()
	for plugin.Sleep(ctx, c.clock, clock.Jitter(ownerCheckInterval)) && c.ownsWatch() {
	}
	cancel()
	<-done
}

// listAndWatch lists and watches until the context ends. A broken watch is followed
// by a new list, since changes may have been missed.
func (c *Config) listAndWatch(ctx context.Context) {
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval, retryDelays.MaxInterval = minRetryDelay, maxRetryDelay
	for ctx.Err() == nil {
		revision, err := c.refresh(ctx)
		for err == nil && ctx.Err() == nil {
			// A watch that ended in silence goes on where it was.
			err = c.platform.Watch(ctx, store.RecordPrefix, revision, func(changes []store.Change, complete unit.Revision) {
				revision = max(revision, complete)
				retryDelays.Reset()
				c.applyChanges(changes)
			})
		}
		if ctx.Err() != nil {
			return
		}
		c.events.Record("watch-broken", string(store.RecordPrefix), "reason", code.Message(err))
		plugin.Sleep(ctx, c.clock, retryDelays.NextBackOff())
	}
}

// refresh merges a list of the records and returns its revision. A record that
// is missing from the list stays in effect: only a withdrawal ends it. A list
// from behind is an error, since it says nothing about newer records.
func (c *Config) refresh(ctx context.Context) (unit.Revision, error) {
	knownRevision := c.Revision()
	entries, revision, err := c.platform.List(ctx, store.RecordPrefix)
	if err != nil {
		return 0, err
	}
	c.Apply(FromList, storedFromEntries(entries))
	if revision < knownRevision {
		return 0, code.PlatformUnavailable.New("list %s: answered at revision %d, but a record of revision %d is known", store.RecordPrefix, revision, knownRevision)
	}
	c.SetReady()
	return revision, nil
}

// applyChanges merges what a watch reports. A deleted key is no withdrawal.
func (c *Config) applyChanges(changes []store.Change) {
	records := make([]Stored, 0, len(changes))
	for _, change := range changes {
		if change.Removed {
			c.log.Warn().Str("key", string(change.Key)).Msg("record-key-deleted")
			continue
		}
		records = append(records, storedFromEntry(change.Entry))
	}
	c.Apply(FromWatch, records)
}
