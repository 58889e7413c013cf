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

func exchange(c *qt.C, from, to *poison.Detector) {
	if delta := from.Delta(to.Digest()); delta != nil {
		c.Assert(to.Merge("peer", delta), qt.IsNil)
	}
}

// TestExchange guards against a request that crashes endpoints being run again by
// each daemon in turn, and against one crash being counted twice.
func TestExchange(t *testing.T) {
	tests := map[string]struct {
		crashes []int
		after   time.Duration
		refused bool
	}{
		"none":                     {},
		"one crash":                {crashes: []int{0}},
		"two at one daemon":        {crashes: []int{0, 0}, refused: true},
		"one at each of two":       {crashes: []int{0, 1}, refused: true},
		"forgotten after lifetime": {crashes: []int{0, 1}, after: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			var daemons []*poison.Detector
			for _, id := range []ident.Instance{"a", "b", "c"} {
				daemons = append(daemons, poison.New(poison.Options{Clock: clk, Self: id, Lifetime: time.Hour, Limit: 10}))
			}
			for _, d := range test.crashes {
				daemons[d].RecordCrash(7)
			}
			for range 3 {
				exchange(c, daemons[0], daemons[1])
				exchange(c, daemons[1], daemons[2])
				exchange(c, daemons[2], daemons[0])
			}
			clk.Advance(test.after)
			for _, d := range daemons {
				err := d.Check(7)
				c.Assert(code.Of(err) == code.PoisonRequest, qt.Equals, test.refused)
				c.Assert(d.Check(8), qt.IsNil)
			}
		})
	}
}

// TestThreshold guards against a request that is refused a crash too early or too
// late.
func TestThreshold(t *testing.T) {
	tests := map[string]struct {
		threshold uint32
		crashes   int
		refused   bool
	}{
		"one of the usual two":   {crashes: 1},
		"the usual two":          {crashes: 2, refused: true},
		"two of three":           {threshold: 3, crashes: 2},
		"three":                  {threshold: 3, crashes: 3, refused: true},
		"three, told by another": {threshold: 3, crashes: -3, refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := poison.New(poison.Options{Clock: clockwork.NewFakeClock(), Self: "a", Lifetime: time.Hour, Limit: 2, Threshold: test.threshold})
			for range test.crashes {
				s.RecordCrash(7)
			}
			if test.crashes < 0 {
				s.MergeCrashes("b", map[ident.Fingerprint]uint32{7: uint32(-test.crashes)})
			}
			c.Check(code.Of(s.Check(7)) == code.PoisonRequest, qt.Equals, test.refused)
			s.RecordCompletion(7)
			c.Check(s.Check(7), qt.IsNil)
		})
	}
}

// TestCrashesAfterLifetime guards against crashes that are not heard since older ones of the
// same request, which have ended, were as many.
func TestCrashesAfterLifetime(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	s := poison.New(poison.Options{Clock: clk, Self: "a", Lifetime: time.Hour, Limit: 2})
	told := map[ident.Fingerprint]uint32{7: 2}
	c.Check(s.MergeCrashes("b", told), qt.Equals, 1)
	c.Check(s.MergeCrashes("b", told), qt.Equals, 0)
	clk.Advance(time.Hour)
	c.Check(s.Check(7), qt.IsNil)
	c.Check(s.MergeCrashes("b", told), qt.Equals, 1)
	c.Check(code.Of(s.Check(7)), qt.Equals, code.PoisonRequest)
}

// TestLimit guards against suspicions growing without bound.
func TestLimit(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	s := poison.New(poison.Options{Clock: clk, Self: "a", Lifetime: time.Hour, Limit: 2})
	for f := range ident.Fingerprint(5) {
		s.RecordCrash(f)
		s.RecordCrash(f)
		clk.Advance(time.Second)
	}
	c.Assert(s.Check(0), qt.IsNil)
	c.Assert(code.Of(s.Check(4)), qt.Equals, code.PoisonRequest)
	c.Assert(code.Of(s.Merge("b", []byte("["))), qt.Equals, code.BadMessage)
}
