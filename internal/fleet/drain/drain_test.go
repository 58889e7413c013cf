package drain

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/drainstatus"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/timeline"
)

// The interfaces that other plug-ins look for.
var _ interface {
	DataCentreDrained(d ident.DataCentre) bool
	InstanceDrained(i ident.Instance) bool
	Set(ctx context.Context, t Target, out bool) error
	Marks() []Mark
	Digest() []byte
	Delta(digest []byte) []byte
} = (*Plugin)(nil)

// fakePlatform is a map; lost says how many swaps take effect but lose their
// answer.
type fakePlatform struct {
	entries map[store.Key]store.Entry
	last    unit.Revision
	lost    int
}

func (f *fakePlatform) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	var all []store.Entry
	for _, e := range f.entries {
		all = append(all, e)
	}
	return all, f.last, nil
}

func (f *fakePlatform) Swap(_ context.Context, s store.Swap) (store.Entry, store.SwapResult, error) {
	if e := f.entries[s.Key]; e.Revision != s.ExpectedRevision {
		return e, store.Conflict, nil
	}
	f.last++
	f.entries[s.Key] = store.Entry{Key: s.Key, Value: s.Value, Revision: f.last}
	if f.lost > 0 {
		f.lost--
		return store.Entry{}, store.Unknown, errors.New("answer lost")
	}
	return f.entries[s.Key], store.Applied, nil
}

func (f *fakePlatform) put(m Mark) {
	raw, _ := json.Marshal(m)
	key := store.DrainPrefix + store.Key(m.Target.String())
	_, _, _ = f.Swap(context.Background(), store.Swap{Key: key, ExpectedRevision: f.entries[key].Revision, Value: raw})
}

type owners []ident.Instance

func (o owners) Self() ident.Instance                { return "d1" }
func (o owners) Owners(string, int) []ident.Instance { return o }

func newTest(clk clockwork.Clock, self ident.Instance, f *fakePlatform) *Plugin {
	h := timeline.NewHybridClock(clk)
	p := newPlugin(New(Options{Self: self, HybridClock: h}), clk)
	p.log, p.platform, p.members = zerolog.Nop(), f, owners{"d1"}
	p.timeline = timeline.NewRecorder(timeline.RecorderOptions{HybridClock: h, Process: self, Log: zerolog.Nop(), Capacity: 16})
	return p
}

var target = Target{Kind: drainstatus.DataCentre, ID: "thimi"}

// TestHighestStamp guards against marks that revert: whatever the source and
// the order, the mark with the highest stamp is in effect everywhere.
func TestHighestStamp(t *testing.T) {
	clk := clockwork.NewFakeClock()
	at := func(d time.Duration, out bool) Mark {
		return Mark{Target: target, Drained: out, Timestamp: timeline.TimestampAt(clk.Now().Add(d)), SetBy: "d9"}
	}
	tests := map[string]struct {
		peer     []Mark
		platform []Mark
		lost     int
		want     bool
		stamp    timeline.Timestamp
	}{
		"a later one from a peer":               {peer: []Mark{at(0, true), at(time.Second, false)}, want: false, stamp: at(time.Second, false).Timestamp},
		"an earlier one arrives late":           {peer: []Mark{at(time.Second, true), at(0, false)}, want: true, stamp: at(time.Second, true).Timestamp},
		"the platform has the later one":        {peer: []Mark{at(0, false)}, platform: []Mark{at(time.Second, true)}, want: true, stamp: at(time.Second, true).Timestamp},
		"the platform has the earlier one":      {peer: []Mark{at(time.Second, true)}, platform: []Mark{at(0, false)}, want: true, stamp: at(time.Second, true).Timestamp},
		"the answers to two writes are lost":    {peer: []Mark{at(time.Second, true)}, lost: 2, want: true, stamp: at(time.Second, true).Timestamp},
		"one far ahead is refused":              {peer: []Mark{at(0, true), at(2*time.Minute, false)}, want: true, stamp: at(0, true).Timestamp},
		"one far ahead in the platform as well": {peer: []Mark{at(0, true)}, platform: []Mark{at(time.Hour, false)}, want: true, stamp: at(0, true).Timestamp},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := &fakePlatform{entries: make(map[store.Key]store.Entry)}
			for _, m := range test.platform {
				f.put(m)
			}
			f.lost = test.lost
			p := newTest(clk, "d1", f)
			for _, m := range test.peer {
				raw, err := json.Marshal([]Mark{m})
				c.Assert(err, qt.IsNil)
				if err := p.Merge("d9", raw); err != nil {
					c.Assert(code.Of(err), qt.Equals, code.BadMessage)
				}
			}
			for range 4 {
				p.readOnce(context.Background())
				for _, target := range p.pending() {
					p.write(context.Background(), target)
				}
			}
			c.Assert(p.DataCentreDrained("thimi"), qt.Equals, test.want)
			c.Assert(p.unwritten, qt.HasLen, 0)
			var stored Mark
			c.Assert(json.Unmarshal(f.entries[store.DrainPrefix+"datacentre/thimi"].Value, &stored), qt.IsNil)
			c.Assert(stored.Timestamp, qt.Equals, test.stamp)
		})
	}
}

// TestExchange guards against marks that a peer never hears of and against
// sending marks that it has.
func TestExchange(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	f := &fakePlatform{entries: make(map[store.Key]store.Entry)}
	a, b := newTest(clk, "d1", f), newTest(clk, "d2", f)
	c.Assert(a.Digest(), qt.IsNil)
	c.Assert(a.Delta(nil), qt.IsNil)
	c.Assert(a.Set(context.Background(), target, true), qt.IsNil)
	c.Assert(a.Set(context.Background(), Target{Kind: drainstatus.Instance, ID: "e1"}, true), qt.IsNil)
	c.Assert(a.Set(context.Background(), Target{Kind: "rack", ID: "r"}, true), qt.ErrorMatches, ".*rack.*")
	c.Assert(b.Merge("d1", a.Delta(b.Digest())), qt.IsNil)
	c.Assert(b.DataCentreDrained("thimi") && b.InstanceDrained("e1"), qt.IsTrue)
	c.Assert(a.Delta(b.Digest()), qt.IsNil)
	c.Assert(b.Set(context.Background(), target, false), qt.IsNil)
	var delta []Mark
	c.Assert(json.Unmarshal(b.Delta(a.Digest()), &delta), qt.IsNil)
	c.Assert(delta[len(delta)-1].Drained || len(delta) > 2, qt.IsFalse)
	c.Assert(a.Merge("d2", b.Delta(a.Digest())), qt.IsNil)
	c.Assert(a.DataCentreDrained("thimi"), qt.IsFalse)
	c.Assert(a.Marks(), qt.DeepEquals, b.Marks())
}
