package logging_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/kernel/logging"
)

// blockingWriter blocks its first write until release is closed, and counts the writes.
type blockingWriter struct {
	bytes.Buffer
	started, release chan struct{}
	writes           int
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	if w.writes++; w.writes == 1 {
		close(w.started)
		<-w.release
	}
	return w.Buffer.Write(p)
}

// TestAsyncWriter guards against a slow log that blocks the daemon, against lines that are
// lost or reordered although there is room for them, and against one write for each line
// that waits.
func TestAsyncWriter(t *testing.T) {
	tests := map[string]struct {
		lines   int
		dropped int64
	}{
		"lines that fit":     {lines: 500},
		"more than fit":      {lines: 1500, dropped: 476},
		"no lines that wait": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := &blockingWriter{started: make(chan struct{}), release: make(chan struct{})}
			a := logging.NewAsyncWriter(w)
			want := new(strings.Builder)
			write := func(i int) {
				line := fmt.Sprintf("line %d\n", i)
				_, err := a.Write([]byte(line))
				c.Assert(err, qt.IsNil)
				if int64(i) <= int64(test.lines)-test.dropped {
					want.WriteString(line)
				}
			}
			write(0)
			<-w.started
			for i := range test.lines {
				write(i + 1)
			}
			c.Check(a.Dropped(), qt.Equals, test.dropped)
			close(w.release)
			c.Assert(a.Close(), qt.IsNil)
			c.Check(w.String(), qt.Equals, want.String())
			c.Check(w.writes <= 2, qt.IsTrue, qt.Commentf("%d writes", w.writes))
		})
	}
}
