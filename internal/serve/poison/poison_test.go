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
// count of the same request was as high.
func TestMergeAfterLifetime(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	d := poison.New(poison.Options{Clock: clk, Self: "a", Lifetime: time.Hour, Limit: 2})
	crashes := map[ident.Fingerprint][]ident.Crash{7: {1, 2}}
	c.Check(d.MergeCrashes("b", crashes), qt.Equals, 1)
	c.Check(d.MergeCrashes("b", crashes), qt.Equals, 0)
	clk.Advance(time.Hour)
	c.Check(d.Check(7), qt.IsNil)
	c.Check(d.MergeCrashes("b", crashes), qt.Equals, 1)
	c.Check(code.Of(d.Check(7)), qt.Equals, code.PoisonRequest)
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
