package stream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/http1"
)

// RawRequest is an encoded request. Its bytes are sent unchanged.
type RawRequest struct {
	Address string
	// Data holds the head and the body of the request.
	Data []byte
	// NewConnection requests a new connection.
	NewConnection bool
	// ExpectNoBody says that the answer has no body, whatever its header says.
	// The answer to a HEAD request is an example.
	ExpectNoBody bool
	// KeepWaiting, if set, is called after each SilenceInterval without a byte,
	// with the time since the current read began. If it returns false, the
	// exchange ends. It replaces the stall timeout for reads.
	KeepWaiting     func(time.Duration) bool
	SilenceInterval time.Duration
	// MatchRequest says whether an answer belongs to the request. A late answer to an
	// earlier request on the connection is skipped. With an answer of unknown origin the
	// exchange fails.
	MatchRequest func(*fasthttp.ResponseHeader) Match
}

// Match says whether an answer belongs to a request.
type Match int

// The values of Match. UnknownOrigin means that nothing shows that the endpoint gave the
// answer to the request. It may be the page of a web server, or the answer to an earlier
// request.
const (
	UnknownOrigin Match = iota
	Own
	Foreign
)

// maxForeignAnswers is the highest number of answers to other requests that are
// skipped before an exchange fails.
const maxForeignAnswers = 2

// Bounds of bytes that are no part of the answer, which a faulty endpoint may send without
// end: the bodies of answers to other requests, and the trailer after the last chunk.
const (
	maxForeignBytes = 1 << 20
	maxTrailerBytes = 16 << 10
)

// Errors of connections that return such bytes.
var (
	// errForeignAnswers says that the connection has answers to other requests
	// only.
	errForeignAnswers = errors.New("connection returned only answers to other requests")
	errUnknownOrigin  = errors.New("connection returned an answer that doesn't name the request or isn't signed")
	errForeignBytes   = fmt.Errorf("connection returned an answer to another request with over %d bytes", maxForeignBytes)
	errTrailerBytes   = fmt.Errorf("connection returned a trailer of over %d bytes", maxTrailerBytes)
)

// RawResponse is the answer to a RawRequest; its body may still be arriving.
// The user has to call Close.
type RawResponse struct {
	Header fasthttp.ResponseHeader

	pool    *Pool
	address string
	conn    *conn
	body    io.Reader
	framing framing
	// bodyRead says that the body was read to its end.
	bodyRead bool
	// upload is the write of a long request, nil if the request was written before
	// the answer was read.
	upload          *upload
	stopCancelWatch func() bool
}

// Forward sends the request and reads the head of the answer. The end of the
// context closes the connection, which cancels the run at the endpoint.
func (p *Pool) Forward(ctx context.Context, request *RawRequest) (*RawResponse, error) {
	c, err := p.connect(ctx, request)
	if err != nil {
		return nil, err
	}
	r := &RawResponse{pool: p, address: request.Address, conn: c}
	c.keepWaiting, c.silenceInterval = request.KeepWaiting, request.SilenceInterval
	r.stopCancelWatch = context.AfterFunc(ctx, c.abort)
	if err := r.roundTrip(request); err != nil {
		r.stopCancelWatch()
		r.cancel()
		return nil, p.exchangeError(ctx, request.Address, c, err)
	}
	return r, nil
}

func (p *Pool) connect(ctx context.Context, request *RawRequest) (*conn, error) {
	if !request.NewConnection {
		return p.acquireConn(ctx, request.Address)
	}
	if err := p.reserveSlot(request.Address); err != nil {
		return nil, &dialError{err}
	}
	return p.dialConn(ctx, request.Address)
}

func (r *RawResponse) roundTrip(request *RawRequest) error {
	if err := r.write(request.Data); err != nil {
		return err
	}
	for range maxForeignAnswers + 1 {
		if err := r.readHead(request); err != nil {
			return err
		}
		if isOwn, err := r.isOwnAnswer(request); isOwn || err != nil {
			return err
		}
		if err := r.skipBody(); err != nil {
			return err
		}
	}
	return errForeignAnswers
}

// write writes a short request, and starts to write a long one.
func (r *RawResponse) write(data []byte) (err error) {
	if len(data) > concurrentWriteBytes {
		r.upload, err = startUpload(r.conn, data)
		return err
	}
	_, err = r.conn.Write(data)
	return err
}

// isWritten reports whether the whole request has been written.
func (r *RawResponse) isWritten() bool {
	return r.upload == nil || r.upload.isComplete()
}

// isOwnAnswer reports whether the answer belongs to the request.
func (r *RawResponse) isOwnAnswer(request *RawRequest) (bool, error) {
	if request.MatchRequest == nil {
		return true, nil
	}
	match := request.MatchRequest(&r.Header)
	if match == UnknownOrigin {
		return false, fmt.Errorf("%w: status %d", errUnknownOrigin, r.Header.StatusCode())
	}
	return match == Own, nil
}

// readHead reads the head of the answer. The connection's buffer bounds its size.
func (r *RawResponse) readHead(request *RawRequest) error {
	r.Header.Reset()
	r.Header.SetNoDefaultContentType(true)
	if err := http1.ReadResponseHead(r.conn.reader, &r.Header); err != nil {
		return err
	}
	r.body, r.framing = r.bodyReader(request)
	return nil
}

// Abort ends a read of the answer that is in progress in another goroutine. It must not be called after
// Close, as the connection may be in use again.
func (r *RawResponse) Abort() {
	r.conn.abort()
}

// Close ends the exchange. It keeps the connection if the answer was read to
// its end and the connection can be reused. Otherwise it closes the connection,
// which cancels a run at the endpoint.
func (r *RawResponse) Close() {
	notCancelled := r.stopCancelWatch()
	bodyComplete := r.bodyRead || r.framing == noBody
	r.conn.keepWaiting = nil
	if notCancelled && bodyComplete && r.isWritten() && !r.Header.ConnectionClose() && r.conn.reader.Buffered() == 0 {
		r.conn.idleTimeout = parseKeepAlive(r.Header.Peek("Keep-Alive"))
		r.pool.releaseConn(r.address, r.conn)
		return
	}
	if !bodyComplete {
		r.cancel()
		return
	}
	r.pool.discardConn(r.address, r.conn)
}

// cancel closes the connection before the end of the answer, which cancels a run at the endpoint.
func (r *RawResponse) cancel() {
	r.conn.abort()
	r.pool.discardConn(r.address, r.conn)
}
