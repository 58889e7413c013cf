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

// errNoFreeConnection says that an address has its limit of connections.
var errNoFreeConnection = errors.New("no free connection")

// conn is a connection whose reads and writes fail when they make no progress
// for the limit. Only Close may be called by another goroutine than the one
// that has taken the connection from the pool.
type conn struct {
	net.Conn
	clock clock.Clock
	// limit bounds each read and write.
	limit time.Duration
	// until, if set, ends all reads.
	until  time.Time
	reader *bufio.Reader
	// idleSince is the time at which the connection was put into the pool.
	idleSince time.Time
	// idleLimit is how long the connection may stay idle in the pool.
	idleLimit time.Duration
	// silent, if set, is asked after each interval without a byte whether to
	// wait on; limit doesn't hold then.
	silent   func(time.Duration) bool
	interval time.Duration
	// stalled says that the last read ran into the limit. fasthttp hides that
	// in a part of its errors.
	stalled bool
}

// Read reads with a fresh deadline.
func (c *conn) Read(b []byte) (int, error) {
	if c.silent != nil {
		return c.readPatiently(b)
	}
	deadline := c.clock.Now().Add(c.limit)
	if !c.until.IsZero() && c.until.Before(deadline) {
		deadline = c.until
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.stalled = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// readPatiently reads until a byte comes or silent says to give up.
func (c *conn) readPatiently(b []byte) (int, error) {
	begun := c.clock.Now()
	now := begun
	for {
		if err := c.SetReadDeadline(now.Add(c.interval)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		now = c.clock.Now()
		if !c.silent(now.Sub(begun)) {
			c.stalled = true
			return 0, err
		}
	}
}

// explain adds to an error of fasthttp that a read ran into the limit.
func (c *conn) explain(err error) error {
	if err == nil || !c.stalled {
		return err
	}
	return errors.Join(os.ErrDeadlineExceeded, err)
}

// Write writes with a fresh deadline.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(c.clock.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// quiet reports whether the connection is open and has nothing to read. What
// arrives on an idle connection is its end or belongs to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// Failure gives an error of an exchange its code.
func Failure(err error, address string) error {
	var dial *dialError
	if errors.As(err, &dial) {
		return code.EndpointUnreachable.Wrap(err, "endpoint at %s: no connection", address)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
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
