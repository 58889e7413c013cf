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
	isChat   bool
	response completion
	// cutOffAfter is the number of tokens after which the connection is closed,
	// or zero.
	cutOffAfter int
	sentTokens  int
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx, conn *faultserver.Conn, isChat bool) {
	if status, err := e.checkReplicaHeaders(ctx); err != nil {
		faultserver.WriteError(ctx, status, "%v", err)
		return
	}
	call, err := e.parseCompletion(ctx, conn, isChat)
	if err != nil {
		faultserver.WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	if !e.servesModel(call.request.Model) {
		faultserver.WriteError(ctx, fasthttp.StatusNotFound, "model %q is not served by this replica", call.request.Model)
		return
	}
	f := e.currentFaults()
	if f.Head != "" {
		conn.ReplaceStatusLine(f.Head)
	}
	if f.Endless {
		faultserver.SetEndlessBody(ctx, e.clk, "data: ")
		return
	}
	switch e.admit(call.activeRequest) {
	case notServing:
		faultserver.WriteError(ctx, fasthttp.StatusServiceUnavailable, "this instance is not rank 0 of a ready replica")
		return
	case queueFull:
		faultserver.WriteError(ctx, fasthttp.StatusTooManyRequests, "the request queue is full")
		return
	case crashed:
		_ = conn.Close()
		return
	}
	select {
	case <-call.started:
	case <-call.dropped:
		faultserver.WriteError(ctx, fasthttp.StatusServiceUnavailable, "the request was dropped from the queue: the replica stopped serving")
		return
	case <-conn.Closed():
		e.release(call.activeRequest, false)
		return
	}
	if call.request.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(call.writeStream)
		return
	}
	call.writeResponse(ctx)
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// checkReplicaHeaders sets the response headers that name the replica, its epoch
// and its version. It returns an error if the request has one of these headers
// with another value, so that a request meant for another replica or epoch does
// not run. Together with an error it returns the HTTP status of the response.
func (e *Engine) checkReplicaHeaders(ctx *fasthttp.RequestCtx) (int, error) {
	e.mu.Lock()
	o, foreignAnswers, serving := e.order, e.faults.ForeignAnswers, e.serving()
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
		if foreignAnswers && f.Name == "X-Replica" {
			f.Value += "-other"
		}
		ctx.Response.Header.Set(f.Name, f.Value)
	}
	if err != nil {
		return fasthttp.StatusConflict, err
	}
	if !serving {
		return fasthttp.StatusServiceUnavailable, fmt.Errorf("this instance is not rank 0 of a ready replica")
	}
	return fasthttp.StatusOK, nil
}

func (e *Engine) servesModel(m ident.Model) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return m == e.order.Model || slices.Contains(e.order.Adapters, ident.Adapter(m))
}

func (e *Engine) parseCompletion(ctx *fasthttp.RequestCtx, conn *faultserver.Conn, isChat bool) (*completionCall, error) {
	call := &completionCall{engine: e, isChat: isChat}
	if err := faultserver.DecodeBody(ctx, &call.request); err != nil {
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
	prompt, resumedText, err := call.request.splitResumed(isChat, resumeChars)
	if err != nil {
		return nil, err
	}
	tokenLimit := max(call.request.MaxTokens, call.request.MaxCompletionTokens)
	gen, err := newGeneration(prompt, resumedText, e.options.AnswerTokens, tokenLimit)
	if err != nil {
		return nil, err
	}
	call.activeRequest = &activeRequest{
		conn: conn, prompt: prompt, generation: gen, resumed: resumedText != "", priority: unit.Priority(priority),
		prefixHashes: work.HashPrefix(call.request.Model, []byte(prompt)),
		started:      make(chan struct{}), dropped: make(chan struct{}),
	}
	e.mu.Lock()
	e.completionCount++
	completionNumber, cutOffAfter := e.completionCount, e.faults.CutOffAfter
	e.mu.Unlock()
	call.cutOffAfter = cutOffAfter
	call.response = completion{Created: e.clk.Now().Unix(), Model: call.request.Model, Object: "text_completion"}
	call.response.ID = fmt.Sprintf("cmpl-%s-%d", e.options.Instance, completionNumber)
	if isChat {
		call.response.ID, call.response.Object = "chat"+call.response.ID, "chat.completion"
	}
	return call, nil
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
// It then releases the request, and closes the connection if the answer is
// incomplete.
func (c *completionCall) generate(emit func(text string) bool) (complete bool) {
	e := c.engine
	defer func() {
		e.release(c.activeRequest, complete)
		if !complete {
			_ = c.conn.Close()
		}
	}()
	if !e.delay(c.activeRequest, e.prefillTime(c.activeRequest)) {
		return false
	}
	for {
		text, more := c.generation.nextToken()
		if !more {
			return true
		}
		if c.sentTokens > 0 && !e.delay(c.activeRequest, e.tokenTime()) {
			return false
		}
		if c.cutOffAfter > 0 && c.sentTokens >= c.cutOffAfter {
			return false
		}
		c.sentTokens++
		if !emit(text) {
			return false
		}
	}
}

func (c *completionCall) usage() *usage {
	u := &usage{PromptTokens: len(c.prompt)/bytesPerToken + 1, CompletionTokens: c.sentTokens}
	if len(c.prefixHashes) > 0 {
		u.PromptDetails.Cached = u.PromptTokens * c.cachedBlocks / len(c.prefixHashes)
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}

// writeResponse generates the whole answer and sends it as one JSON object.
func (c *completionCall) writeResponse(ctx *fasthttp.RequestCtx) {
	var b strings.Builder
	if !c.generate(func(text string) bool {
		b.WriteString(text)
		return true
	}) {
		return
	}
	text, response := b.String(), c.response
	onlyChoice := choice{Text: &text, FinishReason: &c.generation.finishReason}
	if c.isChat {
		onlyChoice.Text, onlyChoice.Message = nil, &delta{Role: "assistant", Content: text}
	}
	response.Choices, response.Usage = []choice{onlyChoice}, c.usage()
	faultserver.WriteJSON(ctx, fasthttp.StatusOK, response)
}

// writeStream generates the answer and sends it as server-sent events. The last
// event before [DONE] carries the usage: the event with the finish reason, or an
// additional event if the request sets include_usage.
func (c *completionCall) writeStream(w *bufio.Writer) {
	if c.isChat {
		c.response.Object = "chat.completion.chunk"
	}
	if !c.generate(func(text string) bool { return c.writeEvent(w, c.chunkChoices(text, nil), nil) }) {
		return
	}
	finalChoices := c.chunkChoices("", &c.generation.finishReason)
	var ok bool
	if c.request.StreamOptions.IncludeUsage {
		ok = c.writeEvent(w, finalChoices, nil) && c.writeEvent(w, nil, c.usage())
	} else {
		ok = c.writeEvent(w, finalChoices, c.usage())
	}
	if ok {
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	}
}

// chunkChoices returns the choices of a stream event. finishReason is nil except
// in the event that ends the answer.
func (c *completionCall) chunkChoices(text string, finishReason *string) []choice {
	if !c.isChat {
		return []choice{{Text: &text, FinishReason: finishReason}}
	}
	d := &delta{Content: text}
	if c.sentTokens == 1 && finishReason == nil {
		d.Role = "assistant"
	}
	return []choice{{Delta: d, FinishReason: finishReason}}
}

// writeEvent sends one event and reports whether the write succeeded.
func (c *completionCall) writeEvent(w *bufio.Writer, choices []choice, u *usage) bool {
	event := c.response
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
