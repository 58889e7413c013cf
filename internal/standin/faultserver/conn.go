// Package faultserver holds what the stand-ins share: a server whose connections can
// be cut or silenced, and the JSON helpers of their control calls.
package faultserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// Conn is a connection that can tell, while a request runs, that the caller
// has closed it.
type Conn struct {
	net.Conn
	server    *Server
	stalled   atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}

	mu sync.Mutex
	// peekDone is open while a goroutine reads one byte ahead.
	peekDone   chan struct{}
	peekedByte [1]byte
	hasPeeked  bool
	readErr    error
}

// Closed returns a channel that closes when either side closes the connection.
// It reads one byte ahead, as TCP tells of a close only to a reader.
func (c *Conn) Closed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peekDone == nil && !c.hasPeeked && c.readErr == nil {
		c.peekDone = make(chan struct{})
		go c.peek(c.peekDone)
	}
	return c.closed
}

func (c *Conn) peek(done chan struct{}) {
	var buffer [1]byte
	n, err := c.Conn.Read(buffer[:])
	c.mu.Lock()
	c.peekedByte, c.hasPeeked = buffer, n == 1
	if err != nil {
		c.readErr = err
	}
	c.peekDone = nil
	c.mu.Unlock()
	if err != nil {
		c.closeOnce.Do(func() { close(c.closed) })
	}
	close(done)
}

// Read returns the byte read ahead, if any, before further ones.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	peekDone := c.peekDone
	c.mu.Unlock()
	if peekDone != nil {
		<-peekDone
	}
	c.mu.Lock()
	if c.hasPeeked && len(p) > 0 {
		p[0], c.hasPeeked = c.peekedByte[0], false
		c.mu.Unlock()
		return 1, nil
	}
	err := c.readErr
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.server.removeConn(c)
	return c.Conn.Close()
}

// Stalled reports whether nothing more may be sent on the connection.
func (c *Conn) Stalled() bool {
	return c.stalled.Load()
}

// Gate stops work while it is shut. The zero value is open.
type Gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

// SetClosed shuts or opens the gate.
func (g *Gate) SetClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.opened == nil:
		g.opened = make(chan struct{})
	case !closed && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// Wait blocks while the gate is shut and reports whether it opened before
// the connection was closed. A silent connection waits until it is closed.
func (g *Gate) Wait(c *Conn) bool {
	if c.Stalled() {
		<-c.Closed()
		return false
	}
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return true
	}
	select {
	case <-opened:
		return true
	case <-c.Closed():
		return false
	}
}
