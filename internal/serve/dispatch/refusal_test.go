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

// TestRefusals guards against a refusal that names the wrong reason. Before, a
// second request at a time got its organisation's share as the reason when
// nothing served at all, and a high limit of tokens was taken for the length of
// the answer and refused for the deadline.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		serving   bool
		deadline  time.Duration
		maxTokens unit.Tokens
		want      code.Code
	}{
		"nothing serves":       {want: code.NoReplica},
		"a high token limit":   {serving: true, deadline: time.Second, maxTokens: 100_000, want: code.Answered},
		"a deadline too short": {serving: true, deadline: time.Millisecond, want: code.DeadlineTooShort},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, w := qt.New(t), newHarness()
				defer w.close()
				if test.serving {
					w.addEndpoint("r0")
					load := w.tables.Current().Endpoint("r0").Load
					load.ObserveFirstToken(20 * time.Millisecond)
					load.ObserveToken(5 * time.Millisecond)
				}
				var first, second *exchange
				for _, x := range []**exchange{&first, &second} {
					r := &work.Request{ID: "a", Organisation: "o", Operation: work.Chat, Model: "m", MaxTokens: test.maxTokens}
					if test.deadline > 0 {
						r.Deadline = w.clock.Now().Add(test.deadline)
					}
					*x = w.submit(r, 1)
				}
				synctest.Wait()
				for _, a := range w.waiting() {
					a.command <- command{whole: true}
				}
				synctest.Wait()
				c.Assert(code.Of(first.err), qt.Equals, test.want)
				c.Assert(code.Of(second.err), qt.Equals, test.want)
			})
		})
	}
}
