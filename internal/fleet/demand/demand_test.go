package demand

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

const (
	llm   = ident.Service("llm")
	large = ident.Model("large")
	small = ident.Model("small")
)

// fakeDaemons are the data centres of the live daemons.
type fakeDaemons map[ident.Instance]ident.DataCentre

func (d fakeDaemons) EachLiveDaemon(f func(ident.Instance, ident.DataCentre)) {
	for id, dc := range d {
		f(id, dc)
	}
}

func testConfig(models ...ident.Model) *cluster.Config {
	engine := new(cluster.Engine)
	for _, name := range models {
		engine.Models = append(engine.Models, cluster.Model{Name: name, ServersPerReplica: 1})
	}
	return &cluster.Config{Version: 1, Services: map[ident.Service]*cluster.Service{llm: {Name: llm, Engine: engine}, "plain": {Name: "plain"}}}
}

// newMeter returns the Meter of a daemon, which has taken its first sample.
func newMeter(c testing.TB, clk clockwork.Clock, self ident.Instance, daemons fakeDaemons) (*Meter, *catalog.Catalog) {
	cat := catalog.New(clk)
	cat.Apply(catalog.Update{Config: testConfig(large, small)})
	telemetry, err := NewTelemetry(prometheus.NewRegistry())
	qt.New(c).Assert(err, qt.IsNil)
	m := New(Options{Clock: clk, Log: zerolog.Nop(), Self: self, DataCentre: daemons[self], Catalog: cat, Daemons: daemons, Telemetry: telemetry})
	m.Sample()
	return m, cat
}

// runLoad lets the time pass, while callers offer the load to the daemon.
func runLoad(clk *clockwork.FakeClock, m *Meter, duration time.Duration, load func(at time.Duration) map[ident.Model]unit.Slots, each func(at time.Duration)) {
	for at := time.Duration(0); at < duration; at += SampleInterval {
		for model, slots := range load(at) {
			m.RecordArrival(llm, model, time.Duration(float64(slots)*float64(SampleInterval)))
		}
		clk.Advance(SampleInterval)
		m.Sample()
		if each != nil {
			each(at + SampleInterval)
		}
	}
}

// constant is a load that doesn't change.
func constant(slots map[ident.Model]unit.Slots) func(time.Duration) map[ident.Model]unit.Slots {
	return func(time.Duration) map[ident.Model]unit.Slots { return slots }
}

// near reports whether the value differs by less than the fraction.
func near(got, want unit.Slots, fraction float64) bool {
	return math.Abs(float64(got-want)) <= fraction*float64(want)+1e-9
}

// TestMean guards against a mean that divides by a wrong time: of less than two seconds, of more
// than eight, or after a pause of the process.
func TestMean(t *testing.T) {
	tests := map[string]struct {
		before, after time.Duration
		pause         time.Duration
		// earlier is the load before; without any, the daemon has had no request yet.
		earlier unit.Slots
		// wantWindow is zero if the demand isn't known.
		wantWindow time.Duration
		want       unit.Slots
	}{
		"too early":                {after: 1750 * time.Millisecond},
		"first mean":               {after: 2 * time.Second, wantWindow: 2 * time.Second, want: 10},
		"growing mean":             {before: time.Second, earlier: 2, after: 3 * time.Second, wantWindow: 4 * time.Second, want: 8},
		"idle before":              {before: time.Minute, after: 3 * time.Second, wantWindow: 3 * time.Second, want: 10},
		"idle before, too early":   {before: time.Minute, after: 1750 * time.Millisecond, wantWindow: 8 * time.Second},
		"full mean":                {before: time.Minute, after: 8 * time.Second, wantWindow: 8 * time.Second, want: 10},
		"half of the time":         {before: time.Minute, earlier: 2, after: 4 * time.Second, wantWindow: 8 * time.Second, want: 6},
		"pause without arrivals":   {before: time.Second, earlier: 2, pause: 16 * time.Second, after: 3750 * time.Millisecond, wantWindow: 19750 * time.Millisecond, want: 37.5 / 19.75},
		"longer than the history":  {before: time.Hour, after: time.Hour, wantWindow: 8 * time.Second, want: 10},
		"load ended long ago":      {before: time.Hour, wantWindow: 8 * time.Second},
		"only a pause, no samples": {pause: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			m, _ := newMeter(c, clk, "a", fakeDaemons{"a": "z"})
			runLoad(clk, m, test.before, constant(map[ident.Model]unit.Slots{large: test.earlier}), nil)
			clk.Advance(test.pause)
			runLoad(clk, m, test.after, constant(map[ident.Model]unit.Slots{large: 10}), nil)
			r := m.DemandReport(clk.Now())
			c.Check(r.Window, qt.Equals, test.wantWindow)
			got := unit.Slots(0)
			for _, l := range r.Loads {
				c.Check(l.Model, qt.Equals, HashOf(llm, large))
				got = l.Offered
			}
			c.Check(near(got, test.want, 1e-6), qt.IsTrue, qt.Commentf("%v instead of %v", got, test.want))
		})
	}
}

