package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/policy"
	"cuminbay/internal/route/table"
)

// slowClaims makes claims that take longer than the deadline of the request.
type slowClaims struct{ *harness }

func (s slowClaims) Claim(ctx context.Context, key ident.IdempotencyKey, o ident.Organisation, f ident.Fingerprint) (work.SendPermit, error) {
	s.advanceClock(2 * time.Millisecond)
	return s.harness.Claim(ctx, key, o, f)
}

// TestDeadlineDuringClaim guards against a slow store that makes healthy endpoints
// look unreachable. A call whose deadline passed during its claim was sent with an
// ended context, and the endpoint then got no requests for a while.
func TestDeadlineDuringClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, h := qt.New(t), newHarness()
		defer h.close()
		h.addEndpoint("s0")
		h.dispatcher.Claims = slowClaims{h}
		ex := h.submitRequest(&work.Request{
			ID: "a", Organisation: "o", Operation: work.ServiceCall, Service: "ledger", Method: "POST",
			AtMostOnce: true, IdempotencyKey: "k", Deadline: h.clock.Now().Add(time.Millisecond),
		}, 1)
		h.advanceClock(3 * time.Millisecond)
		synctest.Wait()
		c.Assert(code.Of(ex.err), qt.Equals, code.DeadlineTooShort)
		c.Assert(ex.sends, qt.Equals, 0)
		c.Assert(h.claimStates["k"], qt.Equals, "released")
		e := h.tables.Current().Endpoint("s0")
		c.Assert(e.EffectiveLimit(h.clock.Now()), qt.Equals, e.Limit)
	})
}

// tableChangingPicker changes the table between the choice of an endpoint and
// Acquire.
type tableChangingPicker struct {
	policy.Random2
	change func()
}

func (p *tableChangingPicker) Pick(now time.Time, endpoints []*table.Endpoint, r *work.Request) *table.Endpoint {
	e := p.Random2.Pick(now, endpoints, r)
	if change := p.change; change != nil {
		p.change = nil
		change()
	}
	return e
}

// TestTableChangesDuringChoice guards against acquiring a slot of an endpoint from an
// earlier table. The publisher may have dropped the endpoint's Load, so that
// a stop order would not wait for the request, or the endpoint may have turned cold.
func TestTableChangesDuringChoice(t *testing.T) {
	tests := map[string]struct {
		change func(*harness)
		want   code.Code
	}{
		"endpoint removed": {change: func(h *harness) { h.withLock(func() { delete(h.endpoints, "r0") }); h.publishEndpoints() }, want: code.NoReplica},
		"endpoint removed and added again": {change: func(h *harness) {
			h.withLock(func() { delete(h.endpoints, "r0") })
			h.publishEndpoints()
			h.addEndpoint("r0")
		}, want: code.Answered},
		"endpoint turned cold": {change: func(h *harness) {
			e := h.endpoints["r0"]
			e.Cold = true
			h.setEndpoint(e)
			h.publishEndpoints()
		}, want: code.ColdOnly},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, h := qt.New(t), newHarness()
				defer h.close()
				h.addEndpoint("r0")
				h.dispatcher.Policy = &tableChangingPicker{change: func() { test.change(h) }}
				ex := h.submitRequest(&work.Request{ID: "a", Organisation: "o", Operation: work.Chat, Model: "m"}, 1)
				synctest.Wait()
				if waiting := h.waitingAttempts(); len(waiting) > 0 {
					c.Check(h.dispatcher.InFlightTo("r0") == 1, qt.IsTrue)
					waiting[0].commands <- command{complete: true}
				}
				h.advanceClock(3 * time.Millisecond)
				synctest.Wait()
				c.Assert(code.Of(ex.err), qt.Equals, test.want)
				c.Assert(h.violations, qt.HasLen, 0)
			})
		})
	}
}

// TestObserveFirstToken guards against times to the first token that the policy does
// not receive. Limits would never adapt, and an endpoint that turned cold without a
// report would never be suspected.
func TestObserveFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, h := qt.New(t), newHarness()
		defer h.close()
		h.addEndpoint("r0")
		load := h.tables.Current().Endpoint("r0").Load
		for i, wait := range []time.Duration{20, 200, 200, 200} {
			c.Assert(load.IsSuspectedCold(), qt.IsFalse)
			ex := h.submitRequest(&work.Request{ID: "a", Organisation: "o", Operation: work.Chat, Model: "m", Resumable: true, Stream: true}, 2)
			synctest.Wait()
			h.advanceClock(wait * time.Millisecond)
			h.waitingAttempts()[0].commands <- command{chunks: 1, keepOpen: true}
			h.advanceClock(5 * time.Millisecond)
			h.waitingAttempts()[0].commands <- command{complete: true}
			synctest.Wait()
			c.Assert(ex.err, qt.IsNil, qt.Commentf("request %d", i))
		}
		c.Assert(load.IsSuspectedCold(), qt.IsTrue)
		c.Assert(load.FirstTokenTime(), qt.Equals, 20*time.Millisecond)
		c.Assert(load.TokenInterval(), qt.Equals, 5*time.Millisecond)
	})
}

// TestCutOffAtTokenLimit guards against a token above the request's limit. It would
// come from resuming an answer that was cut off after its last token.
func TestCutOffAtTokenLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, h := qt.New(t), newHarness()
		defer h.close()
		h.addEndpoint("r0")
		ex := h.submitRequest(&work.Request{ID: "a", Organisation: "o", Operation: work.Chat, Model: "m", Resumable: true, Stream: true, MaxTokens: 2}, 2)
		synctest.Wait()
		h.waitingAttempts()[0].commands <- command{chunks: 2, ran: true, failure: code.CutOff.New("connection closed")}
		synctest.Wait()
		c.Assert(ex.err, qt.IsNil)
		c.Assert([]int{ex.starts, ex.ends, ex.sends}, qt.DeepEquals, []int{1, 1, 1})
		c.Assert(h.violations, qt.HasLen, 0)
	})
}
