package replica

import (
	"time"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

// Settings is the section "replica".
type Settings struct {
	// ProbeInterval is the time between two reads of a member's report, and
	// the limit of one read.
	ProbeInterval settings.Duration `json:"probeInterval" validate:"duration"`
	// StaleAfter is the age at which a report no longer counts.
	StaleAfter settings.Duration `json:"staleAfter" validate:"duration"`
	// AttestStaleAfter is the age at which an attestation no longer counts.
	AttestStaleAfter settings.Duration `json:"attestStaleAfter" validate:"duration"`
	// AssignInterval is the time between two reads of the assignments.
	AssignInterval settings.Duration `json:"assignInterval" validate:"duration"`
	// Probes bounds the members that are read at once. It should exceed the
	// members of the replicas that one daemon owns, since those of a failed
	// fabric domain otherwise delay the reads of the others.
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
