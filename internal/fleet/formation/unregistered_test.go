package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

// TestUnregisteredMember guards against a replica that is broken up since the platform has removed
// a member that works, and against one that keeps a member that has failed or leaves.
func TestUnregisteredMember(t *testing.T) {
	tests := map[string]struct {
		// found is what the planner's probe of the member finds.
		found func(tc *testCluster, p *Planner, s *cluster.Server)
		// wantReplaced says that another server takes the member's place.
		wantReplaced bool
	}{
		"it works":           {found: func(*testCluster, *Planner, *cluster.Server) {}},
		"it doesn't answer":  {found: func(tc *testCluster, p *Planner, s *cluster.Server) { failServer(tc, p, s.ID) }, wantReplaced: true},
		"it says it's going": {found: func(tc *testCluster, _ *Planner, s *cluster.Server) { tc.listed.SetLeaving(s) }, wantReplaced: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc, p := newServingCluster(c)
			want := tc.servingReplicas()
			members := nthReplicaMembers(p, "large", 0)
			removed := members[2]
			tc.listed = tc.list()
			tc.listed.Apply(catalog.Update{Removed: []ident.Instance{removed}})
			tc.step(p, false)
			c.Assert(p.Unregistered, qt.HasLen, 1)
			c.Check(tc.servingReplicas(), qt.DeepEquals, want)
			test.found(tc, p, p.Unregistered[0])
			for range int(3 * time.Second / stepInterval) {
				tc.step(p, false)
			}
			c.Check(tc.servingReplicas(), qt.DeepEquals, want)
			_, replacedBy := p.ReplicaOf(members[0])
			c.Check(replacedBy, qt.HasLen, len(members))
			name, _ := p.ReplicaOf(removed)
			c.Check(name == "", qt.Equals, test.wantReplaced)
			c.Check(tc.violations, qt.HasLen, 0)
		})
	}
}
