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

// suspicion is what one daemon has seen of one request.
type suspicion struct {
	count uint32
	until time.Time
}

// observation identifies a suspicion: daemons count apart, so that merging by
// maximum neither loses nor doubles a crash.
type observation struct {
	fingerprint ident.Fingerprint
	observer    ident.Instance
}

// snapshot is immutable. totals has the sums that requests are checked by.
type snapshot struct {
	seen   map[observation]suspicion
	totals map[ident.Fingerprint]total
}

// total is the sum of the suspicions of one request.
type total struct {
	count uint32
	until time.Time
}

// Detector holds the suspicions of this daemon and of its peers. Check takes
// no lock.
type Detector struct {
	Options
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
	// proven has requests that ran to their end, each in the slot of its hash.
	proven [provenSlots]atomic.Uint64
}

// provenSlots bounds the requests that are remembered to have run.
const provenSlots = 1 << 12

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
	if !found || t.count < s.Threshold || s.isProven(f) || !s.Clock.Now().Before(t.until) {
		return nil
	}
	return code.PoisonRequest.New("request %s: %d endpoints crashed while they ran it", f, t.count)
}

// RecordCompletion records that the request ran to its end. Equal requests, as reads of one
// thing are, are then no cause of a crash that several of them see.
func (s *Detector) RecordCompletion(f ident.Fingerprint) {
	s.proven[f%provenSlots].Store(uint64(f))
}

func (s *Detector) isProven(f ident.Fingerprint) bool {
	return s.proven[f%provenSlots].Load() == uint64(f)
}

// RecordCrash records that an endpoint crashed while it ran the request, unless that
// is proven.
func (s *Detector) RecordCrash(f ident.Fingerprint) {
	if s.isProven(f) {
		return
	}
	s.change(func(seen map[observation]suspicion, now time.Time) {
		o := observation{f, s.Self}
		seen[o] = suspicion{count: seen[o].count + 1, until: now.Add(s.Lifetime)}
	})
}

// change copies the suspicions, drops what has ended, applies f and publishes.
func (s *Detector) change(f func(seen map[observation]suspicion, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	next := &snapshot{seen: make(map[observation]suspicion), totals: make(map[ident.Fingerprint]total)}
	for o, v := range s.current.Load().seen {
		if now.Before(v.until) {
			next.seen[o] = v
		}
	}
	f(next.seen, now)
	s.bound(next.seen)
	for o, v := range next.seen {
		t := next.totals[o.fingerprint]
		t.count += v.count
		if v.until.After(t.until) {
			t.until = v.until
		}
		next.totals[o.fingerprint] = t
	}
	s.current.Store(next)
}

// bound drops the suspicions that end first until no more than the limit are
// left.
func (s *Detector) bound(seen map[observation]suspicion) {
	for len(seen) > s.Limit {
		var first observation
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
	s.recent(within, func(o observation, v suspicion) {
		if o.observer != s.Self || s.isProven(o.fingerprint) {
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
	s.recent(within, func(o observation, _ suspicion) {
		if o.observer != s.Self && s.isProven(o.fingerprint) {
			list = append(list, o.fingerprint)
		}
	})
	return list
}

// recent calls f with the suspicions that began or grew within the time.
func (s *Detector) recent(within time.Duration, f func(observation, suspicion)) {
	since := s.Clock.Now().Add(s.Lifetime - within)
	for o, v := range s.current.Load().seen {
		if !v.until.Before(since) {
			f(o, v)
		}
	}
}

// MergeCrashes takes the crashes that another daemon saw a short time ago. It returns the
// number of requests of which that is news.
func (s *Detector) MergeCrashes(from ident.Instance, counts map[ident.Fingerprint]uint32) int {
	entries := make([]entry, 0, len(counts))
	for f, n := range counts {
		entries = append(entries, entry{Fingerprint: f, Observer: from, Count: n, Left: s.Lifetime})
	}
	return s.merge(entries)
}

// merge takes suspicions of which more crashes are told than known, and returns
// their number.
func (s *Detector) merge(entries []entry) int {
	known, now := s.current.Load().seen, s.Clock.Now()
	entries = slices.DeleteFunc(entries, func(e entry) bool {
		v := known[observation{e.Fingerprint, e.Observer}]
		return now.Before(v.until) && e.Count <= v.count
	})
	if len(entries) == 0 {
		return 0
	}
	s.change(func(seen map[observation]suspicion, now time.Time) {
		for _, e := range entries {
			o := observation{e.Fingerprint, e.Observer}
			if e.Count > seen[o].count {
				seen[o] = suspicion{count: e.Count, until: now.Add(e.Left)}
			}
		}
	})
	return len(entries)
}

// entry is a suspicion in the peers' section. Left is a duration, as clocks of
// daemons may differ.
type entry struct {
	Fingerprint ident.Fingerprint `json:"f"`
	Observer    ident.Instance    `json:"o"`
	Count       uint32            `json:"n"`
	Left        time.Duration     `json:"l"`
}

// Check reports what is wrong with an entry.
func (e *entry) Check(lifetime time.Duration) error {
	if err := ident.CheckName(string(e.Observer)); err != nil {
		return err
	}
	if e.Left > lifetime {
		return code.BadMessage.New("suspicion lasts %s, more than %s", e.Left, lifetime)
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

// buckets bounds what is sent again after one suspicion has changed.
const buckets = 16

// digestBytes is the size of a bucket's hash in a digest.
const digestBytes = 4

// Digest is one hash per bucket of requests; nil without suspicions. It names
// none of them, as a digest is sent many times a second.
func (s *Detector) Digest() []byte {
	now := s.Clock.Now()
	var sums [buckets]uint64
	empty := true
	for o, v := range s.current.Load().seen {
		if !now.Before(v.until) {
			continue
		}
		empty = false
		raw := binary.LittleEndian.AppendUint64([]byte(o.observer), uint64(o.fingerprint))
		sums[o.fingerprint%buckets] ^= xxhash.Sum64(binary.LittleEndian.AppendUint32(raw, v.count))
	}
	if empty {
		return nil
	}
	digest := make([]byte, 0, buckets*digestBytes)
	for _, sum := range sums {
		digest = binary.LittleEndian.AppendUint32(digest, uint32(sum))
	}
	return digest
}

// Delta returns the suspicions of the buckets in which the digest differs.
func (s *Detector) Delta(digest []byte) []byte {
	own := s.Digest()
	return s.encode(func(o observation, _ suspicion) bool {
		at := int(o.fingerprint%buckets) * digestBytes
		return len(digest) != len(own) || string(digest[at:at+digestBytes]) != string(own[at:at+digestBytes])
	})
}

func (s *Detector) encode(wanted func(observation, suspicion) bool) []byte {
	now := s.Clock.Now()
	var entries []entry
	for o, v := range s.current.Load().seen {
		if left := v.until.Sub(now); left > 0 && wanted(o, v) {
			entries = append(entries, entry{o.fingerprint, o.observer, v.count, left})
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
	var entries []entry
	if err := json.Unmarshal(delta, &entries); err != nil {
		return code.BadMessage.Wrap(err, "suspicions from %s", from)
	}
	for _, e := range entries {
		if err := e.Check(s.Lifetime); err != nil {
			return code.BadMessage.Wrap(err, "suspicions from %s", from)
		}
	}
	s.merge(entries)
	return nil
}
