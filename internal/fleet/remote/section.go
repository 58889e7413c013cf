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

// Summaries holds the newest summary of each data centre and exchanges the
// summaries with peers.
type Summaries struct {
	clock  clock.Clock
	maxAge time.Duration

	mu       sync.Mutex
	newest   map[ident.DataCentre]storedSummary
	versions map[ident.Instance]acceptedVersion
}

// storedSummary is a summary with the local time at which it was made, computed
// from its age on arrival.
type storedSummary struct {
	Summary
	madeAt time.Time
}

// acceptedVersion is the version of the newest summary accepted from an author.
// The version outlives the summary, so that a delayed older summary of the author is
// still refused after a summary of another author was accepted.
type acceptedVersion struct {
	incarnation unit.Incarnation
	sequence    unit.Sequence
	madeAt      time.Time
}

// NewSummaries returns an empty set of summaries. Summaries from maxAge on no
// longer count.
func NewSummaries(clk clock.Clock, maxAge time.Duration) *Summaries {
	return &Summaries{
		clock: clk, maxAge: maxAge,
		newest: make(map[ident.DataCentre]storedSummary), versions: make(map[ident.Instance]acceptedVersion),
	}
}

// Put stores a summary unless it is stale or older than the stored summary, and
// reports whether it did. The summary must be newer than the last summary accepted
// from its author. If another author made the stored summary, the new summary must
// also have been made later.
func (m *Summaries) Put(s Summary) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.prune(now)
	if s.Age >= m.maxAge {
		return false
	}
	if version, found := m.versions[s.Author]; found && !s.isNewer(version.incarnation, version.sequence) {
		return false
	}
	madeAt := now.Add(-s.Age)
	if current, found := m.newest[s.DataCentre]; found && current.Author != s.Author && !madeAt.After(current.madeAt) {
		return false
	}
	m.newest[s.DataCentre] = storedSummary{s, madeAt}
	m.versions[s.Author] = acceptedVersion{s.Incarnation, s.Sequence, madeAt}
	return true
}

// maxVersions bounds the number of authors whose versions are kept. It exceeds the
// daemons of the largest fleet, with their replacements, several times. A version
// isn't removed after a time, since a daemon that was suspended may send a summary
// with an age that is too low by any amount.
const maxVersions = 4096

// prune removes the summaries that no longer count, and the oldest versions beyond
// maxVersions.
func (m *Summaries) prune(now time.Time) {
	for dc, summary := range m.newest {
		if now.Sub(summary.madeAt) >= m.maxAge {
			delete(m.newest, dc)
		}
	}
	for len(m.versions) > maxVersions {
		m.removeOldestVersion()
	}
}

func (m *Summaries) removeOldestVersion() {
	var oldest ident.Instance
	for author, version := range m.versions {
		if oldest == "" || version.madeAt.Before(m.versions[oldest].madeAt) {
			oldest = author
		}
	}
	delete(m.versions, oldest)
}

// Current returns the summaries that still count with their present ages, in
// order of the data centres. Their capacities are shared and must not be
// changed.
func (m *Summaries) Current() []Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.prune(now)
	summaries := make([]Summary, 0, len(m.newest))
	for _, summary := range m.newest {
		summary.Age = now.Sub(summary.madeAt)
		summaries = append(summaries, summary.Summary)
	}
	sort.Slice(summaries, func(i, j int) bool { return summaries[i].DataCentre < summaries[j].DataCentre })
	return summaries
}

// Section returns the name of the peer section.
func (m *Summaries) Section() string { return section }

// IsGlobal returns true, since the summaries go to every data centre.
func (m *Summaries) IsGlobal() bool { return true }

// A digest has an entry for each data centre: the low bytes of the hash of its
// name, of the hash of the author's name and incarnation, and of the sequence.
const (
	nameBytes        = 4
	authorBytes      = 2
	digestEntryBytes = 8
)

// Digest returns the versions of the summaries, nil if there are none.
func (m *Summaries) Digest() []byte {
	var digest []byte
	for _, s := range m.Current() {
		digest = append(digest, digestEntry(&s)...)
	}
	return digest
}

// digestEntry returns the entry of a summary.
func digestEntry(s *Summary) []byte {
	entry := make([]byte, 0, digestEntryBytes)
	entry = binary.LittleEndian.AppendUint32(entry, uint32(xxhash.Sum64String(string(s.DataCentre))))
	author := binary.LittleEndian.AppendUint64([]byte(s.Author), uint64(s.Incarnation))
	entry = binary.LittleEndian.AppendUint16(entry, uint16(xxhash.Sum64(author)))
	return binary.LittleEndian.AppendUint16(entry, uint16(s.Sequence))
}

// Delta returns the summaries that may be newer than those in the digest, nil
// if there are none.
func (m *Summaries) Delta(digest []byte) []byte {
	if len(digest)%digestEntryBytes != 0 {
		digest = nil
	}
	peerEntries := make(map[uint32][]byte, len(digest)/digestEntryBytes)
	for ; len(digest) > 0; digest = digest[digestEntryBytes:] {
		peerEntries[binary.LittleEndian.Uint32(digest)] = digest[nameBytes:digestEntryBytes]
	}
	var newer []Summary
	for _, s := range m.Current() {
		entry := digestEntry(&s)
		if peerEntry := peerEntries[binary.LittleEndian.Uint32(entry)]; peerEntry == nil || mayBeNewer(entry[nameBytes:], peerEntry) {
			newer = append(newer, s)
		}
	}
	if len(newer) == 0 {
		return nil
	}
	raw, err := json.Marshal(newer)
	if err != nil {
		return nil
	}
	return raw
}

// mayBeNewer compares the author and sequence of two entries. For the same
// author and incarnation the sequence decides. A summary of another author may
// always be newer, since the receiver decides by age.
func mayBeNewer(own, peer []byte) bool {
	if string(own[:authorBytes]) != string(peer[:authorBytes]) {
		return true
	}
	return int16(binary.LittleEndian.Uint16(own[authorBytes:])-binary.LittleEndian.Uint16(peer[authorBytes:])) > 0
}

// Merge stores the summaries of a peer. If a summary is malformed, the others are
// still stored. Errors carry code.BadMessage.
func (m *Summaries) Merge(from ident.Instance, delta []byte) error {
	var summaries []Summary
	if err := json.Unmarshal(delta, &summaries); err != nil {
		return code.BadMessage.Wrap(err, "remote: merge summaries from %s", from)
	}
	var errs []error
	for _, s := range summaries {
		if err := s.Check(); err != nil {
			errs = append(errs, err)
			continue
		}
		m.Put(s)
	}
	if err := errors.Join(errs...); err != nil {
		return code.BadMessage.Wrap(err, "remote: merge summaries from %s", from)
	}
	return nil
}
