package replica_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/replica"
)

func newTracker(clk clockwork.Clock, self ident.Instance, incarnation unit.Incarnation) *replica.Tracker {
	return replica.NewTracker(replica.Options{
		Clock: clk, Self: self, DataCentre: "kirtipur", Incarnation: incarnation,
		StaleAfter: 2 * time.Second, AttestStaleAfter: 3 * time.Second,
	})
}

func newReplica(id ident.Replica, epoch unit.Epoch, members ...ident.Instance) report.Replica {
	r := report.Replica{ID: id, Deployment: "chat", Epoch: epoch, Model: "m", Version: "1"}
	for _, m := range members {
		r.Members = append(r.Members, report.Member{Instance: m, Address: string(m) + ":1"})
	}
	return r
}

func newAssignment(epoch unit.Epoch, replicas ...report.Replica) report.Assignment {
	return report.Assignment{Domain: "rack", DataCentre: "kirtipur", Epoch: epoch, Replicas: replicas}
}

// newReport returns the report of the replica's ready member.
func newReport(r report.Replica, rank int, incarnation unit.Incarnation, sequence unit.Sequence) *report.Report {
	return &report.Report{
		Instance: r.Members[rank].Instance, Incarnation: incarnation, Sequence: sequence, Ready: true,
		Membership: report.Membership{
			Replica: r.ID, Epoch: r.Epoch, Rank: unit.Rank(rank), Model: r.Model, Version: r.Version,
		},
	}
}

func ownsAll(ident.Replica) bool { return true }

// exchange updates the second tracker with a delta of the first one.
func exchange(c *qt.C, from, to *replica.Tracker) {
	if d := from.Delta(to.Digest()); d != nil {
		c.Assert(to.Merge("peer", d), qt.IsNil)
	}
}

// TestServingRule guards against a replica that serves although a member reports
// another membership, isn't ready or has no fresh report.
func TestServingRule(t *testing.T) {
	r := newReplica("r", 5, "a", "b")
	tests := map[string]struct {
		change func(*report.Report)
		age    time.Duration
		reason string
	}{
		"complete":                    {},
		"other replica":               {change: func(reported *report.Report) { reported.Replica = "x" }, reason: "reports another replica"},
		"idle member":                 {change: func(reported *report.Report) { reported.Membership = report.Membership{} }, reason: "reports another replica"},
		"older epoch":                 {change: func(reported *report.Report) { reported.Epoch = 4 }, reason: "reports another epoch"},
		"other rank":                  {change: func(reported *report.Report) { reported.Rank = 0 }, reason: "reports another rank"},
		"other model":                 {change: func(reported *report.Report) { reported.Model = "n" }, reason: "reports another model"},
		"other version":               {change: func(reported *report.Report) { reported.Version = "2" }, reason: "reports another model"},
		"other adapters":              {change: func(reported *report.Report) { reported.Adapters = []ident.Adapter{"z"} }, reason: "reports another model"},
		"other role":                  {change: func(reported *report.Report) { reported.Role = report.Prefill }, reason: "reports another role"},
		"loading":                     {change: func(reported *report.Report) { reported.Ready = false }, reason: "not ready"},
		"not yet stale":               {age: 2*time.Second - 1},
		"stale":                       {age: 2 * time.Second, reason: "stale report"},
		"older than the known report": {change: func(reported *report.Report) { reported.Incarnation, reported.Replica = 0, "x" }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			tracker := newTracker(clk, "d1", 1)
			_, err := tracker.UpdateAssignment(newAssignment(7, r))
			c.Assert(err, qt.IsNil)
			reported := newReport(r, 1, 1, 9)
			requestedAt := clk.Now()
			if test.change != nil {
				tracker.ObserveReport(newReport(r, 1, 1, 8), requestedAt)
				test.change(reported)
			}
			tracker.ObserveReport(reported, requestedAt)
			clk.Advance(test.age)
			tracker.ObserveReport(newReport(r, 0, 1, 1), clk.Now())
			tracker.PublishAttestation(ownsAll)
			s := tracker.AttestedStates()[0]
			c.Assert(s.Serving, qt.Equals, test.reason == "")
			if test.reason != "" {
				clk.Advance(2 * time.Second)
				tracker.ObserveReport(newReport(r, 0, 1, 2), clk.Now())
				if test.age == 0 {
					again := *reported
					again.Sequence++
					tracker.ObserveReport(&again, clk.Now())
				}
				tracker.PublishAttestation(ownsAll)
				c.Assert(tracker.AttestedStates()[0].UnreadyMembers, qt.DeepEquals, []report.UnreadyMember{{Instance: "b", Reason: test.reason}})
			}
		})
	}
}

