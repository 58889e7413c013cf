package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
)

// TestRefusals guards against a refusal for the wrong reason. When no endpoint was in
// service, the second concurrent request was refused for its organisation's share.
// A request with a high token limit was refused for its deadline, as the limit was
// used as the expected length of the answer.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		serving   bool
		deadline  time.Duration
		maxTokens unit.Tokens
		want      code.Code
	}{
		"no endpoint in service":          {want: code.NoReplica},
		"high token limit":                {serving: true, deadline: time.Second, maxTokens: 100_000, want: code.Answered},
		"deadline before the first token": {serving: true, deadline: time.Millisecond, want: code.DeadlineTooShort},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, h := qt.New(t), newHarness()
				defer h.close()
				if test.serving {
					h.addEndpoint("r0")
					load := h.tables.Current().Endpoint("r0").Load
					load.ObserveFirstToken(20 * time.Millisecond)
					load.ObserveToken(5 * time.Millisecond)
				}
				var first, second *exchange
				for _, ex := range []**exchange{&first, &second} {
					r := &work.Request{ID: "a", Organisation: "o", Operation: work.Chat, Model: "m", MaxTokens: test.maxTokens}
					if test.deadline > 0 {
						r.Deadline = h.clock.Now().Add(test.deadline)
					}
					*ex = h.submitRequest(r, 1)
				}
				synctest.Wait()
				for _, a := range h.waitingAttempts() {
					a.commands <- command{complete: true}
				}
				synctest.Wait()
				c.Assert(code.Of(first.err), qt.Equals, test.want)
				c.Assert(code.Of(second.err), qt.Equals, test.want)
			})
		})
	}
}
