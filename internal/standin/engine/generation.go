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

// words are the tokens of generated answers.
var words = strings.Fields(`amber anchor barley basin beacon birch bridge canal
	cedar chalk cliff clover copper coral cumin delta ember fennel field flint
	ginger glacier grain granite harbour hazel indigo island ivory jasper juniper
	kelp lagoon lantern laurel lemon linen maple marble meadow mint moss nutmeg
	oak ocean olive orchard pebble pepper pine quartz reed river saffron sage
	sand slate spruce stone sumac thyme tide valley walnut willow`)

// token returns token i of the answer to a prompt. The token depends only on the
// prompt and i, so every replica generates the same answer.
func token(promptHash uint64, i int) string {
	var b [24]byte
	h := xxhash.Sum64(strconv.AppendInt(strconv.AppendUint(b[:0], promptHash, 16), int64(i), 10))
	return words[h%uint64(len(words))] + " "
}

// AnswerText returns the text of the first n tokens of the answer to a prompt, so
// that tests can check answers. The prompt of a chat is the role and the content
// of each message, each followed by a newline.
func AnswerText(prompt string, n int) string {
	var b strings.Builder
	hash := xxhash.Sum64String(prompt)
	for i := range n {
		b.WriteString(token(hash, i))
	}
	return b.String()
}

// Message is a message of a chat completion request.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentText returns the content if it is a string, and its JSON otherwise.
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

// splitResumed separates the prompt from the beginning of the answer that the
// request resumes. In a chat the beginning is the last message, if
// continue_final_message is set. In a completion it is the last resumeChars
// characters of the prompt.
func (r *completionRequest) splitResumed(isChat bool, resumeChars int) (prompt, resumedText string, err error) {
	if !isChat {
		if resumeChars < 0 || resumeChars > utf8.RuneCountInString(r.Prompt) {
			return "", "", fmt.Errorf("X-Resume-Chars is %d: negative or greater than the length of the prompt", resumeChars)
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
		return "", "", errors.New("the chat has no messages")
	}
	if r.ContinueFinalMessage {
		last := messages[len(messages)-1]
		if last.Role != "assistant" {
			return "", "", errors.New("continue_final_message is set but the role of the last message is not assistant")
		}
		messages, resumedText = messages[:len(messages)-1], last.contentText()
	}
	var b strings.Builder
	for i := range messages {
		b.WriteString(messages[i].Role + "\n" + messages[i].contentText() + "\n")
	}
	return b.String(), resumedText, nil
}

// generation is the progress of the answer to a prompt. The tokens from nextIndex
// to endIndex, exclusive, are still to be sent.
type generation struct {
	promptHash uint64
	nextIndex  int
	endIndex   int
	// partialToken is the unsent end of token nextIndex, if the resumed text
	// ends within that token.
	partialToken string
	finishReason string
}

// newGeneration returns a generation that continues after the resumed text.
// answerTokens is the length of the whole answer; zero or less derives the length
// from the prompt. maxTokens limits the tokens to generate; zero sets no limit.
func newGeneration(prompt, resumedText string, answerTokens, maxTokens int) (*generation, error) {
	g := &generation{promptHash: xxhash.Sum64String(prompt), finishReason: "stop"}
	g.endIndex = answerTokens
	if answerTokens <= 0 {
		const minTokens, tokenRange = 16, 48
		g.endIndex = minTokens + int(g.promptHash%tokenRange)
	}
	for unmatched := resumedText; unmatched != ""; g.nextIndex++ {
		t := token(g.promptHash, g.nextIndex)
		switch {
		case strings.HasPrefix(unmatched, t):
			unmatched = unmatched[len(t):]
		case strings.HasPrefix(t, unmatched):
			g.partialToken, unmatched = t[len(unmatched):], ""
		default:
			return nil, errors.New("the resumed text is not the beginning of the answer to this prompt")
		}
	}
	if g.partialToken != "" {
		g.nextIndex--
	}
	if maxTokens > 0 && g.nextIndex+maxTokens < g.endIndex {
		g.endIndex, g.finishReason = g.nextIndex+maxTokens, "length"
	}
	return g, nil
}

// nextToken returns the next token, or false at the end of the answer. If the
// resumed text ends within a token, nextToken first returns the end of that token.
func (g *generation) nextToken() (string, bool) {
	if g.nextIndex >= g.endIndex {
		return "", false
	}
	t := token(g.promptHash, g.nextIndex)
	if g.partialToken != "" {
		t, g.partialToken = g.partialToken, ""
	}
	g.nextIndex++
	return t, true
}
