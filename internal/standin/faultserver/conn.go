// Package faultserver is the HTTP server of the simulated platform, engines and
// services. Its connections can be closed or stalled to simulate faults. The
// package also has the helpers for JSON requests and responses.
package faultserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// Conn is a server connection that detects, while a request runs, that the client
// has closed the connection.
type Conn struct {
	net.Conn
	server *Server
	// stalled is set when a fault stalls the connection, see Stalled.
	stalled atomic.Bool
	// headStart has the bytes with which the next response begins, see ReplaceStatusLine.
	headStart atomic.Pointer[string]
	closeOnce sync.Once
	closed    chan struct{}

	mu sync.Mutex
	// peekDone is closed when the goroutine that reads one byte ahead ends, and
	// nil if no such goroutine runs.
	peekDone   chan struct{}
	peekedByte [1]byte
	hasPeeked  bool
	readErr    error
}

// Closed returns a channel that is closed when either side closes the connection.
// Closed starts a read of one byte ahead, as TCP reports a close only to a reader.
func (c *Conn) Closed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peekDone == nil && !c.hasPeeked && c.readErr == nil {
		c.peekDone = make(chan struct{})
		go c.peek(c.peekDone)
	}
	return c.closed
}

// peek reads one byte for the next Read, and then closes done.
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

// Read reads from the connection, starting with the byte that peek read, if any.
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

// Close closes the connection and removes it from its server.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.server.removeConn(c)
	return c.Conn.Close()
}

// Stalled reports whether a fault stalls the connection: the server must send
// nothing more and keep the connection open.
func (c *Conn) Stalled() bool {
	return c.stalled.Load()
}

// Gate blocks request handlers while it is closed. The zero value is open.
type Gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens, and nil while the gate is open.
	opened chan struct{}
}

// SetClosed closes or opens the gate.
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

// Wait blocks while the gate is closed and reports whether the gate opened before
// the connection was closed. On a stalled connection Wait blocks until the
// connection is closed, and returns false.
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
