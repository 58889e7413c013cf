// Package store holds the types of the platform's key-value service, which
// keeps all that must last.
package store

import "cuminbay/internal/domain/unit"

// Key is a key of the platform's key-value service.
type Key string

// The prefixes of the keys.
const (
	RecordPrefix     Key = "/cuminbay/records/"
	AssignmentPrefix Key = "/cuminbay/assign/"
	LeaderPrefix     Key = "/cuminbay/duty/"
	ClaimPrefix      Key = "/cuminbay/claims/"
	DrainPrefix      Key = "/cuminbay/drains/"
)

// LeaseID identifies a lease of the platform; zero is none.
type LeaseID int64

// Entry is a key with its value. A Revision of zero stands for an absent key.
type Entry struct {
	Key      Key
	Value    []byte
	Revision unit.Revision
	Lease    LeaseID
}

// Swap is a compare-and-swap of one key.
type Swap struct {
	Key Key
	// ExpectedRevision is the revision that the key must have; zero, that it is absent.
	ExpectedRevision unit.Revision
	Value            []byte
	// Lease, if not zero, removes the key when it lapses.
	Lease LeaseID
}

// SwapResult says how a Swap ended.
type SwapResult int

// The results. Unknown means that the answer was lost and the write may or may
// not take effect, also later; the caller settles it by reading back.
const (
	Unknown SwapResult = iota
	Applied
	Conflict
)

// Change is a change of a key that a watch reports.
type Change struct {
	Entry
	// Removed says that the key was deleted or its lease lapsed.
	Removed bool
}
