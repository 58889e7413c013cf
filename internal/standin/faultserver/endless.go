package faultserver

import (
	"bufio"
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/clock"
)

// An endless body carries a piece per interval.
const (
	endlessPiece    = 32 << 10
	endlessInterval = 10 * time.Millisecond
)

// SetEndlessBody makes the response's body begin with the prefix and never end, until the client closes the
// connection.
func SetEndlessBody(ctx *fasthttp.RequestCtx, clk clock.Clock, prefix string) {
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		piece := append([]byte(prefix), bytes.Repeat([]byte("x"), endlessPiece)...)
		for {
			if _, err := w.Write(piece); err != nil || w.Flush() != nil {
				return
			}
			piece = bytes.Repeat([]byte("x"), endlessPiece)
			clk.Sleep(endlessInterval)
		}
	})
}
