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

func (s staticRecords) View() *record.View { return s.view }
func (staticRecords) Ready() bool          { return true }

type crashCounter struct{ crashes atomic.Int64 }

func (*crashCounter) Check(ident.Fingerprint) error                { return nil }
func (c *crashCounter) RecordCrash(ident.Fingerprint, ident.Crash) { c.crashes.Add(1) }

// recordingSink records the answer, to check that it is complete.
type recordingSink struct{ text, finishReason string }

func (*recordingSink) Start(work.Head) error { return nil }

func (s *recordingSink) Chunk(c work.Chunk) error {
	s.text += c.Text
	return nil
}

func (s *recordingSink) End(e work.End) error {
	s.finishReason = e.FinishReason
	return nil
}

// fakeEngineSender counts its requests and answers them when release is closed.
type fakeEngineSender struct {
	release chan struct{}
	arrived chan struct{}
	sent    atomic.Int64
}

func (*fakeEngineSender) Protocol() table.Protocol                  { return table.Engine }
func (*fakeEngineSender) CheckHealth(context.Context, string) error { return nil }

func (f *fakeEngineSender) Send(_ context.Context, e *table.Endpoint, _ *work.Request, _ work.PartialAnswer, s work.Sink) error {
	f.sent.Add(1)
	f.arrived <- struct{}{}
	<-f.release
	if err := s.Start(work.Head{Endpoint: e.ID}); err != nil {
		return err
	}
	if err := s.Chunk(work.Chunk{Text: "answer", Tokens: 1}); err != nil {
		return err
	}
	return s.End(work.End{FinishReason: "stop"})
}

// fakeRelaySender passes requests to other dispatchers, keyed by address.
type fakeRelaySender map[string]*Dispatcher

func (fakeRelaySender) Protocol() table.Protocol { return table.Relay }
func (fakeRelaySender) CheckHealth(context.Context, string) error {
	return code.EndpointUnreachable.New("the daemon does not answer")
}

func (f fakeRelaySender) Send(ctx context.Context, e *table.Endpoint, r *work.Request, _ work.PartialAnswer, s work.Sink) error {
	target := f[e.Address]
	if target == nil {
		return code.CutOff.New("no daemon at %s", e.Address)
	}
	relayed := *r
	relayed.Relayed = true
	return target.Dispatch(ctx, &relayed, s)
}

func newRelayTestDispatcher(engines *fakeEngineSender, relays fakeRelaySender, endpoints ...table.Endpoint) *Dispatcher {
	d := New(Options{
		Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), Tables: table.NewPublisher(),
		Records: staticRecords{record.NewView([]*record.Record{
			{Organisation: &record.Organisation{Name: "bank", Weight: 1}},
			{Deployment: &record.Deployment{Name: "d", Model: "m"}},
		})},
		Policy: policy.NewLeastCost(policy.LeastCostOptions{CacheEntries: 16, Limits: policy.LimitOptions{FirstTokenTarget: time.Second}}),
		Poison: new(crashCounter), Telemetry: NewTelemetry(prometheus.NewRegistry()),
		Senders:  map[table.Protocol]sender{table.Engine: engines, table.Relay: relays},
		Settings: Settings{Avoid: settings.DurationOf(time.Second), RelayAvoid: settings.DurationOf(time.Second)},
	})
	d.Tables.Publish(endpoints)
	return d
}

func engineEndpoint(id string, limit unit.Requests) table.Endpoint {
	return table.Endpoint{ID: ident.Endpoint(id), Protocol: table.Engine, Models: []ident.Model{"m"}, Limit: limit}
}

func relayEndpoint(address string, limit unit.Requests) table.Endpoint {
	e := engineEndpoint("relay/"+address, limit)
	e.Protocol, e.Address = table.Relay, address
	return e
}

func chatRequest() *work.Request {
	return &work.Request{Organisation: "bank", Operation: work.Chat, Model: "m", Resumable: true}
}

// dispatchAll dispatches n requests and returns their errors by code. It starts the
// next request when the last one has reached an engine or was refused. It closes
// release after the last start, so that no request ends before.
func dispatchAll(c *qt.C, d *Dispatcher, release, arrived chan struct{}, requests int, build func() *work.Request) map[code.Code]int {
	results := make(chan error, requests)
	codes := make(map[code.Code]int)
	countResult := func(err error) {
		codes[code.Of(err)]++
		if err != nil {
			c.Check(code.OutcomeOf(err), qt.Equals, code.NotRun, qt.Commentf("%s", err))
		}
	}
	running := 0
	for range requests {
		go func() {
			s := new(recordingSink)
			err := d.Dispatch(context.Background(), build(), s)
			if err == nil && (s.text != "answer" || s.finishReason != "stop") {
				err = fmt.Errorf("answer with text %q and finish reason %q is not complete", s.text, s.finishReason)
			}
			results <- err
		}()
		select {
		case <-arrived:
			running++
		case err := <-results:
			countResult(err)
		}
	}
	close(release)
	for range running {
		countResult(<-results)
	}
	return codes
}

