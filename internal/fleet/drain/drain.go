// Package drain replicates which data centres and instances the operators have
// taken out of service. Each target has a status; the status with the latest
// timestamp is in effect. Daemons exchange statuses with each other and through
// the platform's key-value store.
package drain

import (
	"encoding/binary"
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/drainstatus"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/timeline"
)

// Target is a data centre or an instance.
type Target = drainstatus.Target

// Status says whether a target is out of service.
type Status = drainstatus.Status

// hybridClock makes the timestamps of statuses. Observe fails for a timestamp that
// is too far in the future.
type hybridClock interface {
	Now() timeline.Timestamp
	Observe(t timeline.Timestamp) error
}

// statuses is an immutable set of statuses, one per target.
type statuses map[Target]Status

// State holds the statuses of all targets. Reads take no lock.
type State struct {
	self        ident.Instance
	hybridClock hybridClock
	mu          sync.Mutex
	current     atomic.Pointer[statuses]
}

// Options configure a State.
type Options struct {
	Self        ident.Instance
	HybridClock hybridClock
}

// New returns a State without statuses.
func New(o Options) *State {
	s := &State{self: o.Self, hybridClock: o.HybridClock}
	s.current.Store(&statuses{})
	return s
}

// DataCentreDrained reports whether the data centre is out of service.
func (s *State) DataCentreDrained(d ident.DataCentre) bool {
	return (*s.current.Load())[Target{Kind: drainstatus.DataCentre, ID: string(d)}].Drained
}

// InstanceDrained reports whether the instance is out of service.
func (s *State) InstanceDrained(i ident.Instance) bool {
	return (*s.current.Load())[Target{Kind: drainstatus.Instance, ID: string(i)}].Drained
}

// Statuses returns all statuses in order of their targets.
func (s *State) Statuses() []Status {
	current := *s.current.Load()
	sorted := make([]Status, 0, len(current))
	for _, status := range current {
		sorted = append(sorted, status)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Target.String() < sorted[j].Target.String() })
	return sorted
}

// Get returns the status of the target, if there is one.
func (s *State) Get(t Target) (Status, bool) {
	status, ok := (*s.current.Load())[t]
	return status, ok
}

// SetStatus makes a new status of the target, with the current timestamp, and
// applies it.
//
// Errors carry code.BadRecord.
func (s *State) SetStatus(t Target, drained bool) (Status, error) {
	if err := t.Check(); err != nil {
		return Status{}, code.BadRecord.Wrap(err, "drain: set status")
	}
	status := Status{Target: t, Drained: drained, Timestamp: s.hybridClock.Now(), SetBy: s.self}
	s.apply(status)
	return status, nil
}

// ApplyRemote applies a status from a peer or the platform and reports whether it
// replaced the current one. A status whose timestamp is more than a minute ahead
// of the local clock is refused, since it would replace every status that is set
// before the clock reaches that timestamp.
//
// Errors carry code.BadMessage.
func (s *State) ApplyRemote(status Status) (bool, error) {
	if err := status.Check(); err != nil {
		return false, code.BadMessage.Wrap(err, "drain: apply status")
	}
	if err := s.hybridClock.Observe(status.Timestamp); err != nil {
		return false, err
	}
	return s.apply(status), nil
}

func (s *State) apply(status Status) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := *s.current.Load()
	if existing, ok := current[status.Target]; ok && !status.Supersedes(&existing) {
		return false
	}
	next := make(statuses, len(current)+1)
	for t, other := range current {
		next[t] = other
	}
	next[status.Target] = status
	s.current.Store(&next)
	return true
}

// bucketCount is the number of buckets of targets. After one status has changed,
// only the statuses of its bucket are sent.
const bucketCount = 16

func bucketOf(t Target) uint64 { return xxhash.Sum64String(t.String()) % bucketCount }

// Digest returns one hash per bucket of targets, or nil without statuses.
func (s *State) Digest() []byte {
	current := *s.current.Load()
	if len(current) == 0 {
		return nil
	}
	var sums [bucketCount]uint64
	for t, status := range current {
		var timestamp [8]byte
		binary.LittleEndian.PutUint64(timestamp[:], uint64(status.Timestamp))
		h := xxhash.New()
		_, _ = h.WriteString(t.String())
		_, _ = h.Write(timestamp[:])
		_, _ = h.WriteString(string(status.SetBy))
		sums[bucketOf(t)] ^= h.Sum64()
	}
	var digest []byte
	for _, sum := range sums {
		digest = binary.LittleEndian.AppendUint32(digest, uint32(sum))
	}
	return digest
}

// Delta returns the statuses of the buckets whose hashes differ from the digest,
// encoded, or nil if none differ.
func (s *State) Delta(digest []byte) []byte {
	ownDigest := s.Digest()
	if ownDigest == nil {
		return nil
	}
	const hashBytes = 4
	var missing []Status
	for _, status := range s.Statuses() {
		offset := bucketOf(status.Target) * hashBytes
		if len(digest) == len(ownDigest) && string(digest[offset:offset+hashBytes]) == string(ownDigest[offset:offset+hashBytes]) {
			continue
		}
		missing = append(missing, status)
	}
	if len(missing) == 0 {
		return nil
	}
	raw, err := json.Marshal(missing)
	if err != nil {
		return nil
	}
	return raw
}

// decodeDelta decodes a delta from a peer.
//
// Errors carry code.BadMessage.
func decodeDelta(delta []byte) ([]Status, error) {
	var received []Status
	if err := json.Unmarshal(delta, &received); err != nil {
		return nil, code.BadMessage.Wrap(err, "drain: decode delta")
	}
	return received, nil
}
