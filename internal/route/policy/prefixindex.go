package policy

import (
	"sync/atomic"

	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

// prefixIndex remembers which endpoints were last sent a prompt prefix. It is a
// fixed array of slots written and read with atomics, so that it costs no lock
// and no allocation. A collision or a lost update costs a cache miss, nothing
// more.
type prefixIndex struct {
	slots []prefixSlot
}

// prefixSlot holds two endpoints for a prefix, the latest first.
type prefixSlot struct {
	prefix atomic.Uint64
	first  atomic.Pointer[table.Endpoint]
	second atomic.Pointer[table.Endpoint]
}

func newPrefixIndex(entries int) *prefixIndex {
	return &prefixIndex{slots: make([]prefixSlot, max(entries, 1))}
}

func (c *prefixIndex) slot(h work.PrefixHash) *prefixSlot {
	return &c.slots[uint64(h)%uint64(len(c.slots))]
}

// holders fills found with the endpoints that were last sent the longest known
// prefix of the request and returns their number.
func (c *prefixIndex) holders(found, listed []*table.Endpoint, r *work.Request) int {
	for i := len(r.PrefixHashes) - 1; i >= 0; i-- {
		s := c.slot(r.PrefixHashes[i])
		if s.prefix.Load() != uint64(r.PrefixHashes[i]) {
			continue
		}
		n := 0
		for _, held := range [2]*table.Endpoint{s.first.Load(), s.second.Load()} {
			if e := findListed(held, listed); e != nil {
				found[n] = e
				n++
			}
		}
		if n > 0 {
			return n
		}
	}
	return 0
}

// findListed returns the listed endpoint with the id of the remembered one, or
// nil if it is no longer listed. The list is in order of ids.
func findListed(held *table.Endpoint, listed []*table.Endpoint) *table.Endpoint {
	if held == nil {
		return nil
	}
	low, high := 0, len(listed)
	for low < high {
		middle := (low + high) / 2
		if listed[middle].ID < held.ID {
			low = middle + 1
		} else {
			high = middle
		}
	}
	// A replica formed again under the same id has an empty cache.
	if low < len(listed) && listed[low].ID == held.ID && listed[low].Epoch == held.Epoch {
		return listed[low]
	}
	return nil
}

// cachedShare returns the part of the request's prefix that the endpoint probably
// holds, from 0 to 1.
func (c *prefixIndex) cachedShare(e *table.Endpoint, r *work.Request) float64 {
	for i := len(r.PrefixHashes) - 1; i >= 0; i-- {
		s := c.slot(r.PrefixHashes[i])
		if s.prefix.Load() != uint64(r.PrefixHashes[i]) {
			continue
		}
		if sameEndpoint(s.first.Load(), e) || sameEndpoint(s.second.Load(), e) {
			return float64(i+1) / float64(len(r.PrefixHashes))
		}
	}
	return 0
}

func sameEndpoint(held, e *table.Endpoint) bool {
	return held != nil && held.ID == e.ID && held.Epoch == e.Epoch
}

// add remembers that the endpoint is being sent the request's prefixes.
func (c *prefixIndex) add(e *table.Endpoint, r *work.Request) {
	for _, h := range r.PrefixHashes {
		s := c.slot(h)
		if s.prefix.Load() != uint64(h) {
			s.first.Store(e)
			s.second.Store(nil)
			s.prefix.Store(uint64(h))
			continue
		}
		if first := s.first.Load(); !sameEndpoint(first, e) {
			s.second.Store(first)
			s.first.Store(e)
		}
	}
}

// remove forgets the endpoint for a prefix that it no longer caches.
func (c *prefixIndex) remove(e *table.Endpoint, h work.PrefixHash) {
	s := c.slot(h)
	if s.prefix.Load() != uint64(h) {
		return
	}
	if sameEndpoint(s.second.Load(), e) {
		s.second.Store(nil)
	}
	if sameEndpoint(s.first.Load(), e) {
		s.first.Store(s.second.Load())
	}
}
