// Package rcu has data that is read without a lock and changed by copy.
package rcu

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Map is a map that is read without a lock. Adding a key takes a lock and copies the map, so it suits
// keys that are rarely new. All keys have one comparable type and all values one type, which the user
// asserts; a value is never nil. The zero Map is empty.
type Map struct {
	// Limit is the highest number of keys; zero means no limit.
	Limit int

	current atomic.Pointer[map[any]any]
	mu      sync.Mutex
}

// Load returns the current map, which must not be changed.
func (m *Map) Load() map[any]any {
	if current := m.current.Load(); current != nil {
		return *current
	}
	return nil
}

// Get returns the value of the key, nil if there is none. It doesn't allocate.
func (m *Map) Get(key any) any {
	return m.Load()[key]
}

// Add returns the value of the key. It adds a created one if there is none, and returns false if that
// would exceed the limit. It takes a lock, and passing the key allocates, so callers on the path of a
// request try Get first.
func (m *Map) Add(key any, create func() any) (any, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.Load()
	if value, found := current[key]; found {
		return value, true
	}
	if m.Limit > 0 && len(current) >= m.Limit {
		return nil, false
	}
	next := make(map[any]any, len(current)+1)
	maps.Copy(next, current)
	value := create()
	next[key] = value
	m.current.Store(&next)
	return value, true
}