// TestSteadyShares guards against shares of the models that follow a burst or a wave in all models
// alike, which would move replicas to and fro, and against shares that don't follow a lasting
// change.
func TestSteadyShares(t *testing.T) {
	const base unit.Slots = 100
	scaled := func(factor float64) map[ident.Model]unit.Slots {
		return map[ident.Model]unit.Slots{large: base * 3 * unit.Slots(factor), small: base * unit.Slots(factor)}
	}
	tests := map[string]struct {
		load func(at time.Duration) map[ident.Model]unit.Slots
		// lowest and highest are the bounds of the share of the small model, and of the total.
		lowest, highest           float64
		lowestTotal, highestTotal unit.Slots
		// wantShare is the share of the small model at the end.
		wantShare float64
	}{
		"burst of 3 s": {
			load: func(at time.Duration) map[ident.Model]unit.Slots {
				if at >= 20*time.Second && at < 23*time.Second {
					return scaled(1.7)
				}
				return scaled(1)
			},
			lowest: 0.249, highest: 0.251, lowestTotal: 4 * base, highestTotal: 4 * base * 1.27, wantShare: 0.25,
		},
		"wave of 15 s": {
			// From half to one and a half: a factor of three.
			load: func(at time.Duration) map[ident.Model]unit.Slots {
				return scaled(1 + 0.5*math.Sin(2*math.Pi*at.Seconds()/15))
			},
			lowest: 0.249, highest: 0.251, lowestTotal: 4 * base * 0.69, highestTotal: 4 * base * 1.31, wantShare: 0.25,
		},
		"lasting change": {
			load: func(at time.Duration) map[ident.Model]unit.Slots {
				if at >= 20*time.Second {
					return map[ident.Model]unit.Slots{large: base, small: base * 3}
				}
				return scaled(1)
			},
			lowest: 0.249, highest: 0.751, lowestTotal: 4 * base, highestTotal: 4 * base, wantShare: 0.75,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			m, _ := newMeter(c, clk, "a", fakeDaemons{"a": "z"})
			share := 0.0
			runLoad(clk, m, time.Minute, test.load, func(at time.Duration) {
				loads, ok := m.OfferedLoad(clk.Now(), llm)
				if at < maxWindow {
					c.Check(ok, qt.Equals, at >= minWindow)
					return
				}
				total := loads[large] + loads[small]
				share = float64(loads[small] / total)
				c.Check(share > test.lowest && share < test.highest, qt.IsTrue, qt.Commentf("share %v at %s", share, at))
				c.Check(total > test.lowestTotal*0.999 && total < test.highestTotal*1.001, qt.IsTrue, qt.Commentf("total %v at %s", total, at))
			})
			c.Check(math.Abs(share-test.wantShare) < 0.001, qt.IsTrue, qt.Commentf("share %v", share))
		})
	}
}

