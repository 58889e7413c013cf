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

// surroundings stand in for the other plug-ins. Engines obey every order.
type surroundings struct {
	singlekey.Store
	mu     sync.Mutex
	value  store.Entry
	lose   bool
	orders int
	engine map[string]*report.Report
}

func (s *surroundings) Swap(ctx context.Context, w store.Swap) (store.Entry, store.SwapResult, error) {
	if w.Key != store.AssignmentPrefix+"rack" {
		return s.Store.Swap(ctx, w)
	}
	if s.value.Revision != w.ExpectedRevision {
		return s.value, store.Conflict, nil
	}
	s.value = store.Entry{Key: w.Key, Value: w.Value, Revision: w.ExpectedRevision + 1}
	if s.lose {
		return store.Entry{}, store.Unknown, singlekey.ErrUnavailable
	}
	return s.value, store.Applied, nil
}

func (s *surroundings) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	if s.value.Revision == 0 {
		return nil, 0, nil
	}
	return []store.Entry{s.value}, s.value.Revision, nil
}

func (s *surroundings) FetchReport(_ context.Context, address string) (*report.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := *s.engine[address]
	s.engine[address].Sequence++
	return &r, nil
}

func (s *surroundings) SendOrder(_ context.Context, address string, o *report.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders++
	s.engine[address].Placement, s.engine[address].Ready = o.Placement, true
	return o.Check()
}

func (s *surroundings) Owner(string) ident.Instance             { return "d" }
func (s *surroundings) DataCentreDrained(ident.DataCentre) bool { return false }
func (s *surroundings) InstanceDrained(ident.Instance) bool     { return false }
func (s *surroundings) Ready() bool                             { return true }
func (s *surroundings) AttestedStates() []report.ReplicaState   { return nil }
func (s *surroundings) assignment() (a report.Assignment) {
	_ = json.Unmarshal(s.value.Value, &a)
	return a
}

func (s *surroundings) Instances() []roster.Instance {
	var list []roster.Instance
	for _, id := range []ident.Instance{"a", "b", "c"} {
		list = append(list, roster.Instance{
			ID: id, DataCentre: "kirtipur", Domain: "rack", Role: roster.Engine, State: roster.Live,
			Address: string(id) + ":1", Accelerators: 2,
		})
	}
	return list
}

func (s *surroundings) View() *record.View {
	return record.NewView([]*record.Record{{Deployment: &record.Deployment{
		Name: "chat", Model: "m", Version: "1", Size: 2,
		Placements: []record.Placement{{DataCentre: "kirtipur", Replicas: 1}},
	}}})
}

// TestDuty guards against a planner that acts before it has looked, without its
// lease, or twice after a lost answer.
func TestDuty(t *testing.T) {
	tests := map[string]struct {
		lose   bool
		lapse  bool
		orders int
		epoch  unit.Epoch
	}{
		"written":      {orders: 2, epoch: 1},
		"answer lost":  {lose: true, orders: 2, epoch: 1},
		"lease lapsed": {lapse: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			set, err := settings.Parse([]byte(`{"daemon":{"instance":"d","dataCentre":"kirtipur"}}`), nil)
			c.Assert(err, qt.IsNil)
			d := &plugin.Deps{
				Settings: set, Clock: clk, Log: zerolog.Nop(), Metrics: prometheus.NewRegistry(),
				Timeline: timeline.NewRecorder(timeline.RecorderOptions{HybridClock: timeline.NewHybridClock(clk), Log: zerolog.Nop(), Capacity: 16}),
			}
			around := &surroundings{Store: singlekey.Store{TTL: 10 * time.Second}, lose: test.lose, engine: map[string]*report.Report{}}
			for _, i := range around.Instances() {
				around.engine[i.Address] = &report.Report{Instance: i.ID, Incarnation: 1, Sequence: 1}
			}
			d.Provide(around)
			p, err := newPlugin(d)
			c.Assert(err, qt.IsNil)
			u := p.(*duty)
			ctx := context.Background()
			c.Assert(u.Start(ctx), qt.IsNil)
			c.Assert(u.BackgroundTasks.Stop(ctx), qt.IsNil)
			u.round(ctx)
			c.Assert(around.value.Revision, qt.Equals, unit.Revision(0))
			if test.lapse {
				around.TTL = 0
			}
			for range 8 {
				clk.Advance(u.settings.Interval.Duration)
				u.round(ctx)
			}
			c.Assert(around.orders, qt.Equals, test.orders)
			c.Assert(around.assignment().Epoch, qt.Equals, test.epoch)
			c.Assert(u.Stop(ctx), qt.IsNil)
		})
	}
}
