package process_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/standin/engine"
)

// TestOrdinaryClient guards against answers that a published client of the OpenAI
// API can't read, and against refusals without a numbered result code (promises 5
// and 6).
func TestOrdinaryClient(t *testing.T) {
	t.Parallel()
	s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 2, engines: 2, replicas: 1})
	ctx := context.Background()
	newClient := func(key string) openai.Client {
		return openai.NewClient(option.WithBaseURL("http://"+s.daemons[0].callerAddress+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	}
	knownClient := newClient("demo-key")
	chat := openai.ChatCompletionNewParams{Model: "assistant", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("tea")}}
	prompt := openai.CompletionNewParams{Model: "assistant", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("tea")}}

	t.Run("complete answers", func(t *testing.T) {
		c := qt.New(t)
		answer, err := knownClient.Chat.Completions.New(ctx, chat)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Choices[0].Message.Content, qt.Equals, expectedText("tea"))
		c.Assert(answer.Choices[0].FinishReason, qt.Equals, "stop")
		c.Assert(answer.Usage.CompletionTokens, qt.Equals, int64(answerTokens))
		completion, err := knownClient.Completions.New(ctx, prompt)
		c.Assert(err, qt.IsNil)
		c.Assert(completion.Choices[0].Text, qt.Equals, engine.AnswerText("tea", answerTokens))
		models, err := knownClient.Models.List(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(models.Data, qt.HasLen, 1)
		c.Assert(models.Data[0].ID, qt.Equals, "assistant")
	})
	t.Run("streamed answers", func(t *testing.T) {
		c := qt.New(t)
		var text strings.Builder
		stream := knownClient.Chat.Completions.NewStreaming(ctx, chat)
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		c.Assert(stream.Err(), qt.IsNil)
		c.Assert(text.String(), qt.Equals, expectedText("tea"))
		text.Reset()
		completions := knownClient.Completions.NewStreaming(ctx, prompt)
		for completions.Next() {
			for _, choice := range completions.Current().Choices {
				text.WriteString(choice.Text)
			}
		}
		c.Assert(completions.Err(), qt.IsNil)
		c.Assert(text.String(), qt.Equals, engine.AnswerText("tea", answerTokens))
	})
	t.Run("errors", func(t *testing.T) {
		c := qt.New(t)
		unknownModel := chat
		unknownModel.Model = "unheard-of"
		_, err := knownClient.Chat.Completions.New(ctx, unknownModel)
		var apiError *openai.Error
		c.Assert(errors.As(err, &apiError), qt.IsTrue)
		c.Assert(apiError.StatusCode, qt.Equals, http.StatusNotFound)
		c.Assert(apiError.Code, qt.Equals, fmt.Sprint(int(code.UnknownModel)))
		unknownClient := newClient("wrong-key")
		_, err = unknownClient.Models.List(ctx)
		c.Assert(errors.As(err, &apiError), qt.IsTrue)
		c.Assert(apiError.StatusCode, qt.Equals, http.StatusUnauthorized)
		c.Assert(apiError.Code, qt.Equals, fmt.Sprint(int(code.UnknownOrganisation)))
	})
	largeBody := `{"model":"assistant","messages":[{"role":"user","content":"` + strings.Repeat("x", 80<<10) + `"}]}`
	tests := map[string]struct {
		path, body string
		code       code.Code
	}{
		"malformed JSON":   {"/v1/chat/completions", `{"model":`, code.MalformedBody},
		"missing messages": {"/v1/chat/completions", `{"model":"assistant"}`, code.MalformedBody},
		"oversized body":   {"/v1/chat/completions", largeBody, code.BodyTooLarge},
		"unknown path":     {"/v2/else", `{}`, code.UnknownPath},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := s.daemons[1].send(http.MethodPost, test.path, test.body)
			c.Assert(a.err, qt.IsNil)
			c.Assert(a.errorObject.Code, qt.Equals, test.code)
			c.Assert(a.errorObject.Outcome, qt.Equals, code.NotRun)
			c.Assert(a.status, qt.Equals, test.code.Spec().Status)
		})
	}
}
