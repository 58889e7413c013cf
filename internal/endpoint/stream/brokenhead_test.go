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

// TestBrokenHead guards against an answer with an invalid status that counts as an answer, ends only with
// the stall timeout, or leaves its connection in use.
func TestBrokenHead(t *testing.T) {
	const (
		own     = "Request-Id: own\r\nServer-Stamp: s\r\n"
		body    = "Content-Length: 3\r\n\r\nabc"
		interim = "HTTP/1.1 103 Early Hints\r\n"
	)
	answers := map[string]string{
		"status 000":                         "HTTP/1.1 000 X\r\n" + own + body,
		"status 000, no reason":              "HTTP/1.1 000\r\n" + own + body,
		"status 000, rejection":              "HTTP/1.1 000 X\r\nNot-Run: 1\r\n" + own + body,
		"status 000 after an interim answer": interim + "\r\nHTTP/1.1 000 X\r\n" + own + body,
		"status 000 after a blank line":      "\r\nHTTP/1.1 000 X\r\n" + own + body,
		"status 001":                         "HTTP/1.1 001 X\r\n" + own + body,
		"status 099":                         "HTTP/1.1 099 X\r\n" + own + body,
		"status 600":                         "HTTP/1.1 600 X\r\n" + own + body,
		"status 999":                         "HTTP/1.1 999 X\r\n" + own + body,
		"status of two digits":               "HTTP/1.1 20 X\r\n" + own + body,
		"status of four digits":              "HTTP/1.1 2000 X\r\n" + own + body,
		"status with a sign":                 "HTTP/1.1 +20 X\r\n" + own + body,
		"no status":                          "HTTP/1.1 \r\n" + own + body,
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
