package cli

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/caller/operator"
	"cuminbay/internal/domain/ident"
)

// TestSplitUnconfirmed guards against a command that waits for daemons that can't be reached,
// and against one that doesn't wait for a daemon that answers and has an older revision.
func TestSplitUnconfirmed(t *testing.T) {
	active := operator.Confirmation{Instance: "a", Revision: 7, Active: true}
	older := operator.Confirmation{Instance: "b", Revision: 6}
	unreachable := operator.Confirmation{Instance: "c", Reason: "connection refused"}
	tests := map[string]struct {
		list                         []operator.Confirmation
		wantPending, wantUnreachable []ident.Instance
	}{
		"all active":           {list: []operator.Confirmation{active}},
		"older revision":       {list: []operator.Confirmation{active, older}, wantPending: []ident.Instance{"b"}},
		"unreachable":          {list: []operator.Confirmation{active, unreachable}, wantUnreachable: []ident.Instance{"c"}},
		"one of each":          {list: []operator.Confirmation{unreachable, older, active}, wantPending: []ident.Instance{"b"}, wantUnreachable: []ident.Instance{"c"}},
		"no other daemons yet": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			pending, unreachable := splitUnconfirmed(test.list)
			c.Check(instancesOf(pending), qt.DeepEquals, test.wantPending)
			c.Check(instancesOf(unreachable), qt.DeepEquals, test.wantUnreachable)
		})
	}
}

func instancesOf(list []operator.Confirmation) []ident.Instance {
	var instances []ident.Instance
	for _, c := range list {
		instances = append(instances, c.Instance)
	}
	return instances
}
