// Package stream is the HTTP client of the daemons' requests to endpoints. It
// pools connections, detects stalled connections, cancels a request with its
// context, builds the body of a resumed request and reads server-sent events.
package stream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
)

// dialError is an error that occurred before any byte was sent.
type dialError struct {
	error
}

// Unwrap returns the error of the failed dial.
func (e *dialError) Unwrap() error {
	return e.error
}

// errClosedWhileIdle says that the endpoint closed a connection that was idle before.
var errClosedWhileIdle = errors.New("endpoint closed the idle connection as the request was sent")

// errConnectionLimit says that the pool has the maximum number of connections
// to an address.
var errConnectionLimit = errors.New("connection limit of the address reached")

// readBufferBytes holds the head of an answer and several events that arrive
// together.
const readBufferBytes = 4096

// conn is a connection whose reads and writes fail if they make no progress for
// ioTimeout. Only Close may be called by a goroutine other than the one that
// acquired the connection from the pool. An upload writes in a goroutine of its own.
type conn struct {
	net.Conn
	clock clock.Clock
	// ioTimeout bounds each read and each write.
	ioTimeout time.Duration
	// readDeadline, if set, ends all reads.
	readDeadline time.Time
	reader       *bufio.Reader
	// wasIdle says that the connection was idle before the exchange, and hasReceived that
	// a byte has arrived in it, the first one at beganAt.
	wasIdle, hasReceived bool
	beganAt              time.Time
	// idleSince is the time at which the connection became idle.
	idleSince time.Time
	// idleTimeout is the idle time after which the connection is not reused.
	idleTimeout time.Duration
	// keepWaiting, if set, replaces ioTimeout for reads. It is called after
	// each silenceInterval without a byte, with the time since the read began,
	// and reports whether to continue the wait.
	keepWaiting     func(time.Duration) bool
	silenceInterval time.Duration
	// readTimedOut says that the last read reached its deadline. Some errors of
	// fasthttp hide the timeout.
	readTimedOut bool
}

// Read reads with a new deadline.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.readOnce(b)
	if n > 0 && !c.hasReceived {
		c.hasReceived, c.beganAt = true, c.clock.Now()
	}
	return n, err
}

// readOnce is Read, but for hasReceived.
func (c *conn) readOnce(b []byte) (int, error) {
	if c.keepWaiting != nil {
		return c.readWithSilenceCheck(b)
	}
	deadline := c.clock.Now().Add(c.ioTimeout)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(deadline) {
		deadline = c.readDeadline
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.readTimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// readWithSilenceCheck reads until a byte arrives or keepWaiting returns false.
func (c *conn) readWithSilenceCheck(b []byte) (int, error) {
	started := c.clock.Now()
	now := started
	for {
		if err := c.SetReadDeadline(now.Add(c.silenceInterval)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		now = c.clock.Now()
		if !c.keepWaiting(now.Sub(started)) {
			c.readTimedOut = true
			return 0, err
		}
	}
}

// withDeadlineError adds os.ErrDeadlineExceeded to an error of fasthttp if the last
// read reached its deadline.
func (c *conn) withDeadlineError(err error) error {
	if err == nil || !c.readTimedOut {
		return err
	}
	return errors.Join(os.ErrDeadlineExceeded, err)
}

// abort closes the connection and discards what was not delivered. Otherwise the kernel would
// go on sending a request over a link that is cut, and the endpoint would get it long after the
// exchange has ended.
func (c *conn) abort() {
	budget.ResetConn(c.Conn)
}

// Write writes with a new deadline.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.setWriteDeadline(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// setWriteDeadline sets the deadline of the next write.
func (c *conn) setWriteDeadline() error {
	return c.SetWriteDeadline(c.clock.Now().Add(c.ioTimeout))
}

// closedWhileIdle reports whether the exchange that ended with the error failed because the
// endpoint closed the idle connection: no byte of the answer has arrived.
func (c *conn) closedWhileIdle(err error) bool {
	if !c.wasIdle || c.hasReceived {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isReusable reports whether the connection is open and has no data to read.
// Data that arrives on an idle connection belongs to no request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && nothingToRead
}

// ErrorWithCode returns the error of an exchange with its result code.
func ErrorWithCode(err error, address string) error {
	var dialErr *dialError
	if errors.As(err, &dialErr) {
		return code.EndpointUnreachable.Wrap(err, "endpoint at %s: cannot connect", address)
	}
	if errors.Is(err, errClosedWhileIdle) {
		return code.ConnectionClosed.Wrap(err, "endpoint at %s", address)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return code.Stalled.Wrap(err, "endpoint at %s: no data received or accepted within the time limit", address)
	}
	return code.CutOff.Wrap(err, "endpoint at %s: connection ended before the end of the answer", address)
}

// Excerpt returns the start of a body for an error message.
func Excerpt(body []byte) string {
	const limit = 200
	if len(body) > limit {
		return string(body[:limit]) + "..."
	}
	return string(body)
}
