package catalog

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// TestColdAvailable guards against an answer that differs from the next one of AdmitCold, and against a
// question that changes it.
func TestColdAvailable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var asked, unasked Load
		now := clockwork.NewFakeClock().Now()
		rate := rapid.Float64Range(0, 50).Draw(rt, "rate")
		phase := rapid.Float64Range(0, 0.99).Draw(rt, "phase")
		for _, wait := range rapid.SliceOfN(rapid.Int64Range(0, int64(time.Second)), 1, 30).Draw(rt, "waits") {
			now = now.Add(time.Duration(wait))
			available := asked.ColdAvailable(now, rate)
			admitted := unasked.AdmitCold(now, rate, phase)
			if admittedAsked := asked.AdmitCold(now, rate, phase); available != admitted || admittedAsked != admitted {
				rt.Fatalf("got %t, and %t admitted after the question, want %t", available, admittedAsked, admitted)
			}
		}
	})
}
