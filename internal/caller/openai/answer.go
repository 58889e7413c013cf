package openai

import (
	"encoding/json"
	"strings"
	"time"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
)

// responseTemplate holds the fields that all objects of one answer share.
type responseTemplate struct {
	id        string
	operation work.Operation
	created   int64
	model     ident.Model
}

func newResponseTemplate(r *work.Request) responseTemplate {
	prefix := "chatcmpl-"
	if r.Operation == work.Completion {
		prefix = "cmpl-"
	}
	return responseTemplate{id: prefix + string(r.ID), operation: r.Operation, created: r.Received.Unix(), model: r.Model}
}

// responseObject is an answer that is not streamed, or one event of a streamed
// answer.
type responseObject struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   ident.Model `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *usage      `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Text    *string  `json:"text,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	Prompt    unit.Tokens  `json:"prompt_tokens"`
	Generated unit.Tokens  `json:"completion_tokens"`
	Total     unit.Tokens  `json:"total_tokens"`
	Details   usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	Cached unit.Tokens `json:"cached_tokens"`
}

func usageOf(u work.Usage) *usage {
	return &usage{u.Prompt, u.Generated, u.Prompt + u.Generated, usageDetails{u.Cached}}
}

func (t responseTemplate) newObject(name string, choices ...choice) responseObject {
	if choices == nil {
		choices = []choice{}
	}
	return responseObject{ID: t.id, Object: name, Created: t.created, Model: t.model, Choices: choices}
}

// eventObject returns an event with text, or with the finish reason.
func (t responseTemplate) eventObject(text string, finish *string) responseObject {
	if t.operation == work.Completion {
		return t.newObject("text_completion", choice{Text: &text, Finish: finish})
	}
	return t.newObject("chat.completion.chunk", choice{Delta: &message{Content: text}, Finish: finish})
}

// completeObject returns the answer to a request that is not streamed.
func (t responseTemplate) completeObject(text, finish string, u work.Usage) responseObject {
	c := choice{Finish: &finish, Text: &text}
	name := "text_completion"
	if t.operation == work.Chat {
		c = choice{Finish: &finish, Message: &message{Role: "assistant", Content: text}}
		name = "chat.completion"
	}
	o := t.newObject(name, c)
	o.Usage = usageOf(u)
	return o
}

// collectingSink is the sink of a request that is not streamed.
type collectingSink struct {
	template responseTemplate
	head     work.Head
	text     strings.Builder
	raw      []byte
	end      work.End
	ended    bool
}

// Start stores the head.
func (c *collectingSink) Start(h work.Head) error {
	c.head = h
	return nil
}

// Chunk appends the chunk to the answer.
func (c *collectingSink) Chunk(chunk work.Chunk) error {
	c.text.WriteString(chunk.Text)
	c.raw = append(c.raw, chunk.Raw...)
	return nil
}

// End marks the answer as complete.
func (c *collectingSink) End(e work.End) error {
	c.end = e
	c.ended = true
	return nil
}

// encodeBody returns the answer as JSON.
func (c *collectingSink) encodeBody() ([]byte, error) {
	if c.raw != nil {
		return c.raw, nil
	}
	return json.Marshal(c.template.completeObject(c.text.String(), c.end.FinishReason, c.end.Usage))
}

// streamSink is the sink of a streamed request. It writes events to a pipe, from
// which fasthttp reads the body of the response.
type streamSink struct {
	template     responseTemplate
	includeUsage bool
	// forwardsRaw says that the engine's events are forwarded unchanged, so
	// that the sink adds only the end marker.
	forwardsRaw bool
	started     chan<- startResult
	hasStarted  bool
	out         *pipe
	buffer      []byte
}

// Start allows the response to start.
func (s *streamSink) Start(h work.Head) error {
	s.hasStarted = true
	s.started <- startResult{head: h}
	if s.forwardsRaw || s.template.operation == work.Completion {
		return nil
	}
	first := s.template.newObject("chat.completion.chunk", choice{Delta: &message{Role: "assistant"}})
	return s.writeObject(first)
}

// Chunk writes the chunk as an event.
func (s *streamSink) Chunk(chunk work.Chunk) error {
	if chunk.Raw != nil {
		return s.writeData(chunk.Raw)
	}
	return s.writeObject(s.template.eventObject(chunk.Text, nil))
}

// End writes the last events and the end marker.
func (s *streamSink) End(e work.End) error {
	if !s.forwardsRaw {
		if err := s.writeObject(s.template.eventObject("", &e.FinishReason)); err != nil {
			return err
		}
		if s.includeUsage {
			last := s.template.newObject(s.template.eventObject("", nil).Object)
			last.Usage = usageOf(e.Usage)
			if err := s.writeObject(last); err != nil {
				return err
			}
		}
	}
	return s.writeData([]byte("[DONE]"))
}

// writeError writes an error event. It writes no end marker, so that the caller
// can't treat the answer as complete.
func (s *streamSink) writeError(err error) error {
	s.buffer = append(s.buffer[:0], "event: error\n"...)
	return s.writeEvent(httpcall.EncodeError(err))
}

func (s *streamSink) writeObject(o responseObject) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return err
	}
	return s.writeData(raw)
}

func (s *streamSink) writeData(raw []byte) error {
	s.buffer = s.buffer[:0]
	return s.writeEvent(raw)
}

// writeEvent adds the data line to the buffered lines of the event and writes
// the event.
func (s *streamSink) writeEvent(raw []byte) error {
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, raw...)
	s.buffer = append(s.buffer, "\n\n"...)
	_, err := s.out.Write(s.buffer)
	return err
}

// modelList is the response of /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      ident.Model `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	OwnedBy string      `json:"owned_by"`
}

func newModelList(models []ident.Model, started time.Time) modelList {
	list := modelList{Object: "list", Data: make([]modelItem, 0, len(models))}
	for _, m := range models {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model", Created: started.Unix(), OwnedBy: "cuminbay"})
	}
	return list
}
