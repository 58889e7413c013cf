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

// PartDetector detects prompt parts that crash every endpoint that begins to answer a
// prompt with them. It counts the crashes during requests with a part, and ignores those
// before an answer to a prompt with the part has begun anywhere. Crashes are exchanged with
// peers. CheckParts takes no lock.
type PartDetector struct {
	PartOptions
	mu           sync.Mutex
	suspectParts atomic.Pointer[map[ident.PromptPart]*suspectPart]
	// started has the latest start of an answer by part, each in the element given by
	// the part's remainder modulo startedLimit.
	started [startedLimit]atomic.Pointer[partStart]
}

// PartOptions are the dependencies and settings of a PartDetector.
type PartOptions struct {
	Clock clock.Clock
	// Threshold is the number of crashes at which a part is refused.
	Threshold int
	// Lifetime is the time after a part's last crash for which it is refused. Then
	// requests with the part are sent again, and one more crash suffices to refuse it.
	Lifetime time.Duration
	// Limit bounds the number of suspect parts.
	Limit int
	// Changed is signalled when suspect parts have changed. It may be nil.
	Changed chan struct{}
}

// Bounds of the state of a PartDetector, and its times.
const (
	startedLimit = 1 << 12
	// maxPartCrashes bounds the crashes that are kept for a part.
	maxPartCrashes = 32
	// soundTime is the time after the start of an answer for which crashes are not
	// counted for the prompt's parts. It saves the exchange of crashes that the next
	// answer would clear.
	soundTime = time.Second
	// partReportTime is the time for which a crash, or an answer that clears a part, is
	// reported to peers.
	partReportTime = 3 * time.Second
	// maxReportedParts bounds the parts in one report, and so its size.
	maxReportedParts = 8
	// forgetLifetimes is the number of lifetimes after a part's last crash at which its
	// crashes are removed.
	forgetLifetimes = 10
)

// partStart is the start of an answer to a prompt with the part.
type partStart struct {
	part ident.PromptPart
	at   time.Time
}

// suspectPart has the crashes of a part. Only reportedAt changes after it is published.
type suspectPart struct {
	crashes     []partCrash
	lastCrashAt time.Time
	// reportedAt is the time at which a peer last reported a crash, as a clock.Instant.
	reportedAt *atomic.Int64
}

// partCrash is a crash during a request with a part.
type partCrash struct {
	crash ident.Crash
	// local says that this daemon observed the crash.
	local bool
	// cleared says that an answer to a prompt with the part has begun since.
	cleared bool
}

// NewPartDetector returns a detector without suspect parts.
func NewPartDetector(o PartOptions) *PartDetector {
	d := &PartDetector{PartOptions: o}
	d.suspectParts.Store(&map[ident.PromptPart]*suspectPart{})
	return d
}

// CheckParts returns an error if a part has crashed as many endpoints as the threshold. A
// crash does not count for a part if it is explained by another part that reached the
// threshold, has at least as many crashes, and is not in this prompt. A sound part that was
// at some of the crashes of another one by chance has fewer, so it explains none of them.
//
// Errors carry code.PoisonRequest.
func (d *PartDetector) CheckParts(parts []ident.PromptPart) error {
	suspects := *d.suspectParts.Load()
	if len(suspects) == 0 {
		return nil
	}
	now := d.Clock.Now()
	for _, part := range parts {
		s := suspects[part]
		if s == nil || !now.Before(s.lastCrashAt.Add(d.Lifetime)) {
			continue
		}
		if count := d.unexplainedCrashes(suspects, s, parts); count >= d.Threshold {
			return code.PoisonRequest.New("check prompt part %s: %d endpoints crashed when they began to answer prompts with it", part, count)
		}
	}
	return nil
}

