package openai

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/roster"
)

// fakeCluster provides the peers and the age of the list of instances.
type fakeCluster struct {
	peers   []roster.Peer
	listAge time.Duration
}

func (c fakeCluster) Peers() []roster.Peer   { return c.peers }
func (c fakeCluster) ListAge() time.Duration { return c.listAge }

// TestHealth guards against the load balancer sending requests to a daemon that
// is stopping or may have missed a drain, and against a daemon that fails its
// check while it reaches a peer or the platform.
func TestHealth(t *testing.T) {
	alive, unreachable := roster.Peer{Instance: "b", Alive: true}, roster.Peer{Instance: "c"}
	const old = time.Minute
	tests := map[string]struct {
		cluster  fakeCluster
		stopping bool
		want     int
	}{
		"peers and platform reachable":      {cluster: fakeCluster{peers: []roster.Peer{alive, unreachable}}, want: 200},
		"platform unreachable":              {cluster: fakeCluster{peers: []roster.Peer{alive, unreachable}, listAge: old}, want: 200},
		"peers unreachable":                 {cluster: fakeCluster{peers: []roster.Peer{unreachable}, listAge: time.Second}, want: 200},
		"only daemon, platform unreachable": {cluster: fakeCluster{listAge: old}, want: 200},
		"isolated":                          {cluster: fakeCluster{peers: []roster.Peer{unreachable}, listAge: old}, want: 503},
		"stopping":                          {cluster: fakeCluster{peers: []roster.Peer{alive}}, stopping: true, want: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &frontend{records: fakeBackend{}, peers: test.cluster, roster: test.cluster}
			f.stopping.Store(test.stopping)
			var ctx fasthttp.RequestCtx
			f.serveHealth(&ctx)
			qt.Assert(t, ctx.Response.StatusCode(), qt.Equals, test.want)
		})
	}
}
