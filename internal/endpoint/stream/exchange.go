package stream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/http1"
)

// writerPool holds the write buffers of requests.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// Exchange is a sent request and its answer, whose body may still be arriving.
// The user has to call Close.
type Exchange struct {
	Response *fasthttp.Response

	pool    *Pool
	address string
	conn    *conn
	body    io.Reader
	// bodyRead says that the body was read to its end.
	bodyRead bool
	// stopCancelWatch stops watching the context. It reports whether the
	// context had not ended before.
	stopCancelWatch func() bool
}

// Do sends the request and reads the whole answer. Do returns as soon as the
// context ends.
func (p *Pool) Do(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) error {
	_, err := p.DoTimed(ctx, request, response)
	return err
}

// DoTimed is Do. It returns also the time at which the answer began to arrive.
func (p *Pool) DoTimed(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) (time.Time, error) {
	x, err := p.send(ctx, request, response)
	if err != nil {
		return time.Time{}, err
	}
	beganAt := x.conn.beganAt
	x.bodyRead = true
	x.Close()
	return beganAt, nil
}

// Open sends the request and reads the head of the answer. The end of the
// context closes the connection, which ends a blocked read or write and cancels
// the run at the endpoint.
func (p *Pool) Open(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) (*Exchange, error) {
	response.StreamBody = true
	return p.send(ctx, request, response)
}

func (p *Pool) send(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) (*Exchange, error) {
	address := string(request.URI().Host())
	c, err := p.acquireConn(ctx, address)
	if err != nil {
		return nil, err
	}
	x := &Exchange{Response: response, pool: p, address: address, conn: c}
	x.stopCancelWatch = context.AfterFunc(ctx, c.abort)
	if err := x.roundTrip(request); err != nil {
		x.Close()
		return nil, p.exchangeError(ctx, address, c, err)
	}
	return x, nil
}

func (x *Exchange) roundTrip(request *fasthttp.Request) error {
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(x.conn)
	defer w.Reset(nil)
	if err := request.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := http1.ReadResponse(x.conn.reader, x.Response, x.pool.MaxBody); err != nil {
		return err
	}
	if x.body = x.Response.BodyStream(); x.body == nil {
		x.body = bytes.NewReader(x.Response.Body())
	}
	return nil
}

// Read reads the body of the answer.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.body.Read(b)
	if errors.Is(err, io.EOF) {
		x.bodyRead = true
		return n, err
	}
	return n, x.conn.withDeadlineError(err)
}

// useTokenTimeout switches to the shorter stall timeout after the first token.
func (x *Exchange) useTokenTimeout() {
	x.conn.ioTimeout = x.pool.TokenStallTimeout
}

// BodyPrefix returns up to 4096 bytes from the start of the answer's body.
func (x *Exchange) BodyPrefix() []byte {
	const limit = 4096
	body, _ := io.ReadAll(io.LimitReader(x, limit))
	return body
}

// drainTimeout bounds the wait for the end of the body after a complete answer.
// The end usually arrives with the last event or right after it.
const drainTimeout = 20 * time.Millisecond

// DrainBody reads the body of a complete answer to its end. The connection can
// be reused only after that.
func (x *Exchange) DrainBody() {
	x.conn.readDeadline = x.pool.Clock.Now().Add(drainTimeout)
	_, _ = io.Copy(io.Discard, x)
}

// Close ends the exchange. It keeps the connection if the answer was read to
// its end and the connection can be reused. Otherwise it closes the connection,
// which cancels a run at the endpoint.
func (x *Exchange) Close() {
	notCancelled := x.stopCancelWatch()
	_ = x.Response.CloseBodyStream()
	if notCancelled && x.bodyRead && !x.Response.ConnectionClose() && x.conn.reader.Buffered() == 0 {
		x.pool.releaseConn(x.address, x.conn)
		return
	}
	if !x.bodyRead {
		x.conn.abort()
	}
	x.pool.discardConn(x.address, x.conn)
}
