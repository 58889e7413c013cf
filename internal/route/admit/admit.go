// Package admit decides whether a request may enter: shares of organisations
// while capacity is short, a queue for places, and a budget for retries.
package admit

import (
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
)

// shortageThreshold is the part of the capacity above which organisations are held to
// their shares. Below it a share that is not used by its owner serves others.
const shortageThreshold = 0.8

// overShareRetry is the time after which a request refused for its
// organisation's share is worth sending again.
const overShareRetry = time.Second

// Shares holds the requests in flight of each organisation at this daemon.
// Enter and Leave take no lock once an organisation has been seen.
type Shares struct {
	total atomic.Int64

	mu            sync.Mutex
	organisations atomic.Pointer[map[ident.Organisation]*usage]
}

// usage is the load of one organisation.
type usage struct {
	inFlight atomic.Int64
	weight   atomic.Uint64
}

// weightScale turns a weight into an integer that fits an atomic.
const weightScale = 1 << 16

// NewShares returns empty shares.
func NewShares() *Shares {
	s := new(Shares)
	s.organisations.Store(&map[ident.Organisation]*usage{})
	return s
}

// Admission is a request's admission. It is given back with Leave.
type Admission struct {
	shares *Shares
	usage  *usage
}

// Admit admits a request of the organisation, given the requests at once that
// the daemon's endpoints take.
//
// Errors carry code.OverShare.
func (s *Shares) Admit(o *record.Organisation, capacity unit.Requests) (Admission, error) {
	u := s.usageOf(o)
	total := s.total.Add(1)
	own := u.inFlight.Add(1)
	p := Admission{s, u}
	if o.Limit > 0 && own > int64(o.Limit) {
		p.Release()
		return Admission{}, code.WithRetryAfter(code.OverShare.New("organisation %s: its limit of %d requests at once is reached", o.Name, o.Limit), overShareRetry)
	}
	if float64(total) > shortageThreshold*float64(capacity) && float64(own) > s.allowance(u, capacity) {
		p.Release()
		return Admission{}, code.WithRetryAfter(code.OverShare.New("organisation %s: its share is reached while capacity is short", o.Name), overShareRetry)
	}
	return p, nil
}

// Release gives the place back.
func (p Admission) Release() {
	p.usage.inFlight.Add(-1)
	p.shares.total.Add(-1)
}

// LoadPerWeight returns the organisation's requests in flight for each unit of weight.
func (p Admission) LoadPerWeight() float64 {
	return float64(p.usage.inFlight.Load()) * weightScale / float64(max(p.usage.weight.Load(), 1))
}

// allowance returns the requests at once that the organisation may have, by its
// weight among the organisations that have any. It is never below one, so that
// no organisation is shut out.
func (s *Shares) allowance(u *usage, capacity unit.Requests) float64 {
	var active uint64
	for _, other := range *s.organisations.Load() {
		if other.inFlight.Load() > 0 {
			active += other.weight.Load()
		}
	}
	if active == 0 {
		return float64(capacity)
	}
	return max(1, float64(capacity)*float64(u.weight.Load())/float64(active))
}

func (s *Shares) usageOf(o *record.Organisation) *usage {
	weight := max(1, uint64(o.Weight*weightScale))
	if u := (*s.organisations.Load())[o.Name]; u != nil {
		if u.weight.Load() != weight {
			u.weight.Store(weight)
		}
		return u
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.organisations.Load()
	if u := old[o.Name]; u != nil {
		return u
	}
	next := make(map[ident.Organisation]*usage, len(old)+1)
	for name, u := range old {
		next[name] = u
	}
	u := new(usage)
	u.weight.Store(weight)
	next[o.Name] = u
	s.organisations.Store(&next)
	return u
}

// InFlight returns the requests admitted and not yet left.
func (s *Shares) InFlight() unit.Requests {
	return unit.Requests(s.total.Load())
}
