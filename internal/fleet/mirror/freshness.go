package mirror

import "time"

// freshness has the bounds of a copy's age that follow from the time within which a change
// has to be in force.
type freshness struct {
	// confirmInterval is the longest time between two confirmations of the copy by a
	// platform that answers at once.
	confirmInterval time.Duration
	// maxAge is the age above which the copy may lack changes that have to be in force
	// soon. What is left of the time is for reading the changes from another source.
	maxAge time.Duration
}

// The interval of confirmations is confirmNumerator/confirmDenominator of the time within
// which a change has to be in force, but at most maxConfirmInterval. An age of
// maxAgeIntervals intervals says that a confirmation is missing.
const (
	defaultWithin      = 2 * time.Second
	confirmNumerator   = 3
	confirmDenominator = 10
	maxConfirmInterval = 1200 * time.Millisecond
	maxAgeIntervals    = 2
	// minAgeCheckInterval is the time between two checks of a copy that is too old.
	minAgeCheckInterval = 100 * time.Millisecond
)

func freshnessFor(within time.Duration) freshness {
	if within == 0 {
		within = defaultWithin
	}
	interval := min(within*confirmNumerator/confirmDenominator, maxConfirmInterval)
	return freshness{confirmInterval: interval, maxAge: maxAgeIntervals * interval}
}

// nextWait returns the time for which the next call waits for changes at the platform. A
// copy that is too old is confirmed without a wait.
func (m *Mirror) nextWait() time.Duration {
	if m.Age() >= m.freshness.maxAge {
		return 0
	}
	return max(m.freshness.confirmInterval-m.currentBatchTime(), 0)
}

// MaxAge returns the age of the copy above which it may lack changes that have to be in
// force.
func (m *Mirror) MaxAge() time.Duration {
	return m.freshness.maxAge
}
