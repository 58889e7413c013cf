package ratelimit

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Bounds of a limit, in requests a second. A server that wants no requests at all still gets
// one now and then, since only an answer tells that its limit has ended.
const (
	minLimit unit.RequestRate = 0.1
	maxLimit unit.RequestRate = 1e6
)

// Times of a limit that a server has named.
const (
	// endDelay is the time after the last answer that named a limit from which an answer
	// without one ends it. Answers that were written before may arrive later.
	endDelay = time.Second
	// staleTime is the time without an answer after which a limit is divided among all
	// daemons, as those that had it may be away.
	staleTime = 5 * time.Second
	// forgetTime is the time without an answer after which a limit is forgotten.
	forgetTime = 5 * time.Minute
)

// namedLimit is the limit that a server named last, as far as this daemon knows.
type namedLimit struct {
	server ident.ServerIncarnation
	limit  unit.RequestRate
	// namedAt is the time of the last answer with a limit, unnamedAt of the last one
	// without.
	namedAt, unnamedAt time.Time
	// dividedAsStale says that the share was computed from knowledge that was stale.
	dividedAsStale bool
	// own is this daemon's last observation.
	own   Observation
	ownAt time.Time
}

// observe records an answer with the limit, zero if it named none. Observations may be
// recorded in any order.
func (n *namedLimit) observe(limit unit.RequestRate, at time.Time) {
	switch {
	case limit > 0 && at.After(n.namedAt):
		n.limit, n.namedAt = limit, at
	case limit == 0 && at.After(n.unnamedAt):
		n.unnamedAt = at
	}
}

// effectiveLimit returns the limit, zero if it has ended.
func (n *namedLimit) effectiveLimit() unit.RequestRate {
	if n.unnamedAt.Sub(n.namedAt) >= endDelay {
		return 0
	}
	return n.limit
}

func (n *namedLimit) confirmedAt() time.Time {
	if n.unnamedAt.After(n.namedAt) {
		return n.unnamedAt
	}
	return n.namedAt
}

func (n *namedLimit) isStale(now time.Time) bool {
	return now.Sub(n.confirmedAt()) > staleTime
}

// division is what a daemon's share of a limit depends on.
type division struct {
	limit   unit.RequestRate
	server  ident.ServerIncarnation
	self    ident.Instance
	daemons []ident.Instance
	stale   bool
}

// spareUsers is the number of daemons among which a limit is divided, beyond one for each
// request a second. Each daemon may send one request at any time, so all daemons together may
// exceed the limit by as many requests at once. Few daemons with large shares, on the other
// hand, leave the others without any.
const spareUsers = 2

// shareOf returns the requests a second that the daemon may send. Daemons with the same list
// of daemons agree on the division. The daemons that use a server are those with the highest
// hashes, so few of them change when a daemon comes or goes.
func shareOf(d division) unit.RequestRate {
	total := max(len(d.daemons), 1)
	users := min(total, int(d.limit)+spareUsers)
	if d.stale {
		return d.limit / unit.RequestRate(total)
	}
	own, higher := d.hash(d.self), 0
	for _, daemon := range d.daemons {
		if daemon != d.self && d.hash(daemon) > own {
			higher++
		}
	}
	if higher >= users {
		return 0
	}
	return d.limit / unit.RequestRate(users)
}

func (d division) hash(daemon ident.Instance) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(daemon), uint64(d.server)))
}

// share is this daemon's share of a limit. Its requests are evenly spaced, so that the sum of
// all daemons is near the limit in every window of some seconds. All fields are atomic.
type share struct {
	// rate has the bits of the requests a second that this daemon may send, fleetRate of
	// the mean of all daemons.
	rate, fleetRate atomic.Uint64
	// next is the earliest time of the next request, as a clock.Instant.
	next atomic.Int64
}

func newShare(now time.Time, rate, fleetRate unit.RequestRate) *share {
	s := new(share)
	s.setRates(now, rate, fleetRate)
	return s
}

// setRates changes the rates. A daemon whose share begins waits for a random part of the
// interval between two requests, since all daemons learn of a limit at about the same time.
func (s *share) setRates(now time.Time, rate, fleetRate unit.RequestRate) {
	s.fleetRate.Store(math.Float64bits(float64(fleetRate)))
	before := unit.RequestRate(math.Float64frombits(s.rate.Swap(math.Float64bits(float64(rate)))))
	if rate == before || rate == 0 {
		return
	}
	latest := int64(clock.InstantOf(now)) + int64(intervalOf(rate))
	if before == 0 {
		s.next.Store(latest - rand.Int64N(int64(intervalOf(rate))))
		return
	}
	if next := s.next.Load(); next > latest {
		s.next.CompareAndSwap(next, latest)
	}
}

func intervalOf(rate unit.RequestRate) time.Duration {
	return time.Duration(float64(time.Second) / float64(rate))
}

// lateCreditDivisor is the divisor of the interval by which a request may be late without
// delaying the next one.
const lateCreditDivisor = 2

// take reports whether a request may be sent now, and counts it.
func (s *share) take(now time.Time) bool {
	rate := s.load()
	if rate == 0 {
		return false
	}
	interval, instant := int64(intervalOf(rate)), int64(clock.InstantOf(now))
	for {
		next := s.next.Load()
		if instant < next {
			return false
		}
		if s.next.CompareAndSwap(next, max(next, instant-interval/lateCreditDivisor)+interval) {
			return true
		}
	}
}

// available reports whether take would succeed now.
func (s *share) available(now time.Time) bool {
	return s.load() > 0 && int64(clock.InstantOf(now)) >= s.next.Load()
}

// load returns the rate.
func (s *share) load() unit.RequestRate {
	return unit.RequestRate(math.Float64frombits(s.rate.Load()))
}

// before returns the number of requests that this daemon may send between the times.
func (s *share) before(start, end time.Time) unit.Requests {
	if next := clock.Instant(s.next.Load()).Time(); next.After(start) {
		start = next
	}
	rate, left := s.load(), end.Sub(start)
	if rate == 0 || left < 0 {
		return 0
	}
	return 1 + unit.Requests(left.Seconds()*float64(rate))
}
