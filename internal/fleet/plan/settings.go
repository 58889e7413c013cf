package plan

import (
	"time"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

// Settings are the settings in the section "plan".
type Settings struct {
	// Interval is the time between two rounds, and the time limit of each of
	// the reads, writes, probes and orders in a round.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Grace is the time for which a member must be unreachable before it is
	// replaced.
	Grace settings.Duration `json:"grace" validate:"duration"`
	// Hold is the least time between two voluntary changes of a domain.
	Hold settings.Duration `json:"hold" validate:"duration"`
	// LoadsAtOnce bounds the members of a domain that load weights at the same
	// time.
	LoadsAtOnce int `json:"loadsAtOnce" validate:"min=1,max=100000"`
	// LeaseTTL is the time to live of the planner lease.
	LeaseTTL settings.Duration `json:"leaseTTL" validate:"duration"`
	// Settle is the time within which every daemon is informed that a replica is
	// draining.
	Settle settings.Duration `json:"settle" validate:"duration"`
	// DrainLimit bounds the wait for a draining replica to become idle.
	DrainLimit settings.Duration `json:"drainLimit" validate:"duration"`
	// Probes bounds the instances that are probed or sent orders at the same
	// time. It should exceed the number of instances that may fail together:
	// probes that hang delay the probes of spare instances, which would then
	// count as unreachable.
	Probes int `json:"probes" validate:"min=1,max=4096"`
}

func init() {
	settings.Register(section, func() any {
		return &Settings{
			Interval:    settings.DurationOf(time.Second),
			Grace:       settings.DurationOf(3 * time.Second),
			Hold:        settings.DurationOf(time.Minute),
			LoadsAtOnce: 16,
			LeaseTTL:    settings.DurationOf(10 * time.Second),
			Settle:      settings.DurationOf(3 * time.Second),
			DrainLimit:  settings.DurationOf(30 * time.Second),
			Probes:      256,
		}
	})
	plugin.Register(plugin.Controller, section, newPlugin)
}
