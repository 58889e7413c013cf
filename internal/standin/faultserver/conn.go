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
	server *Server
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}

	mu sync.Mutex
	// peeking is open while a goroutine reads one byte ahead.
	peeking chan struct{}
	ahead   [1]byte
	have    bool
	err     error
}

// Closed returns a channel that closes when either side closes the connection.
// It reads one byte ahead, as TCP tells of a close only to a reader.
func (c *Conn) Closed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peeking == nil && !c.have && c.err == nil {
		c.peeking = make(chan struct{})
		go c.peek(c.peeking)
	}
	return c.closed
}

func (c *Conn) peek(done chan struct{}) {
	var buffer [1]byte
	n, err := c.Conn.Read(buffer[:])
	c.mu.Lock()
	c.ahead, c.have = buffer, n == 1
	if err != nil {
		c.err = err
	}
	c.peeking = nil
	c.mu.Unlock()
	if err != nil {
		c.once.Do(func() { close(c.closed) })
	}
	close(done)
}

// Read returns the byte read ahead, if any, before further ones.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	peeking := c.peeking
	c.mu.Unlock()
	if peeking != nil {
		<-peeking
	}
	c.mu.Lock()
	if c.have && len(p) > 0 {
		p[0], c.have = c.ahead[0], false
		c.mu.Unlock()
		return 1, nil
	}
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.server.forget(c)
	return c.Conn.Close()
}

// Silent reports whether nothing more may be sent on the connection.
func (c *Conn) Silent() bool {
	return c.silent.Load()
}

// Gate stops work while it is shut. The zero value is open.
type Gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

// Set shuts or opens the gate.
func (g *Gate) Set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.shut == nil:
		g.shut = make(chan struct{})
	case !shut && g.shut != nil:
		close(g.shut)
		g.shut = nil
	}
}

// Wait blocks while the gate is shut and reports whether it opened before
// the connection was closed. A silent connection waits until it is closed.
func (g *Gate) Wait(c *Conn) bool {
	if c.Silent() {
		<-c.Closed()
		return false
	}
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut == nil {
		return true
	}
	select {
	case <-shut:
		return true
	case <-c.Closed():
		return false
	}
}
