// Package rcu has data that is read without a lock and changed by copy.
package rcu

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Map is a map that is read without a lock. Adding a key takes a lock and copies the map, so it suits
// keys that are rarely new. The zero Map is empty.
type Map[K comparable, V any] struct {
	// Limit is the highest number of keys; zero means no limit.
	Limit int

	current atomic.Pointer[map[K]V]
	mu      sync.Mutex
}

// Load returns the current map, which must not be changed.
func (m *Map[K, V]) Load() map[K]V {
	if current := m.current.Load(); current != nil {
		return *current
	}
	return nil
}

// GetOrAdd returns the value of the key. It adds a created one if there is none, and returns false if
// that would exceed the limit.
func (m *Map[K, V]) GetOrAdd(key K, create func() V) (V, bool) {
	if value, found := m.Load()[key]; found {
		return value, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.Load()
	if value, found := current[key]; found {
		return value, true
	}
	var value V
	if m.Limit > 0 && len(current) >= m.Limit {
		return value, false
	}
	next := make(map[K]V, len(current)+1)
	maps.Copy(next, current)
	value = create()
	next[key] = value
	m.current.Store(&next)
	return value, true
}
