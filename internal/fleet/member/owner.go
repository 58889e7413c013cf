package member

import (
	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
)

// Self returns this daemon.
func (v *View) Self() ident.Instance { return v.options.Self.Instance }

// trustedSnapshot returns the snapshot, or nil while the view is out of date: after
// the start, and after a pause until the loop has run and somebody was heard.
func (v *View) trustedSnapshot() *snapshot {
	s := v.snapshot.Load()
	now := v.options.Clock.Now()
	if now.Sub(s.lastTick) > v.options.DeadAfter || now.Before(s.untrustedUntil) {
		return nil
	}
	return s
}

// LiveDaemons returns the daemons of the own data centre that may have duties, this
// one included; nil while the view is out of date. It must not be changed.
func (v *View) LiveDaemons() []ident.Instance {
	s := v.trustedSnapshot()
	if s == nil {
		return nil
	}
	return s.live
}

// KnownDaemons returns the number of daemons of the own data centre in the roster or
// alive, this one included.
func (v *View) KnownDaemons() int { return v.snapshot.Load().knownDaemons }

// Peers returns the other daemons of all data centres, dead ones included. It
// must not be changed.
func (v *View) Peers() []Peer { return v.snapshot.Load().peers }

// Owner returns the daemon that has the duty of that key; empty if there is
// none or the view is out of date.
func (v *View) Owner(key string) ident.Instance {
	s := v.trustedSnapshot()
	if s == nil {
		return ""
	}
	hash := xxhash.Sum64String(key)
	var owner ident.Instance
	var best uint64
	for i, id := range s.live {
		if w := weight(hash, s.liveHashes[i]); owner == "" || w > best {
			owner, best = id, w
		}
	}
	return owner
}

// Owners returns up to n daemons for the key, its owner first.
func (v *View) Owners(key string, n int) []ident.Instance {
	s := v.trustedSnapshot()
	if s == nil || n <= 0 {
		return nil
	}
	hash := xxhash.Sum64String(key)
	owners := make([]ident.Instance, 0, n+1)
	weights := make([]uint64, 0, n+1)
	for i, id := range s.live {
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

// weight mixes the hashes of key and daemon with the finaliser of splitmix64,
// so that a key need be hashed only once.
func weight(key, daemon uint64) uint64 {
	x := key ^ daemon
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
