package poison

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
)

// crashEntry is a crash set in the exchange between peers. Remaining is the remaining
// lifetime. It is a duration because the clocks of daemons may differ.
type crashEntry struct {
	Fingerprint ident.Fingerprint `json:"f"`
	Observer    ident.Instance    `json:"o"`
	Count       uint32            `json:"n"`
	Remaining   time.Duration     `json:"l"`
	// Crashes is empty if the peer's version counts crashes only.
	Crashes []ident.Crash `json:"c,omitempty"`
}

// isKnownIn reports whether the entry tells no crash that is not among the known ones. The report of
// a daemon that has heard of a crash must not prolong its lifetime. Numbers of crashes don't tell
// whether these are known.
func (e *crashEntry) isKnownIn(known []ident.Crash) bool {
	unnamed := ident.UnnamedCrashes(e.Observer, ident.MaxCrashes)
	isUnknown := func(crash ident.Crash) bool { return !slices.Contains(known, crash) || slices.Contains(unnamed, crash) }
	return len(e.Crashes) > 0 && !slices.ContainsFunc(e.Crashes, isUnknown)
}

// mergedWith returns the known crashes of the entry's observer and those of the entry. A peer
// of an earlier version may tell only the number of crashes that others tell by identity.
func (e *crashEntry) mergedWith(known []ident.Crash) []ident.Crash {
	unnamed := ident.UnnamedCrashes(e.Observer, ident.MaxCrashes)
	if len(e.Crashes) > 0 {
		isUnnamed := func(crash ident.Crash) bool { return slices.Contains(unnamed, crash) }
		return addCrashes(slices.DeleteFunc(slices.Clone(known), isUnnamed), e.Crashes...)
	}
	for _, crash := range unnamed {
		if len(known) < int(e.Count) {
			known = addCrashes(known, crash)
		}
	}
	return known
}

// Check returns an error for an entry with an invalid observer or an excessive
// lifetime.
func (e *crashEntry) Check(lifetime time.Duration) error {
	if err := ident.CheckName(string(e.Observer)); err != nil {
		return err
	}
	if e.Remaining > lifetime {
		return code.BadMessage.New("crash set has a remaining lifetime of %s, expected at most %s", e.Remaining, lifetime)
	}
	return nil
}

// Section returns the name of the section in the exchange between daemons.
func (d *Detector) Section() string {
	return "poison"
}

// IsGlobal returns true: the section is exchanged with every data centre, as callers may
// retry in any data centre.
func (d *Detector) IsGlobal() bool {
	return true
}

// digestBuckets is the number of buckets over which requests are spread. After a change
// of one crash set, only the sets of its bucket are sent.
const digestBuckets = 16

// bucketHashBytes is the size of a bucket's hash in a digest.
const bucketHashBytes = 4

// Digest returns one hash for each bucket, or nil if there are no crashes. It
// contains no fingerprints, as it is sent many times per second and has to be small.
func (d *Detector) Digest() []byte {
	now := d.Clock.Now()
	var hashes [digestBuckets]uint64
	empty := true
	for k, v := range d.current.Load().sets {
		if !now.Before(v.expires) {
			continue
		}
		empty = false
		raw := binary.LittleEndian.AppendUint64([]byte(k.observer), uint64(k.fingerprint))
		hashes[k.fingerprint%digestBuckets] ^= xxhash.Sum64(binary.LittleEndian.AppendUint32(raw, uint32(len(v.crashes))))
	}
	if empty {
		return nil
	}
	digest := make([]byte, 0, digestBuckets*bucketHashBytes)
	for _, hash := range hashes {
		digest = binary.LittleEndian.AppendUint32(digest, uint32(hash))
	}
	return digest
}

// Delta returns the crash sets of the buckets whose hashes differ from the digest.
func (d *Detector) Delta(digest []byte) []byte {
	ownDigest := d.Digest()
	return d.encodeSets(func(k setKey, _ crashSet) bool {
		offset := int(k.fingerprint%digestBuckets) * bucketHashBytes
		return len(digest) != len(ownDigest) || string(digest[offset:offset+bucketHashBytes]) != string(ownDigest[offset:offset+bucketHashBytes])
	})
}

// encodeSets returns the crash sets for which include returns true as JSON, or nil if there
// are none.
func (d *Detector) encodeSets(include func(setKey, crashSet) bool) []byte {
	now := d.Clock.Now()
	var entries []crashEntry
	for k, v := range d.current.Load().sets {
		if remaining := v.expires.Sub(now); remaining > 0 && include(k, v) {
			entries = append(entries, crashEntry{k.fingerprint, k.observer, uint32(len(v.crashes)), remaining, v.crashes})
		}
	}
	if entries == nil {
		return nil
	}
	raw, err := json.Marshal(entries)
	if err != nil {
		return nil
	}
	return raw
}

// Merge merges a delta of a peer.
//
// Errors carry code.BadMessage.
func (d *Detector) Merge(from ident.Instance, delta []byte) error {
	var entries []crashEntry
	if err := json.Unmarshal(delta, &entries); err != nil {
		return code.BadMessage.Wrap(err, "merge crashes from %s", from)
	}
	for _, e := range entries {
		if err := e.Check(d.Lifetime); err != nil {
			return code.BadMessage.Wrap(err, "merge crashes from %s", from)
		}
	}
	d.mergeEntries(entries)
	return nil
}
