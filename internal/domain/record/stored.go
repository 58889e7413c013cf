package record

import (
	"time"

	"cuminbay/internal/domain/unit"
)

// Stored is a record as the platform holds it.
type Stored struct {
	Name
	Revision unit.Revision `json:"revision"`
	Raw      []byte        `json:"raw"`
}

// Rejection is a record that is not in effect because it is invalid. The
// earlier one, if any, stays active.
type Rejection struct {
	Name
	Revision unit.Revision `json:"revision"`
	Reason   string        `json:"reason"`
	// Time is when this daemon first saw the record.
	Time time.Time `json:"time"`
}
