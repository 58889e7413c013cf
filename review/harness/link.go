package main

import (
	"io"
	"net"
	"sync"
)

// link forwards TCP connections to a target on loopback.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*linkConn]bool
}

// linkConn is a connection through a link.
type linkConn struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &link{listener: l, target: target, conns: make(map[*linkConn]bool)}
	go created.accept()
	return created, nil
}

func (l *link) address() string {
	return l.listener.Addr().String()
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &linkConn{near: near, far: far}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		go l.forward(c, near, far)
		go l.forward(c, far, near)
	}
}

// forward copies bytes in one direction. A silent connection swallows them, and the end too.
func (l *link) forward(c *linkConn, from, to net.Conn) {
	const size = 32 << 10
	buffer := make([]byte, size)
	for {
		n, err := from.Read(buffer)
		if c.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = io.EOF
			}
		}
		if err != nil {
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
			_ = c.near.Close()
			_ = c.far.Close()
			return
		}
	}
}

func (c *linkConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// silence makes the connections that are open now go silent for good. New ones work.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(l.conns)
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.near.Close()
		_ = c.far.Close()
	}
}
