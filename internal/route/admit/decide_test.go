package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/route/admit"
)

// TestDecide guards against a refusal of a request that a wait may serve, against a wait beyond the
// time at which the caller leaves, against precedence of a retry, and against another wait of plain
// services than a third of their objective.
func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	stream := admit.Request{
		Objective: 300 * ms, Timeout: 6 * time.Second, Received: start, Deadline: start.Add(6 * time.Second), FirstEvent: 100 * ms, IsStream: true,
	}
	with := func(change func(*admit.Request)) admit.Request {
		r := stream
		change(&r)
		return r
	}
	plain := with(func(r *admit.Request) { r.IsStream, r.Timeout, r.Deadline = false, time.Second, start.Add(time.Second) })
	retry := with(func(r *admit.Request) { r.Deadline = start.Add(4 * time.Second) })
	slow := with(func(r *admit.Request) { r.FirstEvent = 250 * ms })
	forecast := func(perSecond float64) admit.Forecast {
		return admit.Forecast{FreedPerSecond: perSecond, Corrections: [2]float64{1, 1}}
	}
	busy := admit.Standing{AheadOnTime: 9, AheadLate: 29}
	tests := map[string]struct {
		request   admit.Request
		standing  admit.Standing
		forecast  admit.Forecast
		noReplica bool
		want      admit.Action
		wantClass admit.Class
		wantUntil time.Duration
	}{
		"served in time":                   {request: stream, standing: busy, forecast: forecast(100), want: admit.Wait, wantUntil: 100 * ms},
		"too late for the objective":       {request: stream, standing: busy, forecast: forecast(20), want: admit.Refuse, wantClass: admit.Late, wantUntil: 100 * ms},
		"first in the queue stays on time": {request: stream, standing: admit.Standing{AheadLate: 29}, forecast: forecast(2), want: admit.Wait, wantUntil: 100 * ms},
		"caller leaves before":             {request: stream, standing: busy, forecast: forecast(10), want: admit.Refuse, wantClass: admit.Late, wantUntil: 100 * ms},
		"no slot in time, in doubt":        {request: slow, standing: admit.Standing{AheadOnTime: 27, AheadLate: 27}, forecast: forecast(200), want: admit.Wait, wantClass: admit.Late, wantUntil: 100 * ms},
		"no slot in time":                  {request: slow, standing: admit.Standing{AheadOnTime: 27, AheadLate: 27}, forecast: forecast(170), want: admit.Refuse, wantClass: admit.Late, wantUntil: 100 * ms},
		"unknown rate":                     {request: stream, standing: busy, want: admit.Wait, wantUntil: 100 * ms},
		"only one of its group":            {request: stream, standing: admit.Standing{AheadOnTime: 9, AheadLate: 29, Alone: true}, forecast: forecast(1), want: admit.Wait, wantClass: admit.Late, wantUntil: 200 * ms},
		"retry":                            {request: retry, standing: busy, forecast: forecast(1), want: admit.Wait, wantClass: admit.Late, wantUntil: 100 * ms},
		"may have run":                     {request: with(func(r *admit.Request) { r.MayHaveRun = true }), standing: busy, forecast: forecast(1), want: admit.Wait, wantClass: admit.Late, wantUntil: 100 * ms},
		"interrupted stream":               {request: with(func(r *admit.Request) { r.Resumed, r.MayHaveRun = true, true }), standing: busy, forecast: forecast(1), want: admit.Wait, wantClass: admit.Resumed, wantUntil: time.Second},
		"short deadline":                   {request: with(func(r *admit.Request) { r.Deadline = start.Add(500 * ms) }), standing: busy, forecast: forecast(100), want: admit.Wait, wantClass: admit.Late, wantUntil: 100 * ms},
		"no replica":                       {request: stream, noReplica: true, want: admit.Wait, wantUntil: 100 * ms},
		"plain service":                    {request: plain, standing: busy, forecast: forecast(1), want: admit.Wait, wantUntil: 100 * ms},
		"retry at once waits no longer":    {request: with(func(r *admit.Request) { r.Deadline = r.Deadline.Add(-2 * ms) }), standing: busy, forecast: forecast(10), want: admit.Refuse, wantClass: admit.Late, wantUntil: 98 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := admit.Rules{Fill: 1}.Decide(&test.request, &admit.State{
				Now: start, HasEndpoints: !test.noReplica, Standing: test.standing, Forecast: test.forecast,
			})
			c.Check(d.Action, qt.Equals, test.want)
			c.Check(d.Class, qt.Equals, test.wantClass)
			c.Check(d.Until.Sub(start), qt.Equals, test.wantUntil)
		})
	}
}

