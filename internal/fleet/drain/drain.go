// Package drain keeps what is out of service: a last-writer-wins mark per data
// centre or instance.
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

// hybridClock is the clock that stamps marks and refuses stamps far ahead.
type hybridClock interface {
	Now() timeline.Timestamp
	Observe(s timeline.Timestamp) error
}

type statuses map[Target]Status

// State holds the marks. Reads take no lock.
type State struct {
	self        ident.Instance
	hybridClock hybridClock
	mu          sync.Mutex
	current     atomic.Pointer[statuses]
}

// Options are the parts of State.
type Options struct {
	Self        ident.Instance
	HybridClock hybridClock
}

// New returns an empty set of marks.
func New(o Options) *State {
	s := &State{self: o.Self, hybridClock: o.HybridClock}
	s.current.Store(&statuses{})
	return s
}

// DataCentreDrained reports whether the data centre is out of service.
func (m *State) DataCentreDrained(d ident.DataCentre) bool {
	return (*m.current.Load())[Target{Kind: drainstatus.DataCentre, ID: string(d)}].Drained
}

// InstanceDrained reports whether the instance is out of service.
func (m *State) InstanceDrained(i ident.Instance) bool {
	return (*m.current.Load())[Target{Kind: drainstatus.Instance, ID: string(i)}].Drained
}

// Marks returns all marks in order of their targets.
func (m *State) Marks() []Status {
	current := *m.current.Load()
	all := make([]Status, 0, len(current))
	for _, status := range current {
		all = append(all, status)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Target.String() < all[j].Target.String() })
	return all
}

// Get returns the mark of the target, if there is one.
func (m *State) Get(t Target) (Status, bool) {
	status, ok := (*m.current.Load())[t]
	return status, ok
}

// SetStatus makes and applies a new mark.
func (m *State) SetStatus(t Target, drained bool) (Status, error) {
	if err := t.Check(); err != nil {
		return Status{}, code.BadRecord.Wrap(err, "drain")
	}
	status := Status{Target: t, Drained: drained, Timestamp: m.hybridClock.Now(), SetBy: m.self}
	m.apply(status)
	return status, nil
}

// ApplyRemote applies a mark from elsewhere and reports whether it was news. A mark
// more than a minute ahead of the local clock is refused: it would win over
// every later one.
func (m *State) ApplyRemote(status Status) (bool, error) {
	if err := status.Check(); err != nil {
		return false, code.BadMessage.Wrap(err, "drain")
	}
	if err := m.hybridClock.Observe(status.Timestamp); err != nil {
		return false, err
	}
	return m.apply(status), nil
}

func (m *State) apply(status Status) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := *m.current.Load()
	if existing, ok := current[status.Target]; ok && !status.Supersedes(&existing) {
		return false
	}
	next := make(statuses, len(current)+1)
	for t, s := range current {
		next[t] = s
	}
	next[status.Target] = status
	m.current.Store(&next)
	return true
}

// bucketCount bounds what is sent again after one mark has changed.
const bucketCount = 16

func bucketOf(t Target) uint64 { return xxhash.Sum64String(t.String()) % bucketCount }

// Digest is one hash per bucket of targets; nil without marks.
func (m *State) Digest() []byte {
	current := *m.current.Load()
	if len(current) == 0 {
		return nil
	}
	var sums [bucketCount]uint64
	for t, status := range current {
		var stamp [8]byte
		binary.LittleEndian.PutUint64(stamp[:], uint64(status.Timestamp))
		h := xxhash.New()
		_, _ = h.WriteString(t.String())
		_, _ = h.Write(stamp[:])
		_, _ = h.WriteString(string(status.SetBy))
		sums[bucketOf(t)] ^= h.Sum64()
	}
	var digest []byte
	for _, s := range sums {
		digest = binary.LittleEndian.AppendUint32(digest, uint32(s))
	}
	return digest
}

// Delta returns the marks of the buckets in which the digest differs.
func (m *State) Delta(digest []byte) []byte {
	own := m.Digest()
	if own == nil {
		return nil
	}
	const width = 4
	var missing []Status
	for _, status := range m.Marks() {
		offset := bucketOf(status.Target) * width
		if len(digest) == len(own) && string(digest[offset:offset+width]) == string(own[offset:offset+width]) {
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

// decodeDelta reads a delta.
func decodeDelta(delta []byte) ([]Status, error) {
	var received []Status
	if err := json.Unmarshal(delta, &received); err != nil {
		return nil, code.BadMessage.Wrap(err, "drain: delta")
	}
	return received, nil
}
