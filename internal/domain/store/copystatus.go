package store

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// CopyStatus describes a daemon's copy of the keys.
type CopyStatus struct {
	// Revision is the revision up to which the copy is complete.
	Revision unit.Revision
	// Age is the time since the store last confirmed the copy. A copy older than
	// MaxAge may lack changes that have to be in force.
	Age, MaxAge time.Duration
	// Source is the daemon whose copy was read last, empty for the store itself.
	Source ident.Instance
}
