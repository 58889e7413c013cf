package mirror

import (
	"context"
	"time"

	"cuminbay/internal/domain/store"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

const section = "mirror"

// Settings are the settings in the section "mirror".
type Settings struct {
	// Settle is the time after an outage of the platform's store for which a
	// server whose entry is missing is not removed, since its lease may have
	// expired during the outage and the server may register again.
	Settle settings.Duration `json:"settle" validate:"duration"`
	// Outage is the shortest outage of the store in which leases of running
	// servers may expire. It is at least two renewal intervals: an entry lapses after three
	// intervals of silence, of which one may have passed before the outage.
	Outage settings.Duration `json:"outage" validate:"duration"`
	// Renewal is the interval at which servers renew the leases of their entries. The store
	// removes the entry of a server that has missed three renewals.
	Renewal settings.Duration `json:"renewal" validate:"duration"`
	// Within is the time within which a change of the store's keys has to be in force. The age at which a copy is too old follows from it.
	Within settings.Duration `json:"within" validate:"duration"`
	// Recovery is the time after an outage of the platform's store within which all daemons have the changes again.
	Recovery settings.Duration `json:"recovery" validate:"duration"`
	// Lapsing is the prefix of the keys that are bound to a lease of their writer.
	Lapsing string `json:"lapsing" validate:"required"`
}

func init() {
	settings.Register(section, func() any {
		return &Settings{Settle: settings.DurationOf(2200 * time.Millisecond), Outage: settings.DurationOf(2400 * time.Millisecond), Renewal: settings.DurationOf(1200 * time.Millisecond), Within: settings.DurationOf(defaultWithin), Recovery: settings.DurationOf(defaultRecovery), Lapsing: "servers/"}
	})
	plugin.RegisterForAdapter("platform", plugin.Roster, "mirror", newPlugin)
}

// component is the plug-in that runs the mirror.
type component struct {
	*Mirror
	deps     *plugin.Deps
	recovery time.Duration
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section(section).(*Settings)
	m := New(Options{
		Clock: deps.Clock, Log: deps.Log, LeasedPrefix: store.Key(s.Lapsing), Within: s.Within.Duration,
		SettleTime: s.Settle.Duration, RenewInterval: s.Renewal.Duration, MinOutage: max(s.Outage.Duration, 2*s.Renewal.Duration),
	})
	deps.Provide(m)
	return &component{Mirror: m, deps: deps, recovery: s.Recovery.Duration}, nil
}

// Start finds the sources and handlers and starts copying in the background.
func (c *component) Start(context.Context) error {
	u := &Upstream{Clock: c.Clock, Log: c.Log, MaxAge: c.MaxAge(), Recovery: c.recovery}
	if err := c.deps.Resolve(&u.Platform, &u.Feed, &u.Tree); err != nil {
		return err
	}
	c.Source = u
	if err := c.deps.ResolveAll(&c.handlers); err != nil {
		return err
	}
	c.Go(c.Run)
	c.Go(c.MonitorLag)
	c.Go(c.MonitorAge)
	return nil
}
