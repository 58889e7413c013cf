package balance

import (
	"sync"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/clock"
)

// RetryBudgetOptions are the dependencies and settings of a RetryBudget.
type RetryBudgetOptions struct {
	Clock   clock.Clock
	Daemons daemonCounter
	// Ratio is the number of retries allowed for each request of this daemon to the same
	// service. BaseRetries is the number that all daemons together may send to a service in
	// addition. Both count within Window.
	Ratio       float64
	BaseRetries float64
	Window      time.Duration
}

// RetryBudget bounds the retries of this daemon to each service, so that all daemons together
// stay below a ratio of their requests to the service plus the base retries. It needs no
// communication.
type RetryBudget struct {
	RetryBudgetOptions
	// startedAt is the start of the first window. The daemon may have run before, so its part
	// of the base retries of this window may be used up.
	startedAt time.Time

	mu      sync.Mutex
	windows map[ident.Service]*retryWindow
}

// retryWindow has the counts of one service.
type retryWindow struct {
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
	return &RetryBudget{RetryBudgetOptions: o, startedAt: o.Clock.Now(), windows: make(map[ident.Service]*retryWindow)}
}

// RecordRequest counts a request to the service, which raises its budget by Ratio for one window.
func (b *RetryBudget) RecordRequest(service ident.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowOf(service)
	w.bucketAt(b.currentIndex()).requests++
	w.requests++
}

// HasRetry reports whether AllowRetry would allow one more retry to the service now.
func (b *RetryBudget) HasRetry(service ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowOf(service)
	w.bucketAt(b.currentIndex())
	return b.hasRetry(w)
}

// AllowRetry reports whether one more retry may be sent to the service, and counts that retry.
func (b *RetryBudget) AllowRetry(service ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowOf(service)
	bucket := w.bucketAt(b.currentIndex())
	if !b.hasRetry(w) {
		return false
	}
	bucket.retries++
	w.retries++
	return true
}

// hasRetry reports whether the budget of the window allows one more retry. The caller holds the
// lock.
func (b *RetryBudget) hasRetry(w *retryWindow) bool {
	return float64(w.retries+1) <= budgetFraction*(b.Ratio*float64(w.requests)+b.ownBaseRetries())
}

// ownBaseRetries returns this daemon's part of the base retries.
func (b *RetryBudget) ownBaseRetries() float64 {
	if b.Clock.Since(b.startedAt) < b.Window {
		return 0
	}
	return b.BaseRetries / float64(max(b.Daemons.DaemonCount(), 1))
}

// windowOf returns the counts of the service. The caller holds the lock.
func (b *RetryBudget) windowOf(service ident.Service) *retryWindow {
	w := b.windows[service]
	if w == nil {
		w = new(retryWindow)
		b.windows[service] = w
	}
	return w
}

// currentIndex returns the number of the current tenth of a window since 1970.
func (b *RetryBudget) currentIndex() int64 {
	return int64(clock.InstantOf(b.Clock.Now())) / int64(b.Window/windowBuckets)
}

// bucketAt returns the bucket with the index, after emptying the buckets that are older than a
// window.
func (w *retryWindow) bucketAt(current int64) *windowBucket {
	for i := range w.buckets {
		if bucket := &w.buckets[i]; bucket.index < current-windowBuckets && bucket.index != 0 {
			w.requests -= bucket.requests
			w.retries -= bucket.retries
			*bucket = windowBucket{}
		}
	}
	bucket := &w.buckets[current%(windowBuckets+1)]
	bucket.index = current
	return bucket
}
