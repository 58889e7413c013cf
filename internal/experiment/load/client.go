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
	// answerTimeout bounds an attempt.
	answerTimeout = 30 * time.Second
	dialTimeout   = time.Second
	maxConns      = 4096
	maxLineBytes  = 64 << 10
)

// attempt is one attempt of a request.
type attempt struct {
	code         code.Code
	outcome      code.Outcome
	begun        bool
	whole        bool
	firstTokenAt time.Time
	endedAt      time.Time
	gaps         []time.Duration
	tokens       int
	retryAfter   time.Duration
}

// client is a caller.
type client struct {
	http  *fasthttp.Client
	clock clock.Clock
}

func newClient(clk clock.Clock) *client {
	return &client{clock: clk, http: &fasthttp.Client{
		StreamResponseBody: true, MaxConnsPerHost: maxConns, ReadTimeout: answerTimeout, WriteTimeout: answerTimeout,
		MaxIdleConnDuration: 10 * time.Second, NoDefaultUserAgentHeader: true,
		Dial: func(address string) (c netConn, err error) { return fasthttp.DialTimeout(address, dialTimeout) },
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
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+q.APIKey)
	if q.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", string(q.IdempotencyKey))
	} else {
		request.Header.Set("X-Priority", strconv.Itoa(int(q.Priority)))
	}
	request.SetBodyRaw(q.Body)
	if err := c.http.Do(request, response); err != nil {
		return c.connectionFailure(err)
	}
	defer func() { _ = response.CloseBodyStream() }()
	if response.StatusCode() != fasthttp.StatusOK {
		return c.readRefusal(response)
	}
	if q.Kind == scenario.Call {
		return c.readCall(response)
	}
	return c.readStream(response)
}

// connectionFailure describes a connection that failed. Only a failed dial is known
// not to have run anything.
func (c *client) connectionFailure(err error) attempt {
	a := attempt{code: NoAnswer, outcome: code.Unknown, endedAt: c.clock.Now()}
	if errors.Is(err, fasthttp.ErrDialTimeout) || isDialError(err) {
		a.outcome = code.NotRun
	}
	return a
}

func (c *client) readCall(response *fasthttp.Response) attempt {
	a := attempt{code: code.Answered, outcome: code.Ran, begun: true, whole: true}
	if len(response.Body()) == 0 {
		a.code, a.whole = code.CutOff, false
	}
	a.endedAt = c.clock.Now()
	a.firstTokenAt = a.endedAt
	return a
}

type errorBody struct {
	Error struct {
		Code    code.Code    `json:"code"`
		Outcome code.Outcome `json:"outcome"`
	} `json:"error"`
}

func (c *client) readRefusal(response *fasthttp.Response) attempt {
	a := attempt{code: code.Code(response.StatusCode()), outcome: code.Unknown}
	a.setError(response.Body())
	if seconds, err := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter))); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	a.endedAt = c.clock.Now()
	return a
}

func (a *attempt) setError(body []byte) {
	var f errorBody
	if json.Unmarshal(body, &f) == nil && f.Error.Code != 0 {
		a.code, a.outcome = f.Error.Code, f.Error.Outcome
	}
}

var (
	dataPrefix   = []byte("data: ")
	errorEvent   = []byte("event: error")
	doneData     = []byte("[DONE]")
	contentField = []byte(`"content":"`)
)

// readStream reads a stream to its end and notes the time of each token. A stream
// without an end marker was cut off.
func (c *client) readStream(response *fasthttp.Response) attempt {
	a := attempt{code: code.CutOff, outcome: code.Unknown, begun: true}
	lines := bufio.NewReaderSize(response.BodyStream(), maxLineBytes)
	inErrorEvent := false
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
			inErrorEvent = true
		case !isData:
		case inErrorEvent:
			a.setError(data)
		case bytes.Equal(data, doneData):
			a.code, a.outcome, a.whole = code.Answered, code.Ran, true
		case hasContent(data):
			now := c.clock.Now()
			if a.tokens++; a.tokens == 1 {
				a.firstTokenAt = now
			} else {
				a.gaps = append(a.gaps, now.Sub(last))
			}
			last = now
		}
	}
	a.endedAt = c.clock.Now()
	if a.whole {
		// Reads the end of the body, so that the connection can be used again.
		_, _ = lines.ReadByte()
	}
	return a
}

func hasContent(data []byte) bool {
	start := bytes.Index(data, contentField)
	after := start + len(contentField)
	return start >= 0 && after < len(data) && data[after] != '"'
}
