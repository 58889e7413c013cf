package member

import (
	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
)

// Self returns the instance of this daemon.
func (v *View) Self() ident.Instance { return v.options.Self.Instance }

// trustedSnapshot returns the snapshot, or nil while the view may be out of date:
// after the start and after a pause of the process, until Tick has run and either a
// daemon of the same data centre has been contacted or FailureTimeout has passed.
func (v *View) trustedSnapshot() *snapshot {
	s := v.snapshot.Load()
	now := v.options.Clock.Now()
	if now.Sub(s.lastTick) > v.options.FailureTimeout || now.Before(s.untrustedUntil) {
		return nil
	}
	return s
}

// LiveDaemons returns the daemons of the same data centre that can own keys, this
// daemon included, or nil while the view may be out of date. Callers must not
// change the slice.
func (v *View) LiveDaemons() []ident.Instance {
	s := v.trustedSnapshot()
	if s == nil {
		return nil
	}
	return s.liveDaemons
}

// KnownDaemons returns the number of daemons of the same data centre that are alive
// or in the roster, this daemon included.
func (v *View) KnownDaemons() int { return v.snapshot.Load().knownDaemons }

// Peers returns the other daemons of all data centres, failed ones included. Callers
// must not change the slice.
func (v *View) Peers() []Peer { return v.snapshot.Load().peers }

// Owner returns the live daemon that the key is assigned to. It is empty if no
// daemon is live or the view may be out of date.
func (v *View) Owner(key string) ident.Instance {
	s := v.trustedSnapshot()
	if s == nil {
		return ""
	}
	hash := xxhash.Sum64String(key)
	var owner ident.Instance
	var bestWeight uint64
	for i, id := range s.liveDaemons {
		if w := weight(hash, s.liveHashes[i]); owner == "" || w > bestWeight {
			owner, bestWeight = id, w
		}
	}
	return owner
}

// Owners returns up to n live daemons for the key, in order of their weights: the
// owner first, then the daemons that would take over.
func (v *View) Owners(key string, n int) []ident.Instance {
	s := v.trustedSnapshot()
	if s == nil || n <= 0 {
		return nil
	}
	hash := xxhash.Sum64String(key)
	owners := make([]ident.Instance, 0, n+1)
	weights := make([]uint64, 0, n+1)
	for i, id := range s.liveDaemons {
		w := weight(hash, s.liveHashes[i])
		position := len(weights)
		for position > 0 && weights[position-1] < w {
			position--
		}
		if position == n {
			continue
		}
		owners = append(owners, "")
		weights = append(weights, 0)
		copy(owners[position+1:], owners[position:])
		copy(weights[position+1:], weights[position:])
		owners[position], weights[position] = id, w
		if len(owners) > n {
			owners, weights = owners[:n], weights[:n]
		}
	}
	return owners
}

// weight is the rendezvous weight of a daemon for a key. It mixes the two hashes
// with the finaliser of splitmix64, so that the key is hashed only once for all
// daemons.
func weight(keyHash, daemonHash uint64) uint64 {
	mixed := keyHash ^ daemonHash
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
