package catalog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

const (
	llm    = ident.Service("llm")
	ledger = ident.Service("ledger")
)

func config(version uint64, routes ...cluster.Route) *cluster.Config {
	return &cluster.Config{
		Version: version, Routes: routes,
		Services: map[ident.Service]*cluster.Service{
			ledger: {Name: ledger},
			llm:    {Name: llm, Engine: &cluster.Engine{Models: []cluster.Model{{Name: "m", ServersPerReplica: 2}}}},
		},
		Organisations: []cluster.Organisation{{Name: "o", Keys: []string{"k"}}},
	}
}

// memberServer is a model server with its place in replica r.
func memberServer(id string, epoch unit.Epoch, rank unit.Rank, state cluster.MemberState) *cluster.Server {
	return &cluster.Server{
		ID: ident.Instance(id), Service: llm, Address: id, DataCentre: "z",
		Membership: &cluster.Membership{Replica: "r", Epoch: epoch, Rank: rank, Model: "m", State: state},
	}
}

// TestEndpoints guards against requests to replicas that are incomplete, to
// servers that leave, and to data centres that are out of service.
func TestEndpoints(t *testing.T) {
	whole := []*cluster.Server{memberServer("a", 1, 0, cluster.Open), memberServer("b", 1, 1, cluster.Ready)}
	draining := memberServer("a", 1, 0, cluster.Open)
	draining.Draining = true
	tests := map[string]struct {
		updates []Update
		want    []ident.Instance
	}{
		"complete":                    {updates: []Update{{Servers: whole}}, want: []ident.Instance{"a"}},
		"a member missing":            {updates: []Update{{Servers: whole[:1]}}},
		"a member gone":               {updates: []Update{{Servers: whole}, {Removed: []ident.Instance{"b"}}}},
		"a member at another epoch":   {updates: []Update{{Servers: []*cluster.Server{whole[0], memberServer("b", 2, 1, cluster.Ready)}}}},
		"a member that joins":         {updates: []Update{{Servers: []*cluster.Server{whole[0], memberServer("b", 1, 1, cluster.Joining)}}}},
		"the same rank twice":         {updates: []Update{{Servers: []*cluster.Server{whole[0], memberServer("b", 1, 0, cluster.Ready)}}}},
		"a head that isn't open":      {updates: []Update{{Servers: []*cluster.Server{memberServer("a", 1, 0, cluster.Ready), whole[1]}}}},
		"a head that closes":          {updates: []Update{{Servers: []*cluster.Server{memberServer("a", 1, 0, cluster.Closing), whole[1]}}}},
		"a head that is broken":       {updates: []Update{{Servers: []*cluster.Server{memberServer("a", 1, 0, cluster.Broken), whole[1]}}}},
		"a head that drains":          {updates: []Update{{Servers: []*cluster.Server{draining, whole[1]}}}},
		"a data centre out":           {updates: []Update{{Servers: whole}, {Drained: []ident.DataCentre{"z"}}}},
		"a data centre out and in":    {updates: []Update{{Servers: whole}, {Drained: []ident.DataCentre{"z"}}, {Restored: []ident.DataCentre{"z"}}}, want: []ident.Instance{"a"}},
		"another data centre out":     {updates: []Update{{Servers: whole}, {Drained: []ident.DataCentre{"y"}}}, want: []ident.Instance{"a"}},
		"a model that isn't known":    {updates: []Update{{Servers: whole}, {Config: &cluster.Config{Version: 9}}}},
		"an older configuration last": {updates: []Update{{Servers: whole}, {Config: &cluster.Config{Version: 1}}}, want: []ident.Instance{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cat := New(clockwork.NewFakeClock())
			cat.Apply(Update{Config: config(5)})
			for _, u := range test.updates {
				cat.Apply(u)
			}
			var got []ident.Instance
			for _, e := range cat.Current().ModelEndpoints(llm, "m") {
				got = append(got, e.ID)
			}
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}

// TestRoute guards against a request on the wrong route.
func TestRoute(t *testing.T) {
	cat := New(clockwork.NewFakeClock())
	cat.Apply(Update{Config: config(
		1, cluster.Route{Name: "root", Host: "h", Prefix: "/"}, cluster.Route{Name: "a", Host: "h", Prefix: "/a/"},
		cluster.Route{Name: "ab", Host: "h", Prefix: "/a/b/"}, cluster.Route{Name: "other", Host: "other", Prefix: "/a/"},
	)})
	tests := map[string]struct{ host, path, want string }{
		"the longest prefix": {"h", "/a/b/c", "ab"},
		"a shorter one":      {"h", "/a/c", "a"},
		"not half a name":    {"h", "/ab", "root"},
		"a host with a port": {"h:80", "/a/x", "a"},
		"a host in capitals": {"H", "/a/x", "a"},
		"another host":       {"other", "/a/x", "other"},
		"no route":           {"other", "/b", ""},
		"an unknown host":    {"none", "/a/x", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := cat.Current().Route(test.host, test.path); r != nil {
				got = r.Name
			}
			qt.New(t).Check(got, qt.Equals, test.want)
		})
	}
}

// TestLoadOfEpoch guards against what was seen of a broken replica counting
// against the one that takes its place.
func TestLoadOfEpoch(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	cat := New(clk)
	cat.Apply(Update{Config: config(1), Servers: []*cluster.Server{memberServer("a", 1, 0, cluster.Open), memberServer("b", 1, 1, cluster.Ready)}})
	first := cat.Current().ModelEndpoints(llm, "m")[0].Load
	first.RequestStarted()
	first.RecordFailure(clk.Now())
	c.Check(first.Avoided(clk.Now()), qt.IsTrue)
	cat.Apply(Update{Servers: []*cluster.Server{memberServer("a", 1, 0, cluster.Open)}})
	c.Check(cat.Current().ModelEndpoints(llm, "m")[0].Load, qt.Equals, first)
	cat.Apply(Update{Servers: []*cluster.Server{memberServer("a", 2, 0, cluster.Open), memberServer("b", 2, 1, cluster.Ready)}})
	second := cat.Current().ModelEndpoints(llm, "m")[0].Load
	c.Check(second.Avoided(clk.Now()), qt.IsFalse)
	c.Check(second.InFlight(), qt.Equals, unit.Requests(0))
}

// TestFailed guards against one fault that many requests notice together being
// counted as many, and against a server that is avoided for ever.
func TestFailed(t *testing.T) {
	c := qt.New(t)
	var l Load
	now := time.Unix(1_000, 0)
	c.Check(l.RecordFailure(now), qt.Equals, minAvoidTime)
	c.Check(l.RecordFailure(now.Add(time.Millisecond)), qt.Equals, time.Duration(0))
	for range 10 {
		now = now.Add(time.Second)
		l.RecordFailure(now)
	}
	c.Check(l.Avoided(now.Add(maxAvoidTime-time.Millisecond)), qt.IsTrue)
	c.Check(l.Avoided(now.Add(maxAvoidTime)), qt.IsFalse)
	l.RecordSuccess(time.Millisecond)
	c.Check(l.Avoided(now), qt.IsFalse)
	c.Check(l.RecordFailure(now.Add(time.Second)), qt.Equals, minAvoidTime)
}
