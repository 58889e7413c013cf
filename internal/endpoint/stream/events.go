package stream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

// Reader passes one answer to a sink.
type Reader struct {
	Endpoint *table.Endpoint
	Request  *work.Request
	Sink     work.Sink
	// EventError gives an error event of the stream its code; nil stands for
	// code.CutOff.
	EventError func(event []byte) error

	exchange *Exchange
}

// Read passes the answer to the sink.
//
// Errors carry code.CutOff or that of Fault, or are the sink's.
func (d *Reader) Read(ctx context.Context, x *Exchange) error {
	if !d.Request.Stream && !d.Request.Resumable {
		return d.readJSON(x)
	}
	d.exchange = x
	return d.readEvents(ctx, x)
}

// readJSON passes on an answer that is not streamed.
func (d *Reader) readJSON(body io.Reader) error {
	raw, err := io.ReadAll(body)
	if err != nil {
		return ErrorWithCode(err, d.Endpoint.Address)
	}
	if !json.Valid(raw) {
		return code.CutOff.New("endpoint %s: its answer ended after %d bytes that are not whole JSON", d.Endpoint.ID, len(raw))
	}
	if err := d.Sink.Chunk(work.Chunk{Raw: raw}); err != nil {
		return err
	}
	return d.Sink.End(work.End{})
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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// readEvents passes on a stream of server-sent events. Only the end marker
// ends it; a stream that closes without one was cut off.
func (d *Reader) readEvents(ctx context.Context, body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var end work.End
	for lines.Scan() {
		if err := ctx.Err(); err != nil {
			return ErrorWithCode(err, d.Endpoint.Address)
		}
		data, found := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return d.Sink.End(end)
		}
		if err := d.handleEvent(data, &end); err != nil {
			// The scanner gives the start of a line before a read's error.
			if cause := lines.Err(); cause != nil {
				return ErrorWithCode(cause, d.Endpoint.Address)
			}
			return err
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return ErrorWithCode(err, d.Endpoint.Address)
}

func (d *Reader) handleEvent(data []byte, end *work.End) error {
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return code.CutOff.Wrap(err, "endpoint %s: malformed event in its stream", d.Endpoint.ID)
	}
	if len(event.Error) > 0 && !bytes.Equal(event.Error, nullValue) {
		if d.EventError != nil {
			return d.EventError(data)
		}
		return code.CutOff.New("endpoint %s: error in its stream: %s", d.Endpoint.ID, Excerpt(event.Error))
	}
	if u := event.Usage; u != nil {
		end.Usage = work.Usage{Prompt: u.Prompt, Generated: u.Generated, Cached: u.Details.Cached}
	}
	d.noteFirstToken(&event)
	if !d.Request.Resumable {
		return d.Sink.Chunk(work.Chunk{Raw: bytes.Clone(data), Tokens: 1})
	}
	for _, choice := range event.Choices {
		if choice.Finish != "" {
			end.FinishReason = choice.Finish
		}
		if text := choice.Delta.Content + choice.Text; text != "" {
			if err := d.Sink.Chunk(work.Chunk{Text: text, Tokens: 1}); err != nil {
				return err
			}
		}
	}
	return nil
}

// noteFirstToken shortens the limit of silence once the event has a token. An event
// without text, such as the one that names the role, may come before the prompt
// was computed.
func (d *Reader) noteFirstToken(event *streamEvent) {
	if d.exchange == nil {
		return
	}
	for _, choice := range event.Choices {
		if choice.Delta.Content != "" || choice.Text != "" {
			d.exchange.useTokenTimeout()
			return
		}
	}
}
