package openai

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/roster"
)

// surroundings are what a daemon hears.
type surroundings struct {
	peers []roster.Peer
	age   time.Duration
}

func (s surroundings) Peers() []roster.Peer   { return s.peers }
func (s surroundings) ListAge() time.Duration { return s.age }

// TestHealth guards against the balancer sending requests to a daemon that
// stops or that can't have heard of a drain, and against a daemon failing its
// check while the platform or another daemon can be heard.
func TestHealth(t *testing.T) {
	alive, dead := roster.Peer{Instance: "b", Alive: true}, roster.Peer{Instance: "c"}
	const old = time.Minute
	tests := map[string]struct {
		heard   surroundings
		leaving bool
		want    int
	}{
		"all heard":         {heard: surroundings{peers: []roster.Peer{alive, dead}}, want: 200},
		"platform down":     {heard: surroundings{peers: []roster.Peer{alive, dead}, age: old}, want: 200},
		"daemons not heard": {heard: surroundings{peers: []roster.Peer{dead}, age: time.Second}, want: 200},
		"the only daemon":   {heard: surroundings{age: old}, want: 200},
		"isolated":          {heard: surroundings{peers: []roster.Peer{dead}, age: old}, want: 503},
		"stopping":          {heard: surroundings{peers: []roster.Peer{alive}}, leaving: true, want: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &frontend{records: instant{}, members: test.heard, roster: test.heard}
			f.leaving.Store(test.leaving)
			var ctx fasthttp.RequestCtx
			f.health(&ctx)
			qt.Assert(t, ctx.Response.StatusCode(), qt.Equals, test.want)
		})
	}
}
