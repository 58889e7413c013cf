// Package poison detects poison requests, which crash the endpoints that run them. It
// counts crashes by request, exchanges the counts with peers, and lets the dispatcher
// and the forwarder refuse a request that reached the threshold when its caller repeats
// it. PartDetector does the same by prompt part, for requests that are otherwise
// different.
package poison

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/clock"
)

// defaultThreshold is the number of crashes at which a request is refused. A single
// crash during a request may have another cause.
const defaultThreshold = 2

// crashCount is the number of crashes that one daemon has observed for one request.
type crashCount struct {
	count   uint32
	expires time.Time
}

// countKey identifies a crash count. Each daemon counts the crashes that it observes
// separately. Peers merge counts by their maximum, so that no crash is lost or counted
// twice.
type countKey struct {
	fingerprint ident.Fingerprint
	observer    ident.Instance
}

// snapshot is an immutable set of crash counts. totals has the sums over all daemons,
// which requests are checked against.
type snapshot struct {
	counts map[countKey]crashCount
	totals map[ident.Fingerprint]totalCount
}

// totalCount is the sum of the crash counts of all daemons for one request.
type totalCount struct {
	count   uint32
	expires time.Time
}

// Detector holds the crash counts of this daemon and of its peers. Check takes no
// lock.
type Detector struct {
	Options
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
	// clearedRequests has the fingerprints of requests that ran to their end, each
	// in the element given by its remainder modulo clearedLimit.
	clearedRequests [clearedLimit]atomic.Uint64
}

// clearedLimit bounds the number of cleared requests that are recorded.
const clearedLimit = 1 << 12

// Options are the dependencies and settings of a Detector.
type Options struct {
	Clock clock.Clock
	Self  ident.Instance
	// Lifetime is the time for which a crash count is kept after its last crash.
	Lifetime time.Duration
	// Limit bounds the number of crash counts. Above the limit, the counts that
	// expire first are removed.
	Limit int
	// Threshold is the number of crashes at which a request is refused. Zero means
	// two.
	Threshold uint32
}

// New returns a detector without crash counts.
func New(o Options) *Detector {
	if o.Threshold == 0 {
		o.Threshold = defaultThreshold
	}
	d := &Detector{Options: o}
	d.current.Store(new(snapshot))
	return d
}

// Check returns an error for a poison request: endpoints crashed during equal requests
// as often as the threshold, and no equal request ran to its end.
//
// Errors carry code.PoisonRequest.
func (d *Detector) Check(f ident.Fingerprint) error {
	t, found := d.current.Load().totals[f]
	if !found || t.count < d.Threshold || d.isCleared(f) || !d.Clock.Now().Before(t.expires) {
		return nil
	}
	return code.PoisonRequest.New("check request with fingerprint %s: endpoints crashed %d times while they ran such a request", f, t.count)
}

// RecordCompletion records that the request ran to its end, which clears equal requests.
// Callers may send many equal requests, such as reads of one resource. A crash during
// several of them is then not attributed to them.
func (d *Detector) RecordCompletion(f ident.Fingerprint) {
	d.clearedRequests[f%clearedLimit].Store(uint64(f))
}

func (d *Detector) isCleared(f ident.Fingerprint) bool {
	return d.clearedRequests[f%clearedLimit].Load() == uint64(f)
}

// RecordCrash records that an endpoint crashed while it ran the request, unless the
// request is cleared.
func (d *Detector) RecordCrash(f ident.Fingerprint) {
	if d.isCleared(f) {
		return
	}
	d.updateCounts(func(counts map[countKey]crashCount, now time.Time) {
		k := countKey{f, d.Self}
		counts[k] = crashCount{count: counts[k].count + 1, expires: now.Add(d.Lifetime)}
	})
}

