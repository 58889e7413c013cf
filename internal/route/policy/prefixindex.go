package policy

import (
	"sync/atomic"

	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

// prefixIndex records which endpoints were last sent a prompt prefix, and thus probably
// cache it. It is a fixed array of slots that are read and written with atomics, so that
// it needs no lock and no allocation. A hash collision or a lost update only costs a
// cache miss.
type prefixIndex struct {
	slots []prefixSlot
}

// prefixSlot holds the two endpoints that were last sent a prefix.
type prefixSlot struct {
	prefix   atomic.Uint64
	latest   atomic.Pointer[table.Endpoint]
	previous atomic.Pointer[table.Endpoint]
}

func newPrefixIndex(entries int) *prefixIndex {
	return &prefixIndex{slots: make([]prefixSlot, max(entries, 1))}
}

func (c *prefixIndex) slotOf(h work.PrefixHash) *prefixSlot {
	return &c.slots[uint64(h)%uint64(len(c.slots))]
}

// cachingEndpoints writes the candidates that were last sent the longest known prefix of
// the request to found, and returns their number. The array found has two elements.
func (c *prefixIndex) cachingEndpoints(found, candidates []*table.Endpoint, r *work.Request) int {
	for i := len(r.PrefixHashes) - 1; i >= 0; i-- {
		s := c.slotOf(r.PrefixHashes[i])
		if s.prefix.Load() != uint64(r.PrefixHashes[i]) {
			continue
		}
		n := 0
		for _, recorded := range [2]*table.Endpoint{s.latest.Load(), s.previous.Load()} {
			if e := findCandidate(recorded, candidates); e != nil {
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

// findCandidate returns the candidate with the id and the epoch of the recorded endpoint,
// or nil if there is none. The candidates are in the order of their ids.
func findCandidate(recorded *table.Endpoint, candidates []*table.Endpoint) *table.Endpoint {
	if recorded == nil {
		return nil
	}
	low, high := 0, len(candidates)
	for low < high {
		middle := (low + high) / 2
		if candidates[middle].ID < recorded.ID {
			low = middle + 1
		} else {
			high = middle
		}
	}
	// A replica that was formed again under the same id has an empty cache.
	if low < len(candidates) && candidates[low].ID == recorded.ID && candidates[low].Epoch == recorded.Epoch {
		return candidates[low]
	}
	return nil
}

// cachedShare returns the share of the request's prefix that the endpoint probably caches,
// from 0 to 1.
func (c *prefixIndex) cachedShare(e *table.Endpoint, r *work.Request) float64 {
	for i := len(r.PrefixHashes) - 1; i >= 0; i-- {
		s := c.slotOf(r.PrefixHashes[i])
		if s.prefix.Load() != uint64(r.PrefixHashes[i]) {
			continue
		}
		if sameEndpoint(s.latest.Load(), e) || sameEndpoint(s.previous.Load(), e) {
			return float64(i+1) / float64(len(r.PrefixHashes))
		}
	}
	return 0
}

func sameEndpoint(recorded, e *table.Endpoint) bool {
	return recorded != nil && recorded.ID == e.ID && recorded.Epoch == e.Epoch
}

// recordSent records that the request's prefixes are sent to the endpoint.
func (c *prefixIndex) recordSent(e *table.Endpoint, r *work.Request) {
	for _, h := range r.PrefixHashes {
		s := c.slotOf(h)
		if s.prefix.Load() != uint64(h) {
			s.latest.Store(e)
			s.previous.Store(nil)
			s.prefix.Store(uint64(h))
			continue
		}
		if latest := s.latest.Load(); !sameEndpoint(latest, e) {
			s.previous.Store(latest)
			s.latest.Store(e)
		}
	}
}
