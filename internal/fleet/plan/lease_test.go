package plan

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// platform is one key whose answers can be lost.
type platform struct {
	entry store.Entry
	ttl   time.Duration
	lost  bool
	down  bool
	grant store.LeaseID
}

var errDown = errors.New("no answer")

func (p *platform) fail() error {
	if p.down {
		return errDown
	}
	return nil
}

func (p *platform) Get(context.Context, store.Key) (store.Entry, error) { return p.entry, p.fail() }

func (p *platform) Swap(_ context.Context, s store.Swap) (store.Entry, store.Result, error) {
	if p.entry.Revision != s.Old {
		return p.entry, store.Lost, nil
	}
	p.entry = store.Entry{Value: s.Value, Lease: s.Lease, Revision: s.Old + 1}
	if p.lost {
		return store.Entry{}, store.Unknown, errDown
	}
	return p.entry, store.Done, nil
}

func (p *platform) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	p.grant++
	return p.grant, p.fail()
}

func (p *platform) KeepAlive(context.Context, store.LeaseID) (time.Duration, error) {
	return p.ttl, p.fail()
}

func (p *platform) Revoke(context.Context, store.LeaseID) error { return p.fail() }

// TestLease guards against a holder that goes on after its lease may have
// lapsed, and against two holders after a lost answer.
func TestLease(t *testing.T) {
	const ttl = 10 * time.Second
	tests := map[string]struct {
		before func(*platform)
		after  func(*platform, *clockwork.FakeClock)
		first  bool
		second bool
	}{
		"free":  {first: true, second: true},
		"taken": {before: func(p *platform) { p.entry = store.Entry{Revision: 1, Value: []byte("e"), Lease: 9} }},
		"own name of an earlier boot": {
			before: func(p *platform) { p.entry = store.Entry{Revision: 1, Value: []byte("d"), Lease: 9} },
		},
		"answer lost": {before: func(p *platform) { p.lost = true }, second: true},
		"lapsed":      {after: func(p *platform, _ *clockwork.FakeClock) { p.ttl = 0 }, first: true},
		"platform down for a short time": {
			after: func(p *platform, clk *clockwork.FakeClock) { p.down = true; clk.Advance(ttl/2 + time.Second) },
			first: true, second: true,
		},
		"platform down until the margin": {
			after: func(p *platform, clk *clockwork.FakeClock) { p.down = true; clk.Advance(8 * time.Second) },
			first: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			p := &platform{ttl: ttl}
			if test.before != nil {
				test.before(p)
			}
			l := NewLease(p, clk, "key", "d", ttl)
			_ = l.Tend(context.Background())
			c.Assert(l.Held(), qt.Equals, test.first)
			if test.after != nil {
				test.after(p, clk)
			}
			_ = l.Tend(context.Background())
			c.Assert(l.Held(), qt.Equals, test.second)
		})
	}
}

// TestDrainer guards against a replica that is taken apart with work in flight
// before the limit, or before every daemon has heard that it leaves.
func TestDrainer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	seen := newSights(now)
	d := &drainer{settle: 3 * time.Second, limit: 30 * time.Second, leave: map[ident.Replica]*leaving{}}
	r := []report.Replica{{ID: "r", Epoch: 1, Leaving: true, Members: []report.Member{{Instance: "a"}}}}
	step := func(running unit.Requests) (bool, int) {
		now = now.Add(time.Second)
		seen.observe(&report.Report{Instance: "a", Boot: 1, Sequence: unit.Sequence(now.Unix()), Running: running}, now)
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
