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

// fakePlugins stands in for the plug-ins that Instances uses.
type fakePlugins struct {
	instances         []roster.Instance
	unhealthy         map[string]bool
	drainedDataCentre ident.DataCentre
	drainedInstance   ident.Instance
}

func (f *fakePlugins) Instances() []roster.Instance              { return f.instances }
func (f *fakePlugins) DataCentreDrained(d ident.DataCentre) bool { return d == f.drainedDataCentre }
func (f *fakePlugins) InstanceDrained(i ident.Instance) bool     { return i == f.drainedInstance }
func (f *fakePlugins) Protocol() table.Protocol                  { return table.Service }
func (f *fakePlugins) View() *record.View                        { return view }
func (f *fakePlugins) CheckHealth(_ context.Context, address string) error {
	if f.unhealthy[address] {
		return errors.New("unhealthy")
	}
	return nil
}

var view = record.NewView([]*record.Record{{Service: &record.Service{Name: "ledger", Prefix: "/ledger", Limit: 4}}})

// TestEndpoints guards against requests to an instance that is unhealthy,
// leaving or drained, and against requests that are rejected although another
// data centre has an instance, such as those between a drain of the data centre
// and the next check.
func TestEndpoints(t *testing.T) {
	tests := map[string]struct {
		change func(f *fakePlugins)
		want   []ident.Endpoint
	}{
		"local instance first":            {want: []ident.Endpoint{"a1"}},
		"local instance unhealthy":        {change: func(f *fakePlugins) { f.unhealthy["a1:1"] = true }, want: []ident.Endpoint{"b1", "b2"}},
		"local instance leaving":          {change: func(f *fakePlugins) { f.instances[0].State = roster.Leaving }, want: []ident.Endpoint{"b1", "b2"}},
		"local data centre drained":       {change: func(f *fakePlugins) { f.drainedDataCentre = "a" }, want: []ident.Endpoint{"b1", "b2"}},
		"local instance drained":          {change: func(f *fakePlugins) { f.drainedInstance = "a1" }, want: []ident.Endpoint{"b1", "b2"}},
		"other data centre drained":       {change: func(f *fakePlugins) { f.drainedDataCentre = "b" }, want: []ident.Endpoint{"a1"}},
		"local instance without a record": {change: func(f *fakePlugins) { f.instances[0].Service = "orders" }, want: []ident.Endpoint{"b1", "b2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			plugins := &fakePlugins{unhealthy: make(map[string]bool)}
			for _, id := range []ident.Instance{"a1", "b1", "b2"} {
				plugins.instances = append(plugins.instances, roster.Instance{
					ID: id, DataCentre: ident.DataCentre(id[:1]), Role: roster.Service,
					State: roster.Live, Address: string(id) + ":1", Service: "ledger",
				})
			}
			n := service.New(service.Options{
				Settings: service.Settings{Failures: 1, Timeout: settings.DurationOf(1)}, DataCentre: "a",
				Roster: plugins, Records: plugins, Drains: plugins, Checker: plugins, Pool: pond.NewPool(4),
			})
			n.Refresh(context.Background())
			if test.change != nil {
				test.change(plugins)
			}
			if plugins.drainedDataCentre == "" && plugins.drainedInstance == "" {
				// Changes other than drains take effect at the next check.
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
