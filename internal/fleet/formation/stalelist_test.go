package formation

import (
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

// TestStaleList guards against a planner of a new term that takes the list of the platform for the
// present state of the servers, and joins a server to a replica while the one that it has joined
// since, during an outage of the platform, serves. It also guards against one that knows a replica
// that serves by one of its members only, and dissolves it to complete another one.
func TestStaleList(t *testing.T) {
	tests := map[string]struct {
		// noticed are the replicas whose lost heads the new planner knows of at first.
		noticed []int
		// dissolved says that the earlier planner has dissolved the first replica since.
		dissolved bool
	}{
		"loss of the other replica noticed":          {noticed: []int{0}},
		"loss of the repaired replica noticed":       {noticed: []int{1}},
		"both losses noticed":                        {noticed: []int{0, 1}},
		"no loss noticed":                            {},
		"dissolved since, its loss noticed":          {noticed: []int{0}, dissolved: true},
		"dissolved since, loss of the other noticed": {noticed: []int{1}, dissolved: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc := newTestCluster(1, 7, testModels()[1])
			p := runFirstStart(c, tc, map[ident.Model]int{"small": 2})
			replicas := replicasOfOneDomain(p, "small")
			lostHeads := []ident.Instance{replicas[0].members[0], replicas[1].members[0]}
			if test.dissolved {
				replicas[0].setPhase(dissolving, tc.now)
			}
			stale := tc.list()
			tc.listed = tc.list()
			failServer(tc, p, lostHeads[1])
			for range 100 {
				tc.step(p, false)
			}
			failServer(tc, p, lostHeads[0])

			tc.listed, tc.strictLeave = stale, true
			next := NewPlanner(testOptions(), 11, tc.now)
			for _, i := range test.noticed {
				next.MarkUnreachable(&cluster.Server{ID: lostHeads[i], Incarnation: tc.servers[lostHeads[i]].Incarnation})
			}
			for range 20 {
				tc.step(next, false)
			}
			tc.listed = nil
			for _, id := range lostHeads {
				next.MarkUnreachable(&cluster.Server{ID: id, Incarnation: tc.servers[id].Incarnation})
			}
			for range 200 {
				tc.step(next, false)
			}
			c.Check(tc.violations, qt.HasLen, 0)
			c.Check(tc.servingReplicas(), qt.DeepEquals, map[ident.Model]int{"small": 1})
		})
	}
}

// TestConfirm guards against an order to join that relies on an entry, and against reports that are
// read although nobody else can have changed the server's membership.
func TestConfirm(t *testing.T) {
	tests := map[string]struct {
		operation cluster.Operation
		// accepted is the membership after the last order that the server has accepted, nil
		// if it has accepted none. The known membership is none.
		accepted *acceptedMembership
		fenced   bool
		// firstStart says that the system starts for the first time.
		firstStart bool
		want       bool
	}{
		"first join of the term":          {operation: cluster.JoinReplica, fenced: true, want: true},
		"left in this term":               {operation: cluster.JoinReplica, fenced: true, accepted: &acceptedMembership{incarnation: 7}},
		"left before a restart":           {operation: cluster.JoinReplica, fenced: true, accepted: &acceptedMembership{incarnation: 6}, want: true},
		"joined another one in this term": {operation: cluster.JoinReplica, fenced: true, accepted: &acceptedMembership{7, "s", 5}, want: true},
		"tokens that servers don't check": {operation: cluster.JoinReplica, accepted: &acceptedMembership{incarnation: 7}, want: true},
		"first start of the system":       {operation: cluster.JoinReplica, fenced: true, firstStart: true},
		"order to leave":                  {operation: cluster.LeaveReplica, fenced: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc := newTestCluster(1, 1, testModels()[1])
			tc.servers["d0-00"].Incarnation = 7
			p := NewPlanner(Options{Fenced: test.fenced}, 10, tc.now)
			p.snapshot = tc.snapshot()
			p.loads.bootstrap = test.firstStart
			if test.accepted != nil {
				p.accepted["d0-00"] = *test.accepted
			}
			p.issueOrder("d0-00", cluster.Order{Operation: test.operation, Replica: "r", Epoch: 1})
			c.Assert(p.commands, qt.HasLen, 1)
			c.Check(p.commands[0].Confirm, qt.Equals, test.want)
		})
	}
}

// TestStaleListInAnyOrder is TestStaleList with servers that register again, and losses that are
// noticed, in any order within the time of a heartbeat and more.
func TestStaleListInAnyOrder(t *testing.T) {
	const steps = 30
	rapid.Check(t, func(t *rapid.T) {
		tc := newTestCluster(1, 7, testModels()[1])
		p := NewPlanner(testOptions(), 10, tc.now)
		for range 80 {
			tc.step(p, true)
		}
		replicas := replicasOfOneDomain(p, "small")
		lostHeads := []ident.Instance{replicas[0].members[0], replicas[1].members[0]}
		tc.listed = tc.list()
		stale := tc.list()
		failServer(tc, p, lostHeads[1])
		for range 100 {
			tc.step(p, false)
		}
		failServer(tc, p, lostHeads[0])

		tc.listed, tc.strictLeave = stale, true
		due := make(map[int][]ident.Instance)
		for _, id := range slices.Sorted(maps.Keys(tc.servers)) {
			at := rapid.IntRange(0, steps-1).Draw(t, "step of "+string(id))
			due[at] = append(due[at], id)
		}
		next := NewPlanner(testOptions(), 11, tc.now)
		for i := range steps {
			for _, id := range due[i] {
				if slices.Contains(lostHeads, id) {
					next.MarkUnreachable(&cluster.Server{ID: id, Incarnation: tc.servers[id].Incarnation})
				} else {
					tc.listed.Apply(catalog.Update{Servers: []*cluster.Server{tc.servers[id].report()}})
				}
			}
			tc.step(next, false)
		}
		if len(tc.violations) > 0 {
			t.Fatalf("violated rules: %v", tc.violations)
		}
	})
}
