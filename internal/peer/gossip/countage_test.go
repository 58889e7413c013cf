package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// TestPeerCountAge guards against counts of other daemons that seem newer than they are, and against an
// age although no daemon has reported or all have fallen silent.
func TestPeerCountAge(t *testing.T) {
	const ms = time.Millisecond
	at := hashEndpoint("i", 3)
	report := func(from ident.Instance, n unit.Requests) message {
		m := message{From: from}
		if n > 0 {
			m.Loads = map[endpointHash]endpointLoad{at: {Requests: n}}
		}
		return m
	}
	sum := func(from ident.Instance, n unit.Requests, age time.Duration) message {
		return message{From: from, DataCentreSum: &dataCentreSum{age, map[endpointHash]endpointLoad{at: {Requests: n}}}}
	}
	type step struct {
		message
		wait time.Duration
	}
	tests := map[string]struct {
		steps []step
		after time.Duration
		// want is the age, negative if none is known.
		want time.Duration
	}{
		"nothing received":            {after: 100 * ms, want: -1},
		"just registered":             {want: -1},
		"one daemon":                  {steps: []step{{message: report("b", 2)}}, after: 100 * ms, want: 100 * ms},
		"mean by requests":            {steps: []step{{message: report("b", 3)}, {wait: 200 * ms, message: report("c", 1)}}, after: 100 * ms, want: 250 * ms},
		"no requests":                 {steps: []step{{message: report("b", 0)}, {wait: 200 * ms, message: report("c", 0)}}, after: 100 * ms, want: 200 * ms},
		"sum of another data centre":  {steps: []step{{message: sum("f", 4, 300*ms)}}, after: 100 * ms, want: 400 * ms},
		"both data centres":           {steps: []step{{message: sum("f", 1, 300*ms)}, {message: report("b", 3)}}, after: 100 * ms, want: 175 * ms},
		"requests in one data centre": {steps: []step{{message: sum("f", 0, 300*ms)}, {message: report("b", 3)}}, after: 100 * ms, want: 100 * ms},
		"all silent":                  {steps: []step{{message: sum("f", 4, 300*ms)}, {message: report("b", 3)}}, after: 2 * time.Second, want: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g, _, clk := newGossip(c, map[ident.Instance]ident.DataCentre{"b": "z", "c": "z", "f": "y"})
			for _, s := range test.steps {
				clk.Advance(s.wait)
				s.Incarnation, s.Sequence = 1, 1
				g.handleMessage(&s.message)
			}
			clk.Advance(test.after)
			g.UpdatePeerInFlight()
			countedAt := testEndpoint(g).Load.PeerCountedAt()
			c.Check(countedAt.IsZero(), qt.Equals, test.want < 0)
			if test.want >= 0 {
				c.Check(clk.Now().Sub(countedAt), qt.Equals, test.want)
			}
		})
	}
}