// reportOf returns a report of the loads for the two models.
func reportOf(largeLoad, smallLoad unit.Slots) Report {
	return Report{Window: maxWindow, Loads: []ModelLoad{{Model: HashOf(llm, large), Offered: largeLoad}, {Model: HashOf(llm, small), Offered: smallLoad}}}
}

// withSum adds the demand of a data centre to the report.
func withSum(r Report, live, heard int, largeLoad unit.Slots) Report {
	r.DataCentre = &DataCentreDemand{Live: live, Heard: heard, Loads: []ModelLoad{{Model: HashOf(llm, large), Offered: largeLoad}}}
	return r
}

// TestFleetDemand guards against a sum that leaves out the daemons that weren't heard from, that
// counts old values or daemons that have ended, and against a layout decided by a minority.
func TestFleetDemand(t *testing.T) {
	fleet := fakeDaemons{"a": "z", "b": "z", "c": "y", "d": "y"}
	type received struct {
		from ident.Instance
		ago  time.Duration
		Report
	}
	tests := map[string]struct {
		daemons  fakeDaemons
		own      unit.Slots
		received []received
		want     unit.Slots
		wantOK   bool
	}{
		"all heard":                  {daemons: fleet, own: 8, received: []received{{"b", 0, reportOf(12, 0)}, {"c", 0, reportOf(6, 0)}, {"d", 0, reportOf(2, 0)}}, want: 28, wantOK: true},
		"one silent":                 {daemons: fleet, own: 8, received: []received{{"b", 0, reportOf(12, 0)}, {"c", 0, reportOf(6, 0)}}, want: 32, wantOK: true},
		"half of the daemons silent": {daemons: fleet, own: 8, received: []received{{"c", 0, reportOf(6, 0)}}, want: 28, wantOK: true},
		"a data centre silent":       {daemons: fleet, own: 8, received: []received{{"b", 0, reportOf(12, 0)}}, want: 40, wantOK: true},
		"most silent":                {daemons: fleet, own: 8},
		"old value":                  {daemons: fleet, own: 8, received: []received{{"b", 6 * time.Second, reportOf(12, 0)}}},
		"value of 5 s":               {daemons: fleet, own: 8, received: []received{{"b", 5 * time.Second, reportOf(12, 0)}}, want: 40, wantOK: true},
		"later value replaces":       {daemons: fleet, own: 8, received: []received{{"b", time.Second, reportOf(100, 0)}, {"b", 0, reportOf(12, 0)}}, want: 40, wantOK: true},
		"daemon that has ended":      {daemons: fakeDaemons{"a": "z", "b": "z"}, own: 8, received: []received{{"b", 0, reportOf(12, 0)}, {"x", 0, reportOf(50, 0)}}, want: 20, wantOK: true},
		"older build counts as the mean of the others": {
			daemons: fleet, own: 8, received: []received{{"b", 0, reportOf(12, 0)}, {"c", 0, reportOf(6, 0)}, {"d", 0, Report{}}}, want: 32, wantOK: true,
		},
		"only older builds beside this one": {daemons: fleet, own: 8, received: []received{{"b", 0, Report{}}, {"c", 0, Report{}}, {"d", 0, Report{}}}},
		"without demand for the model":      {daemons: fakeDaemons{"a": "z", "b": "z"}, received: []received{{"b", 0, reportOf(0, 12)}}, wantOK: true},
		"sum of another data centre": {
			daemons: fleet, own: 8, received: []received{{"b", 0, reportOf(12, 0)}, {"c", 0, withSum(reportOf(6, 0), 4, 3, 30)}}, want: 60, wantOK: true,
		},
		"most complete sum": {
			daemons: fleet, own: 8, received: []received{{"b", 0, reportOf(12, 0)}, {"c", 0, withSum(reportOf(6, 0), 4, 4, 30)}, {"d", 0, withSum(reportOf(6, 0), 4, 3, 99)}}, want: 50, wantOK: true,
		},
		"report after the sum": {
			daemons: fleet, own: 8, received: []received{{"b", 0, reportOf(12, 0)}, {"c", 4 * time.Second, withSum(reportOf(6, 0), 4, 4, 30)}, {"c", 0, reportOf(6, 0)}}, want: 50, wantOK: true,
		},
		"expired sum": {
			daemons: fleet, own: 8, received: []received{{"c", 6 * time.Second, withSum(reportOf(6, 0), 4, 4, 30)}, {"b", 0, reportOf(12, 0)}, {"c", 0, reportOf(6, 0)}}, want: 32, wantOK: true,
		},
		"sum of fewer than were heard": {
			daemons: fleet, own: 8, received: []received{{"b", 0, reportOf(12, 0)}, {"c", 0, withSum(reportOf(6, 0), 2, 1, 6)}, {"d", 0, reportOf(2, 0)}}, want: 28, wantOK: true,
		},
		"too little load": {daemons: fakeDaemons{"a": "z"}, own: 0.5},
		"alone":           {daemons: fakeDaemons{"a": "z"}, own: 8, want: 8, wantOK: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			m, _ := newMeter(c, clk, "a", test.daemons)
			runLoad(clk, m, 10*time.Second, constant(map[ident.Model]unit.Slots{large: test.own}), nil)
			end := clk.Now().Add(10 * time.Second)
			for _, r := range test.received {
				clk.Advance(end.Add(-r.ago).Sub(clk.Now()))
				m.MergeDemand(r.from, r.Report)
			}
			loads, ok := m.OfferedLoad(end, llm)
			c.Assert(ok, qt.Equals, test.wantOK, qt.Commentf("%v", loads))
			c.Check(near(loads[large], test.want, 1e-6), qt.IsTrue, qt.Commentf("%v", loads))
			if ok {
				c.Check(loads, qt.HasLen, 2)
			}
		})
	}
}

