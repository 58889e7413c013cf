package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// QueueKey identifies what a request waits for, such as a model or a plain service.
type QueueKey string

// Queue holds requests that wait for a free slot of an endpoint. A wake-up goes to the
// request with the highest priority. Of requests with equal priority, it goes to the one
// whose organisation has the least load per weight, and then to the oldest one.
type Queue struct {
	clock           clock.Clock
	recheckInterval time.Duration
	limit           int

	length  atomic.Int64
	mu      sync.Mutex
	waiters []*waiter
}

// QueueOptions are the dependencies and settings of a Queue.
type QueueOptions struct {
	Clock clock.Clock
	// Limit bounds the number of waiting requests.
	Limit int
	// RecheckInterval is the interval at which a waiting request checks for free slots
	// without a wake-up. New tables and cold grants add slots without a call of
	// Wake.
	RecheckInterval time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(o QueueOptions) *Queue {
	return &Queue{clock: o.Clock, recheckInterval: o.RecheckInterval, limit: o.Limit}
}

// waiter is a request in the queue. Its channel wake buffers one wake-up.
type waiter struct {
	key       QueueKey
	priority  unit.Priority
	received  time.Time
	admission Admission
	wake      chan struct{}
}

// WaitRequest describes a request that has to wait. Key identifies what it waits for.
type WaitRequest struct {
	Key       QueueKey
	Priority  unit.Priority
	Received  time.Time
	Admission Admission
	// Deadline is the time at which the wait ends without a slot.
	Deadline time.Time
}

// Wait calls tryAcquire whenever a slot may be free, and returns true as soon as
// tryAcquire does. It returns false if the queue is full, the deadline has passed or the
// context ends.
func (q *Queue) Wait(ctx context.Context, r WaitRequest, tryAcquire func() bool) bool {
	w := &waiter{key: r.Key, priority: r.Priority, received: r.Received, admission: r.Admission, wake: make(chan struct{}, 1)}
	if !q.addWaiter(w) {
		return false
	}
	defer q.removeWaiter(w)
	for {
		// tryAcquire is also called right after the request was queued, since
		// a slot that was released earlier caused no wake-up of this request.
		if tryAcquire() {
			return true
		}
		remaining := r.Deadline.Sub(q.clock.Now())
		if remaining <= 0 {
			return false
		}
		timer := q.clock.NewTimer(min(remaining, q.recheckInterval))
		select {
		case <-w.wake:
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// Wake wakes the first request that waits for the key, after a slot was released. Without
// waiting requests it costs one atomic load.
func (q *Queue) Wake(key QueueKey) {
	if q.length.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var best *waiter
	for _, w := range q.waiters {
		if w.key == key && len(w.wake) == 0 && (best == nil || w.precedes(best)) {
			best = w
		}
	}
	if best != nil {
		best.wake <- struct{}{}
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
	var count unit.Requests
	for _, w := range q.waiters {
		if w.key == key {
			count++
		}
	}
	return count
}

// precedes reports whether w is served before the other waiter.
func (w *waiter) precedes(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	if a, b := w.admission.LoadPerWeight(), other.admission.LoadPerWeight(); a != b {
		return a < b
	}
	return w.received.Before(other.received)
}

func (q *Queue) addWaiter(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= q.limit {
		return false
	}
	q.waiters = append(q.waiters, w)
	q.length.Store(int64(len(q.waiters)))
	return true
}

func (q *Queue) removeWaiter(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			break
		}
	}
	q.length.Store(int64(len(q.waiters)))
}
