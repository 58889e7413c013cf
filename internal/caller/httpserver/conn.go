package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// firstBuffer holds the head of a usual request; a longer one gets a buffer of
// the configured limit.
const firstBuffer = 4096

// Phases of a connection. A connection that is closed while idle takes no
// request any more, and one with a request is not closed.
const (
	phaseIdle int32 = iota
	phaseBusy
	phaseClosed
)

// conn is a caller's connection. One goroutine reads requests; each is answered
// in a goroutine of its own, while the reader waits for the next request or the
// caller's end.
type conn struct {
	server *Server
	nc     net.Conn
	reader *bufio.Reader
	phase  atomic.Int32

	// cancel ends the request at work, and done is closed when it is answered.
	cancel context.CancelFunc
	done   chan struct{}
	// last says that no request follows the one at work.
	last atomic.Bool
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{server: s, nc: nc, reader: bufio.NewReaderSize(nc, firstBuffer)}
}

// closeIdle closes the connection if no request has begun on it.
func (c *conn) closeIdle() {
	if c.phase.CompareAndSwap(phaseIdle, phaseClosed) {
		_ = c.nc.Close()
	}
}

func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.nc.Close() //nolint:errcheck // nothing is left to be sent
	c.waitIdle()
	for {
		_, err := c.reader.Peek(1)
		if err != nil {
			c.abandon()
			return
		}
		if c.done != nil {
			<-c.done
		}
		if c.last.Load() || !c.phase.CompareAndSwap(phaseIdle, phaseBusy) {
			c.linger()
			return
		}
		if !c.begin() {
			c.linger()
			return
		}
	}
}

// abandon cancels the request at work, since its caller has left.
func (c *conn) abandon() {
	if c.done == nil {
		return
	}
	c.cancel()
	<-c.done
}

// lingerTime bounds the wait for a caller that still sends after the last
// answer. Closing with unread bytes would reset the connection and could destroy
// the answer.
const lingerTime = time.Second

func (c *conn) linger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(c.server.Clock.Now().Add(lingerTime))
	const limit = 1 << 20
	_, _ = io.CopyN(io.Discard, c.reader, limit)
}

// waitIdle bounds the wait for the next request.
func (c *conn) waitIdle() {
	_ = c.nc.SetReadDeadline(c.server.Clock.Now().Add(c.server.Limits().IdleTimeout))
}

// begin reads a request and starts its answer. It reports whether the
// connection can go on.
func (c *conn) begin() bool {
	limits := c.server.Limits()
	_ = c.nc.SetReadDeadline(c.server.Clock.Now().Add(limits.HeaderTimeout))
	w := &ResponseWriter{conn: c}
	var request fasthttp.Request
	if status, err := c.read(&request, limits); err != nil {
		if status != 0 {
			w.closes = true
			c.server.Handler.Reject(status, err, w)
		}
		return false
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	w.head = request.Header.IsHead()
	w.old = !request.Header.IsHTTP11()
	w.closes = request.Header.ConnectionClose()
	r := &Request{Header: &request.Header, Body: request.Body(), Received: c.server.Clock.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel, c.done = cancel, make(chan struct{})
	c.server.active.Add(1)
	go c.answer(ctx, r, w)
	return true
}

func (c *conn) answer(ctx context.Context, r *Request, w *ResponseWriter) {
	defer close(c.done)
	defer c.cancel()
	c.server.Handler.Serve(ctx, r, w)
	c.server.active.Add(-1)
	if !w.ended {
		w.Abort()
	}
	if w.last {
		c.last.Store(true)
		c.finish(w)
		return
	}
	c.phase.Store(phaseIdle)
	c.waitIdle()
	if c.server.closing.Load() {
		// The drain began after the head of this answer was written.
		c.server.closeLater(c)
	}
}

// finish ends the connection after its last answer.
func (c *conn) finish(w *ResponseWriter) {
	if w.aborted {
		_ = c.nc.Close()
		return
	}
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(c.server.Clock.Now().Add(lingerTime))
}

// closeLater closes a connection that was not told of the drain, if the
// listener has been closed already.
func (s *Server) closeLater(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shut {
		c.closeIdle()
	}
}

// read reads a request. On an error it returns the status to refuse it with,
// or zero if the caller can't be answered.
func (c *conn) read(request *fasthttp.Request, limits Limits) (int, error) {
	if err := c.readHeader(&request.Header, limits); err != nil {
		return headerStatus(err), err
	}
	if err := checkFraming(&request.Header); err != nil {
		return http.StatusBadRequest, err
	}
	if request.Header.ContentLength() > limits.BodyBytes {
		return http.StatusRequestEntityTooLarge, fasthttp.ErrBodyTooLarge
	}
	if request.MayContinue() {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	_ = c.nc.SetReadDeadline(c.server.Clock.Now().Add(limits.IdleTimeout))
	if err := request.ContinueReadBody(c.reader, limits.BodyBytes, false); err != nil {
		return bodyStatus(err), err
	}
	return 0, nil
}

// readHeader reads the head, with a larger buffer if it needs one.
func (c *conn) readHeader(h *fasthttp.RequestHeader, limits Limits) error {
	err := h.Read(c.reader)
	var small *fasthttp.ErrSmallBuffer
	if !errors.As(err, &small) || c.reader.Size() >= limits.HeaderBytes {
		return err
	}
	// What was read so far is in the buffer; the head is parsed again.
	read, peekErr := c.reader.Peek(c.reader.Buffered())
	if peekErr != nil {
		return peekErr
	}
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(read)), c.nc)
	c.reader = bufio.NewReaderSize(rest, limits.HeaderBytes)
	h.Reset()
	return h.Read(c.reader)
}

func headerStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return 0
	}
	return http.StatusBadRequest
}

func bodyStatus(err error) int {
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return 0
	}
	return http.StatusBadRequest
}

var errTwoLengths = errors.New("a request with both Content-Length and Transfer-Encoding")

// checkFraming refuses a request with two lengths, whose end a server could see
// elsewhere than this daemon does.
func checkFraming(h *fasthttp.RequestHeader) error {
	if h.ContentLength() != -1 {
		return nil
	}
	for line := range bytes.Lines(h.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return errTwoLengths
		}
	}
	return nil
}
