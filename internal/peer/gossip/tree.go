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
// and the time of silence after which one is left out.
const (
	children  = 8
	liveAge   = 2 * time.Second
	maxOthers = 6
)

// ranked returns the live daemons of the data centre in an order that all of
// them agree on.
func (g *Gossip) ranked(centre ident.DataCentre, now time.Time) []ident.Instance {
	var list []ident.Instance
	if centre == g.DataCentre {
		list = append(list, g.Self)
	}
	for id, p := range g.peers {
		if p.listed && p.centre == centre && now.Sub(p.heard) < liveAge {
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
	list := g.ranked(g.DataCentre, g.Clock.Now())
	rank := slices.Index(list, g.Self)
	if rank <= 0 {
		return mirror.Peer{}, false
	}
	return g.peerOf(list[(rank-1)/children]), true
}

func (g *Gossip) peerOf(id ident.Instance) mirror.Peer {
	return mirror.Peer{Instance: id, Address: g.peers[id].feed}
}

// Others returns live daemons, those of other data centres first: what keeps
// this one from the platform may hold for its own data centre.
func (g *Gossip) Others() []mirror.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	var far, near []ident.Instance
	for id, p := range g.peers {
		switch {
		case !p.listed || now.Sub(p.heard) >= liveAge:
		case p.centre == g.DataCentre:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	slices.Sort(far)
	slices.Sort(near)
	var list []mirror.Peer
	for len(list) < maxOthers && len(far)+len(near) > 0 {
		if len(far) > 0 {
			list, far = append(list, g.peerOf(far[0])), far[1:]
		}
		if len(near) > 0 {
			list, near = append(list, g.peerOf(near[0])), near[1:]
		}
	}
	return list
}
