// Package openai is the front end for callers that use the OpenAI HTTP
// protocol. It decodes their requests, dispatches the requests and encodes the
// answers; it also answers the load balancer's health check.
package openai

import (
	"bytes"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
)

// requestBody has the fields of a request that the daemon needs for routing.
// The body for the engine is built from the caller's whole body.
type requestBody struct {
	Model               ident.Model     `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           unit.Tokens     `json:"max_tokens"`
	MaxCompletionTokens unit.Tokens     `json:"max_completion_tokens"`
	N                   int             `json:"n"`
	BestOf              int             `json:"best_of"`
	Echo                bool            `json:"echo"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	Logprobs            json.RawMessage `json:"logprobs"`
	Audio               json.RawMessage `json:"audio"`
	ResponseFormat      json.RawMessage `json:"response_format"`
	Continue            bool            `json:"continue_final_message"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// bytesPerToken is used to estimate the number of tokens of a prompt from its
// length.
const bytesPerToken = 4

// parseRequest decodes a request. The result holds a copy of the body, since
// the request may outlive fasthttp's buffers.
//
// Errors carry code.MalformedBody and name the field.
func parseRequest(ctx *fasthttp.RequestCtx, o work.Operation) (*work.Request, *requestBody, error) {
	raw := ctx.PostBody()
	if !httpcall.OwnsBody(ctx) {
		raw = bytes.Clone(raw)
	}
	b := new(requestBody)
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, nil, code.MalformedBody.New("body: %s", err)
	}
	prompt, err := b.check(o)
	if err != nil {
		return nil, nil, err
	}
	r := &work.Request{
		Operation:    o,
		Model:        b.Model,
		Body:         raw,
		PromptTokens: unit.Tokens(len(prompt)/bytesPerToken + 1),
		MaxTokens:    max(b.MaxTokens, b.MaxCompletionTokens),
		PrefixHashes: work.HashPrefix(b.Model, prompt),
		Resumable:    b.isResumable(o),
		Stream:       b.Stream,
	}
	return r, b, nil
}

// check returns the text of the prompt, or an error if a field is missing or
// invalid.
func (b *requestBody) check(o work.Operation) ([]byte, error) {
	if b.Model == "" {
		return nil, code.MalformedBody.New("body.model: missing")
	}
	if b.MaxTokens < 0 || b.MaxCompletionTokens < 0 {
		return nil, code.MalformedBody.New("body: max_tokens or max_completion_tokens is negative")
	}
	prompt, name := b.Messages, "messages"
	if o == work.Completion {
		prompt, name = b.Prompt, "prompt"
	}
	if len(prompt) == 0 || string(prompt) == "null" || string(prompt) == "[]" {
		return nil, code.MalformedBody.New("body.%s: missing or empty", name)
	}
	if o == work.Chat {
		return chatText(prompt)
	}
	return promptText(prompt), nil
}

// chatText returns the messages as text, similar to the prompt that an engine
// builds from them: each message as its role and its content on separate lines.
// Prefix hashes of the text are equal for callers that format the same JSON
// differently.
//
// Errors carry code.MalformedBody.
func chatText(raw json.RawMessage) ([]byte, error) {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(raw, &messages); err != nil {
		return nil, code.MalformedBody.New("body.messages: %s", err)
	}
	text := make([]byte, 0, len(raw))
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, promptText(m.Content)...)
		text = append(text, '\n')
	}
	return text, nil
}

// promptText returns the text of a JSON string, and any other value unchanged.
func promptText(raw json.RawMessage) []byte {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return []byte(s)
	}
	return raw
}

// isResumable reports whether the answer is plain text of one choice. All other
// answers are forwarded event by event and are not resumed.
func (b *requestBody) isResumable(o work.Operation) bool {
	// No text can be appended to a conversation that already ends in an
	// unfinished answer. A resumed request that was relayed is an example.
	if b.N > 1 || b.BestOf > 1 || b.Echo || b.Continue {
		return false
	}
	for _, raw := range []json.RawMessage{b.Tools, b.Functions, b.Audio, b.ResponseFormat} {
		if len(raw) > 0 && string(raw) != "null" {
			return false
		}
	}
	if s := string(b.Logprobs); s != "" && s != "null" && s != "false" {
		return false
	}
	// Text can be appended to a prompt only if the prompt is a single string.
	return o == work.Chat || b.Prompt[0] == '"'
}

// applyHeader sets the fields that come from the header, and the fingerprint,
// which depends on the organisation.
func (f *frontend) applyHeader(ctx *fasthttp.RequestCtx, r *work.Request) error {
	organisation, err := httpcall.AuthenticateOrganisation(ctx, f.records.View())
	if err != nil {
		return err
	}
	r.Organisation = organisation.Name
	if err := httpcall.FillRequest(ctx, r, f.clock.Now()); err != nil {
		return err
	}
	r.AtMostOnce = r.IdempotencyKey != ""
	r.Fingerprint = work.FingerprintOf(r.Organisation, []byte(r.Operation), r.Body)
	return nil
}
