package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/mirror"
)

// The daemons of a data centre follow each other in a tree with up to maxChildren
// children per daemon. A daemon that has sent no datagram for maxSilence is left
// out. In a data centre of 25 daemons, each daemon receives a datagram from every other
// daemon about once a second. The followers of a failed daemon detect the failure
// earlier, since their calls fail.
const (
	maxChildren      = 8
	maxSilence       = 6 * time.Second
	maxFallbackPeers = 6
)

// followableDaemons returns the live daemons of this data centre whose copies are recent
// enough to follow, in an order that all daemons agree on.
func (g *Gossip) followableDaemons(now time.Time) []ident.Instance {
	var daemons []ident.Instance
	if g.PlatformCopy.Age() < g.PlatformCopy.MaxAge() {
		daemons = append(daemons, g.Self)
	}
	for id, p := range g.peers {
		if p.dataCentre == g.DataCentre && p.isLive(now) && p.copyAge < g.PlatformCopy.MaxAge() {
			daemons = append(daemons, id)
		}
	}
	slices.SortFunc(daemons, compareInTree)
	if i := slices.Index(daemons, g.PlatformCopy.Leader()); i > 0 {
		// The leader reads from the platform anyway, so it is the root.
		leader := daemons[i]
		copy(daemons[1:i+1], daemons[:i])
		daemons[0] = leader
	}
	return daemons
}

// isLive reports whether the daemon is registered and has sent a datagram recently.
func (p *peer) isLive(now time.Time) bool {
	return p.registered && now.Sub(p.lastDatagramAt) < maxSilence
}

// compareInTree orders the daemons of a tree.
func compareInTree(a, b ident.Instance) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// platformReaders is the number of daemons of a data centre that may read from the platform
// and compete for its leases. The platform may refuse some of them.
const platformReaders = 4

// MayReadPlatform reports whether this daemon is among the first live ones of its data
// centre. While the platform is unavailable only these call it at first, and the others follow them.
func (g *Gossip) MayReadPlatform() bool {
	return g.ReaderGroup() == 0
}

// ReaderGroup returns the position of this daemon's group among those of platformReaders live daemons
// that the data centre consists of.
func (g *Gossip) ReaderGroup() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	rank := 0
	for id, p := range g.peers {
		if p.dataCentre == g.DataCentre && p.isLive(now) && compareInTree(id, g.Self) < 0 {
			rank++
		}
	}
	return rank / platformReaders
}

// Parent returns the daemon of this data centre that this daemon follows. It returns
// false if no daemon can be followed, and for the first daemon in the order, which
// reads from the platform. The data centres read independently, so that the revisions in
// datagrams show when one of them lost its connection.
func (g *Gossip) Parent() (mirror.Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	daemons := g.followableDaemons(g.Clock.Now())
	rank := slices.Index(daemons, g.Self)
	switch {
	case rank > 0:
		return g.peerOf(daemons[(rank-1)/maxChildren]), true
	case rank < 0 && len(daemons) > 0:
		// All daemons without a recent copy would overload a single one.
		return g.peerOf(daemons[xxhash.Sum64String(string(g.Self))%uint64(len(daemons))]), true
	}
	return mirror.Peer{}, false
}

func (g *Gossip) peerOf(id ident.Instance) mirror.Peer {
	return mirror.Peer{Instance: id, Address: g.peers[id].feedAddress}
}

// FallbackPeers returns live daemons with recent copies, alternately of another and
// of this data centre. A daemon of another data centre is the first, since the platform
// may be unreachable from all daemons of this data centre. The order differs between the
// daemons, so that they don't all read from the same one.
func (g *Gossip) FallbackPeers() []mirror.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	var remote, local []ident.Instance
	for id, p := range g.peers {
		switch {
		case !p.isLive(now) || p.copyAge >= g.PlatformCopy.MaxAge():
		case p.dataCentre == g.DataCentre:
			local = append(local, id)
		default:
			remote = append(remote, id)
		}
	}
	rank := func(id ident.Instance) uint64 { return xxhash.Sum64String(string(g.Self) + " " + string(id)) }
	byRank := func(a, b ident.Instance) int { return cmp.Compare(rank(a), rank(b)) }
	slices.SortFunc(remote, byRank)
	slices.SortFunc(local, byRank)
	var peers []mirror.Peer
	for len(peers) < maxFallbackPeers && len(remote)+len(local) > 0 {
		if len(remote) > 0 {
			peers, remote = append(peers, g.peerOf(remote[0])), remote[1:]
		}
		if len(local) > 0 {
			peers, local = append(peers, g.peerOf(local[0])), local[1:]
		}
	}
	return peers
}
