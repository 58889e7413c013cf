package poison

import (
	"context"
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

// fakeStore is a platform's store whose changes reach the daemons at once.
type fakeStore struct {
	entries  map[store.Key]store.Entry
	revision unit.Revision
	lease    store.LeaseID
	daemons  []*fakeDaemon
	down     bool
	writes   int
}

func (s *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	if s.down {
		return 0, code.PlatformUnavailable.New("fake store is down")
	}
	s.lease++
	return s.lease, nil
}

func (s *fakeStore) Revoke(context.Context, store.LeaseID) error { return nil }

func (s *fakeStore) Swap(_ context.Context, w store.Swap) (store.Entry, store.SwapResult, error) {
	s.writes++
	if known := s.entries[w.Key]; known.Revision != w.ExpectedRevision {
		return known, store.Conflict, nil
	}
	s.revision++
	e := store.Entry{Key: w.Key, Value: w.Value, Revision: s.revision, Lease: w.Lease}
	s.entries[w.Key] = e
	s.notify(store.Change{Entry: e})
	return e, store.Applied, nil
}

func (s *fakeStore) notify(change store.Change) {
	for _, d := range s.daemons {
		if !d.stopped {
			d.HandleChanges([]store.Change{change}, false)
		}
	}
}

// loseAll removes all entries, as a restoration from an old copy does.
func (s *fakeStore) loseAll() {
	for key := range s.entries {
		delete(s.entries, key)
		s.notify(store.Change{Entry: store.Entry{Key: key, Revision: s.revision}, Removed: true})
	}
}

// fakeDaemon is a blocklist with its detectors. It reads from the platform unless isFollower is set.
type fakeDaemon struct {
	*Blocklist
	isFollower, stopped bool
}

func (d *fakeDaemon) MayReadPlatform() bool { return !d.isFollower }

// start starts a daemon, which reads the list of the store.
func (s *fakeStore) start(name ident.Instance, clk *clockwork.FakeClock) *fakeDaemon {
	const lifetime = time.Minute
	changed := make(chan struct{}, 1)
	d := new(fakeDaemon)
	d.Blocklist = NewBlocklist(BlocklistOptions{
		Clock: clk, Log: zerolog.Nop(), KeyPrefix: testPrefix, Lifetime: lifetime, Store: s, Readers: d, Changed: changed,
		Requests: New(Options{Clock: clk, Self: name, Lifetime: lifetime, Limit: 1000, Threshold: 3, Changed: changed}),
		Parts:    NewPartDetector(PartOptions{Clock: clk, Threshold: 3, Lifetime: lifetime, Limit: 1000, Changed: changed}),
	})
	var list []store.Change
	for _, e := range s.entries {
		list = append(list, store.Change{Entry: e})
	}
	d.HandleChanges(list, true)
	s.daemons = append(s.daemons, d)
	return d
}

// run lets all daemons write what is due, for the time.
func (s *fakeStore) run(clk *clockwork.FakeClock, d time.Duration) {
	for end := clk.Now().Add(d); clk.Now().Before(end); clk.Advance(minWriteInterval) {
		for _, daemon := range s.daemons {
			if !daemon.stopped {
				daemon.writeDue(context.Background())
			}
		}
	}
}

func (s *fakeStore) killAll() {
	for _, d := range s.daemons {
		d.stopped = true
	}
	s.daemons = nil
}

const (
	testPrefix store.Key = "cuminbay/poison/"

	badRequest ident.Fingerprint = 7
	badPart    ident.PromptPart  = 8
)

// crash records a crash of both the request and the prompt part at the daemon, and that the others hear
// of it.
func (s *fakeStore) crash(at *fakeDaemon, id ident.Crash) {
	at.Requests.RecordCrash(badRequest, id)
	at.Parts.RecordPartCrash([]ident.PromptPart{badPart}, id)
	for _, d := range s.daemons {
		if d != at {
			d.Requests.MergeCrashes(at.Requests.Self, at.Requests.CrashReport(time.Second))
			crashes, _ := at.Parts.PartReport()
			d.Parts.MergePartCrashes(crashes)
		}
	}
}

func (d *fakeDaemon) refuses() (request, part bool) {
	return d.Requests.Check(badRequest) != nil, d.Parts.CheckParts([]ident.PromptPart{badPart}) != nil
}

// TestBlocklist guards against requests and prompt parts that crash servers and run again after a loss of
// all daemons, and against such an entry that refuses what runs to its end.
func TestBlocklist(t *testing.T) {
	const settle = 10 * time.Second
	tests := map[string]struct {
		// happens happens after three crashes, of which daemon a observed the one with the highest id,
		// and before all daemons are killed.
		happens func(s *fakeStore, a, b *fakeDaemon, clk *clockwork.FakeClock)
		// wantRefused says that the daemon that starts then refuses the request and the part, and
		// wantRefusedAfterCrash that it does so after one more crash.
		wantRefused, wantRefusedAfterCrash bool
		maxWrites                          int
	}{
		"killed at once": {
			happens:     func(_ *fakeStore, a, _ *fakeDaemon, _ *clockwork.FakeClock) { a.writeDue(context.Background()) },
			wantRefused: true, maxWrites: 2,
		},
		"killed later": {
			happens:     func(s *fakeStore, _, _ *fakeDaemon, clk *clockwork.FakeClock) { s.run(clk, settle) },
			wantRefused: true, maxWrites: 2,
		},
		"killed twice": {
			happens: func(s *fakeStore, _, _ *fakeDaemon, clk *clockwork.FakeClock) {
				s.run(clk, settle)
				s.killAll()
				s.start("c", clk)
				s.run(clk, settle)
			},
			wantRefused: true, maxWrites: 2,
		},
		"observer killed before it wrote": {
			happens: func(s *fakeStore, a, _ *fakeDaemon, clk *clockwork.FakeClock) {
				a.stopped = true
				s.run(clk, settle)
			},
			wantRefused: true, maxWrites: 2,
		},
		"store down meanwhile": {
			happens: func(s *fakeStore, _, _ *fakeDaemon, clk *clockwork.FakeClock) {
				s.down = true
				s.run(clk, settle)
				s.down = false
				s.run(clk, settle)
			},
			wantRefused: true, maxWrites: 4,
		},
		"store restored from an older copy": {
			happens: func(s *fakeStore, _, _ *fakeDaemon, clk *clockwork.FakeClock) {
				s.run(clk, settle)
				s.loseAll()
				s.run(clk, settle)
			},
			wantRefused: true, maxWrites: 4,
		},
		"ran to its end": {
			happens: func(s *fakeStore, a, b *fakeDaemon, clk *clockwork.FakeClock) {
				s.run(clk, settle)
				b.Requests.RecordCompletion(badRequest)
				b.Parts.RecordPartStart([]ident.PromptPart{badPart})
				a.Parts.ClearParts([]ident.PromptPart{badPart})
				s.run(clk, settle)
			},
			maxWrites: 6,
		},
		"ran to its end, and reported again by a daemon that has not heard of it": {
			happens: func(s *fakeStore, a, b *fakeDaemon, clk *clockwork.FakeClock) {
				s.run(clk, settle)
				requests, parts := map[ident.Fingerprint][]ident.Crash{badRequest: {1, 2, 3}}, map[ident.PromptPart][]ident.Crash{badPart: {1, 2, 3}}
				b.Requests.RecordCompletion(badRequest)
				b.Parts.RecordPartStart([]ident.PromptPart{badPart})
				s.run(clk, settle)
				a.Requests.MergeCrashes("late", requests)
				a.Parts.MergePartCrashes(parts)
				s.run(clk, settle)
			},
			maxWrites: 6,
		},
		"lapsed": {
			happens: func(s *fakeStore, _, _ *fakeDaemon, clk *clockwork.FakeClock) {
				s.run(clk, settle)
				clk.Advance(time.Minute)
			},
			wantRefusedAfterCrash: true, maxWrites: 2,
		},
		"lapsed while a daemon restarted": {
			happens: func(s *fakeStore, _, _ *fakeDaemon, clk *clockwork.FakeClock) {
				s.run(clk, settle)
				s.killAll()
				s.start("c", clk)
				clk.Advance(time.Minute - settle)
			},
			wantRefusedAfterCrash: true, maxWrites: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			s := &fakeStore{entries: make(map[store.Key]store.Entry)}
			a, b := s.start("a", clk), s.start("b", clk)
			s.start("follower", clk).isFollower = true
			s.crash(a, 1)
			s.crash(b, 2)
			clk.Advance(time.Second)
			s.crash(a, 3)
			request, part := b.refuses()
			c.Assert([]bool{request, part}, qt.DeepEquals, []bool{true, true})
			test.happens(s, a, b, clk)
			c.Check(s.writes <= test.maxWrites, qt.IsTrue, qt.Commentf("%d writes", s.writes))
			s.killAll()
			d := s.start("d", clk)
			request, part = d.refuses()
			c.Check(request, qt.Equals, test.wantRefused)
			c.Check(part, qt.Equals, test.wantRefused)
			s.crash(d, 4)
			request, part = d.refuses()
			c.Check(request, qt.Equals, test.wantRefused || test.wantRefusedAfterCrash)
			c.Check(part, qt.Equals, test.wantRefused || test.wantRefusedAfterCrash)
		})
	}
}

