package service_test

import (
	"context"
	"errors"
	"testing"

	"github.com/alitto/pond/v2"
	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/fleet/service"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/table"
)

// fakePlugins is everything that Instances look at.
type fakePlugins struct {
	instances         []roster.Instance
	unhealthy         map[string]bool
	drainedDataCentre ident.DataCentre
	drainedInstance   ident.Instance
}

func (w *fakePlugins) Instances() []roster.Instance              { return w.instances }
func (w *fakePlugins) DataCentreDrained(d ident.DataCentre) bool { return d == w.drainedDataCentre }
func (w *fakePlugins) InstanceDrained(i ident.Instance) bool     { return i == w.drainedInstance }
func (w *fakePlugins) Protocol() table.Protocol                  { return table.Service }
func (w *fakePlugins) View() *record.View                        { return view }
func (w *fakePlugins) CheckHealth(_ context.Context, a string) error {
	if w.unhealthy[a] {
		return errors.New("unwell")
	}
	return nil
}

var view = record.NewView([]*record.Record{{Service: &record.Service{Name: "ledger", Prefix: "/ledger", Limit: 4}}})

// TestEndpoints guards against calls to an instance that is unwell, leaving or
// out of service, and against refusing calls while another data centre has an
// instance: before, a drained data centre refused them until the next check.
func TestEndpoints(t *testing.T) {
	tests := map[string]struct {
		change func(w *fakePlugins)
		want   []ident.Endpoint
	}{
		"own first":             {want: []ident.Endpoint{"a1"}},
		"own unwell":            {change: func(w *fakePlugins) { w.unhealthy["a1:1"] = true }, want: []ident.Endpoint{"b1", "b2"}},
		"own leaving":           {change: func(w *fakePlugins) { w.instances[0].State = roster.Leaving }, want: []ident.Endpoint{"b1", "b2"}},
		"own data centre out":   {change: func(w *fakePlugins) { w.drainedDataCentre = "a" }, want: []ident.Endpoint{"b1", "b2"}},
		"own instance out":      {change: func(w *fakePlugins) { w.drainedInstance = "a1" }, want: []ident.Endpoint{"b1", "b2"}},
		"other data centre out": {change: func(w *fakePlugins) { w.drainedDataCentre = "b" }, want: []ident.Endpoint{"a1"}},
		"no record":             {change: func(w *fakePlugins) { w.instances[0].Service = "orders" }, want: []ident.Endpoint{"b1", "b2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := &fakePlugins{unhealthy: make(map[string]bool)}
			for _, id := range []ident.Instance{"a1", "b1", "b2"} {
				w.instances = append(w.instances, roster.Instance{
					ID: id, DataCentre: ident.DataCentre(id[:1]), Role: roster.Service,
					State: roster.Live, Address: string(id) + ":1", Service: "ledger",
				})
			}
			n := service.New(service.Options{
				Settings: service.Settings{Failures: 1, Timeout: settings.DurationOf(1)}, DataCentre: "a",
				Roster: w, Records: w, Drains: w, Checker: w, Pool: pond.NewPool(4),
			})
			n.Refresh(context.Background())
			if test.change != nil {
				test.change(w)
			}
			if w.drainedDataCentre == "" && w.drainedInstance == "" {
				// What is not a drain shows at the next check.
				n.Refresh(context.Background())
			}
			var got []ident.Endpoint
			for _, e := range n.Endpoints() {
				got = append(got, e.ID)
			}
			c.Assert(got, qt.DeepEquals, test.want)
		})
	}
}
