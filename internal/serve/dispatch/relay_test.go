package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/policy"
	"cuminbay/internal/route/table"
)

type staticRecords struct{ view *record.View }

func (f staticRecords) View() *record.View { return f.view }
func (staticRecords) Ready() bool          { return true }

type crashCounter struct{ crashes atomic.Int64 }

func (*crashCounter) Check(ident.Fingerprint) error   { return nil }
func (u *crashCounter) RecordCrash(ident.Fingerprint) { u.crashes.Add(1) }

// recordingSink notes whether the answer was whole.
type recordingSink struct{ text, finish string }

func (*recordingSink) Start(work.Head) error { return nil }

func (s *recordingSink) Chunk(p work.Chunk) error {
	s.text += p.Text
	return nil
}

func (s *recordingSink) End(e work.End) error {
	s.finish = e.FinishReason
	return nil
}

// fakeEngine answers when hold is closed, and counts what it was sent.
type fakeEngine struct {
	release chan struct{}
	arrived chan struct{}
	sent    atomic.Int64
}

func (*fakeEngine) Protocol() table.Protocol                  { return table.Engine }
func (*fakeEngine) CheckHealth(context.Context, string) error { return nil }

func (g *fakeEngine) Send(_ context.Context, e *table.Endpoint, _ *work.Request, _ work.PartialAnswer, s work.Sink) error {
	g.sent.Add(1)
	g.arrived <- struct{}{}
	<-g.release
	if err := s.Start(work.Head{Endpoint: e.ID}); err != nil {
		return err
	}
	if err := s.Chunk(work.Chunk{Text: "answer", Tokens: 1}); err != nil {
		return err
	}
	return s.End(work.End{FinishReason: "stop"})
}

// relaySender relays to other dispatchers by address.
type relaySender map[string]*Dispatcher

func (relaySender) Protocol() table.Protocol { return table.Relay }
func (relaySender) CheckHealth(context.Context, string) error {
	return code.EndpointUnreachable.New("dead")
}

func (w relaySender) Send(ctx context.Context, e *table.Endpoint, r *work.Request, _ work.PartialAnswer, s work.Sink) error {
	there := w[e.Address]
	if there == nil {
		return code.CutOff.New("nobody at %s", e.Address)
	}
	relayed := *r
	relayed.Relayed = true
	return there.Dispatch(ctx, &relayed, s)
}

func newDispatcher(g *fakeEngine, w relaySender, endpoints ...table.Endpoint) *Dispatcher {
	d := New(Options{
		Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), Tables: table.NewPublisher(),
		Records: staticRecords{record.NewView([]*record.Record{
			{Organisation: &record.Organisation{Name: "bank", Weight: 1}},
			{Deployment: &record.Deployment{Name: "d", Model: "m"}},
		})},
		Policy: policy.NewLeastCost(policy.LeastCostOptions{CacheEntries: 16, Limits: policy.LimitOptions{FirstTokenTarget: time.Second}}),
		Poison: new(crashCounter), Telemetry: NewTelemetry(prometheus.NewRegistry()),
		Senders:  map[table.Protocol]sender{table.Engine: g, table.Relay: w},
		Settings: Settings{Avoid: settings.DurationOf(time.Second), RelayAvoid: settings.DurationOf(time.Second)},
	})
	d.Tables.Publish(endpoints)
	return d
}

func engineAt(id string, limit unit.Requests) table.Endpoint {
	return table.Endpoint{ID: ident.Endpoint(id), Protocol: table.Engine, Models: []ident.Model{"m"}, Limit: limit}
}

func relayTo(address string, limit unit.Requests) table.Endpoint {
	e := engineAt("relay/"+address, limit)
	e.Protocol, e.Address = table.Relay, address
	return e
}

func request() *work.Request {
	return &work.Request{Organisation: "bank", Operation: work.Chat, Model: "m", Resumable: true}
}

// dispatchAll dispatches n requests and returns the errors by code. Each is at an
// engine or refused before the next begins, and none ends before all are.
func dispatchAll(c *qt.C, d *Dispatcher, hold, arrived chan struct{}, n int, build func() *work.Request) map[code.Code]int {
	results := make(chan error, n)
	codes := make(map[code.Code]int)
	count := func(err error) {
		codes[code.Of(err)]++
		if err != nil {
			c.Check(code.OutcomeOf(err), qt.Equals, code.NotRun, qt.Commentf("%s", err))
		}
	}
	running := 0
	for range n {
		go func() {
			s := new(recordingSink)
			err := d.Dispatch(context.Background(), build(), s)
			if err == nil && (s.text != "answer" || s.finish != "stop") {
				err = fmt.Errorf("answer %q %q is not whole", s.text, s.finish)
			}
			results <- err
		}()
		select {
		case <-arrived:
			running++
		case err := <-results:
			count(err)
		}
	}
	close(hold)
	for range running {
		count(<-results)
	}
	return codes
}

