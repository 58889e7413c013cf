package cold

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/route/table"
)

// fakePeers connects the plug-ins of a data centre; the first is every owner.
type fakePeers map[ident.Instance]*Plugin

type fakeMembers struct{ self ident.Instance }

func (m fakeMembers) Self() ident.Instance        { return m.self }
func (m fakeMembers) Owner(string) ident.Instance { return "d0" }
func (m fakeMembers) KnownDaemons() int           { return 2 }

type fakeClient struct {
	peers fakePeers
	from  ident.Instance
}

func (l fakeClient) Ask(ctx context.Context, to ident.Instance, _ string, body []byte) ([]byte, error) {
	return l.peers[to].Answer(ctx, l.from, body)
}

// TestPlugin guards against grants that don't reach the table, endpoints that
// nobody asks for, and suspect endpoints that stay out of use for ever.
func TestPlugin(t *testing.T) {
	tests := map[string]struct {
		endpoint table.Endpoint
		suspect  bool
		want     unit.Requests
	}{
		"cold by default limit":     {endpoint: table.Endpoint{Protocol: table.Engine, Cold: true}, want: 2},
		"cold by its own limit":     {endpoint: table.Endpoint{Protocol: table.Engine, Cold: true, ColdLimit: 4}, want: 4},
		"a plain service":           {endpoint: table.Endpoint{Protocol: table.Service, Cold: true}, want: 0},
		"suspicion ends after time": {endpoint: table.Endpoint{Protocol: table.Engine, Limit: 9}, suspect: true, want: 18},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			plugins := make(fakePeers)
			for _, id := range []ident.Instance{"d0", "d1"} {
				p := newPlugin(defaults().(*Settings), clk)
				p.members, p.peers, p.tables, p.log = fakeMembers{id}, fakeClient{plugins, id}, table.NewPublisher(), zerolog.Nop()
				test.endpoint.ID = "r1"
				p.tables.Publish([]table.Endpoint{test.endpoint})
				if test.suspect {
					load := p.tables.Current().Endpoint("r1").Load
					load.ObserveFirstToken(100 * time.Millisecond)
					for range 3 {
						load.ObserveFirstToken(time.Second)
					}
				}
				plugins[id] = p
			}
			for range 40 {
				clk.Advance(300 * time.Millisecond)
				for _, p := range plugins {
					for owner, requests := range p.newRequests(clk.Now()) {
						p.requestFrom(context.Background(), owner, requests)
					}
				}
			}
			var total unit.Requests
			for _, p := range plugins {
				total += p.tables.Current().Endpoint("r1").EffectiveLimit(clk.Now())
			}
			if test.endpoint.Protocol != table.Engine {
				c.Assert(plugins["d0"].newRequests(clk.Now()), qt.HasLen, 0)
			}
			c.Assert(total, qt.Equals, test.want)
		})
	}
}
