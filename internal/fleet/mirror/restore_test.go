package mirror

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// settleTime is the settle time of mirrors in tests.
const settleTime = 2 * time.Second

func newTestMirror(clk clock.Clock, source Source) *Mirror {
	return New(Options{Clock: clk, Log: zerolog.Nop(), Source: source, LeasedPrefix: "servers/", SettleTime: settleTime, MinOutage: time.Second})
}

// versionedKeys is a handler of the keys below op/, of which only op/config has a version.
type versionedKeys struct {
	recordingHandler
}

func (versionedKeys) Prefix() store.Key              { return "op/" }
func (versionedKeys) IsVersioned(key store.Key) bool { return key == "op/config" }

// TestRestored guards against a copy that rejects or ignores what a restored platform has, and
// against handlers that go back to an older state which is about to be written again.
func TestRestored(t *testing.T) {
	old := func(n int64) unit.Revision { return unit.NewRevision(1, n) }
	restored := func(n int64) unit.Revision { return unit.NewRevision(2, n) }
	before := []store.Entry{
		entry("servers/a", "draining", old(9)), entry("servers/b", "ready", old(3)), entry("op/config", "v7", old(8)),
		entry("op/evacuate/z", "", old(7)), entry("cuminbay/planner", "p", old(5)),
	}
	tests := map[string]struct {
		list    []store.Entry
		changes []store.Change
		// atOnce and settled are the keys of the handlers after the list and changes, and
		// after settleTime. leader is the holder of the planner lease after the list.
		atOnce, settled map[store.Key]string
		leader          string
	}{
		"older and missing keys": {
			list:    []store.Entry{entry("servers/a", "ready", restored(2)), entry("servers/b", "ready", restored(3)), entry("op/config", "v6", restored(4))},
			atOnce:  map[store.Key]string{"servers/a": "draining", "servers/b": "ready", "op/config": "v6", "op/evacuate/z": ""},
			settled: map[store.Key]string{"servers/a": "ready", "servers/b": "ready", "op/config": "v6"},
		},
		"written again after the list": {
			list: []store.Entry{entry("servers/a", "ready", restored(2)), entry("servers/b", "ready", restored(3)), entry("cuminbay/planner", "q", restored(5))},
			changes: []store.Change{
				{Entry: entry("servers/a", "draining", restored(6))}, {Entry: entry("op/config", "v8", restored(7))}, {Entry: entry("op/evacuate/z", "", restored(8))},
			},
			atOnce:  map[store.Key]string{"servers/a": "draining", "servers/b": "ready", "op/config": "v8", "op/evacuate/z": ""},
			settled: map[store.Key]string{"servers/a": "draining", "servers/b": "ready", "op/config": "v8", "op/evacuate/z": ""}, leader: "q",
		},
		"server that was gone before": {
			list:    append([]store.Entry{entry("servers/gone", "ready", restored(2))}, before...),
			changes: []store.Change{{Entry: store.Entry{Key: "servers/gone", Revision: restored(10)}, Removed: true}},
			atOnce:  map[store.Key]string{"servers/a": "draining", "servers/b": "ready", "op/config": "v7", "op/evacuate/z": ""},
			settled: map[store.Key]string{"servers/a": "draining", "servers/b": "ready", "op/config": "v7", "op/evacuate/z": ""}, leader: "p",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			clk := clockwork.NewFakeClock()
			source := &fakeSource{cancel: cancel, answers: []sourceAnswer{
				{list: before, revision: old(9)}, {compacted: true}, {list: test.list, revision: restored(5)}, {changes: test.changes, revision: restored(10)},
			}}
			m := newTestMirror(clk, source)
			keys := make(map[store.Key]string)
			m.AddHandler(&recordingHandler{keys: keys})
			m.AddHandler(&versionedKeys{recordingHandler{keys: keys}})
			for range 3 {
				m.poll(ctx)
			}
			c.Check(m.Revision(), qt.Equals, restored(5))
			_, _, _, compacted := m.WaitForChanges(ctx, old(9), 0, 0)
			c.Check(compacted, qt.IsTrue, qt.Commentf("a follower reads the list"))
			c.Check(string(m.Leader()), qt.Equals, test.leader)
			m.poll(ctx)
			c.Check(keys, qt.DeepEquals, test.atOnce)
			clk.Advance(settleTime)
			waitSettled(m)
			m.notifyMu.Lock()
			defer m.notifyMu.Unlock()
			c.Check(keys, qt.DeepEquals, test.settled)
		})
	}
}

