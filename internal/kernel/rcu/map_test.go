package rcu_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/kernel/rcu"
)

// TestMap guards against a key that concurrent callers get different values for, against a map that
// changes under a reader, and against more keys than the limit.
func TestMap(t *testing.T) {
	tests := map[string]struct {
		limit int
		keys  []int
		want  int
	}{
		"no key":       {},
		"equal keys":   {keys: []int{1, 1, 1, 1}, want: 1},
		"no limit":     {keys: []int{1, 2, 3, 2, 1}, want: 3},
		"at the limit": {limit: 2, keys: []int{1, 2, 3, 1, 2}, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := rcu.Map[int, *int]{Limit: test.limit}
			before := m.Load()
			got := make([]*int, len(test.keys))
			var callers sync.WaitGroup
			for i, key := range test.keys {
				callers.Go(func() { got[i], _ = m.GetOrAdd(key, func() *int { return new(int) }) })
			}
			callers.Wait()
			c.Check(m.Load(), qt.HasLen, test.want)
			c.Check(before, qt.HasLen, 0)
			for i, key := range test.keys {
				c.Check(got[i] == m.Load()[key], qt.IsTrue, qt.Commentf("caller %d", i))
			}
		})
	}
}
