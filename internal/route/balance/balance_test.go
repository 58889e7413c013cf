package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

// fixedDaemonCount is a fleet of that many.
type fixedDaemonCount int

func (d fixedDaemonCount) DaemonCount() int { return int(d) }

var start = time.Unix(1_000_000, 0)

// target is an endpoint with so many requests in flight.
type target struct {
	id         ident.Instance
	dataCentre ident.DataCentre
	inFlight   int
	plain      bool
	cold       time.Duration
	avoided    bool
}

func (t target) endpoint() *catalog.Endpoint {
	e := &catalog.Endpoint{
		Server: &cluster.Server{ID: t.id, DataCentre: t.dataCentre, Slots: 10, ColdFor: t.cold, ReceivedAt: start},
		Engine: new(cluster.Engine), ColdRate: 10, Load: new(catalog.Load),
	}
	if t.plain {
		e.Engine = nil
	}
	for range t.inFlight {
		e.Load.RequestStarted()
	}
	if t.avoided {
		e.Load.AvoidUntil(start.Add(time.Minute))
	}
	return e
}

// TestPick guards against requests to endpoints that are full, failed or far
// away while better ones have room.
func TestPick(t *testing.T) {
	tests := map[string]struct {
		targets []target
		tried   []ident.Instance
		want    ident.Instance
	}{
		"nothing":                      {},
		"the least loaded":             {targets: []target{{id: "a", inFlight: 5}, {id: "b", inFlight: 2}, {id: "c", inFlight: 4}}, want: "b"},
		"the own data centre":          {targets: []target{{id: "a", dataCentre: "far"}, {id: "b", inFlight: 2}}, want: "b"},
		"far away when loaded":         {targets: []target{{id: "a", dataCentre: "far"}, {id: "b", inFlight: 6}}, want: "a"},
		"not one that was tried":       {targets: []target{{id: "a"}, {id: "b", inFlight: 5}}, tried: []ident.Instance{"a"}, want: "b"},
		"none above the fill":          {targets: []target{{id: "a", inFlight: 9}, {id: "b", inFlight: 10}}},
		"a plain server may queue":     {targets: []target{{id: "a", inFlight: 12, plain: true}}, want: "a"},
		"a plain server's queue ends":  {targets: []target{{id: "a", inFlight: 20, plain: true}}},
		"not one that is avoided":      {targets: []target{{id: "a", avoided: true}, {id: "b", inFlight: 8}}, want: "b"},
		"not one that is avoided, yet": {targets: []target{{id: "a", avoided: true}, {id: "b", inFlight: 9}}},
		"avoided if all are":           {targets: []target{{id: "a", avoided: true, inFlight: 3}, {id: "b", avoided: true}}, want: "b"},
		"not a cold one at first":      {targets: []target{{id: "a", cold: time.Second}, {id: "b", inFlight: 8}}, want: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := New(Options{DataCentre: "", Daemons: fixedDaemonCount(1), RemotePenalty: 0.3, MaxUtilisation: 0.9, PlainQueueRatio: 1, ColdRateFraction: 0.9})
			var list []*catalog.Endpoint
			for _, target := range test.targets {
				list = append(list, target.endpoint())
			}
			var got ident.Instance
			if e := b.Pick(start, list, test.tried); e != nil {
				got = e.ID
			}
			c.Check(got, qt.Equals, test.want)
		})
	}
}

// TestCold guards against a cold server that gets more requests in a second, from
// all daemons together, than it bears.
func TestCold(t *testing.T) {
	for name, n := range map[string]int{"one daemon": 1, "eight daemons": 8, "75 daemons": 75} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			const rate, slack = 18.0, 1.5*18 + 5
			var sent []time.Duration
			loads := make([]catalog.Load, n)
			for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
				for i := range loads {
					if loads[i].AdmitCold(start.Add(at), rate*0.9/float64(n)) {
						sent = append(sent, at)
					}
				}
			}
			c.Check(len(sent) > 20*rate/2, qt.IsTrue, qt.Commentf("%d sent", len(sent)))
			for i := range sent {
				in := 0
				for _, at := range sent[i:] {
					if at < sent[i]+time.Second {
						in++
					}
				}
				c.Assert(float64(in) <= slack, qt.IsTrue, qt.Commentf("%d from %s", in, sent[i]))
			}
		})
	}
}

// TestRetryBudget guards against more repeats in any window than the share of the
// requests and the slack allow.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 40.0, 10 * time.Second
		clk := clockwork.NewFakeClock()
		b := NewRetryBudget(RetryBudgetOptions{Clock: clk, Daemons: fixedDaemonCount(1), Ratio: ratio, BaseRetries: slack, Window: window})
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			clk.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest()
				events = append(events, event{clk.Now(), false})
			}
			for range rapid.IntRange(0, 5).Draw(t, "repeats") {
				if b.AllowRetry() {
					events = append(events, event{clk.Now(), true})
				}
			}
		}
		for i, from := range events {
			requests, repeats := 0, 0
			for _, e := range events[i:] {
				if e.at.Sub(from.at) >= window {
					break
				}
				if e.repeat {
					repeats++
				}
			}
			for _, e := range events {
				if d := e.at.Sub(from.at); !e.repeat && d >= -window && d < window {
					requests++
				}
			}
			if float64(repeats) > ratio*float64(requests)+slack {
				t.Fatalf("%d repeats for %d requests from %s", repeats, requests, from.at)
			}
		}
	})
}

// TestRetryBudgetOfManyDaemons guards against daemons that each use the slack of all.
func TestRetryBudgetOfManyDaemons(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	total := 0
	for range 8 {
		b := NewRetryBudget(RetryBudgetOptions{Clock: clk, Daemons: fixedDaemonCount(8), Ratio: 0.2, BaseRetries: 80, Window: 10 * time.Second})
		for b.AllowRetry() {
			total++
		}
	}
	c.Check(total > 0 && total <= 80, qt.IsTrue, qt.Commentf("%d", total))
}

func BenchmarkPick(b *testing.B) {
	balancer := New(Options{Daemons: fixedDaemonCount(8), RemotePenalty: 0.3, MaxUtilisation: 0.9, PlainQueueRatio: 1, ColdRateFraction: 0.9})
	var list []*catalog.Endpoint
	for i := range 50 {
		list = append(list, target{id: ident.Instance(rune('a' + i)), inFlight: i % 7}.endpoint())
	}
	b.ReportAllocs()
	for b.Loop() {
		balancer.Pick(start, list, nil)
	}
}
