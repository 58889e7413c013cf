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

func newTracker(clk clockwork.Clock, self ident.Instance, boot unit.Incarnation) *replica.Tracker {
	return replica.NewTracker(replica.Options{
		Clock: clk, Self: self, DataCentre: "kirtipur", Boot: boot,
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

func newReport(r report.Replica, rank int, boot unit.Incarnation, sequence unit.Sequence) *report.Report {
	return &report.Report{
		Instance: r.Members[rank].Instance, Incarnation: boot, Sequence: sequence, Ready: true,
		Placement: report.Placement{
			Replica: r.ID, Epoch: r.Epoch, Rank: unit.Rank(rank), Model: r.Model, Version: r.Version,
		},
	}
}

func ownsAll(ident.Replica) bool { return true }

// exchange lets to learn what from knows.
func exchange(c *qt.C, from, to *replica.Tracker) {
	if d := from.Delta(to.Digest()); d != nil {
		c.Assert(to.Merge("peer", d), qt.IsNil)
	}
}

// TestServingRule guards against a replica that serves although a member
// reports something else, or nothing that is fresh.
func TestServingRule(t *testing.T) {
	r := newReplica("r", 5, "a", "b")
	tests := map[string]struct {
		change func(*report.Report)
		age    time.Duration
		reason string
	}{
		"complete":        {},
		"other replica":   {change: func(p *report.Report) { p.Replica = "x" }, reason: "reports another replica"},
		"idle":            {change: func(p *report.Report) { p.Placement = report.Placement{} }, reason: "reports another replica"},
		"older epoch":     {change: func(p *report.Report) { p.Epoch = 4 }, reason: "reports another epoch"},
		"rank":            {change: func(p *report.Report) { p.Rank = 0 }, reason: "reports another rank"},
		"model":           {change: func(p *report.Report) { p.Model = "n" }, reason: "reports another model"},
		"version":         {change: func(p *report.Report) { p.Version = "2" }, reason: "reports another model"},
		"adapters":        {change: func(p *report.Report) { p.Adapters = []ident.Adapter{"z"} }, reason: "reports another model"},
		"role":            {change: func(p *report.Report) { p.Role = report.Prefill }, reason: "reports another role"},
		"loading":         {change: func(p *report.Report) { p.Ready = false }, reason: "not ready"},
		"just not stale":  {age: 2*time.Second - 1},
		"stale":           {age: 2 * time.Second, reason: "stale report"},
		"older than seen": {change: func(p *report.Report) { p.Incarnation, p.Replica = 0, "x" }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			tr := newTracker(clk, "d1", 1)
			_, err := tr.UpdateAssignment(newAssignment(7, r))
			c.Assert(err, qt.IsNil)
			p := newReport(r, 1, 1, 9)
			requestedAt := clk.Now()
			if test.change != nil {
				tr.ObserveReport(newReport(r, 1, 1, 8), requestedAt)
				test.change(p)
			}
			tr.ObserveReport(p, requestedAt)
			clk.Advance(test.age)
			tr.ObserveReport(newReport(r, 0, 1, 1), clk.Now())
			tr.PublishAttestation(ownsAll)
			s := tr.AttestedStates()[0]
			c.Assert(s.Serving, qt.Equals, test.reason == "")
			if test.reason != "" {
				clk.Advance(2 * time.Second)
				tr.ObserveReport(newReport(r, 0, 1, 2), clk.Now())
				if test.age == 0 {
					again := *p
					again.Sequence++
					tr.ObserveReport(&again, clk.Now())
				}
				tr.PublishAttestation(ownsAll)
				c.Assert(tr.AttestedStates()[0].UnreadyMembers, qt.DeepEquals, []report.UnreadyMember{{Instance: "b", Reason: test.reason}})
			}
		})
	}
}

// TestAttestationAge guards against a delta that was held up on its way, or
// read late after a pause, being taken for fresh.
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
// changed, which would exceed the bytes that the exchange may take.
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

type fakeDrains map[ident.Instance]bool

func (o fakeDrains) DataCentreDrained(ident.DataCentre) bool { return o["centre"] }
func (o fakeDrains) InstanceDrained(i ident.Instance) bool   { return o[i] }

// TestEndpoints guards against new work for a replica that is leaving, out of
// service in part, or without a record.
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
		"warm":             {limit: 8},
		"cold":             {change: func(s *replica.State) { s.Cold = true }, limit: 8, cold: true},
		"leaving":          {change: func(s *replica.State) { s.Draining = true }},
		"stopped":          {change: func(s *replica.State) { s.Serving = false }},
		"no record":        {change: func(s *replica.State) { s.Deployment = "x" }},
		"member out":       {drained: fakeDrains{"b": true}},
		"data centre out":  {drained: fakeDrains{"centre": true}},
		"other member out": {drained: fakeDrains{"c": true}, limit: 8},
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
			// What a cold endpoint gets is granted out of its cold limit.
			c.Assert(got[0].Cold, qt.Equals, test.cold)
			c.Assert(got[0].ColdLimit, qt.Equals, d.ColdLimit)
			c.Assert(got[0].Models, qt.DeepEquals, []ident.Model{"m", "z"})
		})
	}
}

