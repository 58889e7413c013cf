package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/serve/poison"
)

const partLifetime = time.Minute

func newPartDetector(clk *clockwork.FakeClock) *poison.PartDetector {
	return poison.NewPartDetector(poison.PartOptions{Clock: clk, Threshold: 3, Lifetime: partLifetime, Limit: 10})
}

// exchangeParts sends each detector's report to all others.
func exchangeParts(detectors []*poison.PartDetector) {
	for _, from := range detectors {
		crashes, sound := from.PartReport()
		for _, to := range detectors {
			if to != from {
				to.ClearParts(sound)
				to.MergePartCrashes(crashes)
			}
		}
	}
}

// partEvent is a crash during a request at a daemon, or the start of its answer if crash is
// zero.
type partEvent struct {
	daemon int
	parts  []ident.PromptPart
	crash  ident.Crash
}

// TestParts guards against a prompt part that crashes one server after another in requests
// that are otherwise different, and against the refusal of sound requests that share their
// other parts with it or were at a crashed server by chance.
func TestParts(t *testing.T) {
	const deadly, beginning, other = 1, 2, 3
	both := []ident.PromptPart{beginning, deadly}
	tests := map[string]struct {
		events []partEvent
		// pause is the time that passes after each event in addition, and elapsed that
		// after the last one.
		pause, elapsed   time.Duration
		refused, allowed [][]ident.PromptPart
	}{
		"no crash":    {allowed: [][]ident.PromptPart{both, nil}},
		"two crashes": {events: []partEvent{{0, both, 11}, {1, both, 12}}, allowed: [][]ident.PromptPart{both}},
		"three crashes at three daemons": {
			events:  []partEvent{{0, both, 11}, {1, both, 12}, {2, both, 13}},
			refused: [][]ident.PromptPart{both},
		},
		"one crash observed by three daemons": {
			events:  []partEvent{{0, both, 11}, {1, both, 11}, {2, both, 11}},
			allowed: [][]ident.PromptPart{both},
		},
		"beginning that sound requests share": {
			events:  []partEvent{{0, both, 11}, {1, both, 12}, {2, []ident.PromptPart{beginning}, 0}, {2, both, 13}, {0, both, 14}},
			refused: [][]ident.PromptPart{both, {deadly}, {other, deadly}},
			allowed: [][]ident.PromptPart{{beginning}, {beginning, other}},
		},
		"beginning that no answer has begun with yet": {
			events:  []partEvent{{0, both, 11}, {1, both, 12}, {2, both, 13}},
			refused: [][]ident.PromptPart{both},
			allowed: [][]ident.PromptPart{{beginning}, {beginning, other}},
		},
		"beginning is at fault": {
			events:  []partEvent{{0, both, 11}, {1, []ident.PromptPart{beginning}, 12}, {2, both, 13}, {0, []ident.PromptPart{beginning, other}, 14}},
			refused: [][]ident.PromptPart{both, {beginning}, {beginning, other}},
			allowed: [][]ident.PromptPart{{deadly}, {other}},
		},
		"sound requests without an answer at the same crashes": {
			events: []partEvent{
				{0, []ident.PromptPart{deadly}, 11},
				{1, []ident.PromptPart{other}, 11},
				{1, []ident.PromptPart{deadly}, 12},
				{2, []ident.PromptPart{other}, 12},
				{2, []ident.PromptPart{deadly}, 13},
				{0, []ident.PromptPart{other}, 13},
				{0, []ident.PromptPart{deadly}, 14},
			},
			refused: [][]ident.PromptPart{{deadly}, both},
			allowed: [][]ident.PromptPart{{other}, {beginning, other}},
		},
		"answers begin at another daemon": {
			events:  []partEvent{{0, both, 11}, {0, both, 12}, {1, both, 0}, {0, both, 13}, {0, both, 14}},
			allowed: [][]ident.PromptPart{both},
		},
		"answer has just begun": {
			events:  []partEvent{{0, both, 0}, {0, both, 11}, {0, both, 12}, {0, both, 13}},
			allowed: [][]ident.PromptPart{both},
		},
		"answers began before": {
			events:  []partEvent{{0, both, 0}, {1, both, 11}, {2, both, 12}, {1, both, 13}},
			pause:   time.Second,
			refused: [][]ident.PromptPart{both},
		},
		"lifetime over": {
			events:  []partEvent{{0, both, 11}, {1, both, 12}, {2, both, 13}},
			elapsed: partLifetime, allowed: [][]ident.PromptPart{both},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			detectors := []*poison.PartDetector{newPartDetector(clk), newPartDetector(clk), newPartDetector(clk)}
			for _, e := range test.events {
				if e.crash == 0 {
					detectors[e.daemon].RecordPartStart(e.parts)
				} else {
					detectors[e.daemon].RecordPartCrash(e.parts, e.crash)
				}
				clk.Advance(100*time.Millisecond + test.pause)
				exchangeParts(detectors)
			}
			clk.Advance(test.elapsed)
			for i, d := range detectors {
				for _, parts := range test.refused {
					c.Check(code.Of(d.CheckParts(parts)), qt.Equals, code.PoisonRequest, qt.Commentf("daemon %d, parts %v", i, parts))
				}
				for _, parts := range test.allowed {
					c.Check(d.CheckParts(parts), qt.IsNil, qt.Commentf("daemon %d, parts %v", i, parts))
				}
			}
		})
	}
}

// TestPartsAtStart guards against a daemon that starts after the crashes and sends requests
// with the part again, and against a part that crashes as many servers again whenever its
// lifetime is over.
func TestPartsAtStart(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	parts := []ident.PromptPart{1}
	running := newPartDetector(clk)
	for crash := range ident.Crash(3) {
		running.RecordPartCrash(parts, crash+1)
	}
	clk.Advance(partLifetime / 2)
	started := newPartDetector(clk)
	exchangeParts([]*poison.PartDetector{running, started})
	c.Check(code.Of(started.CheckParts(parts)), qt.Equals, code.PoisonRequest)
	clk.Advance(partLifetime)
	c.Assert(started.CheckParts(parts), qt.IsNil)
	started.RecordPartCrash(parts, 9)
	c.Check(code.Of(started.CheckParts(parts)), qt.Equals, code.PoisonRequest)
}

// TestPartLimit guards against suspect parts, and crashes in a report, whose number grows
// without limit.
func TestPartLimit(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	d := newPartDetector(clk)
	for crash := range ident.Crash(3) {
		for part := range ident.PromptPart(100) {
			d.RecordPartCrash([]ident.PromptPart{part}, crash+1)
		}
	}
	crashes, _ := d.PartReport()
	c.Check(len(crashes) <= 10, qt.IsTrue)
	refused := 0
	for part := range ident.PromptPart(100) {
		if d.CheckParts([]ident.PromptPart{part}) != nil {
			refused++
		}
	}
	c.Check(refused <= 10, qt.IsTrue, qt.Commentf("%d parts are refused", refused))
	one := newPartDetector(clk)
	for crash := range ident.Crash(100) {
		one.RecordPartCrash([]ident.PromptPart{1}, crash+1)
	}
	crashes, _ = one.PartReport()
	c.Check(crashes[1], qt.HasLen, 3, qt.Commentf("crashes that say that the part is refused"))
}
