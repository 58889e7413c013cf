package poison

import (
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
)

// restoredObserver stands for the daemons that observed the crashes of a stored refusal.
const restoredObserver = ident.Instance("platform")

// suspects returns the requests whose crashes have reached the threshold, unless they are cleared.
func (d *Detector) suspects() []suspect {
	current, now := d.current.Load(), d.Clock.Now()
	var suspects []suspect
	for f, t := range current.totals {
		if !d.reachesThreshold(&t) || d.isCleared(f, now) {
			continue
		}
		own := current.sets[setKey{f, d.Self}]
		suspects = append(suspects, suspect{
			id: suspectID(f), crashes: t.crashes, lastCrashAt: t.expires.Add(-d.Lifetime),
			local: slices.Contains(own.crashes, slices.Max(t.crashes)),
		})
	}
	return suspects
}

// restoreSuspect adds the crashes of a stored refusal, unless the request is cleared.
func (d *Detector) restoreSuspect(s suspect) {
	f := ident.Fingerprint(s.id)
	e := crashEntry{Fingerprint: f, Observer: restoredObserver, Crashes: s.crashes}
	if d.isCleared(f, d.Clock.Now()) || e.isKnownIn(d.current.Load().totals[f].crashes) {
		return
	}
	d.updateSets(func(sets map[setKey]crashSet, _ time.Time) {
		k := setKey{f, restoredObserver}
		expires := s.lastCrashAt.Add(d.Lifetime)
		if sets[k].expires.After(expires) {
			expires = sets[k].expires
		}
		sets[k] = crashSet{crashes: e.mergedWith(sets[k].crashes), expires: expires}
	})
}

// clearance reports whether the request has run to its end within clearTime at this daemon.
func (d *Detector) clearance(id suspectID) (cleared, local bool) {
	c := d.completionOf(ident.Fingerprint(id), d.Clock.Now())
	cleared = c != nil && c.local
	return cleared, cleared
}

// clearSuspect records that the request has run to its end at another daemon.
func (d *Detector) clearSuspect(id suspectID) {
	f := ident.Fingerprint(id)
	if _, suspected := d.current.Load().totals[f]; suspected {
		d.MergeCleared(f)
	}
}

// suspects returns the parts whose crashes have reached the threshold.
func (d *PartDetector) suspects() []suspect {
	var suspects []suspect
	for part, s := range *d.suspectParts.Load() {
		if s.count() < d.Threshold {
			continue
		}
		found := suspect{id: suspectID(part), lastCrashAt: s.lastCrashAt}
		highest := ident.Crash(0)
		for _, c := range s.crashes {
			if c.cleared {
				continue
			}
			found.crashes = append(found.crashes, c.crash)
			if c.crash >= highest {
				highest, found.local = c.crash, c.local
			}
		}
		suspects = append(suspects, found)
	}
	return suspects
}

// restoreSuspect adds the crashes of a stored refusal, unless an answer to a prompt with the part has
// just begun.
func (d *PartDetector) restoreSuspect(s suspect) {
	part := ident.PromptPart(s.id)
	if d.isSound(part, d.Clock.Now()) {
		return
	}
	d.update(func(suspects map[ident.PromptPart]*suspectPart, _ time.Time) {
		lastCrashAt := s.lastCrashAt
		if known := suspects[part]; known != nil && known.lastCrashAt.After(lastCrashAt) {
			lastCrashAt = known.lastCrashAt
		}
		for _, crash := range s.crashes {
			addCrash(suspects, part, partCrash{crash: crash}, lastCrashAt)
		}
	})
}

// clearance reports whether an answer to a prompt with the part has begun since its last crash. All
// daemons hear of that.
func (d *PartDetector) clearance(id suspectID) (cleared, local bool) {
	s := (*d.suspectParts.Load())[ident.PromptPart(id)]
	return s != nil && s.count() == 0, false
}

// clearSuspect records that an answer to a prompt with the part has begun at another daemon.
func (d *PartDetector) clearSuspect(id suspectID) {
	d.ClearParts([]ident.PromptPart{ident.PromptPart(id)})
}
