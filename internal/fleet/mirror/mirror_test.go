package mirror

import (
	"cmp"
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// sourceAnswer is the fake source's answer to one call.
type sourceAnswer struct {
	// silent says that the connection of the call goes silent.
	silent    bool
	list      []store.Entry
	changes   []store.Change
	revision  unit.Revision
	compacted bool
	fails     bool
	malformed bool
}

// fakeSource returns its answers in order and records the calls. After the last
// answer it cancels the test's context.
type fakeSource struct {
	answers []sourceAnswer
	calls   []string
	cancel  context.CancelFunc
}

var errUnavailable = errors.New("fake source is unavailable")

func (s *fakeSource) next(call string) (sourceAnswer, error) {
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		s.cancel()
		return sourceAnswer{}, context.Canceled
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	switch {
	case a.silent:
		return a, code.WithOutcome(code.PlatformUnavailable.New("fake connection is silent"), code.Unknown)
	case a.fails:
		return a, errUnavailable
	case a.malformed:
		return a, code.BadMessage.New("fake answer is malformed")
	}
	return a, nil
}

func (s *fakeSource) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	a, err := s.next("list")
	return a.list, a.revision, err
}

func (s *fakeSource) Changes(context.Context, store.Key, unit.Revision, time.Duration) ([]store.Change, unit.Revision, bool, error) {
	a, err := s.next("changes")
	return a.changes, a.revision, a.compacted, err
}

// recordingHandler applies the changes to its own copy of the keys below servers/.
type recordingHandler struct {
	keys   map[store.Key]string
	synced bool
}

func (h *recordingHandler) Prefix() store.Key { return "servers/" }

func (h *recordingHandler) HandleChanges(changes []store.Change, synced bool) {
	h.synced = h.synced || synced
	for _, c := range changes {
		if c.Removed {
			delete(h.keys, c.Key)
			continue
		}
		h.keys[c.Key] = string(c.Value)
	}
}

func entry(key, value string, revision unit.Revision) store.Entry {
	return store.Entry{Key: store.Key(key), Value: []byte(value), Revision: revision}
}

