// Package load generates the load of an experiment: it sends the requests of a
// scenario to daemons or to one engine, retries like a caller, and records the
// results and latencies from the callers' point of view.
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

// NoAnswer is the code of an attempt whose connection failed before any answer. It
// is not a result code of the daemon.
const NoAnswer code.Code = 0

const (
	// answerTimeout limits the time to read an answer and the time to write a
	// request.
	answerTimeout = 30 * time.Second
	dialTimeout   = time.Second
	maxConns      = 4096
	maxLineBytes  = 64 << 10
)

// attempt is the result of sending a request once.
type attempt struct {
	code         code.Code
	outcome      code.Outcome
	started      bool
	complete     bool
	firstTokenAt time.Time
	endedAt      time.Time
	tokenGaps    []time.Duration
	tokens       int
	retryAfter   time.Duration
}

// client sends single attempts.
type client struct {
	http *fasthttp.Client
	clk  clock.Clock
}

func newClient(clk clock.Clock) *client {
	return &client{clk: clk, http: &fasthttp.Client{
		StreamResponseBody: true, MaxConnsPerHost: maxConns, ReadTimeout: answerTimeout, WriteTimeout: answerTimeout,
		MaxIdleConnDuration: 10 * time.Second, NoDefaultUserAgentHeader: true,
		Dial: func(address string) (c netConn, err error) { return fasthttp.DialTimeout(address, dialTimeout) },
		// Generator decides on retries.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// send sends a request once and reads the answer to its end.
func (c *client) send(address string, scheduled *scenario.Request) attempt {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + scheduled.Path)
	request.Header.SetContentType("application/json")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+scheduled.APIKey)
	if scheduled.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", string(scheduled.IdempotencyKey))
	} else {
		request.Header.Set("X-Priority", strconv.Itoa(int(scheduled.Priority)))
	}
	request.SetBodyRaw(scheduled.Body)
	if err := c.http.Do(request, response); err != nil {
		return c.connectionFailure(err)
	}
	defer func() { _ = response.CloseBodyStream() }()
	if response.StatusCode() != fasthttp.StatusOK {
		return c.readRefusal(response)
	}
	if scheduled.Kind == scenario.ServiceCall {
		return c.readCall(response)
	}
	return c.readStream(response)
}

// connectionFailure returns the attempt for a failed connection. Only if the dial
// failed is it certain that nothing ran.
func (c *client) connectionFailure(err error) attempt {
	a := attempt{code: NoAnswer, outcome: code.Unknown, endedAt: c.clk.Now()}
	if errors.Is(err, fasthttp.ErrDialTimeout) || isDialError(err) {
		a.outcome = code.NotRun
	}
	return a
}

// readCall reads the answer to a service call.
func (c *client) readCall(response *fasthttp.Response) attempt {
	a := attempt{code: code.Answered, outcome: code.Ran, started: true, complete: true}
	if len(response.Body()) == 0 {
		a.code, a.complete = code.CutOff, false
	}
	a.endedAt = c.clk.Now()
	a.firstTokenAt = a.endedAt
	return a
}

// errorBody is the error object of a refusal or of an error event.
type errorBody struct {
	Error struct {
		Code    code.Code    `json:"code"`
		Outcome code.Outcome `json:"outcome"`
	} `json:"error"`
}

// readRefusal reads a response whose HTTP status is not 200.
func (c *client) readRefusal(response *fasthttp.Response) attempt {
	a := attempt{code: code.Code(response.StatusCode()), outcome: code.Unknown}
	a.setError(response.Body())
	if seconds, err := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter))); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	a.endedAt = c.clk.Now()
	return a
}

// setError copies the code and the outcome from the body, if the body is an error object.
func (a *attempt) setError(body []byte) {
	var parsed errorBody
	if json.Unmarshal(body, &parsed) == nil && parsed.Error.Code != 0 {
		a.code, a.outcome = parsed.Error.Code, parsed.Error.Outcome
	}
}

var (
	dataPrefix   = []byte("data: ")
	errorEvent   = []byte("event: error")
	doneData     = []byte("[DONE]")
	contentField = []byte(`"content":"`)
)

// readStream reads a stream to its end and records the times of the tokens. A
// stream without an end marker was cut off.
func (c *client) readStream(response *fasthttp.Response) attempt {
	a := attempt{code: code.CutOff, outcome: code.Unknown, started: true}
	reader := bufio.NewReaderSize(response.BodyStream(), maxLineBytes)
	inErrorEvent := false
	var lastTokenAt time.Time
	for !a.complete {
		line, err := reader.ReadSlice('\n')
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
			a.code, a.outcome, a.complete = code.Answered, code.Ran, true
		case hasContent(data):
			now := c.clk.Now()
			if a.tokens++; a.tokens == 1 {
				a.firstTokenAt = now
			} else {
				a.tokenGaps = append(a.tokenGaps, now.Sub(lastTokenAt))
			}
			lastTokenAt = now
		}
	}
	a.endedAt = c.clk.Now()
	if a.complete {
		// Reads to the end of the body, so that the connection can be reused.
		_, _ = reader.ReadByte()
	}
	return a
}

// hasContent reports whether a stream event contains generated text.
func hasContent(data []byte) bool {
	start := bytes.Index(data, contentField)
	after := start + len(contentField)
	return start >= 0 && after < len(data) && data[after] != '"'
}
