package httpcall

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
)

// TestBodyReader guards against bodies that are changed or cut on the way to the handler, against a
// handler that runs for a request that was refused, and against reservations that stay.
func TestBodyReader(t *testing.T) {
	const limit, capacity = 200 << 10, 600 << 10
	post := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	}
	chunks := func(size int) string {
		var b strings.Builder
		b.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		for ; size > 0; size -= min(size, 5000) {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", min(size, 5000), strings.Repeat("a", min(size, 5000)))
		}
		return b.String() + "0\r\n\r\n"
	}
	body := func(size int) string { return strings.Repeat("a", size) }
	tests := map[string]struct {
		raw string
		// want are the statuses and the lengths of the bodies that the handler saw.
		want []string
		// held are bytes that another connection holds.
		held unit.Bytes
	}{
		"no body":           {raw: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", want: []string{"200 0"}},
		"empty body":        {raw: post(0), want: []string{"200 0"}},
		"small body":        {raw: post(3) + "aaa", want: []string{"200 3"}},
		"body at the limit": {raw: post(limit) + body(limit), want: []string{"200 204800"}},
		"body too large":    {raw: post(limit+1) + body(limit+1), want: []string{"413 "}},
		"chunks":            {raw: chunks(150_000), want: []string{"200 150000"}},
		"empty chunked":     {raw: chunks(0), want: []string{"200 0"}},
		"chunks too large":  {raw: chunks(limit + 1), want: []string{"413 "}},
		"two requests":      {raw: post(70_000) + body(70_000) + chunks(10) + post(1) + "a", want: []string{"200 70000", "200 10", "200 1"}},
		"no room":           {raw: post(100_000) + body(100_000), held: 550 << 10, want: []string{"503 "}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := budget.New(budget.Options{Clock: clock.Real(), Log: zerolog.Nop(), Capacity: capacity, AddressShare: 1, MinRate: 1, Grace: time.Minute, Wait: 50 * time.Millisecond, WriteTimeout: time.Second})
			reader := &BodyReader{Limit: limit, OnError: func(ctx *fasthttp.RequestCtx, err error) {
				status := map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusRequestEntityTooLarge}[errors.Is(err, budget.ErrNoRoom)]
				ctx.SetStatusCode(status)
			}}
			server := &fasthttp.Server{
				StreamRequestBody: true, DisablePreParseMultipartForm: true, MaxRequestBodySize: limit,
				Handler: reader.Handler(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strconv.Itoa(len(ctx.PostBody()))) }),
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			go func() { _ = server.Serve(b.Listen(listener, budget.Callers)) }()
			defer server.Shutdown() //nolint:errcheck // the test is over
			other := b.Open(budget.Callers, nil, func() {})
			other.ReserveAnswer(test.held)
			conn, err := net.Dial("tcp", listener.Addr().String())
			c.Assert(err, qt.IsNil)
			go func() { _, _ = io.WriteString(conn, test.raw) }()
			var answers []string
			reply := &fasthttp.Response{}
			in := bufio.NewReader(conn)
			for range test.want {
				c.Assert(reply.Read(in), qt.IsNil)
				answer := fmt.Sprintf("%d ", reply.StatusCode())
				if reply.StatusCode() == http.StatusOK {
					answer += string(reply.Body())
				}
				answers = append(answers, answer)
			}
			c.Check(answers, qt.DeepEquals, test.want)
			_ = conn.Close()
			other.Close()
			for range 300 {
				if b.Used() == 0 {
					return
				}
				<-clock.Real().After(10 * time.Millisecond)
			}
			c.Fatalf("%d bytes stay reserved", b.Used())
		})
	}
}
