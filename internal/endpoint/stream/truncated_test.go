package stream

import (
	"context"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// TestTruncatedAnswer guards against an answer that a server cuts off in its head or its body,
// by closing or resetting the connection, and that counts as a whole one.
func TestTruncatedAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nServer-Stamp: s\r\n"
	type reader func(p *Pool, address string) error
	forward := func(p *Pool, address string) error {
		r, err := p.Forward(context.Background(), newTestRequest(address))
		if err != nil {
			return err
		}
		defer r.Close()
		_, err = io.Copy(io.Discard, r)
		return err
	}
	do := func(p *Pool, address string) error {
		var request fasthttp.Request
		var response fasthttp.Response
		request.SetRequestURI("http://" + address + "/")
		return p.Do(context.Background(), &request, &response)
	}
	tests := map[string]struct {
		answer string
		// bodyMayEnd says that the body has no length, so only a cut in the head shows.
		bodyMayEnd bool
		read       reader
	}{
		"length":              {answer: head + "Content-Length: 5\r\n\r\nabcde", read: forward},
		"length, first":       {answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: own\r\n\r\nabcde", read: forward},
		"no body":             {answer: head + "Content-Length: 0\r\n\r\n", read: forward},
		"chunks":              {answer: head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", read: forward},
		"neither":             {answer: head + "\r\nabcde", bodyMayEnd: true, read: forward},
		"interim response":    {answer: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 1\r\n\r\na", read: forward},
		"read whole, length":  {answer: head + "Content-Length: 5\r\n\r\nabcde", read: do},
		"read whole, chunks":  {answer: head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", read: do},
		"read whole, neither": {answer: head + "\r\nabcde", bodyMayEnd: true, read: do},
		"read whole, no body": {answer: head + "Content-Length: 0\r\n\r\n", read: do},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			end := len(test.answer)
			if test.bodyMayEnd {
				end = strings.Index(test.answer, "\r\n\r\n") + len("\r\n\r\n")
			}
			for cut := range end {
				for _, after := range []string{"close", "reset"} {
					s := &fakeServer{answer: test.answer[:cut], afterAnswer: after}
					c.Check(test.read(newTestPool(), s.listen(c)), qt.IsNotNil, qt.Commentf("%s after %q", after, test.answer[:cut]))
				}
			}
			s := &fakeServer{answer: test.answer, afterAnswer: "close"}
			c.Check(test.read(newTestPool(), s.listen(c)), qt.IsNil)
		})
	}
}
