// Package poison remembers requests that crashed the endpoints that ran them,
// so that a caller's repeat doesn't crash the next one.
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

// defaultThreshold refuses a request after its second crash. One may be a
// coincidence of the endpoint's own failure.
const defaultThreshold = 2

// crashCount is what one daemon has seen of one request.
type crashCount struct {
	count uint32
	until time.Time
}

// countKey identifies a suspicion: daemons count apart, so that merging by
// maximum neither loses nor doubles a crash.
type countKey struct {
	fingerprint ident.Fingerprint
	observer    ident.Instance
}

// snapshot is immutable. totals has the sums that requests are checked by.
type snapshot struct {
	counts map[countKey]crashCount
	totals map[ident.Fingerprint]totalCount
}

// totalCount is the sum of the suspicions of one request.
type totalCount struct {
	count uint32
	until time.Time
}

// Detector holds the suspicions of this daemon and of its peers. Check takes
// no lock.
type Detector struct {
	Options
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
	// completedRequests has requests that ran to their end, each in the slot of its hash.
	completedRequests [completedLimit]atomic.Uint64
}

// completedLimit bounds the requests that are remembered to have run.
const completedLimit = 1 << 12

// Options are the parts of Suspicions.
type Options struct {
	Clock clock.Clock
	Self  ident.Instance
	// Lifetime is the time that a suspicion lasts after its last crash.
	Lifetime time.Duration
	// Limit bounds the suspicions kept; those that end first are dropped.
	Limit int
	// Threshold is the number of crashes at which a request is refused; zero
	// stands for two.
	Threshold uint32
}

// New returns Suspicions without any.
func New(o Options) *Detector {
	if o.Threshold == 0 {
		o.Threshold = defaultThreshold
	}
	s := &Detector{Options: o}
	s.current.Store(new(snapshot))
	return s
}

// Check refuses a request that has crashed too many endpoints.
//
// Errors carry code.PoisonRequest.
func (s *Detector) Check(f ident.Fingerprint) error {
	t, found := s.current.Load().totals[f]
	if !found || t.count < s.Threshold || s.isCompleted(f) || !s.Clock.Now().Before(t.until) {
		return nil
	}
	return code.PoisonRequest.New("request %s: %d endpoints crashed while they ran it", f, t.count)
}

// RecordCompletion records that the request ran to its end. Equal requests, as reads of one
// thing are, are then no cause of a crash that several of them see.
func (s *Detector) RecordCompletion(f ident.Fingerprint) {
	s.completedRequests[f%completedLimit].Store(uint64(f))
}

func (s *Detector) isCompleted(f ident.Fingerprint) bool {
	return s.completedRequests[f%completedLimit].Load() == uint64(f)
}

// RecordCrash records that an endpoint crashed while it ran the request, unless that
// is proven.
func (s *Detector) RecordCrash(f ident.Fingerprint) {
	if s.isCompleted(f) {
		return
	}
	s.updateCounts(func(seen map[countKey]crashCount, now time.Time) {
		o := countKey{f, s.Self}
		seen[o] = crashCount{count: seen[o].count + 1, until: now.Add(s.Lifetime)}
	})
}

