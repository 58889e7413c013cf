package demand

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// contentionTime is the time for which a request that waited or was refused counts. Admission
// reserves slots that long.
const contentionTime = 2 * time.Second

// maxPriorities bounds the priorities that are kept for a model. Of more, the highest are kept.
const maxPriorities = 16

// contentionMark is the time at which a request of the priority last waited or was refused, as a
// clock.Instant.
type contentionMark struct {
	priority unit.Priority
	lastAt   atomic.Int64
}

// contentionList has the marks of a model, the highest priority first. Marks are added by copy.
type contentionList struct {
	marks atomic.Pointer[[]*contentionMark]
	addMu sync.Mutex
}

func (l *contentionList) load() []*contentionMark {
	if marks := l.marks.Load(); marks != nil {
		return *marks
	}
	return nil
}

// record marks the priority. A mark never moves back.
func (l *contentionList) record(p unit.Priority, at time.Time) {
	mark := l.find(p)
	if mark == nil {
		if mark = l.add(p, at); mark == nil {
			return
		}
	}
	instant := int64(clock.InstantOf(at))
	for {
		last := mark.lastAt.Load()
		if last >= instant || mark.lastAt.CompareAndSwap(last, instant) {
			return
		}
	}
}

func (l *contentionList) find(p unit.Priority) *contentionMark {
	for _, mark := range l.load() {
		if mark.priority == p {
			return mark
		}
	}
	return nil
}

// add returns a new mark for the priority, nil if there are enough of higher priorities. It
// removes marks that no longer count. The lock is taken only when a priority is first seen.
func (l *contentionList) add(p unit.Priority, now time.Time) *contentionMark {
	l.addMu.Lock()
	defer l.addMu.Unlock()
	if mark := l.find(p); mark != nil {
		return mark
	}
	added := &contentionMark{priority: p}
	marks := slices.DeleteFunc(slices.Clone(l.load()), func(mark *contentionMark) bool { return !mark.recent(now) })
	marks = append(marks, added)
	slices.SortFunc(marks, func(a, b *contentionMark) int { return int(b.priority - a.priority) })
	if len(marks) > maxPriorities {
		marks = marks[:maxPriorities]
	}
	l.marks.Store(&marks)
	return l.find(p)
}

func (m *contentionMark) recent(now time.Time) bool {
	last := m.lastAt.Load()
	return last != 0 && int64(clock.InstantOf(now))-last <= int64(contentionTime)
}

// highest returns the highest priority that has a recent mark.
func (l *contentionList) highest(now time.Time) (unit.Priority, bool) {
	for _, mark := range l.load() {
		if mark.recent(now) {
			return mark.priority, true
		}
	}
	return 0, false
}

// Contention says how long ago a request for the model last waited or was refused.
type Contention struct {
	Model    ModelHash
	Priority unit.Priority
	Age      time.Duration
}

// report appends the recent marks.
func (l *contentionList) report(to []Contention, model ModelHash, now time.Time) []Contention {
	for _, mark := range l.load() {
		if mark.recent(now) {
			age := max(0, int64(clock.InstantOf(now))-mark.lastAt.Load())
			to = append(to, Contention{model, mark.priority, time.Duration(age)})
		}
	}
	return to
}

// transitAllowance is added to the age of contention that another daemon reports. Daemons pass
// contention on, since direct datagrams of all daemons of a large fleet take longer than
// contentionTime. Without an allowance for the time in transit, which no daemon measures, an age
// would hardly grow on a chain of daemons that send right after they receive, and contention
// that has ended would circulate. The allowance is above the latency between data centres.
const transitAllowance = 100 * time.Millisecond

// mergeContention takes over what another daemon knows of contention.
func (m *Meter) mergeContention(contention []Contention, now time.Time) {
	models := m.models.Load()
	for _, c := range contention {
		age := max(0, c.Age) + transitAllowance
		if meter := models.byHash[c.Model]; meter != nil && age <= contentionTime {
			meter.contention.record(c.Priority, now.Add(-age))
		}
	}
}
