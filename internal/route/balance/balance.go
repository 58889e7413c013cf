// Package balance chooses the endpoint for a request that the daemon forwards, and bounds
// the retries of all daemons together. Package forward uses it. Decisions use this
// daemon's copy of the load, without querying other daemons.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

// daemonCounter returns the number of daemons among which shared budgets are divided.
type daemonCounter interface {
	DaemonCount() int
}

// fleet has the number of daemons that choose among the same endpoints. Its method takes no lock.
type fleet interface {
	FleetSize() int
}

// limiter admits requests to endpoints that name a limit of requests.
type limiter interface {
	Available(now time.Time, e *catalog.Endpoint) bool
	Admit(now time.Time, e *catalog.Endpoint) bool
}

// Options are the dependencies and settings of a Balancer.
type Options struct {
	DataCentre ident.DataCentre
	Daemons    daemonCounter
	Fleet      fleet
	Limits     limiter
	// RemotePenalty is added to the utilisation of an endpoint in another data centre,
	// as traffic between data centres is paid for.
	RemotePenalty float64
	// PlainQueueRatio bounds the requests queued at a plain server, as a share of its
	// slots.
	PlainQueueRatio float64
	// ColdRateFraction is the share of a cold server's request rate that is used.
	ColdRateFraction float64
}

// Balancer chooses endpoints. It takes no lock.
type Balancer struct {
	Options
}

// New returns a Balancer, which keeps no state of its own.
func New(o Options) *Balancer {
	return &Balancer{Options: o}
}

// Pick returns the endpoint with the lowest utilisation that has a free slot and was not
// tried, or nil if there is none. In a large fleet it prefers the best one of a sample. It returns
// an endpoint that is avoided after a failure only if all endpoints are avoided, as the failures
// were then more likely caused by this daemon. A replica has a free slot as long as its utilisation is
// below maxUtilisation, which the caller permits.
func (b *Balancer) Pick(now time.Time, endpoints []*catalog.Endpoint, tried []ident.Instance, maxUtilisation float64) *catalog.Endpoint {
	if b.Fleet.FleetSize() > maxInformedDaemons {
		var sample [2 * sampleSize]*catalog.Endpoint
		if e := b.pickLeastLoaded(now, b.sample(endpoints, sample[:0]), tried, maxUtilisation, false); e != nil {
			return e
		}
	}
	if e := b.pickLeastLoaded(now, endpoints, tried, maxUtilisation, false); e != nil {
		return e
	}
	for _, e := range endpoints {
		if !e.Load.Avoided(now) {
			return nil
		}
	}
	return b.pickLeastLoaded(now, endpoints, tried, maxUtilisation, true)
}

// pickLeastLoaded implements Pick for the endpoints that are not avoided, or for all
// endpoints if includeAvoided is set.
func (b *Balancer) pickLeastLoaded(now time.Time, endpoints []*catalog.Endpoint, tried []ident.Instance, maxUtilisation float64, includeAvoided bool) *catalog.Endpoint {
	for excluded := []ident.Instance(nil); ; {
		var best *catalog.Endpoint
		var lowest float64
		for _, e := range endpoints {
			if !includeAvoided && e.Load.Avoided(now) || slices.Contains(tried, e.ID) || slices.Contains(excluded, e.ID) || !b.Limits.Available(now, e) {
				continue
			}
			utilisation, hasFreeSlot := b.utilisation(e, maxUtilisation)
			if hasFreeSlot && (best == nil || utilisation < lowest) {
				best, lowest = e, utilisation
			}
		}
		if best == nil || b.admitCold(now, best) && b.Limits.Admit(now, best) {
			return best
		}
		excluded = append(excluded, best.ID)
	}
}

// Choice in a large fleet. With more than maxInformedDaemons daemons, the counts of the other
// daemons' requests are up to seconds old. Daemons that all chose the endpoint with the lowest count
// would meet there, so each one chooses among sampleSize endpoints of its data centre and as many of
// any. From sampleDraws draws it gets that many of its own in up to eight data centres.
const (
	maxInformedDaemons = 100
	sampleSize         = 3
	sampleDraws        = 24
)

// sample appends random endpoints to the empty list. An endpoint may be drawn twice.
func (b *Balancer) sample(endpoints, drawn []*catalog.Endpoint) []*catalog.Endpoint {
	if len(endpoints) == 0 {
		return drawn
	}
	local, other := 0, 0
	for draws := 0; draws < sampleDraws && local+other < 2*sampleSize; draws++ {
		e := endpoints[rand.IntN(len(endpoints))]
		switch {
		case e.DataCentre == b.DataCentre && local < sampleSize:
			local++
		case other < sampleSize:
			other++
		default:
			continue
		}
		drawn = append(drawn, e)
	}
	return drawn
}

// tieBreakRange is the range of the random number added to a utilisation, so that daemons
// with equal counts choose different endpoints.
const tieBreakRange = 0.04

// utilisation returns the share of the endpoint's slots that is in use, plus the penalty for
// another data centre and the tie-break. It also reports whether there is a free slot.
func (b *Balancer) utilisation(e *catalog.Endpoint, maxUtilisation float64) (float64, bool) {
	slots := float64(max(e.Slots, 1))
	used := float64(e.Load.TotalInFlight()) / slots
	hasFreeSlot := used < maxUtilisation
	if e.Engine == nil {
		hasFreeSlot = used < 1+b.PlainQueueRatio
	}
	if e.DataCentre != b.DataCentre {
		used += b.RemotePenalty
	}
	return used + tieBreakRange*rand.Float64(), hasFreeSlot
}

// admitCold reports whether this daemon may send another request to a server. It counts
// requests to a cold server against this daemon's part of the server's cold rate.
func (b *Balancer) admitCold(now time.Time, e *catalog.Endpoint) bool {
	if e.ColdRate <= 0 || now.Sub(e.ReceivedAt) >= e.ColdFor {
		return true
	}
	return e.Load.AdmitCold(now, e.ColdRate*b.ColdRateFraction/float64(max(b.Daemons.DaemonCount(), 1)))
}
