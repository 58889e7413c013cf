package remote

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/route/table"
)

const staleAfter = 5 * time.Second

// TestSummaries guards against an older summary that replaces a newer one of
// the same daemon, and against a summary that is still used 5 s after it was
// made.
func TestSummaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clockwork.NewFakeClock()
		m := NewSummaries(clk, staleAfter)
		newest := make(map[ident.Instance]unit.Sequence)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				s := Summary{
					DataCentre: "b", Author: ident.Instance(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "author")),
					Incarnation: 1, Sequence: unit.Sequence(rapid.IntRange(1, 20).Draw(t, "sequence")),
					Age: time.Duration(rapid.IntRange(0, 6000).Draw(t, "age")) * time.Millisecond,
				}
				before := m.Current()
				accepted := m.Put(s)
				if accepted && s.Sequence <= newest[s.Author] {
					t.Fatalf("accepted summary %+v after sequence %d", s, newest[s.Author])
				}
				if accepted && len(before) > 0 && before[0].Author != s.Author && s.Age >= before[0].Age {
					t.Fatalf("accepted summary %+v, which is not younger than %+v", s, before[0])
				}
				if accepted {
					newest[s.Author] = s.Sequence
				} else if s.Age < staleAfter && s.Sequence > newest[s.Author] && (len(before) == 0 || before[0].Author == s.Author) {
					t.Fatalf("rejected newer summary %+v", s)
				}
			},
			"advance": func(t *rapid.T) {
				clk.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "time")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, s := range m.Current() {
					if s.Age >= staleAfter {
						t.Fatalf("summary %+v is older than the limit", s)
					}
				}
			},
		})
	})
}

// TestExchange guards against new summaries that a peer never receives, against
// summaries that are sent again although the peer has them, and against
// summaries of a data centre with many deployments that take too many bytes.
func TestExchange(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	a, b := NewSummaries(clk, staleAfter), NewSummaries(clk, staleAfter)
	var capacities []Capacity
	for i := range 100 {
		capacities = append(capacities, Capacity{ident.Deployment(fmt.Sprintf("deployment-%d", i)), 12, 345})
	}
	first := Summary{DataCentre: "b", Author: "d1", Incarnation: 1, Sequence: 1, Capacities: truncateToMaxBytes(capacities)}
	c.Assert(a.Put(first), qt.IsTrue)
	delta := a.Delta(b.Digest())
	c.Assert(len(delta) < 1000, qt.IsTrue)
	clk.Advance(time.Second)
	c.Assert(b.Merge("d1", a.Delta(nil)), qt.IsNil)
	c.Assert(b.Current()[0].Age, qt.Equals, time.Second)
	c.Assert(a.Delta(b.Digest()), qt.IsNil)
	c.Assert(a.Put(Summary{DataCentre: "b", Author: "d1", Incarnation: 1, Sequence: 2}), qt.IsTrue)
	c.Assert(b.Delta(a.Digest()), qt.IsNil)
	c.Assert(a.Delta(b.Digest()), qt.IsNotNil)
	raw, err := json.Marshal([]Summary{{DataCentre: "b", Author: "d1", Age: -1}})
	c.Assert(err, qt.IsNil)
	c.Assert(b.Merge("d1", raw), qt.ErrorMatches, ".*negative.*")
}

// fakeDrains has a drained data centre; the instance b9 is drained too.
type fakeDrains struct{ drained ident.DataCentre }

func (f fakeDrains) DataCentreDrained(d ident.DataCentre) bool { return d == f.drained }
func (fakeDrains) InstanceDrained(i ident.Instance) bool       { return i == "b9" }

// noRequests has no requests in flight.
type noRequests struct{}

func (noRequests) EndpointInFlight(ident.Endpoint) unit.Requests { return 0 }