// TestOwners guards against the wrong choice between the attestations of two
// daemons, and against states that belong to another sequence.
func TestOwners(t *testing.T) {
	old, next := newReplica("r", 5, "a"), newReplica("r", 6, "a")
	type step struct {
		owner    int
		replica  report.Replica
		ready    bool
		withheld bool
	}
	tests := map[string]struct {
		steps   []step
		serving bool
		epoch   unit.Epoch
	}{
		"younger serving beats older stopped":  {[]step{{0, old, false, false}, {1, old, true, false}}, true, 5},
		"younger stopped beats older serving":  {[]step{{0, old, true, false}, {1, old, false, false}}, false, 5},
		"higher epoch stopped beats the lower": {[]step{{0, next, false, false}, {1, old, true, false}}, false, 6},
		"higher epoch serving beats the lower": {[]step{{1, next, true, false}, {0, old, false, false}}, true, 6},
		"lost change of the states":            {[]step{{0, old, true, false}, {0, old, false, true}, {0, old, false, false}}, false, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			reader := newTracker(clk, "d2", 1)
			owners := []*replica.Tracker{newTracker(clk, "d0", 1), newTracker(clk, "d1", 1)}
			for i, s := range test.steps {
				tr := owners[s.owner]
				if _, err := tr.UpdateAssignment(newAssignment(s.replica.Epoch, s.replica)); err != nil {
					c.Fatal(err)
				}
				p := newReport(s.replica, 0, 1, unit.Sequence(i+1))
				p.Ready = s.ready
				tr.ObserveReport(p, clk.Now())
				tr.PublishAttestation(ownsAll)
				if !s.withheld {
					// The attestations alone decide: the assignment is
					// left to the last step.
					exchange(c, tr, reader)
				}
				clk.Advance(100 * time.Millisecond)
			}
			s := reader.AttestedStates()[0]
			c.Assert(s.Serving, qt.Equals, test.serving)
			c.Assert(s.Epoch, qt.Equals, test.epoch)
		})
	}
}

// TestMalformed guards against messages of another version, or cut off ones, that
// stop a daemon or are taken for ones that say nothing.
func TestMalformed(t *testing.T) {
	tests := map[string][]byte{
		"empty":              {},
		"JSON":               []byte(`{"token":{}}`),
		"header cut off":     {2, 1, 1},
		"beats beyond end":   {2, 1, 1, 200, 1, 0},
		"beat cut off":       {2, 1, 0, 5, 1, 2, 3, 4, 1},
		"changed after last": {2, 1, 0, 7, 1, 2, 3, 4, 1, 2, 0},
		"rest is no JSON":    {2, 1, 0, 0, '['},
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tr := newTracker(clockwork.NewFakeClock(), "d0", 1)
			_, err := tr.UpdateAssignment(newAssignment(1, newReplica("r", 1, "a")))
			c.Assert(err, qt.IsNil)
			c.Assert(tr.Merge("peer", raw), qt.IsNotNil)
			c.Assert(tr.Delta(raw) == nil, qt.Equals, len(raw) > 0)
		})
	}
}

// BenchmarkAttested is a daemon of the largest data centre: 54 replicas of 16
// instances, attested by 60 daemons. It reports the bytes of the delta of one
// interval in which nothing changed.
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
		tr := newTracker(clk, ident.Instance(fmt.Sprintf("daemon-%02d", d)), 1)
		_, err := tr.UpdateAssignment(newAssignment(1, replicas...))
		c.Assert(err, qt.IsNil)
		owners = append(owners, tr)
	}
	bytes := 0
	for sequence := range 2 {
		for d, tr := range owners {
			for rank := range 16 {
				if d < 54 {
					tr.ObserveReport(newReport(replicas[d], rank, 1, unit.Sequence(sequence+1)), clk.Now())
				}
			}
			tr.PublishAttestation(func(r ident.Replica) bool { return d < 54 && r == replicas[d].ID })
			exchange(c, tr, relay)
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
