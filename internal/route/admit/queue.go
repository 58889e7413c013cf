package admit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// QueueKey identifies what a request waits for, such as a model or a plain service.
type QueueKey string

// Queue holds requests that wait for a free slot of an endpoint. Free slots are offered in order:
// to the highest class first, of the requests that are on time to the highest priority, then to the
// organisation with the least load per weight, and then to the oldest one. Late requests go by the
// age of their first attempt alone. It takes no lock while no request waits.
type Queue struct {
	clock           clock.Clock
	recheckInterval time.Duration
	limit           int

	length atomic.Int64
	mu     sync.Mutex
	lines  map[QueueKey]*line
}

// QueueOptions are the dependencies and settings of a Queue.
type QueueOptions struct {
	Clock clock.Clock
	// Limit bounds the number of waiting requests.
	Limit int
	// RecheckInterval is the interval at which a waiting request checks for free slots
	// without a wake-up. New tables, cold grants and requests that end at other daemons add
	// slots without a call of Wake.
	RecheckInterval time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(o QueueOptions) *Queue {
	return &Queue{clock: o.Clock, recheckInterval: o.RecheckInterval, limit: o.Limit, lines: make(map[QueueKey]*line)}
}

// Turn is the offer to a waiting request to take a slot.
type Turn struct {
	Class Class
	// Limit is the share of a replica's slots that the request may use, zero if the request has no such
	// limit.
	Limit float64
}

// WaitRequest describes a request that has to wait. Key identifies what it waits for.
type WaitRequest struct {
	Key       QueueKey
	Priority  unit.Priority
	Received  time.Time
	Admission Admission
	// Deadline is the time at which the wait ends without a slot.
	Deadline time.Time

	// Class is the class at the start of the wait. An OnTime request becomes Late after
	// LatestStart, unless that is zero. FirstSent orders late requests.
	Class       Class
	LatestStart time.Time
	FirstSent   time.Time
	// Organisation and Tokens count towards the least shares of organisations and sizes.
	Organisation ident.Organisation
	Tokens       unit.Tokens
	// Limit returns the share of a replica's slots that a request of the class may use. Requests of the
	// same key that have a Limit use the same endpoints, so that one that finds no slot answers for
	// those after it that may use no more. Nil if the endpoints differ.
	Limit func(Class) float64
	// LateInterval is the least time between two late requests that leave the queue. Counts of other
	// daemons' requests are old, so that many daemons see the same slot free at once.
	LateInterval time.Duration
	// Draw is the request's random number from 0 to 1. While there is room for a share of the requests
	// only, one that finds no slot answers only for those whose number is no lower.
	Draw float64
	// Restricted says that the request may use only some of the endpoints.
	Restricted bool
	// Displaceable says that the request may lose its place to one that goes before it if the
	// queue is full.
	Displaceable bool
}

// waiter is a request in the queue. Its channel served is closed when it got a slot or lost its place.
type waiter struct {
	WaitRequest
	tryAcquire func(Turn) bool
	served     chan struct{}
	acquired   bool
	keys       [shareKinds]shareKey
	// turn is the class and limit in the current round.
	turn Turn
}

// Wait calls tryAcquire whenever a slot may be free, and returns true as soon as
// tryAcquire does. It returns false if the queue is full, the deadline has passed or the
// context ends. Calls of tryAcquire don't overlap. They come from any goroutine, must not
// block and must not use the queue.
func (q *Queue) Wait(ctx context.Context, r WaitRequest, tryAcquire func(Turn) bool) bool {
	w := &waiter{WaitRequest: r, keys: r.shareKeys(), tryAcquire: tryAcquire, served: make(chan struct{})}
	if !q.add(w) {
		return false
	}
	for {
		remaining := r.Deadline.Sub(q.clock.Now())
		if remaining <= 0 {
			return q.leave(w)
		}
		timer := q.clock.NewTimer(min(remaining, q.recheckInterval))
		select {
		case <-w.served:
			timer.Stop()
			return w.acquired
		case <-timer.Chan():
			q.recheck(w)
		case <-ctx.Done():
			timer.Stop()
			return q.leave(w)
		}
	}
}

// Wake offers slots to the requests that wait for the key, after a slot was released. Without
// waiting requests it costs one atomic load.
func (q *Queue) Wake(key QueueKey) {
	if q.length.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.lines[key]; l != nil {
		q.offer(l, q.clock.Now())
	}
}

// Length returns the number of waiting requests.
func (q *Queue) Length() int {
	return int(q.length.Load())
}

// LengthOf returns the number of requests that wait for the key.
func (q *Queue) LengthOf(key QueueKey) unit.Requests {
	if q.length.Load() == 0 {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.lines[key]; l != nil {
		return unit.Requests(len(l.waiters))
	}
	return 0
}

// Standing is the place of a request in the queue if it joined now.
type Standing struct {
	// AheadOnTime is the number of requests that would go before it if it is on time, and
	// AheadLate the number if it is late.
	AheadOnTime unit.Requests
	AheadLate   unit.Requests
	// Alone says that no other request of its priority, organisation or size waits.
	Alone bool
}

// Standing returns the place that the request would have.
func (q *Queue) Standing(r *WaitRequest) Standing {
	s := Standing{Alone: true}
	if q.length.Load() == 0 {
		return s
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lines[r.Key]
	if l == nil {
		return s
	}
	now := q.clock.Now()
	self := &waiter{WaitRequest: *r, keys: r.shareKeys()}
	var equals [shareKinds]bool
	for _, w := range l.waiters {
		w.turn.Class = w.classAt(now)
		self.turn.Class = OnTime
		if w.precedes(self, l) {
			s.AheadOnTime++
		}
		self.turn.Class = Late
		if w.precedes(self, l) {
			s.AheadLate++
		}
		for kind, key := range self.keys {
			equals[kind] = equals[kind] || key == w.keys[kind]
		}
	}
	s.Alone = slices.Contains(equals[:], false)
	return s
}

// add puts the waiter into the queue and offers it a slot, since one that was released earlier
// caused no wake-up of this request. It reports whether the queue had room.
func (q *Queue) add(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lines[w.Key]
	if l == nil {
		l = newLine()
		q.lines[w.Key] = l
	}
	now := q.clock.Now()
	w.turn.Class = w.classAt(now)
	if int(q.length.Load()) >= q.limit {
		longest, last := q.displaceable(l, w, now)
		if last == nil {
			q.dropEmpty(w.Key, l)
			return false
		}
		q.remove(longest, last)
		close(last.served)
	}
	l.add(w)
	q.length.Add(1)
	l.setTurns(now)
	switch {
	case w.Limit == nil:
		q.try(l, w)
	case !l.isCovered(w) || now.Sub(l.lastOffer) >= q.recheckInterval/2:
		// Slots that requests of other daemons left are found here too, and go to the first in order.
		q.offer(l, now)
	}
	return true
}

// displaceable returns the last request of the longest line that may lose its place to the waiter, whose
// line is l, and its line. It returns nil if there is none.
func (q *Queue) displaceable(l *line, w *waiter, now time.Time) (*line, *waiter) {
	longest := l
	for _, other := range q.lines {
		if len(other.waiters) > len(longest.waiters) {
			longest = other
		}
	}
	longest.setTurns(now)
	for i := len(longest.waiters) - 1; i >= 0; i-- {
		if last := longest.waiters[i]; last.Displaceable && (longest != l || w.precedes(last, l)) {
			return longest, last
		}
	}
	return longest, nil
}

// HasRoom reports whether the request would get a place in the queue if it joined now.
func (q *Queue) HasRoom(r *WaitRequest) bool {
	if int(q.length.Load()) < q.limit {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lines[r.Key]
	if l == nil {
		l = newLine()
	}
	now := q.clock.Now()
	w := &waiter{WaitRequest: *r, keys: r.shareKeys()}
	w.turn.Class = w.classAt(now)
	_, last := q.displaceable(l, w, now)
	return last != nil
}

// recheck offers slots without a wake-up. One waiter's recheck serves all of its line.
func (q *Queue) recheck(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lines[w.Key]
	if l == nil || !slices.Contains(l.waiters, w) {
		return
	}
	now := q.clock.Now()
	if w.Limit == nil {
		l.setTurns(now)
		q.try(l, w)
		return
	}
	if now.Sub(l.lastOffer) >= q.recheckInterval/2 || !now.Before(w.Deadline) {
		q.offer(l, now)
	}
}

// offer offers slots to the waiters of the line in order, until none is left for any of them.
func (q *Queue) offer(l *line, now time.Time) {
	l.lastOffer = now
	l.setTurns(now)
	l.failed = l.failed[:0]
	unlimitedFailed := false
	for _, w := range slices.Clone(l.waiters) {
		switch {
		case l.isSpaced(w, now), l.hasFailed(w):
		case w.Limit == nil && unlimitedFailed:
			// Requests without a limit check for themselves, so that a wake-up costs one try.
		case !q.try(l, w):
			unlimitedFailed = unlimitedFailed || w.Limit == nil
			l.failed = append(l.failed, w)
		}
	}
}

// try offers the waiter a slot and removes it from the queue if it takes one.
func (q *Queue) try(l *line, w *waiter) bool {
	if !w.tryAcquire(w.turn) {
		return false
	}
	w.acquired = true
	if w.turn.Class == Late {
		l.lastLate = l.lastOffer
	}
	l.countGrant(w)
	q.remove(l, w)
	close(w.served)
	return true
}

// leave ends the wait. It returns whether the waiter has got a slot before.
func (q *Queue) leave(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.lines[w.Key]; l != nil {
		q.remove(l, w)
	}
	return w.acquired
}

func (q *Queue) remove(l *line, w *waiter) {
	if l.remove(w) {
		q.length.Add(-1)
		q.dropEmpty(w.Key, l)
	}
}

func (q *Queue) dropEmpty(key QueueKey, l *line) {
	if len(l.waiters) == 0 {
		delete(q.lines, key)
	}
}
