package formation

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
)

// TestDataCentreCutOff guards against orders to replicas that went on serving in a data
// centre that was cut off, when it can be reached again. Their members return one after
// the other.
func TestDataCentreCutOff(t *testing.T) {
	tests := map[string]struct {
		// newTerm says that another planner takes over when some members have
		// returned.
		newTerm bool
		// lost is the number of members of one replica that don't return.
		lost int
		// rejoins says that the other members of that replica get orders.
		rejoins bool
	}{
		"all members return":                     {},
		"another planner takes over":             {newTerm: true},
		"one member does not return":             {lost: 1, rejoins: true},
		"one does not return to another planner": {newTerm: true, lost: 1, rejoins: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc, p := newServingCluster(c)
			want := tc.servingReplicas()
			cut, orders := tc.cutOff("z0"), make(map[ident.Instance]int)
			for _, id := range cut {
				orders[id] = tc.servers[id].orderCount
			}
			for range 80 {
				tc.step(p, false)
			}
			incomplete := tc.servers[cut[0]].Membership.Replica
			for i, id := range cut[test.lost:] {
				tc.servers[id].cutOff = false
				if test.newTerm && i == len(cut)/2 {
					p = NewPlanner(testOptions(), 11, tc.now)
				}
				tc.step(p, false)
			}
			for range 60 {
				tc.step(p, false)
			}
			if test.lost == 0 {
				c.Check(tc.servingReplicas(), qt.DeepEquals, want)
			}
			rejoined := false
			for _, id := range cut[test.lost:] {
				server := tc.servers[id]
				switch isMember := server.Membership != nil; {
				case isMember && server.Membership.Replica == incomplete:
					rejoined = rejoined || server.orderCount > orders[id]
				case isMember && test.lost == 0:
					c.Check(server.orderCount, qt.Equals, orders[id], qt.Commentf("%s", id))
				}
			}
			c.Check(rejoined, qt.Equals, test.rejoins)
			c.Check(tc.violations, qt.HasLen, 0)
		})
	}
}

// TestReturnAfterReplacement guards against a planner that ends the process when two members
// return to a replica that has replaced one of them.
func TestReturnAfterReplacement(t *testing.T) {
	c := qt.New(t)
	tc, p := newServingCluster(c)
	want := tc.servingReplicas()
	members := nthReplicaMembers(p, "large", 0)
	first, second := tc.servers[members[1]], tc.servers[members[2]]
	first.cutOff = true
	// The second member is cut off before the order to join reaches it.
	membership := *second.Membership
	tc.step(p, false)
	second.Membership, second.nextState, second.cutOff = &membership, "", true
	for range 10 {
		tc.step(p, false)
	}
	first.cutOff, second.cutOff = false, false
	for range 120 {
		tc.step(p, false)
	}
	c.Check(tc.servingReplicas(), qt.DeepEquals, want)
	c.Check(tc.violations, qt.HasLen, 0)
}
