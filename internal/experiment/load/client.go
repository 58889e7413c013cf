// Package load sends generated traffic to daemons or to one engine and records
// what the callers see.
package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/kernel/clock"
)

// NoAnswer is the code of an attempt whose connection failed before any
// answer; it isn't a result code of the daemon.
const NoAnswer code.Code = 0

const (
	// answerLimit bounds an attempt.
	answerLimit = 30 * time.Second
	dialLimit   = time.Second
	maxConns    = 4096
	maxLine     = 64 << 10
)

// attempt is one attempt of a request.
type attempt struct {
	code       code.Code
	outcome    code.Outcome
	begun      bool
	whole      bool
	first      time.Time
	end        time.Time
	gaps       []time.Duration
	tokens     int
	retryAfter time.Duration
}

// client is a caller.
type client struct {
	http  *fasthttp.Client
	clock clock.Clock
}

func newClient(clk clock.Clock) *client {
	return &client{clock: clk, http: &fasthttp.Client{
		StreamResponseBody: true, MaxConnsPerHost: maxConns, ReadTimeout: answerLimit, WriteTimeout: answerLimit,
		MaxIdleConnDuration: 10 * time.Second, NoDefaultUserAgentHeader: true,
		Dial: func(address string) (c netConn, err error) { return fasthttp.DialTimeout(address, dialLimit) },
		// The caller decides on each repetition.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// send makes one attempt.
func (c *client) send(address string, q *scenario.Request) attempt {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + q.Path)
	request.Header.SetContentType("application/json")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+q.Bearer)
	if q.Key != "" {
		request.Header.Set("Idempotency-Key", string(q.Key))
	} else {
		request.Header.Set("X-Priority", strconv.Itoa(int(q.Priority)))
	}
	request.SetBodyRaw(q.Body)
	if err := c.http.Do(request, response); err != nil {
		return c.unanswered(err)
	}
	defer func() { _ = response.CloseBodyStream() }()
	if response.StatusCode() != fasthttp.StatusOK {
		return c.refusal(response)
	}
	if q.Kind == scenario.Call {
		return c.reply(response)
	}
	return c.read(response)
}

// unanswered describes a connection that failed. Only a failed dial is known
// not to have run anything.
func (c *client) unanswered(err error) attempt {
	a := attempt{code: NoAnswer, outcome: code.Unknown, end: c.clock.Now()}
	if errors.Is(err, fasthttp.ErrDialTimeout) || isDial(err) {
		a.outcome = code.NotRun
	}
	return a
}

func (c *client) reply(response *fasthttp.Response) attempt {
	a := attempt{code: code.Answered, outcome: code.Ran, begun: true, whole: true}
	if len(response.Body()) == 0 {
		a.code, a.whole = code.CutOff, false
	}
	a.end = c.clock.Now()
	a.first = a.end
	return a
}

type fault struct {
	Error struct {
		Code    code.Code    `json:"code"`
		Outcome code.Outcome `json:"outcome"`
	} `json:"error"`
}

func (c *client) refusal(response *fasthttp.Response) attempt {
	a := attempt{code: code.Code(response.StatusCode()), outcome: code.Unknown}
	a.note(response.Body())
	if seconds, err := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter))); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	a.end = c.clock.Now()
	return a
}

func (a *attempt) note(body []byte) {
	var f fault
	if json.Unmarshal(body, &f) == nil && f.Error.Code != 0 {
		a.code, a.outcome = f.Error.Code, f.Error.Outcome
	}
}

var (
	dataPrefix  = []byte("data: ")
	errorEvent  = []byte("event: error")
	doneMark    = []byte("[DONE]")
	contentMark = []byte(`"content":"`)
)

// read reads a stream to its end and notes the time of each token. A stream
// without an end marker was cut off.
func (c *client) read(response *fasthttp.Response) attempt {
	a := attempt{code: code.CutOff, outcome: code.Unknown, begun: true}
	lines := bufio.NewReaderSize(response.BodyStream(), maxLine)
	failing := false
	var last time.Time
	for !a.whole {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			break
		}
		line = bytes.TrimRight(line, "\r\n")
		data, isData := bytes.CutPrefix(line, dataPrefix)
		switch {
		case bytes.Equal(line, errorEvent):
			failing = true
		case !isData:
		case failing:
			a.note(data)
		case bytes.Equal(data, doneMark):
			a.code, a.outcome, a.whole = code.Answered, code.Ran, true
		case hasContent(data):
			now := c.clock.Now()
			if a.tokens++; a.tokens == 1 {
				a.first = now
			} else {
				a.gaps = append(a.gaps, now.Sub(last))
			}
			last = now
		}
	}
	a.end = c.clock.Now()
	if a.whole {
		// Reads the end of the body, so that the connection can be used again.
		_, _ = lines.ReadByte()
	}
	return a
}

func hasContent(data []byte) bool {
	at := bytes.Index(data, contentMark)
	after := at + len(contentMark)
	return at >= 0 && after < len(data) && data[after] != '"'
}
