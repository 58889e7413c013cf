package formation

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// fixedCandidates says whether this daemon is among the first ones of its data centre.
type fixedCandidates bool

func (f fixedCandidates) MayReadPlatform() bool { return bool(f) }

// TestCompete guards against a slow daemon that becomes the planner while a fast one could, and
// against a fleet in which none competes.
func TestCompete(t *testing.T) {
	tests := map[string]struct {
		processor   float64
		first       bool
		wantCompete bool
		wantSlow    bool
	}{
		"fast":                     {processor: 0.8, wantCompete: true},
		"fast, among the first":    {processor: 0.8, first: true, wantCompete: true},
		"medium, among the first":  {processor: 0.4, first: true, wantCompete: true},
		"medium":                   {processor: 0.4},
		"slow, among the first":    {processor: 0.192, first: true, wantCompete: true, wantSlow: true},
		"slow":                     {processor: 0.192, wantSlow: true},
		"unknown, among the first": {first: true, wantCompete: true},
		"unknown":                  {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			control := &controller{self: "d", processor: test.processor, candidates: fixedCandidates(test.first)}
			c.Check(control.mayCompete(), qt.Equals, test.wantCompete)
			c.Check(control.competeDelay() >= slowDelay, qt.Equals, test.wantSlow)
		})
	}
}
