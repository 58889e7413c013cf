package admit

import "sync/atomic"

// Budget bounds retries to a part of the requests, so that a fault does not
// multiply the load. It takes no lock.
type Budget struct {
	// left is in hundredths of a retry.
	left atomic.Int64
}

// The budget earns a tenth of a retry with each request and holds at most
// maxRetries, which it starts with.
const (
	wholeRetry  = 100
	earnedPart  = 10
	maxRetries  = 20
	budgetLimit = maxRetries * wholeRetry
)

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := new(Budget)
	b.left.Store(budgetLimit)
	return b
}

// Earn adds what one request earns.
func (b *Budget) Earn() {
	for {
		old := b.left.Load()
		next := min(old+earnedPart, budgetLimit)
		if old == next || b.left.CompareAndSwap(old, next) {
			return
		}
	}
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	for {
		old := b.left.Load()
		if old < wholeRetry {
			return false
		}
		if b.left.CompareAndSwap(old, old-wholeRetry) {
			return true
		}
	}
}
