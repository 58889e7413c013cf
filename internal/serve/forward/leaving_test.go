package forward

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
)

// TestLeaving guards against requests to a server that has said in a reply of any kind that it
// leaves, and against believing that of another server at the address.
func TestLeaving(t *testing.T) {
	tests := map[string]struct {
		path  string
		reply scriptedReply
		// server gives the reply, and wantLeaving says that it is not used afterwards.
		server      ident.Instance
		wantLeaving bool
	}{
		"answer":                        {path: "/safe/1", server: "a", reply: scriptedReply{body: "done", leaving: true}, wantLeaving: true},
		"error status":                  {path: "/unsafe/1", server: "a", reply: scriptedReply{status: 500, leaving: true}, wantLeaving: true},
		"rejection":                     {path: "/unsafe/1", server: "a", reply: scriptedReply{status: 503, disposition: proxy.Refused, leaving: true}, wantLeaving: true},
		"stream":                        {path: "/stream/1", server: "x", reply: scriptedReply{body: eventA, leaving: true}, wantLeaving: true},
		"stream that is cut off":        {path: "/not-resumable/1", server: "x", reply: scriptedReply{body: eventA, bodyCutOff: true, leaving: true}, wantLeaving: true},
		"another server at the address": {path: "/unsafe/1", server: "a", reply: scriptedReply{status: 421, disposition: proxy.Misdirected, leaving: true}},
		"server that stays":             {path: "/safe/1", server: "a", reply: scriptedReply{body: "done"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clk := clockwork.NewFakeClock()
			f := newTestForwarder(&fakeSender{clock: clk, replies: map[ident.Instance][]scriptedReply{test.server: {test.reply}}})
			// The result of the request is tested elsewhere.
			_ = f.Forward(context.Background(), &proxy.Request{
				ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel, Received: clk.Now(),
			}, new(fakeSink))
			qt.Check(t, f.Catalog.Current().Server(test.server).Draining, qt.Equals, test.wantLeaving)
		})
	}
}
