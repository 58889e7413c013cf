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
	m := &State{self: o.Self, hybridClock: o.HybridClock}
	m.current.Store(&statuses{})
	return m
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
	for _, mark := range current {
		all = append(all, mark)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Target.String() < all[j].Target.String() })
	return all
}

// Get returns the mark of the target, if there is one.
func (m *State) Get(t Target) (Status, bool) {
	mark, ok := (*m.current.Load())[t]
	return mark, ok
}

// SetStatus makes and applies a new mark.
func (m *State) SetStatus(t Target, out bool) (Status, error) {
	if err := t.Check(); err != nil {
		return Status{}, code.BadRecord.Wrap(err, "drain")
	}
	mark := Status{Target: t, Drained: out, Timestamp: m.hybridClock.Now(), SetBy: m.self}
	m.apply(mark)
	return mark, nil
}

// ApplyRemote applies a mark from elsewhere and reports whether it was news. A mark
// more than a minute ahead of the local clock is refused: it would win over
// every later one.
func (m *State) ApplyRemote(mark Status) (bool, error) {
	if err := mark.Check(); err != nil {
		return false, code.BadMessage.Wrap(err, "drain")
	}
	if err := m.hybridClock.Observe(mark.Timestamp); err != nil {
		return false, err
	}
	return m.apply(mark), nil
}

func (m *State) apply(mark Status) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.current.Load()
	if before, ok := old[mark.Target]; ok && !mark.Supersedes(&before) {
		return false
	}
	next := make(statuses, len(old)+1)
	for t, v := range old {
		next[t] = v
	}
	next[mark.Target] = mark
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
	for t, mark := range current {
		var stamp [8]byte
		binary.LittleEndian.PutUint64(stamp[:], uint64(mark.Timestamp))
		h := xxhash.New()
		_, _ = h.WriteString(t.String())
		_, _ = h.Write(stamp[:])
		_, _ = h.WriteString(string(mark.SetBy))
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
	var send []Status
	for _, mark := range m.Marks() {
		at := bucketOf(mark.Target) * width
		if len(digest) == len(own) && string(digest[at:at+width]) == string(own[at:at+width]) {
			continue
		}
		send = append(send, mark)
	}
	if len(send) == 0 {
		return nil
	}
	raw, err := json.Marshal(send)
	if err != nil {
		return nil
	}
	return raw
}

// decodeDelta reads a delta.
func decodeDelta(delta []byte) ([]Status, error) {
	var got []Status
	if err := json.Unmarshal(delta, &got); err != nil {
		return nil, code.BadMessage.Wrap(err, "drain: delta")
	}
	return got, nil
}
