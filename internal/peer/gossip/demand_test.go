package gossip

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/demand"
)

// TestDemandExchange guards against demand that isn't sent, that is taken from an old datagram or
// from an unknown daemon, and against daemons that have ended and still count.
func TestDemandExchange(t *testing.T) {
	c := qt.New(t)
	g, _, clk := newGossip(c, map[ident.Instance]ident.DataCentre{"b": "z", "far": "y"})
	meter := g.Demand.(*fakeDemand)
	meter.own = demand.Report{Window: 3 * time.Second, Loads: []demand.ModelLoad{{Model: 5, Offered: 2}}}
	raw := g.encodeDatagrams(nil, allDaemons)[0].raw
	sent, err := decodeMessage(raw)
	c.Assert(err, qt.IsNil)
	c.Check(sent.Demand, qt.DeepEquals, meter.own)

	report := func(from ident.Instance, sequence unit.Sequence, offered unit.Slots) {
		g.handleMessage(&message{From: from, Incarnation: 1, Sequence: sequence, Demand: demand.Report{Window: time.Second, Loads: []demand.ModelLoad{{Model: 5, Offered: offered}}}})
	}
	report("b", 2, 3)
	report("b", 1, 9)
	report("x", 1, 9)
	c.Check(meter.received, qt.HasLen, 1)
	c.Check(meter.received["b"].Loads[0].Offered, qt.Equals, unit.Slots(3))

	live := func() map[ident.Instance]ident.DataCentre {
		daemons := make(map[ident.Instance]ident.DataCentre)
		g.EachLiveDaemon(func(id ident.Instance, dc ident.DataCentre) { daemons[id] = dc })
		return daemons
	}
	c.Check(live(), qt.DeepEquals, map[ident.Instance]ident.DataCentre{"a": "z", "b": "z", "far": "y"})
	clk.Advance(maxSilence - time.Second)
	report("far", 1, 1)
	clk.Advance(time.Second)
	c.Check(live(), qt.DeepEquals, map[ident.Instance]ident.DataCentre{"a": "z", "far": "y"})
	g.SetDaemons(nil)
	c.Check(live(), qt.DeepEquals, map[ident.Instance]ident.DataCentre{"a": "z"})
}

// TestDecodeDemand guards against malformed demand that is accepted or crashes the daemon, against
// a load that overflows, and against a datagram of an older build that is rejected.
func TestDecodeDemand(t *testing.T) {
	tests := map[string]struct {
		datagram *Datagram
		want     demand.Report
		wantErr  bool
	}{
		"older build":           {datagram: &Datagram{From: "b"}},
		"idle":                  {datagram: &Datagram{From: "b", DemandWindow: 8000}, want: demand.Report{Window: 8 * time.Second}},
		"no offered load":       {datagram: &Datagram{From: "b", DemandModels: []uint32{1}, DemandRefused: []uint32{1}, DemandWaiting: []uint32{1}}, wantErr: true},
		"no refused load":       {datagram: &Datagram{From: "b", DemandModels: []uint32{1}, DemandOffered: []uint32{1}, DemandWaiting: []uint32{1}}, wantErr: true},
		"no waiting load":       {datagram: &Datagram{From: "b", DemandModels: []uint32{1}, DemandOffered: []uint32{1}, DemandRefused: []uint32{1}}, wantErr: true},
		"load without a model":  {datagram: &Datagram{From: "b", DemandOffered: []uint32{1}}, wantErr: true},
		"sum of a data centre":  {datagram: &Datagram{From: "b", SumDemandLive: 4, SumDemandHeard: 3}, want: demand.Report{DataCentre: &demand.DataCentreDemand{Live: 4, Heard: 3}}},
		"sum of nothing heard":  {datagram: &Datagram{From: "b", SumDemandLive: 4}},
		"sum without load":      {datagram: &Datagram{From: "b", SumDemandHeard: 1, SumDemandModels: []uint32{1}}, wantErr: true},
		"no contended priority": {datagram: &Datagram{From: "b", ContendedModels: []uint32{1}, ContendedAges: []uint32{1}}, wantErr: true},
		"no contended age":      {datagram: &Datagram{From: "b", ContendedModels: []uint32{1}, ContendedPriorities: []int32{1}}, wantErr: true},
		"age without a model":   {datagram: &Datagram{From: "b", ContendedAges: []uint32{1}}, wantErr: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw, err := proto.Marshal(test.datagram)
			c.Assert(err, qt.IsNil)
			m, err := decodeMessage(raw)
			c.Assert(err != nil, qt.Equals, test.wantErr)
			if err == nil {
				c.Check(m.Demand, qt.DeepEquals, test.want)
			}
		})
	}
	c := qt.New(t)
	c.Check(encodeSlots(unit.Slots(math.Inf(1))), qt.Equals, uint32(math.MaxUint32))
	c.Check(encodeSlots(-1), qt.Equals, uint32(0))
}