// unexplainedCrashes returns the number of the part's crashes that no other part explains.
// Parts of the same prompt do not explain crashes of each other.
func (d *PartDetector) unexplainedCrashes(suspects map[ident.PromptPart]*suspectPart, s *suspectPart, prompt []ident.PromptPart) int {
	count := s.count()
	if count < d.Threshold {
		return count
	}
	explained := make(map[ident.Crash]bool)
	for other, o := range suspects {
		if o == s || o.count() < count || slices.Contains(prompt, other) {
			continue
		}
		for _, c := range o.crashes {
			explained[c.crash] = explained[c.crash] || !c.cleared
		}
	}
	for _, c := range s.crashes {
		if !c.cleared && explained[c.crash] {
			count--
		}
	}
	return count
}

// count returns the number of crashes since an answer has begun.
func (s *suspectPart) count() int {
	count := 0
	for _, c := range s.crashes {
		if !c.cleared {
			count++
		}
	}
	return count
}

// RecordPartCrash records that the endpoint crashed before it had begun to answer a prompt
// with these parts. It reports whether that changed the count of any part.
func (d *PartDetector) RecordPartCrash(parts []ident.PromptPart, crash ident.Crash) bool {
	changed := false
	d.update(func(suspects map[ident.PromptPart]*suspectPart, now time.Time) {
		for _, part := range parts {
			if !d.isSound(part, now) {
				changed = addCrash(suspects, part, partCrash{crash: crash, local: true}, now) || changed
			}
		}
	})
	return changed
}

// addCrash adds the crash to the part, and reports whether it was unknown.
func addCrash(suspects map[ident.PromptPart]*suspectPart, part ident.PromptPart, added partCrash, now time.Time) bool {
	s := suspects[part]
	if s == nil {
		s = &suspectPart{reportedAt: new(atomic.Int64)}
	}
	if s.has(added.crash) {
		return false
	}
	crashes := append(slices.Clone(s.crashes), added)
	if len(crashes) > maxPartCrashes {
		crashes = crashes[len(crashes)-maxPartCrashes:]
	}
	suspects[part] = &suspectPart{crashes: crashes, lastCrashAt: now, reportedAt: s.reportedAt}
	return true
}

func (s *suspectPart) has(crash ident.Crash) bool {
	return slices.ContainsFunc(s.crashes, func(c partCrash) bool { return c.crash == crash })
}

// RecordPartStart records that an endpoint has begun to answer a prompt with these parts.
func (d *PartDetector) RecordPartStart(parts []ident.PromptPart) {
	now := d.Clock.Now()
	for _, part := range parts {
		d.started[part%startedLimit].Store(&partStart{part, now})
	}
	d.ClearParts(parts)
}

// isSound reports whether an answer to a prompt with the part has begun within soundTime.
func (d *PartDetector) isSound(part ident.PromptPart, now time.Time) bool {
	s := d.started[part%startedLimit].Load()
	return s != nil && s.part == part && now.Sub(s.at) < soundTime
}

// ClearParts clears the crashes of parts of a prompt that an endpoint has begun to answer, at
// this daemon or at a peer.
func (d *PartDetector) ClearParts(parts []ident.PromptPart) {
	suspects := *d.suspectParts.Load()
	suspected := func(part ident.PromptPart) bool {
		s := suspects[part]
		return s != nil && s.count() > 0
	}
	if !slices.ContainsFunc(parts, suspected) {
		return
	}
	d.update(func(suspects map[ident.PromptPart]*suspectPart, _ time.Time) {
		for _, part := range parts {
			s := suspects[part]
			if s == nil {
				continue
			}
			crashes := slices.Clone(s.crashes)
			for i := range crashes {
				crashes[i].cleared = true
			}
			suspects[part] = &suspectPart{crashes: crashes, lastCrashAt: s.lastCrashAt, reportedAt: s.reportedAt}
		}
	})
}

