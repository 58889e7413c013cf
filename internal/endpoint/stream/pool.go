package stream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cuminbay/internal/kernel/clock"
)

// defaultIdleTimeout is the time after which an idle connection is closed. It is shorter
// than the 5 s after which common servers of engines close theirs, since a
// request sent on a connection that the server is closing has no known outcome.
const defaultIdleTimeout = 4 * time.Second

// PoolOptions are the settings of a Pool.
type PoolOptions struct {
	Clock clock.Clock
	// MaxConnections bounds the connections to one address.
	MaxConnections int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// StallTimeout is the time without a byte after which an open connection
	// counts as stalled.
	StallTimeout time.Duration
	// TokenStallTimeout is the same once the first token has come; zero stands
	// for Silence.
	TokenStallTimeout time.Duration
	// KeepAlive probes idle connections at the level of TCP, so that one that
	// has gone silent for good is noticed; the zero value leaves the defaults.
	KeepAlive net.KeepAliveConfig
	// MaxBody bounds the answers of Do in bytes; zero is no limit.
	MaxBody int
}

// Pool sends HTTP requests over connections that it keeps per address. It is
// safe for concurrent use.
//
// A mutex guards the lists of connections. It is held for a map access and an
// append, never during I/O; a lock-free stack per address would need one
// allocation more for each request.
type Pool struct {
	PoolOptions
	dialer net.Dialer

	mu        sync.Mutex
	byAddress map[string]*addressConns
	// sweepTimer closes idle connections; it is set while there are any.
	sweepTimer clockwork.Timer
}

// addressConns has the connections of an address. The one used last is reused first, so
// that those not needed grow old.
type addressConns struct {
	idle []*conn
	open int
}

// NewPool returns a pool without connections.
func NewPool(o PoolOptions) *Pool {
	if o.TokenStallTimeout == 0 {
		o.TokenStallTimeout = o.StallTimeout
	}
	return &Pool{PoolOptions: o, dialer: net.Dialer{Timeout: o.DialTimeout, KeepAliveConfig: o.KeepAlive}, byAddress: make(map[string]*addressConns)}
}

// acquire returns an idle connection that is still usable or opens one. Its errors
// are a dialError.
func (p *Pool) acquire(ctx context.Context, address string) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, &dialError{err}
	}
	for {
		c, err := p.takeIdle(address)
		if err != nil {
			return nil, &dialError{err}
		}
		if c == nil {
			return p.dial(ctx, address)
		}
		if p.Clock.Since(c.idleSince) < c.idleTimeout && c.isReusable() {
			c.ioTimeout, c.readDeadline = p.StallTimeout, time.Time{}
			return c, nil
		}
		p.discard(address, c)
	}
}

// takeIdle returns an idle connection, or nil with the place for a new one.
func (p *Pool) takeIdle(address string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.connsOf(address)
	if last := len(h.idle) - 1; last >= 0 {
		c := h.idle[last]
		h.idle[last] = nil
		h.idle = h.idle[:last]
		return c, nil
	}
	return nil, h.reserve(p.MaxConnections)
}

// reserve takes the place for a new connection.
func (p *Pool) reserve(address string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connsOf(address).reserve(p.MaxConnections)
}

// connsOf returns the connections of an address. The caller holds the lock.
func (p *Pool) connsOf(address string) *addressConns {
	h := p.byAddress[address]
	if h == nil {
		h = new(addressConns)
		p.byAddress[address] = h
	}
	return h
}

func (h *addressConns) reserve(limit int) error {
	if h.open >= limit {
		return errConnectionLimit
	}
	h.open++
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseSlots(address, 1)
		return nil, &dialError{err}
	}
	c := &conn{Conn: netConn, clock: p.Clock, ioTimeout: p.StallTimeout, idleTimeout: defaultIdleTimeout}
	c.reader = newReader(c)
	return c, nil
}

// Answers reports whether the address takes a new connection, which is kept for
// a request.
func (p *Pool) Answers(ctx context.Context, address string) bool {
	if p.reserve(address) != nil {
		// As many connections as allowed are open, so something answers.
		return true
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	p.release(address, c)
	return true
}

// release keeps the connection for another request.
func (p *Pool) release(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = p.Clock.Now()
	h := p.byAddress[address]
	h.idle = append(h.idle, c)
	if p.sweepTimer == nil {
		p.sweepTimer = p.Clock.AfterFunc(defaultIdleTimeout, p.closeExpired)
	}
}

// discard closes the connection.
func (p *Pool) discard(address string, c *conn) {
	_ = c.Close()
	p.releaseSlots(address, 1)
}

// releaseSlots gives back the places of closed connections.
func (p *Pool) releaseSlots(address string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.byAddress[address]
	if h.open -= n; h.open == 0 {
		delete(p.byAddress, address)
	}
}

// closeExpired closes the connections that were idle for too long.
func (p *Pool) closeExpired() {
	cutoff := p.Clock.Now().Add(-defaultIdleTimeout)
	p.closeIdleIf(func(_ string, c *conn) bool { return !c.idleSince.After(cutoff) })
}

// CloseIdle closes the idle connections to the address.
func (p *Pool) CloseIdle(address string) {
	p.closeIdleIf(func(a string, _ *conn) bool { return a == address })
}

// CloseIdleConnections closes all idle connections.
func (p *Pool) CloseIdleConnections() {
	p.closeIdleIf(func(string, *conn) bool { return true })
}

// closeIdleIf closes the idle connections that the function selects, and sets the
// sweeper if any are left.
func (p *Pool) closeIdleIf(selected func(address string, c *conn) bool) {
	for _, c := range p.removeIdleIf(selected) {
		_ = c.Close()
	}
}

func (p *Pool) removeIdleIf(selected func(address string, c *conn) bool) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var removed []*conn
	remaining := 0
	for address, h := range p.byAddress {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if selected(address, c) {
				removed = append(removed, c)
			} else {
				kept = append(kept, c)
			}
		}
		h.open -= len(h.idle) - len(kept)
		clear(h.idle[len(kept):])
		h.idle = kept
		remaining += len(kept)
		if h.open == 0 {
			delete(p.byAddress, address)
		}
	}
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
		p.sweepTimer = nil
	}
	if remaining > 0 {
		p.sweepTimer = p.Clock.AfterFunc(defaultIdleTimeout, p.closeExpired)
	}
	return removed
}
