package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/mirror"
)

// Shape of the tree in which daemons follow each other: the children of a daemon
// and the time of silence after which one is left out. Of 25 daemons of a data
// centre each hears another about once a second; one that is dead is noticed by
// those that follow it.
const (
	maxChildren      = 8
	maxSilence       = 6 * time.Second
	maxFallbackPeers = 6
)

// maxCopyAge is the age of a daemon's copy above which no other follows it.
const maxCopyAge = 2500 * time.Millisecond

// followableDaemons returns the live daemons of the data centre with fresh copies in an
// order that all of them agree on.
func (g *Gossip) followableDaemons(now time.Time) []ident.Instance {
	var list []ident.Instance
	if g.PlatformCopy.Age() < maxCopyAge {
		list = append(list, g.Self)
	}
	for id, p := range g.peers {
		if p.listed && p.dataCentre == g.DataCentre && now.Sub(p.lastHeard) < maxSilence && p.copyAge < maxCopyAge {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b ident.Instance) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	return list
}

// Parent returns the daemon of the data centre that this one follows. The first
// of them follows the platform.
func (g *Gossip) Parent() (mirror.Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.followableDaemons(g.Clock.Now())
	rank := slices.Index(list, g.Self)
	switch {
	case rank > 0:
		return g.peerOf(list[(rank-1)/maxChildren]), true
	case rank < 0 && len(list) > 0:
		return g.peerOf(list[len(list)-1]), true
	}
	return mirror.Peer{}, false
}

func (g *Gossip) peerOf(id ident.Instance) mirror.Peer {
	return mirror.Peer{Instance: id, Address: g.peers[id].feedAddress}
}

// FallbackPeers returns live daemons, those of other data centres first: what keeps
// this one from the platform may hold for its own data centre.
func (g *Gossip) FallbackPeers() []mirror.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	var far, near []ident.Instance
	for id, p := range g.peers {
		switch {
		case !p.listed || now.Sub(p.lastHeard) >= maxSilence || p.copyAge >= maxCopyAge:
		case p.dataCentre == g.DataCentre:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	slices.Sort(far)
	slices.Sort(near)
	var list []mirror.Peer
	for len(list) < maxFallbackPeers && len(far)+len(near) > 0 {
		if len(far) > 0 {
			list, far = append(list, g.peerOf(far[0])), far[1:]
		}
		if len(near) > 0 {
			list, near = append(list, g.peerOf(near[0])), near[1:]
		}
	}
	return list
}