// update publishes a copy of the suspect parts, without those to forget, after calling change
// with the copy.
func (d *PartDetector) update(change func(suspects map[ident.PromptPart]*suspectPart, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	next := maps.Clone(*d.suspectParts.Load())
	maps.DeleteFunc(next, func(_ ident.PromptPart, s *suspectPart) bool {
		return now.Sub(s.lastCrashAt) > forgetLifetimes*d.Lifetime || s.count() < d.Threshold && now.Sub(s.lastCrashAt) > d.Lifetime
	})
	change(next, now)
	for len(next) > d.Limit {
		delete(next, oldestSuspect(next))
	}
	d.suspectParts.Store(&next)
	plugin.Wake(d.Changed)
}

// oldestSuspect returns the part whose last crash is the oldest.
func oldestSuspect(suspects map[ident.PromptPart]*suspectPart) ident.PromptPart {
	var oldest ident.PromptPart
	var oldestAt time.Time
	for part, s := range suspects {
		if oldestAt.IsZero() || s.lastCrashAt.Before(oldestAt) {
			oldest, oldestAt = part, s.lastCrashAt
		}
	}
	return oldest
}

// PartReport returns what peers have to be told: the recent crashes that this daemon
// observed, the latest crashes of parts that are refused, which a peer that has just started
// lacks, and the parts that peers suspect and that are cleared here.
func (d *PartDetector) PartReport() (crashes map[ident.PromptPart][]ident.Crash, sound []ident.PromptPart) {
	now := d.Clock.Now()
	for part, s := range *d.suspectParts.Load() {
		if len(crashes)+len(sound) >= maxReportedParts {
			break
		}
		count := s.count()
		if count == 0 {
			if now.Sub(clock.Instant(s.reportedAt.Load()).Time()) < partReportTime {
				sound = append(sound, part)
			}
			continue
		}
		if reported := d.reportedCrashes(s, count, now); len(reported) > 0 {
			if crashes == nil {
				crashes = make(map[ident.PromptPart][]ident.Crash)
			}
			crashes[part] = reported
		}
	}
	return crashes, sound
}

// reportedCrashes returns the crashes of a part to report: the latest ones, as many as the
// threshold, if the part is refused, and otherwise those that this daemon observed recently.
func (d *PartDetector) reportedCrashes(s *suspectPart, count int, now time.Time) []ident.Crash {
	refused := count >= d.Threshold
	if !refused && now.Sub(s.lastCrashAt) >= partReportTime {
		return nil
	}
	var reported []ident.Crash
	for _, c := range slices.Backward(s.crashes) {
		if !c.cleared && (refused || c.local) && len(reported) < d.Threshold {
			reported = append(reported, c.crash)
		}
	}
	return reported
}

// MergePartCrashes merges crashes that a peer reported. It returns the parts that the
// threshold is now reached for and was not before.
func (d *PartDetector) MergePartCrashes(reported map[ident.PromptPart][]ident.Crash) []ident.PromptPart {
	suspects, now := *d.suspectParts.Load(), d.Clock.Now()
	anyUnknown := false
	for part, crashes := range reported {
		s := suspects[part]
		if s != nil {
			s.reportedAt.Store(int64(clock.InstantOf(now)))
		}
		for _, crash := range crashes {
			anyUnknown = anyUnknown || s == nil || !s.has(crash)
		}
	}
	if !anyUnknown {
		return nil
	}
	var refused []ident.PromptPart
	d.update(func(suspects map[ident.PromptPart]*suspectPart, now time.Time) {
		for part, crashes := range reported {
			before := suspects[part]
			for _, crash := range crashes {
				addCrash(suspects, part, partCrash{crash: crash, cleared: d.isSound(part, now)}, now)
			}
			after := suspects[part]
			if after == nil {
				continue
			}
			after.reportedAt.Store(int64(clock.InstantOf(now)))
			if after.count() >= d.Threshold && (before == nil || before.count() < d.Threshold) {
				refused = append(refused, part)
			}
		}
	})
	return refused
}
