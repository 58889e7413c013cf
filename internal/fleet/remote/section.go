package remote

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Summaries holds the newest summary of each data centre.
type Summaries struct {
	clock  clock.Clock
	maxAge time.Duration

	mu       sync.Mutex
	newest   map[ident.DataCentre]receivedSummary
	versions map[ident.Instance]acceptedVersion
}

// receivedSummary is a summary and the time at which it was made, by the local clock.
type receivedSummary struct {
	Summary
	madeAt time.Time
}

// acceptedVersion is the newest summary accepted of an author. It outlives the summary,
// so that none older is accepted after another author's.
type acceptedVersion struct {
	incarnation unit.Incarnation
	sequence    unit.Sequence
	madeAt      time.Time
}

// NewSummaries returns no summaries. One of the limit's age counts as gone.
func NewSummaries(clk clock.Clock, maxAge time.Duration) *Summaries {
	return &Summaries{
		clock: clk, maxAge: maxAge,
		newest: make(map[ident.DataCentre]receivedSummary), versions: make(map[ident.Instance]acceptedVersion),
	}
}

// Put takes a summary and reports whether it replaced what was there. Of one
// author the newest counts; of several the youngest.
func (m *Summaries) Put(s Summary) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.prune(now)
	if s.Age >= m.maxAge {
		return false
	}
	if v, known := m.versions[s.Author]; known && !s.newer(v.incarnation, v.sequence) {
		return false
	}
	madeAt := now.Add(-s.Age)
	if current, found := m.newest[s.DataCentre]; found && current.Author != s.Author && !madeAt.After(current.madeAt) {
		return false
	}
	m.newest[s.DataCentre] = receivedSummary{s, madeAt}
	m.versions[s.Author] = acceptedVersion{s.Boot, s.Sequence, madeAt}
	return true
}

// versionRetention is the number of limits for which a version is kept. Ages leave
// out the time on the way, so a late summary may look younger than it is.
const versionRetention = 12

func (m *Summaries) prune(now time.Time) {
	for dc, e := range m.newest {
		if now.Sub(e.madeAt) >= m.maxAge {
			delete(m.newest, dc)
		}
	}
	for author, v := range m.versions {
		if now.Sub(v.madeAt) >= versionRetention*m.maxAge {
			delete(m.versions, author)
		}
	}
}

// Current returns the summaries that are not gone, in order of data centres,
// with their ages now. The rooms are shared and must not be changed.
func (m *Summaries) Current() []Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.prune(now)
	all := make([]Summary, 0, len(m.newest))
	for _, e := range m.newest {
		e.Age = now.Sub(e.madeAt)
		all = append(all, e.Summary)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].DataCentre < all[j].DataCentre })
	return all
}

// Section is the peer section's name.
func (m *Summaries) Section() string { return section }

// Global says that the summaries go to every data centre.
func (m *Summaries) Global() bool { return true }

// A digest has, for each data centre, the low bytes of the hashes of its name
// and of the author's boot, and of the sequence.
const (
	nameBytes        = 4
	authorBytes      = 2
	digestEntryBytes = 8
)

// Digest names the summaries; nil without any.
func (m *Summaries) Digest() []byte {
	var digest []byte
	for _, s := range m.Current() {
		digest = append(digest, digestEntry(&s)...)
	}
	return digest
}

func digestEntry(s *Summary) []byte {
	item := make([]byte, 0, digestEntryBytes)
	item = binary.LittleEndian.AppendUint32(item, uint32(xxhash.Sum64String(string(s.DataCentre))))
	boot := binary.LittleEndian.AppendUint64([]byte(s.Author), uint64(s.Boot))
	item = binary.LittleEndian.AppendUint16(item, uint16(xxhash.Sum64(boot)))
	return binary.LittleEndian.AppendUint16(item, uint16(s.Sequence))
}

// Delta returns the summaries that the digest lacks or has an older one of.
func (m *Summaries) Delta(digest []byte) []byte {
	if len(digest)%digestEntryBytes != 0 {
		digest = nil
	}
	theirs := make(map[uint32][]byte, len(digest)/digestEntryBytes)
	for ; len(digest) > 0; digest = digest[digestEntryBytes:] {
		theirs[binary.LittleEndian.Uint32(digest)] = digest[nameBytes:digestEntryBytes]
	}
	var send []Summary
	for _, s := range m.Current() {
		own := digestEntry(&s)
		if their := theirs[binary.LittleEndian.Uint32(own)]; their == nil || mayBeNewer(own[nameBytes:], their) {
			send = append(send, s)
		}
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

// mayBeNewer reports whether the own version may be newer: by the sequence of the
// same author's boot; of another author always, as ages decide then.
func mayBeNewer(own, their []byte) bool {
	if string(own[:authorBytes]) != string(their[:authorBytes]) {
		return true
	}
	return int16(binary.LittleEndian.Uint16(own[authorBytes:])-binary.LittleEndian.Uint16(their[authorBytes:])) > 0
}

// Merge takes the summaries of a peer. A malformed one doesn't stop the others.
func (m *Summaries) Merge(from ident.Instance, delta []byte) error {
	var got []Summary
	if err := json.Unmarshal(delta, &got); err != nil {
		return code.BadMessage.Wrap(err, "remote: delta of %s", from)
	}
	var failures []error
	for _, s := range got {
		if err := s.Check(); err != nil {
			failures = append(failures, err)
			continue
		}
		m.Put(s)
	}
	if err := errors.Join(failures...); err != nil {
		return code.BadMessage.Wrap(err, "remote: delta of %s", from)
	}
	return nil
}
