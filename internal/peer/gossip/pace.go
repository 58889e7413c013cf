package gossip

import "time"

// pace is how often a daemon sends datagrams. It depends on the number of daemons, so that
// the datagrams that a daemon receives in a second are bounded in a large fleet, while each
// daemon still hears from every other one of its data centre about once a second.
type pace struct {
	// interval is the time between two rounds.
	interval time.Duration
	// localFanout is the number of daemons of this data centre that get a busy daemon's datagram
	// in a round. It is in proportion to the interval, so that its load reaches all of them as
	// soon as in a small fleet.
	localFanout int
	// idleRoundsPerSend is the number of rounds per datagram of a daemon without
	// requests in flight. Peers then only need the revision and age of its copy of
	// the platform's keys.
	idleRoundsPerSend int
}

// Bounds of the pace.
const (
	// daemonsPerInterval is the number of daemons from which the interval is longer
	// than in the settings, in proportion.
	daemonsPerInterval = 100
	maxIntervalFactor  = 4
	// maxIdleRoundsPerSend bounds the number of rounds per datagram of an idle daemon.
	maxIdleRoundsPerSend = 6
	// maxHearInterval is the mean time between two datagrams that a daemon gets from
	// another one of its data centre.
	maxHearInterval = time.Second
)

// paceFor returns the pace in a fleet with the given numbers of other daemons.
func paceFor(base time.Duration, peers, localPeers int) pace {
	factor := min(max((peers+daemonsPerInterval)/daemonsPerInterval, 1), maxIntervalFactor)
	p := pace{interval: base * time.Duration(factor), localFanout: localFanout * factor, idleRoundsPerSend: maxIdleRoundsPerSend}
	if localPeers > 0 {
		rounds := int(maxHearInterval * localFanout / (p.interval * time.Duration(localPeers)))
		p.idleRoundsPerSend = min(max(rounds, 1), maxIdleRoundsPerSend)
	}
	return p
}

// currentPace returns the pace for the registered daemons.
func (g *Gossip) currentPace(base time.Duration) pace {
	g.mu.Lock()
	defer g.mu.Unlock()
	return paceFor(base, len(g.local.addresses)+len(g.remote.addresses), len(g.local.addresses))
}
