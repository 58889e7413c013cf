package plan

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/kernel/timeline"
	"cuminbay/internal/standin/singlekey"
)

// fakePlugins stand in for the other plug-ins. Engines obey every order.
type fakePlugins struct {
	singlekey.Store
	mu         sync.Mutex
	entry      store.Entry
	loseAnswer bool
	orderCount int
	reports    map[string]*report.Report
}

func (s *fakePlugins) Swap(ctx context.Context, w store.Swap) (store.Entry, store.SwapResult, error) {
	if w.Key != store.AssignmentPrefix+"rack" {
		return s.Store.Swap(ctx, w)
	}
	if s.entry.Revision != w.ExpectedRevision {
		return s.entry, store.Conflict, nil
	}
	s.entry = store.Entry{Key: w.Key, Value: w.Value, Revision: w.ExpectedRevision + 1}
	if s.loseAnswer {
		return store.Entry{}, store.Unknown, singlekey.ErrUnavailable
	}
	return s.entry, store.Applied, nil
}

func (s *fakePlugins) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	if s.entry.Revision == 0 {
		return nil, 0, nil
	}
	return []store.Entry{s.entry}, s.entry.Revision, nil
}

func (s *fakePlugins) FetchReport(_ context.Context, address string) (*report.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := *s.reports[address]
	s.reports[address].Sequence++
	return &r, nil
}

func (s *fakePlugins) SendOrder(_ context.Context, address string, o *report.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderCount++
	s.reports[address].Placement, s.reports[address].Ready = o.Placement, true
	return o.Check()
}

func (s *fakePlugins) Owner(string) ident.Instance             { return "d" }
func (s *fakePlugins) DataCentreDrained(ident.DataCentre) bool { return false }
func (s *fakePlugins) InstanceDrained(ident.Instance) bool     { return false }
func (s *fakePlugins) Ready() bool                             { return true }
func (s *fakePlugins) AttestedStates() []report.ReplicaState   { return nil }
func (s *fakePlugins) assignment() (a report.Assignment) {
	_ = json.Unmarshal(s.entry.Value, &a)
	return a
}

func (s *fakePlugins) Instances() []roster.Instance {
	var list []roster.Instance
	for _, id := range []ident.Instance{"a", "b", "c"} {
		list = append(list, roster.Instance{
			ID: id, DataCentre: "kirtipur", Domain: "rack", Role: roster.Engine, State: roster.Live,
			Address: string(id) + ":1", Accelerators: 2,
		})
	}
	return list
}

func (s *fakePlugins) View() *record.View {
	return record.NewView([]*record.Record{{Deployment: &record.Deployment{
		Name: "chat", Model: "m", Version: "1", Size: 2,
		Placements: []record.Placement{{DataCentre: "kirtipur", Replicas: 1}},
	}}})
}

// TestController guards against a planner that acts before it has looked, without its
// lease, or twice after a lost answer.
func TestController(t *testing.T) {
	tests := map[string]struct {
		loseAnswer   bool
		leaseExpires bool
		orders       int
		epoch        unit.Epoch
	}{
		"written":      {orders: 2, epoch: 1},
		"answer lost":  {loseAnswer: true, orders: 2, epoch: 1},
		"lease lapsed": {leaseExpires: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			parsed, err := settings.Parse([]byte(`{"daemon":{"instance":"d","dataCentre":"kirtipur"}}`), nil)
			c.Assert(err, qt.IsNil)
			deps := &plugin.Deps{
				Settings: parsed, Clock: clk, Log: zerolog.Nop(), Metrics: prometheus.NewRegistry(),
				Timeline: timeline.NewRecorder(timeline.RecorderOptions{HybridClock: timeline.NewHybrid(clk), Log: zerolog.Nop(), Capacity: 16}),
			}
			fakes := &fakePlugins{Store: singlekey.Store{TTL: 10 * time.Second}, loseAnswer: test.loseAnswer, reports: map[string]*report.Report{}}
			for _, i := range fakes.Instances() {
				fakes.reports[i.Address] = &report.Report{Instance: i.ID, Incarnation: 1, Sequence: 1}
			}
			deps.Provide(fakes)
			p, err := newPlugin(deps)
			c.Assert(err, qt.IsNil)
			comp := p.(*controller)
			ctx := context.Background()
			c.Assert(comp.Start(ctx), qt.IsNil)
			c.Assert(comp.BackgroundTasks.Stop(ctx), qt.IsNil)
			comp.runRound(ctx)
			c.Assert(fakes.entry.Revision, qt.Equals, unit.Revision(0))
			if test.leaseExpires {
				fakes.TTL = 0
			}
			for range 8 {
				clk.Advance(comp.settings.Interval.Duration)
				comp.runRound(ctx)
			}
			c.Assert(fakes.orderCount, qt.Equals, test.orders)
			c.Assert(fakes.assignment().Epoch, qt.Equals, test.epoch)
			c.Assert(comp.Stop(ctx), qt.IsNil)
		})
	}
}
