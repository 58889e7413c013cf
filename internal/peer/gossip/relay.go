package gossip

import (
	"math/rand/v2"
	"slices"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

// relayList has the daemons that can connect to servers and forward requests.
type relayList struct {
	// local and remote are daemons of this data centre and of others that have sent a
	// datagram within inFlightExpiry. The silent ones may have failed.
	local, remote, silent []*catalog.Endpoint
}

// setRelay sets the address at which the daemon forwards requests.
func (p *peer) setRelay(id ident.Instance, address string) {
	switch {
	case address == "":
		p.relay = nil
	case p.relay == nil || p.relay.Address != address:
		p.relay = &catalog.Endpoint{
			Server:  &cluster.Server{ID: id, Address: address},
			Load:    new(catalog.Load),
			IsRelay: true,
		}
	}
}

// updateRelays replaces the list of daemons that can forward requests.
func (g *Gossip) updateRelays() {
	list := new(relayList)
	g.mu.Lock()
	now := g.Clock.Now()
	for _, p := range g.peers {
		switch {
		case p.relay == nil || p.cutOff || !p.isLive(now):
		case now.Sub(p.lastDatagramAt) > inFlightExpiry:
			list.silent = append(list.silent, p.relay)
		case p.dataCentre == g.DataCentre:
			list.local = append(list.local, p.relay)
		default:
			list.remote = append(list.remote, p.relay)
		}
	}
	g.mu.Unlock()
	g.relays.Store(list)
}

// PickRelay returns a daemon that can connect to servers and was not tried, nil if there is
// none. It prefers daemons of this data centre, as traffic between data centres is paid for.
func (g *Gossip) PickRelay(tried []ident.Instance) *catalog.Endpoint {
	list := g.relays.Load()
	if list == nil {
		return nil
	}
	for _, relays := range [][]*catalog.Endpoint{list.local, list.remote, list.silent} {
		if relay := pickUntried(relays, tried); relay != nil {
			return relay
		}
	}
	return nil
}

// HasConnectedDaemon reports whether another daemon can connect to servers, as far as it has
// said recently.
func (g *Gossip) HasConnectedDaemon() bool {
	list := g.relays.Load()
	return list != nil && len(list.local)+len(list.remote) > 0
}

// pickUntried returns a random daemon that was not tried.
func pickUntried(relays []*catalog.Endpoint, tried []ident.Instance) *catalog.Endpoint {
	if len(relays) == 0 {
		return nil
	}
	start := rand.IntN(len(relays))
	for i := range relays {
		if relay := relays[(start+i)%len(relays)]; !slices.Contains(tried, relay.ID) {
			return relay
		}
	}
	return nil
}
