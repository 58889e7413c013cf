package stream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cuminbay/internal/kernel/clock"
)

// defaultIdleTimeout is the idle time after which a connection is not reused. It
// is shorter than the 5 s of common engine servers, since the outcome of a
// request on a connection that the server is closing is unknown.
const defaultIdleTimeout = 4 * time.Second

// PoolOptions are the dependencies and settings of a Pool.
type PoolOptions struct {
	Clock clock.Clock
	// MaxConnections is the highest number of connections to one address.
	MaxConnections int
	// MaxIdle is the highest number of idle connections to all addresses. A connection above it is
	// closed after its request. Zero means no limit.
	MaxIdle int
	// DialTimeout is the longest time to open a connection.
	DialTimeout time.Duration
	// StallTimeout is the time without progress of a read or write after which a
	// connection counts as stalled.
	StallTimeout time.Duration
	// TokenStallTimeout replaces StallTimeout after the first token of an
	// answer; zero means StallTimeout.
	TokenStallTimeout time.Duration
	// KeepAlive configures the TCP keep-alive probes, which detect broken idle
	// connections. The zero value selects Go's defaults.
	KeepAlive net.KeepAliveConfig
	// MaxBody is the maximum size in bytes of an answer's body that Do reads;
	// zero means no limit.
	MaxBody int
}

// Pool sends HTTP requests and keeps the idle connections to each address. It
// is safe for concurrent use.
//
// A mutex guards the lists of connections. It is held for a map access and an
// append, never during I/O. A lock-free stack for each address would need one
// more allocation for each request.
type Pool struct {
	PoolOptions
	dialer net.Dialer

	mu        sync.Mutex
	byAddress map[string]*addressConns
	// idleCount is the number of idle connections to all addresses.
	idleCount int
	// sweepTimer closes idle connections. It is set while there are idle
	// connections.
	sweepTimer clockwork.Timer
}

// addressConns holds the connections to one address. The most recently used
// connection is reused first, so that surplus connections become old and are
// closed.
type addressConns struct {
	idle []*conn
	// openCount is the number of connections that are idle, in use or being
	// opened.
	openCount int
}

// NewPool returns a pool without connections.
func NewPool(o PoolOptions) *Pool {
	if o.TokenStallTimeout == 0 {
		o.TokenStallTimeout = o.StallTimeout
	}
	return &Pool{PoolOptions: o, dialer: net.Dialer{Timeout: o.DialTimeout, KeepAliveConfig: o.KeepAlive}, byAddress: make(map[string]*addressConns)}
}

// acquireConn returns a reusable idle connection or opens a connection. Its
// errors are of type dialError.
func (p *Pool) acquireConn(ctx context.Context, address string) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, &dialError{err}
	}
	for {
		c, err := p.takeIdle(address)
		if err != nil {
			return nil, &dialError{err}
		}
		if c == nil {
			return p.dialConn(ctx, address)
		}
		if p.Clock.Since(c.idleSince) < c.idleTimeout && c.isReusable() {
			c.ioTimeout, c.readDeadline = p.StallTimeout, time.Time{}
			c.wasIdle, c.hasReceived = true, false
			return c, nil
		}
		p.discardConn(address, c)
	}
}

// takeIdle returns an idle connection. If there is none, it reserves a slot for
// a new connection and returns nil.
func (p *Pool) takeIdle(address string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.connsOf(address)
	if last := len(conns.idle) - 1; last >= 0 {
		c := conns.idle[last]
		conns.idle[last] = nil
		conns.idle = conns.idle[:last]
		p.idleCount--
		return c, nil
	}
	return nil, conns.reserveSlot(p.MaxConnections)
}

// reserveSlot reserves a slot for a new connection. At the limit of connections it closes the one that
// has been idle for longest. If none is idle, it returns errConnectionLimit.
func (p *Pool) reserveSlot(address string) error {
	replaced, err := p.takeSlot(address)
	if replaced != nil {
		_ = replaced.Close()
	}
	return err
}

// takeSlot reserves a slot. At the limit it takes the slot of an idle connection, which it returns to
// be closed.
func (p *Pool) takeSlot(address string) (replaced *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.connsOf(address)
	err = conns.reserveSlot(p.MaxConnections)
	if err == nil || len(conns.idle) == 0 {
		return nil, err
	}
	replaced = conns.idle[0]
	conns.idle = slices.Delete(conns.idle, 0, 1)
	p.idleCount--
	return replaced, nil
}

