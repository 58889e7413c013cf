package mirror

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// TestHistory guards against a daemon that keeps old versions of large values until its memory is used up,
// and against changes that a follower misses since they were dropped.
func TestHistory(t *testing.T) {
	tests := map[string]struct {
		changes, valueBytes, batch int
	}{
		"small values":             {changes: 3000, valueBytes: 300, batch: 7},
		"large values":             {changes: 400, valueBytes: 900_000, batch: 1},
		"large values in one call": {changes: 100, valueBytes: 900_000, batch: 100},
		"value above the bound":    {changes: 3, valueBytes: maxHistoryBytes, batch: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := history{completeAfter: 1}
			value := make([]byte, test.valueBytes)
			var batch []store.Change
			last := unit.Revision(1 + test.changes)
			for r := unit.Revision(2); r <= last; r++ {
				batch = append(batch, store.Change{Entry: store.Entry{Key: "op/config", Value: value, Revision: r}})
				if len(batch) == test.batch || r == last {
					h.add(batch)
					batch = nil
				}
			}
			held := unit.Bytes(0)
			for _, change := range h.changes[:cap(h.changes)] {
				held += unit.Bytes(len(change.Value))
			}
			c.Check(held <= maxHistoryBytes, qt.IsTrue, qt.Commentf("%d bytes", held))
			c.Check(len(h.changes) <= maxHistory, qt.IsTrue)
			for after := unit.Revision(1); after <= last; after++ {
				changes, complete := h.changesAfter(after)
				c.Assert(complete, qt.Equals, after >= h.completeAfter)
				if complete {
					c.Assert(len(changes), qt.Equals, int(last-after))
				}
			}
		})
	}
}
