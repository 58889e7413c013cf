package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

const section = "gossip"

// Settings holds the settings section "gossip".
type Settings struct {
	// Listen is the address for datagrams of other daemons. The daemon registers
	// it on the platform.
	Listen string `json:"listen" validate:"omitempty,listen"`
	// Feed is the address at which other daemons read this daemon's copy of the
	// platform's keys.
	Feed string `json:"feed" validate:"omitempty,listen"`
	// Relay is the address at which this daemon forwards requests for daemons that can't reach the servers; if it is empty, it forwards none.
	Relay string `json:"relay" validate:"omitempty,listen"`
	// Interval is the time between two rounds of datagrams, in a large fleet up to
	// four times as long. Requests that another
	// daemon started after its last datagram are not counted yet, so several daemons
	// may choose the same endpoint.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Lease is the time to live of this daemon's registration on the platform.
	Lease settings.Duration `json:"lease" validate:"duration"`
}

func init() {
	settings.Register(section, func() any {
		return &Settings{Interval: settings.DurationOf(40 * time.Millisecond), Lease: settings.DurationOf(30 * time.Second)}
	})
	plugin.RegisterForAdapter("platform", plugin.Peer, "gossip", newPlugin)
}

// daemonPrefix is the prefix below which daemons register themselves.
const daemonPrefix store.Key = "cuminbay/daemons/"

// platform is the part of the platform's store that the registration uses.
type platform interface {
	Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error)
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id store.LeaseID) error
}

// registration is the stored form of a RegisteredDaemon.
type registration struct {
	Address    string           `json:"address"`
	Feed       string           `json:"feed"`
	Relay      string           `json:"relay,omitempty"`
	DataCentre ident.DataCentre `json:"centre"`
}

// component is the plug-in that registers the daemon and runs the exchange of
// datagrams.
type component struct {
	plugin.BackgroundTasks
	*Gossip
	deps     *plugin.Deps
	settings *Settings
	platform platform
	// registrations has the registrations of all daemons by key.
	registrations map[store.Key]storedRegistration
	lease         store.LeaseID
	// registrationLost is signalled when this daemon's registration has been
	// removed.
	registrationLost chan struct{}
}

// storedRegistration is the registration of one incarnation of a daemon.
type storedRegistration struct {
	RegisteredDaemon
	revision unit.Revision
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	telemetry, err := NewTelemetry(deps.Metrics)
	if err != nil {
		return nil, err
	}
	s := deps.Settings.Section(section).(*Settings)
	c := &component{deps: deps, settings: s, registrations: make(map[store.Key]storedRegistration), registrationLost: make(chan struct{}, 1)}
	c.Gossip = New(Options{
		Clock: deps.Clock, Log: deps.Log, Self: deps.Settings.Daemon.Instance, DataCentre: deps.Settings.Daemon.DataCentre,
		Incarnation: unit.Incarnation(deps.Clock.Now().UnixMilli()), Telemetry: telemetry,
	}, nil)
	// The mirror calls Parent as soon as it has started, before this plug-in
	// starts.
	if err := deps.Resolve(&c.Catalog, &c.PlatformCopy); err != nil {
		return nil, err
	}
	deps.Provide(c)
	return c, nil
}

// Start opens the socket, starts the exchange and registers the daemon.
func (c *component) Start(ctx context.Context) error {
	if err := errors.Join(c.deps.Resolve(&c.platform, &c.Poison, &c.Parts, &c.Limits, &c.Links, &c.Demand), c.deps.ResolveAll(&c.listeners)); err != nil {
		return err
	}
	var listenConfig net.ListenConfig
	conn, err := listenConfig.ListenPacket(ctx, "udp4", c.settings.Listen)
	if err != nil {
		return code.BadSettings.Wrap(err, "gossip.listen: open UDP socket")
	}
	c.conn = conn
	go c.Receive()
	c.Go(c.runRounds)
	c.Go(c.maintainRegistration)
	return nil
}

// runRounds sends datagrams and updates the peers' load until the context ends.
func (c *component) runRounds(ctx context.Context) {
	for {
		current := c.currentPace(c.settings.Interval.Duration)
		if !plugin.Sleep(ctx, c.deps.Clock, current.interval) {
			return
		}
		c.UpdatePeerInFlight()
		c.updateRelays()
		c.Limits.Refresh()
		c.SendRound(current)
	}
}

