package catalog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

const (
	llm    = ident.Service("llm")
	ledger = ident.Service("ledger")
)

func newConfig(version uint64, routes ...cluster.Route) *cluster.Config {
	return &cluster.Config{
		Version: version, Routes: routes,
		Services: map[ident.Service]*cluster.Service{
			ledger: {Name: ledger},
			llm:    {Name: llm, Engine: &cluster.Engine{Models: []cluster.Model{{Name: "m", ServersPerReplica: 2}}}},
		},
		Organisations: []cluster.Organisation{{Name: "o", Keys: []string{"k"}}},
	}
}

// memberServer returns a model server that is a member of replica r.
func memberServer(id string, epoch unit.Epoch, rank unit.Rank, state cluster.MemberState) *cluster.Server {
	return &cluster.Server{
		ID: ident.Instance(id), Service: llm, Address: id, DataCentre: "z",
		Membership: &cluster.Membership{Replica: "r", Epoch: epoch, Rank: rank, Model: "m", State: state},
	}
}

// TestReports guards against a replica that gets no requests although its members have
// reported that they serve, and against an old report that replaces a newer state.
func TestReports(t *testing.T) {
	const incarnation = 7
	server := func(id string, membership *cluster.Membership) *cluster.Server {
		return &cluster.Server{ID: ident.Instance(id), Service: llm, Address: id, DataCentre: "z", Incarnation: incarnation, Membership: membership}
	}
	at := func(epoch unit.Epoch, rank unit.Rank, state cluster.MemberState) *cluster.Membership {
		return &cluster.Membership{Replica: "r", Epoch: epoch, Rank: rank, Model: "m", State: state}
	}
	listed := []*cluster.Server{server("a", at(2, 0, cluster.Open)), server("b", nil)}
	formation := func(epoch unit.Epoch, bIncarnation unit.Incarnation) cluster.Formation {
		return cluster.Formation{Replica: "r", Epoch: epoch, Model: "m", Members: []cluster.FormationMember{{ID: "a", Incarnation: incarnation}, {ID: "b", Incarnation: bIncarnation}}}
	}
	tests := map[string]struct {
		reports    []*cluster.Server
		formations []cluster.Formation
		removed    []ident.Instance
		// epochs has the epoch of each endpoint.
		epochs map[ident.Instance]unit.Epoch
		state  cluster.MemberState
	}{
		"nothing reported":             {state: cluster.Open},
		"all members report":           {reports: []*cluster.Server{server("a", at(3, 0, cluster.Open)), server("b", at(3, 1, cluster.Ready))}, epochs: map[ident.Instance]unit.Epoch{"a": 3}, state: cluster.Open},
		"a member joins":               {reports: []*cluster.Server{server("a", at(3, 0, cluster.Open)), server("b", at(3, 1, cluster.Joining))}, state: cluster.Open},
		"report of an earlier epoch":   {reports: []*cluster.Server{server("a", at(1, 0, cluster.Ready))}, state: cluster.Open},
		"head breaks":                  {reports: []*cluster.Server{server("a", at(2, 0, cluster.Broken))}, state: cluster.Broken},
		"server that is not listed":    {reports: []*cluster.Server{server("c", at(9, 0, cluster.Open))}, state: cluster.Open},
		"formation":                    {formations: []cluster.Formation{formation(3, incarnation)}, epochs: map[ident.Instance]unit.Epoch{"a": 3}, state: cluster.Open},
		"formation of a later epoch":   {formations: []cluster.Formation{formation(4, incarnation), formation(3, incarnation)}, epochs: map[ident.Instance]unit.Epoch{"a": 4}, state: cluster.Open},
		"formation at an ended epoch":  {formations: []cluster.Formation{formation(1, incarnation)}, state: cluster.Open},
		"formation after the head":     {reports: []*cluster.Server{server("a", at(3, 0, cluster.Closing))}, formations: []cluster.Formation{formation(3, incarnation)}, state: cluster.Closing},
		"formation with a restart":     {formations: []cluster.Formation{formation(3, incarnation-1)}, state: cluster.Open},
		"formation with a removed one": {removed: []ident.Instance{"b"}, formations: []cluster.Formation{formation(3, incarnation)}, state: cluster.Open},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cat := New(clockwork.NewFakeClock())
			cat.Apply(Update{Config: newConfig(1), Servers: listed, Removed: test.removed})
			for _, s := range test.reports {
				cat.ApplyReport(s)
			}
			cat.ApplyFormations(test.formations)
			changed := cat.Changed()
			cat.ApplyFormations(test.formations)
			select {
			case <-changed:
				c.Error("a formation that was known published a snapshot")
			default:
			}
			epochs := map[ident.Instance]unit.Epoch{}
			for _, e := range cat.Current().ModelEndpoints(llm, "m") {
				epochs[e.ID] = e.Epoch
			}
			if test.epochs == nil {
				test.epochs = map[ident.Instance]unit.Epoch{}
			}
			c.Check(epochs, qt.DeepEquals, test.epochs)
			c.Check(cat.Current().Server("a").Membership.State, qt.Equals, test.state)
		})
	}
}

