package stream

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/standin/faultserver"
)

// earlyAnswers are answers that arrive while their request is being written.
var earlyAnswers = map[string]struct {
	answer string
	// body is what the answer has of a body that ends with the connection, and hasFraming says that the body ends
	// in another way or that there is none.
	body       string
	hasFraming bool
}{
	"no length":                 {answer: "HTTP/1.1 200 OK\r\nRequest-Id: own\r\n\r\npart of", body: "part of"},
	"Connection: close":         {answer: "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nConnection: close\r\n\r\npart of", body: "part of"},
	"HTTP/1.0":                  {answer: "HTTP/1.0 200 OK\r\nRequest-Id: own\r\n\r\npart of", body: "part of"},
	"status 500":                {answer: "HTTP/1.1 500 X\r\nRequest-Id: own\r\n\r\npart of", body: "part of"},
	"event stream":              {answer: "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", body: "id: 1\ndata: a\n\n"},
	"nothing of the body":       {answer: "HTTP/1.1 200 OK\r\nRequest-Id: own\r\n\r\n"},
	"truncated length":          {answer: "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 99\r\n\r\npart of", hasFraming: true},
	"truncated chunks":          {answer: "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n7\r\npart of\r\n", hasFraming: true},
	"truncated head":            {answer: "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nServer-St", hasFraming: true},
	"answer to another request": {answer: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\npart of", hasFraming: true},
}

// uploadLengths are the lengths of requests: written before the answer is read, held by the buffers of the sockets,
// and longer than those.
var uploadLengths = map[string]int{"4 KB": 4 << 10, "100 KB": 100 << 10, "1 MB": 1 << 20, "4 MB": 4 << 20}

// readTimes say when the body of an answer is read: as it arrives, or only when the server has ended the connection.
var readTimes = map[string]bool{"read at once": false, "read late": true}

// uploadReader sends a request of the length and reads the body of the answer, which it begins when wait returns.
type uploadReader func(p *Pool, address string, length int, wait func()) (body string, err error)

var forwardUpload uploadReader = func(p *Pool, address string, length int, wait func()) (string, error) {
	request := newTestRequest(address)
	request.Data = fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
	request.Data = append(request.Data, make([]byte, length)...)
	r, err := p.Forward(context.Background(), request)
	if err != nil {
		return "", err
	}
	return readAfter(r, wait)
}

var openUpload uploadReader = func(p *Pool, address string, length int, wait func()) (string, error) {
	request, response := newFasthttpUpload(address, length)
	x, err := p.Open(context.Background(), request, response)
	if err != nil {
		return "", err
	}
	return readAfter(x, wait)
}

// openAnswer is an answer whose body may still be arriving.
type openAnswer interface {
	io.Reader
	Close()
}

// readAfter reads the body of the answer when wait has returned.
func readAfter(answer openAnswer, wait func()) (string, error) {
	defer answer.Close()
	wait()
	body, err := io.ReadAll(answer)
	return string(body), err
}

var doUpload uploadReader = func(p *Pool, address string, length int, _ func()) (string, error) {
	request, response := newFasthttpUpload(address, length)
	err := p.Do(context.Background(), request, response)
	return string(response.Body()), err
}

func newFasthttpUpload(address string, length int) (*fasthttp.Request, *fasthttp.Response) {
	request, response := new(fasthttp.Request), new(fasthttp.Response)
	request.SetRequestURI("http://" + address + "/")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(make([]byte, length))
	return request, response
}

// writeTimeout is the stall timeout of the tests' pools. An answer that waits for it is too late.
const writeTimeout = time.Minute

// readEarly reads an early answer with a new pool. It checks that the pool doesn't keep the connection.
func readEarly(c *qt.C, read uploadReader, early faultserver.Early, length int, isLate bool) (body string, err error) {
	early.Clock = clock.Real()
	server, err := early.Listen()
	c.Assert(err, qt.IsNil)
	defer server.Close()
	p := newTestPool()
	p.StallTimeout = writeTimeout
	body, err = read(p, server.Address(), length, func() {
		// The time in which the end of the connection arrives.
		const arrival = 10 * time.Millisecond
		if isLate {
			<-server.Ended()
			clock.Real().Sleep(arrival)
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Check(p.byAddress[server.Address()], qt.IsNil)
	return body, err
}

// TestResetDuringUpload guards against a truncated answer that counts as complete, since the write of the request
// and not the read of the answer has noticed that the connection was reset.
func TestResetDuringUpload(t *testing.T) {
	// Without the check of the write, the fault showed in more than half of the repetitions of long uploads.
	const repetitions = 4
	pauses := []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond}
	readers := map[string]uploadReader{"forward": forwardUpload, "open": openUpload, "do": doUpload}
	for name, early := range earlyAnswers {
		for lengthName, length := range uploadLengths {
			for readerName, read := range readers {
				for readTime, isLate := range readTimes {
					t.Run(strings.Join([]string{name, lengthName, readerName, readTime}, ", "), func(t *testing.T) {
						t.Parallel()
						c := qt.New(t)
						for i := range repetitions * len(pauses) {
							pause := pauses[i%len(pauses)]
							body, err := readEarly(c, read, faultserver.Early{Answer: early.answer, End: faultserver.Reset, Pause: pause}, length, isLate)
							c.Check(err, qt.IsNotNil, qt.Commentf("reset after %s: %q", pause, body))
						}
					})
				}
			}
		}
	}
}

// TestHalfCloseDuringUpload guards against a complete answer that is lost, or that comes late, since the server has
// ended its side of the connection before the request was written.
func TestHalfCloseDuringUpload(t *testing.T) {
	const repetitions = 2
	pauses := []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond}
	ends := map[string]faultserver.ConnEnd{
		"reads the rest": faultserver.HalfClose, "reads nothing more": faultserver.HalfCloseSilent, "resets later": faultserver.HalfCloseReset,
	}
	for name, early := range earlyAnswers {
		if early.hasFraming {
			continue
		}
		for lengthName, length := range uploadLengths {
			for endName, end := range ends {
				for readTime, isLate := range readTimes {
					t.Run(strings.Join([]string{name, lengthName, endName, readTime}, ", "), func(t *testing.T) {
						t.Parallel()
						c := qt.New(t)
						for i := range repetitions * len(pauses) {
							pause := pauses[i%len(pauses)]
							started := clock.Real().Now()
							body, err := readEarly(c, forwardUpload, faultserver.Early{Answer: early.answer, End: end, Pause: pause}, length, isLate)
							c.Check(err, qt.IsNil, qt.Commentf("end after %s", pause))
							c.Check(body, qt.Equals, early.body)
							c.Check(clock.Real().Since(started) < writeTimeout/2, qt.IsTrue)
						}
					})
				}
			}
		}
	}
}
