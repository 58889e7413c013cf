// Package admit decides whether and when the dispatcher and the forwarder may send a
// request. It limits organisations to their shares while capacity is short and queues
// requests that wait for a free slot. It also provides the retry budget of the dispatcher.
package admit

import (
	"cmp"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/rcu"
)

// shortageThreshold is the share of the capacity above which organisations are limited to
// their shares. Below the threshold, other organisations may use a share that its owner
// does not use.
const shortageThreshold = 0.8

// overShareRetry is the Retry-After time of a request that was refused for its
// organisation's share.
const overShareRetry = time.Second

// Shares counts the requests in flight of each organisation at this daemon. Admit and
// Release take no lock after an organisation's first request.
type Shares struct {
	inFlight atomic.Int64
	// loads has an *organisationLoad for each ident.Organisation.
	loads rcu.Map
}

// organisationLoad has the requests in flight and the scaled weight of one organisation.
type organisationLoad struct {
	inFlight atomic.Int64
	weight   atomic.Uint64
}

// weightScale converts a weight to an integer, which can be stored in an atomic.
const weightScale = 1 << 16

func scaledWeight(o *record.Organisation) uint64 {
	return max(1, uint64(o.Weight*weightScale))
}

// NewShares returns shares without requests.
func NewShares() *Shares {
	return new(Shares)
}

// Admission is the admission of one request, which counts as in flight until Release is
// called.
type Admission struct {
	shares *Shares
	load   *organisationLoad
	// uncounted is one for a preview, which the load doesn't have.
	uncounted int64
}

// Admit admits a request of the organisation. The capacity is the number of concurrent
// requests that the daemon's endpoints can serve.
//
// Errors carry code.OverShare.
func (s *Shares) Admit(o *record.Organisation, capacity unit.Requests) (Admission, error) {
	load := s.loadOf(o)
	total := s.inFlight.Add(1)
	own := load.inFlight.Add(1)
	a := Admission{shares: s, load: load}
	if o.Limit > 0 && own > int64(o.Limit) {
		a.Release()
		return Admission{}, code.WithRetryAfter(code.OverShare.New("admit request: organisation %s has reached its limit of %d concurrent requests", o.Name, o.Limit), overShareRetry)
	}
	if float64(total) > shortageThreshold*float64(capacity) && float64(own) > s.allowance(load, capacity) {
		a.Release()
		return Admission{}, code.WithRetryAfter(code.OverShare.New("admit request: organisation %s has reached its share, and capacity is short", o.Name), overShareRetry)
	}
	return a, nil
}

// Preview returns an Admission like that of a further request of the organisation, without counting
// one.
func (s *Shares) Preview(o *record.Organisation) Admission {
	load := s.knownLoad(o.Name)
	if load == nil {
		load = new(organisationLoad)
		load.weight.Store(scaledWeight(o))
	}
	return Admission{load: load, uncounted: 1}
}

// Release ends the admission. It must be called once.
func (a Admission) Release() {
	if a.uncounted > 0 {
		return
	}
	a.load.inFlight.Add(-1)
	a.shares.inFlight.Add(-1)
}

// LoadPerWeight returns the organisation's requests in flight per unit of weight, including this one.
func (a Admission) LoadPerWeight() float64 {
	return float64(a.load.inFlight.Load()+a.uncounted) * weightScale / float64(max(a.load.weight.Load(), 1))
}

// compareLoad compares the loads per weight of the organisations of two requests. It returns zero for
// requests of one organisation.
func (a Admission) compareLoad(other Admission) int {
	if a.load == other.load {
		return 0
	}
	return cmp.Compare(a.LoadPerWeight(), other.LoadPerWeight())
}

// allowance returns the number of concurrent requests that the organisation may have. It
// divides the capacity by weight among the organisations with requests in flight. It
// returns at least one, so that no organisation is refused entirely.
func (s *Shares) allowance(load *organisationLoad, capacity unit.Requests) float64 {
	var activeWeight uint64
	for _, value := range s.loads.Load() {
		other := value.(*organisationLoad)
		if other.inFlight.Load() > 0 {
			activeWeight += other.weight.Load()
		}
	}
	if activeWeight == 0 {
		return float64(capacity)
	}
	return max(1, float64(capacity)*float64(load.weight.Load())/float64(activeWeight))
}

// loadOf returns the load of the organisation. It creates the load at the first request and
// updates its weight later.
func (s *Shares) loadOf(o *record.Organisation) *organisationLoad {
	weight := scaledWeight(o)
	load := s.knownLoad(o.Name)
	if load == nil {
		load = s.addLoad(o.Name, weight)
	}
	if load.weight.Load() != weight {
		load.weight.Store(weight)
	}
	return load
}

// knownLoad returns the load of the organisation, nil before its first request.
func (s *Shares) knownLoad(name ident.Organisation) *organisationLoad {
	load, _ := s.loads.Get(name).(*organisationLoad)
	return load
}

func (s *Shares) addLoad(name ident.Organisation, weight uint64) *organisationLoad {
	load, _ := s.loads.Add(name, func() any {
		load := new(organisationLoad)
		load.weight.Store(weight)
		return load
	})
	return load.(*organisationLoad)
}

// InFlight returns the number of admitted requests that were not released.
func (s *Shares) InFlight() unit.Requests {
	return unit.Requests(s.inFlight.Load())
}
