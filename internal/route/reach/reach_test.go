package reach

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const ledger = ident.Service("ledger")

// fakeConnector reaches the servers that are up, unless the links are lost. Each connection
// takes the pause. The first connections are late.
type fakeConnector struct {
	clock     *clockwork.FakeClock
	up        func(address string) bool
	linksLost bool
	pause     time.Duration
	late      atomic.Int64
}

func (f *fakeConnector) AcceptsConnection(_ context.Context, address string) bool {
	f.clock.Advance(f.pause)
	return !f.linksLost && f.late.Add(-1) < 0 && f.up(address)
}

// newTestMonitor returns a monitor of two data centres with five servers each.
func newTestMonitor(f *fakeConnector) (*Monitor, []*catalog.Endpoint) {
	cat := catalog.New(f.clock)
	var servers []*cluster.Server
	for _, dc := range []ident.DataCentre{"a", "b"} {
		for i := range 5 {
			id := fmt.Sprintf("%s%d", dc, i)
			servers = append(servers, &cluster.Server{ID: ident.Instance(id), Address: id, Service: ledger, DataCentre: dc, Incarnation: 1, Slots: 8})
		}
	}
	cat.Apply(catalog.Update{Config: &cluster.Config{Services: map[ident.Service]*cluster.Service{ledger: {Name: ledger}}}, Servers: servers, Synced: true})
	m := New(Options{Clock: f.clock, Log: zerolog.Nop(), DataCentre: "a", Connector: f, Catalog: cat})
	return m, cat.Current().PlainEndpoints(ledger)
}

// TestLinks guards against taking lost links for servers that are down, and servers that are
// down, or connections that this daemon handles late, for lost links.
func TestLinks(t *testing.T) {
	tests := map[string]struct {
		connector *fakeConnector
		// late is the number of connections that time out at first.
		late            int64
		wantCutOff      bool
		wantUnreachable bool
	}{
		"all is well":                      {connector: &fakeConnector{up: func(string) bool { return true }}},
		"the suspect is down":              {connector: &fakeConnector{up: func(address string) bool { return address != "a0" }}, wantUnreachable: true},
		"own data centre is down":          {connector: &fakeConnector{up: func(address string) bool { return address[0] == 'b' }}, wantUnreachable: true},
		"other data centre is cut":         {connector: &fakeConnector{up: func(address string) bool { return address[0] == 'a' && address != "a0" }}, wantUnreachable: true},
		"links are lost":                   {connector: &fakeConnector{linksLost: true}, wantCutOff: true, wantUnreachable: true},
		"one round of connections is late": {connector: &fakeConnector{up: func(string) bool { return true }}, late: 1 + localSample + remoteSample},
		"process was paused meanwhile":     {connector: &fakeConnector{linksLost: true, pause: time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := test.connector
			f.clock = clockwork.NewFakeClock()
			f.late.Store(test.late)
			m, endpoints := newTestMonitor(f)
			m.Suspect(endpoints[0])
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { m.Run(ctx); close(done) }()
			c.Check(m.LinksWork(ctx), qt.Equals, !test.wantCutOff)
			cancel()
			<-done
			c.Check(m.CutOff(), qt.Equals, test.wantCutOff)
			c.Check(endpoints[0].Load.Unreachable(), qt.Equals, test.wantUnreachable)
			c.Check(endpoints[1].Load.Unreachable(), qt.IsFalse)
		})
	}
}

// TestLinksRestored guards against a daemon that stays cut off, or an endpoint that stays
// unreachable, after the links are restored.
func TestLinksRestored(t *testing.T) {
	c := qt.New(t)
	f := &fakeConnector{clock: clockwork.NewFakeClock(), linksLost: true}
	m, endpoints := newTestMonitor(f)
	m.runRound(context.Background(), m.join(endpoints[0]))
	c.Assert(m.CutOff(), qt.IsTrue)
	f.linksLost, f.up = false, func(string) bool { return true }
	m.runRound(context.Background(), newRound())
	c.Check(m.CutOff(), qt.IsFalse)
	c.Check(endpoints[0].Load.Unreachable(), qt.IsFalse)
}
