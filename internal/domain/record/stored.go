package record

import (
	"time"

	"cuminbay/internal/domain/unit"
)

// StoredRecord is a record in its encoded form, with its revision at the platform.
type StoredRecord struct {
	Name
	Revision unit.Revision `json:"revision"`
	Raw      []byte        `json:"raw"`
}

// Rejection says why a daemon does not apply a revision of a record. The last
// valid revision, if there is one, stays active.
type Rejection struct {
	Name
	Revision unit.Revision `json:"revision"`
	Reason   string        `json:"reason"`
	// Time is the time at which this daemon first received the invalid
	// revision.
	Time time.Time `json:"time"`
}
