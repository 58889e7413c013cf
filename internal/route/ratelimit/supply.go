package ratelimit

import (
	"math"
	"sync"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/clock"
)

// Supply is what a set of endpoints will admit. Every endpoint names a limit, and this
// daemon has used up its share of each.
type Supply struct {
	shares []*share
	// FleetRate is the mean number of requests a second of a daemon.
	FleetRate unit.RequestRate
}

// Exhausted returns the supply of the endpoints, and reports whether each of them names a
// limit of which this daemon has used up its share.
func (l *Limits) Exhausted(now time.Time, endpoints []*catalog.Endpoint) (Supply, bool) {
	shares := *l.shares.Load()
	if len(shares) == 0 || len(endpoints) == 0 {
		return Supply{}, false
	}
	var supply Supply
	for _, e := range endpoints {
		s := shares[e.Process]
		if s == nil || s.available(now) {
			return Supply{}, false
		}
		supply.shares = append(supply.shares, s)
		supply.FleetRate += unit.RequestRate(math.Float64frombits(s.fleetRate.Load()))
	}
	return supply, true
}

// Before returns the number of requests that this daemon may send until the given time.
func (s Supply) Before(end time.Time) unit.Requests {
	var count unit.Requests
	for _, share := range s.shares {
		rate := share.load()
		if left := end.Sub(clock.Instant(share.next.Load()).Time()); rate > 0 && left >= 0 {
			count += 1 + unit.Requests(left.Seconds()*float64(rate))
		}
	}
	return count
}

// RetrySchedule spreads the times at which rejected callers of one queue come back, so that
// they meet as many admissions as there are. Callers come back at any daemon, so each daemon
// uses the mean share of a daemon, whatever its own share is.
type RetrySchedule struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// Next returns the time after which a caller finds an admission. A caller that doesn't wait
// longer than its patience takes no place in the schedule if the time is longer.
func (r *RetrySchedule) Next(now time.Time, queue string, rate unit.RequestRate, patience time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = make(map[string]time.Time)
	}
	at := r.last[queue]
	if at.Before(now) {
		at = now
	}
	at = at.Add(intervalOf(rate))
	after := at.Sub(now)
	if after <= patience {
		r.last[queue] = at
	}
	return after
}
