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

// fakePlugins stands in for the plug-ins that the controller uses.
type fakePlugins struct {
	mu         sync.Mutex
	assignment report.Assignment
	// failed has the addresses of members that don't answer.
	failed   map[string]bool
	sequence unit.Sequence
}

func (f *fakePlugins) FetchReport(_ context.Context, address string) (*report.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	r := f.assignment.Replicas[0]
	rank := slices.IndexFunc(r.Members, func(m report.Member) bool { return m.Address == address })
	if f.failed[address] {
		return nil, errors.New("no answer")
	}
	return &report.Report{
		Instance: r.Members[rank].Instance, Sequence: f.sequence, Ready: true,
		Membership: report.Membership{Replica: r.ID, Epoch: r.Epoch, Rank: unit.Rank(rank), Model: r.Model, Version: r.Version},
	}, nil
}

func (f *fakePlugins) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	raw, err := json.Marshal(f.assignment)
	return []store.Entry{{Key: "malformed", Value: []byte("{")}, {Key: "k", Value: raw}}, 1, err
}
func (f *fakePlugins) Owner(string) ident.Instance             { return "d" }
func (f *fakePlugins) Owners(string, int) []ident.Instance     { return []ident.Instance{"d"} }
func (f *fakePlugins) DataCentreDrained(ident.DataCentre) bool { return false }
func (f *fakePlugins) InstanceDrained(ident.Instance) bool     { return false }
func (f *fakePlugins) Instances() []roster.Instance {
	return []roster.Instance{{ID: "a", DataCentre: "kirtipur", Role: roster.Engine, Accelerators: 2}}
}

func (f *fakePlugins) View() *record.View {
	return record.NewView([]*record.Record{{Deployment: &record.Deployment{Name: "chat", Limit: 4}}})
}

// TestController guards against a plug-in that does not combine assignments,
// reports and records, and against events without their reason.
func TestController(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	parsed, err := settings.Parse([]byte(`{"daemon":{"instance":"d","dataCentre":"kirtipur"}}`), nil)
	c.Assert(err, qt.IsNil)
	deps := &plugin.Deps{
		Settings: parsed, Clock: clk, Log: zerolog.Nop(), Metrics: prometheus.NewRegistry(),
		Timeline: timeline.NewRecorder(timeline.RecorderOptions{HybridClock: timeline.NewHybridClock(clk), Log: zerolog.Nop(), Capacity: 16}),
	}
	fakes := &fakePlugins{failed: map[string]bool{}, assignment: report.Assignment{
		Domain: "rack", DataCentre: "kirtipur", Epoch: 1, Replicas: []report.Replica{{
			ID: "r", Deployment: "chat", Epoch: 1, Model: "m", Version: "1",
			Members: []report.Member{{Instance: "a", Address: "a:1"}, {Instance: "b", Address: "b:1"}},
		}},
	}}
	deps.Provide(fakes)
	p, err := newPlugin(deps)
	c.Assert(err, qt.IsNil)
	testController := p.(*controller)
	ctx := context.Background()
	c.Assert(testController.Start(ctx), qt.IsNil)
	c.Assert(testController.BackgroundTasks.Stop(ctx), qt.IsNil)
	testController.readAssignments(ctx)
	testController.runRound(ctx)
	c.Assert(testController.Endpoints(), qt.HasLen, 1)
	fakes.failed["b:1"] = true
	clk.Advance(testController.settings.StaleAfter.Duration)
	testController.runRound(ctx)
	c.Assert(testController.Endpoints(), qt.HasLen, 0)
	events := deps.Timeline.Events()
	c.Assert(events, qt.HasLen, 2)
	c.Assert(events[0].Name, qt.Equals, "replica-serving")
	c.Assert(events[1].FormatFields(), qt.Equals, "epoch=1 reason=stale report member=b")
	c.Assert(testController.Stop(ctx), qt.IsNil)
}
