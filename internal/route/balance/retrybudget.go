package balance

import (
	"sync"
	"time"

	"cuminbay/internal/kernel/clock"
)

// RetryBudgetOptions are the dependencies and settings of a RetryBudget.
type RetryBudgetOptions struct {
	Clock   clock.Clock
	Daemons daemonCounter
	// Ratio is the number of retries allowed for each request of this daemon.
	// BaseRetries is the number that all daemons together may send in addition.
	// Both count within Window.
	Ratio       float64
	BaseRetries float64
	Window      time.Duration
}

// RetryBudget bounds the retries of this daemon, so that all daemons together stay below
// a ratio of their requests plus the base retries. It needs no communication.
type RetryBudget struct {
	RetryBudgetOptions

	mu sync.Mutex
	// buckets has the counts of the window by time, requests and retries have the
	// sums of all buckets.
	buckets  [windowBuckets + 1]windowBucket
	requests int
	retries  int
}

// windowBuckets is the number of buckets into which a window is divided. The budget holds
// one more bucket, as the current bucket is incomplete. The counted time is therefore
// never shorter than the window.
const windowBuckets = 10

// windowBucket has the counts of a tenth of a window. Its index is the number of such
// tenths since 1970.
type windowBucket struct {
	index    int64
	requests int
	retries  int
}

// budgetFraction is the fraction of the budget that is used, as the number of daemons and
// the windows of other daemons are not known exactly.
const budgetFraction = 0.85

// NewRetryBudget returns a budget without counted requests and retries.
func NewRetryBudget(o RetryBudgetOptions) *RetryBudget {
	return &RetryBudget{RetryBudgetOptions: o}
}

// RecordRequest counts a request, which raises the budget by Ratio for one window.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket().requests++
	b.requests++
}

// AllowRetry reports whether one more retry may be sent, and counts that retry.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.currentBucket()
	allowed := budgetFraction * (b.Ratio*float64(b.requests) + b.BaseRetries/float64(max(b.Daemons.DaemonCount(), 1)))
	if float64(b.retries+1) > allowed {
		return false
	}
	bucket.retries++
	b.retries++
	return true
}

// currentBucket returns the bucket of the current time, after emptying the buckets that
// are older than a window.
func (b *RetryBudget) currentBucket() *windowBucket {
	current := int64(clock.InstantOf(b.Clock.Now())) / int64(b.Window/windowBuckets)
	for i := range b.buckets {
		if bucket := &b.buckets[i]; bucket.index < current-windowBuckets && bucket.index != 0 {
			b.requests -= bucket.requests
			b.retries -= bucket.retries
			*bucket = windowBucket{}
		}
	}
	bucket := &b.buckets[current%(windowBuckets+1)]
	bucket.index = current
	return bucket
}
