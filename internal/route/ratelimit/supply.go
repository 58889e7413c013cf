package ratelimit

import (
	"math"
	"sync"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// Supply is what a set of endpoints will admit, none of which admits a request now.
type Supply struct {
	sources []source
	// fleetRate is the mean number of requests a second of a daemon.
	fleetRate unit.RequestRate
	// startsAt is the time at which the first endpoint is not paused.
	startsAt time.Time
}

// source is an endpoint that will admit requests: after its pause, and within this daemon's
// share if it names a limit.
type source struct {
	share *share
	// startsAt is the end of the pause, zero without one.
	startsAt time.Time
}

// Exhausted returns the supply of the endpoints, and reports whether each of them is paused or
// names a limit of which this daemon has used up its share.
func (l *Limits) Exhausted(now time.Time, endpoints []*catalog.Endpoint) (Supply, bool) {
	shares := *l.shares.Load()
	if len(endpoints) == 0 || len(shares) == 0 && len(*l.pauses.current.Load()) == 0 {
		return Supply{}, false
	}
	var supply Supply
	for _, e := range endpoints {
		s := shares[e.Process]
		p, isPaused := l.pauses.of(now, e.Process)
		if !isPaused && (s == nil || s.available(now)) {
			return Supply{}, false
		}
		from, rate := source{share: s}, p.fleetRate
		if isPaused {
			from.startsAt = p.until
		}
		if s != nil {
			rate = unit.RequestRate(math.Float64frombits(s.fleetRate.Load()))
		}
		if len(supply.sources) == 0 || from.startsAt.Before(supply.startsAt) {
			supply.startsAt = from.startsAt
		}
		supply.sources = append(supply.sources, from)
		supply.fleetRate += rate
	}
	return supply, true
}

// Before returns the number of requests that this daemon may send until the given time.
func (s Supply) Before(end time.Time) unit.Requests {
	var count unit.Requests
	for _, from := range s.sources {
		if from.startsAt.After(end) {
			continue
		}
		if from.share == nil {
			return math.MaxInt64
		}
		count += from.share.before(from.startsAt, end)
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
func (r *RetrySchedule) Next(now time.Time, queue string, supply Supply, patience time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.nextAt(now, queue, supply)
	after := at.Sub(now)
	if after <= patience {
		if r.last == nil {
			r.last = make(map[string]time.Time)
		}
		r.last[queue] = at
	}
	return after
}

// Peek returns what Next would return now. It takes no place in the schedule.
func (r *RetrySchedule) Peek(now time.Time, queue string, supply Supply, _ time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextAt(now, queue, supply).Sub(now)
}

// nextAt returns the time of the next admission that no caller was told. The caller holds the lock.
func (r *RetrySchedule) nextAt(now time.Time, queue string, supply Supply) time.Time {
	at := now
	for _, earliest := range []time.Time{r.last[queue], supply.startsAt} {
		if earliest.After(at) {
			at = earliest
		}
	}
	return at.Add(intervalOf(supply.fleetRate))
}