// TestDataCentreDemand guards against a report for other data centres that leaves out daemons or has
// those of other data centres.
func TestDataCentreDemand(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	m, _ := newMeter(c, clk, "a", fakeDaemons{"a": "z", "b": "z", "c": "z", "far": "y"})
	m.Observe()
	c.Check(m.DataCentreDemand(), qt.IsNil)
	runLoad(clk, m, 10*time.Second, constant(map[ident.Model]unit.Slots{large: 8}), nil)
	m.MergeDemand("b", reportOf(12, 0))
	m.MergeDemand("far", reportOf(50, 50))
	m.Observe()
	c.Check(m.DataCentreDemand().Live, qt.Equals, 3)
	c.Check(m.DataCentreDemand().Heard, qt.Equals, 2)
	for _, l := range m.DataCentreDemand().Loads {
		want := unit.Slots(0)
		if l.Model == HashOf(llm, large) {
			want = 20
		}
		c.Check(near(l.Offered, want, 1e-6), qt.IsTrue, qt.Commentf("%v", l))
	}
}

// TestLastKnown guards against a layout that reverts to the configured shares at once when
// daemons are cut off, and against one that follows the last demand for ever.
func TestLastKnown(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	m, cat := newMeter(c, clk, "a", fakeDaemons{"a": "z", "b": "z", "c": "z"})
	runLoad(clk, m, 10*time.Second, constant(map[ident.Model]unit.Slots{large: 5}), nil)
	_, ok := m.OfferedLoad(clk.Now(), llm)
	c.Check(ok, qt.IsFalse, qt.Commentf("nothing heard yet"))
	m.MergeDemand("b", reportOf(5, 20))
	// The daemon isn't the planner yet and reads no demand, but may become the planner.
	m.Observe()
	offered := map[ident.Model]unit.Slots{large: 15, small: 30}
	for _, age := range []time.Duration{0, 5 * time.Second, 6 * time.Second, lastKnownTime} {
		loads, ok := m.OfferedLoad(clk.Now().Add(age), llm)
		c.Check(ok, qt.IsTrue, qt.Commentf("%s", age))
		c.Check(loads, qt.DeepEquals, offered)
	}
	// The value at 5 s was the last one that was complete.
	_, ok = m.OfferedLoad(clk.Now().Add(5*time.Second+lastKnownTime+1), llm)
	c.Check(ok, qt.IsFalse)
	_, ok = m.OfferedLoad(clk.Now(), "plain")
	c.Check(ok, qt.IsFalse)
	c.Check(m.Demand(clk.Now(), llm).Heard, qt.Equals, 2)
	config := testConfig(small)
	config.Version++
	cat.Apply(catalog.Update{Config: config})
	m.Sample()
	loads, ok := m.OfferedLoad(clk.Now(), llm)
	c.Check(ok, qt.IsTrue)
	c.Check(loads, qt.DeepEquals, map[ident.Model]unit.Slots{small: 30}, qt.Commentf("a model was removed"))
}