// updateCounts publishes a new snapshot: a copy of the crash counts without expired
// ones, after calling change with the copy.
func (d *Detector) updateCounts(change func(counts map[countKey]crashCount, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	next := &snapshot{counts: make(map[countKey]crashCount), totals: make(map[ident.Fingerprint]totalCount)}
	for k, v := range d.current.Load().counts {
		if now.Before(v.expires) {
			next.counts[k] = v
		}
	}
	change(next.counts, now)
	d.evictFirstToExpire(next.counts)
	for k, v := range next.counts {
		t := next.totals[k.fingerprint]
		t.count += v.count
		if v.expires.After(t.expires) {
			t.expires = v.expires
		}
		next.totals[k.fingerprint] = t
	}
	d.current.Store(next)
}

// evictFirstToExpire removes the crash counts that expire first until their number is
// within the limit.
func (d *Detector) evictFirstToExpire(counts map[countKey]crashCount) {
	for len(counts) > d.Limit {
		var firstKey countKey
		var firstExpiry time.Time
		for k, v := range counts {
			if firstExpiry.IsZero() || v.expires.Before(firstExpiry) {
				firstKey, firstExpiry = k, v.expires
			}
		}
		delete(counts, firstKey)
	}
}

// LocalCrashes returns the number of crashes that this daemon observed, by request. It
// includes requests whose last crash was within the given time and that are not
// cleared.
func (d *Detector) LocalCrashes(within time.Duration) map[ident.Fingerprint]uint32 {
	var counts map[ident.Fingerprint]uint32
	d.forEachRecent(within, func(k countKey, v crashCount) {
		if k.observer != d.Self || d.isCleared(k.fingerprint) {
			return
		}
		if counts == nil {
			counts = make(map[ident.Fingerprint]uint32)
		}
		counts[k.fingerprint] = v.count
	})
	return counts
}

// ClearedRequests returns the requests that are cleared at this daemon and whose crash
// counts of other daemons grew within the given time. It returns a request once for each
// of these daemons.
func (d *Detector) ClearedRequests(within time.Duration) []ident.Fingerprint {
	var cleared []ident.Fingerprint
	d.forEachRecent(within, func(k countKey, _ crashCount) {
		if k.observer != d.Self && d.isCleared(k.fingerprint) {
			cleared = append(cleared, k.fingerprint)
		}
	})
	return cleared
}

// forEachRecent calls f with the crash counts that grew within the given time.
func (d *Detector) forEachRecent(within time.Duration, f func(countKey, crashCount)) {
	minExpiry := d.Clock.Now().Add(d.Lifetime - within)
	for k, v := range d.current.Load().counts {
		if !v.expires.Before(minExpiry) {
			f(k, v)
		}
	}
}

// MergeCrashes merges recent crash counts of another daemon. It returns the number of
// requests whose counts were unknown or lower before.
func (d *Detector) MergeCrashes(from ident.Instance, counts map[ident.Fingerprint]uint32) int {
	entries := make([]crashEntry, 0, len(counts))
	for f, count := range counts {
		entries = append(entries, crashEntry{Fingerprint: f, Observer: from, Count: count, Remaining: d.Lifetime})
	}
	return d.mergeEntries(entries)
}

// mergeEntries merges the entries with a count above the known one, and returns their
// number.
func (d *Detector) mergeEntries(entries []crashEntry) int {
	known, now := d.current.Load().counts, d.Clock.Now()
	entries = slices.DeleteFunc(entries, func(e crashEntry) bool {
		v := known[countKey{e.Fingerprint, e.Observer}]
		return now.Before(v.expires) && e.Count <= v.count
	})
	if len(entries) == 0 {
		return 0
	}
	d.updateCounts(func(counts map[countKey]crashCount, now time.Time) {
		for _, e := range entries {
			k := countKey{e.Fingerprint, e.Observer}
			if e.Count > counts[k].count {
				counts[k] = crashCount{count: e.Count, expires: now.Add(e.Remaining)}
			}
		}
	})
	return len(entries)
}

// crashEntry is a crash count in the exchange between peers. Remaining is the remaining
// lifetime. It is a duration because the clocks of daemons may differ.
type crashEntry struct {
	Fingerprint ident.Fingerprint `json:"f"`
	Observer    ident.Instance    `json:"o"`
	Count       uint32            `json:"n"`
	Remaining   time.Duration     `json:"l"`
}

// Check returns an error for an entry with an invalid observer or an excessive
// lifetime.
func (e *crashEntry) Check(lifetime time.Duration) error {
	if err := ident.CheckName(string(e.Observer)); err != nil {
		return err
	}
	if e.Remaining > lifetime {
		return code.BadMessage.New("crash count has a remaining lifetime of %s, expected at most %s", e.Remaining, lifetime)
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
// of one crash count, only the counts of its bucket are sent.
const digestBuckets = 16

// bucketHashBytes is the size of a bucket's hash in a digest.
const bucketHashBytes = 4

// Digest returns one hash for each bucket, or nil if there are no crash counts. It
// contains no fingerprints, as it is sent many times per second and has to be small.
func (d *Detector) Digest() []byte {
	now := d.Clock.Now()
	var hashes [digestBuckets]uint64
	empty := true
	for k, v := range d.current.Load().counts {
		if !now.Before(v.expires) {
			continue
		}
		empty = false
		raw := binary.LittleEndian.AppendUint64([]byte(k.observer), uint64(k.fingerprint))
		hashes[k.fingerprint%digestBuckets] ^= xxhash.Sum64(binary.LittleEndian.AppendUint32(raw, v.count))
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

// Delta returns the crash counts of the buckets whose hashes differ from the digest.
func (d *Detector) Delta(digest []byte) []byte {
	ownDigest := d.Digest()
	return d.encodeCounts(func(k countKey, _ crashCount) bool {
		offset := int(k.fingerprint%digestBuckets) * bucketHashBytes
		return len(digest) != len(ownDigest) || string(digest[offset:offset+bucketHashBytes]) != string(ownDigest[offset:offset+bucketHashBytes])
	})
}

// encodeCounts returns the crash counts for which include returns true as JSON, or nil if
// there are none.
func (d *Detector) encodeCounts(include func(countKey, crashCount) bool) []byte {
	now := d.Clock.Now()
	var entries []crashEntry
	for k, v := range d.current.Load().counts {
		if remaining := v.expires.Sub(now); remaining > 0 && include(k, v) {
			entries = append(entries, crashEntry{k.fingerprint, k.observer, v.count, remaining})
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

// Merge merges a delta of a peer. Of two counts of one observer the higher one is kept.
//
// Errors carry code.BadMessage.
func (d *Detector) Merge(from ident.Instance, delta []byte) error {
	var entries []crashEntry
	if err := json.Unmarshal(delta, &entries); err != nil {
		return code.BadMessage.Wrap(err, "merge crash counts from %s", from)
	}
	for _, e := range entries {
		if err := e.Check(d.Lifetime); err != nil {
			return code.BadMessage.Wrap(err, "merge crash counts from %s", from)
		}
	}
	d.mergeEntries(entries)
	return nil
}
