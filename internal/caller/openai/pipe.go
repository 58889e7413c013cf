package openai

import (
	"io"
	"sync"
)

// maxPipeBytes bounds the bytes that are buffered for a caller that reads
// slowly. Above the limit the dispatcher waits, and so the engine waits too.
const maxPipeBytes = 256 << 10

// pipe passes the events of a stream from the dispatcher to the response. If
// events arrive faster than the caller reads, one read returns several events.
type pipe struct {
	mu      sync.Mutex
	changed *sync.Cond
	buffer  []byte
	// ended says that the dispatcher writes no more events.
	ended bool
	// closed says that the response reads no more bytes.
	closed bool
}

func newPipe() *pipe {
	p := new(pipe)
	p.changed = sync.NewCond(&p.mu)
	return p
}

// Write adds an event. It returns an error once the caller's connection has
// been closed.
func (p *pipe) Write(event []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.buffer) > maxPipeBytes && !p.closed {
		p.changed.Wait()
	}
	if p.closed {
		return 0, errCallerClosed
	}
	p.buffer = append(p.buffer, event...)
	p.changed.Broadcast()
	return len(event), nil
}

// markEnded says that no more events follow, so that Read returns io.EOF after
// the buffered bytes.
func (p *pipe) markEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.changed.Broadcast()
}

// Read returns buffered bytes, and waits if the buffer is empty.
func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.buffer) == 0 && !p.ended && !p.closed {
		p.changed.Wait()
	}
	if len(p.buffer) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.buffer)
	p.buffer = p.buffer[:copy(p.buffer, p.buffer[n:])]
	p.changed.Broadcast()
	return n, nil
}

// Close ends the stream for the writer. The server calls Close when the
// response has been sent or the caller's connection has failed.
func (p *pipe) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
	return nil
}
