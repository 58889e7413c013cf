package replica_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/replica"
)

// detectionBound is the time within which every daemon must notice.
const detectionBound = 5 * time.Second

// fakeEngine is a member. Its history tells what it would have reported when.
type fakeEngine struct {
	placement   report.Placement
	ready       bool
	failed      bool
	incarnation unit.Incarnation
	sequence    unit.Sequence
	history     []engineState
}

type engineState struct {
	at        time.Time
	placement report.Placement
	ready     bool
}

// delayedMessage is a message on its way.
type delayedMessage struct {
	deliver func()
}

// cluster is several daemons over the same members. The oracle is the members'
// own history.
type cluster struct {
	clk        *clockwork.FakeClock
	daemons    []*replica.Tracker
	lastBoot   unit.Incarnation
	engines    map[ident.Instance]*fakeEngine
	assignment report.Assignment
	owners     map[ident.Replica]int
	delayed    []delayedMessage
}

var instances = []ident.Instance{"a", "b", "c", "d"}

func (m *cluster) recordHistory(id ident.Instance) {
	e := m.engines[id]
	e.history = append(e.history, engineState{m.clk.Now(), e.placement, e.ready && !e.failed})
}

// reportedWithinBound returns whether the member stood for the place at some time in the
// last bound.
func (m *cluster) reportedWithinBound(s *replica.State, rank int) bool {
	from := m.clk.Now().Add(-detectionBound)
	h := m.engines[s.Members[rank]].history
	for i := len(h) - 1; i >= 0; i-- {
		p := h[i].placement
		if h[i].ready && p.Replica == s.Replica && p.Epoch == s.Epoch && int(p.Rank) == rank {
			return true
		}
		if h[i].at.Before(from) {
			return false
		}
	}
	return false
}

func (m *cluster) checkServing(t *rapid.T) {
	for d, tr := range m.daemons {
		for _, s := range tr.AttestedStates() {
			if !s.Serving {
				continue
			}
			for rank := range s.Members {
				if !m.reportedWithinBound(&s, rank) {
					t.Fatalf("daemon %d: replica %s epoch %d serves, but %s has not reported it for %s", d, s.Replica, s.Epoch, s.Members[rank], detectionBound)
				}
			}
		}
	}
}

// assign writes a new assignment with random members of the two replicas.
func (m *cluster) assign(t *rapid.T) {
	order := rapid.Permutation(instances).Draw(t, "members")
	next := newAssignment(m.assignment.Epoch + 1)
	for i, id := range []ident.Replica{"r", "s"} {
		members := order[2*i : 2*i+2]
		epoch := next.Epoch
		if rapid.Bool().Draw(t, "keep") && m.assignment.Epoch > 0 {
			old := m.assignment.Replicas[i]
			epoch = old.Epoch
			members = []ident.Instance{old.Members[0].Instance, old.Members[1].Instance}
		}
		next.Replicas = append(next.Replicas, newReplica(id, epoch, members...))
	}
	if next.Check() == nil {
		m.assignment = next
	}
}

// applyOrder lets a member obey an order of the current assignment, or of any other
// place: an engine may ignore the fencing number.
func (m *cluster) applyOrder(t *rapid.T) {
	id := rapid.SampledFrom(instances).Draw(t, "instance")
	e := m.engines[id]
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		e.placement.Replica = rapid.SampledFrom([]ident.Replica{"r", "s", ""}).Draw(t, "replica")
		e.placement.Epoch = unit.Epoch(rapid.IntRange(1, int(m.assignment.Epoch)).Draw(t, "epoch"))
	} else {
		m.applyAssignment(id)
	}
	e.ready = rapid.IntRange(0, 3).Draw(t, "ready") > 0
	m.recordHistory(id)
}

func (m *cluster) applyAssignment(id ident.Instance) {
	for _, r := range m.assignment.Replicas {
		for rank, member := range r.Members {
			if member.Instance == id {
				m.engines[id].placement = newReport(r, rank, 0, 0).Placement
				m.engines[id].ready = true
			}
		}
	}
}

// killOrRestart, or start again with reports that begin anew.
func (m *cluster) killOrRestart(t *rapid.T) {
	id := rapid.SampledFrom(instances).Draw(t, "instance")
	e := m.engines[id]
	e.failed = !e.failed
	if !e.failed && rapid.Bool().Draw(t, "restarted") {
		e.incarnation++
		e.sequence = 0
		e.placement = report.Placement{}
	}
	m.recordHistory(id)
}

// probe reads a member. The answer may arrive later, after newer ones.
func (m *cluster) probe(t *rapid.T, daemon int, id ident.Instance) {
	e, tr, requestedAt := m.engines[id], m.daemons[daemon], m.clk.Now()
	if e.failed {
		return
	}
	e.sequence++
	r := &report.Report{Instance: id, Incarnation: e.incarnation, Sequence: e.sequence, Placement: e.placement, Ready: e.ready}
	m.send(t, func() { tr.ObserveReport(r, requestedAt) })
}