// TestRelay guards against requests at the endpoints of a drained data centre,
// requests that fail while other data centres have free slots, more relayed requests
// than free slots, and refusals with a wrong reason.
func TestRelay(t *testing.T) {
	tests := map[string]struct {
		localLimit  unit.Requests
		relayLimits map[string]unit.Requests
		remoteLimit unit.Requests
		change      func(*work.Request)
		requests    int
		wantRun     int
		wantLocal   int64
		wantRefused code.Code
	}{
		"drained, within the free slots elsewhere":           {relayLimits: map[string]unit.Requests{"b": 4}, remoteLimit: 4, requests: 4, wantRun: 4},
		"drained, above the free slots elsewhere":            {relayLimits: map[string]unit.Requests{"b": 4}, remoteLimit: 4, requests: 9, wantRun: 4, wantRefused: code.OverShare},
		"drained, no free slots elsewhere":                   {requests: 3, wantRefused: code.NoReplica},
		"in service, enough local slots":                     {localLimit: 4, relayLimits: map[string]unit.Requests{"b": 4}, remoteLimit: 4, requests: 4, wantRun: 4, wantLocal: 4},
		"in service, requests above the local slots relayed": {localLimit: 2, relayLimits: map[string]unit.Requests{"b": 4}, remoteLimit: 4, requests: 6, wantRun: 6, wantLocal: 2},
		"summary with more slots than are free":              {relayLimits: map[string]unit.Requests{"b": 8}, remoteLimit: 3, requests: 5, wantRun: 3, wantRefused: code.OverShare},
		"one daemon unreachable, another with free slots":    {relayLimits: map[string]unit.Requests{"b": 2, "unreachable": 1}, remoteLimit: 4, requests: 2, wantRun: 2},
		"relayed request not relayed again":                  {relayLimits: map[string]unit.Requests{"b": 4}, remoteLimit: 4, change: func(r *work.Request) { r.Relayed = true }, requests: 1, wantRefused: code.NoReplica},
		"at-most-once request not relayed":                   {relayLimits: map[string]unit.Requests{"b": 4}, remoteLimit: 4, change: func(r *work.Request) { r.AtMostOnce = true }, requests: 1, wantRefused: code.NoReplica},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			release := make(chan struct{})
			arrived := make(chan struct{}, test.requests)
			local, remote := &fakeEngineSender{release: release, arrived: arrived}, &fakeEngineSender{release: release, arrived: arrived}
			remoteDispatcher := newRelayTestDispatcher(remote, nil, engineEndpoint("remote", test.remoteLimit))
			var endpoints []table.Endpoint
			if test.localLimit > 0 {
				endpoints = append(endpoints, engineEndpoint("local", test.localLimit))
			}
			for address, limit := range test.relayLimits {
				endpoints = append(endpoints, relayEndpoint(address, limit))
			}
			localDispatcher := newRelayTestDispatcher(local, fakeRelaySender{"b": remoteDispatcher}, endpoints...)
			codes := dispatchAll(c, localDispatcher, release, arrived, test.requests, func() *work.Request {
				r := chatRequest()
				if test.change != nil {
					test.change(r)
				}
				return r
			})
			c.Assert(codes[code.Answered], qt.Equals, test.wantRun)
			if refused := test.requests - test.wantRun; refused > 0 {
				c.Assert(codes[test.wantRefused], qt.Equals, refused, qt.Commentf("%v", codes))
			}
			c.Assert(local.sent.Load(), qt.Equals, test.wantLocal)
			c.Assert(remote.sent.Load(), qt.Equals, int64(test.wantRun)-test.wantLocal)
			c.Assert(localDispatcher.Poison.(*crashCounter).crashes.Load(), qt.Equals, int64(0))
		})
	}
}

// newFullDispatcher returns a dispatcher whose local endpoint has no free slot.
func newFullDispatcher() *Dispatcher {
	d := newRelayTestDispatcher(nil, nil, engineEndpoint("local", 1), relayEndpoint("b", 8), relayEndpoint("c", 8))
	d.Tables.Current().Endpoint("local").Acquire(d.Clock.Now())
	return d
}

// TestAcquireAnyDoesNotAllocate guards against allocations when a relay is chosen.
func TestAcquireAnyDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	d, r := newFullDispatcher(), chatRequest()
	localChoices := 0
	const runs = 1000
	allocated := testing.AllocsPerRun(runs, func() {
		e := d.acquireAny(r)
		if e.Protocol != table.Relay {
			localChoices++
		}
		e.Release()
	})
	c.Assert(allocated, qt.Equals, 0.0)
	c.Assert(localChoices, qt.Equals, 0)
}

// BenchmarkAcquireRelay measures the choice of a relay when every local endpoint is
// at its limit.
func BenchmarkAcquireRelay(b *testing.B) {
	d, r := newFullDispatcher(), chatRequest()
	b.ReportAllocs()
	for b.Loop() {
		d.acquireAny(r).Release()
	}
}
