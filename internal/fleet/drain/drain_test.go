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

// The methods by which other plug-ins find this plug-in.
var _ interface {
	DataCentreDrained(d ident.DataCentre) bool
	InstanceDrained(i ident.Instance) bool
	Set(ctx context.Context, t Target, drained bool) error
	Statuses() []Status
	Digest() []byte
	Delta(digest []byte) []byte
} = (*Plugin)(nil)

// fakePlatform stores entries in a map. The next answersToLose swaps take effect
// but return no answer.
type fakePlatform struct {
	entries       map[store.Key]store.Entry
	revision      unit.Revision
	answersToLose int
}

func (f *fakePlatform) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	var all []store.Entry
	for _, e := range f.entries {
		all = append(all, e)
	}
	return all, f.revision, nil
}

func (f *fakePlatform) Swap(_ context.Context, s store.Swap) (store.Entry, store.SwapResult, error) {
	if e := f.entries[s.Key]; e.Revision != s.ExpectedRevision {
		return e, store.Conflict, nil
	}
	f.revision++
	f.entries[s.Key] = store.Entry{Key: s.Key, Value: s.Value, Revision: f.revision}
	if f.answersToLose > 0 {
		f.answersToLose--
		return store.Entry{}, store.Unknown, errors.New("answer lost")
	}
	return f.entries[s.Key], store.Applied, nil
}

func (f *fakePlatform) put(status Status) {
	raw, _ := json.Marshal(status)
	key := store.DrainPrefix + store.Key(status.Target.String())
	_, _, _ = f.Swap(context.Background(), store.Swap{Key: key, ExpectedRevision: f.entries[key].Revision, Value: raw})
}

type fakeOwners []ident.Instance

func (o fakeOwners) Self() ident.Instance                { return "d1" }
func (o fakeOwners) Owners(string, int) []ident.Instance { return o }

func newTestPlugin(clk clockwork.Clock, self ident.Instance, platform *fakePlatform) *Plugin {
	hybridClock := timeline.NewHybridClock(clk)
	p := newPlugin(New(Options{Self: self, HybridClock: hybridClock}), clk)
	p.log, p.platform, p.owners = zerolog.Nop(), platform, fakeOwners{"d1"}
	p.timeline = timeline.NewRecorder(timeline.RecorderOptions{HybridClock: hybridClock, Process: self, Log: zerolog.Nop(), Capacity: 16})
	return p
}

var target = Target{Kind: drainstatus.DataCentre, ID: "thimi"}

// TestLatestTimestampWins guards against a status that is replaced by an earlier one.
// In whatever order statuses arrive from peers and the platform, the status with the
// latest timestamp is in effect here and on the platform.
func TestLatestTimestampWins(t *testing.T) {
	clk := clockwork.NewFakeClock()
	statusAt := func(d time.Duration, drained bool) Status {
		return Status{Target: target, Drained: drained, Timestamp: timeline.TimestampAt(clk.Now().Add(d)), SetBy: "d9"}
	}
	tests := map[string]struct {
		peer        []Status
		platform    []Status
		lostAnswers int
		want        bool
		timestamp   timeline.Timestamp
	}{
		"later status from a peer":               {peer: []Status{statusAt(0, true), statusAt(time.Second, false)}, want: false, timestamp: statusAt(time.Second, false).Timestamp},
		"earlier status arrives late":            {peer: []Status{statusAt(time.Second, true), statusAt(0, false)}, want: true, timestamp: statusAt(time.Second, true).Timestamp},
		"platform has the later status":          {peer: []Status{statusAt(0, false)}, platform: []Status{statusAt(time.Second, true)}, want: true, timestamp: statusAt(time.Second, true).Timestamp},
		"platform has the earlier status":        {peer: []Status{statusAt(time.Second, true)}, platform: []Status{statusAt(0, false)}, want: true, timestamp: statusAt(time.Second, true).Timestamp},
		"answers to two writes are lost":         {peer: []Status{statusAt(time.Second, true)}, lostAnswers: 2, want: true, timestamp: statusAt(time.Second, true).Timestamp},
		"peer's timestamp far in the future":     {peer: []Status{statusAt(0, true), statusAt(2*time.Minute, false)}, want: true, timestamp: statusAt(0, true).Timestamp},
		"platform's timestamp far in the future": {peer: []Status{statusAt(0, true)}, platform: []Status{statusAt(time.Hour, false)}, want: true, timestamp: statusAt(0, true).Timestamp},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			platform := &fakePlatform{entries: make(map[store.Key]store.Entry)}
			for _, status := range test.platform {
				platform.put(status)
			}
			platform.answersToLose = test.lostAnswers
			p := newTestPlugin(clk, "d1", platform)
			for _, status := range test.peer {
				raw, err := json.Marshal([]Status{status})
				c.Assert(err, qt.IsNil)
				if err := p.Merge("d9", raw); err != nil {
					c.Assert(code.Of(err), qt.Equals, code.BadMessage)
				}
			}
			for range 4 {
				p.readStatuses(context.Background())
				for _, target := range p.unwrittenTargets() {
					p.writeStatus(context.Background(), target)
				}
			}
			c.Assert(p.DataCentreDrained("thimi"), qt.Equals, test.want)
			c.Assert(p.unwritten, qt.HasLen, 0)
			var stored Status
			c.Assert(json.Unmarshal(platform.entries[store.DrainPrefix+"datacentre/thimi"].Value, &stored), qt.IsNil)
			c.Assert(stored.Timestamp, qt.Equals, test.timestamp)
		})
	}
}

// TestExchange guards against a status that an exchange does not send to a peer,
// and against sending statuses that the peer already has.
func TestExchange(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	platform := &fakePlatform{entries: make(map[store.Key]store.Entry)}
	a, b := newTestPlugin(clk, "d1", platform), newTestPlugin(clk, "d2", platform)
	c.Assert(a.Digest(), qt.IsNil)
	c.Assert(a.Delta(nil), qt.IsNil)
	c.Assert(a.Set(context.Background(), target, true), qt.IsNil)
	c.Assert(a.Set(context.Background(), Target{Kind: drainstatus.Instance, ID: "e1"}, true), qt.IsNil)
	c.Assert(a.Set(context.Background(), Target{Kind: "rack", ID: "r"}, true), qt.ErrorMatches, ".*rack.*")
	c.Assert(b.Merge("d1", a.Delta(b.Digest())), qt.IsNil)
	c.Assert(b.DataCentreDrained("thimi") && b.InstanceDrained("e1"), qt.IsTrue)
	c.Assert(a.Delta(b.Digest()), qt.IsNil)
	c.Assert(b.Set(context.Background(), target, false), qt.IsNil)
	var delta []Status
	c.Assert(json.Unmarshal(b.Delta(a.Digest()), &delta), qt.IsNil)
	c.Assert(delta[len(delta)-1].Drained || len(delta) > 2, qt.IsFalse)
	c.Assert(a.Merge("d2", b.Delta(a.Digest())), qt.IsNil)
	c.Assert(a.DataCentreDrained("thimi"), qt.IsFalse)
	c.Assert(a.Statuses(), qt.DeepEquals, b.Statuses())
}
