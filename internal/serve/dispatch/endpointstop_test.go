package dispatch

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/work"
)

// TestEndpointStops guards against a request that waits out the whole limit of
// silence at a replica that has stopped, and against one being cut off that
// flows, that may not run twice, or whose endpoint was taken out as planned.
func TestEndpointStops(t *testing.T) {
	tests := map[string]struct {
		planned, flows, once bool
		elsewhere            bool
	}{
		"before the first token": {elsewhere: true},
		"planned":                {planned: true},
		"while it flows":         {flows: true},
		"at most once":           {once: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, w := qt.New(t), newHarness()
				defer w.close()
				w.addEndpoint("r0")
				r := &work.Request{ID: "a", Organisation: "o", Operation: work.Chat, Model: "m", Resumable: true, Stream: true}
				if test.once {
					r.AtMostOnce, r.IdempotencyKey = true, "k"
				}
				x := w.submit(r, 2)
				synctest.Wait()
				if test.flows {
					w.waiting()[0].command <- command{pieces: 1, more: true}
					synctest.Wait()
				}
				stopped := w.tables.Current().Endpoint("r0")
				w.addEndpoint("r1")
				w.locked(func() { delete(w.endpoints, "r0") })
				w.publish()
				if !test.planned {
					stopped.SignalStopped()
				}
				synctest.Wait()
				at := w.waiting()[0]
				want := ident.Endpoint("r0")
				if test.elsewhere {
					want = "r1"
				}
				c.Assert(at.endpoint.ID, qt.Equals, want)
				at.command <- command{whole: true}
				synctest.Wait()
				c.Assert(code.Of(x.err), qt.Equals, code.Answered)
				c.Assert(w.violations, qt.HasLen, 0)
			})
		})
	}
}
