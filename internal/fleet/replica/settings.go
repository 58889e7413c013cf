package replica

import (
	"time"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

// Settings are the settings in the section "replica".
type Settings struct {
	// ProbeInterval is the time between two probes of a member, and the time
	// limit of a probe.
	ProbeInterval settings.Duration `json:"probeInterval" validate:"duration"`
	// StaleAfter is the age from which a report no longer counts.
	StaleAfter settings.Duration `json:"staleAfter" validate:"duration"`
	// AttestStaleAfter is the age from which an attestation no longer counts.
	AttestStaleAfter settings.Duration `json:"attestStaleAfter" validate:"duration"`
	// AssignInterval is the time between two reads of the assignments from the
	// platform.
	AssignInterval settings.Duration `json:"assignInterval" validate:"duration"`
	// Probes bounds the members that are probed at the same time. It should
	// exceed the number of members of the replicas that one daemon owns, since
	// probes of a failed fabric domain otherwise delay the probes of other
	// domains.
	Probes int `json:"probes" validate:"min=1,max=4096"`
}

func init() {
	settings.Register(section, func() any {
		return &Settings{
			ProbeInterval:    settings.DurationOf(500 * time.Millisecond),
			StaleAfter:       settings.DurationOf(2 * time.Second),
			AttestStaleAfter: settings.DurationOf(3 * time.Second),
			AssignInterval:   settings.DurationOf(time.Second),
			Probes:           128,
		}
	})
	plugin.Register(plugin.Controller, section, newPlugin)
}