// TestMirror guards against changes that are missed after a failed call or after
// the source has compacted its history, against an older value that replaces a
// newer one, and against the removal of running servers whose leases expired while
// the platform was unavailable.
func TestMirror(t *testing.T) {
	a1, b2 := entry("servers/a", "1", 1), entry("servers/b", "2", 2)
	list := sourceAnswer{list: []store.Entry{a1, b2, entry("op/config", "c", 2)}, revision: 2}
	put := func(e store.Entry) sourceAnswer {
		return sourceAnswer{changes: []store.Change{{Entry: e}}, revision: e.Revision}
	}
	removed := func(key string, r unit.Revision) sourceAnswer {
		return sourceAnswer{changes: []store.Change{{Entry: store.Entry{Key: store.Key(key), Revision: r}, Removed: true}}, revision: r}
	}
	tests := map[string]struct {
		answers []sourceAnswer
		// outage is the time that each failed call takes, and timeAfter the
		// time that passes at the end.
		outage    time.Duration
		timeAfter time.Duration
		keys      map[store.Key]string
		calls     []string
	}{
		"listed": {
			answers: []sourceAnswer{list}, keys: map[store.Key]string{"servers/a": "1", "servers/b": "2"}, calls: []string{"list", "changes"},
		},
		"changed and removed": {
			answers: []sourceAnswer{list, put(entry("servers/a", "3", 3)), removed("servers/b", 4)},
			keys:    map[store.Key]string{"servers/a": "3"}, calls: []string{"list", "changes", "changes", "changes"},
		},
		"history compacted": {
			answers: []sourceAnswer{list, {compacted: true}, {list: []store.Entry{entry("servers/a", "9", 9)}, revision: 9}},
			keys:    map[store.Key]string{"servers/a": "9"}, calls: []string{"list", "changes", "list", "changes"},
		},
		"call for changes fails": {
			answers: []sourceAnswer{list, {fails: true}, put(entry("servers/a", "9", 9))},
			keys:    map[store.Key]string{"servers/a": "9", "servers/b": "2"}, calls: []string{"list", "changes", "changes", "changes"},
		},
		"malformed changes": {
			answers: []sourceAnswer{list, {malformed: true}, {list: []store.Entry{entry("servers/a", "9", 9), b2}, revision: 9}},
			keys:    map[store.Key]string{"servers/a": "9", "servers/b": "2"}, calls: []string{"list", "changes", "list", "changes"},
		},
		"older list ignored": {
			answers: []sourceAnswer{list, {compacted: true}, {list: []store.Entry{a1}, revision: 1}, {list: []store.Entry{a1, b2}, revision: 3}},
			keys:    map[store.Key]string{"servers/a": "1", "servers/b": "2"}, calls: []string{"list", "changes", "list", "list", "changes"},
		},
		"removed during a short outage": {
			answers: []sourceAnswer{list, {fails: true}, removed("servers/b", 9)},
			keys:    map[store.Key]string{"servers/a": "1"}, calls: []string{"list", "changes", "changes", "changes"},
		},
		"removed during a short outage, history lost": {
			answers: []sourceAnswer{list, {fails: true}, {compacted: true}, {list: []store.Entry{a1}, revision: 9}},
			keys:    map[store.Key]string{"servers/a": "1"}, calls: []string{"list", "changes", "changes", "list", "changes"},
		},
		"lease expired in an outage": {
			answers: []sourceAnswer{list, {fails: true}, removed("servers/b", 9)}, outage: 2 * time.Second,
			keys: map[store.Key]string{"servers/a": "1", "servers/b": "2"}, calls: []string{"list", "changes", "changes", "changes"},
		},
		"lease expired in an outage, history lost": {
			answers: []sourceAnswer{list, {fails: true}, {compacted: true}, {list: []store.Entry{a1}, revision: 9}}, outage: 2 * time.Second,
			keys: map[store.Key]string{"servers/a": "1", "servers/b": "2"}, calls: []string{"list", "changes", "changes", "list", "changes"},
		},
		"lease expired in an outage, not written again": {
			answers: []sourceAnswer{list, {fails: true}, removed("servers/b", 9)}, outage: 2 * time.Second, timeAfter: 3 * time.Second,
			keys: map[store.Key]string{"servers/a": "1"}, calls: []string{"list", "changes", "changes", "changes"},
		},
		"lease expired in an outage, written again": {
			answers: []sourceAnswer{list, {fails: true}, removed("servers/b", 9), put(entry("servers/b", "10", 10))}, outage: 2 * time.Second, timeAfter: 3 * time.Second,
			keys: map[store.Key]string{"servers/a": "1", "servers/b": "10"}, calls: []string{"list", "changes", "changes", "changes", "changes"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			clk := clockwork.NewFakeClock()
			source := &fakeSource{answers: test.answers, cancel: cancel}
			handler := &recordingHandler{keys: make(map[store.Key]string)}
			m := newTestMirror(clk, source)
			m.AddHandler(handler)
			for ctx.Err() == nil {
				m.poll(ctx)
				if ctx.Err() == nil && !m.SourceConnected() {
					clk.Advance(test.outage)
				}
			}
			clk.Advance(test.timeAfter)
			m.applyDeferredRemovals()
			c.Check(handler.keys, qt.DeepEquals, test.keys)
			c.Check(source.calls, qt.DeepEquals, test.calls)
			c.Check(handler.synced, qt.IsTrue)
		})
	}
}

// fakeFeed answers for the daemons in ages, with the age of their copies, and fails
// for other daemons.
type fakeFeed struct {
	ages         map[ident.Instance]time.Duration
	calls        []string
	transferring bool
	// waiting receives a value when a call for changes begins. The call then waits
	// until it is cancelled. It is nil for a feed that answers at once.
	waiting chan struct{}
}

func (f *fakeFeed) List(_ context.Context, p Peer) ([]store.Entry, unit.Revision, time.Duration, error) {
	f.calls = append(f.calls, string(p.Instance))
	age, ok := f.ages[p.Instance]
	if !ok {
		return nil, 0, 0, errUnavailable
	}
	return nil, 9, age, nil
}

func (f *fakeFeed) Transferring() bool { return f.transferring }

func (f *fakeFeed) Changes(ctx context.Context, _ Peer, _ unit.Revision, _, _ time.Duration) ([]store.Change, unit.Revision, bool, time.Duration, error) {
	if f.waiting != nil {
		f.waiting <- struct{}{}
		<-ctx.Done()
		return nil, 0, false, 0, ctx.Err()
	}
	return nil, 9, false, 0, nil
}

