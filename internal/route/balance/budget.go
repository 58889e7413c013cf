package balance

import (
	"sync"
	"time"

	"cuminbay/internal/kernel/clock"
)

// BudgetOptions are the parts of a Budget.
type BudgetOptions struct {
	Clock clock.Clock
	Fleet fleet
	// Ratio is the number of repeats for each request, and Slack the number
	// above that, from all daemons together in one Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget bounds the repeats of this daemon, so that all daemons together stay
// below a share of the requests without talking to each other.
type Budget struct {
	BudgetOptions

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

// NewBudget returns an unused budget.
func NewBudget(o BudgetOptions) *Budget {
	return &Budget{BudgetOptions: o}
}

// Request counts a request of a caller.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot().requests++
	b.requests++
}

// Repeat reports whether one more repeat may be sent, and counts it.
func (b *Budget) Repeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slot()
	allowed := budgetPart * (b.Ratio*float64(b.requests) + b.Slack/float64(max(b.Fleet.Daemons(), 1)))
	if float64(b.repeats+1) > allowed {
		return false
	}
	s.repeats++
	b.repeats++
	return true
}

// slot returns the current part of the window and forgets those that ended.
func (b *Budget) slot() *budgetSlot {
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
