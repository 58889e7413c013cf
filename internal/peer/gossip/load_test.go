package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/demand"
)

// TestDataCentreSums guards against load of another data centre that is counted twice, from an old
// sum or from a few of its daemons while a sum is known, and against load that is left out when no
// sum arrives: before an upgrade, or after the daemons that sent sums have failed.
func TestDataCentreSums(t *testing.T) {
	at := hashEndpoint("i", 3)
	loads := func(n unit.Requests) map[endpointHash]endpointLoad {
		return map[endpointHash]endpointLoad{at: {Requests: n, PendingPrefill: unit.Tokens(n) * 10, Work: time.Duration(n) * time.Second}}
	}
	sum := func(n unit.Requests, age time.Duration) *dataCentreSum { return &dataCentreSum{age, loads(n)} }
	type step struct {
		message
		// wait is the time before the message.
		wait time.Duration
	}
	tests := map[string]struct {
		steps []step
		after time.Duration
		want  unit.Requests
	}{
		"single daemons of an older build": {steps: []step{{message: message{From: "f", Loads: loads(2)}}, {message: message{From: "g", Loads: loads(3)}}}, want: 5},
		"one of two is silent":             {steps: []step{{message: message{From: "f", Loads: loads(2)}}}, want: 4},
		"sum":                              {steps: []step{{message: message{From: "f", Loads: loads(2), DataCentreSum: sum(9, 0)}}, {message: message{From: "g", Loads: loads(3)}}}, want: 9},
		"later sum of the other":           {steps: []step{{message: message{From: "f", DataCentreSum: sum(9, 0)}}, {wait: 50 * time.Millisecond, message: message{From: "g", DataCentreSum: sum(4, 0)}}}, want: 4},
		"later message, older sum":         {steps: []step{{message: message{From: "f", DataCentreSum: sum(9, 0)}}, {wait: 50 * time.Millisecond, message: message{From: "g", DataCentreSum: sum(4, 200*time.Millisecond)}}}, want: 9},
		"empty sum":                        {steps: []step{{message: message{From: "f", Loads: loads(2), DataCentreSum: &dataCentreSum{}}}}},
		"expired sum":                      {steps: []step{{message: message{From: "f", DataCentreSum: sum(9, time.Second)}}, {wait: 600 * time.Millisecond, message: message{From: "g", Loads: loads(3)}}}, want: 3},
		"all silent":                       {steps: []step{{message: message{From: "f", DataCentreSum: sum(9, 0)}}}, after: 2 * time.Second},
		"sum of this data centre":          {steps: []step{{message: message{From: "b", Loads: loads(2), DataCentreSum: sum(9, 0)}}}, want: 2},
		"unknown sender":                   {steps: []step{{message: message{From: "x", DataCentreSum: sum(9, 0)}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g, _, clk := newGossip(c, map[ident.Instance]ident.DataCentre{"b": "z", "f": "y", "g": "y"})
			clk.Advance(2 * time.Second)
			for _, s := range test.steps {
				clk.Advance(s.wait)
				s.Incarnation, s.Sequence = 1, 1
				g.handleMessage(&s.message)
			}
			clk.Advance(test.after)
			g.UpdatePeerInFlight()
			load := testEndpoint(g).Load
			c.Check(load.TotalInFlight(), qt.Equals, test.want)
			c.Check(load.PendingPrefill()+load.PeerPendingPrefill(), qt.Equals, unit.Tokens(test.want)*10)
			c.Check(load.TotalWork(), qt.Equals, time.Duration(test.want)*time.Second)
		})
	}
}

// TestOwnSum guards against a sum that leaves out this daemon or those that weren't heard from,
// that is sent by a daemon that has heard of few, and against an age that hides how old the parts
// are.
func TestOwnSum(t *testing.T) {
	at := hashEndpoint("i", 3)
	tests := map[string]struct {
		// heard has the requests of other daemons of the data centre, of which there are three.
		heard map[ident.Instance]unit.Requests
		own   int
		// age is the time since the others' datagrams.
		age  time.Duration
		want *dataCentreSum
	}{
		"all heard":         {heard: map[ident.Instance]unit.Requests{"b": 1, "c": 2, "d": 3}, own: 2, want: &dataCentreSum{Loads: map[endpointHash]endpointLoad{at: {Requests: 8}}}},
		"idle":              {heard: map[ident.Instance]unit.Requests{"b": 0, "c": 0, "d": 0}, want: &dataCentreSum{Loads: map[endpointHash]endpointLoad{}}},
		"one of three":      {heard: map[ident.Instance]unit.Requests{"b": 1}, own: 2},
		"two of three":      {heard: map[ident.Instance]unit.Requests{"b": 1, "c": 3}, own: 2, want: &dataCentreSum{Loads: map[endpointHash]endpointLoad{at: {Requests: 8}}}},
		"old parts":         {heard: map[ident.Instance]unit.Requests{"b": 1, "c": 2, "d": 3}, own: 2, age: 400 * time.Millisecond, want: &dataCentreSum{Age: 300 * time.Millisecond, Loads: map[endpointHash]endpointLoad{at: {Requests: 8}}}},
		"parts too old":     {heard: map[ident.Instance]unit.Requests{"b": 1, "c": 2, "d": 3}, own: 2, age: 2 * time.Second},
		"others have ended": {heard: map[ident.Instance]unit.Requests{"b": 1, "c": 2, "d": 3}, own: 2, age: 7 * time.Second, want: &dataCentreSum{Loads: map[endpointHash]endpointLoad{at: {Requests: 2}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g, _, clk := newGossip(c, map[ident.Instance]ident.DataCentre{"b": "z", "c": "z", "d": "z", "far": "y"})
			for id, n := range test.heard {
				m := &message{From: id, Incarnation: 1, Sequence: 1}
				if n > 0 {
					m.Loads = map[endpointHash]endpointLoad{at: {Requests: n}}
				}
				g.handleMessage(m)
			}
			for range test.own {
				testEndpoint(g).Load.RequestStarted()
			}
			clk.Advance(test.age)
			g.UpdatePeerInFlight()
			c.Check(g.ownDataCentreSum(g.ownLoads()), qt.DeepEquals, test.want)
		})
	}
}

// TestSumTargets guards against sums that are sent to daemons of the same data centre, which don't
// use them, or so often that they fill the link of a small machine.
func TestSumTargets(t *testing.T) {
	c := qt.New(t)
	g, _, clk := newGossip(c, map[ident.Instance]ident.DataCentre{"b": "z", "far": "y"})
	g.Demand.(*fakeDemand).sum = &demand.DataCentreDemand{Live: 2, Heard: 2}
	hasSum := func(raw []byte) bool {
		m, err := decodeMessage(raw)
		c.Assert(err, qt.IsNil)
		c.Check(m.Demand.DataCentre != nil, qt.Equals, m.DataCentreSum != nil)
		return m.DataCentreSum != nil
	}
	g.handleMessage(&message{From: "b", Incarnation: 1, Sequence: 1, Loads: manyLoads(1024)})
	g.UpdatePeerInFlight()
	datagrams := g.encodeDatagrams(nil, targets{1, 1})
	c.Assert(datagrams, qt.HasLen, 2)
	c.Check(hasSum(datagrams[0].raw), qt.IsFalse)
	c.Check(hasSum(datagrams[1].raw), qt.IsTrue)
	c.Check(len(datagrams[1].raw) < 1024*sumEndpointBytes*3/2, qt.IsTrue, qt.Commentf("%d bytes", len(datagrams[1].raw)))
	// 1024 endpoints take half of the bytes of a second.
	for _, want := range []bool{false, true, false} {
		clk.Advance(250*time.Millisecond + time.Millisecond)
		datagrams = g.encodeDatagrams(nil, targets{1, 1})
		c.Check(hasSum(datagrams[len(datagrams)-1].raw), qt.Equals, want)
	}
	c.Check(hasSum(g.encodeDatagrams(nil, allDaemons)[0].raw), qt.IsFalse)
}

func manyLoads(n int) map[endpointHash]endpointLoad {
	loads := make(map[endpointHash]endpointLoad)
	for i := range n {
		loads[endpointHash(i)] = endpointLoad{Requests: 12, PendingPrefill: 2000, Work: 9 * time.Second}
	}
	return loads
}

// TestDecodeLoads guards against malformed loads that are accepted or crash the daemon, and against
// a datagram of an older build that is rejected.
func TestDecodeLoads(t *testing.T) {
	one, two := []uint32{1}, []uint32{1, 2}
	tests := map[string]struct {
		endpoints, requests, pendingPrefill, work []uint32
		want                                      map[endpointHash]endpointLoad
		wantErr                                   bool
	}{
		"older build":        {endpoints: two, requests: two, want: map[endpointHash]endpointLoad{1: {Requests: 1}, 2: {Requests: 2}}},
		"all fields":         {endpoints: one, requests: one, pendingPrefill: one, work: one, want: map[endpointHash]endpointLoad{1: {1, promptUnit, workUnit}}},
		"repeated endpoint":  {endpoints: []uint32{1, 1}, requests: two, want: map[endpointHash]endpointLoad{1: {Requests: 3}}},
		"no requests":        {endpoints: one, wantErr: true},
		"no pending prefill": {endpoints: one, requests: one, work: one, wantErr: true},
		"no work":            {endpoints: one, requests: one, pendingPrefill: one, wantErr: true},
		"too many values":    {endpoints: one, requests: one, pendingPrefill: two, work: two, wantErr: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, err := decodeLoads(test.endpoints, test.requests, test.pendingPrefill, test.work)
			if test.wantErr {
				c.Check(code.Of(err), qt.Equals, code.BadMessage)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}

// TestAgeOfLoad guards against counts so old that daemons overload replicas which others have just
// filled: 120 ms within a data centre of 40, and against one lost datagram in five that makes them
// twice as old.
func TestAgeOfLoad(t *testing.T) {
	tests := map[string]struct {
		dataCentres, perDataCentre int
		loss                       float64
		wantOwn, wantOther         time.Duration
	}{
		"data centre of 40":        {dataCentres: 2, perDataCentre: 40, wantOwn: 120 * time.Millisecond, wantOther: 250 * time.Millisecond},
		"111 in three":             {dataCentres: 3, perDataCentre: 37, wantOwn: 120 * time.Millisecond, wantOther: 250 * time.Millisecond},
		"111, 20% of them lost":    {dataCentres: 3, perDataCentre: 37, loss: 0.2, wantOwn: 180 * time.Millisecond, wantOther: 300 * time.Millisecond},
		"63 in three":              {dataCentres: 3, perDataCentre: 21, wantOwn: 80 * time.Millisecond, wantOther: 200 * time.Millisecond},
		"four in two data centres": {dataCentres: 2, perDataCentre: 2, wantOwn: 40 * time.Millisecond, wantOther: 150 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestFleet(test.dataCentres, test.perDataCentre, 20)
			f.loss = test.loss
			f.run(2 * time.Second)
			own, other := f.meanAges()
			c.Check(own > 0 && own <= test.wantOwn, qt.IsTrue, qt.Commentf("own data centre: %s", own))
			c.Check(other > 0 && other <= test.wantOther, qt.IsTrue, qt.Commentf("other data centre: %s", other))
			t.Logf("own %s, other %s", own, other)
		})
	}
}