// fakeTree has a parent, unless its name is empty, and fallback peers.
type fakeTree struct {
	parent    ident.Instance
	fallbacks []Peer
	// readerGroup is the daemon's position among those that read from the platform.
	readerGroup int
}

func (f fakeTree) Parent() (Peer, bool)  { return Peer{Instance: f.parent}, f.parent != "" }
func (f fakeTree) FallbackPeers() []Peer { return f.fallbacks }
func (f fakeTree) ReaderGroup() int      { return f.readerGroup }

// TestUpstream guards against a daemon that gets no changes because it reads from a
// source that is unavailable or has itself lost its connection to the platform, and
// against all daemons that call an unavailable platform.
func TestUpstream(t *testing.T) {
	platformUp := sourceAnswer{revision: 9}
	tests := map[string]struct {
		tree           fakeTree
		preferPlatform bool
		platform       []sourceAnswer
		ages           map[ident.Instance]time.Duration
		calls          []string
		platformCalls  int
		fails          bool
	}{
		"root reads from the platform":    {platform: []sourceAnswer{platformUp}, platformCalls: 1},
		"others read from their parent":   {tree: fakeTree{parent: "p"}, ages: map[ident.Instance]time.Duration{"p": time.Second}, calls: []string{"p"}},
		"planner reads from the platform": {tree: fakeTree{parent: "p"}, preferPlatform: true, platform: []sourceAnswer{platformUp}, platformCalls: 1},
		"parent unavailable":              {tree: fakeTree{parent: "p"}, platform: []sourceAnswer{platformUp}, calls: []string{"p"}, platformCalls: 1},
		"parent without the platform":     {tree: fakeTree{parent: "p"}, ages: map[ident.Instance]time.Duration{"p": 9 * time.Second}, platform: []sourceAnswer{platformUp}, calls: []string{"p"}, platformCalls: 1},
		"follower whose parent is unavailable": {
			tree: fakeTree{parent: "p", fallbacks: []Peer{{Instance: "q"}}, readerGroup: 1}, platform: []sourceAnswer{platformUp},
			calls: []string{"p"}, platformCalls: 1,
		},
		"follower whose parent is unavailable, platform too": {
			tree: fakeTree{parent: "p", fallbacks: []Peer{{Instance: "q"}}, readerGroup: 1}, platform: []sourceAnswer{{fails: true}},
			ages: map[ident.Instance]time.Duration{"q": 0}, calls: []string{"p", "q"}, platformCalls: 1,
		},
		"follower whose parent has an old copy": {
			tree: fakeTree{parent: "p", fallbacks: []Peer{{Instance: "q"}}, readerGroup: 1}, platform: []sourceAnswer{platformUp},
			ages: map[ident.Instance]time.Duration{"p": 9 * time.Second, "q": 0}, calls: []string{"p", "q"},
		},
		"follower without a source with a recent copy": {
			tree: fakeTree{parent: "p", readerGroup: 1}, platform: []sourceAnswer{platformUp},
			ages: map[ident.Instance]time.Duration{"p": 9 * time.Second}, calls: []string{"p"}, fails: true,
		},
		"connection to the platform silent, new ones work": {
			tree: fakeTree{fallbacks: []Peer{{Instance: "q"}}}, platform: []sourceAnswer{{silent: true}, platformUp}, platformCalls: 2,
		},
		"platform silent": {
			tree: fakeTree{fallbacks: []Peer{{Instance: "q"}}}, platform: []sourceAnswer{{silent: true}, {silent: true}},
			ages: map[ident.Instance]time.Duration{"q": 0}, calls: []string{"q"}, platformCalls: 2,
		},
		"no parent, platform unavailable": {
			tree: fakeTree{fallbacks: []Peer{{Instance: "q"}, {Instance: "r"}}}, platform: []sourceAnswer{{fails: true}},
			ages: map[ident.Instance]time.Duration{"r": 0}, calls: []string{"q", "r"}, platformCalls: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			platform := &fakeSource{answers: test.platform, cancel: func() {}}
			feed := &fakeFeed{ages: test.ages}
			upstream := &Upstream{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), Platform: platform, Feed: feed, Tree: test.tree, MaxAge: 3 * time.Second}
			upstream.PreferPlatform(test.preferPlatform)
			err := errUnavailable
			for attempt := 0; err != nil && attempt < 4; attempt++ {
				_, _, err = upstream.List(context.Background(), "")
			}
			c.Check(err != nil, qt.Equals, test.fails, qt.Commentf("%v", err))
			c.Check(feed.calls, qt.DeepEquals, test.calls)
			c.Check(len(platform.calls), qt.Equals, test.platformCalls)
		})
	}
}

