package dispatch

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/work"
)

// TestEndpointStops guards against a request that waits for the whole stall timeout
// of a replica that has stopped. It also guards against cancelling a request whose
// answer has started, that must not run twice, or whose endpoint's removal was
// planned.
func TestEndpointStops(t *testing.T) {
	tests := map[string]struct {
		planned, receiving, atMostOnce bool
		wantRetry                      bool
	}{
		"before the first token": {wantRetry: true},
		"planned removal":        {planned: true},
		"after the first token":  {receiving: true},
		"at-most-once request":   {atMostOnce: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, h := qt.New(t), newHarness()
				defer h.close()
				h.addEndpoint("r0")
				r := &work.Request{ID: "a", Organisation: "o", Operation: work.Chat, Model: "m", Resumable: true, Stream: true}
				if test.atMostOnce {
					r.AtMostOnce, r.IdempotencyKey = true, "k"
				}
				ex := h.submitRequest(r, 2)
				synctest.Wait()
				if test.receiving {
					h.waitingAttempts()[0].commands <- command{chunks: 1, keepOpen: true}
					synctest.Wait()
				}
				stopped := h.tables.Current().Endpoint("r0")
				h.addEndpoint("r1")
				h.withLock(func() { delete(h.endpoints, "r0") })
				h.publishEndpoints()
				if !test.planned {
					stopped.SignalStopped()
				}
				synctest.Wait()
				current := h.waitingAttempts()[0]
				want := ident.Endpoint("r0")
				if test.wantRetry {
					want = "r1"
				}
				c.Assert(current.endpoint.ID, qt.Equals, want)
				current.commands <- command{complete: true}
				synctest.Wait()
				c.Assert(code.Of(ex.err), qt.Equals, code.Answered)
				c.Assert(h.violations, qt.HasLen, 0)
			})
		})
	}
}
