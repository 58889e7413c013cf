package twirp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
)

// maxHeader is the maximum size of a request's head in bytes. Heads of daemons have about 200 bytes.
const maxHeader = 16 << 10

// Bound makes the server take the connections and the memory of other daemons' requests from the
// budget, since any client that reaches the port can open connections. It returns the listener to
// serve. Requests have bodies of at most maxMessage bytes.
func Bound(s *http.Server, l net.Listener, b *budget.Budget, clk clock.Clock, maxMessage unit.Bytes) net.Listener {
	s.MaxHeaderBytes = maxHeader
	s.Handler = &boundedHandler{next: s.Handler, maxMessage: maxMessage}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return &boundedListener{l, budget.OrUnlimited(b, clk).ForDaemons()}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// boundedListener accepts connections with accounts.
type boundedListener struct {
	net.Listener
	budget *budget.Budget
}

// Accept returns the next connection for which there is room.
func (l *boundedListener) Accept() (net.Conn, error) {
	netConn, account, err := l.budget.Accept(l.Listener, budget.Daemons)
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: netConn, account: account}, nil
}

// boundedConn is a connection whose requests are answered one after the other. The HTTP server also
// reads from it while a request runs, to detect its end, so the fields are atomics.
type boundedConn struct {
	net.Conn
	account *budget.Account
	// reserved is the number of bytes that are reserved for the current request.
	reserved atomic.Int64
	// active says that a request is read or runs, and head that its head is read.
	active, head atomic.Bool
}

// The memory that the HTTP server and twirp take for a request and its answer, beyond what is read:
// the copies and the fields of a head, the copies of a body while it is decoded, and the message from
// which an answer is encoded.
const (
	headCopies   = 3
	lineBytes    = 160
	bodyCopies   = 3
	answerCopies = 2
)

// Read reads bytes of requests. Those of a head are reserved as they arrive.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.begin()
	c.account.Received(n)
	if c.head.Load() {
		if err := c.Reserve(unit.Bytes(headCopies*n + lineBytes*bytes.Count(p[:n], []byte("\n")))); err != nil {
			budget.ResetConn(c.Conn)
			return 0, err
		}
	}
	return n, err
}

// Write writes to a daemon, which may not read. The HTTP server has set the deadline.
func (c *boundedConn) Write(p []byte) (int, error) {
	const noLimit = 0
	return c.account.WriteTo(c.Conn, p, noLimit)
}

// Close closes the connection and returns what it has reserved.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// begin says that a request is read, if none is already.
func (c *boundedConn) begin() {
	if !c.active.Load() && c.account.Begin() {
		c.active.Store(true)
		c.head.Store(true)
	}
}

// finish returns what is reserved for the current request.
func (c *boundedConn) finish() {
	c.account.Release(unit.Bytes(c.reserved.Swap(0)))
	c.account.Finish()
	c.active.Store(false)
}

// Reserve reserves bytes of the current request until its end. The error is budget.ErrNoRoom.
func (c *boundedConn) Reserve(n unit.Bytes) error {
	err := c.account.Reserve(n)
	if err == nil {
		c.reserved.Add(int64(n))
	}
	return err
}

// Release returns some of the bytes of the current request.
func (c *boundedConn) Release(n unit.Bytes) {
	c.account.Release(n)
	c.reserved.Add(-int64(n))
}

// boundedHandler reads the body of each request before the request runs.
type boundedHandler struct {
	next       http.Handler
	maxMessage unit.Bytes
}

// ServeHTTP answers a request. A request without room is refused before it runs.
func (h *boundedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*boundedConn)
	// The server may have read this request with the one before.
	c.begin()
	c.head.Store(false)
	defer c.finish()
	body, err := h.readBody(c, r)
	if err == nil && !c.account.Run() {
		err = budget.ErrNoRoom
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(statusOf(err))
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if c.account.MustClose() {
		w.Header().Set("Connection", "close")
	}
	h.next.ServeHTTP(&answerWriter{w, c}, r)
}

// readBody reads the body and reserves what decoding it takes.
func (h *boundedHandler) readBody(c *boundedConn, r *http.Request) ([]byte, error) {
	if r.ContentLength > int64(h.maxMessage) {
		return nil, budget.ErrTooLarge
	}
	body, err := budget.ReadBody(c, r.Body, int(r.ContentLength), int(h.maxMessage))
	if err != nil {
		return nil, err
	}
	return body, c.Reserve(unit.Bytes(bodyCopies * len(body)))
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, budget.ErrNoRoom):
		return http.StatusServiceUnavailable
	case errors.Is(err, budget.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// answerWriter reserves the memory of answers, which a client may not read.
type answerWriter struct {
	http.ResponseWriter
	conn *boundedConn
}

// Write writes a part of the answer.
func (w *answerWriter) Write(p []byte) (int, error) {
	n := unit.Bytes(answerCopies * len(p))
	w.conn.account.ReserveAnswer(n)
	w.conn.reserved.Add(int64(n))
	return w.ResponseWriter.Write(p)
}
