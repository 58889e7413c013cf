package admit

import "sync/atomic"

// RetryBudget bounds retries to a part of the requests, so that a fault does not
// multiply the load. It takes no lock.
type RetryBudget struct {
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

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	b := new(RetryBudget)
	b.left.Store(budgetLimit)
	return b
}

// RecordRequest adds what one request earns.
func (b *RetryBudget) RecordRequest() {
	for {
		old := b.left.Load()
		next := min(old+earnedPart, budgetLimit)
		if old == next || b.left.CompareAndSwap(old, next) {
			return
		}
	}
}

// AllowRetry takes one retry and reports whether there was one.
func (b *RetryBudget) AllowRetry() bool {
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
