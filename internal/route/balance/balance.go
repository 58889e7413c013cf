// Package balance chooses the endpoint of a request and bounds the repeats that
// all daemons send together.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

// daemonCounter tells how many daemons share what all of them may do together.
type daemonCounter interface {
	DaemonCount() int
}

// Options are the parts of a Balancer.
type Options struct {
	DataCentre ident.DataCentre
	Daemons    daemonCounter
	// RemotePenalty is what an endpoint of another data centre costs, as a share of
	// its slots, since bytes between data centres are paid for.
	RemotePenalty float64
	// MaxUtilisation is the part of a replica's slots that is used: what others send at
	// the same time is known with a delay, and a request that waits for a slot
	// is late.
	MaxUtilisation float64
	// PlainQueueRatio is the share of a plain server's slots that may wait there.
	PlainQueueRatio float64
	// ColdRateFraction is the part of a cold server's rate that is used.
	ColdRateFraction float64
}

// Balancer chooses endpoints. It takes no lock.
type Balancer struct {
	Options
}

// New returns a balancer.
func New(o Options) *Balancer {
	return &Balancer{Options: o}
}

// Pick returns the least loaded endpoint that has room and wasn't tried, or
// nil. An endpoint that is avoided is taken only where every one is, since that
// is more likely a fault on this side.
func (b *Balancer) Pick(now time.Time, list []*catalog.Endpoint, tried []ident.Instance) *catalog.Endpoint {
	if e := b.pick(now, list, tried, false); e != nil {
		return e
	}
	for _, e := range list {
		if !e.Load.Avoided(now) {
			return nil
		}
	}
	return b.pick(now, list, tried, true)
}

func (b *Balancer) pick(now time.Time, list []*catalog.Endpoint, tried []ident.Instance, avoided bool) *catalog.Endpoint {
	for refused := []ident.Instance(nil); ; {
		var best *catalog.Endpoint
		var least float64
		for _, e := range list {
			if !avoided && e.Load.Avoided(now) || slices.Contains(tried, e.ID) || slices.Contains(refused, e.ID) {
				continue
			}
			share, room := b.utilisation(e)
			if room && (best == nil || share < least) {
				best, least = e, share
			}
		}
		if best == nil || b.admitCold(now, best) {
			return best
		}
		refused = append(refused, best.ID)
	}
}

// tieBreakRange spreads the choices of daemons that see the same counts.
const tieBreakRange = 0.04

// utilisation returns the part of the endpoint's slots that is taken, with what its
// distance costs, and whether it has room.
func (b *Balancer) utilisation(e *catalog.Endpoint) (float64, bool) {
	slots := float64(max(e.Slots, 1))
	taken := float64(e.Load.TotalInFlight()) / slots
	room := taken < b.MaxUtilisation
	if e.Engine == nil {
		room = taken < 1+b.PlainQueueRatio
	}
	if e.DataCentre != b.DataCentre {
		taken += b.RemotePenalty
	}
	return taken + tieBreakRange*rand.Float64(), room
}

// admitCold counts a request to a cold server against this daemon's part of what
// the server bears.
func (b *Balancer) admitCold(now time.Time, e *catalog.Endpoint) bool {
	if e.ColdRate <= 0 || now.Sub(e.ReceivedAt) >= e.ColdFor {
		return true
	}
	return e.Load.AdmitCold(now, e.ColdRate*b.ColdRateFraction/float64(max(b.Daemons.DaemonCount(), 1)))
}