// TestLimit guards against slots that are left empty without contention, and against late requests or
// lower priorities that take the slots of others while these are short.
func TestLimit(t *testing.T) {
	recent := admit.Contention{Priority: 0, Recent: true}
	tests := map[string]struct {
		class      admit.Class
		rank       unit.Priority
		contention admit.Contention
		want       float64
	}{
		"on time":                        {class: admit.OnTime, rank: -1, want: 0.95},
		"late":                           {class: admit.Late, rank: -1, want: 0.95},
		"on time beside a higher rank":   {class: admit.OnTime, rank: -1, contention: recent, want: 0.9},
		"on time beside its own rank":    {class: admit.OnTime, rank: 0, contention: recent, want: 0.95},
		"on time beside a lower rank":    {class: admit.OnTime, rank: 1, contention: recent, want: 0.95},
		"late beside requests in time":   {class: admit.Late, rank: 1, contention: recent, want: 0.8},
		"least share beside higher rank": {class: admit.LeastShare, rank: -1, contention: recent, want: 0.95},
		"interrupted stream":             {class: admit.Resumed, rank: -1, contention: recent, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := admit.Rules{Fill: 0.95}.Limit(test.class, test.rank, test.contention)
			qt.Check(t, got > test.want-1e-9 && got < test.want+1e-9, qt.IsTrue, qt.Commentf("%f", got))
		})
	}
}

// TestForecast guards against a rate that counts slots of more than two seconds ago, against a forecast
// that doesn't learn from waits, and against one that a wait shorter than predicted without a slot
// shortens.
func TestForecast(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	f := admit.NewMonitor(clk).Flow("m")
	c.Check(f.Forecast(0).Wait(admit.OnTime, 3), qt.Equals, time.Duration(0))
	for range 100 {
		f.SlotTaken()
		clk.Advance(50 * time.Millisecond)
		f.SlotFreed()
	}
	rate := f.Forecast(0).FreedPerSecond
	c.Check(rate > 18 && rate < 22, qt.IsTrue, qt.Commentf("%f", rate))
	before := f.Forecast(0).Wait(admit.OnTime, 9)
	for range 50 {
		f.RecordWait(admit.OnTime, f.Forecast(0).Wait(admit.OnTime, 9), 100*time.Millisecond, true)
	}
	learned := f.Forecast(0).Wait(admit.OnTime, 9)
	c.Check(before > 400*time.Millisecond && learned < 110*time.Millisecond, qt.IsTrue, qt.Commentf("%s, %s", before, learned))
	f.RecordWait(admit.OnTime, learned, learned/2, false)
	c.Check(f.Forecast(0).Wait(admit.OnTime, 9), qt.Equals, learned)
	clk.Advance(3 * time.Second)
	c.Check(f.Forecast(0).FreedPerSecond, qt.Equals, 0.0)
	f.SlotTaken()
	c.Check(f.Forecast(500*time.Millisecond).FreedPerSecond, qt.Equals, 2.0)
}

