package httpcall

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
)

// ErrorObject is the error object of the OpenAI protocol with the outcome
// added. Code is the number of the result code, and Type its name.
type ErrorObject struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    code.Code    `json:"code"`
	Outcome code.Outcome `json:"outcome"`
}

type errorBody struct {
	Error ErrorObject `json:"error"`
}

// NewErrorObject returns the error object that describes the error to a caller.
func NewErrorObject(err error) ErrorObject {
	c := code.Of(err)
	return ErrorObject{
		Message: code.Message(err),
		Type:    c.Spec().Name,
		Code:    c,
		Outcome: code.OutcomeOf(err),
	}
}

// EncodeError returns the error object as JSON, for the body of a response or
// an event of a stream.
func EncodeError(err error) []byte {
	body, encodeErr := json.Marshal(errorBody{NewErrorObject(err)})
	if encodeErr != nil {
		// Encoding a struct of strings and a number cannot fail.
		panic(encodeErr)
	}
	return body
}

// defaultRetryAfter is the Retry-After of an error that allows a retry but
// states no time.
const defaultRetryAfter = time.Second

// firstRetryable and lastRetryable bound the codes of requests that were not
// run and may be sent again.
const (
	firstRetryable code.Code = 3000
	lastRetryable  code.Code = 3999
)

// WriteError replaces the response by the error: the status of its code, the
// body of EncodeError, and Retry-After in whole seconds if the caller may
// retry.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	c := code.Of(err)
	ctx.Response.Reset()
	status := c.Spec().Status
	if status == 0 {
		status = fasthttp.StatusInternalServerError
	}
	ctx.Response.SetStatusCode(status)
	ctx.Response.Header.SetContentType("application/json")
	if after := retryAfter(err, c); after > 0 {
		seconds := (after + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	ctx.Response.SetBody(EncodeError(err))
}

func retryAfter(err error, c code.Code) time.Duration {
	if after := code.RetryAfter(err); after > 0 {
		return after
	}
	if c >= firstRetryable && c <= lastRetryable {
		return defaultRetryAfter
	}
	return 0
}

// WriteJSON writes the value as a JSON response.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		WriteError(ctx, code.Internal.Wrap(err, "response of %s: cannot encode", ctx.Path()))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
