package config

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// StoredRecord is a record as the platform stores it.
type StoredRecord = record.StoredRecord

// Rejection describes an invalid record, which is not in effect.
type Rejection = record.Rejection

// eventRecorder is the part of the timeline that this package uses.
type eventRecorder interface {
	Record(name, subject string, pairs ...string)
}

// Origin says how this daemon received a record. It appears in timeline events.
type Origin string

// The origins.
const (
	FromList  Origin = "list"
	FromWatch Origin = "watch"
	FromPeer  Origin = "peer"
	FromWrite Origin = "write"
)

// recordVersions holds the newest valid and the newest invalid record of a name.
type recordVersions struct {
	// active is the newest valid record, and decoded its content. The revision is
	// 0 if there is no valid record.
	active  StoredRecord
	decoded *record.Record
	// rejected is the newest invalid record if it is newer than active;
	// otherwise its revision is 0.
	rejected  StoredRecord
	rejection *Rejection
}

func (v *recordVersions) newestRevision() unit.Revision {
	return max(v.active.Revision, v.rejected.Revision)
}

// State holds the records. For each name the record with the highest revision is
// used, independent of the order and the origin in which records arrive. Readers of
// the view take no lock.
type State struct {
	clock  clock.Clock
	events eventRecorder

	view     atomic.Pointer[record.View]
	rejected atomic.Pointer[[]Rejection]
	revision atomic.Int64
	ready    atomic.Bool
	// remainingDetailedDigests is the number of digests that are still to be sent with
	// bucket hashes.
	remainingDetailedDigests atomic.Int64

	mu      sync.Mutex
	records map[record.Name]*recordVersions
	buckets [bucketCount]uint64
}

// NewState returns a state without records, which is not ready.
func NewState(clk clock.Clock, events eventRecorder) *State {
	s := &State{clock: clk, events: events, records: make(map[record.Name]*recordVersions)}
	s.publish()
	return s
}

// View returns the active records. It is never nil.
func (s *State) View() *record.View {
	return s.view.Load()
}

// Rejected returns the rejected records in order of name. Callers must not change
// the slice.
func (s *State) Rejected() []Rejection {
	return *s.rejected.Load()
}

// Ready reports whether the state has received the complete records of the
// platform or of a ready peer.
func (s *State) Ready() bool {
	return s.ready.Load()
}

// SetReady makes Ready report true from now on.
func (s *State) SetReady() {
	s.ready.Store(true)
}

// Revision returns the highest revision of all known records.
func (s *State) Revision() unit.Revision {
	return unit.Revision(s.revision.Load())
}

// Active returns the newest valid records in order of name, withdrawn ones
// included.
func (s *State) Active() []StoredRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var active []StoredRecord
	for _, versions := range s.records {
		if versions.active.Revision > 0 {
			active = append(active, versions.active)
		}
	}
	slices.SortFunc(active, func(a, b StoredRecord) int { return compareNames(a.Name, b.Name) })
	return active
}

// Apply merges records of any origin. A record that is not newer than the known
// one of its name has no effect.
func (s *State) Apply(origin Origin, records []StoredRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, r := range records {
		if s.apply(origin, r) {
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

func (s *State) apply(origin Origin, r StoredRecord) bool {
	versions := s.records[r.Name]
	if versions == nil {
		versions = new(recordVersions)
	}
	if r.Revision <= versions.active.Revision || r.Revision == versions.rejected.Revision {
		return false
	}
	decoded, err := decode(r)
	if err != nil && r.Revision < versions.rejected.Revision {
		return false
	}
	oldHash := versions.hash(r.Name)
	if err != nil {
		versions.rejected = r
		versions.rejection = &Rejection{Name: r.Name, Revision: r.Revision, Reason: err.Error(), Time: s.clock.Now()}
		s.events.Record("record-rejected", r.String(), "revision", revisionText(r.Revision), "from", string(origin), "reason", err.Error())
	} else {
		versions.active, versions.decoded = r, decoded
		if versions.rejected.Revision < r.Revision {
			versions.rejected, versions.rejection = StoredRecord{}, nil
		}
		s.events.Record("record-active", r.String(), "revision", revisionText(r.Revision), "from", string(origin))
	}
	s.records[r.Name] = versions
	s.buckets[bucketOf(r.Name)] ^= oldHash ^ versions.hash(r.Name)
	s.revision.Store(max(s.revision.Load(), int64(r.Revision)))
	return true
}

// decode decodes a record. It also checks the record's name, since an operator may
// have written the platform's key by hand.
func decode(r StoredRecord) (*record.Record, error) {
	if _, err := record.ParseName(r.String()); err != nil {
		return nil, err
	}
	return record.Decode(r.Name, r.Raw)
}

func (s *State) publish() {
	records := make([]*record.Record, 0, len(s.records))
	rejected := []Rejection{}
	for _, versions := range s.records {
		if versions.decoded != nil {
			records = append(records, versions.decoded)
		}
		if versions.rejection != nil {
			rejected = append(rejected, *versions.rejection)
		}
	}
	// The view keeps the order of the records within a model, so the order must
	// not depend on the iteration of the map.
	slices.SortFunc(records, func(a, b *record.Record) int { return compareNames(a.Name, b.Name) })
	slices.SortFunc(rejected, func(a, b Rejection) int { return compareNames(a.Name, b.Name) })
	s.view.Store(record.NewView(records))
	s.rejected.Store(&rejected)
}

func compareNames(a, b record.Name) int {
	return strings.Compare(a.String(), b.String())
}

// recordFromEntry converts an entry of the platform to a record. If the key is not
// a valid record key, the rest of the key after the prefix becomes the name, so
// that operators see the record as rejected.
func recordFromEntry(e store.Entry) StoredRecord {
	name, err := record.NameFromKey(e.Key)
	if err != nil {
		path := strings.TrimPrefix(string(e.Key), string(store.RecordPrefix))
		kind, recordName, _ := strings.Cut(path, "/")
		name = record.Name{Kind: record.Kind(kind), Name: recordName}
	}
	return StoredRecord{Name: name, Revision: e.Revision, Raw: e.Value}
}
