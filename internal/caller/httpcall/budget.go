package httpcall

import (
	"errors"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/budget"
)

// BodyReader reads the bodies of a fasthttp server, whose listener is a budget.Listener and which
// streams bodies, so that their memory is reserved from the budget before it is allocated.
type BodyReader struct {
	// Limit is the highest length of a body in bytes.
	Limit int
	// Copies is the number of copies of a body that the handler makes.
	Copies int
	// OnError answers a request whose body can't be read. The error is budget.ErrNoRoom,
	// fasthttp.ErrBodyTooLarge or an error of the connection.
	OnError func(ctx *fasthttp.RequestCtx, err error)
}

// Handler returns a handler that reads the body and then calls next.
func (r *BodyReader) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		conn, isBounded := ctx.Conn().(*budget.Conn)
		if !isBounded {
			next(ctx)
			return
		}
		err := r.readBody(ctx, conn)
		if err == nil {
			err = conn.Run()
		}
		if err != nil {
			ctx.SetConnectionClose()
			r.OnError(ctx, err)
			return
		}
		next(ctx)
		if conn.MustClose() {
			ctx.SetConnectionClose()
		}
	}
}

func (r *BodyReader) readBody(ctx *fasthttp.RequestCtx, conn *budget.Conn) error {
	conn.BodyStarts()
	if !ctx.Request.IsBodyStream() {
		return nil
	}
	if ctx.Request.Header.ContentLength() > r.Limit {
		return fasthttp.ErrBodyTooLarge
	}
	body, err := budget.ReadBody(conn, ctx.RequestBodyStream(), ctx.Request.Header.ContentLength(), r.Limit)
	switch {
	case errors.Is(err, budget.ErrTooLarge):
		return fasthttp.ErrBodyTooLarge
	case err != nil:
		return err
	}
	if err := conn.Reserve(unit.Bytes(r.Copies * len(body))); err != nil {
		return err
	}
	ctx.Request.SetBodyRaw(body)
	return nil
}

// OwnsBody reports whether the body of the request is a buffer of its own, which fasthttp doesn't use
// again.
func OwnsBody(ctx *fasthttp.RequestCtx) bool {
	_, isBounded := ctx.Conn().(*budget.Conn)
	return isBounded
}

// ReserveAnswer reserves the bytes of an answer that is held until the caller has read it.
func ReserveAnswer(ctx *fasthttp.RequestCtx, bytes int) {
	if conn, isBounded := ctx.Conn().(*budget.Conn); isBounded {
		conn.ReserveAnswer(unit.Bytes(bytes))
	}
}

// NoRoom returns the error of a request that is refused since there is no room for it.
//
// The error carries code.DaemonFull.
func NoRoom() error {
	return code.WithRetryAfter(code.DaemonFull.Wrap(budget.ErrNoRoom, "read request"), budget.RetryAfter)
}
