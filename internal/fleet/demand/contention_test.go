package demand

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// TestContended guards against slots that are reserved for a priority that doesn't need them, and
// against a reserve that is missing while requests of the priority wait, here or elsewhere.
func TestContended(t *testing.T) {
	heard := func(p unit.Priority, age time.Duration) func(*Meter) {
		return func(m *Meter) {
			m.MergeDemand("b", Report{Contention: []Contention{{HashOf(llm, large), p, age}}})
		}
	}
	tests := map[string]struct {
		events []func(*Meter)
		// interval is the time after each event.
		interval time.Duration
		want     unit.Priority
		wantNone bool
	}{
		"nothing":                {wantNone: true},
		"refused":                {events: []func(*Meter){func(m *Meter) { m.RecordRefusal(llm, large, -1, time.Second) }}, want: -1},
		"waits":                  {events: []func(*Meter){func(m *Meter) { m.RecordWaitStart(llm, large, -2) }}, want: -2},
		"waited":                 {events: []func(*Meter){func(m *Meter) { m.RecordWaitEnd(llm, large, -2, time.Second) }}, want: -2},
		"for another model":      {events: []func(*Meter){func(m *Meter) { m.RecordWaitStart(llm, small, -2) }}, wantNone: true},
		"2 s ago":                {events: []func(*Meter){func(m *Meter) { m.RecordWaitStart(llm, large, -2) }}, interval: 2 * time.Second, want: -2},
		"longer ago":             {events: []func(*Meter){func(m *Meter) { m.RecordWaitStart(llm, large, -2) }}, interval: 2*time.Second + 1, wantNone: true},
		"elsewhere":              {events: []func(*Meter){heard(-1, 0)}, want: -1},
		"elsewhere, 1.5 s ago":   {events: []func(*Meter){heard(-1, 1500*time.Millisecond)}, interval: 400 * time.Millisecond, want: -1},
		"elsewhere, 1.95 s ago":  {events: []func(*Meter){heard(-1, 1950*time.Millisecond)}, wantNone: true},
		"highest of several":     {events: []func(*Meter){heard(-2, 0), heard(0, 0), heard(-1, 0)}, want: 0},
		"highest was longer ago": {events: []func(*Meter){heard(0, 0), heard(-1, 0)}, interval: time.Second, want: -1},
		"older report later":     {events: []func(*Meter){heard(-1, 0), heard(-1, 1900*time.Millisecond)}, interval: 500 * time.Millisecond, want: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			m, _ := newMeter(c, clk, "a", fakeDaemons{"a": "z"})
			for _, event := range test.events {
				event(m)
				clk.Advance(test.interval)
			}
			got, recent := m.Contended(llm, large)
			c.Check(recent, qt.Equals, !test.wantNone)
			if recent {
				c.Check(got, qt.Equals, test.want)
			}
		})
	}
}

// TestContentionEnds guards against contention that daemons pass to each other for ever, as a
// report is passed on right after it arrives and the time in transit is in no age.
func TestContentionEnds(t *testing.T) {
	const daemonCount, fanout = 30, 6
	const interval, transit = 10 * time.Millisecond, 40 * time.Millisecond
	type delivery struct {
		to     int
		report Report
		at     time.Time
	}
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	random := rand.New(rand.NewPCG(1, 2))
	var meters []*Meter
	for i := range daemonCount {
		m, _ := newMeter(c, clk, ident.Instance(fmt.Sprint(i)), nil)
		meters = append(meters, m)
	}
	meters[0].RecordRefusal(llm, large, 0, time.Second)
	start := clk.Now()
	var underway []delivery
	know, most := 1, 0
	for know > 0 && clk.Since(start) < 10*time.Second {
		for _, m := range meters {
			for range fanout {
				underway = append(underway, delivery{random.IntN(daemonCount), m.DemandReport(clk.Now()), clk.Now().Add(transit)})
			}
		}
		clk.Advance(interval)
		for len(underway) > 0 && !underway[0].at.After(clk.Now()) {
			meters[underway[0].to].MergeDemand("x", underway[0].report)
			underway = underway[1:]
		}
		know = 0
		for _, m := range meters {
			if _, recent := m.Contended(llm, large); recent {
				know++
			}
		}
		most = max(most, know)
	}
	c.Check(most, qt.Equals, daemonCount, qt.Commentf("daemons that have known"))
	c.Check(clk.Since(start) < contentionTime+100*time.Millisecond, qt.IsTrue, qt.Commentf("known for %s", clk.Since(start)))
}

// TestManyPriorities guards against state that grows with the priorities that datagrams name, and
// against a low one that displaces a high one.
func TestManyPriorities(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	m, _ := newMeter(c, clk, "a", fakeDaemons{"a": "z"})
	m.RecordRefusal(llm, large, 0, time.Second)
	for p := range 100 {
		m.RecordRefusal(llm, large, unit.Priority(-p), time.Second)
	}
	got, _ := m.Contended(llm, large)
	c.Check(got, qt.Equals, unit.Priority(0))
	c.Check(len(m.DemandReport(clk.Now()).Contention), qt.Equals, maxPriorities)
	clk.Advance(3 * time.Second)
	m.RecordRefusal(llm, large, -200, time.Second)
	got, _ = m.Contended(llm, large)
	c.Check(got, qt.Equals, unit.Priority(-200))
	c.Check(m.meterOf(llm, large).contention.load(), qt.HasLen, 1)
}

// TestConcurrentRecords guards against lost counts and data races between requests, samples,
// datagrams and the planner.
func TestConcurrentRecords(t *testing.T) {
	const requests, workers = 2000, 4
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	m, _ := newMeter(c, clk, "a", fakeDaemons{"a": "z", "b": "z"})
	var running sync.WaitGroup
	for w := range workers {
		running.Go(func() {
			for i := range requests {
				m.RecordArrival(llm, large, time.Millisecond)
				m.RecordWaitStart(llm, large, unit.Priority(-i%3))
				m.Contended(llm, large)
				if i%100 == 0 {
					clk.Advance(time.Millisecond)
					m.Sample()
					m.Observe()
					m.MergeDemand("b", m.DemandReport(clk.Now()))
					m.OfferedLoad(clk.Now(), llm)
				}
			}
		})
		_ = w
	}
	running.Wait()
	c.Check(m.meterOf(llm, large).read().arrivedWork, qt.Equals, requests*workers*time.Millisecond)
	_, recent := m.Contended(llm, large)
	c.Check(recent, qt.IsTrue)
}

func BenchmarkRequest(b *testing.B) {
	m, _ := newMeter(b, clockwork.NewRealClock(), "a", fakeDaemons{"a": "z"})
	b.ReportAllocs()
	for b.Loop() {
		m.RecordArrival(llm, large, time.Second)
		m.RecordWaitStart(llm, large, 0)
		m.RecordWaitEnd(llm, large, 0, time.Millisecond)
		m.Contended(llm, large)
	}
}

func BenchmarkOfferedLoad(b *testing.B) {
	clk := clockwork.NewFakeClock()
	daemons := make(fakeDaemons)
	for i := range 295 {
		daemons[ident.Instance(fmt.Sprint(i))] = ident.DataCentre(fmt.Sprint(i % 5))
	}
	m, _ := newMeter(b, clk, "0", daemons)
	for i := range 295 {
		m.MergeDemand(ident.Instance(fmt.Sprint(i)), reportOf(3, 1))
	}
	b.ReportAllocs()
	for b.Loop() {
		m.OfferedLoad(clk.Now(), llm)
	}
}
