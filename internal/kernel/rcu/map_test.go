package rcu_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/kernel/rcu"
)

// TestMap guards against a key that concurrent callers get different values for, against a map that
// changes under a reader, against more keys than the limit, and against a value for a key without one.
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
			m := rcu.Map{Limit: test.limit}
			before := m.Load()
			got, ok := make([]any, len(test.keys)), make([]bool, len(test.keys))
			var callers sync.WaitGroup
			for i, key := range test.keys {
				callers.Go(func() {
					if got[i], ok[i] = m.Get(key), true; got[i] == nil {
						got[i], ok[i] = m.Add(key, func() any { return new(int) })
					}
				})
			}
			callers.Wait()
			c.Check(m.Load(), qt.HasLen, test.want)
			c.Check(before, qt.HasLen, 0)
			for i, key := range test.keys {
				value, found := m.Load()[key]
				c.Check(got[i] == value, qt.IsTrue, qt.Commentf("caller %d", i))
				c.Check(m.Get(key) == value, qt.IsTrue, qt.Commentf("caller %d", i))
				c.Check(ok[i], qt.Equals, found, qt.Commentf("caller %d", i))
			}
			after := m.Load()
			m.Add(-1, func() any { return new(int) })
			c.Check(after, qt.HasLen, test.want)
		})
	}
}

// TestGetDoesNotAllocate guards against a lookup that allocates the key's interface value.
func TestGetDoesNotAllocate(t *testing.T) {
	type pair struct{ first, second string }
	words := []string{"a", "b", "c"}
	var m rcu.Map
	for i, word := range words {
		for _, key := range []any{word, pair{word, "x"}, 1000 + i} {
			m.Add(key, func() any { return new(int) })
		}
	}
	tests := map[string]func(i int) any{
		"string":  func(i int) any { return m.Get(words[i]) },
		"struct":  func(i int) any { return m.Get(pair{words[i], "x"}) },
		"integer": func(i int) any { return m.Get(1000 + i) },
	}
	for name, get := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			i, missing := 0, 0
			allocated := testing.AllocsPerRun(100, func() {
				if get(i%len(words)) == nil {
					missing++
				}
				i++
			})
			c.Check(allocated, qt.Equals, 0.0)
			c.Check(missing, qt.Equals, 0)
		})
	}
}
