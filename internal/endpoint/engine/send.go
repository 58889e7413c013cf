package engine

import (
	"context"
	"strconv"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/endpoint/stream"
	"cuminbay/internal/route/table"
)

// The header fields of requests and answers. In a request, X-Replica and X-Epoch
// name the replica that the daemon selected; in an answer, they name the replica
// that ran the request.
const (
	headerReplica  = "X-Replica"
	headerEpoch    = "X-Epoch"
	headerVersion  = "X-Version"
	headerPriority = "X-Priority"
	headerRequest  = "X-Request-Id"
	// headerResume is the number of characters at the end of a completion's prompt
	// that an earlier run generated.
	headerResume = "X-Resume-Chars"
)

// Send sends the request to the endpoint and forwards the answer to the sink.
//
// Errors carry code.EndpointUnreachable, Overloaded, EndpointRejected,
// EndpointFailed, ForeignAnswer, CutOff, Stalled or MalformedBody, or are errors
// of the sink.
func (c *Client) Send(ctx context.Context, e *table.Endpoint, r *work.Request, sent work.PartialAnswer, s work.Sink) error {
	path, err := c.operationPath(r.Operation)
	if err != nil {
		return err
	}
	body, err := stream.RequestBody(r, sent)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.setRequestHeader(request, e, r, path)
	setResumeHeader(request, r, sent)
	request.SetBodyRaw(body)

	exchange, err := c.requestPool.Open(ctx, request, response)
	if err != nil {
		return stream.ErrorWithCode(err, e.Address)
	}
	defer exchange.Close()
	if err := checkStatus(exchange, e); err != nil {
		return err
	}
	if err := s.Start(work.Head{Endpoint: e.ID}); err != nil {
		return err
	}
	if err := (&stream.Reader{Endpoint: e, Request: r, Sink: s}).Read(ctx, exchange); err != nil {
		return err
	}
	exchange.DrainBody()
	return nil
}

// setRequestHeader sets the request line and the header.
func (c *Client) setRequestHeader(request *fasthttp.Request, e *table.Endpoint, r *work.Request, path string) {
	request.SetRequestURI(requestURL(e.Address, path))
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(headerReplica, string(e.Replica))
	request.Header.Set(headerEpoch, strconv.FormatUint(uint64(e.Epoch), 10))
	request.Header.Set(headerVersion, string(e.Version))
	request.Header.Set(headerPriority, strconv.Itoa(int(r.Priority)))
	request.Header.Set(headerRequest, string(r.ID))
}

// setResumeHeader sets the header of a completion that is resumed.
func setResumeHeader(request *fasthttp.Request, r *work.Request, sent work.PartialAnswer) {
	if sent.Text != "" && r.Operation == work.Completion {
		request.Header.Set(headerResume, strconv.Itoa(utf8.RuneCountInString(sent.Text)))
	}
}

// checkStatus returns an error with a result code unless the status is 200 and
// the selected replica answered.
func checkStatus(exchange *stream.Exchange, e *table.Endpoint) error {
	status := exchange.Response.StatusCode()
	switch {
	case status == fasthttp.StatusConflict:
		return code.WithOutcome(code.ForeignAnswer.New("endpoint %s: the instance is not a member of replica %s at epoch %d", e.ID, e.Replica, e.Epoch), code.NotRun)
	case status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable:
		return code.Overloaded.New("endpoint %s: got status %d, expected 200: %s", e.ID, status, stream.Excerpt(exchange.BodyPrefix()))
	case status >= fasthttp.StatusInternalServerError:
		return code.EndpointFailed.New("endpoint %s: got status %d, expected 200: %s", e.ID, status, stream.Excerpt(exchange.BodyPrefix()))
	case status != fasthttp.StatusOK:
		return code.EndpointRejected.New("endpoint %s: got status %d, expected 200: %s", e.ID, status, stream.Excerpt(exchange.BodyPrefix()))
	}
	return checkAnsweringReplica(exchange.Response, e)
}

// checkAnsweringReplica compares the replica and epoch in the answer with the
// endpoint's replica and epoch. The header fields are optional; the daemon trusts
// an engine that sends no such fields until the engine's next report.
func checkAnsweringReplica(response *fasthttp.Response, e *table.Endpoint) error {
	replica := string(response.Header.Peek(headerReplica))
	epoch := string(response.Header.Peek(headerEpoch))
	if replica == "" && epoch == "" {
		return nil
	}
	if ident.Replica(replica) != e.Replica || epoch != strconv.FormatUint(uint64(e.Epoch), 10) {
		return code.ForeignAnswer.New("endpoint %s: expected an answer of replica %s at epoch %d, got replica %q at epoch %q", e.ID, e.Replica, e.Epoch, replica, epoch)
	}
	return nil
}
