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

// shape has what the objects of one answer share.
type shape struct {
	id        string
	operation work.Operation
	created   int64
	model     ident.Model
}

func newShape(r *work.Request) shape {
	prefix := "chatcmpl-"
	if r.Operation == work.Completion {
		prefix = "cmpl-"
	}
	return shape{id: prefix + string(r.ID), operation: r.Operation, created: r.Received.Unix(), model: r.Model}
}

// object is an answer or a part of one.
type object struct {
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

func (s shape) object(name string, choices ...choice) object {
	if choices == nil {
		choices = []choice{}
	}
	return object{ID: s.id, Object: name, Created: s.created, Model: s.model, Choices: choices}
}

// part returns an event with text, or with the reason of the end.
func (s shape) part(text string, finish *string) object {
	if s.operation == work.Completion {
		return s.object("text_completion", choice{Text: &text, Finish: finish})
	}
	return s.object("chat.completion.chunk", choice{Delta: &message{Content: text}, Finish: finish})
}

// whole returns the answer to a request that is not streamed.
func (s shape) whole(text, finish string, u work.Usage) object {
	c := choice{Finish: &finish, Text: &text}
	name := "text_completion"
	if s.operation == work.Chat {
		c = choice{Finish: &finish, Message: &message{Role: "assistant", Content: text}}
		name = "chat.completion"
	}
	o := s.object(name, c)
	o.Usage = usageOf(u)
	return o
}

// collector is the sink of a request that is not streamed.
type collector struct {
	shape  shape
	head   work.Head
	text   strings.Builder
	raw    []byte
	end    work.End
	ending bool
}

// Start keeps the head.
func (c *collector) Start(h work.Head) error {
	c.head = h
	return nil
}

// Chunk keeps the piece.
func (c *collector) Chunk(p work.Chunk) error {
	c.text.WriteString(p.Text)
	c.raw = append(c.raw, p.Raw...)
	return nil
}

// End marks the answer as whole.
func (c *collector) End(e work.End) error {
	c.end = e
	c.ending = true
	return nil
}

// body returns the answer's JSON.
func (c *collector) body() ([]byte, error) {
	if c.raw != nil {
		return c.raw, nil
	}
	return json.Marshal(c.shape.whole(c.text.String(), c.end.FinishReason, c.end.Usage))
}

// streamer is the sink of a streamed request. Start lets the response begin,
// which then reads the events from the pipe.
type streamer struct {
	shape        shape
	includeUsage bool
	raw          bool
	opened       chan<- opening
	begun        bool
	out          *pipe
	line         []byte
}

// Start lets the response begin.
func (s *streamer) Start(h work.Head) error {
	s.begun = true
	s.opened <- opening{head: h}
	if s.raw || s.shape.operation == work.Completion {
		return nil
	}
	first := s.shape.object("chat.completion.chunk", choice{Delta: &message{Role: "assistant"}})
	return s.event(first)
}

// Chunk writes the piece as an event.
func (s *streamer) Chunk(p work.Chunk) error {
	if p.Raw != nil {
		return s.data(p.Raw)
	}
	return s.event(s.shape.part(p.Text, nil))
}

// End writes the last events and the end marker.
func (s *streamer) End(e work.End) error {
	if !s.raw {
		if err := s.event(s.shape.part("", &e.FinishReason)); err != nil {
			return err
		}
		if s.includeUsage {
			last := s.shape.object(s.shape.part("", nil).Object)
			last.Usage = usageOf(e.Usage)
			if err := s.event(last); err != nil {
				return err
			}
		}
	}
	return s.data([]byte("[DONE]"))
}

// fail writes an error event. No end marker follows, so that the caller can't
// take the answer for whole.
func (s *streamer) fail(err error) error {
	s.line = append(s.line[:0], "event: error\n"...)
	return s.send(httpcall.EncodeError(err))
}

func (s *streamer) event(o object) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return err
	}
	return s.data(raw)
}

func (s *streamer) data(raw []byte) error {
	s.line = s.line[:0]
	return s.send(raw)
}

// send writes the line that was begun with the data in one piece.
func (s *streamer) send(raw []byte) error {
	s.line = append(s.line, "data: "...)
	s.line = append(s.line, raw...)
	s.line = append(s.line, "\n\n"...)
	_, err := s.out.Write(s.line)
	return err
}

// modelList is the answer of /v1/models.
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
