// Package poison detects poison requests, which crash the endpoints that run them. It
// counts crashes by request, exchanges them with peers, and lets the dispatcher
// and the forwarder refuse a request that reached the threshold when its caller repeats
// it. PartDetector does the same by prompt part, for requests that are otherwise
// different.
package poison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

// defaultThreshold is the number of crashes at which a request is refused. A single
// crash during a request may have another cause.
const defaultThreshold = 2

// crashSet has the crashes that one daemon has observed during equal requests. Several of
// them may have been in flight at the endpoint that crashed, at one daemon or at more.
type crashSet struct {
	crashes []ident.Crash
	expires time.Time
}

// setKey identifies a crash set. Each daemon reports the crashes that it observes
// separately, and peers merge the sets.
type setKey struct {
	fingerprint ident.Fingerprint
	observer    ident.Instance
}

// snapshot holds immutable crash sets. totals has the different crashes that daemons observed,
// which requests are checked against.
type snapshot struct {
	sets   map[setKey]crashSet
	totals map[ident.Fingerprint]totalCrashes
}

// totalCrashes has the different crashes during equal requests.
type totalCrashes struct {
	crashes []ident.Crash
	expires time.Time
}

// Detector holds the crashes that this daemon and its peers observed. Check takes no
// lock.
type Detector struct {
	Options
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
	// completions has the latest completions of requests, each in the element given by the
	// fingerprint's remainder modulo completionLimit.
	completions [completionLimit]atomic.Pointer[completion]
}

// completion says that a request ran to its end.
type completion struct {
	fingerprint ident.Fingerprint
	at          time.Time
	// local says that it did so at this daemon.
	local bool
}

// Bounds of the state of a Detector, and its times.
const (
	// completionLimit bounds the number of completions that are recorded.
	completionLimit = 1 << 12
	// clearTime is the time after a request's completion for which crashes are not counted
	// for it: endpoints that crash for another reason do so during requests that complete
	// elsewhere. A completion says nothing of the endpoints' next version.
	clearTime = 5 * time.Second
	// forgetRequestLifetimes is the number of lifetimes after a request's last crash at which
	// its crashes are removed. After one lifetime the request is run again, and one more crash
	// suffices to refuse it.
	forgetRequestLifetimes = 10
	// maxReportedRequests bounds the refused requests in one report, and so its size.
	maxReportedRequests = 8
)

// Options are the dependencies and settings of a Detector.
type Options struct {
	Clock clock.Clock
	Self  ident.Instance
	// Lifetime is the time for which a crash set is kept after its last crash.
	Lifetime time.Duration
	// Limit bounds the number of crash sets. Above the limit, the sets that expire
	// first are removed.
	Limit int
	// Threshold is the number of crashes at which a request is refused. Zero means
	// two.
	Threshold uint32
	// Changed is signalled when crash sets have changed. It may be nil.
	Changed chan struct{}
}

// New returns a detector without crashes.
func New(o Options) *Detector {
	if o.Threshold == 0 {
		o.Threshold = defaultThreshold
	}
	d := &Detector{Options: o}
	d.current.Store(new(snapshot))
	return d
}

// Check returns an error for a poison request: endpoints crashed during equal requests
// as often as the threshold, and no equal request ran to its end since.
//
// Errors carry code.PoisonRequest.
func (d *Detector) Check(f ident.Fingerprint) error {
	t, found := d.current.Load().totals[f]
	if !found || !d.isRefused(f, &t, d.Clock.Now()) {
		return nil
	}
	return code.PoisonRequest.New("check request with fingerprint %s: endpoints crashed %d times while they ran such a request", f, len(t.crashes))
}

func (d *Detector) isRefused(f ident.Fingerprint, t *totalCrashes, now time.Time) bool {
	return d.reachesThreshold(t) && now.Before(t.expires) && !d.isCleared(f, now)
}

func (d *Detector) reachesThreshold(t *totalCrashes) bool {
	return len(t.crashes) >= int(d.Threshold)
}

// RecordCompletion records that the request ran to its end without an error of the endpoint, which
// clears equal requests. Callers may send many equal requests, such as reads of one resource. A
// crash during several of them is then not attributed to them.
func (d *Detector) RecordCompletion(f ident.Fingerprint) {
	d.clear(completion{f, d.Clock.Now(), true})
}

// MergeCleared records that the request ran to its end at another daemon.
func (d *Detector) MergeCleared(f ident.Fingerprint) {
	now := d.Clock.Now()
	if c := d.completionOf(f, now); c != nil && c.local {
		return
	}
	d.clear(completion{f, now, false})
}

// clear records the completion and removes the crashes before it.
func (d *Detector) clear(c completion) {
	d.completions[c.fingerprint%completionLimit].Store(&c)
	if _, suspected := d.current.Load().totals[c.fingerprint]; !suspected {
		return
	}
	d.updateSets(func(sets map[setKey]crashSet, _ time.Time) {
		maps.DeleteFunc(sets, func(k setKey, _ crashSet) bool { return k.fingerprint == c.fingerprint })
	})
}

// completionOf returns the completion of the request within clearTime, nil if there is none.
func (d *Detector) completionOf(f ident.Fingerprint, now time.Time) *completion {
	c := d.completions[f%completionLimit].Load()
	if c == nil || c.fingerprint != f || now.Sub(c.at) >= clearTime {
		return nil
	}
	return c
}

func (d *Detector) isCleared(f ident.Fingerprint, now time.Time) bool {
	return d.completionOf(f, now) != nil
}

