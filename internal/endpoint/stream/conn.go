// Package stream holds what the endpoint protocols based on OpenAI HTTP share:
// connections that fail when they fall silent or their request is cancelled,
// the body of a resumed request, and the reading of server-sent events.
package stream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/kernel/clock"
)

// dialError marks a failure before anything was sent.
type dialError struct {
	error
}

// Unwrap returns the cause.
func (e *dialError) Unwrap() error {
	return e.error
}

// errConnectionLimit says that an address has its limit of connections.
var errConnectionLimit = errors.New("no free connection")

// conn is a connection whose reads and writes fail when they make no progress
// for the limit. Only Close may be called by another goroutine than the one
// that has taken the connection from the pool.
type conn struct {
	net.Conn
	clock clock.Clock
	// ioTimeout bounds each read and write.
	ioTimeout time.Duration
	// readDeadline, if set, ends all reads.
	readDeadline time.Time
	reader       *bufio.Reader
	// idleSince is the time at which the connection was put into the pool.
	idleSince time.Time
	// idleTimeout is how long the connection may stay idle in the pool.
	idleTimeout time.Duration
	// keepWaiting, if set, is asked after each interval without a byte whether to
	// wait on; limit doesn't hold then.
	keepWaiting     func(time.Duration) bool
	silenceInterval time.Duration
	// readTimedOut says that the last read ran into the limit. fasthttp hides that
	// in a part of its errors.
	readTimedOut bool
}

// Read reads with a fresh deadline.
func (c *conn) Read(b []byte) (int, error) {
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

// readWithSilenceCheck reads until a byte comes or silent says to give up.
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

// addTimeout adds to an error of fasthttp that a read ran into the limit.
func (c *conn) addTimeout(err error) error {
	if err == nil || !c.readTimedOut {
		return err
	}
	return errors.Join(os.ErrDeadlineExceeded, err)
}

// Write writes with a fresh deadline.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(c.clock.Now().Add(c.ioTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// isReusable reports whether the connection is open and has nothing to read. What
// arrives on an idle connection is its end or belongs to no request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && nothingToRead
}

// ErrorWithCode gives an error of an exchange its code.
func ErrorWithCode(err error, address string) error {
	var dialErr *dialError
	if errors.As(err, &dialErr) {
		return code.EndpointUnreachable.Wrap(err, "endpoint at %s: no connection", address)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return code.Stalled.Wrap(err, "endpoint at %s: silent before the answer's end", address)
	}
	return code.CutOff.Wrap(err, "endpoint at %s: connection ended before the answer did", address)
}

// Excerpt returns the start of a body for an error message.
func Excerpt(body []byte) string {
	const limit = 200
	if len(body) > limit {
		return string(body[:limit]) + "..."
	}
	return string(body)
}