// TestLag guards against a stalled source that the mirror keeps, and against a large
// change that never arrives because its transfer is cancelled again and again. The latter
// left 15 of 76 daemons with an old configuration for up to 9 s.
func TestLag(t *testing.T) {
	tests := map[string]struct {
		transferring, cancelled bool
	}{
		"stalled source": {cancelled: true},
		"slow transfer":  {transferring: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			clk := clockwork.NewFakeClock()
			m := New(Options{Clock: clk, Log: zerolog.Nop(), Source: &Upstream{Clock: clk, Log: zerolog.Nop(), Feed: &fakeFeed{transferring: test.transferring}, Tree: fakeTree{}}})
			call, cancel := context.WithCancel(ctx)
			m.cancelCall.Store(&cancel)
			m.ObserveCopy("q", 7, 0)
			go m.MonitorLag(ctx)
			for range 4 {
				c.Assert(clk.BlockUntilContext(ctx, 1), qt.IsNil)
				clk.Advance(maxLagTime)
			}
			c.Assert(clk.BlockUntilContext(ctx, 1), qt.IsNil)
			c.Check(call.Err() != nil, qt.Equals, test.cancelled)
		})
	}
}

// TestOldCopy guards against a follower that stays with a daemon that has lost the
// platform for as long as a change may take to be in force.
func TestOldCopy(t *testing.T) {
	tests := map[string]struct {
		transferring bool
		// within is the time within which a change has to be in force.
		within   time.Duration
		wantLeft bool
	}{
		"2 s":                    {within: 2 * time.Second, wantLeft: true},
		"4 s":                    {within: 4 * time.Second, wantLeft: true},
		"large change arriving":  {within: 2 * time.Second, transferring: true},
		"unset, that is 2 s too": {wantLeft: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			clk := clockwork.NewFakeClock()
			feed := &fakeFeed{ages: map[ident.Instance]time.Duration{"p": 0}, transferring: test.transferring, waiting: make(chan struct{})}
			platform := &fakeSource{answers: []sourceAnswer{{changes: []store.Change{{Entry: entry("op/config", "new", 10)}}, revision: 10}}, cancel: stop}
			m := New(Options{Clock: clk, Log: zerolog.Nop(), Within: test.within})
			m.Source = &Upstream{Clock: clk, Log: zerolog.Nop(), Platform: platform, Feed: feed, Tree: fakeTree{parent: "p"}, MaxAge: m.MaxAge()}
			m.poll(ctx)
			c.Assert(m.Revision(), qt.Equals, unit.Revision(9), qt.Commentf("list of the parent"))
			polled := make(chan struct{})
			go func() {
				m.poll(ctx)
				m.poll(ctx)
				close(polled)
			}()
			<-feed.waiting
			go m.MonitorAge(ctx)
			lost := clk.Now()
			c.Assert(clk.BlockUntilContext(ctx, 1), qt.IsNil)
			clk.Advance(m.MaxAge())
			if !test.wantLeft {
				// MonitorAge waits again after its check.
				c.Assert(clk.BlockUntilContext(ctx, 1), qt.IsNil)
				c.Check(platform.calls, qt.HasLen, 0)
				stop()
				<-polled
				return
			}
			<-polled
			c.Check(string(m.Get("op/config").Value), qt.Equals, "new")
			within := cmp.Or(test.within, 2*time.Second)
			c.Check(m.MaxAge() < within*2/3, qt.IsTrue, qt.Commentf("left after %s", clk.Since(lost)))
		})
	}
}

