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

// RetryBudget bounds the retries of this daemon. All daemons together stay below a ratio
// of their requests without communication.
type RetryBudget struct {
	RetryBudgetOptions

	mu       sync.Mutex
	parts    [windowParts + 1]windowPart
	requests int
	retries  int
}

// windowParts is the number of parts of a window that are counted separately. The budget
// holds one more part, as the current part is incomplete. The counted time is therefore
// never shorter than the window.
const windowParts = 10

// windowPart has the counts of one part. Its index is the number of the part since 1970.
type windowPart struct {
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
	b.currentPart().requests++
	b.requests++
}

// AllowRetry reports whether one more retry may be sent, and counts that retry.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.currentPart()
	allowed := budgetFraction * (b.Ratio*float64(b.requests) + b.BaseRetries/float64(max(b.Daemons.DaemonCount(), 1)))
	if float64(b.retries+1) > allowed {
		return false
	}
	p.retries++
	b.retries++
	return true
}

// currentPart returns the current part of the window, after removing the parts that are
// older than a window.
func (b *RetryBudget) currentPart() *windowPart {
	current := b.Clock.Now().UnixNano() / int64(b.Window/windowParts)
	for i := range b.parts {
		if p := &b.parts[i]; p.index < current-windowParts && p.index != 0 {
			b.requests -= p.requests
			b.retries -= p.retries
			*p = windowPart{}
		}
	}
	p := &b.parts[current%(windowParts+1)]
	p.index = current
	return p
}
