// Package misbehaving opens many connections of misbehaving clients to a daemon, and measures the
// daemon's process meanwhile.
package misbehaving

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"cuminbay/internal/kernel/clock"
)

// Target is a listener and a path to which clients send their requests.
type Target struct {
	Address string
	Method  string
	Path    string
	// Fields are the header fields of an ordinary request, each with its line end.
	Fields string
	// Body is the body of a request that the listener answers.
	Body []byte
}

// Behaviour is what each connection of misbehaving clients does until it is closed.
type Behaviour struct {
	// Connections is the number of connections.
	Connections int
	// send sends requests on the connection. It returns if the connection fails.
	send func(c *conn)
}

// conn is a connection of a misbehaving client.
type conn struct {
	net.Conn
	target Target
	clock  clock.Clock
	closed <-chan struct{}
}

// head returns the start of a request without the empty line that ends it.
func (c *conn) head() string {
	return c.target.Method + " " + c.target.Path + " HTTP/1.1\r\nHost: h\r\n" + c.target.Fields
}

// write sends the bytes in pieces of the given size, and reports whether all were sent.
func (c *conn) write(raw []byte, piece int) bool {
	for len(raw) > 0 {
		n := min(piece, len(raw))
		if _, err := c.Write(raw[:n]); err != nil {
			return false
		}
		raw = raw[n:]
	}
	return true
}

// wait waits for the time, and reports whether the connection is still wanted.
func (c *conn) wait(d time.Duration) bool {
	select {
	case <-c.closed:
		return false
	case <-c.clock.After(d):
		return true
	}
}

// filler has the bytes of all bodies.
var filler = []byte(strings.Repeat("a", 64<<10))

// sendBody sends a number of bytes of a body.
func (c *conn) sendBody(bytes, piece int) bool {
	for bytes > 0 {
		n := min(bytes, len(filler))
		if !c.write(filler[:n], piece) {
			return false
		}
		bytes -= n
	}
	return true
}

// sendChunks sends a number of bytes of a body in chunks.
func (c *conn) sendChunks(bytes, chunk int) bool {
	for bytes > 0 {
		n := min(bytes, chunk)
		if !c.write([]byte(fmt.Sprintf("%x\r\n%s\r\n", n, filler[:n])), chunk+16) {
			return false
		}
		bytes -= n
	}
	return true
}

const slowInterval = 50 * time.Millisecond

// Behaviours returns the behaviours for a listener that accepts bodies of the given size. Their
// connections together send several times the memory, or are more than the descriptors, that the
// tests give a daemon.
func Behaviours(body, connections, manyConnections int) map[string]Behaviour {
	lengthOf := func(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" }
	const overLimit, chunk, fields, pipelined = 64, 8 << 10, 3000, 400
	return map[string]Behaviour{
		"last byte missing, one piece": {connections, func(c *conn) {
			_ = c.write([]byte(c.head()+lengthOf(body)), body) && c.sendBody(body-1, body)
		}},
		"last byte missing, small pieces": {connections, func(c *conn) {
			_ = c.write([]byte(c.head()+lengthOf(body)), body) && c.sendBody(body-1, 1000)
		}},
		"last chunk missing": {connections, func(c *conn) {
			_ = c.write([]byte(c.head()+"Transfer-Encoding: chunked\r\n\r\n"), body) && c.sendChunks(body-1, chunk)
		}},
		"body far over the limit": {connections, func(c *conn) {
			_ = c.write([]byte(c.head()+lengthOf(overLimit*body)), body) && c.sendBody(4*body, body)
		}},
		"chunks far over the limit": {connections, func(c *conn) {
			_ = c.write([]byte(c.head()+"Transfer-Encoding: chunked\r\n\r\n"), body) && c.sendChunks(4*body, chunk)
		}},
		"many short fields": {manyConnections, func(c *conn) {
			_ = c.write([]byte(c.head()+strings.Repeat("a:\r\n", fields)+lengthOf(2)+"a"), body)
		}},
		"pipelined, answers not read": {connections, func(c *conn) {
			for range pipelined {
				if !c.write([]byte(c.head()+lengthOf(chunk)), body) || !c.sendBody(chunk, chunk) {
					return
				}
			}
		}},
		"slow senders": {manyConnections, func(c *conn) {
			for _, b := range []byte(c.head()) {
				if !c.write([]byte{b}, 1) || !c.wait(slowInterval) {
					return
				}
			}
		}},
		"slow readers": {manyConnections, func(c *conn) {
			_ = c.write([]byte(c.head()+lengthOf(chunk)), body) && c.sendBody(chunk, chunk)
			for c.wait(slowInterval) {
				if _, err := c.Read(make([]byte, 1)); err != nil {
					return
				}
			}
		}},
	}
}

// Clients is a set of open connections of misbehaving clients.
type Clients struct {
	conns  []net.Conn
	closed chan struct{}
	done   sync.WaitGroup
}

// writeTimeout bounds a write to a daemon that doesn't read.
const writeTimeout = 10 * time.Second

// Open opens the connections, each of which then behaves as given.
func Open(clk clock.Clock, target Target, b Behaviour) *Clients {
	cs := &Clients{closed: make(chan struct{})}
	for range b.Connections {
		netConn, err := net.DialTimeout("tcp", target.Address, time.Second)
		if err != nil {
			continue
		}
		_ = netConn.SetDeadline(clk.Now().Add(writeTimeout))
		cs.conns = append(cs.conns, netConn)
		cs.done.Go(func() { b.send(&conn{Conn: netConn, target: target, clock: clk, closed: cs.closed}) })
	}
	return cs
}

// Close closes the connections and waits until they have ended.
func (cs *Clients) Close() {
	close(cs.closed)
	for _, c := range cs.conns {
		_ = c.Close()
	}
	cs.done.Wait()
}