// TestLossOfDatagrams guards against a demand that is wrong because some datagrams are lost, in a
// fleet in which one datagram of a daemon reaches another one about once a second.
func TestLossOfDatagrams(t *testing.T) {
	const daemonCount, perDaemon = 40, 3.0
	tests := map[string]struct {
		loss   float64
		wantOK bool
	}{
		"none lost":    {loss: 0, wantOK: true},
		"half lost":    {loss: 0.5, wantOK: true},
		"most lost":    {loss: 0.8, wantOK: true},
		"nearly all":   {loss: 0.98},
		"nothing left": {loss: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			random := rand.New(rand.NewPCG(1, 2))
			daemons := make(fakeDaemons)
			for i := range daemonCount {
				daemons[ident.Instance(fmt.Sprint(i))] = ident.DataCentre(fmt.Sprint(i % 3))
			}
			m, _ := newMeter(c, clk, "0", daemons)
			runLoad(clk, m, 20*time.Second, constant(map[ident.Model]unit.Slots{large: perDaemon, small: 1}), func(at time.Duration) {
				for i := 1; i < daemonCount; i++ {
					if at%time.Second == 0 && random.Float64() >= test.loss {
						m.MergeDemand(ident.Instance(fmt.Sprint(i)), reportOf(perDaemon, 1))
					}
				}
			})
			loads, ok := m.OfferedLoad(clk.Now(), llm)
			c.Assert(ok, qt.Equals, test.wantOK)
			if ok {
				c.Check(near(loads[large], perDaemon*daemonCount, 1e-6), qt.IsTrue, qt.Commentf("%v", loads))
			}
		})
	}
}

// TestUnknownModel guards against state that callers make grow by names of their own.
func TestUnknownModel(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	m, _ := newMeter(c, clk, "a", fakeDaemons{"a": "z"})
	for i := range 100 {
		name := ident.Model(fmt.Sprint("x", i))
		m.RecordArrival(llm, name, time.Hour)
		m.RecordRefusal(llm, name, 0, time.Hour)
		m.RecordWaitStart("plain", name, 0)
		m.RecordWaitEnd("plain", name, 0, time.Hour)
	}
	runLoad(clk, m, 3*time.Second, constant(nil), nil)
	c.Check(m.models.Load().byKey, qt.HasLen, 2)
	r := m.DemandReport(clk.Now())
	c.Check(r.Loads, qt.HasLen, 0)
	c.Check(r.Contention, qt.HasLen, 0)
}

// TestRefusedAndWaiting guards against refusals and waits that are counted as nothing or as further
// demand.
func TestRefusedAndWaiting(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	m, _ := newMeter(c, clk, "a", fakeDaemons{"a": "z"})
	runLoad(clk, m, 8*time.Second, constant(map[ident.Model]unit.Slots{large: 10}), func(time.Duration) {
		m.RecordRefusal(llm, large, 0, SampleInterval*2)
		m.RecordWaitStart(llm, large, 0)
		m.RecordWaitEnd(llm, large, 0, SampleInterval*3)
	})
	m.Sample()
	got := m.Demand(clk.Now(), llm).Models[large]
	c.Check(near(got.Offered, 10, 1e-6) && near(got.Refused, 2, 1e-6) && near(got.Waiting, 3, 1e-6), qt.IsTrue, qt.Commentf("%v", got))
}