// TestRelay guards against work at a drained data centre, against
// requests lost while others have room, against more than their room being
// sent, and against refusals that are not accurate.
func TestRelay(t *testing.T) {
	tests := map[string]struct {
		local       unit.Requests
		relays      map[string]unit.Requests
		far         unit.Requests
		build       func(*work.Request)
		offered     int
		room        int
		wantLocal   int64
		wantRefused code.Code
	}{
		"drained and within the room of others":     {relays: map[string]unit.Requests{"b": 4}, far: 4, offered: 4, room: 4},
		"drained and above the room of others":      {relays: map[string]unit.Requests{"b": 4}, far: 4, offered: 9, room: 4, wantRefused: code.OverShare},
		"drained and nobody else has room":          {offered: 3, wantRefused: code.NoReplica},
		"in service with room":                      {local: 4, relays: map[string]unit.Requests{"b": 4}, far: 4, offered: 4, room: 4, wantLocal: 4},
		"in service and the rest relayed":           {local: 2, relays: map[string]unit.Requests{"b": 4}, far: 4, offered: 6, room: 6, wantLocal: 2},
		"the summary promised too much":             {relays: map[string]unit.Requests{"b": 8}, far: 3, offered: 5, room: 3, wantRefused: code.OverShare},
		"one daemon is gone, another has room":      {relays: map[string]unit.Requests{"b": 2, "gone": 1}, far: 4, offered: 2, room: 2},
		"a relayed request is not relayed again":    {relays: map[string]unit.Requests{"b": 4}, far: 4, build: func(r *work.Request) { r.Relayed = true }, offered: 1, wantRefused: code.NoReplica},
		"an at-most-once request stays where it is": {relays: map[string]unit.Requests{"b": 4}, far: 4, build: func(r *work.Request) { r.AtMostOnce = true }, offered: 1, wantRefused: code.NoReplica},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			hold := make(chan struct{})
			arrived := make(chan struct{}, test.offered)
			near, far := &fakeEngine{release: hold, arrived: arrived}, &fakeEngine{release: hold, arrived: arrived}
			b := newDispatcher(far, nil, engineAt("far", test.far))
			var endpoints []table.Endpoint
			if test.local > 0 {
				endpoints = append(endpoints, engineAt("near", test.local))
			}
			for address, limit := range test.relays {
				endpoints = append(endpoints, relayTo(address, limit))
			}
			a := newDispatcher(near, relaySender{"b": b}, endpoints...)
			codes := dispatchAll(c, a, hold, arrived, test.offered, func() *work.Request {
				r := request()
				if test.build != nil {
					test.build(r)
				}
				return r
			})
			c.Assert(codes[code.Answered], qt.Equals, test.room)
			if refused := test.offered - test.room; refused > 0 {
				c.Assert(codes[test.wantRefused], qt.Equals, refused, qt.Commentf("%v", codes))
			}
			c.Assert(near.sent.Load(), qt.Equals, test.wantLocal)
			c.Assert(far.sent.Load(), qt.Equals, int64(test.room)-test.wantLocal)
			c.Assert(a.Poison.(*crashCounter).crashes.Load(), qt.Equals, int64(0))
		})
	}
}

// fullDispatcher returns a dispatcher whose local endpoint has no room.
func fullDispatcher() *Dispatcher {
	d := newDispatcher(nil, nil, engineAt("near", 1), relayTo("b", 8), relayTo("c", 8))
	d.Tables.Current().Endpoint("near").Acquire(d.Clock.Now())
	return d
}

// TestChooseAllocates guards against allocation in the choice of a relay.
func TestChooseAllocates(t *testing.T) {
	c := qt.New(t)
	d, r := fullDispatcher(), request()
	local := 0
	const runs = 1000
	allocated := testing.AllocsPerRun(runs, func() {
		e := d.acquireAny(r)
		if e.Protocol != table.Relay {
			local++
		}
		e.Release()
	})
	c.Assert(allocated, qt.Equals, 0.0)
	c.Assert(local, qt.Equals, 0)
}

// BenchmarkChooseRelay measures the choice when every local endpoint is full.
func BenchmarkChooseRelay(b *testing.B) {
	d, r := fullDispatcher(), request()
	b.ReportAllocs()
	for b.Loop() {
		d.acquireAny(r).Release()
	}
}
