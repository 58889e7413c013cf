package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter passes lines on to a writer from a goroutine of its own. When the writer
// is too slow, lines are dropped and counted, so that logging never blocks.
type AsyncWriter struct {
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// maxBufferedLines bounds the lines that wait for the writer.
const maxBufferedLines = 1024

// NewAsync returns a writer that passes lines on to w.
func NewAsync(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		// There is nowhere to report that the log can't be written.
		_, _ = w.Write(line)
	}
}

// Write takes a line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (a *AsyncWriter) Dropped() int64 {
	return a.dropped.Load()
}

// Close passes on what waits. No line may be written after it.
func (a *AsyncWriter) Close() error {
	a.closeOnce.Do(func() { close(a.lines) })
	<-a.done
	return nil
}
