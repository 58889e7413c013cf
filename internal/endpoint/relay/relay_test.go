package relay

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/table"
)

// recordingSink records the answer.
type recordingSink struct {
	head work.Head
	text string
	end  *work.End
}

func (s *recordingSink) Start(h work.Head) error {
	s.head = h
	return nil
}

func (s *recordingSink) Chunk(chunk work.Chunk) error {
	s.text += chunk.Text + string(chunk.Raw)
	return nil
}

func (s *recordingSink) End(e work.End) error {
	s.end = &e
	return nil
}

func newTestClient(clk clock.Clock) *Client {
	return New(Options{Settings: *defaultSettings().(*Settings), Clock: clk, Self: "d1"})
}

// startDaemon serves the handler on loopback and returns the daemon's endpoint.
func startDaemon(t *testing.T, handler fasthttp.RequestHandler) *table.Endpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &fasthttp.Server{Handler: handler}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Shutdown()
		qt.Check(t, <-served, qt.IsNil)
	})
	return &table.Endpoint{ID: "relay/d2/m", Protocol: table.Relay, Address: listener.Addr().String(), Load: new(table.Load)}
}

const overloadedBody = `{"error":{"message":"full","type":"overloaded","code":3002,"outcome":"not-run"}}`

// TestAnswers guards against a truncated or failed answer of another daemon
// that is treated as complete, and against an error with a wrong outcome, in
// particular NotRun for a request that may have run.
func TestAnswers(t *testing.T) {
	const firstEvent = `data: {"choices":[{"delta":{"content":"hi"}}]}` + "\n\n"
	tests := map[string]struct {
		status  int
		body    string
		want    code.Code
		outcome code.Outcome
		text    string
	}{
		"complete answer": {
			status: 200, want: code.Answered, outcome: code.Ran, text: "hi",
			body: firstEvent + `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n",
		},
		"no end marker":                  {status: 200, body: firstEvent, want: code.CutOff, outcome: code.Unknown, text: "hi"},
		"error with its default outcome": {status: 429, body: overloadedBody, want: code.Overloaded, outcome: code.NotRun},
		"error with another outcome":     {status: 502, body: `{"error":{"message":"x","code":5005,"outcome":"not-run"}}`, want: code.ForeignAnswer, outcome: code.NotRun},
		"endpoint failed":                {status: 502, body: `{"error":{"message":"x","code":4002,"outcome":"ran"}}`, want: code.EndpointFailed, outcome: code.Ran},
		"body without an error object":   {status: 503, body: "busy", want: code.CutOff, outcome: code.Unknown},
		"an unknown outcome":             {status: 429, body: strings.Replace(overloadedBody, "not-run", "maybe", 1), want: code.CutOff, outcome: code.Unknown},
		"an unknown code":                {status: 429, body: strings.Replace(overloadedBody, "3002", "3999", 1), want: code.CutOff, outcome: code.Unknown},
		"error event":                    {status: 200, body: firstEvent + "event: error\ndata: " + `{"error":{"message":"x","code":4002,"outcome":"ran"}}` + "\n\n", want: code.EndpointFailed, outcome: code.Ran, text: "hi"},
		"error event claims not run":     {status: 200, body: firstEvent + "event: error\ndata: " + overloadedBody + "\n\n", want: code.CutOff, outcome: code.Unknown, text: "hi"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := startDaemon(t, func(ctx *fasthttp.RequestCtx) {
				ctx.SetStatusCode(test.status)
				ctx.SetBodyString(test.body)
			})
			s := new(recordingSink)
			r := &work.Request{Operation: work.Chat, Resumable: true, Body: []byte(`{"messages":[]}`)}
			err := newTestClient(clock.Real()).Send(context.Background(), e, r, work.PartialAnswer{}, s)
			c.Assert(code.Of(err), qt.Equals, test.want, qt.Commentf("%v", err))
			c.Assert(code.OutcomeOf(err), qt.Equals, test.outcome)
			c.Assert(s.text, qt.Equals, test.text)
			c.Assert(s.end != nil, qt.Equals, err == nil)
		})
	}
}

// TestRequest guards against a relayed request without the caller's credential,
// deadline, priority or the text already sent, and against relaying a request
// that must not be relayed.
func TestRequest(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	client := newTestClient(clk)
	e := &table.Endpoint{ID: "relay/d2/m", Address: "127.0.0.1:1"}
	r := work.Request{
		ID: "r1", Organisation: "bank", Operation: work.Completion, Resumable: true, Credential: "Bearer k1", Priority: -2,
		Deadline: clk.Now().Add(1500 * time.Millisecond), Body: []byte(`{"prompt":"a","max_tokens":10}`),
	}
	var request fasthttp.Request
	c.Assert(client.buildRequest(&request, e, &r, work.PartialAnswer{Text: "b", Tokens: 4}), qt.IsNil)
	for name, want := range map[string]string{
		"X-Relayed-From": "d1", "OpenAI-Organization": "bank", "Authorization": "Bearer k1", "X-Priority": "-2", "X-Deadline-Ms": "1500",
	} {
		c.Check(string(request.Header.Peek(name)), qt.Equals, want, qt.Commentf(name))
	}
	c.Assert(string(request.Body()), qt.JSONEquals, map[string]any{
		"prompt": "ab", "max_tokens": 6, "stream": true, "stream_options": map[string]any{"include_usage": true},
	})
	c.Assert(string(request.URI().Path()), qt.Equals, "/v1/completions")
	for name, change := range map[string]func(*work.Request){
		"relayed": func(r *work.Request) { r.Relayed = true }, "at most once": func(r *work.Request) { r.AtMostOnce = true },
		"service call": func(r *work.Request) { r.Operation = work.ServiceCall },
	} {
		other := r
		change(&other)
		err := client.Send(context.Background(), e, &other, work.PartialAnswer{}, nil)
		c.Check(code.Of(err), qt.Equals, code.Internal, qt.Commentf(name))
		c.Check(code.OutcomeOf(err), qt.Equals, code.NotRun)
	}
	err := client.Send(context.Background(), e, &r, work.PartialAnswer{}, nil)
	c.Assert(code.Of(err), qt.Equals, code.EndpointUnreachable)
}
