package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

// Headers by which a request names the replica that it is meant for and the
// engine names the one that answers.
const (
	headerReplica  = "X-Replica"
	headerEpoch    = "X-Epoch"
	headerVersion  = "X-Version"
	headerPriority = "X-Priority"
	headerRequest  = "X-Request-Id"
)

// Send sends the request to the endpoint and passes its answer to the sink.
//
// Errors carry code.EndpointUnreachable, Overloaded, EndpointRejected,
// EndpointFailed, ForeignAnswer, CutOff or MalformedBody, or are the sink's.
func (c *Client) Send(ctx context.Context, e *table.Endpoint, r *work.Request, sent work.Sent, s work.Sink) error {
	if r.MaxTokens > 0 && sent.Tokens >= r.MaxTokens {
		// Only the end of the answer was lost. An engine can't be asked
		// for no tokens, and one more would be beyond the limit.
		return s.End(work.End{Finish: "length"})
	}
	path, err := c.path(r.Operation)
	if err != nil {
		return err
	}
	body, err := upstream(r, sent)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.address(request, e, r, path)
	if sent.Text != "" && r.Operation == work.Completion {
		request.Header.Set(headerResume, strconv.Itoa(len(sent.Text)))
	}
	request.SetBodyRaw(body)

	if err := do(ctx, c.stream, request, response); err != nil {
		return failure(err, e.Address)
	}
	// Closing a stream that was not read to its end closes the connection,
	// which cancels the run at the engine.
	defer func() { _ = response.CloseBodyStream() }()
	if err := checkStatus(response, e); err != nil {
		return err
	}
	if err := s.Start(work.Head{Endpoint: e.ID}); err != nil {
		return err
	}
	if err := read(ctx, response, e, r, s); err != nil {
		return err
	}
	c.finish(response)
	return nil
}

// finishWait bounds the wait for the end of a body whose answer is whole. The
// end usually comes with the last event or right behind it.
const finishWait = 20 * time.Millisecond

// finish reads the body to its end, without which the connection can't be used
// for another request.
func (c *Client) finish(response *fasthttp.Response) {
	body, streamed := response.BodyStream().(fasthttp.ReadCloserWithError)
	if !streamed {
		return
	}
	timer := c.clock.AfterFunc(finishWait, func() { _ = body.CloseWithError(context.DeadlineExceeded) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, body)
}

// address sets the request's line and header.
func (c *Client) address(request *fasthttp.Request, e *table.Endpoint, r *work.Request, path string) {
	request.SetRequestURI(url(e.Address, path))
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(headerReplica, string(e.Replica))
	request.Header.Set(headerEpoch, strconv.FormatUint(uint64(e.Epoch), 10))
	request.Header.Set(headerVersion, string(e.Version))
	request.Header.Set(headerPriority, strconv.Itoa(int(r.Priority)))
	request.Header.Set(headerRequest, string(r.ID))
}

// checkStatus gives an answer that is not a run of the asked replica its code.
func checkStatus(response *fasthttp.Response, e *table.Endpoint) error {
	status := response.StatusCode()
	switch {
	case status == fasthttp.StatusConflict:
		return code.WithOutcome(code.ForeignAnswer.New("endpoint %s: it is not replica %s at epoch %d", e.ID, e.Replica, e.Epoch), code.NotRun)
	case status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable:
		return code.Overloaded.New("endpoint %s: status %d: %s", e.ID, status, bodyExcerpt(response))
	case status >= fasthttp.StatusInternalServerError:
		return code.EndpointFailed.New("endpoint %s: status %d: %s", e.ID, status, bodyExcerpt(response))
	case status != fasthttp.StatusOK:
		return code.EndpointRejected.New("endpoint %s: status %d: %s", e.ID, status, bodyExcerpt(response))
	}
	return checkEcho(response, e)
}

// checkEcho compares the replica that answers with the one that was asked. An
// engine that echoes nothing is taken at its word; the reports decide then.
func checkEcho(response *fasthttp.Response, e *table.Endpoint) error {
	replica := string(response.Header.Peek(headerReplica))
	epoch := string(response.Header.Peek(headerEpoch))
	if replica == "" && epoch == "" {
		return nil
	}
	if ident.Replica(replica) != e.Replica || epoch != strconv.FormatUint(uint64(e.Epoch), 10) {
		return code.ForeignAnswer.New("endpoint %s: asked replica %s at epoch %d, got an answer of %q at %q", e.ID, e.Replica, e.Epoch, replica, epoch)
	}
	return nil
}

func bodyExcerpt(response *fasthttp.Response) string {
	const limit = 4096
	stream := response.BodyStream()
	if stream == nil {
		return excerpt(response.Body())
	}
	body, _ := io.ReadAll(io.LimitReader(stream, limit))
	return excerpt(body)
}

// read passes the answer to the sink.
func read(ctx context.Context, response *fasthttp.Response, e *table.Endpoint, r *work.Request, s work.Sink) error {
	stream := response.BodyStream()
	if stream == nil {
		stream = bytes.NewReader(response.Body())
	}
	if !r.Stream && !r.Resumable {
		return readWhole(stream, e, s)
	}
	return readEvents(ctx, stream, e, r, s)
}

// readWhole passes on an answer that is not streamed.
func readWhole(stream io.Reader, e *table.Endpoint, s work.Sink) error {
	body, err := io.ReadAll(stream)
	if err != nil {
		return failure(err, e.Address)
	}
	if !json.Valid(body) {
		return code.CutOff.New("endpoint %s: its answer ended after %d bytes that are not whole JSON", e.ID, len(body))
	}
	if err := s.Piece(work.Piece{Raw: body}); err != nil {
		return err
	}
	return s.End(work.End{})
}

// chunk is an event of a streamed answer.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text   string `json:"text"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt    unit.Tokens `json:"prompt_tokens"`
		Generated unit.Tokens `json:"completion_tokens"`
		Details   struct {
			Cached unit.Tokens `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
	nullValue  = []byte("null")
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// readEvents passes on a stream of server-sent events. Only the end marker
// ends it; a stream that closes without one was cut off.
func readEvents(ctx context.Context, stream io.Reader, e *table.Endpoint, r *work.Request, s work.Sink) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, 4096), maxEvent)
	var end work.End
	for lines.Scan() {
		if err := ctx.Err(); err != nil {
			return failure(err, e.Address)
		}
		data, found := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return s.End(end)
		}
		if err := event(data, e, r, s, &end); err != nil {
			return err
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return failure(err, e.Address)
}

func event(data []byte, e *table.Endpoint, r *work.Request, s work.Sink, end *work.End) error {
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil {
		return code.CutOff.Wrap(err, "endpoint %s: malformed event in its stream", e.ID)
	}
	if len(ch.Error) > 0 && !bytes.Equal(ch.Error, nullValue) {
		return code.CutOff.New("endpoint %s: error in its stream: %s", e.ID, excerpt(ch.Error))
	}
	if u := ch.Usage; u != nil {
		end.Usage = work.Usage{Prompt: u.Prompt, Generated: u.Generated, Cached: u.Details.Cached}
	}
	if !r.Resumable {
		return s.Piece(work.Piece{Raw: bytes.Clone(data), Tokens: 1})
	}
	for _, choice := range ch.Choices {
		if choice.Finish != "" {
			end.Finish = choice.Finish
		}
		if text := choice.Delta.Content + choice.Text; text != "" {
			if err := s.Piece(work.Piece{Text: text, Tokens: 1}); err != nil {
				return err
			}
		}
	}
	return nil
}
