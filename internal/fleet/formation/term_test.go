package formation

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/lease"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/standin/singlekey"
)

// fakeKeys is a copy of the store without a leader.
type fakeKeys struct{}

func (fakeKeys) Get(store.Key) store.Entry { return store.Entry{} }
func (fakeKeys) SourceConnected() bool     { return true }
func (fakeKeys) SetLowLatency(bool)        {}
func (fakeKeys) SetAwaitsChange(bool)      {}
func (fakeKeys) Age() time.Duration        { return 0 }
func (fakeKeys) Revision() unit.Revision   { return 0 }

// revokingStore is a store whose revisions rise with each write, and in which a key is
// removed with its lease.
type revokingStore struct {
	singlekey.Store
	revision unit.Revision
}

func (s *revokingStore) Swap(ctx context.Context, swap store.Swap) (store.Entry, store.SwapResult, error) {
	entry, result, err := s.Store.Swap(ctx, swap)
	if result == store.Applied {
		s.revision++
		s.Entry.Revision = s.revision
		entry = s.Entry
	}
	return entry, result, err
}

func (s *revokingStore) Revoke(ctx context.Context, id store.LeaseID) error {
	if s.Entry.Lease == id {
		s.Entry = store.Entry{}
	}
	return s.Store.Revoke(ctx, id)
}

// TestTermNotResumed guards against a new planner with the token of a term that ended,
// whose epochs and names of replicas would be used twice.
func TestTermNotResumed(t *testing.T) {
	tests := map[string]struct {
		end func(c *controller, s *revokingStore, l *lease.Lease)
	}{
		"a server refused the token": {end: func(c *controller, _ *revokingStore, _ *lease.Lease) { c.endTerm(c.fencingToken.Load()) }},
		"the lease could not be renewed": {end: func(c *controller, s *revokingStore, l *lease.Lease) {
			s.Unavailable = true
			c.deps.Clock.(*clockwork.FakeClock).Advance(2 * time.Second)
			c.renewLease(context.Background(), l)
			s.Unavailable = false
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			const ttl = time.Second
			clk := clockwork.NewFakeClock()
			s := &revokingStore{Store: singlekey.Store{TTL: ttl}}
			control := &controller{deps: &plugin.Deps{Clock: clk, Log: zerolog.Nop()}, settings: &Settings{}, keys: fakeKeys{}, wake: make(chan struct{}, 1)}
			control.settings.Lease.Duration = ttl
			l := lease.New(s, clk, "key", "d", ttl)
			control.renewLease(context.Background(), l)
			first := control.fencingToken.Load()
			c.Assert(first != 0, qt.IsTrue)
			test.end(control, s, l)
			c.Assert(control.fencingToken.Load(), qt.Equals, int64(0))
			for range 4 {
				control.renewLease(context.Background(), l)
			}
			c.Check(control.fencingToken.Load() > first, qt.IsTrue, qt.Commentf("token %d after %d", control.fencingToken.Load(), first))
		})
	}
}

// TestFirstEpoch guards against epochs of a term that overlap with those of the terms before,
// also after the store was restored, and against epochs that a decoder of JSON rounds.
func TestFirstEpoch(t *testing.T) {
	const exact = 1 << 53
	tests := map[string]struct{ earlier, later unit.Revision }{
		"same era": {unit.NewRevision(1, 7), unit.NewRevision(1, 8)},
		"restored": {unit.NewRevision(1, 1_000_000), unit.NewRevision(2, 5)},
		"late era": {unit.NewRevision(999, 1_000_000), unit.NewRevision(1000, 5)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(firstEpoch(test.earlier)+epochsPerToken <= firstEpoch(test.later), qt.IsTrue)
			c.Check(firstEpoch(test.later) < exact, qt.IsTrue)
		})
	}
}

// TestNewName guards against replicas of two terms with one name, and against names that an
// operator can't read.
func TestNewName(t *testing.T) {
	tests := map[string]struct {
		token unit.Revision
		want  []ident.Replica
	}{
		"no eras":        {unit.NewRevision(0, 186), []ident.Replica{"r186-1", "r186-2"}},
		"after restored": {unit.NewRevision(2, 186), []ident.Replica{"r2-186-1", "r2-186-2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(Options{}, test.token, time.Time{})
			qt.Check(t, []ident.Replica{p.newName(), p.newName()}, qt.DeepEquals, test.want)
		})
	}
}
