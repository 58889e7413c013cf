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

// detectionBound is the time within which every daemon must detect that a
// replica has stopped.
const detectionBound = 5 * time.Second

// fakeEngine is an engine with the history of the reports that it would have
// made.
type fakeEngine struct {
	membership  report.Membership
	ready       bool
	failed      bool
	incarnation unit.Incarnation
	sequence    unit.Sequence
	history     []engineState
}

// engineState is what an engine would report from the given time on; ready is
// false while it doesn't answer.
type engineState struct {
	at         time.Time
	membership report.Membership
	ready      bool
}

// delayedMessage is a message that is not delivered yet.
type delayedMessage struct {
	deliver func()
}

// cluster is a group of daemons that probe the same engines. The states that
// the daemons attest are checked against the engines' histories.
type cluster struct {
	clk     *clockwork.FakeClock
	daemons []*replica.Tracker
	// lastIncarnation is the incarnation of the daemon that started last.
	lastIncarnation unit.Incarnation
	engines         map[ident.Instance]*fakeEngine
	assignment      report.Assignment
	// owners has the index of each replica's owner.
	owners  map[ident.Replica]int
	delayed []delayedMessage
}

var instances = []ident.Instance{"a", "b", "c", "d"}

// recordHistory adds the engine's present state to its history.
func (c *cluster) recordHistory(id ident.Instance) {
	e := c.engines[id]
	e.history = append(e.history, engineState{c.clk.Now(), e.membership, e.ready && !e.failed})
}

// reportedWithinBound reports whether the member was ready with its rank in the
// replica at any time within the detection bound.
func (c *cluster) reportedWithinBound(s *replica.State, rank int) bool {
	from := c.clk.Now().Add(-detectionBound)
	history := c.engines[s.Members[rank]].history
	for i := len(history) - 1; i >= 0; i-- {
		membership := history[i].membership
		if history[i].ready && membership.Replica == s.Replica && membership.Epoch == s.Epoch && int(membership.Rank) == rank {
			return true
		}
		if history[i].at.Before(from) {
			return false
		}
	}
	return false
}

// checkServing fails if a daemon counts a replica as serving although a member
// hasn't reported its membership within the detection bound.
func (c *cluster) checkServing(t *rapid.T) {
	for d, tracker := range c.daemons {
		for _, s := range tracker.AttestedStates() {
			if !s.Serving {
				continue
			}
			for rank := range s.Members {
				if !c.reportedWithinBound(&s, rank) {
					t.Fatalf("daemon %d counts replica %s epoch %d as serving, but member %s has not reported it for %s", d, s.Replica, s.Epoch, s.Members[rank], detectionBound)
				}
			}
		}
	}
}

// changeAssignment makes a new assignment. Each of the two replicas keeps its
// members or gets random ones.
func (c *cluster) changeAssignment(t *rapid.T) {
	order := rapid.Permutation(instances).Draw(t, "members")
	next := newAssignment(c.assignment.Epoch + 1)
	for i, id := range []ident.Replica{"r", "s"} {
		members := order[2*i : 2*i+2]
		epoch := next.Epoch
		if rapid.Bool().Draw(t, "keep") && c.assignment.Epoch > 0 {
			old := c.assignment.Replicas[i]
			epoch = old.Epoch
			members = []ident.Instance{old.Members[0].Instance, old.Members[1].Instance}
		}
		next.Replicas = append(next.Replicas, newReplica(id, epoch, members...))
	}
	if next.Check() == nil {
		c.assignment = next
	}
}

// applyOrder lets an engine carry out an order of the current assignment or of
// an older one, since an engine may ignore the fencing of orders.
func (c *cluster) applyOrder(t *rapid.T) {
	id := rapid.SampledFrom(instances).Draw(t, "instance")
	e := c.engines[id]
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		e.membership.Replica = rapid.SampledFrom([]ident.Replica{"r", "s", ""}).Draw(t, "replica")
		e.membership.Epoch = unit.Epoch(rapid.IntRange(1, int(c.assignment.Epoch)).Draw(t, "epoch"))
	} else {
		c.applyAssignment(id)
	}
	e.ready = rapid.IntRange(0, 3).Draw(t, "ready") > 0
	c.recordHistory(id)
}

// applyAssignment gives the engine its membership in the current assignment.
func (c *cluster) applyAssignment(id ident.Instance) {
	for _, r := range c.assignment.Replicas {
		for rank, member := range r.Members {
			if member.Instance == id {
				c.engines[id].membership = newReport(r, rank, 0, 0).Membership
				c.engines[id].ready = true
			}
		}
	}
}

// killOrRestart makes an engine fail or recover. It may recover as a new
// incarnation without a membership.
func (c *cluster) killOrRestart(t *rapid.T) {
	id := rapid.SampledFrom(instances).Draw(t, "instance")
	e := c.engines[id]
	e.failed = !e.failed
	if !e.failed && rapid.Bool().Draw(t, "restarted") {
		e.incarnation++
		e.sequence = 0
		e.membership = report.Membership{}
	}
	c.recordHistory(id)
}

// probeMember requests the report of a member. The answer may arrive after
// newer ones.
func (c *cluster) probeMember(t *rapid.T, daemon int, id ident.Instance) {
	e, tracker, requestedAt := c.engines[id], c.daemons[daemon], c.clk.Now()
	if e.failed {
		return
	}
	e.sequence++
	r := &report.Report{Instance: id, Incarnation: e.incarnation, Sequence: e.sequence, Membership: e.membership, Ready: e.ready}
	c.sendMessage(t, func() { tracker.ObserveReport(r, requestedAt) })
}