// TestConfirmation guards against a follower whose copy seems old although its parent's copy
// was confirmed, and against a follower that calls its parent without end.
func TestConfirmation(t *testing.T) {
	tests := map[string]struct {
		// followerAge is the age of the follower's copy when it asks, a second after
		// the first confirmation. confirmed says that the copy is then confirmed once
		// more.
		followerAge time.Duration
		confirmed   bool
		wantWait    time.Duration
	}{
		"same confirmation":      {followerAge: time.Second, wantWait: 5 * time.Second},
		"earlier confirmation":   {followerAge: 1100 * time.Millisecond},
		"confirmed in the wait":  {followerAge: time.Second, confirmed: true},
		"follower of an old one": {followerAge: 0, wantWait: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			clk := clockwork.NewFakeClock()
			m := New(Options{Clock: clk, Log: zerolog.Nop(), Source: &fakeSource{answers: []sourceAnswer{{revision: 3}, {revision: 3}}, cancel: cancel}})
			m.poll(ctx)
			clk.Advance(time.Second)
			answered := make(chan time.Time, 1)
			start := clk.Now()
			go func() {
				m.WaitForChanges(ctx, 3, test.followerAge, 5*time.Second)
				answered <- clk.Now()
			}()
			if test.confirmed || test.wantWait > 0 {
				c.Assert(clk.BlockUntilContext(ctx, 1), qt.IsNil)
			}
			if test.confirmed {
				m.poll(ctx)
			}
			clk.Advance(test.wantWait)
			c.Check((<-answered).Sub(start), qt.Equals, test.wantWait)
		})
	}
}

// TestChangesAfter guards against changes in the history that a follower does not get.
func TestChangesAfter(t *testing.T) {
	changes := func(revisions ...unit.Revision) []store.Change {
		var result []store.Change
		for _, r := range revisions {
			result = append(result, store.Change{Entry: entry("k", "v", r)})
		}
		return result
	}
	tests := map[string]struct {
		after   unit.Revision
		want    []store.Change
		covered bool
	}{
		"all":                     {after: 10, want: changes(11, 13, 14), covered: true},
		"some":                    {after: 12, want: changes(13, 14), covered: true},
		"none":                    {after: 14, covered: true},
		"before the first change": {after: 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := history{completeAfter: 10}
			h.add(changes(11, 13, 14))
			got, covered := h.changesAfter(test.after)
			c.Check(covered, qt.Equals, test.covered)
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}

// TestHistoryBound guards against a history that grows without limit, and against
// one that drops changes without reporting that they are missing.
func TestHistoryBound(t *testing.T) {
	c := qt.New(t)
	h := history{completeAfter: 1}
	for r := range unit.Revision(2 * maxHistory) {
		h.add([]store.Change{{Entry: entry("k", "v", r+2)}})
	}
	c.Check(len(h.changes), qt.Equals, maxHistory)
	_, covered := h.changesAfter(5)
	c.Check(covered, qt.IsFalse)
	got, covered := h.changesAfter(h.completeAfter)
	c.Check(covered, qt.IsTrue)
	c.Check(got, qt.HasLen, maxHistory)
}

// TestForwardDeferredRemoval guards against a removal that this daemon defers and that
// its followers therefore never get.
func TestForwardDeferredRemoval(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clk := clockwork.NewFakeClock()
	removal := store.Change{Entry: store.Entry{Key: "servers/b", Revision: 9}, Removed: true}
	source := &fakeSource{cancel: cancel, answers: []sourceAnswer{
		{list: []store.Entry{entry("servers/a", "1", 1), entry("servers/b", "2", 2)}, revision: 2},
		{fails: true},
		{changes: []store.Change{removal}, revision: 9},
	}}
	m := newTestMirror(clk, source)
	for range 3 {
		m.poll(ctx)
		if !m.SourceConnected() {
			clk.Advance(2 * time.Second)
		}
	}
	c.Check(m.Get("servers/b").Revision, qt.Equals, unit.Revision(2))
	changes, completeUpTo, _, compacted := m.WaitForChanges(ctx, 2, 0, time.Second)
	c.Check(compacted, qt.IsFalse)
	c.Check(completeUpTo, qt.Equals, unit.Revision(9))
	c.Check(changes, qt.DeepEquals, []store.Change{removal})
	entries, _, _, err := m.Entries()
	c.Assert(err, qt.IsNil)
	c.Check(entries, qt.HasLen, 1)
}