// connsOf returns the connections to the address. The caller must hold the
// lock.
func (p *Pool) connsOf(address string) *addressConns {
	conns := p.byAddress[address]
	if conns == nil {
		conns = new(addressConns)
		p.byAddress[address] = conns
	}
	return conns
}

func (a *addressConns) reserveSlot(limit int) error {
	if a.openCount >= limit {
		return errConnectionLimit
	}
	a.openCount++
	return nil
}

func (p *Pool) dialConn(ctx context.Context, address string) (*conn, error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseSlots(address, 1)
		return nil, &dialError{err}
	}
	c := &conn{Conn: netConn, clock: p.Clock, ioTimeout: p.StallTimeout, idleTimeout: defaultIdleTimeout}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// exchangeError returns the error with which an exchange on the connection failed.
func (p *Pool) exchangeError(ctx context.Context, address string, c *conn, err error) error {
	err = c.withDeadlineError(err)
	if cause := ctx.Err(); cause != nil {
		return errors.Join(cause, err)
	}
	if c.closedWhileIdle(err) {
		// The other connections have been idle for longer, so they are probably
		// closed too.
		p.CloseIdle(address)
		return errors.Join(errClosedWhileIdle, err)
	}
	return err
}

// AcceptsConnection reports whether the address accepts a new connection. The
// pool keeps that connection for a request.
func (p *Pool) AcceptsConnection(ctx context.Context, address string) bool {
	if p.reserveSlot(address) != nil {
		// The maximum number of connections is in use, so the address accepts
		// connections.
		return true
	}
	c, err := p.dialConn(ctx, address)
	if err != nil {
		return false
	}
	p.releaseConn(address, c)
	return true
}

// releaseConn keeps the connection for another request.
func (p *Pool) releaseConn(address string, c *conn) {
	if !p.keepConn(address, c) {
		p.discardConn(address, c)
	}
}

// keepConn adds the connection to the idle ones, unless there are too many.
func (p *Pool) keepConn(address string, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxIdle > 0 && p.idleCount >= p.MaxIdle {
		return false
	}
	p.idleCount++
	c.idleSince = p.Clock.Now()
	conns := p.byAddress[address]
	conns.idle = append(conns.idle, c)
	if p.sweepTimer == nil {
		p.sweepTimer = p.Clock.AfterFunc(defaultIdleTimeout, p.closeExpired)
	}
	return true
}

// discardConn closes the connection and releases its slot.
func (p *Pool) discardConn(address string, c *conn) {
	_ = c.Close()
	p.releaseSlots(address, 1)
}

// releaseSlots releases the slots of n closed connections.
func (p *Pool) releaseSlots(address string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byAddress[address]
	if conns.openCount -= n; conns.openCount == 0 {
		delete(p.byAddress, address)
	}
}

// closeExpired closes the connections that have been idle for
// defaultIdleTimeout.
func (p *Pool) closeExpired() {
	cutoff := p.Clock.Now().Add(-defaultIdleTimeout)
	p.closeIdleIf(func(_ string, c *conn) bool { return !c.idleSince.After(cutoff) })
}

// CloseIdle closes the idle connections to the address.
func (p *Pool) CloseIdle(address string) {
	p.closeIdleIf(func(a string, _ *conn) bool { return a == address })
}

// CloseIdleConnections closes the idle connections to all addresses.
func (p *Pool) CloseIdleConnections() {
	p.closeIdleIf(func(string, *conn) bool { return true })
}

// closeIdleIf closes the idle connections for which the function returns true.
// It stops the sweep timer, and starts the timer again if idle connections remain.
func (p *Pool) closeIdleIf(selected func(address string, c *conn) bool) {
	for _, c := range p.removeIdleIf(selected) {
		_ = c.Close()
	}
}

func (p *Pool) removeIdleIf(selected func(address string, c *conn) bool) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var removed []*conn
	p.idleCount = 0
	for address, conns := range p.byAddress {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if selected(address, c) {
				removed = append(removed, c)
			} else {
				kept = append(kept, c)
			}
		}
		conns.openCount -= len(conns.idle) - len(kept)
		clear(conns.idle[len(kept):])
		conns.idle = kept
		p.idleCount += len(kept)
		if conns.openCount == 0 {
			delete(p.byAddress, address)
		}
	}
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
		p.sweepTimer = nil
	}
	if p.idleCount > 0 {
		p.sweepTimer = p.Clock.AfterFunc(defaultIdleTimeout, p.closeExpired)
	}
	return removed
}
