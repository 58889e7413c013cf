package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
)

var words = strings.Fields(`amber anchor barley basin beacon birch bridge canal
	cedar chalk cliff clover copper coral cumin delta ember fennel field flint
	ginger glacier grain granite harbour hazel indigo island ivory jasper juniper
	kelp lagoon lantern laurel lemon linen maple marble meadow mint moss nutmeg
	oak ocean olive orchard pebble pepper pine quartz reed river saffron sage
	sand slate spruce stone sumac thyme tide valley walnut willow`)

// token returns token i of the answer to a prompt. It depends on nothing else,
// so every replica gives the same answer.
func token(promptHash uint64, i int) string {
	var b [24]byte
	h := xxhash.Sum64(strconv.AppendInt(strconv.AppendUint(b[:0], promptHash, 16), int64(i), 10))
	return words[h%uint64(len(words))] + " "
}

// AnswerText returns the text of the first n tokens of the answer to a prompt, for
// tests. The prompt is in the form that Text of the request returns.
func AnswerText(prompt string, n int) string {
	var b strings.Builder
	hash := xxhash.Sum64String(prompt)
	for i := range n {
		b.WriteString(token(hash, i))
	}
	return b.String()
}

// Message is a message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentText returns the content, or its JSON if it isn't a string.
func (m *Message) contentText() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

type completionRequest struct {
	Model                ident.Model `json:"model"`
	Messages             []Message   `json:"messages"`
	Prompt               string      `json:"prompt"`
	Stream               bool        `json:"stream"`
	MaxTokens            int         `json:"max_tokens"`
	MaxCompletionTokens  int         `json:"max_completion_tokens"`
	ContinueFinalMessage bool        `json:"continue_final_message"`
	StreamOptions        struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// splitResumed returns the prompt and the text of its answer that is resumed.
// resumeChars is the number of characters at the end of a completion's prompt
// that are such text.
func (r *completionRequest) splitResumed(chat bool, resumeChars int) (prompt, resumed string, err error) {
	if !chat {
		if resumeChars < 0 || resumeChars > utf8.RuneCountInString(r.Prompt) {
			return "", "", fmt.Errorf("X-Resume-Chars %d isn't within the prompt", resumeChars)
		}
		end := len(r.Prompt)
		for range resumeChars {
			_, size := utf8.DecodeLastRuneInString(r.Prompt[:end])
			end -= size
		}
		return r.Prompt[:end], r.Prompt[end:], nil
	}
	messages := r.Messages
	if len(messages) == 0 {
		return "", "", errors.New("messages are missing")
	}
	if r.ContinueFinalMessage {
		last := messages[len(messages)-1]
		if last.Role != "assistant" {
			return "", "", errors.New("continue_final_message without an assistant message at the end")
		}
		messages, resumed = messages[:len(messages)-1], last.contentText()
	}
	var b strings.Builder
	for i := range messages {
		b.WriteString(messages[i].Role + "\n" + messages[i].contentText() + "\n")
	}
	return b.String(), resumed, nil
}

// generation is what remains of the answer to a prompt.
type generation struct {
	promptHash uint64
	next       int
	end        int
	// partialToken is the part of the token before next that was not sent.
	partialToken string
	finishReason string
}

// newGeneration finds where the resumed text ends. length is the number of tokens
// of the whole answer, limit that of the tokens to generate, zero for none.
func newGeneration(prompt, resumed string, length, limit int) (*generation, error) {
	a := &generation{promptHash: xxhash.Sum64String(prompt), finishReason: "stop"}
	a.end = length
	if length <= 0 {
		const minTokens, tokenRange = 16, 48
		a.end = minTokens + int(a.promptHash%tokenRange)
	}
	for unmatched := resumed; unmatched != ""; a.next++ {
		t := token(a.promptHash, a.next)
		switch {
		case strings.HasPrefix(unmatched, t):
			unmatched = unmatched[len(t):]
		case strings.HasPrefix(t, unmatched):
			a.partialToken, unmatched = t[len(unmatched):], ""
		default:
			return nil, errors.New("the resumed text isn't the start of this prompt's answer")
		}
	}
	if a.partialToken != "" {
		a.next--
	}
	if limit > 0 && a.next+limit < a.end {
		a.end, a.finishReason = a.next+limit, "length"
	}
	return a, nil
}

// nextToken returns the next token, the rest of a split one first.
func (a *generation) nextToken() (string, bool) {
	if a.next >= a.end {
		return "", false
	}
	t := token(a.promptHash, a.next)
	if a.partialToken != "" {
		t, a.partialToken = a.partialToken, ""
	}
	a.next++
	return t, true
}
