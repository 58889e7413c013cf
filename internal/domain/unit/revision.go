package unit

import "strconv"

// Revision is the platform's revision of a key. Each write to the platform has a higher
// revision than all earlier writes, also after the platform was restored from a copy and gives
// its own numbers out again: the upper bits hold the era.
type Revision int64

// Era counts the restorations of the platform's store.
type Era int64

// Bounds of the parts of a Revision.
const (
	numberBits = 40
	// MaxEra is the highest era.
	MaxEra Era = 1<<(62-numberBits) - 1
)

// NewRevision returns the revision for the number that the platform gave out in the era.
func NewRevision(era Era, number int64) Revision {
	return Revision(int64(era)<<numberBits + number)
}

// Era returns the era of the revision.
func (r Revision) Era() Era {
	return Era(r >> numberBits)
}

// Number returns the platform's own number of the revision in its era.
func (r Revision) Number() int64 {
	return int64(r) & (1<<numberBits - 1)
}

// String returns the era and the number, such as "2/186", or the number alone if the platform
// names no eras.
func (r Revision) String() string {
	number := strconv.FormatInt(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatInt(int64(r.Era()), 10) + "/" + number
}
