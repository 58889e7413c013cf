package service_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/endpoint/service"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/table"
	"cuminbay/internal/standin/faultserver"
)

type recordingSink struct {
	status int
	header []work.Field
	body   string
	ended  bool
}

func (r *recordingSink) Start(h work.Head) error {
	r.status, r.header = h.Status, h.Header
	return nil
}

func (r *recordingSink) Chunk(chunk work.Chunk) error { r.body += string(chunk.Raw); return nil }
func (r *recordingSink) End(work.End) error           { r.ended = true; return nil }

func newTestClient() *service.Client {
	return service.New(service.Options{Clock: clock.Real(), DialTimeout: time.Second, StallTimeout: time.Second, MaxBodyBytes: 1 << 20})
}

// TestSend guards against a truncated answer, or one with an invalid head, that is reported as complete or as
// not sent, and against an answer with status 503 that is reported as an error.
func TestSend(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   code.Code
		body   string
	}{
		"complete answer":        {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", want: code.Answered, body: "ok"},
		"unavailable":            {answer: "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno", want: code.Answered, body: "no"},
		"chunked":                {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", want: code.Answered, body: "ok"},
		"truncated body":         {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", want: code.CutOff},
		"truncated chunked body": {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", want: code.CutOff},
		"no answer":              {want: code.CutOff},
		"interim response":       {answer: "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", want: code.Answered, body: "ok"},
		"status 000":             {answer: "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", want: code.CutOff},
		"status 000, no reason":  {answer: "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok", want: code.CutOff},
		"status 099":             {answer: "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok", want: code.CutOff},
		"name with a blank":      {answer: "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\nok", want: code.CutOff},
		"name, interim response": {answer: "HTTP/1.1 103 X\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", want: code.CutOff},
		"name with a control":    {answer: "HTTP/1.1 200 OK\r\nA\x01B: c\r\nContent-Length: 2\r\n\r\nok", want: code.CutOff},
		"blank before a colon":   {answer: "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok", want: code.CutOff},
		"status 600":             {answer: "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok", want: code.CutOff},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := faultserver.ServeRaw(test.answer)
			c.Assert(err, qt.IsNil)
			s := newTestClient()
			var got recordingSink
			e := &table.Endpoint{Address: l.Addr().String()}
			r := &work.Request{Method: "POST", Path: "/pay", Body: []byte("x")}
			err = s.Send(context.Background(), e, r, work.PartialAnswer{}, &got)
			c.Assert(code.Of(err), qt.Equals, test.want, qt.Commentf("%v", err))
			c.Assert(got.ended, qt.Equals, test.want == code.Answered)
			if test.body != "" {
				c.Assert(got.body, qt.Equals, test.body)
			}
			_ = l.Close()
			c.Assert(code.Of(s.Send(context.Background(), e, r, work.PartialAnswer{}, &got)), qt.Equals, code.EndpointUnreachable)
		})
	}
}

// TestReset guards against a truncated answer that counts as complete, since the service has reset the connection
// before it had read the request.
func TestReset(t *testing.T) {
	lengths := map[string]int{"4 KB": 4 << 10, "100 KB": 100 << 10, "4 MB": 4 << 20}
	const repetitions = 6
	for name, answer := range faultserver.TruncatedResponses {
		for lengthName, length := range lengths {
			t.Run(name+", "+lengthName, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				server, err := faultserver.Early{Clock: clock.Real(), Answer: answer, End: faultserver.Reset}.Listen()
				c.Assert(err, qt.IsNil)
				defer server.Close()
				e := &table.Endpoint{Address: server.Address()}
				r := &work.Request{Method: "POST", Path: "/pay", Body: make([]byte, length)}
				for range repetitions {
					var got recordingSink
					err := newTestClient().Send(context.Background(), e, r, work.PartialAnswer{}, &got)
					c.Check(code.Of(err), qt.Equals, code.CutOff, qt.Commentf("%v", err))
					c.Check(got.ended, qt.IsFalse)
				}
			})
		}
	}
}

// TestHeader guards against a field that the service didn't send.
func TestHeader(t *testing.T) {
	tests := map[string]struct {
		fields string
		want   []work.Field
	}{
		"no type":       {fields: "Own: 1\r\n", want: []work.Field{{Name: "Own", Value: "1"}, {Name: "Content-Length", Value: "2"}}},
		"type":          {fields: "Content-Type: a/b\r\n", want: []work.Field{{Name: "Content-Type", Value: "a/b"}, {Name: "Content-Length", Value: "2"}}},
		"no own fields": {want: []work.Field{{Name: "Content-Length", Value: "2"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := faultserver.ServeRaw("HTTP/1.1 200 OK\r\n" + test.fields + "Content-Length: 2\r\n\r\nok")
			c.Assert(err, qt.IsNil)
			defer l.Close() //nolint:errcheck // the end of the test
			var got recordingSink
			r := &work.Request{Method: "GET", Path: "/"}
			c.Assert(newTestClient().Send(context.Background(), &table.Endpoint{Address: l.Addr().String()}, r, work.PartialAnswer{}, &got), qt.IsNil)
			c.Check(got.header, qt.ContentEquals, test.want)
		})
	}
}
