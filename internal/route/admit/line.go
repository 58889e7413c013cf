package admit

import (
	"math/bits"
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
)

// Least shares. A priority, organisation or size of which a request waits gets one of leastShareInterval
// slots, as long as these are not more than one of leastShareSpacing. The spacing keeps the order of
// the queue for most slots when many groups fall short at once.
const (
	leastShareInterval = 20
	leastShareSpacing  = 4
)

// shareKinds is the number of groups that a request counts for: its priority, organisation and size.
const shareKinds = 3

// sizeClassBits is the binary logarithm of the factor between the sizes of two groups.
const sizeClassBits = 2

// shareKey identifies a group of requests that has a least share.
type shareKey struct {
	kind         int
	number       int64
	organisation ident.Organisation
}

// line holds the requests that wait for one key. The Queue's lock guards it.
type line struct {
	waiters   []*waiter
	lastOffer time.Time
	// lastLate is the time at which a late request last got a slot.
	lastLate time.Time
	// failed has the waiters that found no slot in the current round.
	failed []*waiter
	// grants counts the slots that waiters got, and lastGrant has the count at the last grant of
	// each group, or at its first wait.
	grants    int
	lastGrant map[shareKey]int
	// lastLeast is the count at the last grant for a least share.
	lastLeast int
}

func newLine() *line {
	return &line{lastGrant: make(map[shareKey]int)}
}

// shareKeys returns the groups of the request.
func (r *WaitRequest) shareKeys() [shareKinds]shareKey {
	size := bits.Len64(uint64(max(r.Tokens, 0))) / sizeClassBits
	return [shareKinds]shareKey{{kind: 0, number: int64(r.Priority)}, {kind: 1, organisation: r.Organisation}, {kind: 2, number: int64(size)}}
}

// classAt returns the class of the waiter at the given time, without regard to least shares.
func (w *waiter) classAt(now time.Time) Class {
	if w.Class == OnTime && !w.LatestStart.IsZero() && now.After(w.LatestStart) {
		return Late
	}
	return w.Class
}

// isInTime reports whether a slot now would meet the objective.
func (w *waiter) isInTime(now time.Time) bool {
	return !w.LatestStart.IsZero() && !now.After(w.LatestStart)
}

// precedes reports whether w is served before the other waiter.
func (w *waiter) precedes(other *waiter, l *line) bool {
	switch {
	case w.turn.Class != other.turn.Class:
		return classOrder[w.turn.Class] > classOrder[other.turn.Class]
	case w.turn.Class == Late:
		return w.FirstSent.Before(other.FirstSent)
	case w.turn.Class == LeastShare:
		return l.shortage(w) > l.shortage(other)
	case w.Priority != other.Priority:
		return w.Priority > other.Priority
	}
	if c := w.Admission.compareLoad(other.Admission); c != 0 {
		return c < 0
	}
	return w.Received.Before(other.Received)
}

func (l *line) add(w *waiter) {
	l.waiters = append(l.waiters, w)
	for _, key := range w.keys {
		if _, known := l.lastGrant[key]; !known {
			l.lastGrant[key] = l.grants
		}
	}
}

func (l *line) remove(w *waiter) bool {
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}

// setTurns sets the class and the limit of each waiter, and sorts the waiters.
func (l *line) setTurns(now time.Time) {
	var least *waiter
	for _, w := range l.waiters {
		w.turn = Turn{Class: w.classAt(now)}
		if l.isShort(w) && (least == nil || l.shortage(w) > l.shortage(least)) {
			least = w
		}
	}
	if least != nil && least.turn.Class != Resumed {
		least.turn.Class = LeastShare
	}
	for _, w := range l.waiters {
		if w.Limit == nil {
			continue
		}
		// A request that is only expected to be late goes after the others, but may use the same slots.
		limitClass := w.turn.Class
		if limitClass == Late && w.isInTime(now) {
			limitClass = OnTime
		}
		w.turn.Limit = w.Limit(limitClass)
	}
	slices.SortStableFunc(l.waiters, func(a, b *waiter) int {
		switch {
		case a.precedes(b, l):
			return -1
		case b.precedes(a, l):
			return 1
		}
		return 0
	})
}

// isShort reports whether the waiter's priority, organisation or size got less than its least share, and a
// slot may go to it for that.
func (l *line) isShort(w *waiter) bool {
	return w.Limit != nil && l.grants-l.lastLeast >= leastShareSpacing && l.shortage(w) >= leastShareInterval
}

// shortage returns the number of slots that went to others since a request of the waiter's priority,
// organisation or size last got one; the highest of the three.
func (l *line) shortage(w *waiter) int {
	shortage := 0
	for _, key := range w.keys {
		shortage = max(shortage, l.grants-l.lastGrant[key])
	}
	return shortage
}

func (l *line) countGrant(w *waiter) {
	l.grants++
	for _, key := range w.keys {
		l.lastGrant[key] = l.grants
	}
	if w.turn.Class == LeastShare {
		l.lastLeast = l.grants
	}
}

// isSpaced reports whether the waiter is late and gets no slot yet, as another late one has just got one.
func (l *line) isSpaced(w *waiter, now time.Time) bool {
	return w.turn.Class == Late && !w.isInTime(now) && now.Sub(l.lastLate) < w.LateInterval
}

// covers reports whether the waiter's failure to find a slot means that the other one finds none.
func (w *waiter) covers(other *waiter) bool {
	return w.Limit != nil && other.Limit != nil && !w.Restricted && w.Draw <= other.Draw && w.turn.Limit >= other.turn.Limit && w.Tokens <= other.Tokens
}

// hasFailed reports whether the waiter finds no slot, as another one found none in this round.
func (l *line) hasFailed(w *waiter) bool {
	return slices.ContainsFunc(l.failed, func(f *waiter) bool { return f.covers(w) })
}

// isCovered reports whether a waiter that goes before w still waits for a slot that w could take.
func (l *line) isCovered(w *waiter) bool {
	for _, other := range l.waiters {
		if other == w {
			return false
		}
		if other.covers(w) {
			return true
		}
	}
	return false
}
