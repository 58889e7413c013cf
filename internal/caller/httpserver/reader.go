package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/http1"
)

// requestReader reads one request. It reserves the memory of the request from the budget before it
// allocates it.
type requestReader struct {
	conn    *conn
	limits  Limits
	request fasthttp.Request
	body    []byte
	// reserved is the number of bytes that are reserved for the request.
	reserved unit.Bytes
}

// Reserve reserves bytes of the request. The error is budget.ErrNoRoom.
func (r *requestReader) Reserve(n unit.Bytes) error {
	if err := r.conn.account.Reserve(n); err != nil {
		return err
	}
	r.reserved += n
	return nil
}

// Release returns some of the reserved bytes.
func (r *requestReader) Release(n unit.Bytes) {
	r.conn.account.Release(n)
	r.reserved -= n
}

// release returns all reserved bytes.
func (r *requestReader) release() {
	r.Release(r.reserved)
	r.body = nil
}

// read reads the request. If it fails, it returns the status for the error
// response, or zero if the caller can't receive a response.
func (r *requestReader) read() (int, error) {
	header := &r.request.Header
	if err := r.readHeader(); err != nil {
		return statusOf(err), err
	}
	if err := checkFraming(header); err != nil {
		return http.StatusBadRequest, err
	}
	if header.ContentLength() > r.limits.BodyBytes {
		return http.StatusRequestEntityTooLarge, fasthttp.ErrBodyTooLarge
	}
	c := r.conn
	if r.request.MayContinue() {
		if _, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	_ = c.netConn.SetReadDeadline(c.server.Clock.Now().Add(r.limits.IdleTimeout))
	if err := r.readBody(); err != nil {
		return statusOf(err), err
	}
	return 0, nil
}

// readHeader reads the head of a request. It switches to a larger buffer if the
// head does not fit.
func (r *requestReader) readHeader() error {
	head, err := http1.BufferRequestHead(r.conn.reader)
	if errors.Is(err, bufio.ErrBufferFull) && r.conn.reader.Size() < r.limits.HeaderBytes {
		if err := r.conn.growReader(r.limits.HeaderBytes); err != nil {
			return err
		}
		head, err = http1.BufferRequestHead(r.conn.reader)
	}
	if errors.Is(err, http1.ErrMalformedHead) || err != nil && len(head) == 0 {
		return err
	}
	if err := r.Reserve(headMemory(head)); err != nil {
		return err
	}
	// A head that is incomplete is parsed nevertheless, as the parser tells a malformed head from
	// one that is too long or too late.
	return r.request.Header.Read(r.conn.reader)
}

// growReader gives the connection a larger buffer, which is reserved for as long as the connection
// is open.
func (c *conn) growReader(size int) error {
	if err := c.account.Reserve(unit.Bytes(size)); err != nil {
		return err
	}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	replay := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c)
	c.reader = bufio.NewReaderSize(replay, size)
	return nil
}

// fieldMemory is the memory of a header field without its bytes: its entry in the parsed head, its
// entry in the decoded request, and the smallest allocations of its name and value in both.
const fieldMemory = 160

// headMemory returns the memory that the parsed and decoded head takes. Its bytes are kept in the
// parsed head, the decoded request and the head for the server.
func headMemory(head []byte) unit.Bytes {
	const copies = 3
	return unit.Bytes(copies*len(head) + fieldMemory*bytes.Count(head, []byte("\n")))
}

// readBody reads the body after the head.
func (r *requestReader) readBody() error {
	length, stream := r.request.Header.ContentLength(), io.Reader(r.conn.reader)
	if length < 0 {
		// With an unknown length, fasthttp reads nothing before the stream is read.
		if err := r.request.ContinueReadBodyStream(r.conn.reader, r.limits.BodyBytes, false); err != nil {
			return err
		}
		if !r.request.IsBodyStream() {
			return nil
		}
		stream = r.request.BodyStream()
	}
	var err error
	if r.body, err = budget.ReadBody(r, stream, length, r.limits.BodyBytes); errors.Is(err, budget.ErrTooLarge) {
		return fasthttp.ErrBodyTooLarge
	}
	return err
}

// statusOf returns the status for a request that could not be read, or zero if the caller can't
// receive a response.
func statusOf(err error) int {
	var bufferErr *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, budget.ErrNoRoom):
		return http.StatusServiceUnavailable
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &bufferErr):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return 0
	}
	return http.StatusBadRequest
}

var errConflictingLengths = errors.New("request has both Content-Length and Transfer-Encoding")

// checkFraming rejects a request that has both Content-Length and
// Transfer-Encoding. A server and this daemon could disagree about the end of
// such a request (request smuggling).
func checkFraming(h *fasthttp.RequestHeader) error {
	if h.ContentLength() != -1 {
		return nil
	}
	for line := range bytes.Lines(h.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return errConflictingLengths
		}
	}
	return nil
}
