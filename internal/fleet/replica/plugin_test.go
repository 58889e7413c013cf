package replica

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"testing"

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
)

// surroundings stand in for the other plug-ins.
type surroundings struct {
	mu    sync.Mutex
	value report.Assignment
	dead  map[string]bool
	asked unit.Sequence
}

func (s *surroundings) FetchReport(_ context.Context, address string) (*report.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	r := s.value.Replicas[0]
	rank := slices.IndexFunc(r.Members, func(m report.Member) bool { return m.Address == address })
	if s.dead[address] {
		return nil, errors.New("no answer")
	}
	return &report.Report{
		Instance: r.Members[rank].Instance, Sequence: s.asked, Ready: true,
		Placement: report.Placement{Replica: r.ID, Epoch: r.Epoch, Rank: unit.Rank(rank), Model: r.Model, Version: r.Version},
	}, nil
}

func (s *surroundings) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	raw, err := json.Marshal(s.value)
	return []store.Entry{{Key: "rubbish", Value: []byte("{")}, {Key: "k", Value: raw}}, 1, err
}
func (s *surroundings) Owner(string) ident.Instance             { return "d" }
func (s *surroundings) Owners(string, int) []ident.Instance     { return []ident.Instance{"d"} }
func (s *surroundings) DataCentreDrained(ident.DataCentre) bool { return false }
func (s *surroundings) InstanceDrained(ident.Instance) bool     { return false }
func (s *surroundings) Instances() []roster.Instance {
	return []roster.Instance{{ID: "a", DataCentre: "kirtipur", Role: roster.Engine, Accelerators: 2}}
}

func (s *surroundings) View() *record.View {
	return record.NewView([]*record.Record{{Deployment: &record.Deployment{Name: "chat", Limit: 4}}})
}

// TestDuty guards against a plug-in that does not bring assignments, reports
// and records together, and against events without their reason.
func TestDuty(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	set, err := settings.Parse([]byte(`{"daemon":{"instance":"d","dataCentre":"kirtipur"}}`), nil)
	c.Assert(err, qt.IsNil)
	d := &plugin.Deps{
		Settings: set, Clock: clk, Log: zerolog.Nop(), Metrics: prometheus.NewRegistry(),
		Timeline: timeline.NewRecorder(timeline.RecorderOptions{HybridClock: timeline.NewHybrid(clk), Log: zerolog.Nop(), Capacity: 16}),
	}
	around := &surroundings{dead: map[string]bool{}, value: report.Assignment{
		Domain: "rack", DataCentre: "kirtipur", Epoch: 1, Replicas: []report.Replica{{
			ID: "r", Deployment: "chat", Epoch: 1, Model: "m", Version: "1",
			Members: []report.Member{{Instance: "a", Address: "a:1"}, {Instance: "b", Address: "b:1"}},
		}},
	}}
	d.Provide(around)
	p, err := newPlugin(d)
	c.Assert(err, qt.IsNil)
	u := p.(*duty)
	ctx := context.Background()
	c.Assert(u.Start(ctx), qt.IsNil)
	c.Assert(u.BackgroundTasks.Stop(ctx), qt.IsNil)
	u.readAssignments(ctx)
	u.round(ctx)
	c.Assert(u.Endpoints(), qt.HasLen, 1)
	around.dead["b:1"] = true
	clk.Advance(u.settings.StaleAfter.Duration)
	u.round(ctx)
	c.Assert(u.Endpoints(), qt.HasLen, 0)
	events := d.Timeline.Events()
	c.Assert(events, qt.HasLen, 2)
	c.Assert(events[0].Name, qt.Equals, "replica-serving")
	c.Assert(events[1].FormatFields(), qt.Equals, "epoch=1 reason=stale report member=b")
	c.Assert(u.Stop(ctx), qt.IsNil)
}