// RecordCrash records that an endpoint crashed while it ran the request, unless the
// request is cleared. One crash counts once, however many equal requests it ended.
func (d *Detector) RecordCrash(f ident.Fingerprint, crash ident.Crash) {
	if d.isCleared(f, d.Clock.Now()) {
		return
	}
	d.updateSets(func(sets map[setKey]crashSet, now time.Time) {
		k := setKey{f, d.Self}
		sets[k] = crashSet{crashes: addCrashes(sets[k].crashes, crash), expires: now.Add(d.Lifetime)}
	})
}

// addCrashes returns the known crashes and those of the others that are not among them, up
// to ident.MaxCrashes. It doesn't change known, which snapshots share.
func addCrashes(known []ident.Crash, others ...ident.Crash) []ident.Crash {
	result := slices.Clone(known)
	for _, crash := range others {
		if len(result) < ident.MaxCrashes && !slices.Contains(result, crash) {
			result = append(result, crash)
		}
	}
	return result
}

// updateSets publishes a new snapshot: a copy of the crash sets without those to forget,
// after calling change with the copy.
func (d *Detector) updateSets(change func(sets map[setKey]crashSet, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, known := d.Clock.Now(), d.current.Load()
	next := &snapshot{sets: make(map[setKey]crashSet), totals: make(map[ident.Fingerprint]totalCrashes)}
	for k, v := range known.sets {
		t := known.totals[k.fingerprint]
		forgetAt := v.expires
		if d.reachesThreshold(&t) {
			forgetAt = forgetAt.Add((forgetRequestLifetimes - 1) * d.Lifetime)
		}
		if now.Before(forgetAt) {
			next.sets[k] = v
		}
	}
	change(next.sets, now)
	d.evictFirstToExpire(next.sets)
	for k, v := range next.sets {
		t := next.totals[k.fingerprint]
		t.crashes = addCrashes(t.crashes, v.crashes...)
		if v.expires.After(t.expires) {
			t.expires = v.expires
		}
		next.totals[k.fingerprint] = t
	}
	d.current.Store(next)
	plugin.Wake(d.Changed)
}

// evictFirstToExpire removes the crash sets that expire first until their number is within
// the limit.
func (d *Detector) evictFirstToExpire(sets map[setKey]crashSet) {
	for len(sets) > d.Limit {
		var firstKey setKey
		var firstExpiry time.Time
		for k, v := range sets {
			if firstExpiry.IsZero() || v.expires.Before(firstExpiry) {
				firstKey, firstExpiry = k, v.expires
			}
		}
		delete(sets, firstKey)
	}
}

// CrashReport returns what peers have to be told, by request: the crashes that this daemon
// observed within the given time, unless the request is cleared, and the crashes of requests that
// are refused, which a peer that has just started lacks.
func (d *Detector) CrashReport(within time.Duration) map[ident.Fingerprint][]ident.Crash {
	current, now := d.current.Load(), d.Clock.Now()
	if len(current.sets) == 0 {
		return nil
	}
	report := make(map[ident.Fingerprint][]ident.Crash)
	for f, t := range current.totals {
		if len(report) < maxReportedRequests && d.isRefused(f, &t, now) {
			report[f] = t.crashes[:min(len(t.crashes), int(d.Threshold))]
		}
	}
	d.forEachRecent(within, func(k setKey, v crashSet) {
		if k.observer == d.Self && !d.isCleared(k.fingerprint, now) {
			report[k.fingerprint] = addCrashes(v.crashes, report[k.fingerprint]...)
		}
	})
	return report
}

// ClearedRequests returns the requests that ran to their end at this daemon within clearTime and
// during which other daemons observed a crash within the given time. It returns a request once for
// each of these daemons.
func (d *Detector) ClearedRequests(within time.Duration) []ident.Fingerprint {
	var cleared []ident.Fingerprint
	now := d.Clock.Now()
	d.forEachRecent(within, func(k setKey, _ crashSet) {
		if c := d.completionOf(k.fingerprint, now); k.observer != d.Self && c != nil && c.local {
			cleared = append(cleared, k.fingerprint)
		}
	})
	return cleared
}

// forEachRecent calls f with the crash sets that grew within the given time.
func (d *Detector) forEachRecent(within time.Duration, f func(setKey, crashSet)) {
	minExpiry := d.Clock.Now().Add(d.Lifetime - within)
	for k, v := range d.current.Load().sets {
		if !v.expires.Before(minExpiry) {
			f(k, v)
		}
	}
}

// MergeCrashes merges recent crashes that another daemon observed. It returns the number
// of requests of which a crash was unknown before.
func (d *Detector) MergeCrashes(from ident.Instance, crashes map[ident.Fingerprint][]ident.Crash) int {
	entries := make([]crashEntry, 0, len(crashes))
	for f, ids := range crashes {
		entries = append(entries, crashEntry{Fingerprint: f, Observer: from, Count: uint32(len(ids)), Remaining: d.Lifetime, Crashes: ids})
	}
	return d.mergeEntries(entries)
}

// mergeEntries merges the entries with a crash that is unknown, and returns their number.
func (d *Detector) mergeEntries(entries []crashEntry) int {
	known, now := d.current.Load(), d.Clock.Now()
	entries = slices.DeleteFunc(entries, func(e crashEntry) bool {
		if v := known.sets[setKey{e.Fingerprint, e.Observer}]; now.Before(v.expires) && slices.Equal(e.mergedWith(v.crashes), v.crashes) {
			return true
		}
		return e.isKnownIn(known.totals[e.Fingerprint].crashes)
	})
	if len(entries) == 0 {
		return 0
	}
	d.updateSets(func(sets map[setKey]crashSet, now time.Time) {
		for _, e := range entries {
			k := setKey{e.Fingerprint, e.Observer}
			sets[k] = crashSet{crashes: e.mergedWith(sets[k].crashes), expires: now.Add(e.Remaining)}
		}
	})
	return len(entries)
}
