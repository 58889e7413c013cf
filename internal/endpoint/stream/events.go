package stream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/route/table"
)

// Reader reads one answer and forwards it to a sink.
type Reader struct {
	Endpoint *table.Endpoint
	Request  *work.Request
	Sink     work.Sink
	// EventError returns the error for an error event of the stream. If
	// EventError is nil, the error carries code.CutOff.
	EventError func(event []byte) error

	exchange *Exchange
}

// Read forwards the answer to the sink.
//
// Errors carry code.CutOff or code.Stalled, or come from EventError or the
// sink.
func (r *Reader) Read(ctx context.Context, exchange *Exchange) error {
	if !r.Request.Stream && !r.Request.Resumable {
		return r.readJSON(exchange)
	}
	r.exchange = exchange
	return r.readEvents(ctx, exchange)
}

// readJSON forwards an answer that is not streamed.
func (r *Reader) readJSON(body io.Reader) error {
	memory := r.memory()
	raw, err := budget.ReadReply(memory, body, -1, maxReplyBytes)
	if err != nil {
		return readError(err, r.Endpoint.Address)
	}
	defer memory.Release(unit.Bytes(cap(raw)))
	if !json.Valid(raw) {
		return code.CutOff.New("endpoint %s: the answer of %d bytes is not valid JSON", r.Endpoint.ID, len(raw))
	}
	if err := r.Sink.Chunk(work.Chunk{Raw: raw}); err != nil {
		return err
	}
	return r.Sink.End(work.End{})
}

// streamEvent is an event of a streamed answer.
type streamEvent struct {
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

// readEvents forwards a stream of server-sent events. A stream is complete only
// if it ends with the end marker.
func (r *Reader) readEvents(ctx context.Context, body io.Reader) error {
	lines := newLineReader(body, r.memory())
	var end work.End
	for {
		line, readErr := lines.next()
		if errors.Is(readErr, io.EOF) {
			readErr = io.ErrUnexpectedEOF
		}
		if err := ctx.Err(); err != nil {
			return ErrorWithCode(err, r.Endpoint.Address)
		}
		if data, found := bytes.CutPrefix(line, dataPrefix); found {
			data = bytes.TrimSpace(data)
			if bytes.Equal(data, doneMarker) {
				return r.Sink.End(end)
			}
			err := r.handleEvent(data, &end)
			if err != nil && (readErr == nil || errors.Is(readErr, io.ErrUnexpectedEOF)) {
				return err
			}
		}
		if readErr != nil {
			return readError(readErr, r.Endpoint.Address)
		}
	}
}

// memoryHolder is a sink that knows what the answer holds.
type memoryHolder interface {
	ReplyMemory() *budget.Reply
}

// memory returns what the answer holds, nil if that has no limit.
func (r *Reader) memory() *budget.Reply {
	if h, ok := r.Sink.(memoryHolder); ok {
		return h.ReplyMemory()
	}
	return nil
}

// readError returns the error of a read with its result code.
func readError(err error, address string) error {
	if errors.Is(err, budget.ErrRepliesFull) {
		return code.RepliesFull.Wrap(err, "endpoint at %s", address)
	}
	return ErrorWithCode(err, address)
}

func (r *Reader) handleEvent(data []byte, end *work.End) error {
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return code.CutOff.Wrap(err, "endpoint %s: malformed event in the stream", r.Endpoint.ID)
	}
	if len(event.Error) > 0 && !bytes.Equal(event.Error, nullValue) {
		if r.EventError != nil {
			return r.EventError(data)
		}
		return code.CutOff.New("endpoint %s: error event in the stream: %s", r.Endpoint.ID, Excerpt(event.Error))
	}
	if u := event.Usage; u != nil {
		end.Usage = work.Usage{Prompt: u.Prompt, Generated: u.Generated, Cached: u.Details.Cached}
	}
	r.updateStallTimeout(&event)
	if !r.Request.Resumable {
		return r.Sink.Chunk(work.Chunk{Raw: bytes.Clone(data), Tokens: 1})
	}
	for _, choice := range event.Choices {
		if choice.Finish != "" {
			end.FinishReason = choice.Finish
		}
		if text := choice.Delta.Content + choice.Text; text != "" {
			if err := r.Sink.Chunk(work.Chunk{Text: text, Tokens: 1}); err != nil {
				return err
			}
		}
	}
	return nil
}

// updateStallTimeout switches to the shorter stall timeout once an event has a
// token. An event without text, such as the event with the role, may arrive
// before the engine has computed the prompt.
func (r *Reader) updateStallTimeout(event *streamEvent) {
	if r.exchange == nil {
		return
	}
	for _, choice := range event.Choices {
		if choice.Delta.Content != "" || choice.Text != "" {
			r.exchange.useTokenTimeout()
			return
		}
	}
}
