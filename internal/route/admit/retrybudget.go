package admit

import "sync/atomic"

// RetryBudget bounds retries to a share of the requests, so that a fault does not multiply
// the load. It takes no lock.
type RetryBudget struct {
	// units is the remaining budget. A retry costs retryUnits.
	units atomic.Int64
}

// Each request adds a tenth of a retry to the budget. The budget holds at most maxRetries,
// and starts with as many.
const (
	retryUnits      = 100
	unitsPerRequest = 10
	maxRetries      = 20
	maxUnits        = maxRetries * retryUnits
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	b := new(RetryBudget)
	b.units.Store(maxUnits)
	return b
}

// RecordRequest adds a tenth of a retry to the budget, up to the maximum.
func (b *RetryBudget) RecordRequest() {
	for {
		old := b.units.Load()
		next := min(old+unitsPerRequest, maxUnits)
		if old == next || b.units.CompareAndSwap(old, next) {
			return
		}
	}
}

// AllowRetry reports whether one more retry may be sent, and deducts the retry from the
// budget.
func (b *RetryBudget) AllowRetry() bool {
	for {
		old := b.units.Load()
		if old < retryUnits {
			return false
		}
		if b.units.CompareAndSwap(old, old-retryUnits) {
			return true
		}
	}
}