// TestRestoredTwice guards against handlers that go back to an older state as the time for
// writing it again after the first restoration is over, although the second one has just been.
func TestRestoredTwice(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clk := clockwork.NewFakeClock()
	revision := func(era unit.Era, n int64) unit.Revision { return unit.NewRevision(era, n) }
	list := func(era unit.Era, state string) sourceAnswer {
		return sourceAnswer{list: []store.Entry{entry("servers/a", state, revision(era, 3))}, revision: revision(era, 3)}
	}
	source := &fakeSource{cancel: cancel, answers: []sourceAnswer{
		list(1, "draining"),
		{compacted: true},
		list(2, "ready"),
		{compacted: true},
		list(3, "ready"),
		{changes: []store.Change{{Entry: entry("servers/a", "draining", revision(3, 4))}}, revision: revision(3, 4)},
	}}
	m := newTestMirror(clk, source)
	keys := make(map[store.Key]string)
	m.AddHandler(&recordingHandler{keys: keys})
	states := func() string {
		m.settle()
		return keys["servers/a"]
	}
	for range 3 {
		m.poll(ctx)
	}
	clk.Advance(settleTime / 2)
	for range 2 {
		m.poll(ctx)
	}
	clk.Advance(settleTime / 2)
	c.Check(states(), qt.Equals, "draining")
	m.poll(ctx)
	clk.Advance(settleTime)
	waitSettled(m)
	c.Check(states(), qt.Equals, "draining")
}

// stateRecorder records every state of the keys below servers/ that it is given.
type stateRecorder struct {
	recordingHandler
	states []string
}

func (r *stateRecorder) HandleChanges(changes []store.Change, synced bool) {
	r.recordingHandler.HandleChanges(changes, synced)
	for _, change := range changes {
		if !change.Removed {
			r.states = append(r.states, string(change.Key)+" "+string(change.Value))
		}
	}
}

// TestRestoredRemovedKey guards against a server that had left and is used again, since a
// restored platform has its registration until its lease ends.
func TestRestoredRemovedKey(t *testing.T) {
	const (
		renewInterval = time.Second
		lapseTime     = missedRenewals*renewInterval + settleTime
	)
	revision := func(n int64) unit.Revision { return unit.NewRevision(2, n) }
	removed := store.Change{Entry: store.Entry{Key: "servers/gone", Revision: revision(10)}, Removed: true}
	tests := map[string]struct {
		// change is read at the time after the list.
		change store.Change
		after  time.Duration
		// states are all states of the server that handlers got.
		states []string
	}{
		"removed again at once":           {change: removed, states: nil},
		"removed as its lease ends":       {change: removed, after: lapseTime - time.Millisecond, states: nil},
		"still there after its lease":     {change: removed, after: lapseTime, states: []string{"servers/gone ready"}},
		"registered again at once":        {change: store.Change{Entry: entry("servers/gone", "ready", revision(10))}, states: []string{"servers/gone ready"}},
		"registered again, then draining": {change: store.Change{Entry: entry("servers/gone", "draining", revision(10))}, states: []string{"servers/gone draining"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			clk := clockwork.NewFakeClock()
			source := &fakeSource{cancel: cancel, answers: []sourceAnswer{
				{revision: unit.NewRevision(1, 9)},
				{compacted: true},
				{list: []store.Entry{entry("servers/gone", "ready", revision(2))}, revision: revision(5)},
				{changes: []store.Change{test.change}, revision: revision(10)},
			}}
			m := newTestMirror(clk, source)
			m.RenewInterval = renewInterval
			handler := &stateRecorder{recordingHandler: recordingHandler{keys: make(map[store.Key]string)}}
			m.AddHandler(handler)
			for range 3 {
				m.poll(ctx)
			}
			clk.Advance(test.after)
			m.settle()
			m.poll(ctx)
			for range 2 {
				clk.Advance(lapseTime)
				waitSettled(m)
			}
			m.notifyMu.Lock()
			defer m.notifyMu.Unlock()
			c.Check(handler.states, qt.DeepEquals, test.states)
		})
	}
}

// waitSettled waits until the mirror has no unsettled keys and no deferred removals.
func waitSettled(m *Mirror) {
	for {
		m.mu.Lock()
		left := len(m.unsettled) + len(m.deferredRemovals)
		m.mu.Unlock()
		if left == 0 {
			return
		}
		clock.Real().Sleep(time.Millisecond)
	}
}
