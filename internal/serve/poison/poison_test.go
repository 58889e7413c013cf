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

// exchangeCounts sends the crash counts of one detector to another.
func exchangeCounts(c *qt.C, from, to *poison.Detector) {
	if delta := from.Delta(to.Digest()); delta != nil {
		c.Assert(to.Merge("peer", delta), qt.IsNil)
	}
}

// TestExchangeOfCrashCounts guards against a poison request that each daemon runs again,
// and against a crash that is counted twice.
func TestExchangeOfCrashCounts(t *testing.T) {
	tests := map[string]struct {
		// crashes has the index of the daemon that observes each crash, which is always
		// the same one if sameCrash is set.
		crashes     []int
		sameCrash   bool
		elapsed     time.Duration
		wantRefused bool
	}{
		"no crash":                            {},
		"one crash":                           {crashes: []int{0}},
		"two crashes observed by one daemon":  {crashes: []int{0, 0}, wantRefused: true},
		"two crashes observed by two daemons": {crashes: []int{0, 1}, wantRefused: true},
		"one crash observed by one daemon during equal requests":  {crashes: []int{0, 0, 0}, sameCrash: true},
		"one crash observed by two daemons during equal requests": {crashes: []int{0, 1, 1}, sameCrash: true},
		"counts expired": {crashes: []int{0, 1}, elapsed: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			var daemons []*poison.Detector
			for _, id := range []ident.Instance{"a", "b", "c"} {
				daemons = append(daemons, poison.New(poison.Options{Clock: clk, Self: id, Lifetime: time.Hour, Limit: 10}))
			}
			for i, observer := range test.crashes {
				crash := ident.Crash(i)
				if test.sameCrash {
					crash = 0
				}
				daemons[observer].RecordCrash(7, crash)
			}
			for range 3 {
				exchangeCounts(c, daemons[0], daemons[1])
				exchangeCounts(c, daemons[1], daemons[2])
				exchangeCounts(c, daemons[2], daemons[0])
			}
			clk.Advance(test.elapsed)
			for _, d := range daemons {
				err := d.Check(7)
				c.Assert(code.Of(err) == code.PoisonRequest, qt.Equals, test.wantRefused)
				c.Assert(d.Check(8), qt.IsNil)
			}
		})
	}
}

// TestThreshold guards against refusing a request after too few or too many crashes, or
// after an equal request has completed.
func TestThreshold(t *testing.T) {
	tests := map[string]struct {
		threshold uint32
		// crashes is the number of crashes; it is negative if a peer observed them.
		crashes     int
		wantRefused bool
	}{
		"default threshold, one crash":                  {crashes: 1},
		"default threshold, two crashes":                {crashes: 2, wantRefused: true},
		"threshold 3, two crashes":                      {threshold: 3, crashes: 2},
		"threshold 3, three crashes":                    {threshold: 3, crashes: 3, wantRefused: true},
		"threshold 3, three crashes observed by a peer": {threshold: 3, crashes: -3, wantRefused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := poison.New(poison.Options{Clock: clockwork.NewFakeClock(), Self: "a", Lifetime: time.Hour, Limit: 2, Threshold: test.threshold})
			for crash := range test.crashes {
				d.RecordCrash(7, ident.Crash(crash))
			}
			if test.crashes < 0 {
				d.MergeCrashes("b", map[ident.Fingerprint][]ident.Crash{7: ident.UnnamedCrashes("b", uint32(-test.crashes))})
			}
			c.Check(code.Of(d.Check(7)) == code.PoisonRequest, qt.Equals, test.wantRefused)
			d.RecordCompletion(7)
			c.Check(d.Check(7), qt.IsNil)
		})
	}
}

// TestCountsOfEarlierVersion guards against crashes that a daemon of an earlier version reports
// by their number, and that are lost or counted again with each report.
func TestCountsOfEarlierVersion(t *testing.T) {
	tests := map[string]struct {
		deltas      []string
		wantRefused bool
	}{
		"one crash, told twice":       {deltas: []string{`[{"f":7,"o":"b","n":1,"l":1000000000}]`, `[{"f":7,"o":"b","n":1,"l":1000000000}]`}},
		"two crashes":                 {deltas: []string{`[{"f":7,"o":"b","n":1,"l":1000000000}]`, `[{"f":7,"o":"b","n":2,"l":1000000000}]`}, wantRefused: true},
		"one crash each of two":       {deltas: []string{`[{"f":7,"o":"b","n":1,"l":1000000000}]`, `[{"f":7,"o":"c","n":1,"l":1000000000}]`}, wantRefused: true},
		"any number":                  {deltas: []string{`[{"f":7,"o":"b","n":4294967295,"l":1000000000}]`}, wantRefused: true},
		"number after the identity":   {deltas: []string{`[{"f":7,"o":"b","n":1,"l":1000000000,"c":[3]}]`, `[{"f":7,"o":"b","n":1,"l":1000000000}]`}},
		"identity after the number":   {deltas: []string{`[{"f":7,"o":"b","n":1,"l":1000000000}]`, `[{"f":7,"o":"b","n":1,"l":1000000000,"c":[3]}]`}},
		"higher number":               {deltas: []string{`[{"f":7,"o":"b","n":1,"l":1000000000,"c":[3]}]`, `[{"f":7,"o":"b","n":2,"l":1000000000}]`}, wantRefused: true},
		"crash that this daemon knew": {deltas: []string{`[{"f":7,"o":"b","n":1,"l":1000000000,"c":[3]}]`, `[{"f":7,"o":"c","n":1,"l":1000000000,"c":[3]}]`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := poison.New(poison.Options{Clock: clockwork.NewFakeClock(), Self: "a", Lifetime: time.Hour, Limit: 4})
			for _, delta := range test.deltas {
				c.Assert(d.Merge("b", []byte(delta)), qt.IsNil)
			}
			c.Check(code.Of(d.Check(7)) == code.PoisonRequest, qt.Equals, test.wantRefused)
		})
	}
}

