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

// slowClaims takes longer than the deadline of a request.
type slowClaims struct{ *harness }

func (s slowClaims) Claim(ctx context.Context, key ident.RequestKey, o ident.Organisation, f ident.Fingerprint) (work.SendPermit, error) {
	s.advance(2 * time.Millisecond)
	return s.harness.Claim(ctx, key, o, f)
}

// TestDeadlineDuringClaim guards against a slow platform making healthy
// endpoints look unreachable: a call whose deadline passed during its claim was
// "sent" with an ended context, and the endpoint was then avoided.
func TestDeadlineDuringClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, w := qt.New(t), newHarness()
		defer w.close()
		w.addEndpoint("s0")
		w.dispatcher.Claims = slowClaims{w}
		x := w.submit(&work.Request{
			ID: "a", Organisation: "o", Operation: work.ServiceCall, Service: "ledger", Method: "POST",
			AtMostOnce: true, IdempotencyKey: "k", Deadline: w.clock.Now().Add(time.Millisecond),
		}, 1)
		w.advance(3 * time.Millisecond)
		synctest.Wait()
		c.Assert(code.Of(x.err), qt.Equals, code.DeadlineTooShort)
		c.Assert(x.sends, qt.Equals, 0)
		c.Assert(w.claimStates["k"], qt.Equals, "released")
		e := w.tables.Current().Endpoint("s0")
		c.Assert(e.EffectiveLimit(w.clock.Now()), qt.Equals, e.Limit)
	})
}

// tableChangingPicker changes the table between the choice of an endpoint and Acquire.
type tableChangingPicker struct {
	policy.Random2
	change func()
}

func (l *tableChangingPicker) Pick(now time.Time, list []*table.Endpoint, r *work.Request) *table.Endpoint {
	e := l.Random2.Pick(now, list, r)
	if change := l.change; change != nil {
		l.change = nil
		change()
	}
	return e
}

// TestTableChangesDuringChoice guards against a place taken at an endpoint as it was in an
// earlier table: its Load may be forgotten, so that a stop order would not wait
// for the request, or it may have turned cold.
func TestTableChangesDuringChoice(t *testing.T) {
	tests := map[string]struct {
		change func(*harness)
		want   code.Code
	}{
		"left":     {change: func(w *harness) { w.locked(func() { delete(w.endpoints, "r0") }); w.publish() }, want: code.NoReplica},
		"returned": {change: func(w *harness) { w.locked(func() { delete(w.endpoints, "r0") }); w.publish(); w.addEndpoint("r0") }, want: code.Answered},
		"cold": {change: func(w *harness) {
			e := w.endpoints["r0"]
			e.Cold = true
			w.setEndpoint(e)
			w.publish()
		}, want: code.ColdOnly},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, w := qt.New(t), newHarness()
				defer w.close()
				w.addEndpoint("r0")
				w.dispatcher.Policy = &tableChangingPicker{change: func() { test.change(w) }}
				x := w.submit(&work.Request{ID: "a", Organisation: "o", Operation: work.Chat, Model: "m"}, 1)
				synctest.Wait()
				if waiting := w.waiting(); len(waiting) > 0 {
					c.Check(w.dispatcher.InFlightTo("r0") == 1, qt.IsTrue)
					waiting[0].command <- command{whole: true}
				}
				w.advance(3 * time.Millisecond)
				synctest.Wait()
				c.Assert(code.Of(x.err), qt.Equals, test.want)
				c.Assert(w.violations, qt.HasLen, 0)
			})
		})
	}
}

// TestFirstToken guards against a policy that is never told how long first
// tokens take: limits then never adapt, and an endpoint that turned cold
// without notice is never suspected.
func TestFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, w := qt.New(t), newHarness()
		defer w.close()
		w.addEndpoint("r0")
		load := w.tables.Current().Endpoint("r0").Load
		for i, wait := range []time.Duration{20, 200, 200, 200} {
			c.Assert(load.SuspectCold(), qt.IsFalse)
			x := w.submit(&work.Request{ID: "a", Organisation: "o", Operation: work.Chat, Model: "m", Resumable: true, Stream: true}, 2)
			synctest.Wait()
			w.advance(wait * time.Millisecond)
			w.waiting()[0].command <- command{pieces: 1, more: true}
			w.advance(5 * time.Millisecond)
			w.waiting()[0].command <- command{whole: true}
			synctest.Wait()
			c.Assert(x.err, qt.IsNil, qt.Commentf("request %d", i))
		}
		c.Assert(load.SuspectCold(), qt.IsTrue)
		c.Assert(load.FirstToken(), qt.Equals, 20*time.Millisecond)
		c.Assert(load.PerToken(), qt.Equals, 5*time.Millisecond)
	})
}

// TestCutOffAtTokenLimit guards against a token beyond the caller's limit, generated
// by a resumption of an answer that broke off right before its end.
func TestCutOffAtTokenLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, w := qt.New(t), newHarness()
		defer w.close()
		w.addEndpoint("r0")
		x := w.submit(&work.Request{ID: "a", Organisation: "o", Operation: work.Chat, Model: "m", Resumable: true, Stream: true, MaxTokens: 2}, 2)
		synctest.Wait()
		w.waiting()[0].command <- command{pieces: 2, ran: true, failure: code.CutOff.New("torn")}
		synctest.Wait()
		c.Assert(x.err, qt.IsNil)
		c.Assert([]int{x.starts, x.ends, x.sends}, qt.DeepEquals, []int{1, 1, 1})
		c.Assert(w.violations, qt.HasLen, 0)
	})
}
