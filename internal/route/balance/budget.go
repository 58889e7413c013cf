package balance

import (
	"sync"
	"time"

	"cuminbay/internal/kernel/clock"
)

// RetryBudgetOptions are the parts of a Budget.
type RetryBudgetOptions struct {
	Clock clock.Clock
	Fleet fleet
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
	slots    [budgetSlots + 1]budgetSlot
	requests int
	repeats  int
}

// budgetSlots is the number of parts of a window that are counted apart. One more
// is counted, as the current one is not over: so no window is seen too short.
const budgetSlots = 10

type budgetSlot struct {
	number   int64
	requests int
	repeats  int
}

// budgetPart is the part of the bounds that is used: the number of daemons and
// the windows of others are not known exactly.
const budgetPart = 0.85

// NewRetryBudget returns an unused budget.
func NewRetryBudget(o RetryBudgetOptions) *RetryBudget {
	return &RetryBudget{RetryBudgetOptions: o}
}

// RecordRequest counts a request of a caller.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot().requests++
	b.requests++
}

// AllowRetry reports whether one more repeat may be sent, and counts it.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slot()
	allowed := budgetPart * (b.Ratio*float64(b.requests) + b.BaseRetries/float64(max(b.Fleet.DaemonCount(), 1)))
	if float64(b.repeats+1) > allowed {
		return false
	}
	s.repeats++
	b.repeats++
	return true
}

// slot returns the current part of the window and forgets those that ended.
func (b *RetryBudget) slot() *budgetSlot {
	number := b.Clock.Now().UnixNano() / int64(b.Window/budgetSlots)
	for i := range b.slots {
		if s := &b.slots[i]; s.number < number-budgetSlots && s.number != 0 {
			b.requests -= s.requests
			b.repeats -= s.repeats
			*s = budgetSlot{}
		}
	}
	s := &b.slots[number%(budgetSlots+1)]
	s.number = number
	return s
}
