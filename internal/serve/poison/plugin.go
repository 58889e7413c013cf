package poison

import (
	"context"
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
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

// listedStore is the platform's store, of which the refusals are listed.
type listedStore interface {
	refusalStore
	List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
}

// ownerLookup has the daemons that own a task.
type ownerLookup interface {
	Self() ident.Instance
	Owners(task string, count int) []ident.Instance
}

// component is the detector and its blocklist as a plug-in of the product's own interface. Daemons
// exchange crashes, so the store is read once, for those from before the start.
type component struct {
	plugin.BackgroundTasks
	*Detector
	blocklist *Blocklist
	deps      *plugin.Deps
	store     listedStore
	owners    ownerLookup
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section("poison").(*Settings)
	changed := make(chan struct{}, 1)
	c := &component{deps: deps, Detector: New(Options{
		Clock: deps.Clock, Self: deps.Settings.Daemon.Instance, Lifetime: s.Lifetime.Duration, Limit: s.Limit, Changed: changed,
	})}
	c.blocklist = NewBlocklist(BlocklistOptions{
		Clock: deps.Clock, Log: deps.Log, KeyPrefix: store.PoisonPrefix, Requests: c.Detector, Lifetime: s.Lifetime.Duration, Readers: c, Changed: changed,
	})
	deps.Provide(c.Detector)
	return c, nil
}

// Start finds the store, and lists and writes refusals in the background.
func (c *component) Start(context.Context) error {
	if err := c.deps.Resolve(&c.store, &c.owners); err != nil {
		return err
	}
	c.blocklist.Store = c.store
	c.Go(func(ctx context.Context) {
		c.listRefusals(ctx)
		c.blocklist.Run(ctx)
	})
	return nil
}

// listRefusals applies the refusals in the store. It returns when it has them or the context ends.
func (c *component) listRefusals(ctx context.Context) {
	const retryDelay = 300 * time.Millisecond
	for ctx.Err() == nil {
		entries, _, err := c.store.List(ctx, store.PoisonPrefix)
		if err == nil {
			changes := make([]store.Change, 0, len(entries))
			for _, e := range entries {
				changes = append(changes, store.Change{Entry: e})
			}
			c.blocklist.HandleChanges(changes, true)
			return
		}
		c.deps.Log.Warn().Err(err).Msg("refusals-not-listed")
		plugin.Sleep(ctx, c.deps.Clock, clock.Jitter(retryDelay))
	}
}

// The daemons that write refusals that no other one has written: the owners of writerTask.
const (
	writerTask  = "poison"
	writerCount = 2
)

// MayReadPlatform reports whether this daemon is one of the few that write what others have not.
func (c *component) MayReadPlatform() bool {
	return slices.Contains(c.owners.Owners(writerTask, writerCount), c.owners.Self())
}
