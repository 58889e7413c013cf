package forward

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
)

// TestErrorIsNoCompletion guards against a request whose crashes no longer count since a server
// answered it with an error, which says nothing of what it does to other servers.
func TestErrorIsNoCompletion(t *testing.T) {
	tests := map[string]struct {
		status      int
		wantRefused bool
	}{
		"server error":   {status: 500, wantRefused: true},
		"success":        {status: 200},
		"caller's error": {status: 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			sender := &fakeSender{clock: clk, replies: map[ident.Instance][]scriptedReply{"a": {{status: test.status}}}}
			f := newTestForwarder(sender)
			c.Check(f.Forward(context.Background(), &proxy.Request{
				ID: "r", Method: "POST", Host: "h", Target: "/unsafe/1", Path: "/unsafe/1", Credential: "k", Fingerprint: 7, Received: clk.Now(),
			}, new(fakeSink)), qt.IsNil)
			for crash := range ident.Crash(3) {
				f.Poison.RecordCrash(7, crash)
			}
			c.Check(code.Of(f.Poison.Check(7)) == code.PoisonRequest, qt.Equals, test.wantRefused)
		})
	}
}
