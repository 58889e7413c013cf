package feed

import (
	"context"
	"net"
	"time"

	"cuminbay/internal/kernel/clock"
)

// receivingConn counts the received bytes of the client's current answer.
type receivingConn struct {
	net.Conn
	client *client
}

func (c *receivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := int64(clock.InstantOf(c.client.clock.Now()))
		if c.client.received.Add(int64(n)) == int64(n) {
			c.client.beganAt.Store(now)
		}
		c.client.receivedAt.Store(now)
	}
	return n, err
}

func (c *client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &receivingConn{conn, c}, nil
}

// minTransferBytes is the number of received bytes from which an answer counts as large,
// and maxTransferPause the time without bytes after which it no longer arrives.
const (
	minTransferBytes = 4 << 10
	maxTransferPause = 400 * time.Millisecond
)

// Transferring reports whether a large answer is arriving.
func (c *client) Transferring() bool {
	pause := c.clock.Now().Sub(clock.Instant(c.receivedAt.Load()).Time())
	return c.received.Load() >= minTransferBytes && pause < maxTransferPause
}

// withProgressTimeout returns the context of a call that is cancelled when no part of the
// answer has arrived for answerTimeout after the wait, or after maxTransferTime.
func (c *client) withProgressTimeout(parent context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	c.received.Store(0)
	expectedAt := c.clock.Now().Add(wait)
	end := expectedAt.Add(maxTransferTime)
	timer := c.clock.NewTimer(wait + answerTimeout)
	go func() {
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-timer.Chan():
				progressAt := expectedAt
				if receivedAt := clock.Instant(c.receivedAt.Load()).Time(); c.received.Load() > 0 && receivedAt.After(progressAt) {
					progressAt = receivedAt
				}
				remaining := progressAt.Add(answerTimeout).Sub(now)
				if remaining <= 0 || now.After(end) {
					cancel()
					return
				}
				timer.Reset(remaining)
			}
		}
	}()
	return ctx, cancel
}