// TestBlocklistBound guards against a store that fills with the entries of a caller who has many different
// requests refused, and against an entry of another writer that ends the process or clears a request.
func TestBlocklistBound(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	s := &fakeStore{entries: make(map[store.Key]store.Entry)}
	d := s.start("a", clk)
	for f := range ident.Fingerprint(maxEntries + 10) {
		for crash := range ident.Crash(3) {
			d.Requests.RecordCrash(f, crash)
		}
	}
	s.run(clk, time.Second)
	c.Check(s.entries, qt.HasLen, maxEntries)
	for _, key := range []store.Key{"cuminbay/poison/", "cuminbay/poison/request/7", "cuminbay/poison/other/0000000000000007"} {
		d.HandleChanges([]store.Change{{Entry: store.Entry{Key: key, Value: []byte("{}"), Revision: 1 << 20}}}, false)
	}
	key := refusalKey{requestSuspect, 7}.below(testPrefix)
	for _, value := range []string{"", "?", `{"crashes":[1],"last":-5}`, `{"crashes":7}`, `{"cleared":true}`} {
		d.HandleChanges([]store.Change{{Entry: store.Entry{Key: key, Value: []byte(value), Revision: 1 << 20}}}, false)
	}
	c.Check(code.Of(d.Requests.Check(7)), qt.Equals, code.PoisonRequest)
}
