package budget

import (
	"bytes"
	"io"
	"net"
	"time"

	"cuminbay/internal/domain/unit"
)

// refusal is the answer to a connection that is refused. Nothing of it has been read, so no request
// has run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseConn closes a new connection for which there is no room. Callers get an answer; other daemons
// don't, as their HTTP client logs an answer that comes before the request.
func (b *Budget) refuseConn(k Kind, c net.Conn) {
	b.refusedAt[k].Store(b.instant())
	b.Refused("connections", c.RemoteAddr().String())
	if k != Daemons {
		// The socket's buffer is empty, so the write doesn't wait.
		_ = c.SetWriteDeadline(b.Clock.Now().Add(time.Second))
		_, _ = io.WriteString(c, refusal)
	}
	_ = c.Close()
}

// ResetConn closes a connection at once. Bytes that the caller has not read are discarded, since they
// would occupy memory of the kernel.
func ResetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// OpenConn opens the account of a new connection. If there is no room, it refuses the connection and
// returns nil.
func (b *Budget) OpenConn(k Kind, c net.Conn) *Account {
	account := b.Open(k, c.RemoteAddr(), func() { ResetConn(c) })
	if account == nil {
		b.refuseConn(k, c)
	}
	return account
}

// Accept returns the next connection of the listener for which there is room, and its account.
func (b *Budget) Accept(l net.Listener, k Kind) (net.Conn, *Account, error) {
	for {
		c, err := l.Accept()
		if err != nil {
			return nil, nil, err
		}
		if account := b.OpenConn(k, c); account != nil {
			return c, account, nil
		}
	}
}

// Listener accepts connections with accounts, for HTTP servers that don't know the budget.
type Listener struct {
	net.Listener
	budget *Budget
	kind   Kind
}

// Listen returns a listener whose connections are of type *Conn.
func (b *Budget) Listen(l net.Listener, k Kind) *Listener {
	return &Listener{Listener: l, budget: b, kind: k}
}

// Accept returns the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	netConn, account, err := l.budget.Accept(l.Listener, l.kind)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: netConn, account: account}, nil
}

// Conn is a connection whose requests an HTTP server reads and answers one after the other.
type Conn struct {
	net.Conn
	account *Account
	// reserved is the number of bytes that are reserved for the current request, and head says that
	// its head is being read.
	reserved unit.Bytes
	head     bool
}

// fieldBytes is the memory of a short header field after parsing, for each line of a head.
const fieldBytes = 128

// Read reads bytes of requests. The fields of a head are reserved as its lines arrive.
func (c *Conn) Read(p []byte) (int, error) {
	if c.account.phase.Load() == int32(phaseRunning) {
		c.finish()
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.account.Begin() {
		c.head = true
	}
	c.account.Received(n)
	if c.head {
		if err := c.Reserve(unit.Bytes(fieldBytes * bytes.Count(p[:n], []byte("\n")))); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write writes to a caller, who may not read.
func (c *Conn) Write(p []byte) (int, error) {
	return c.account.WriteTo(c.Conn, p, c.account.budget.WriteTimeout)
}

// Close closes the connection and returns what it has reserved.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	return err
}

func (c *Conn) finish() {
	c.account.Release(c.reserved)
	c.reserved = 0
	c.account.Finish()
}

// Reserve reserves bytes of the current request until the next one. The error is ErrNoRoom.
func (c *Conn) Reserve(n unit.Bytes) error {
	if err := c.account.Reserve(n); err != nil {
		return err
	}
	c.reserved += n
	return nil
}

// ReserveAnswer reserves bytes of the answer to the current request until the next one. It doesn't fail,
// since the request has run.
func (c *Conn) ReserveAnswer(n unit.Bytes) {
	c.account.ReserveAnswer(n)
	c.reserved += n
}

// Release returns some of the bytes of the current request.
func (c *Conn) Release(n unit.Bytes) {
	c.account.Release(n)
	c.reserved -= n
}

// Run says that the request has been read and runs from now on. The error is ErrNoRoom if the
// connection was ended before.
func (c *Conn) Run() error {
	if c.account.Run() || c.account.phase.Load() == int32(phaseRunning) {
		return nil
	}
	return ErrNoRoom
}

// MustClose is the method of the connection's account.
func (c *Conn) MustClose() bool {
	return c.account.MustClose()
}

// BodyStarts says that the head has been read and that a body follows.
func (c *Conn) BodyStarts() {
	c.head = false
}
