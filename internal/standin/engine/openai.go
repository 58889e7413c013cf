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

// bytesPerToken is the usual estimate of the mean length of a token.
const bytesPerToken = 4

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	PromptDetails    struct {
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

// completionCall is a request to one of the two completion paths, with the
// response under construction.
type completionCall struct {
	*activeRequest
	engine   *Engine
	request  completionRequest
	chat     bool
	response completion
	// tearAfter is the number of tokens after which the connection is closed,
	// or zero.
	tearAfter  int
	sentTokens int
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx, conn *faultserver.Conn, chat bool) {
	if status, err := e.checkReplicaHeaders(ctx); err != nil {
		faultserver.WriteError(ctx, status, "%v", err)
		return
	}
	x, err := e.parseCompletion(ctx, conn, chat)
	if err != nil {
		faultserver.WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	if !e.servesModel(x.request.Model) {
		faultserver.WriteError(ctx, fasthttp.StatusNotFound, "model %q is not served by this replica", x.request.Model)
		return
	}
	switch e.admit(x.activeRequest) {
	case notServing:
		faultserver.WriteError(ctx, fasthttp.StatusServiceUnavailable, "no ready replica with this instance as rank 0")
		return
	case queueFull:
		faultserver.WriteError(ctx, fasthttp.StatusTooManyRequests, "the request queue is full")
		return
	case crashed:
		_ = conn.Close()
		return
	}
	select {
	case <-x.started:
	case <-x.dropped:
		faultserver.WriteError(ctx, fasthttp.StatusServiceUnavailable, "the request was dropped from the queue: the replica stopped serving")
		return
	case <-conn.Closed():
		e.release(x.activeRequest, false)
		return
	}
	if x.request.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(x.writeStream)
		return
	}
	x.writeResponse(ctx)
}

// checkReplicaHeaders sets the response headers that name the replica, its epoch
// and its version. It rejects a request whose headers name others, so that a
// request meant for another replica or epoch does not run. On an error it also
// returns the HTTP status.
func (e *Engine) checkReplicaHeaders(ctx *fasthttp.RequestCtx) (int, error) {
	e.mu.Lock()
	o, crossAnswers, serving := e.order, e.faults.CrossAnswers, e.serving()
	e.mu.Unlock()
	headers := []work.Field{
		{Name: "X-Replica", Value: string(o.Replica)},
		{Name: "X-Epoch", Value: strconv.FormatUint(uint64(o.Epoch), 10)},
		{Name: "X-Version", Value: string(o.Version)},
	}
	var err error
	for _, f := range headers {
		if requested := string(ctx.Request.Header.Peek(f.Name)); requested != "" && requested != f.Value && err == nil {
			err = fmt.Errorf("%s of this engine is %q, the request expects %q", f.Name, f.Value, requested)
		}
		if crossAnswers && f.Name == "X-Replica" {
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

func (e *Engine) servesModel(m ident.Model) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return m == e.order.Model || slices.Contains(e.order.Adapters, ident.Adapter(m))
}

func (e *Engine) parseCompletion(ctx *fasthttp.RequestCtx, conn *faultserver.Conn, chat bool) (*completionCall, error) {
	x := &completionCall{engine: e, chat: chat}
	if err := faultserver.DecodeBody(ctx, &x.request); err != nil {
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
	prompt, resumed, err := x.request.splitResumed(chat, resumeChars)
	if err != nil {
		return nil, err
	}
	tokenLimit := max(x.request.MaxTokens, x.request.MaxCompletionTokens)
	gen, err := newGeneration(prompt, resumed, e.options.AnswerTokens, tokenLimit)
	if err != nil {
		return nil, err
	}
	x.activeRequest = &activeRequest{
		conn: conn, prompt: prompt, generation: gen, resumed: resumed != "", priority: unit.Priority(priority),
		prefixHashes: work.HashPrefix(x.request.Model, []byte(prompt)),
		started:      make(chan struct{}), dropped: make(chan struct{}),
	}
	e.mu.Lock()
	e.completionCount++
	completionNumber, tearAfter := e.completionCount, e.faults.TearAfter
	e.mu.Unlock()
	x.tearAfter = tearAfter
	x.response = completion{Created: e.clk.Now().Unix(), Model: x.request.Model, Object: "text_completion"}
	x.response.ID = fmt.Sprintf("cmpl-%s-%d", e.options.Instance, completionNumber)
	if chat {
		x.response.ID, x.response.Object = "chat"+x.response.ID, "chat.completion"
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

// generate calls emit for each token and reports whether the answer is complete.
// It releases the request, and closes the connection of an incomplete answer.
func (x *completionCall) generate(emit func(text string) bool) (complete bool) {
	e := x.engine
	defer func() {
		e.release(x.activeRequest, complete)
		if !complete {
			_ = x.conn.Close()
		}
	}()
	if !e.delay(x.activeRequest, e.prefillTime(x.activeRequest)) {
		return false
	}
	for {
		text, more := x.generation.nextToken()
		if !more {
			return true
		}
		if x.sentTokens > 0 && !e.delay(x.activeRequest, e.tokenTime()) {
			return false
		}
		if x.tearAfter > 0 && x.sentTokens >= x.tearAfter {
			return false
		}
		x.sentTokens++
		if !emit(text) {
			return false
		}
	}
}

func (x *completionCall) usage() *usage {
	u := &usage{PromptTokens: len(x.prompt)/bytesPerToken + 1, CompletionTokens: x.sentTokens}
	if len(x.prefixHashes) > 0 {
		u.PromptDetails.Cached = u.PromptTokens * x.cachedBlocks / len(x.prefixHashes)
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}

// writeResponse generates the whole answer and sends it as one JSON object.
func (x *completionCall) writeResponse(ctx *fasthttp.RequestCtx) {
	var b strings.Builder
	if !x.generate(func(text string) bool {
		b.WriteString(text)
		return true
	}) {
		return
	}
	text, response := b.String(), x.response
	c := choice{Text: &text, FinishReason: &x.generation.finishReason}
	if x.chat {
		c.Text, c.Message = nil, &delta{Role: "assistant", Content: text}
	}
	response.Choices, response.Usage = []choice{c}, x.usage()
	faultserver.WriteJSON(ctx, fasthttp.StatusOK, response)
}

// writeStream generates the answer and sends it as server-sent events. The last
// event before [DONE] carries the usage: the event with the finish reason, or an
// additional event if the request sets include_usage.
func (x *completionCall) writeStream(w *bufio.Writer) {
	if x.chat {
		x.response.Object = "chat.completion.chunk"
	}
	if !x.generate(func(text string) bool { return x.writeEvent(w, x.chunkChoices(text, nil), nil) }) {
		return
	}
	finalChoices := x.chunkChoices("", &x.generation.finishReason)
	var ok bool
	if x.request.StreamOptions.IncludeUsage {
		ok = x.writeEvent(w, finalChoices, nil) && x.writeEvent(w, nil, x.usage())
	} else {
		ok = x.writeEvent(w, finalChoices, x.usage())
	}
	if ok {
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	}
}

// chunkChoices returns the choices of a stream event. finishReason is nil except
// in the event that ends the answer.
func (x *completionCall) chunkChoices(text string, finishReason *string) []choice {
	if !x.chat {
		return []choice{{Text: &text, FinishReason: finishReason}}
	}
	d := &delta{Content: text}
	if x.sentTokens == 1 && finishReason == nil {
		d.Role = "assistant"
	}
	return []choice{{Delta: d, FinishReason: finishReason}}
}

// writeEvent sends one event and reports whether the write succeeded.
func (x *completionCall) writeEvent(w *bufio.Writer, choices []choice, u *usage) bool {
	event := x.response
	event.Choices, event.Usage = choices, u
	if choices == nil {
		event.Choices = []choice{}
	}
	encoded, err := json.Marshal(event)
	if err != nil {
		return false
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(encoded)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}
