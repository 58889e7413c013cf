package balance

import (
	"sync"
	"time"

	"cuminbay/internal/kernel/clock"
)

// RetryBudgetOptions are the parts of a Budget.
type RetryBudgetOptions struct {
	Clock   clock.Clock
	Daemons daemonCounter
	// Ratio is the number of repeats for each request, and Slack the number
	// above that, from all daemons together in one Window.
	Ratio       float64
	BaseRetries float64
	Window      time.Duration
}

// RetryBudget bounds the repeats of this daemon, so that all daemons together stay
// below a share of the requests without talking to each other.
type RetryBudget struct {
	RetryBudgetOptions

	mu       sync.Mutex
	parts    [windowParts + 1]windowPart
	requests int
	repeats  int
}

// windowParts is the number of parts of a window that are counted apart. One more
// is counted, as the current one is not over: so no window is seen too short.
const windowParts = 10

type windowPart struct {
	index    int64
	requests int
	repeats  int
}

// budgetMargin is the part of the bounds that is used: the number of daemons and
// the windows of others are not known exactly.
const budgetMargin = 0.85

// NewRetryBudget returns an unused budget.
func NewRetryBudget(o RetryBudgetOptions) *RetryBudget {
	return &RetryBudget{RetryBudgetOptions: o}
}

// RecordRequest counts a request of a caller.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentPart().requests++
	b.requests++
}

// AllowRetry reports whether one more repeat may be sent, and counts it.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.currentPart()
	allowed := budgetMargin * (b.Ratio*float64(b.requests) + b.BaseRetries/float64(max(b.Daemons.DaemonCount(), 1)))
	if float64(b.repeats+1) > allowed {
		return false
	}
	s.repeats++
	b.repeats++
	return true
}

// currentPart returns the current part of the window and forgets those that ended.
func (b *RetryBudget) currentPart() *windowPart {
	number := b.Clock.Now().UnixNano() / int64(b.Window/windowParts)
	for i := range b.parts {
		if s := &b.parts[i]; s.index < number-windowParts && s.index != 0 {
			b.requests -= s.requests
			b.repeats -= s.repeats
			*s = windowPart{}
		}
	}
	s := &b.parts[number%(windowParts+1)]
	s.index = number
	return s
}
