package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"cuminbay/internal/kernel/budget"
)

// initialBufferBytes is the size of a connection's first read buffer, which
// holds the head of a usual request. A longer head gets a buffer of the
// configured limit.
const initialBufferBytes = 4096

// The phases of a connection. An idle connection may be closed at any time and
// then reads no further request; a busy connection is not closed before its
// answer is complete.
const (
	phaseIdle int32 = iota
	phaseBusy
	phaseClosed
)

// conn is a caller's connection. One goroutine reads requests. Each request is
// answered in a goroutine of its own, while the reader waits for the next
// request or for the caller to close the connection.
type conn struct {
	server  *Server
	netConn net.Conn
	account *budget.Account
	reader  *bufio.Reader
	phase   atomic.Int32

	// ctx is the parent of the requests' contexts, and stop ends it.
	ctx  context.Context
	stop context.CancelCauseFunc
	// hasAnswer says that the answer to the current request has begun.
	hasAnswer atomic.Bool
	// cancel cancels the current request. The channel answered is closed when
	// the current request has been answered.
	cancel   context.CancelFunc
	answered chan struct{}
	ahead    aheadRead
	// isLastRequest says that no request follows the current request.
	isLastRequest atomic.Bool
}

func newConn(s *Server, netConn net.Conn, account *budget.Account) *conn {
	c := &conn{server: s, netConn: netConn, account: account}
	c.reader = bufio.NewReaderSize(c, initialBufferBytes)
	c.ctx, c.stop = context.WithCancelCause(context.Background())
	return c
}

// Read reads bytes of requests from the connection, and records the caller's progress.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.netConn.Read(p)
	c.account.Received(n)
	return n, err
}

// closeIdle closes the connection if it is idle.
func (c *conn) closeIdle() {
	if c.phase.CompareAndSwap(phaseIdle, phaseClosed) {
		_ = c.netConn.Close()
	}
}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.account.Close()
	defer c.stop(nil)
	defer c.netConn.Close() //nolint:errcheck // nothing is left to be sent
	c.setIdleDeadline()
	for {
		if err := c.awaitRequest(); err != nil {
			c.cancelRequest()
			return
		}
		if c.isLastRequest.Load() || !c.phase.CompareAndSwap(phaseIdle, phaseBusy) {
			c.discardInput()
			return
		}
		if !c.startRequest() {
			c.discardInput()
			return
		}
	}
}

// cancelRequest cancels the current request after the caller has closed the
// connection.
func (c *conn) cancelRequest() {
	if c.answered == nil {
		return
	}
	c.cancel()
	<-c.answered
}

// lingerTimeout bounds the time for which a connection is read after its last
// answer. If the server closed the connection with unread bytes, it would send
// a reset, and the caller could lose the answer.
const lingerTimeout = time.Second

func (c *conn) discardInput() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.netConn.SetReadDeadline(c.server.Clock.Now().Add(lingerTimeout))
	const limit = 1 << 20
	_, _ = io.CopyN(io.Discard, c.reader, limit)
}

// setIdleDeadline sets the deadline for the start of the next request.
func (c *conn) setIdleDeadline() {
	_ = c.netConn.SetReadDeadline(c.server.Clock.Now().Add(c.server.Limits().IdleTimeout))
}

// startRequest reads a request and starts to answer it. It reports whether the
// connection can be used further.
func (c *conn) startRequest() bool {
	limits := c.server.Limits()
	if !c.account.Begin() {
		return false
	}
	_ = c.netConn.SetReadDeadline(c.server.Clock.Now().Add(limits.HeaderTimeout))
	w := &ResponseWriter{conn: c}
	r := &requestReader{conn: c, limits: limits}
	status, err := r.read()
	if err == nil && !c.account.Run() {
		err = net.ErrClosed
	}
	if err != nil {
		r.release()
		c.account.Finish()
		if status != 0 {
			w.closeRequested = true
			c.server.Handler.Reject(status, err, w)
		}
		return false
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	header := &r.request.Header
	w.isHead = header.IsHead()
	w.isHTTP10 = !header.IsHTTP11()
	w.closeRequested = header.ConnectionClose()
	w.reader = r
	request := &Request{Header: header, Body: r.body, Received: c.server.Clock.Now()}
	c.hasAnswer.Store(false)
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancel, c.answered = cancel, make(chan struct{})
	c.ahead.begin()
	c.server.activeRequests.Add(1)
	go c.serveRequest(ctx, request, w)
	return true
}

func (c *conn) serveRequest(ctx context.Context, r *Request, w *ResponseWriter) {
	defer close(c.answered)
	defer c.ahead.finish(c.netConn)
	defer c.cancel()
	c.handleRequest(ctx, r, w)
	c.server.activeRequests.Add(-1)
	if !w.ended {
		w.Abort()
	}
	w.release()
	if w.isLastAnswer {
		c.isLastRequest.Store(true)
		c.closeAfterAnswer(w)
		return
	}
	c.phase.Store(phaseIdle)
	c.setIdleDeadline()
	if c.server.draining.Load() {
		// The drain began after the head of this answer was written, so the
		// head did not announce the end of the connection.
		c.server.closeIfListenerClosed(c)
	}
}

// handleRequest calls the handler. A panic ends the request, not the process; an answer
// that was not ended is then aborted.
func (c *conn) handleRequest(ctx context.Context, r *Request, w *ResponseWriter) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.OnPanic(cause, debug.Stack())
		}
	}()
	c.server.Handler.Serve(ctx, r, w)
}

// closeAfterAnswer ends the connection after its last answer.
func (c *conn) closeAfterAnswer(w *ResponseWriter) {
	if w.aborted {
		_ = c.netConn.Close()
		return
	}
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.netConn.SetReadDeadline(c.server.Clock.Now().Add(lingerTimeout))
}

// closeIfListenerClosed closes an idle connection whose last answer did not
// announce the drain, if the listener has been closed.
func (s *Server) closeIfListenerClosed(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listenerClosed {
		c.closeIdle()
	}
}
