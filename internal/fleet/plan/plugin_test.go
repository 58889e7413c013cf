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

// fakePlugins stands in for the plug-ins that the controller uses. Its engines
// carry out every order.
type fakePlugins struct {
	singlekey.Store
	mu sync.Mutex
	// entry is the stored assignment of the domain rack.
	entry store.Entry
	// loseAnswer lets writes of the assignment take effect without an answer.
	loseAnswer bool
	orderCount int
	// reports has the engines' reports by address.
	reports map[string]*report.Report
}

func (f *fakePlugins) Swap(ctx context.Context, w store.Swap) (store.Entry, store.SwapResult, error) {
	if w.Key != store.AssignmentPrefix+"rack" {
		return f.Store.Swap(ctx, w)
	}
	if f.entry.Revision != w.ExpectedRevision {
		return f.entry, store.Conflict, nil
	}
	f.entry = store.Entry{Key: w.Key, Value: w.Value, Revision: w.ExpectedRevision + 1}
	if f.loseAnswer {
		return store.Entry{}, store.Unknown, singlekey.ErrUnavailable
	}
	return f.entry, store.Applied, nil
}

func (f *fakePlugins) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	if f.entry.Revision == 0 {
		return nil, 0, nil
	}
	return []store.Entry{f.entry}, f.entry.Revision, nil
}

func (f *fakePlugins) FetchReport(_ context.Context, address string) (*report.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := *f.reports[address]
	f.reports[address].Sequence++
	return &r, nil
}

func (f *fakePlugins) SendOrder(_ context.Context, address string, o *report.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orderCount++
	f.reports[address].Membership, f.reports[address].Ready = o.Membership, true
	return o.Check()
}

func (f *fakePlugins) Owner(string) ident.Instance             { return "d" }
func (f *fakePlugins) DataCentreDrained(ident.DataCentre) bool { return false }
func (f *fakePlugins) InstanceDrained(ident.Instance) bool     { return false }
func (f *fakePlugins) Ready() bool                             { return true }
func (f *fakePlugins) AttestedStates() []report.ReplicaState   { return nil }
func (f *fakePlugins) assignment() (a report.Assignment) {
	_ = json.Unmarshal(f.entry.Value, &a)
	return a
}

func (f *fakePlugins) Instances() []roster.Instance {
	var list []roster.Instance
	for _, id := range []ident.Instance{"a", "b", "c"} {
		list = append(list, roster.Instance{
			ID: id, DataCentre: "kirtipur", Domain: "rack", Role: roster.Engine, State: roster.Live,
			Address: string(id) + ":1", Accelerators: 2,
		})
	}
	return list
}

func (f *fakePlugins) View() *record.View {
	return record.NewView([]*record.Record{{Deployment: &record.Deployment{
		Name: "chat", Model: "m", Version: "1", Size: 2,
		Placements: []record.Placement{{DataCentre: "kirtipur", Replicas: 1}},
	}}})
}

// TestController guards against a planner that writes before it has observed
// the instances or without holding the lease, and against a second write after
// a lost answer.
func TestController(t *testing.T) {
	tests := map[string]struct {
		loseAnswer   bool
		leaseExpires bool
		orders       int
		epoch        unit.Epoch
	}{
		"written":       {orders: 2, epoch: 1},
		"answer lost":   {loseAnswer: true, orders: 2, epoch: 1},
		"lease expired": {leaseExpires: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			parsed, err := settings.Parse([]byte(`{"daemon":{"instance":"d","dataCentre":"kirtipur"}}`), nil)
			c.Assert(err, qt.IsNil)
			deps := &plugin.Deps{
				Settings: parsed, Clock: clk, Log: zerolog.Nop(), Metrics: prometheus.NewRegistry(),
				Timeline: timeline.NewRecorder(timeline.RecorderOptions{HybridClock: timeline.NewHybridClock(clk), Log: zerolog.Nop(), Capacity: 16}),
			}
			fakes := &fakePlugins{Store: singlekey.Store{TTL: 10 * time.Second}, loseAnswer: test.loseAnswer, reports: map[string]*report.Report{}}
			for _, i := range fakes.Instances() {
				fakes.reports[i.Address] = &report.Report{Instance: i.ID, Incarnation: 1, Sequence: 1}
			}
			deps.Provide(fakes)
			p, err := newPlugin(deps)
			c.Assert(err, qt.IsNil)
			planner := p.(*controller)
			ctx := context.Background()
			c.Assert(planner.Start(ctx), qt.IsNil)
			c.Assert(planner.BackgroundTasks.Stop(ctx), qt.IsNil)
			planner.runRound(ctx)
			c.Assert(fakes.entry.Revision, qt.Equals, unit.Revision(0))
			if test.leaseExpires {
				fakes.TTL = 0
			}
			for range 8 {
				clk.Advance(planner.settings.Interval.Duration)
				planner.runRound(ctx)
			}
			c.Assert(fakes.orderCount, qt.Equals, test.orders)
			c.Assert(fakes.assignment().Epoch, qt.Equals, test.epoch)
			c.Assert(planner.Stop(ctx), qt.IsNil)
		})
	}
}
