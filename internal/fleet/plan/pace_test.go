package plan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
)

// TestDrainer guards against a replica that is taken apart with work in flight
// before the limit, or before every daemon has heard that it leaves.
func TestDrainer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	seen := newSights(now)
	d := &drainer{settle: 3 * time.Second, limit: 30 * time.Second, leave: map[ident.Replica]*leaving{}}
	r := []report.Replica{{ID: "r", Epoch: 1, Draining: true, Members: []report.Member{{Instance: "a"}}}}
	step := func(running unit.Requests) (bool, int) {
		now = now.Add(time.Second)
		seen.observe(&report.Report{Instance: "a", Incarnation: 1, Sequence: unit.Sequence(now.Unix()), Running: running}, now)
		idle, limited := d.idle(r, seen, now)
		return idle["r"], len(limited)
	}
	for i, running := range []unit.Requests{0, 0, 0, 0, 1, 0, 0} {
		idle, _ := step(running)
		c.Assert(idle, qt.Equals, i == 3 || i == 6)
	}
	total := 0
	for range 30 {
		_, limited := step(1)
		total += limited
	}
	c.Assert(total, qt.Equals, 1)
}

// TestPacer guards against orders that flood an instance, and against a delay
// that outlives the order it belongs to.
func TestPacer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	p := newPacer(time.Second, 30*time.Second)
	order := func(e unit.Epoch) []Order {
		return []Order{{To: report.Member{Instance: "a"}, Order: report.Order{Placement: report.Placement{Replica: "r", Epoch: e}}}}
	}
	c.Assert(p.due(order(1), now), qt.HasLen, 1)
	c.Assert(p.due(order(1), now), qt.HasLen, 0)
	c.Assert(p.due(order(2), now), qt.HasLen, 1)
	c.Assert(p.due(order(2), now.Add(2*time.Second)), qt.HasLen, 1)
	c.Assert(p.due(nil, now.Add(2*time.Second)), qt.HasLen, 0)
	c.Assert(p.due(order(2), now.Add(2*time.Second)), qt.HasLen, 1)
}
