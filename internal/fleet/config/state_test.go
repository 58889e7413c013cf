package config_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/config"
)

// eventCounts counts the recorded events by name.
type eventCounts map[string]int

func (e eventCounts) Record(name, _ string, _ ...string) { e[name]++ }

const (
	validValue         = `{"schema":2,"keys":["k"]}`
	withdrawnValue     = `{"schema":1,"withdrawn":true}`
	invalidValue       = `{"schema":2,"keys":[]}`
	unknownSchemaValue = `{"schema":3}`
)

func organisationName(i int) record.Name {
	return record.Name{Kind: record.OrganisationKind, Name: fmt.Sprintf("org%d", i)}
}

// newestRecords holds the newest valid and the newest invalid record of one name
// that a daemon has received.
type newestRecords struct{ valid, invalid config.StoredRecord }

// exchangeModel is the history of a platform's writes, and daemons that receive
// them in any order. received has, by daemon, what the daemon should hold.
type exchangeModel struct {
	history  []config.StoredRecord
	states   []*config.State
	received []map[record.Name]*newestRecords
}

func newState() *config.State {
	return config.NewState(clockwork.NewFakeClock(), eventCounts{})
}

func (m *exchangeModel) recordReceived(daemon int, records []config.StoredRecord) {
	for _, r := range records {
		versions := m.received[daemon][r.Name]
		if versions == nil {
			versions = new(newestRecords)
			m.received[daemon][r.Name] = versions
		}
		newest := &versions.valid
		if string(r.Raw) == invalidValue || string(r.Raw) == unknownSchemaValue {
			newest = &versions.invalid
		}
		if r.Revision > newest.Revision {
			*newest = r
		}
	}
}

// recordsToSend returns the records that the daemon sends to a peer: the newest
// valid record of each name, and the newest invalid one if it is newer.
func (m *exchangeModel) recordsToSend(daemon int) []config.StoredRecord {
	var records []config.StoredRecord
	for _, newest := range m.received[daemon] {
		if newest.valid.Revision > 0 {
			records = append(records, newest.valid)
		}
		if newest.invalid.Revision > newest.valid.Revision {
			records = append(records, newest.invalid)
		}
	}
	return records
}

// exchange runs exchanges in both directions until neither daemon returns a delta.
func (m *exchangeModel) exchange(t *rapid.T, a, b int) {
	union := append(m.recordsToSend(a), m.recordsToSend(b)...)
	for round := 0; ; round++ {
		deltaForA := m.states[b].Delta(m.states[a].Digest())
		deltaForB := m.states[a].Delta(m.states[b].Digest())
		if deltaForA == nil && deltaForB == nil {
			break
		}
		if round > 5 {
			t.Fatal("two daemons still exchange deltas after 5 rounds")
		}
		for s, d := range map[int][]byte{a: deltaForA, b: deltaForB} {
			if d == nil {
				continue
			}
			if err := m.states[s].Merge("peer", d); err != nil {
				t.Fatal(err)
			}
		}
	}
	m.recordReceived(a, union)
	m.recordReceived(b, union)
}

func (m *exchangeModel) check(t *rapid.T) {
	for i, s := range m.states {
		want := map[record.Name]unit.Revision{}
		rejected := map[record.Name]unit.Revision{}
		for n, newest := range m.received[i] {
			if newest.valid.Revision > 0 {
				want[n] = newest.valid.Revision
			}
			if newest.invalid.Revision > newest.valid.Revision {
				rejected[n] = newest.invalid.Revision
			}
			inView := s.View().Organisation(ident.Organisation(n.Name)) != nil
			if inView != (string(newest.valid.Raw) == validValue) {
				t.Fatalf("daemon %d: %s in view: %v, newest valid record %s", i, n, inView, newest.valid.Raw)
			}
		}
		for _, a := range s.Active() {
			if want[a.Name] != a.Revision {
				t.Fatalf("daemon %d: %s active at %d, want %d", i, a.Name, a.Revision, want[a.Name])
			}
			delete(want, a.Name)
		}
		for _, r := range s.Rejected() {
			if rejected[r.Name] != r.Revision || r.Reason == "" {
				t.Fatalf("daemon %d: %s rejected at %d, want %d", i, r.Name, r.Revision, rejected[r.Name])
			}
			delete(rejected, r.Name)
		}
		if len(want)+len(rejected) > 0 {
			t.Fatalf("daemon %d: records %v are not active, records %v are not rejected", i, want, rejected)
		}
	}
}

// TestMerge guards against an older record that replaces a newer one, an invalid
// record that replaces a valid one, a withdrawn record that becomes active again,
// and daemons whose records differ after an exchange.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &exchangeModel{}
		for range 3 {
			m.states = append(m.states, newState())
			m.received = append(m.received, map[record.Name]*newestRecords{})
		}
		daemon := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				raw := rapid.SampledFrom([]string{validValue, validValue, withdrawnValue, invalidValue, unknownSchemaValue}).Draw(t, "raw")
				n := organisationName(rapid.IntRange(0, 4).Draw(t, "name"))
				m.history = append(m.history, config.StoredRecord{Name: n, Revision: unit.Revision(len(m.history) + 1), Raw: []byte(raw)})
			},
			"watch": func(t *rapid.T) {
				if len(m.history) == 0 {
					return
				}
				i := daemon.Draw(t, "daemon")
				changes := rapid.SliceOfN(rapid.SampledFrom(m.history), 1, 4).Draw(t, "changes")
				m.states[i].Apply(config.FromWatch, changes)
				m.recordReceived(i, changes)
			},
			"list at any revision": func(t *rapid.T) {
				i := daemon.Draw(t, "daemon")
				latest := map[record.Name]config.StoredRecord{}
				for _, r := range m.history[:rapid.IntRange(0, len(m.history)).Draw(t, "revision")] {
					latest[r.Name] = r
				}
				var list []config.StoredRecord
				for _, r := range latest {
					list = append(list, r)
				}
				m.states[i].Apply(config.FromList, list)
				m.recordReceived(i, list)
			},
			"exchange": func(t *rapid.T) {
				a, b := daemon.Draw(t, "a"), daemon.Draw(t, "b")
				if a != b {
					m.exchange(t, a, b)
				}
			},
			"restart": func(t *rapid.T) {
				i := daemon.Draw(t, "daemon")
				m.states[i], m.received[i] = newState(), map[record.Name]*newestRecords{}
			},
			"": m.check,
		})
	})
}

// TestReady guards against a daemon that becomes ready by an exchange with a peer
// that is not ready itself, and then treats records that it has not received as
// absent.
func TestReady(t *testing.T) {
	c := qt.New(t)
	a, b := newState(), newState()
	c.Assert(b.Delta(a.Digest()), qt.IsNil)
	b.SetReady()
	c.Assert(a.Merge("b", b.Delta(a.Digest())), qt.IsNil)
	c.Assert(a.Ready(), qt.IsTrue)
	c.Assert(b.Delta(a.Digest()), qt.IsNil)
	c.Assert(b.Delta([]byte("x")), qt.IsNil)
}
