package unit

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRevision guards against a revision after a restoration of the platform that isn't higher
// than all before, and against parts that don't come back as they were.
func TestRevision(t *testing.T) {
	tests := map[string]struct {
		lower, higher Revision
	}{
		"same era":       {NewRevision(1, 7), NewRevision(1, 8)},
		"restored":       {NewRevision(1, 1_000_000), NewRevision(2, 1)},
		"first era":      {NewRevision(0, 1_000_000), NewRevision(1, 1)},
		"highest values": {NewRevision(MaxEra-1, 1<<40-1), NewRevision(MaxEra, 1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(test.lower < test.higher, qt.IsTrue)
			for _, r := range []Revision{test.lower, test.higher} {
				c.Check(NewRevision(r.Era(), r.Number()), qt.Equals, r)
				c.Check(r > 0, qt.IsTrue)
			}
		})
	}
}

// ExampleRevision_String shows a revision before and after the platform was restored.
func ExampleRevision_String() {
	fmt.Println(NewRevision(0, 186), NewRevision(1, 186), NewRevision(2, 12))
	// Output: 186 1/186 2/12
}