// TestAttestationAge guards against a delta that counts as fresh although it
// was delayed on its way, or read late after a pause.
func TestAttestationAge(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	r := newReplica("r", 1, "a")
	owner, other := newTracker(clk, "d1", 1), newTracker(clk, "d2", 1)
	_, err := owner.UpdateAssignment(newAssignment(1, r))
	c.Assert(err, qt.IsNil)
	owner.ObserveReport(newReport(r, 0, 1, 1), clk.Now())
	owner.PublishAttestation(ownsAll)
	delayed := owner.Delta(other.Digest())
	exchange(c, owner, other)
	c.Assert(other.AttestedStates()[0].Serving, qt.IsTrue)
	clk.Advance(3 * time.Second)
	c.Assert(other.Merge("d1", delayed), qt.IsNil)
	c.Assert(other.AttestedStates()[0].Serving, qt.IsFalse)
	// The same for a heartbeat without states.
	owner.ObserveReport(newReport(r, 0, 1, 2), clk.Now())
	owner.PublishAttestation(ownsAll)
	clk.Advance(time.Second)
	unchanged := owner.Delta(other.Digest())
	c.Assert(string(unchanged), qt.Not(qt.Contains), `"states"`)
	c.Assert(other.Merge("d1", unchanged), qt.IsNil)
	clk.Advance(2*time.Second - 1)
	c.Assert(other.AttestedStates()[0].Serving, qt.IsTrue)
	clk.Advance(1)
	c.Assert(other.AttestedStates()[0].Serving, qt.IsFalse)
	restarted := newTracker(clk, "d2", 2)
	c.Assert(restarted.Merge("d1", delayed), qt.IsNil)
	c.Assert(restarted.AttestedStates()[0].Serving, qt.IsFalse)
}

// TestDelta guards against states that are sent again although they have not
// changed. Their bytes would exceed the limit of the exchange.
func TestDelta(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	r := newReplica("r", 1, "a")
	owner, other := newTracker(clk, "d1", 1), newTracker(clk, "d2", 1)
	_, err := owner.UpdateAssignment(newAssignment(1, r))
	c.Assert(err, qt.IsNil)
	for sequence := range 8 {
		clk.Advance(500 * time.Millisecond)
		owner.ObserveReport(newReport(r, 0, 1, unit.Sequence(sequence)), clk.Now())
		owner.PublishAttestation(ownsAll)
		d := owner.Delta(other.Digest())
		if sequence > 0 {
			c.Assert(string(d), qt.Not(qt.Contains), `"states"`)
		}
		c.Assert(other.Merge("d1", d), qt.IsNil)
		c.Assert(other.AttestedStates()[0].Serving, qt.IsTrue)
	}
	c.Assert(owner.Delta(other.Digest()), qt.IsNil)
}

// fakeDrains has the drained instances; the key "centre" stands for the data
// centre.
type fakeDrains map[ident.Instance]bool

func (f fakeDrains) DataCentreDrained(ident.DataCentre) bool { return f["centre"] }
func (f fakeDrains) InstanceDrained(i ident.Instance) bool   { return f[i] }

// TestEndpoints guards against requests for a replica that is draining, has a
// drained member or has no record.
func TestEndpoints(t *testing.T) {
	d := &record.Deployment{Name: "chat", Limit: 8, ColdLimit: 2}
	base := replica.State{
		Replica: "r", Epoch: 1, Deployment: "chat", Model: "m", Adapters: []ident.Adapter{"z"},
		Members: []ident.Instance{"a", "b"}, Serving: true,
	}
	tests := map[string]struct {
		change  func(*replica.State)
		drained fakeDrains
		limit   unit.Requests
		cold    bool
	}{
		"warm":                   {limit: 8},
		"cold":                   {change: func(s *replica.State) { s.Cold = true }, limit: 8, cold: true},
		"draining":               {change: func(s *replica.State) { s.Draining = true }},
		"stopped":                {change: func(s *replica.State) { s.Serving = false }},
		"no record":              {change: func(s *replica.State) { s.Deployment = "x" }},
		"member drained":         {drained: fakeDrains{"b": true}},
		"data centre drained":    {drained: fakeDrains{"centre": true}},
		"other instance drained": {drained: fakeDrains{"c": true}, limit: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := base
			if test.change != nil {
				test.change(&s)
			}
			view := record.NewView([]*record.Record{{Deployment: d}})
			got := replica.Endpoints("kirtipur", []replica.State{s}, view, test.drained)
			if test.limit == 0 {
				c.Assert(got, qt.HasLen, 0)
				return
			}
			c.Assert(got[0].Limit, qt.Equals, test.limit)
			// Requests to a cold endpoint are granted out of its cold limit.
			c.Assert(got[0].Cold, qt.Equals, test.cold)
			c.Assert(got[0].ColdLimit, qt.Equals, d.ColdLimit)
			c.Assert(got[0].Models, qt.DeepEquals, []ident.Model{"m", "z"})
		})
	}
}

