package httpserver

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cuminbay/internal/kernel/clock"
)

// Callers may send requests ahead. While a request is answered, the reader goes on reading into its
// buffer, so that it notices the end of the connection behind them and cancels the request. The requests
// behind it are not run then.

// aheadCheckInterval is the time between two checks for the end of the connection while its buffer is full.
const aheadCheckInterval = 100 * time.Millisecond

// aheadRead coordinates a read ahead with the end of the answer, which interrupts it.
type aheadRead struct {
	mu sync.Mutex
	// reading says that the reader waits for further bytes behind those of the next request, and
	// answered that the current request has been answered.
	reading, answered bool
}

// begin says that a request is answered from now on.
func (a *aheadRead) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered = false
}

// start reports whether the reader may read ahead, since the request has not been answered.
func (a *aheadRead) start() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading = !a.answered
	return a.reading
}

// end says that the reader reads ahead no longer.
func (a *aheadRead) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading = false
}

// finish says that the request has been answered, and interrupts a read ahead.
func (a *aheadRead) finish(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered = true
	if a.reading {
		_ = c.SetReadDeadline(clock.Past)
	}
}

// awaitRequest waits until the current request has been answered and bytes of the next one have arrived.
// It returns an error if the caller closes the connection before.
func (c *conn) awaitRequest() error {
	for {
		var err error
		isFull := c.reader.Buffered() == c.reader.Size()
		switch isAnswered := c.answered == nil || isClosed(c.answered); {
		case c.reader.Buffered() == 0:
			_, err = c.reader.Peek(1)
		case isFull && c.isClosedByPeer():
			err = net.ErrClosed
		case isAnswered:
			return nil
		case isFull:
			c.waitForAnswer(aheadCheckInterval)
		default:
			err = c.readAhead()
		}
		if err != nil {
			return err
		}
	}
}

// readAhead waits for further bytes behind those that are buffered, or until the current request has been
// answered.
func (c *conn) readAhead() error {
	if !c.ahead.start() {
		<-c.answered
		return nil
	}
	_, err := c.reader.Peek(c.reader.Buffered() + 1)
	c.ahead.end()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The end of the answer has interrupted the read: there is no other deadline meanwhile.
		return nil
	}
	return err
}

// waitForAnswer waits until the current request has been answered, at most for the time.
func (c *conn) waitForAnswer(atMost time.Duration) {
	select {
	case <-c.answered:
	case <-c.server.Clock.After(atMost):
	}
}

// isClosedByPeer reports whether the caller has closed the connection, although bytes that it sent before
// have not been read.
func (c *conn) isClosedByPeer() bool {
	syscallConn, ok := c.netConn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, 0)
		closed = pollErr == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