// updateCounts copies the suspicions, drops what has ended, applies f and publishes.
func (s *Detector) updateCounts(f func(seen map[countKey]crashCount, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	next := &snapshot{counts: make(map[countKey]crashCount), totals: make(map[ident.Fingerprint]totalCount)}
	for o, v := range s.current.Load().counts {
		if now.Before(v.until) {
			next.counts[o] = v
		}
	}
	f(next.counts, now)
	s.evictOldest(next.counts)
	for o, v := range next.counts {
		t := next.totals[o.fingerprint]
		t.count += v.count
		if v.until.After(t.until) {
			t.until = v.until
		}
		next.totals[o.fingerprint] = t
	}
	s.current.Store(next)
}

// evictOldest drops the suspicions that end first until no more than the limit are
// left.
func (s *Detector) evictOldest(seen map[countKey]crashCount) {
	for len(seen) > s.Limit {
		var first countKey
		var until time.Time
		for o, v := range seen {
			if until.IsZero() || v.until.Before(until) {
				first, until = o, v.until
			}
		}
		delete(seen, first)
	}
}

// LocalCrashes returns the crashes that this daemon saw, by request, of those whose last
// was within the time. Proven requests are left out.
func (s *Detector) LocalCrashes(within time.Duration) map[ident.Fingerprint]uint32 {
	var counts map[ident.Fingerprint]uint32
	s.forEachRecent(within, func(o countKey, v crashCount) {
		if o.observer != s.Self || s.isCompleted(o.fingerprint) {
			return
		}
		if counts == nil {
			counts = make(map[ident.Fingerprint]uint32)
		}
		counts[o.fingerprint] = v.count
	})
	return counts
}

// ClearedRequests returns the requests that are proven here, of those that another daemon
// began to suspect within the time.
func (s *Detector) ClearedRequests(within time.Duration) []ident.Fingerprint {
	var list []ident.Fingerprint
	s.forEachRecent(within, func(o countKey, _ crashCount) {
		if o.observer != s.Self && s.isCompleted(o.fingerprint) {
			list = append(list, o.fingerprint)
		}
	})
	return list
}

// forEachRecent calls f with the suspicions that began or grew within the time.
func (s *Detector) forEachRecent(within time.Duration, f func(countKey, crashCount)) {
	since := s.Clock.Now().Add(s.Lifetime - within)
	for o, v := range s.current.Load().counts {
		if !v.until.Before(since) {
			f(o, v)
		}
	}
}

// MergeCrashes takes the crashes that another daemon saw a short time ago. It returns the
// number of requests of which that is news.
func (s *Detector) MergeCrashes(from ident.Instance, counts map[ident.Fingerprint]uint32) int {
	entries := make([]crashEntry, 0, len(counts))
	for f, n := range counts {
		entries = append(entries, crashEntry{Fingerprint: f, Observer: from, Count: n, Remaining: s.Lifetime})
	}
	return s.mergeEntries(entries)
}

// mergeEntries takes suspicions of which more crashes are told than known, and returns
// their number.
func (s *Detector) mergeEntries(entries []crashEntry) int {
	known, now := s.current.Load().counts, s.Clock.Now()
	entries = slices.DeleteFunc(entries, func(e crashEntry) bool {
		v := known[countKey{e.Fingerprint, e.Observer}]
		return now.Before(v.until) && e.Count <= v.count
	})
	if len(entries) == 0 {
		return 0
	}
	s.updateCounts(func(seen map[countKey]crashCount, now time.Time) {
		for _, e := range entries {
			o := countKey{e.Fingerprint, e.Observer}
			if e.Count > seen[o].count {
				seen[o] = crashCount{count: e.Count, until: now.Add(e.Remaining)}
			}
		}
	})
	return len(entries)
}

// crashEntry is a suspicion in the peers' section. Left is a duration, as clocks of
// daemons may differ.
type crashEntry struct {
	Fingerprint ident.Fingerprint `json:"f"`
	Observer    ident.Instance    `json:"o"`
	Count       uint32            `json:"n"`
	Remaining   time.Duration     `json:"l"`
}

// Check reports what is wrong with an entry.
func (e *crashEntry) Check(lifetime time.Duration) error {
	if err := ident.CheckName(string(e.Observer)); err != nil {
		return err
	}
	if e.Remaining > lifetime {
		return code.BadMessage.New("suspicion lasts %s, more than %s", e.Remaining, lifetime)
	}
	return nil
}

// Section names the section in the exchange between daemons.
func (s *Detector) Section() string {
	return "poison"
}

// Global says that the section goes to every data centre, as callers retry in
// any of them.
func (s *Detector) Global() bool {
	return true
}

// digestBuckets bounds what is sent again after one suspicion has changed.
const digestBuckets = 16

// bucketHashBytes is the size of a bucket's hash in a digest.
const bucketHashBytes = 4

// Digest is one hash per bucket of requests; nil without suspicions. It names
// none of them, as a digest is sent many times a second.
func (s *Detector) Digest() []byte {
	now := s.Clock.Now()
	var sums [digestBuckets]uint64
	empty := true
	for o, v := range s.current.Load().counts {
		if !now.Before(v.until) {
			continue
		}
		empty = false
		raw := binary.LittleEndian.AppendUint64([]byte(o.observer), uint64(o.fingerprint))
		sums[o.fingerprint%digestBuckets] ^= xxhash.Sum64(binary.LittleEndian.AppendUint32(raw, v.count))
	}
	if empty {
		return nil
	}
	digest := make([]byte, 0, digestBuckets*bucketHashBytes)
	for _, sum := range sums {
		digest = binary.LittleEndian.AppendUint32(digest, uint32(sum))
	}
	return digest
}

// Delta returns the suspicions of the buckets in which the digest differs.
func (s *Detector) Delta(digest []byte) []byte {
	own := s.Digest()
	return s.encode(func(o countKey, _ crashCount) bool {
		at := int(o.fingerprint%digestBuckets) * bucketHashBytes
		return len(digest) != len(own) || string(digest[at:at+bucketHashBytes]) != string(own[at:at+bucketHashBytes])
	})
}

func (s *Detector) encode(wanted func(countKey, crashCount) bool) []byte {
	now := s.Clock.Now()
	var entries []crashEntry
	for o, v := range s.current.Load().counts {
		if left := v.until.Sub(now); left > 0 && wanted(o, v) {
			entries = append(entries, crashEntry{o.fingerprint, o.observer, v.count, left})
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

// Merge takes a peer's suspicions; the higher count of an observer wins.
//
// Errors carry code.BadMessage.
func (s *Detector) Merge(from ident.Instance, delta []byte) error {
	var entries []crashEntry
	if err := json.Unmarshal(delta, &entries); err != nil {
		return code.BadMessage.Wrap(err, "suspicions from %s", from)
	}
	for _, e := range entries {
		if err := e.Check(s.Lifetime); err != nil {
			return code.BadMessage.Wrap(err, "suspicions from %s", from)
		}
	}
	s.mergeEntries(entries)
	return nil
}