// TestReturn guards against refused callers that come back together, or later than they are ready to
// wait, and against a look at the next time that differs from it or takes a place in the schedule.
func TestReturn(t *testing.T) {
	const patience = time.Second
	tests := map[string]struct{ freed, refusals, wantSlots int }{
		"within their patience": {freed: 40, refusals: 10, wantSlots: 10},
		"more than return":      {freed: 40, refusals: 200, wantSlots: 19},
		"unknown rate":          {refusals: 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			f := admit.NewMonitor(clk).Flow("m")
			for range test.freed {
				clk.Advance(50 * time.Millisecond)
				f.SlotFreed()
			}
			tenths := make(map[int]int)
			for i := range test.refusals {
				peeked := f.PeekReturn(clk.Now(), 0, f.Forecast(0), patience)
				c.Assert(f.PeekReturn(clk.Now(), 0, f.Forecast(0), patience), qt.Equals, peeked)
				after := f.Return(0, f.Forecast(0), patience)
				c.Assert(after, qt.Equals, peeked)
				c.Assert(after > 0 && after <= patience, qt.IsTrue, qt.Commentf("%s", after))
				if i >= test.wantSlots {
					c.Assert(after >= patience/2, qt.IsTrue)
				}
				tenths[int(after*10/(patience+1))]++
			}
			for tenth, count := range tenths {
				c.Check(count <= test.refusals/4+2, qt.IsTrue, qt.Commentf("%d of %d come back in tenth %d", count, test.refusals, tenth))
			}
		})
	}
}

// TestPeek guards against observations that are kept for a key that was only looked at, and against a look
// that doesn't see what was observed.
func TestPeek(t *testing.T) {
	c := qt.New(t)
	m := admit.NewMonitor(clockwork.NewFakeClock())
	m.Peek("m").SlotTaken()
	c.Check(m.Peek("m").Forecast(time.Second).FreedPerSecond, qt.Equals, 0.0)
	m.Flow("m").SlotTaken()
	c.Check(m.Peek("m").Forecast(time.Second).FreedPerSecond, qt.Equals, 1.0)
}

// TestObservationsDoNotAllocate guards against allocations by a request of a key, priority and organisation
// that had requests before.
func TestObservationsDoNotAllocate(t *testing.T) {
	const (
		priority = 1000
		// capacity is short enough for the shares of organisations to be compared.
		capacity = 2
	)
	m, s := admit.NewMonitor(clockwork.NewFakeClock()), admit.NewShares()
	o := &record.Organisation{Name: "o", Weight: 1}
	tests := map[string]func(){
		"flow":       func() { m.Flow("m").SlotTaken() },
		"peek":       func() { m.Peek("m").SlotTaken() },
		"shortage":   func() { m.Flow("m").RecordShortage(priority) },
		"contention": func() { m.Contention("m") },
		"preview":    func() { s.Preview(o).Release() },
		"admission": func() {
			a, err := s.Admit(o, capacity)
			if err != nil {
				panic(err)
			}
			a.Release()
		},
	}
	m.Flow("m").RecordShortage(priority)
	_, err := s.Admit(o, capacity)
	qt.Assert(t, err, qt.IsNil)
	for name, observe := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, testing.AllocsPerRun(100, observe), qt.Equals, 0.0)
		})
	}
}

// BenchmarkDecide measures the decision for a request that finds a slot, and for one that waits.
func BenchmarkDecide(b *testing.B) {
	clk := clockwork.NewFakeClock()
	m := admit.NewMonitor(clk)
	f := m.Flow("m")
	f.SlotFreed()
	f.RecordShortage(0)
	now := clk.Now()
	r := admit.Request{Objective: time.Second, Timeout: 6 * time.Second, Received: now, Deadline: now.Add(6 * time.Second), IsStream: true}
	rules := admit.Rules{Fill: 1}
	b.Run("slot", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			rules.Limit(r.Class(now), r.Priority, m.Contention("m"))
		}
	})
	b.Run("wait", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			rules.Decide(&r, &admit.State{Now: now, HasEndpoints: true, Standing: admit.Standing{AheadOnTime: 5}, Forecast: f.Forecast(time.Second)})
		}
	})
}
