package member

import (
	"context"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

// Seed is a daemon in the settings that this daemon contacts first.
type Seed struct {
	Instance   ident.Instance   `json:"instance" validate:"required,name"`
	DataCentre ident.DataCentre `json:"dataCentre" validate:"required,name"`
	Address    string           `json:"address" validate:"required,address"`
}

// Settings are the settings in the section "member".
type Settings struct {
	// Seeds are daemons to contact before the roster has been read.
	Seeds []Seed `json:"seeds" validate:"dive"`
	// DeadAfter is the time without a heartbeat or direct contact after which a
	// daemon of the same data centre counts as failed and other daemons take over
	// its work.
	DeadAfter settings.Duration `json:"deadAfter" validate:"duration"`
	// FarDeadAfter is the time without a heartbeat or direct contact after which a
	// daemon of another data centre counts as failed. Heartbeats of other data
	// centres arrive less often.
	FarDeadAfter settings.Duration `json:"farDeadAfter" validate:"duration"`
	// Address is the address at which other daemons reach the peer listener. If
	// it is empty, the roster's entry is used.
	Address string `json:"address" validate:"omitempty,address"`
	// Caller is the address at which other daemons reach the listener for
	// callers. If it is empty, the roster's entry is used.
	Caller string `json:"caller" validate:"omitempty,address"`
}

func defaultSettings() any {
	return &Settings{DeadAfter: settings.DurationOf(3 * time.Second), FarDeadAfter: settings.DurationOf(15 * time.Second)}
}

func init() {
	settings.Register("member", defaultSettings)
	plugin.Register(plugin.Decision, "member", newPlugin)
}

// instanceLister returns the platform's list of instances.
type instanceLister interface {
	Instances() []roster.Instance
}

// Plugin keeps the view up to date in the background.
type Plugin struct {
	*View
	plugin.BackgroundTasks
	deps   *plugin.Deps
	roster instanceLister
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section("member").(*Settings)
	p := &Plugin{deps: deps}
	p.View = New(Options{
		Self: DaemonInfo{
			Instance: deps.Settings.Daemon.Instance, DataCentre: deps.Settings.Daemon.DataCentre,
			Address: s.Address, CallerAddress: s.Caller, Incarnation: unit.Incarnation(deps.Clock.Now().UnixNano()),
		},
		Clock: deps.Clock, FailureTimeout: s.DeadAfter.Duration, RemoteFailureTimeout: s.FarDeadAfter.Duration,
		Seeds: s.Seeds,
	})
	deps.Provide(p)
	return p, nil
}

// ticksPerFailureTimeout is the number of Tick calls in the time after which a silent
// daemon counts as failed.
const ticksPerFailureTimeout = 12

// Start connects the view to the roster and calls Tick in the background.
func (p *Plugin) Start(context.Context) error {
	if err := p.deps.Resolve(&p.roster); err != nil {
		p.deps.Log.Info().Msg("member-without-roster")
	} else {
		p.setRoster(p.roster.Instances)
	}
	p.Every(p.deps.Clock, p.options.FailureTimeout/ticksPerFailureTimeout, func(context.Context) { p.Tick() })
	return nil
}

// setRoster sets the function that returns the platform's list of instances.
func (v *View) setRoster(list func() []roster.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.options.Roster = list
}

// adoptRosterAddresses sets this daemon's addresses from the roster where the
// settings leave them empty.
func (v *View) adoptRosterAddresses() {
	for _, i := range v.rosterInstances() {
		if i.ID != v.self.Instance {
			continue
		}
		if v.self.Address == "" {
			v.self.Address = i.Address
		}
		if v.self.CallerAddress == "" {
			v.self.CallerAddress = i.CallerAddress
		}
	}
}