// TestOffers guards against offers of all senders that together exceed a data
// centre's free capacity, and against requests to a data centre or instance that
// is drained.
func TestOffers(t *testing.T) {
	tests := map[string]struct {
		free              unit.Requests
		drained           bool
		drainedDataCentre ident.DataCentre
		limit             unit.Requests
		relays            int
	}{
		"divided among three senders":      {free: 24, limit: 8, relays: 2},
		"one request at least":             {free: 1, limit: 1, relays: 1},
		"no free slots":                    {free: 0},
		"drained by its summary":           {free: 24, drained: true},
		"drained in the local drain state": {free: 24, drainedDataCentre: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			peers := []roster.Peer{
				{Instance: "a2", DataCentre: "a", Alive: true},
				{Instance: "a3", DataCentre: "a"},
				{Instance: "c1", DataCentre: "c", Alive: true},
				{Instance: "b1", DataCentre: "b", CallerAddress: "b1:80", Alive: true},
				{Instance: "b2", DataCentre: "b", CallerAddress: "b2:80", Alive: true},
				{Instance: "b3", DataCentre: "b", CallerAddress: "b3:80"},
				{Instance: "b9", DataCentre: "b", CallerAddress: "b9:80", Alive: true},
			}
			view := record.NewView([]*record.Record{{Deployment: &record.Deployment{Name: "d", Model: "m", Organisations: []ident.Organisation{"bank"}}}})
			endpoints := NewRelayOffers("a1", "a", time.Second).Endpoints(OfferInput{
				Summaries: []Summary{{DataCentre: "b", Drained: test.drained, Capacities: []Capacity{{"d", 1, test.free}, {"unknown", 1, 9}}}},
				Peers:     peers, View: view, Drains: fakeDrains{test.drainedDataCentre}, Loads: noRequests{},
			})
			c.Assert(endpoints, qt.HasLen, test.relays)
			var total unit.Requests
			for _, e := range endpoints {
				total += e.Limit
				c.Check(e.Protocol == table.Relay && e.Organisations[0] == "bank" && e.Models[0] == "m", qt.IsTrue)
			}
			c.Assert(total, qt.Equals, test.limit)
		})
	}
}

// TestRamp guards against a data centre that returns to its full limits at once
// or while first tokens are late, and against a start of a daemon or a short
// absence that counts as a return.
func TestRamp(t *testing.T) {
	present := Observation{Present: true, FirstTokenTime: 100 * time.Millisecond}
	late := Observation{Present: true, FirstTokenTime: 300 * time.Millisecond}
	slow := Observation{Present: true, FirstTokenTime: 3 * time.Second}
	type phase struct {
		seconds     int
		observation Observation
	}
	drained, absent := phase{3, Observation{Drained: true}}, Observation{}
	tests := map[string]struct {
		phases   []phase
		fraction float64
	}{
		"start of the daemon is no return":  {[]phase{{30, absent}, {1, present}}, 1},
		"absence of 3 s is no return":       {[]phase{{1, present}, {3, absent}, {1, present}}, 1},
		"absence of 9 s is a return":        {[]phase{{1, present}, {9, absent}, {1, present}}, 0.1},
		"drained":                           {[]phase{{1, present}, drained}, 0.1},
		"half of the ramp":                  {[]phase{{1, present}, drained, {11, present}}, 0.6},
		"full limits after the ramp":        {[]phase{{1, present}, drained, {22, present}}, 1},
		"waits while first tokens are late": {[]phase{{1, present}, drained, {11, present}, {20, late}}, 0.6},
		"continues after late first tokens": {[]phase{{1, present}, drained, {11, present}, {20, late}, {3, present}}, 0.7},
		"load changed permanently":          {[]phase{{1, present}, drained, {90, late}}, 1},
		"never rises above the target":      {[]phase{{1, present}, drained, {90, slow}}, 0.1},
		"usual time to first token unknown": {[]phase{drained, {22, late}}, 1},
		"drained again while it returns":    {[]phase{{1, present}, drained, {11, present}, drained, {1, present}}, 0.1},
		"no endpoints while it returns":     {[]phase{{1, present}, drained, {11, present}, {9, absent}}, 0.1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ramp := NewRamp(RampOptions{Duration: 18 * time.Second, Absence: 5 * time.Second, FirstTokenTarget: 2 * time.Second})
			now := time.Unix(1_000, 0)
			for _, p := range test.phases {
				for range p.seconds {
					now = now.Add(time.Second)
					ramp.Observe(now, p.observation)
				}
			}
			c.Assert(ramp.LimitFraction(), qt.Equals, test.fraction)
		})
	}
}
