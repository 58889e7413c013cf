// Package config holds the operators' records (organisations, deployments and so
// on) that are in effect at this daemon. It merges them by revision from the
// platform's key-value store and from peers, so that a daemon without a connection
// to the platform still receives changes.
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

// watchKey is the key by which the daemons of a data centre agree which of them
// watch the platform.
const watchKey = "config"

// watcherCount is the number of daemons of a data centre that watch the platform.
// With two of them, changes still arrive while one is paused.
const watcherCount = 2

// ownerCheckInterval is the time between two checks whether this daemon has to
// watch the platform.
const ownerCheckInterval = time.Second

// The delays before a broken watch is opened again.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// ownerLookup assigns keys to the live daemons of the data centre.
type ownerLookup interface {
	Self() ident.Instance
	Owners(key string, n int) []ident.Instance
}

// Config is the plug-in that keeps the State up to date. The State is also the
// section that daemons exchange.
type Config struct {
	*State
	plugin.BackgroundTasks
	clock    clock.Clock
	log      zerolog.Logger
	platform platform
	owners   ownerLookup
	deps     *plugin.Deps
}

// Options configure a Config.
type Options struct {
	Clock    clock.Clock
	Log      zerolog.Logger
	Events   eventRecorder
	Platform platform
	Owners   ownerLookup
}

// New returns a Config without records. Run fills it and keeps it up to date.
func New(o Options) *Config {
	return &Config{
		State:    NewState(o.Clock, o.Events),
		clock:    o.Clock,
		log:      o.Log,
		platform: o.Platform,
		owners:   o.Owners,
	}
}

func init() {
	plugin.Register(plugin.Decision, "config", func(deps *plugin.Deps) (plugin.Plugin, error) {
		c := New(Options{Clock: deps.Clock, Log: deps.Log, Events: deps.Timeline})
		c.deps = deps
		if err := c.registerMetrics(deps.Metrics); err != nil {
			return nil, err
		}
		deps.Provide(c)
		return c, nil
	})
}

func (c *Config) registerMetrics(r *prometheus.Registry) error {
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

// Start starts Run in the background.
func (c *Config) Start(context.Context) error {
	if err := c.deps.Resolve(&c.platform, &c.owners); err != nil {
		return err
	}
	c.Go(c.Run)
	return nil
}

// Run keeps the records up to date until the context ends. Only the owners of
// watchKey watch the platform. A daemon that is not an owner gets changes from its
// peers; it lists the platform's records only until it is ready.
func (c *Config) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.ownsWatch() {
			c.watchWhileOwner(ctx)
			continue
		}
		if !c.Ready() {
			if _, err := c.mergeList(ctx); err != nil {
				c.log.Warn().Err(err).Msg("config-list-failed")
			}
		}
		plugin.Sleep(ctx, c.clock, clock.Jitter(ownerCheckInterval))
	}
}

func (c *Config) ownsWatch() bool {
	return slices.Contains(c.owners.Owners(watchKey, watcherCount), c.owners.Self())
}

// watchWhileOwner watches the platform and returns when this daemon no longer
// owns the watch.
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

// listAndWatch lists the records and watches their changes until the context ends.
// After a broken watch it lists them again, since changes may have been missed.
func (c *Config) listAndWatch(ctx context.Context) {
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval, retryDelays.MaxInterval = minRetryDelay, maxRetryDelay
	for ctx.Err() == nil {
		revision, err := c.mergeList(ctx)
		for err == nil && ctx.Err() == nil {
			// Watch returns nil after a silence; the next watch continues
			// from the same revision.
			err = c.platform.Watch(ctx, store.RecordPrefix, revision, func(changes []store.Change, completeUpTo unit.Revision) {
				revision = max(revision, completeUpTo)
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

// mergeList merges the platform's list of records and returns the list's revision.
// A record that is missing from the list stays in effect: only a withdrawal ends
// it. A list at a lower revision than a known record is an error, since newer
// records may be missing from it.
func (c *Config) mergeList(ctx context.Context) (unit.Revision, error) {
	knownRevision := c.Revision()
	entries, revision, err := c.platform.List(ctx, store.RecordPrefix)
	if err != nil {
		return 0, err
	}
	c.Apply(FromList, recordsFromEntries(entries))
	if revision < knownRevision {
		return 0, code.PlatformUnavailable.New("list %s: got a list of revision %d, expected at least revision %d, which a known record has", store.RecordPrefix, revision, knownRevision)
	}
	c.SetReady()
	return revision, nil
}

// applyChanges merges the changes that a watch reports. A deleted key does not
// withdraw its record.
func (c *Config) applyChanges(changes []store.Change) {
	records := make([]StoredRecord, 0, len(changes))
	for _, change := range changes {
		if change.Removed {
			c.log.Warn().Str("key", string(change.Key)).Msg("record-key-deleted")
			continue
		}
		records = append(records, recordFromEntry(change.Entry))
	}
	c.Apply(FromWatch, records)
}