// TestOwners guards against the wrong choice between the attestations of two
// daemons. It also guards against a heartbeat that renews outdated states, after
// the message with the changed states was lost.
func TestOwners(t *testing.T) {
	old, next := newReplica("r", 5, "a"), newReplica("r", 6, "a")
	type step struct {
		owner   int
		replica report.Replica
		ready   bool
		lost    bool
	}
	tests := map[string]struct {
		steps   []step
		serving bool
		epoch   unit.Epoch
	}{
		"younger serving wins over older stopped":                {[]step{{0, old, false, false}, {1, old, true, false}}, true, 5},
		"younger stopped wins over older serving":                {[]step{{0, old, true, false}, {1, old, false, false}}, false, 5},
		"stopped at a higher epoch wins over serving at a lower": {[]step{{0, next, false, false}, {1, old, true, false}}, false, 6},
		"serving at a higher epoch wins over stopped at a lower": {[]step{{1, next, true, false}, {0, old, false, false}}, true, 6},
		"message with changed states is lost":                    {[]step{{0, old, true, false}, {0, old, false, true}, {0, old, false, false}}, false, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			reader := newTracker(clk, "d2", 1)
			owners := []*replica.Tracker{newTracker(clk, "d0", 1), newTracker(clk, "d1", 1)}
			for i, s := range test.steps {
				tracker := owners[s.owner]
				if _, err := tracker.UpdateAssignment(newAssignment(s.replica.Epoch, s.replica)); err != nil {
					c.Fatal(err)
				}
				reported := newReport(s.replica, 0, 1, unit.Sequence(i+1))
				reported.Ready = s.ready
				tracker.ObserveReport(reported, clk.Now())
				tracker.PublishAttestation(ownsAll)
				if !s.lost {
					// The reader gets attestations and assignments only by
					// exchanges.
					exchange(c, tracker, reader)
				}
				clk.Advance(100 * time.Millisecond)
			}
			s := reader.AttestedStates()[0]
			c.Assert(s.Serving, qt.Equals, test.serving)
			c.Assert(s.Epoch, qt.Equals, test.epoch)
		})
	}
}

// TestMalformed guards against messages that are truncated or of another version
// and stop a daemon or count as empty messages.
func TestMalformed(t *testing.T) {
	tests := map[string][]byte{
		"empty":                          {},
		"JSON only":                      []byte(`{"token":{}}`),
		"truncated header":               {2, 1, 1},
		"heartbeats beyond the end":      {2, 1, 1, 200, 1, 0},
		"truncated heartbeat":            {2, 1, 0, 5, 1, 2, 3, 4, 1},
		"change after the last sequence": {2, 1, 0, 7, 1, 2, 3, 4, 1, 2, 0},
		"body is no JSON":                {2, 1, 0, 0, '['},
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tracker := newTracker(clockwork.NewFakeClock(), "d0", 1)
			_, err := tracker.UpdateAssignment(newAssignment(1, newReplica("r", 1, "a")))
			c.Assert(err, qt.IsNil)
			c.Assert(tracker.Merge("peer", raw), qt.IsNotNil)
			c.Assert(tracker.Delta(raw) == nil, qt.Equals, len(raw) > 0)
		})
	}
}

// BenchmarkAttested measures AttestedStates at a daemon of the largest data
// centre: 54 replicas of 16 instances, attested by 60 daemons. It also reports
// the bytes of the delta for one interval without changes.
func BenchmarkAttested(b *testing.B) {
	c := qt.New(b)
	clk := clockwork.NewFakeClock()
	var replicas []report.Replica
	for n := range 54 {
		var members []ident.Instance
		for k := range 16 {
			members = append(members, ident.Instance(fmt.Sprintf("engine-%02d-%02d", n, k)))
		}
		replicas = append(replicas, newReplica(ident.Replica(fmt.Sprintf("rack/chat/%d", n)), 1, members...))
	}
	reader, relay := newTracker(clk, "reader", 1), newTracker(clk, "relay", 1)
	var owners []*replica.Tracker
	for d := range 60 {
		tracker := newTracker(clk, ident.Instance(fmt.Sprintf("daemon-%02d", d)), 1)
		_, err := tracker.UpdateAssignment(newAssignment(1, replicas...))
		c.Assert(err, qt.IsNil)
		owners = append(owners, tracker)
	}
	bytes := 0
	for sequence := range 2 {
		for d, tracker := range owners {
			for rank := range 16 {
				if d < 54 {
					tracker.ObserveReport(newReport(replicas[d], rank, 1, unit.Sequence(sequence+1)), clk.Now())
				}
			}
			tracker.PublishAttestation(func(r ident.Replica) bool { return d < 54 && r == replicas[d].ID })
			exchange(c, tracker, relay)
		}
		bytes = len(relay.Delta(reader.Digest()))
		exchange(c, relay, reader)
	}
	for b.Loop() {
		reader.AttestedStates()
	}
	b.ReportMetric(float64(bytes), "delta-bytes")
	b.ReportMetric(float64(len(reader.Digest())), "digest-bytes")
}
