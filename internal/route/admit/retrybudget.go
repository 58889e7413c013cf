package admit

import "sync/atomic"

// RetryBudget bounds retries to a part of the requests, so that a fault does not
// multiply the load. It takes no lock.
type RetryBudget struct {
	// balance is in hundredths of a retry.
	balance atomic.Int64
}

// The budget earns a tenth of a retry with each request and holds at most
// maxRetries, which it starts with.
const (
	retryCost        = 100
	creditPerRequest = 10
	maxRetries       = 20
	maxBalance       = maxRetries * retryCost
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	b := new(RetryBudget)
	b.balance.Store(maxBalance)
	return b
}

// RecordRequest adds what one request earns.
func (b *RetryBudget) RecordRequest() {
	for {
		old := b.balance.Load()
		next := min(old+creditPerRequest, maxBalance)
		if old == next || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// AllowRetry takes one retry and reports whether there was one.
func (b *RetryBudget) AllowRetry() bool {
	for {
		old := b.balance.Load()
		if old < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(old, old-retryCost) {
			return true
		}
	}
}
