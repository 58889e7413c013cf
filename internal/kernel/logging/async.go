package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter forwards log lines to a writer in a goroutine of its own. If the
// writer is too slow, AsyncWriter drops and counts lines, so that logging never
// blocks.
type AsyncWriter struct {
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// maxBufferedLines bounds the lines that wait for the writer.
const maxBufferedLines = 1024

// NewAsyncWriter returns a writer that forwards lines to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go a.writeLines(w)
	return a
}

// maxBatchBytes is the size from which no further line is added to a write.
const maxBatchBytes = 16 << 10

// writeLines writes the lines, those that wait together in one write.
func (a *AsyncWriter) writeLines(w io.Writer) {
	defer close(a.done)
	var batch []byte
	for line := range a.lines {
		batch = a.appendWaiting(append(batch[:0], line...))
		// A failed write is ignored: the log itself is the only place to report
		// an error.
		_, _ = w.Write(batch)
	}
}

// appendWaiting appends the lines that wait to the batch.
func (a *AsyncWriter) appendWaiting(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, open := <-a.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Write buffers a line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 {
	return a.dropped.Load()
}

// Close writes the buffered lines. Write must not be called afterwards.
func (a *AsyncWriter) Close() error {
	a.closeOnce.Do(func() { close(a.lines) })
	<-a.done
	return nil
}