// Stop ends the exchange and withdraws the registration.
func (c *component) Stop(ctx context.Context) error {
	err := c.BackgroundTasks.Stop(ctx)
	if c.conn != nil {
		_ = c.conn.Close()
	}
	if c.lease != 0 {
		if revokeErr := c.platform.Revoke(ctx, c.lease); revokeErr != nil {
			c.Log.Warn().Err(revokeErr).Msg("registration-not-withdrawn")
		}
	}
	return err
}

// renewalsPerLease is the number of renewals in the time to live of the lease.
const renewalsPerLease = 3

// maintainRegistration keeps the daemon registered until the context ends. If the
// lease expires, which can happen while the store is unavailable, the daemon
// registers again as soon as it detects the expiry.
func (c *component) maintainRegistration(ctx context.Context) {
	const minRetryDelay, maxRetryDelay = 300 * time.Millisecond, 3 * time.Second
	retryDelay := minRetryDelay
	for {
		delay := c.settings.Lease.Duration / renewalsPerLease
		if err := c.renewOrRegister(ctx); err != nil {
			delay, retryDelay = retryDelay, min(2*retryDelay, maxRetryDelay)
			c.Log.Debug().Err(err).Msg("registration-failed")
		} else {
			retryDelay = minRetryDelay
		}
		if !plugin.SleepOrWake(ctx, c.deps.Clock, clock.Jitter(delay), c.registrationLost) {
			return
		}
	}
}

func (c *component) renewOrRegister(ctx context.Context) error {
	if c.lease != 0 {
		ttl, err := c.platform.KeepAlive(ctx, c.lease)
		if err != nil || ttl > 0 {
			return err
		}
		c.lease = 0
	}
	id, err := c.platform.Grant(ctx, c.settings.Lease.Duration)
	if err != nil {
		return err
	}
	value, err := json.Marshal(registration{Address: c.settings.Listen, Feed: c.settings.Feed, Relay: c.settings.Relay, DataCentre: c.DataCentre})
	if err != nil {
		return err
	}
	// The lease is part of the key, so that the key of an earlier incarnation
	// does not make the swap fail.
	key := daemonPrefix + store.Key(string(c.Self)+"/"+strconv.FormatInt(int64(id), 10))
	if _, _, err := c.platform.Swap(ctx, store.Swap{Key: key, Value: value, Lease: id}); err != nil {
		return err
	}
	c.lease = id
	return nil
}

// Prefix returns the prefix of the daemons' registrations.
func (c *component) Prefix() store.Key {
	return daemonPrefix
}

// HandleChanges updates the registered daemons. The registration of an earlier
// incarnation may expire after the next incarnation has registered, so only the newest
// registration of a daemon is used.
func (c *component) HandleChanges(changes []store.Change, _ bool) {
	ownRemoved := false
	for _, change := range changes {
		if change.Removed {
			ownRemoved = ownRemoved || daemonOf(change.Key) == c.Self
			delete(c.registrations, change.Key)
			continue
		}
		daemon, err := decodeRegistration(change.Value)
		if err != nil {
			c.Log.Warn().Err(err).Str("key", string(change.Key)).Msg("registration-rejected")
			delete(c.registrations, change.Key)
			continue
		}
		c.registrations[change.Key] = storedRegistration{daemon, change.Revision}
	}
	newest := make(map[ident.Instance]storedRegistration)
	daemons := make(map[ident.Instance]RegisteredDaemon)
	for key, stored := range c.registrations {
		id := daemonOf(key)
		if stored.revision >= newest[id].revision {
			newest[id], daemons[id] = stored, stored.RegisteredDaemon
		}
	}
	if _, found := daemons[c.Self]; !found && ownRemoved {
		plugin.Wake(c.registrationLost)
	}
	c.SetDaemons(daemons)
	c.Log.Info().Int("daemons", len(daemons)).Msg("daemons-listed")
}

// daemonOf returns the daemon that the registration's key names.
func daemonOf(key store.Key) ident.Instance {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(key), string(daemonPrefix)), "/")
	return ident.Instance(name)
}

// decodeRegistration decodes a daemon's registration.
//
// Errors carry code.BadRecord.
func decodeRegistration(raw []byte) (RegisteredDaemon, error) {
	var r registration
	if err := json.Unmarshal(raw, &r); err != nil {
		return RegisteredDaemon{}, code.BadRecord.Wrap(err, "decode registration")
	}
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return RegisteredDaemon{}, code.BadRecord.Wrap(err, "registration: parse address")
	}
	return RegisteredDaemon{Address: address, FeedAddress: r.Feed, RelayAddress: r.Relay, DataCentre: r.DataCentre}, nil
}
