package catalog

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/unit"
)

// TestStateOrder guards against a known epoch of a server that goes back, whatever the order in
// which its registrations, its reports and what other daemons announce arrive, late and more than
// once. Registrations keep their order, but may be long behind reports.
func TestStateOrder(t *testing.T) {
	const (
		age  = 200 * time.Millisecond
		step = 100 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		clk := clockwork.NewFakeClock()
		cat := New(clk)
		config := newConfig(1)
		config.Services[llm].Engine.ReportAge = age
		// states has what the server was in, one state each step.
		states := []cluster.Server{{ID: "a", Service: llm, Address: "a", Incarnation: 7}}
		epoch := unit.Epoch(0)
		cat.Apply(Update{Config: config, Servers: []*cluster.Server{&states[0]}, Synced: true})
		registered, known := 0, unit.Epoch(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clk.Advance(step)
			next := states[len(states)-1]
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0:
				epoch += unit.Epoch(rapid.IntRange(1, 3).Draw(t, "epochs"))
				next.Membership = &cluster.Membership{Replica: "r", Epoch: epoch, Model: "m", State: cluster.Ready}
			case 1:
				next.Membership = nil
			}
			states = append(states, next)
			last := len(states) - 1
			switch rapid.IntRange(0, 3).Draw(t, "source") {
			case 0:
				registered = rapid.IntRange(registered, last).Draw(t, "registered")
				s := states[registered]
				s.ReceivedAt, s.AsOf = clk.Now(), clk.Now()
				cat.Apply(Update{Servers: []*cluster.Server{&s}})
			case 1:
				readAgo := rapid.IntRange(0, min(last, 10)).Draw(t, "readAgo")
				lag := rapid.IntRange(0, min(last-readAgo, int(age/step))).Draw(t, "lag")
				s := states[last-readAgo-lag]
				s.AsOf = clk.Now().Add(-time.Duration(readAgo) * step)
				cat.ApplyReport(&s)
			case 2:
				if m := states[rapid.IntRange(0, last).Draw(t, "announced")].Membership; m != nil {
					cat.ApplyFormations([]cluster.Formation{{Replica: m.Replica, Epoch: m.Epoch, Model: m.Model, Members: []cluster.FormationMember{{ID: "a", Incarnation: 7}}}})
				}
			}
			if s := cat.Current().Server("a"); s.Membership != nil {
				if s.Membership.Epoch < known {
					t.Fatalf("the known epoch went back from %d to %d", known, s.Membership.Epoch)
				}
				known = s.Membership.Epoch
			}
		}
		clk.Advance(time.Second)
		final := states[len(states)-1]
		final.AsOf = clk.Now()
		cat.ApplyReport(&final)
		if got := epochOf(cat.Current().Server("a")); got != epochOf(&final) {
			t.Fatalf("the known epoch is %d after the last report, want %d", got, epochOf(&final))
		}
	})
}