// TestEndpoints guards against requests to incomplete replicas, to draining
// servers, and to drained data centres.
func TestEndpoints(t *testing.T) {
	complete := []*cluster.Server{memberServer("a", 1, 0, cluster.Open), memberServer("b", 1, 1, cluster.Ready)}
	draining := memberServer("a", 1, 0, cluster.Open)
	draining.Draining = true
	tests := map[string]struct {
		updates []Update
		want    []ident.Instance
	}{
		"complete":                    {updates: []Update{{Servers: complete}}, want: []ident.Instance{"a"}},
		"member missing":              {updates: []Update{{Servers: complete[:1]}}},
		"member removed, may work":    {updates: []Update{{Servers: complete}, {Removed: []ident.Instance{"b"}}}, want: []ident.Instance{"a"}},
		"draining member removed":     {updates: []Update{{Servers: complete}, {Servers: []*cluster.Server{drainingCopy(complete[1])}}, {Removed: []ident.Instance{"b"}}}},
		"member at another epoch":     {updates: []Update{{Servers: []*cluster.Server{complete[0], memberServer("b", 2, 1, cluster.Ready)}}}},
		"member still joining":        {updates: []Update{{Servers: []*cluster.Server{complete[0], memberServer("b", 1, 1, cluster.Joining)}}}},
		"two members with one rank":   {updates: []Update{{Servers: []*cluster.Server{complete[0], memberServer("b", 1, 0, cluster.Ready)}}}},
		"head not open":               {updates: []Update{{Servers: []*cluster.Server{memberServer("a", 1, 0, cluster.Ready), complete[1]}}}},
		"head closing":                {updates: []Update{{Servers: []*cluster.Server{memberServer("a", 1, 0, cluster.Closing), complete[1]}}}},
		"head broken":                 {updates: []Update{{Servers: []*cluster.Server{memberServer("a", 1, 0, cluster.Broken), complete[1]}}}},
		"head draining":               {updates: []Update{{Servers: []*cluster.Server{draining, complete[1]}}}},
		"data centre drained":         {updates: []Update{{Servers: complete}, {Drained: map[ident.DataCentre]bool{"z": true}}}},
		"data centre restored":        {updates: []Update{{Servers: complete}, {Drained: map[ident.DataCentre]bool{"z": true}}, {Drained: map[ident.DataCentre]bool{"z": false}}}, want: []ident.Instance{"a"}},
		"another data centre drained": {updates: []Update{{Servers: complete}, {Drained: map[ident.DataCentre]bool{"y": true}}}, want: []ident.Instance{"a"}},
		"model no longer configured":  {updates: []Update{{Servers: complete}, {Config: &cluster.Config{Version: 9}}}},
		"older configuration ignored": {updates: []Update{{Servers: complete}, {Config: &cluster.Config{Version: 1}}}, want: []ident.Instance{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cat := New(clockwork.NewFakeClock())
			cat.Apply(Update{Config: newConfig(5)})
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

// TestRoute guards against a request that is forwarded by the wrong route.
func TestRoute(t *testing.T) {
	cat := New(clockwork.NewFakeClock())
	cat.Apply(Update{Config: newConfig(
		1, cluster.Route{Name: "root", Host: "h", Prefix: "/"}, cluster.Route{Name: "a", Host: "h", Prefix: "/a/"},
		cluster.Route{Name: "ab", Host: "h", Prefix: "/a/b/"}, cluster.Route{Name: "other", Host: "other", Prefix: "/a/"},
		cluster.Route{Name: "v6", Host: "[fd00::1]", Prefix: "/"},
	)})
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":     {"h", "/a/b/c", "ab"},
		"shorter prefix":     {"h", "/a/c", "a"},
		"part of a segment":  {"h", "/ab", "root"},
		"host with a port":   {"h:80", "/a/x", "a"},
		"host in upper case": {"H", "/a/x", "a"},
		"another host":       {"other", "/a/x", "other"},
		"IPv6":               {"[fd00::1]", "/a/x", "v6"},
		"IPv6 with a port":   {"[fd00::1]:80", "/a/x", "v6"},
		"no route":           {"other", "/b", ""},
		"unknown host":       {"none", "/a/x", ""},
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

// serverModel has the servers that a catalog has to list after a series of updates.
type serverModel struct {
	registered map[ident.Instance]*cluster.Server
	// unregistered has the members without a registration of replicas whose heads serve.
	unregistered map[ident.Instance]*cluster.Server
}

// apply applies the servers of an update.
func (m *serverModel) apply(u Update) {
	for _, s := range u.Servers {
		m.registered[s.ID] = s
		delete(m.unregistered, s.ID)
	}
	for _, id := range u.Removed {
		if s := m.registered[id]; s != nil && !s.Draining {
			m.unregistered[id] = s
		}
		delete(m.registered, id)
	}
	for id, s := range m.unregistered {
		if !m.isKept(s) {
			delete(m.unregistered, id)
		}
	}
}

// isKept reports whether an unregistered server is a member, not the head, of a replica with a
// registered head that serves.
func (m *serverModel) isKept(s *cluster.Server) bool {
	if s.Membership == nil || s.Membership.Rank == 0 {
		return false
	}
	for _, other := range m.registered {
		o := other.Membership
		if o != nil && o.Replica == s.Membership.Replica && o.Epoch == s.Membership.Epoch && o.Rank == 0 && o.State == cluster.Open {
			return true
		}
	}
	return false
}

// servers returns all servers of the model.
func (m *serverModel) servers() []*cluster.Server {
	return slices.Concat(slices.Collect(maps.Values(m.registered)), slices.Collect(maps.Values(m.unregistered)))
}

// TestIncrementalUpdates guards against servers and endpoints that differ from those of a catalog
// that gets the same servers, configuration and drained data centres at once. Members that are kept
// without a registration count as registered there.
func TestIncrementalUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cat, config := New(clockwork.NewFakeClock()), newConfig(1)
		model := serverModel{make(map[ident.Instance]*cluster.Server), make(map[ident.Instance]*cluster.Server)}
		drained := make(map[ident.DataCentre]bool)
		cat.Apply(Update{Config: config})
		drawServer := func() *cluster.Server {
			s := &cluster.Server{
				ID: ident.Instance(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")), DataCentre: ident.DataCentre(rapid.SampledFrom([]string{"y", "z"}).Draw(t, "dataCentre")),
				Service: rapid.SampledFrom([]ident.Service{llm, ledger}).Draw(t, "service"), Draining: rapid.IntRange(0, 5).Draw(t, "draining") == 0,
			}
			if s.Service == llm && rapid.IntRange(0, 4).Draw(t, "spare") > 0 {
				s.Membership = &cluster.Membership{
					Replica: ident.Replica(rapid.SampledFrom([]string{"r", "s"}).Draw(t, "replica")), Epoch: unit.Epoch(rapid.IntRange(1, 2).Draw(t, "epoch")),
					Rank: unit.Rank(rapid.IntRange(0, 1).Draw(t, "rank")), Model: "m", State: rapid.SampledFrom([]cluster.MemberState{cluster.Open, cluster.Ready, cluster.Joining}).Draw(t, "state"),
				}
			}
			return s
		}
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			update := Update{}
			switch rapid.IntRange(0, 6).Draw(t, "update") {
			case 0:
				id := ident.Instance(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "removed"))
				update.Removed = []ident.Instance{id}
			case 1:
				dc := ident.DataCentre(rapid.SampledFrom([]string{"y", "z"}).Draw(t, "drained"))
				drained[dc] = !drained[dc]
				update.Drained = map[ident.DataCentre]bool{dc: drained[dc]}
			case 2:
				config = newConfig(config.Version + 1)
				if rapid.Bool().Draw(t, "withoutLedger") {
					delete(config.Services, ledger)
				}
				update.Config = config
			default:
				for range rapid.IntRange(1, 3).Draw(t, "servers") {
					update.Servers = append(update.Servers, drawServer())
				}
			}
			model.apply(update)
			cat.Apply(update)
			fresh := New(clockwork.NewFakeClock())
			fresh.Apply(Update{Config: config, Drained: drained, Servers: model.servers()})
			if got, want := describe(cat.Current()), describe(fresh.Current()); got != want {
				t.Fatalf("got servers and endpoints %s, want %s", got, want)
			}
			cat.Current().EachServer(func(s *cluster.Server) {
				if want := model.unregistered[s.ID] != nil; s.Unregistered != want {
					t.Fatalf("server %s: unregistered %t, want %t", s.ID, s.Unregistered, want)
				}
			})
		}
	})
}

// describe returns the ids of the servers, and the endpoints in the order of their lists.
func describe(s *Snapshot) string {
	var ids []string
	s.EachServer(func(server *cluster.Server) { ids = append(ids, string(server.ID)) })
	slices.Sort(ids)
	var result strings.Builder
	fmt.Fprintf(&result, "%s; ", strings.Join(ids, " "))
	for _, endpoints := range [][]*Endpoint{s.PlainEndpoints(ledger), s.ModelEndpoints(llm, "m")} {
		for _, e := range endpoints {
			fmt.Fprintf(&result, "%s/%s/%s/%d ", e.ID, e.DataCentre, e.Replica, e.Epoch)
		}
		result.WriteString("; ")
	}
	return result.String()
}

// TestLoadOfEpoch guards against the failures of a broken replica counting
// against the replica of the next epoch.
func TestLoadOfEpoch(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	cat := New(clk)
	cat.Apply(Update{Config: newConfig(1), Servers: []*cluster.Server{memberServer("a", 1, 0, cluster.Open), memberServer("b", 1, 1, cluster.Ready)}})
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

// TestRecordFailure guards against one fault that fails many requests at once being
// counted as many failures, and against a server that is avoided for ever.
func TestRecordFailure(t *testing.T) {
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
