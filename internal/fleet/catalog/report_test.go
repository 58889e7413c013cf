package catalog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/unit"
)

// TestReportOrder guards against a report that is older than what is known of the server and
// replaces it, so that a server that has left a replica counts as a member again.
func TestReportOrder(t *testing.T) {
	const age = 200 * time.Millisecond
	member := func(epoch unit.Epoch) *cluster.Membership {
		return &cluster.Membership{Replica: "r", Epoch: epoch, Model: "m", State: cluster.Ready}
	}
	tests := map[string]struct {
		known, reported *cluster.Membership
		// readAfter is the time from the registration to the report.
		readAfter time.Duration
		want      bool
	}{
		"has joined since":                    {reported: member(3), readAfter: time.Second, want: true},
		"has left since":                      {known: member(3), readAfter: time.Second, want: true},
		"at a later epoch, read soon":         {known: member(3), reported: member(4), want: true},
		"at an earlier epoch, read later":     {known: member(3), reported: member(2), readAfter: time.Second},
		"had not left, read soon":             {reported: member(3), readAfter: age / 2},
		"had not joined, read soon":           {known: member(3), readAfter: age / 2},
		"had not left, as old as it may be":   {reported: member(3), readAfter: age, want: true},
		"same membership again":               {known: member(3), reported: member(3), readAfter: time.Second},
		"had not joined, read before it came": {known: member(3), readAfter: -time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			cat := New(clk)
			config := newConfig(1)
			config.Services[llm].Engine.ReportAge = age
			listed := cluster.Server{ID: "a", Service: llm, Address: "a", Incarnation: 7, Membership: test.known, AsOf: clk.Now()}
			cat.Apply(Update{Config: config, Servers: []*cluster.Server{&listed}})
			reported := listed
			reported.Membership, reported.AsOf = test.reported, clk.Now().Add(test.readAfter)
			c.Check(cat.ApplyReport(&reported), qt.Equals, test.want)
		})
	}
}
