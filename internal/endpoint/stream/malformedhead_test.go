package stream

import (
	"context"
	"errors"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
)

// TestMalformedHead guards against an answer with a malformed head that counts as an answer, ends only with
// the stall timeout, or leaves its connection in use.
func TestMalformedHead(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		own     = "Request-Id: own\r\nServer-Stamp: s\r\n"
		body    = "Content-Length: 3\r\n\r\nabc"
		interim = "HTTP/1.1 103 Early Hints\r\n"
	)
	answers := map[string]string{
		"status 000":                          "HTTP/1.1 000 X\r\n" + own + body,
		"status 000, no reason":               "HTTP/1.1 000\r\n" + own + body,
		"status 000, rejection":               "HTTP/1.1 000 X\r\nNot-Run: 1\r\n" + own + body,
		"status 000 after an interim answer":  interim + "\r\nHTTP/1.1 000 X\r\n" + own + body,
		"status 000 after a blank line":       "\r\nHTTP/1.1 000 X\r\n" + own + body,
		"status 001":                          "HTTP/1.1 001 X\r\n" + own + body,
		"status 099":                          "HTTP/1.1 099 X\r\n" + own + body,
		"status 600":                          "HTTP/1.1 600 X\r\n" + own + body,
		"status 999":                          "HTTP/1.1 999 X\r\n" + own + body,
		"status of two digits":                "HTTP/1.1 20 X\r\n" + own + body,
		"status of four digits":               "HTTP/1.1 2000 X\r\n" + own + body,
		"status with a sign":                  "HTTP/1.1 +20 X\r\n" + own + body,
		"no status":                           "HTTP/1.1 \r\n" + own + body,
		"name with a blank, first":            ok + "A B: c\r\n" + own + body,
		"name with a blank, last":             ok + own + "Content-Length: 3\r\nA B: c\r\n\r\nabc",
		"name with a blank, failure":          "HTTP/1.1 500 X\r\nA B: c\r\n" + own + body,
		"name with a blank, rejection":        "HTTP/1.1 503 X\r\nNot-Run: 1\r\nA B: c\r\n" + own + body,
		"name with a blank, interim answer":   interim + "A B: c\r\n\r\n" + ok + own + body,
		"name with a blank, line feeds":       "HTTP/1.1 200 OK\nA B: c\n" + own + body,
		"blank before a colon":                ok + "Ab : c\r\n" + own + body,
		"blanks before a colon":               ok + "Ab  : c\r\n" + own + body,
		"blank before the colon of a length":  ok + own + "Content-Length : 2\r\n\r\nabc",
		"blank before the colon of chunks":    ok + own + "Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"blank before the colon of a request": ok + "Request-Id : own\r\nServer-Stamp: s\r\n" + body,
		"name with a NUL":                     ok + "A\x00B: c\r\n" + own + body,
		"name with a control byte":            ok + "A\x01B: c\r\n" + own + body,
		"name with a DEL":                     ok + "A\x7fB: c\r\n" + own + body,
		"name with a tab":                     ok + "A\tB: c\r\n" + own + body,
		"tab before a colon":                  ok + "Ab\t: c\r\n" + own + body,
		"name with a carriage return":         ok + "A\rB: c\r\n" + own + body,
		"name with a letter of another set":   ok + "A\xc3\xa4: c\r\n" + own + body,
		"no name":                             ok + ": c\r\n" + own + body,
		"no colon":                            ok + "Ab c\r\n" + own + body,
		"continuation of the status line":     ok + " A: c\r\n" + own + body,
	}
	readers := map[string]func(*Pool, string) error{
		"forward": func(p *Pool, address string) error {
			r, err := p.Forward(context.Background(), newTestRequest(address))
			if err == nil {
				r.Close()
			}
			return err
		},
		"do": func(p *Pool, address string) error {
			request, response := new(fasthttp.Request), new(fasthttp.Response)
			request.SetRequestURI("http://" + address + "/")
			return p.Do(context.Background(), request, response)
		},
		"open": func(p *Pool, address string) error {
			request, response := new(fasthttp.Request), new(fasthttp.Response)
			request.SetRequestURI("http://" + address + "/")
			x, err := p.Open(context.Background(), request, response)
			if err == nil {
				x.Close()
			}
			return err
		},
	}
	for name, answer := range answers {
		for readerName, read := range readers {
			t.Run(name+", "+readerName, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				s := &fakeServer{answer: answer}
				address := s.listen(c)
				p := newTestPool()
				defer p.CloseIdleConnections()
				err := read(p, address)
				c.Assert(err, qt.IsNotNil)
				c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("%v", err))
				c.Check(code.OutcomeOf(ErrorWithCode(err, address)), qt.Equals, code.Unknown)
				p.mu.Lock()
				defer p.mu.Unlock()
				c.Check(p.byAddress[address], qt.IsNil)
			})
		}
	}
}
