package mirror

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// TestBatchTime guards against a leader that calls the platform for every renewed entry although it
// awaits no change, and against one that learns late of a change that it awaits.
func TestBatchTime(t *testing.T) {
	tests := map[string]struct {
		leader, awaits bool
		want           time.Duration
	}{
		"leader, nothing awaited": {leader: true, want: lowLatencyBatchTime},
		"leader, change awaited":  {leader: true, awaits: true, want: awaitedBatchTime},
		"not the leader any more": {awaits: true, want: batchTime},
		"other daemon":            {want: batchTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New(Options{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()})
			m.SetLowLatency(test.leader)
			m.SetAwaitsChange(test.awaits)
			qt.Check(t, m.currentBatchTime(), qt.Equals, test.want)
		})
	}
}
