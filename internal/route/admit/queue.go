package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// QueueKey names what a request waits for: a model or a plain service.
type QueueKey string

// Queue holds requests that wait for a place at an endpoint. A place that
// becomes free goes to the request of the highest priority; among equals to the
// organisation with the least load, then to the one that came first.
type Queue struct {
	clock   clock.Clock
	recheck time.Duration
	limit   int

	length  atomic.Int64
	mu      sync.Mutex
	waiters []*waiter
}

// QueueOptions are the parts of a Queue.
type QueueOptions struct {
	Clock clock.Clock
	// Limit bounds the requests that wait.
	Limit int
	// RecheckInterval is the time after which a waiting request looks by itself.
	// Places also become free without a release, by new tables and grants.
	RecheckInterval time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(o QueueOptions) *Queue {
	return &Queue{clock: o.Clock, recheck: o.RecheckInterval, limit: o.Limit}
}

type waiter struct {
	key       QueueKey
	priority  unit.Priority
	received  time.Time
	admission Admission
	wake      chan struct{}
}

// WaitRequest says who waits for what.
type WaitRequest struct {
	Key       QueueKey
	Priority  unit.Priority
	Received  time.Time
	Admission Admission
	// Deadline is the time at which the wait ends without a place.
	Deadline time.Time
}

// Wait calls try whenever a place may be free, until it returns true. It
// returns false when the queue is full, the time is over or the context ends.
func (q *Queue) Wait(ctx context.Context, t WaitRequest, try func() bool) bool {
	w := &waiter{key: t.Key, priority: t.Priority, received: t.Received, admission: t.Admission, wake: make(chan struct{}, 1)}
	if !q.add(w) {
		return false
	}
	defer q.remove(w)
	for {
		// The look after joining catches a place freed just before.
		if try() {
			return true
		}
		left := t.Deadline.Sub(q.clock.Now())
		if left <= 0 {
			return false
		}
		timer := q.clock.NewTimer(min(left, q.recheck))
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

// Wake offers a freed place to the first request of the line. It costs one
// atomic load while nobody waits.
func (q *Queue) Wake(line QueueKey) {
	if q.length.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var best *waiter
	for _, w := range q.waiters {
		if w.key == line && len(w.wake) == 0 && (best == nil || w.before(best)) {
			best = w
		}
	}
	if best != nil {
		best.wake <- struct{}{}
	}
}

// Length returns the number of requests that wait.
func (q *Queue) Length() int {
	return int(q.length.Load())
}

func (w *waiter) before(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority > o.priority
	}
	if a, b := w.admission.LoadPerWeight(), o.admission.LoadPerWeight(); a != b {
		return a < b
	}
	return w.received.Before(o.received)
}

func (q *Queue) add(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= q.limit {
		return false
	}
	q.waiters = append(q.waiters, w)
	q.length.Store(int64(len(q.waiters)))
	return true
}

func (q *Queue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, o := range q.waiters {
		if o == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			break
		}
	}
	q.length.Store(int64(len(q.waiters)))
}
