package gossip

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
)

// TestPickRelay guards against passing requests on to a daemon that reaches no servers either,
// that has failed or that pays for traffic between data centres, while a better one is there.
func TestPickRelay(t *testing.T) {
	const self = ident.DataCentre("z")
	tests := map[string]struct {
		// peers have the addresses by data centre, cutOff and silent some of them.
		peers          map[ident.Instance]ident.DataCentre
		cutOff, silent []ident.Instance
		tried          []ident.Instance
		want           ident.Instance
		wantConnected  bool
	}{
		"no daemon":                 {},
		"own data centre first":     {peers: map[ident.Instance]ident.DataCentre{"near": self, "far": "other"}, want: "near", wantConnected: true},
		"near one is cut off":       {peers: map[ident.Instance]ident.DataCentre{"near": self, "far": "other"}, cutOff: []ident.Instance{"near"}, want: "far", wantConnected: true},
		"near one was tried":        {peers: map[ident.Instance]ident.DataCentre{"near": self, "far": "other"}, tried: []ident.Instance{"near"}, want: "far", wantConnected: true},
		"near one is silent":        {peers: map[ident.Instance]ident.DataCentre{"near": self, "far": "other"}, silent: []ident.Instance{"near"}, want: "far", wantConnected: true},
		"only one, and it's silent": {peers: map[ident.Instance]ident.DataCentre{"near": self}, silent: []ident.Instance{"near"}, want: "near"},
		"all are cut off":           {peers: map[ident.Instance]ident.DataCentre{"near": self, "far": "other"}, cutOff: []ident.Instance{"near", "far"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g, _, clk := newGossip(c, test.peers)
			clk.Advance(2 * inFlightExpiry)
			for id := range test.peers {
				if slices.Contains(test.silent, id) {
					continue
				}
				g.handleMessage(&message{From: id, Incarnation: 1, Sequence: 1, CutOff: slices.Contains(test.cutOff, id)})
			}
			g.updateRelays()
			var picked ident.Instance
			if relay := g.PickRelay(test.tried); relay != nil {
				picked = relay.ID
				c.Check(relay.IsRelay, qt.IsTrue)
				c.Check(relay.Address, qt.Equals, "relay-"+string(picked))
			}
			c.Check(picked, qt.Equals, test.want)
			c.Check(g.HasConnectedDaemon(), qt.Equals, test.wantConnected)
			clk.Advance(time.Minute)
			g.updateRelays()
			c.Check(g.PickRelay(nil), qt.IsNil)
		})
	}
}