func (m *cluster) exchange(t *rapid.T, from, to *replica.Tracker) {
	digest := to.Digest()
	m.send(t, func() {
		d := from.Delta(digest)
		m.send(t, func() {
			if d != nil && to.Merge("peer", d) != nil {
				t.Fatalf("delta %s is rejected", d)
			}
		})
	})
}

func (m *cluster) send(t *rapid.T, deliver func()) {
	if rapid.IntRange(0, 7).Draw(t, "late") > 0 {
		deliver()
		return
	}
	m.delayed = append(m.delayed, delayedMessage{deliver})
}

func (m *cluster) deliver(t *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "message")
	l := m.delayed[i]
	m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
	l.deliver()
}

func (m *cluster) owns(daemon int) func(ident.Replica) bool {
	return func(r ident.Replica) bool { return m.owners[r] == daemon }
}

// round lets the daemons probe, publish and exchange, but for a paused one.
func (m *cluster) round(t *rapid.T) {
	paused := rapid.IntRange(0, 2*len(m.daemons)).Draw(t, "paused")
	for d, tr := range m.daemons {
		if d == paused {
			continue
		}
		m.probeAndPublish(t, d)
		m.exchange(t, tr, m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "to")])
	}
	m.clk.Advance(time.Duration(rapid.IntRange(100, 1000).Draw(t, "ms")) * time.Millisecond)
}

// probeAndPublish probes and publishes as the plug-in does, at one daemon.
func (m *cluster) probeAndPublish(t *rapid.T, d int) {
	if rapid.Bool().Draw(t, "reads") {
		if _, err := m.daemons[d].UpdateAssignment(m.assignment); err != nil {
			t.Fatalf("%v", err)
		}
	}
	for _, target := range m.daemons[d].ProbeTargets(m.owns(d)) {
		m.probe(t, d, target.Instance)
	}
	m.daemons[d].PublishAttestation(m.owns(d))
}

func newCluster(t *rapid.T) *cluster {
	m := &cluster{clk: clockwork.NewFakeClock(), engines: map[ident.Instance]*fakeEngine{}, owners: map[ident.Replica]int{}}
	for range 3 {
		m.lastBoot++
		m.daemons = append(m.daemons, newTracker(m.clk, ident.Instance(fmt.Sprint("d", len(m.daemons))), m.lastBoot))
	}
	m.assign(t)
	for _, id := range instances {
		m.engines[id] = &fakeEngine{incarnation: 1}
		m.applyAssignment(id)
		m.recordHistory(id)
	}
	return m
}

// TestMachine guards against any daemon that takes a replica for serving longer
// than the bound after a member stopped to report it, and so against two
// replicas that share an instance.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCluster(t)
		actions := map[string]func(*rapid.T){
			"pause": func(t *rapid.T) {
				m.clk.Advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"round":   m.round,
			"round 2": m.round,
			"round 3": m.round,
			"deliver": m.deliver,
			"kill":    m.killOrRestart,
			"obey":    m.applyOrder,
			"assign":  m.assign,
			"own": func(t *rapid.T) {
				r := rapid.SampledFrom([]ident.Replica{"r", "s"}).Draw(t, "replica")
				m.owners[r] = rapid.IntRange(0, len(m.daemons)-1).Draw(t, "owner")
			},
			"restart": func(t *rapid.T) {
				d := rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")
				m.lastBoot++
				m.daemons[d] = newTracker(m.clk, ident.Instance(fmt.Sprint("d", d)), m.lastBoot)
			},
			"": m.checkServing,
		}
		// One run of the steps alone rarely gets from serving to a fault and
		// back.
		for range 5 {
			t.Repeat(actions)
		}
	})
}

// TestHandover guards against an interruption when the ownership of a replica
// moves, while its members report without a break.
func TestHandover(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	r := newReplica("r", 1, "a", "b")
	trackers := []*replica.Tracker{newTracker(clk, "d0", 1), newTracker(clk, "d1", 1), newTracker(clk, "d2", 1)}
	owner := 0
	for step := range 60 {
		if step%10 == 9 {
			owner = 1 - owner
		}
		for d, tr := range trackers {
			if step == 0 {
				_, err := tr.UpdateAssignment(newAssignment(1, r))
				c.Assert(err, qt.IsNil)
			}
			owns := func(ident.Replica) bool { return d == owner }
			// The first probes after a move are answered in the next round.
			tr.PublishAttestation(owns)
			for rank := range tr.ProbeTargets(owns) {
				tr.ObserveReport(newReport(r, rank, 1, unit.Sequence(step+1)), clk.Now())
			}
			for _, to := range trackers {
				if to != tr {
					exchange(c, tr, to)
				}
			}
		}
		clk.Advance(500 * time.Millisecond)
		for _, tr := range trackers {
			c.Assert(step < 2 || tr.AttestedStates()[0].Serving, qt.IsTrue, qt.Commentf("step %d", step))
		}
	}
}
