package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// TestPauseDetector guards against orders on a lease that has run out while the process was
// paused, and against a term that ends although the planner ran all the while.
func TestPauseDetector(t *testing.T) {
	const limit = 1500 * time.Millisecond
	tests := map[string]struct {
		gaps   []time.Duration
		reset  bool
		paused bool
	}{
		"first run":                {},
		"regular runs":             {gaps: []time.Duration{200 * time.Millisecond, 200 * time.Millisecond}},
		"late run":                 {gaps: []time.Duration{limit}},
		"paused":                   {gaps: []time.Duration{200 * time.Millisecond, 5 * time.Second}, paused: true},
		"runs again after a pause": {gaps: []time.Duration{5 * time.Second, 200 * time.Millisecond}},
		"not the leader meanwhile": {gaps: []time.Duration{5 * time.Second}, reset: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clk := clockwork.NewFakeClock()
			d := pauseDetector{limit: limit}
			paused := d.ranAt(clk.Now())
			for _, gap := range test.gaps {
				if test.reset {
					d.reset()
				}
				clk.Advance(gap)
				paused = d.ranAt(clk.Now())
			}
			qt.Check(t, paused, qt.Equals, test.paused)
		})
	}
}
