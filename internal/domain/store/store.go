// Package store holds the types of the platform's key-value store: keys,
// entries, leases and compare-and-swap. Daemons keep all durable state in that
// store.
package store

import "cuminbay/internal/domain/unit"

// Key is a key of the platform's key-value store.
type Key string

// The prefixes of the keys.
const (
	RecordPrefix     Key = "/cuminbay/records/"
	AssignmentPrefix Key = "/cuminbay/assign/"
	LeaderPrefix     Key = "/cuminbay/duty/"
	ClaimPrefix      Key = "/cuminbay/claims/"
	DrainPrefix      Key = "/cuminbay/drains/"
	PoisonPrefix     Key = "/cuminbay/poison/"
)

// LeaseID identifies a lease of the platform; zero means no lease.
type LeaseID int64

// Entry is a key with its value. A Revision of zero means that the key does not
// exist.
type Entry struct {
	Key      Key
	Value    []byte
	Revision unit.Revision
	Lease    LeaseID
}

// Swap is a compare-and-swap of one key.
type Swap struct {
	Key Key
	// ExpectedRevision is the revision that the key must have; zero means that
	// the key must not exist.
	ExpectedRevision unit.Revision
	Value            []byte
	// Lease, if not zero, is attached to the key: the platform deletes the key
	// when the lease ends.
	Lease LeaseID
}

// SwapResult is the result of a Swap.
type SwapResult int

// The results. Unknown means that the answer was lost: the write may have taken
// effect, may take effect later, or may never take effect. The caller reads the
// key to find out. Conflict means that the key had another revision.
const (
	Unknown SwapResult = iota
	Applied
	Conflict
)

// Change is a change of a key that a watch reports.
type Change struct {
	Entry
	// Removed says that the key was deleted or that its lease ended.
	Removed bool
}