// exchange lets the second tracker send its digest to the first one, which
// answers with a delta.
func (c *cluster) exchange(t *rapid.T, from, to *replica.Tracker) {
	digest := to.Digest()
	c.sendMessage(t, func() {
		delta := from.Delta(digest)
		c.sendMessage(t, func() {
			if delta != nil && to.Merge("peer", delta) != nil {
				t.Fatalf("valid delta %s is rejected", delta)
			}
		})
	})
}

// sendMessage delivers a message now or leaves it for deliverDelayed.
func (c *cluster) sendMessage(t *rapid.T, deliver func()) {
	if rapid.IntRange(0, 7).Draw(t, "late") > 0 {
		deliver()
		return
	}
	c.delayed = append(c.delayed, delayedMessage{deliver})
}

// deliverDelayed delivers one of the delayed messages.
func (c *cluster) deliverDelayed(t *rapid.T) {
	if len(c.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.delayed)-1).Draw(t, "message")
	delayed := c.delayed[i]
	c.delayed = append(c.delayed[:i:i], c.delayed[i+1:]...)
	delayed.deliver()
}

// owns returns the function that says which replicas the daemon owns.
func (c *cluster) owns(daemon int) func(ident.Replica) bool {
	return func(r ident.Replica) bool { return c.owners[r] == daemon }
}

// runRound lets all daemons except a paused one probe, publish and exchange.
func (c *cluster) runRound(t *rapid.T) {
	paused := rapid.IntRange(0, 2*len(c.daemons)).Draw(t, "paused")
	for d, tracker := range c.daemons {
		if d == paused {
			continue
		}
		c.probeAndPublish(t, d)
		c.exchange(t, tracker, c.daemons[rapid.IntRange(0, len(c.daemons)-1).Draw(t, "to")])
	}
	c.clk.Advance(time.Duration(rapid.IntRange(100, 1000).Draw(t, "ms")) * time.Millisecond)
}

// probeAndPublish does at one daemon what the plug-in does in a round.
func (c *cluster) probeAndPublish(t *rapid.T, d int) {
	if rapid.Bool().Draw(t, "reads") {
		if _, err := c.daemons[d].UpdateAssignment(c.assignment); err != nil {
			t.Fatalf("%v", err)
		}
	}
	for _, target := range c.daemons[d].ProbeTargets(c.owns(d)) {
		c.probeMember(t, d, target.Instance)
	}
	c.daemons[d].PublishAttestation(c.owns(d))
}

// newCluster returns three daemons and four engines that carry out the first
// assignment.
func newCluster(t *rapid.T) *cluster {
	c := &cluster{clk: clockwork.NewFakeClock(), engines: map[ident.Instance]*fakeEngine{}, owners: map[ident.Replica]int{}}
	for range 3 {
		c.lastIncarnation++
		c.daemons = append(c.daemons, newTracker(c.clk, ident.Instance(fmt.Sprint("d", len(c.daemons))), c.lastIncarnation))
	}
	c.changeAssignment(t)
	for _, id := range instances {
		c.engines[id] = &fakeEngine{incarnation: 1}
		c.applyAssignment(id)
		c.recordHistory(id)
	}
	return c
}

// TestDetectionBound guards against a daemon that counts a replica as serving
// for longer than the detection bound after a member stopped reporting it, and
// so against two serving replicas that share an instance. Engines fail, restart
// or carry out old orders, the owners of replicas change, daemons pause or
// restart, and messages are delayed.
func TestDetectionBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		actions := map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				c.clk.Advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"round":           c.runRound,
			"round 2":         c.runRound,
			"round 3":         c.runRound,
			"deliver":         c.deliverDelayed,
			"kill or restart": c.killOrRestart,
			"apply order":     c.applyOrder,
			"assign":          c.changeAssignment,
			"change owner": func(t *rapid.T) {
				r := rapid.SampledFrom([]ident.Replica{"r", "s"}).Draw(t, "replica")
				c.owners[r] = rapid.IntRange(0, len(c.daemons)-1).Draw(t, "owner")
			},
			"restart daemon": func(t *rapid.T) {
				d := rapid.IntRange(0, len(c.daemons)-1).Draw(t, "daemon")
				c.lastIncarnation++
				c.daemons[d] = newTracker(c.clk, ident.Instance(fmt.Sprint("d", d)), c.lastIncarnation)
			},
			"": c.checkServing,
		}
		// A single sequence of actions rarely takes a replica from serving to a
		// fault and back.
		for range 5 {
			t.Repeat(actions)
		}
	})
}

// TestHandover guards against a replica that stops serving when its owner
// changes, although its members continue to report.
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
		for d, tracker := range trackers {
			if step == 0 {
				_, err := tracker.UpdateAssignment(newAssignment(1, r))
				c.Assert(err, qt.IsNil)
			}
			owns := func(ident.Replica) bool { return d == owner }
			// After a change of the owner, the first probes are answered only
			// after the new owner has published its first attestation.
			tracker.PublishAttestation(owns)
			for rank := range tracker.ProbeTargets(owns) {
				tracker.ObserveReport(newReport(r, rank, 1, unit.Sequence(step+1)), clk.Now())
			}
			for _, to := range trackers {
				if to != tracker {
					exchange(c, tracker, to)
				}
			}
		}
		clk.Advance(500 * time.Millisecond)
		for _, tracker := range trackers {
			c.Assert(step < 2 || tracker.AttestedStates()[0].Serving, qt.IsTrue, qt.Commentf("step %d", step))
		}
	}
}
