package plan

import (
	"time"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

// Settings is the section "plan".
type Settings struct {
	// Interval is the time between two rounds, and the limit of each of the
	// reads, writes, probes and orders in a round.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Grace is the time that a member must be missing to be replaced.
	Grace settings.Duration `json:"grace" validate:"duration"`
	// Hold is the time between two voluntary changes of a domain.
	Hold settings.Duration `json:"hold" validate:"duration"`
	// LoadsAtOnce bounds the members of a domain that load weights at once.
	LoadsAtOnce int `json:"loadsAtOnce" validate:"min=1,max=100000"`
	// LeaseTTL is the time to live of the duty's lease.
	LeaseTTL settings.Duration `json:"leaseTTL" validate:"duration"`
	// Settle is the time after which every daemon has heard that a replica
	// is leaving.
	Settle settings.Duration `json:"settle" validate:"duration"`
	// DrainLimit bounds the wait for a leaving replica to become idle.
	DrainLimit settings.Duration `json:"drainLimit" validate:"duration"`
	// Probes bounds the instances that are read or ordered at once. It should
	// exceed the instances that may fail together, since reads that hang
	// otherwise delay those of spare instances until they count as missing.
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
