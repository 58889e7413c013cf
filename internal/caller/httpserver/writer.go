package httpserver

import (
	"net/http"
	"strconv"
	"time"

	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/budget"
)

// ResponseWriter writes one answer. It must be used by one goroutine only.
type ResponseWriter struct {
	conn *conn
	// reader holds the memory of the request, nil if the request could not be read.
	reader *requestReader
	// isHead says that the request has the method HEAD, so that the answer has
	// no body. isHTTP10 says that the caller uses HTTP/1.0. closeRequested says
	// that the caller or the server wants to close the connection after the
	// answer.
	isHead, isHTTP10, closeRequested bool

	buffer []byte
	// reserved is the number of bytes of the buffer that are reserved from the budget.
	reserved     unit.Bytes
	started      bool
	chunked      bool
	ended        bool
	aborted      bool
	isLastAnswer bool
}

// writeTimeout bounds a write to a caller that does not read.
const writeTimeout = 5 * time.Second

// UnknownLength is passed to Start if the length of the body is not known in
// advance.
const UnknownLength = -1

// Start begins the answer. Nothing is sent before the first bytes of the body
// or the end. The fields must not contain fields of the connection itself, such
// as Connection.
func (w *ResponseWriter) Start(status int, fields []proxy.Field, length int) {
	w.started = true
	w.conn.hasAnswer.Store(true)
	w.closeRequested = w.closeRequested || w.conn.server.draining.Load() || w.conn.account.MustClose()
	noBody := w.isHead || status == http.StatusNoContent || status == http.StatusNotModified
	w.chunked = length == UnknownLength && !w.isHTTP10 && !noBody
	w.isLastAnswer = w.closeRequested || w.isHTTP10
	b := append(w.buffer, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	for _, f := range fields {
		b = AppendField(b, f.Name, f.Value)
	}
	switch {
	case w.chunked:
		b = AppendField(b, "Transfer-Encoding", "chunked")
	case length >= 0 && status != http.StatusNoContent:
		b = AppendField(b, "Content-Length", strconv.Itoa(length))
	}
	if w.isLastAnswer {
		b = AppendField(b, "Connection", "close")
	}
	w.buffer = append(b, "\r\n"...)
}

// AppendField appends a header field in its wire format.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// Started reports whether Start was called.
func (w *ResponseWriter) Started() bool {
	return w.started
}

// Write sends a part of the body.
func (w *ResponseWriter) Write(p []byte) error {
	w.appendBody(p)
	return w.flush()
}

// End sends the last part of the body, which may be empty, and completes the
// answer.
func (w *ResponseWriter) End(p []byte) error {
	w.appendBody(p)
	if w.chunked {
		w.buffer = append(w.buffer, "0\r\n\r\n"...)
	}
	w.ended = true
	return w.flush()
}

func (w *ResponseWriter) appendBody(p []byte) {
	if len(p) == 0 || w.isHead {
		return
	}
	w.reserveBuffer(len(p))
	if w.chunked {
		w.buffer = strconv.AppendInt(w.buffer, int64(len(p)), 16)
		w.buffer = append(w.buffer, "\r\n"...)
	}
	w.buffer = append(w.buffer, p...)
	if w.chunked {
		w.buffer = append(w.buffer, "\r\n"...)
	}
}

// reserveBuffer reserves what the buffer grows by if n bytes of a body are appended. The connection's
// own bytes include a small buffer.
func (w *ResponseWriter) reserveBuffer(n int) {
	const smallBuffer, framing = 4 << 10, 32
	need := unit.Bytes(len(w.buffer) + n + framing)
	if need > smallBuffer && need > w.reserved {
		w.conn.account.ReserveAnswer(need - w.reserved)
		w.reserved = need
	}
}

// release returns what the request and its answer have reserved.
func (w *ResponseWriter) release() {
	w.reader.release()
	w.conn.account.Release(w.reserved)
	w.reserved = 0
	w.conn.account.Finish()
}

func (w *ResponseWriter) flush() error {
	if len(w.buffer) == 0 {
		return nil
	}
	w.conn.account.StartWrite()
	defer w.conn.account.EndWrite()
	_ = w.conn.netConn.SetWriteDeadline(w.conn.server.Clock.Now().Add(writeTimeout))
	_, err := w.conn.netConn.Write(w.buffer)
	w.buffer = w.buffer[:0]
	if err != nil {
		w.Abort()
	}
	return err
}

// Abort resets the connection, so that the caller can't treat the answer as
// complete.
func (w *ResponseWriter) Abort() {
	if w.aborted {
		return
	}
	w.ended, w.aborted, w.isLastAnswer = true, true, true
	budget.ResetConn(w.conn.netConn)
}
