package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/standin/faultserver"
)

// bytesPerToken is the usual estimate of the length of a token.
const bytesPerToken = 4

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index   int     `json:"index"`
	Delta   *delta  `json:"delta,omitempty"`
	Message *delta  `json:"message,omitempty"`
	Text    *string `json:"text,omitempty"`
	Finish  *string `json:"finish_reason"`
}

type usage struct {
	Prompt    int `json:"prompt_tokens"`
	Generated int `json:"completion_tokens"`
	Total     int `json:"total_tokens"`
	Details   struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type completion struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   ident.Model `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *usage      `json:"usage,omitempty"`
}

// exchange is one completion call with its run.
type exchange struct {
	*run
	engine  *Engine
	request completionRequest
	chat    bool
	body    completion
	torn    int
	sent    int
}

func (e *Engine) answerCompletion(ctx *fasthttp.RequestCtx, conn *faultserver.Conn, chat bool) {
	if status, err := e.agree(ctx); err != nil {
		faultserver.Refuse(ctx, status, "%v", err)
		return
	}
	x, err := e.parse(ctx, conn, chat)
	if err != nil {
		faultserver.Refuse(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	if !e.serves(x.request.Model) {
		faultserver.Refuse(ctx, fasthttp.StatusNotFound, "model %q isn't served", x.request.Model)
		return
	}
	switch e.admit(x.run) {
	case notServing:
		faultserver.Refuse(ctx, fasthttp.StatusServiceUnavailable, "no ready replica with this instance as rank 0")
		return
	case queueFull:
		faultserver.Refuse(ctx, fasthttp.StatusTooManyRequests, "the queue is full")
		return
	case crashed:
		_ = conn.Close()
		return
	}
	select {
	case <-x.started:
	case <-x.stopped:
		faultserver.Refuse(ctx, fasthttp.StatusServiceUnavailable, "the replica stopped before the request ran")
		return
	case <-conn.Closed():
		e.release(x.run, false)
		return
	}
	if x.request.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(x.stream)
		return
	}
	x.whole(ctx)
}

// agree sets the headers that name the replica and compares those of the
// request, so that a request meant for another replica or epoch doesn't run.
func (e *Engine) agree(ctx *fasthttp.RequestCtx) (int, error) {
	e.mu.Lock()
	o, cross, serving := e.order, e.faults.CrossAnswers, e.serving()
	e.mu.Unlock()
	own := []work.Field{
		{Name: "X-Replica", Value: string(o.Replica)},
		{Name: "X-Epoch", Value: strconv.FormatUint(uint64(o.Epoch), 10)},
		{Name: "X-Version", Value: string(o.Version)},
	}
	var err error
	for _, f := range own {
		if named := string(ctx.Request.Header.Peek(f.Name)); named != "" && named != f.Value && err == nil {
			err = fmt.Errorf("%s is %q, the request names %q", f.Name, f.Value, named)
		}
		if cross && f.Name == "X-Replica" {
			f.Value += "-other"
		}
		ctx.Response.Header.Set(f.Name, f.Value)
	}
	if err != nil {
		return fasthttp.StatusConflict, err
	}
	if !serving {
		return fasthttp.StatusServiceUnavailable, fmt.Errorf("no ready replica with this instance as rank 0")
	}
	return fasthttp.StatusOK, nil
}

func (e *Engine) serves(m ident.Model) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return m == e.order.Model || slices.Contains(e.order.Adapters, ident.Adapter(m))
}

func (e *Engine) parse(ctx *fasthttp.RequestCtx, conn *faultserver.Conn, chat bool) (*exchange, error) {
	x := &exchange{engine: e, chat: chat}
	if err := faultserver.Decode(ctx, &x.request); err != nil {
		return nil, err
	}
	resumeChars, err := headerInt(ctx, "X-Resume-Chars")
	if err != nil {
		return nil, err
	}
	priority, err := headerInt(ctx, "X-Priority")
	if err != nil {
		return nil, err
	}
	prompt, resumed, err := x.request.split(chat, resumeChars)
	if err != nil {
		return nil, err
	}
	limit := max(x.request.MaxTokens, x.request.MaxCompletionTokens)
	a, err := newAnswer(prompt, resumed, e.options.AnswerTokens, limit)
	if err != nil {
		return nil, err
	}
	x.run = &run{
		conn: conn, prompt: prompt, answer: a, resumed: resumed != "", priority: unit.Priority(priority),
		prefix:  work.HashPrefix(x.request.Model, []byte(prompt)),
		started: make(chan struct{}), stopped: make(chan struct{}),
	}
	e.mu.Lock()
	e.answers++
	number, torn := e.answers, e.faults.TearAfter
	e.mu.Unlock()
	x.torn = torn
	x.body = completion{Created: e.clk.Now().Unix(), Model: x.request.Model, Object: "text_completion"}
	x.body.ID = fmt.Sprintf("cmpl-%s-%d", e.options.Instance, number)
	if chat {
		x.body.ID, x.body.Object = "chat"+x.body.ID, "chat.completion"
	}
	return x, nil
}

func headerInt(ctx *fasthttp.RequestCtx, name string) (int, error) {
	value := string(ctx.Request.Header.Peek(name))
	if value == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return n, nil
}

// generate passes each token on and reports whether all were generated. The
// run is released either way.
func (x *exchange) generate(emit func(text string) bool) (whole bool) {
	e := x.engine
	defer func() {
		e.release(x.run, whole)
		if !whole {
			_ = x.conn.Close()
		}
	}()
	if !e.wait(x.run, e.prefillTime(x.run)) {
		return false
	}
	for {
		text, more := x.answer.take()
		if !more {
			return true
		}
		if x.sent > 0 && !e.wait(x.run, e.tokenTime()) {
			return false
		}
		if x.torn > 0 && x.sent >= x.torn {
			return false
		}
		x.sent++
		if !emit(text) {
			return false
		}
	}
}

func (x *exchange) usage() *usage {
	u := &usage{Prompt: len(x.prompt)/bytesPerToken + 1, Generated: x.sent}
	if len(x.prefix) > 0 {
		u.Details.Cached = u.Prompt * x.cached / len(x.prefix)
	}
	u.Total = u.Prompt + u.Generated
	return u
}

// whole answers without a stream.
func (x *exchange) whole(ctx *fasthttp.RequestCtx) {
	var b strings.Builder
	if !x.generate(func(text string) bool {
		b.WriteString(text)
		return true
	}) {
		return
	}
	text, body := b.String(), x.body
	c := choice{Text: &text, Finish: &x.answer.finish}
	if x.chat {
		c.Text, c.Message = nil, &delta{Role: "assistant", Content: text}
	}
	body.Choices, body.Usage = []choice{c}, x.usage()
	faultserver.Answer(ctx, fasthttp.StatusOK, body)
}

// stream answers by server-sent events. The last event before [DONE] has the
// usage: the one with the finish reason, or the extra one that
// include_usage asks for.
func (x *exchange) stream(w *bufio.Writer) {
	if x.chat {
		x.body.Object = "chat.completion.chunk"
	}
	if !x.generate(func(text string) bool { return x.event(w, x.piece(text, nil), nil) }) {
		return
	}
	last := x.piece("", &x.answer.finish)
	var ok bool
	if x.request.StreamOptions.IncludeUsage {
		ok = x.event(w, last, nil) && x.event(w, nil, x.usage())
	} else {
		ok = x.event(w, last, x.usage())
	}
	if ok {
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	}
}

func (x *exchange) piece(text string, finish *string) []choice {
	if !x.chat {
		return []choice{{Text: &text, Finish: finish}}
	}
	d := &delta{Content: text}
	if x.sent == 1 && finish == nil {
		d.Role = "assistant"
	}
	return []choice{{Delta: d, Finish: finish}}
}

func (x *exchange) event(w *bufio.Writer, choices []choice, u *usage) bool {
	body := x.body
	body.Choices, body.Usage = choices, u
	if choices == nil {
		body.Choices = []choice{}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return false
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(encoded)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}