// TestMergeAfterLifetime guards against crash counts that are dropped because an expired
// count of the same request was as high, and against daemons that prolong a refusal for ever by
// telling each other the same crashes.
func TestMergeAfterLifetime(t *testing.T) {
	tests := map[string]struct {
		first, later []ident.Crash
		from         ident.Instance
		wantUnknown  int
	}{
		"numbers of crashes":              {first: ident.UnnamedCrashes("b", 2), later: ident.UnnamedCrashes("b", 2), from: "b", wantUnknown: 1},
		"one more crash":                  {first: []ident.Crash{1, 2}, later: []ident.Crash{3}, from: "b", wantUnknown: 1},
		"the same crashes":                {first: []ident.Crash{1, 2}, later: []ident.Crash{1, 2}, from: "b"},
		"the same crashes, heard by them": {first: []ident.Crash{1, 2}, later: []ident.Crash{2, 1}, from: "c"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			d := poison.New(poison.Options{Clock: clk, Self: "a", Lifetime: time.Hour, Limit: 2})
			first := map[ident.Fingerprint][]ident.Crash{7: test.first}
			c.Check(d.MergeCrashes("b", first), qt.Equals, 1)
			c.Check(d.MergeCrashes("b", first), qt.Equals, 0)
			clk.Advance(time.Hour)
			c.Check(d.Check(7), qt.IsNil)
			c.Check(d.MergeCrashes(test.from, map[ident.Fingerprint][]ident.Crash{7: test.later}), qt.Equals, test.wantUnknown)
			c.Check(code.Of(d.Check(7)) == code.PoisonRequest, qt.Equals, test.wantUnknown > 0)
		})
	}
}

// TestCompletion guards against a request that is never refused since it ran to its end once, before
// its endpoints were replaced, and against one that is refused for crashes beside its completions.
func TestCompletion(t *testing.T) {
	tests := map[string]struct {
		// completed has the time from each completion to the crashes that follow it.
		completed   []time.Duration
		remote      bool
		wantRefused bool
	}{
		"never completed":                   {completed: []time.Duration{}, wantRefused: true},
		"completed just before":             {completed: []time.Duration{time.Second}},
		"completed at another daemon":       {completed: []time.Duration{time.Second}, remote: true},
		"completed long ago":                {completed: []time.Duration{time.Minute}, wantRefused: true},
		"completed elsewhere long ago":      {completed: []time.Duration{time.Minute}, remote: true, wantRefused: true},
		"completed between crashes":         {completed: []time.Duration{time.Second, time.Second}},
		"completed long ago, then just now": {completed: []time.Duration{time.Minute, time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			d := poison.New(poison.Options{Clock: clk, Self: "a", Lifetime: time.Hour, Limit: 4, Threshold: 2})
			crash := ident.Crash(0)
			recordCrashes := func() {
				for range 3 {
					crash++
					d.RecordCrash(7, crash)
				}
			}
			for _, elapsed := range test.completed {
				if test.remote {
					d.MergeCleared(7)
				} else {
					d.RecordCompletion(7)
				}
				clk.Advance(elapsed)
				recordCrashes()
			}
			if len(test.completed) == 0 {
				recordCrashes()
			}
			c.Check(code.Of(d.Check(7)) == code.PoisonRequest, qt.Equals, test.wantRefused)
		})
	}
}

// TestRefusalOutlivesRestarts guards against a request that crashes servers again after each daemon
// was restarted in turn, and after the lifetime of its crashes.
func TestRefusalOutlivesRestarts(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	newDetector := func(self ident.Instance) *poison.Detector {
		return poison.New(poison.Options{Clock: clk, Self: self, Lifetime: time.Hour, Limit: 10, Threshold: 3})
	}
	daemons := []*poison.Detector{newDetector("a"), newDetector("b")}
	for crash := range ident.Crash(3) {
		daemons[0].RecordCrash(7, crash)
	}
	daemons[1].MergeCrashes("a", daemons[0].CrashReport(time.Second))
	for i, id := range []ident.Instance{"a", "b"} {
		clk.Advance(time.Minute)
		daemons[i] = newDetector(id)
		other := daemons[1-i]
		daemons[i].MergeCrashes("other", other.CrashReport(time.Second))
		c.Check(code.Of(daemons[i].Check(7)), qt.Equals, code.PoisonRequest, qt.Commentf("after the restart of %s", id))
	}
	clk.Advance(2 * time.Hour)
	c.Check(daemons[0].Check(7), qt.IsNil)
	c.Check(daemons[0].CrashReport(time.Second), qt.HasLen, 0)
	daemons[0].RecordCrash(7, 9)
	c.Check(code.Of(daemons[0].Check(7)), qt.Equals, code.PoisonRequest)
}

// TestLimit guards against an unbounded number of crash counts.
func TestLimit(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	d := poison.New(poison.Options{Clock: clk, Self: "a", Lifetime: time.Hour, Limit: 2})
	for f := range ident.Fingerprint(5) {
		d.RecordCrash(f, 1)
		d.RecordCrash(f, 2)
		clk.Advance(time.Second)
	}
	c.Assert(d.Check(0), qt.IsNil)
	c.Assert(code.Of(d.Check(4)), qt.Equals, code.PoisonRequest)
	c.Assert(code.Of(d.Merge("b", []byte("["))), qt.Equals, code.BadMessage)
}
