package openai

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/roster"
)

// fakeCluster are what a daemon hears.
type fakeCluster struct {
	peers []roster.Peer
	age   time.Duration
}

func (s fakeCluster) Peers() []roster.Peer   { return s.peers }
func (s fakeCluster) ListAge() time.Duration { return s.age }

// TestHealth guards against the balancer sending requests to a daemon that
// stops or that can't have heard of a drain, and against a daemon failing its
// check while the platform or another daemon can be heard.
func TestHealth(t *testing.T) {
	alive, dead := roster.Peer{Instance: "b", Alive: true}, roster.Peer{Instance: "c"}
	const old = time.Minute
	tests := map[string]struct {
		cluster  fakeCluster
		stopping bool
		want     int
	}{
		"all heard":         {cluster: fakeCluster{peers: []roster.Peer{alive, dead}}, want: 200},
		"platform down":     {cluster: fakeCluster{peers: []roster.Peer{alive, dead}, age: old}, want: 200},
		"daemons not heard": {cluster: fakeCluster{peers: []roster.Peer{dead}, age: time.Second}, want: 200},
		"the only daemon":   {cluster: fakeCluster{age: old}, want: 200},
		"isolated":          {cluster: fakeCluster{peers: []roster.Peer{dead}, age: old}, want: 503},
		"stopping":          {cluster: fakeCluster{peers: []roster.Peer{alive}}, stopping: true, want: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &frontend{records: fakeBackend{}, members: test.cluster, roster: test.cluster}
			f.stopping.Store(test.stopping)
			var ctx fasthttp.RequestCtx
			f.health(&ctx)
			qt.Assert(t, ctx.Response.StatusCode(), qt.Equals, test.want)
		})
	}
}
