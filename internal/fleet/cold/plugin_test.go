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

// fakePeers has the plug-ins of a data centre by daemon; d0 owns all endpoints.
type fakePeers map[ident.Instance]*Plugin

type fakeOwners struct{ self ident.Instance }

func (o fakeOwners) Self() ident.Instance        { return o.self }
func (o fakeOwners) Owner(string) ident.Instance { return "d0" }
func (o fakeOwners) KnownDaemons() int           { return 2 }

// fakeClient delivers messages of a daemon to the plug-ins.
type fakeClient struct {
	peers fakePeers
	from  ident.Instance
}

func (c fakeClient) Ask(ctx context.Context, to ident.Instance, _ string, body []byte) ([]byte, error) {
	return c.peers[to].Answer(ctx, c.from, body)
}

// TestPlugin guards against grants that don't reach the table, endpoints for
// which no daemon requests grants, and suspected endpoints that stay cold for
// ever.
func TestPlugin(t *testing.T) {
	tests := map[string]struct {
		endpoint table.Endpoint
		suspect  bool
		limit    unit.Requests
	}{
		"default limit":    {endpoint: table.Endpoint{Protocol: table.Engine, Cold: true}, limit: 2},
		"limit of its own": {endpoint: table.Endpoint{Protocol: table.Engine, Cold: true, ColdLimit: 4}, limit: 4},
		"plain service":    {endpoint: table.Endpoint{Protocol: table.Service, Cold: true}, limit: 0},
		"suspicion ends":   {endpoint: table.Endpoint{Protocol: table.Engine, Limit: 9}, suspect: true, limit: 18},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			plugins := make(fakePeers)
			for _, id := range []ident.Instance{"d0", "d1"} {
				p := newPlugin(defaults().(*Settings), clk)
				p.owners, p.peers, p.tables, p.log = fakeOwners{id}, fakeClient{plugins, id}, table.NewPublisher(), zerolog.Nop()
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
						p.requestGrantsFrom(context.Background(), owner, requests)
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
			c.Assert(total, qt.Equals, test.limit)
		})
	}
}
