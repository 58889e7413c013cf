package gossip

import (
	"math"
	"math/rand/v2"
	"net/netip"
)

// targets says to how many daemons of this and of other data centres a datagram goes.
type targets struct {
	localCount, remoteCount int
}

var allDaemons = targets{math.MaxInt, math.MaxInt}

// A round sends to localFanout daemons of this daemon's data centre, which use mostly
// the same endpoints, for each interval of the settings. Every second round also sends to
// remoteFanout daemons of other data centres, since traffic between data centres is expensive.
// The rare datagrams of an idle daemon always go to other data centres too.
const (
	localFanout         = 7
	remoteFanout        = 5
	remoteRoundInterval = 2
)

// rotation is a list of daemons to which datagrams are sent in turn. In a fixed order, the mean
// age of what a daemon knows is half of the time between two datagrams; with targets drawn at
// random it would be the whole.
type rotation struct {
	addresses []netip.AddrPort
	position  int
}

// replace replaces the addresses. Their order is random, so that daemons don't send to the same
// ones at once.
func (r *rotation) replace(addresses []netip.AddrPort, random *rand.Rand) {
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	r.addresses, r.position = addresses, 0
}

// next returns the addresses of the next count daemons, each one once.
func (r *rotation) next(count int) []netip.AddrPort {
	count = min(count, len(r.addresses))
	next := make([]netip.AddrPort, 0, count)
	for range count {
		next = append(next, r.addresses[r.position])
		r.position = (r.position + 1) % len(r.addresses)
	}
	return next
}

// roundsPerCycle returns the number of rounds in which each daemon gets a datagram, at least one.
func (r *rotation) roundsPerCycle(fanout int) int {
	return max(1, (len(r.addresses)+fanout-1)/fanout)
}
