package openai

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// TestPipe guards against lost or reordered events, against buffering a whole
// answer for a slow caller, and against a dispatcher that waits for a caller
// whose connection is closed.
func TestPipe(t *testing.T) {
	large := strings.Repeat("x", maxPipeBytes+1)
	tests := map[string]struct {
		events  []string
		closeAt int
		want    error
	}{
		"in order":          {events: []string{"a", "bc", "", "d"}},
		"slow caller":       {events: []string{large, "a", large, "b"}},
		"closed connection": {events: []string{large, "a", "b"}, closeAt: 1, want: errCallerClosed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, p := qt.New(t), newPipe()
				written := make(chan error, 1)
				go func() {
					var err error
					for _, e := range test.events {
						if _, writeErr := p.Write([]byte(e)); writeErr != nil {
							err = writeErr
						}
					}
					p.markEnded()
					written <- err
				}()
				synctest.Wait()
				c.Assert(len(p.buffer) <= 2*maxPipeBytes, qt.IsTrue)
				if test.closeAt > 0 {
					c.Assert(p.Close(), qt.IsNil)
					c.Assert(errors.Is(<-written, test.want), qt.IsTrue)
					return
				}
				got, err := io.ReadAll(p)
				c.Assert(err, qt.IsNil)
				c.Assert(<-written, qt.IsNil)
				c.Assert(string(got) == strings.Join(test.events, ""), qt.IsTrue)
			})
		})
	}
}
