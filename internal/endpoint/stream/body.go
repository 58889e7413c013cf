package stream

import (
	"encoding/json"
	"strconv"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
)

// RequestBody returns the body to send to an endpoint. A resumable request is
// always streamed, so that the daemon can keep the generated text. When a
// request is resumed, the body contains the text already sent, and the token
// limit is reduced by the tokens already generated.
//
// Errors carry code.MalformedBody.
func RequestBody(r *work.Request, sent work.PartialAnswer) ([]byte, error) {
	if !r.Resumable {
		return r.Body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, code.MalformedBody.New("body: %s", err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if sent.Text == "" {
		return json.Marshal(fields)
	}
	if err := appendSentText(fields, r.Operation, sent.Text); err != nil {
		return nil, err
	}
	for _, name := range [...]string{"max_tokens", "max_completion_tokens"} {
		reduceTokenLimit(fields, name, sent.Tokens)
	}
	return json.Marshal(fields)
}

func appendSentText(fields map[string]json.RawMessage, o work.Operation, sentText string) error {
	if o == work.Completion {
		var prompt string
		if err := json.Unmarshal(fields["prompt"], &prompt); err != nil {
			return code.MalformedBody.New("body.prompt: %s", err)
		}
		raw, err := json.Marshal(prompt + sentText)
		fields["prompt"] = raw
		return err
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return code.MalformedBody.New("body.messages: %s", err)
	}
	assistantMessage, err := json.Marshal(map[string]string{"role": "assistant", "content": sentText})
	if err != nil {
		return err
	}
	raw, err := json.Marshal(append(messages, assistantMessage))
	fields["messages"] = raw
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	return err
}

func reduceTokenLimit(fields map[string]json.RawMessage, name string, generated unit.Tokens) {
	var limit int64
	if json.Unmarshal(fields[name], &limit) != nil || limit == 0 {
		return
	}
	fields[name] = strconv.AppendInt(nil, max(1, limit-int64(generated)), 10)
}
