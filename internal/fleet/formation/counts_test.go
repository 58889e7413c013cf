package formation

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReplicaCounts guards against a log that shows replicas without servers to complete them as
// serving or joining.
func TestReplicaCounts(t *testing.T) {
	tests := map[string]struct {
		failed []int
		want   []ReplicaCount
	}{
		"all serve":                     {want: []ReplicaCount{{Model: "large", Serving: 7, Staged: 4}, {Model: "small", Serving: 7, Staged: 1}}},
		"one rejoins with a spare":      {failed: []int{2}, want: []ReplicaCount{{Model: "large", Serving: 6, Joining: 1, Staged: 3}, {Model: "small", Serving: 7, Staged: 1}}},
		"one lacks more than are there": {failed: []int{1, 2, 3}, want: []ReplicaCount{{Model: "large", Serving: 6, Waiting: 1, Staged: 4}, {Model: "small", Serving: 7, Staged: 1}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc, p := newServingCluster(c)
			members := nthReplicaMembers(p, "large", 0)
			for _, rank := range test.failed {
				failServer(tc, p, members[rank])
			}
			tc.step(p, false)
			c.Check(p.ReplicaCounts(tc.config.Services["llm"]), qt.DeepEquals, test.want)
		})
	}
}
