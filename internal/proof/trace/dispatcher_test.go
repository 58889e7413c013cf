package trace

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/policy"
	"cuminbay/internal/route/table"
	"cuminbay/internal/serve/dispatch"
)

// scriptedDispatcher is a dispatcher whose endpoints answer as the trace says. It
// implements the dispatcher's sender interface.
type scriptedDispatcher struct {
	tables   *table.Publisher
	dispatch *dispatch.Dispatcher
	// byLabel holds the submitted requests by the label of their event.
	byLabel   map[string]*scriptedRequest
	unhealthy []ident.Endpoint
	stopped   chan struct{}
}

// scriptedRequest is a submitted request, with the answers for its current attempt
// and what the caller has received. It is the sink of the dispatcher.
type scriptedRequest struct {
	request *work.Request
	// tokens is the length of the whole answer.
	tokens   int
	answers  chan event
	received string
	endCount int
	done     bool
	err      error
}

func (s *scriptedRequest) Start(work.Head) error { return nil }
func (s *scriptedRequest) End(work.End) error    { s.endCount++; return nil }
func (s *scriptedRequest) Chunk(chunk work.Chunk) error {
	s.received += chunk.Text
	return nil
}

// tokenText returns the text of the tokens from one position to another,
// exclusive. The text contains the request id, so that an answer to another request
// is detected.
func (s *scriptedRequest) tokenText(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "%s%d ", s.request.ID, i)
	}
	return b.String()
}

func newScriptedDispatcher(clk clock.Clock, d *daemon) *scriptedDispatcher {
	r := &scriptedDispatcher{tables: table.NewPublisher(), byLabel: make(map[string]*scriptedRequest), stopped: make(chan struct{})}
	o := dispatch.Options{
		Clock: clk, Log: zerolog.Nop(), Tables: r.tables, Records: d.config, Policy: policy.Random2{}, Poison: d.detector,
		Telemetry: dispatch.NewTelemetry(prometheus.NewRegistry()),
		Settings:  dispatch.Settings{Avoid: settings.DurationOf(2 * time.Second), HealthTimeout: settings.DurationOf(time.Second)},
	}
	// The map is set by reflection, as its element type is not exported.
	senders := reflect.ValueOf(&o.Senders).Elem()
	senders.Set(reflect.MakeMap(senders.Type()))
	senders.SetMapIndex(reflect.ValueOf(table.Engine), reflect.ValueOf(r))
	r.dispatch = dispatch.New(o)
	return r
}

func (r *scriptedDispatcher) publishEndpoints(ids []ident.Endpoint) {
	var list []table.Endpoint
	for _, id := range ids {
		list = append(list, table.Endpoint{ID: id, Address: string(id), Protocol: table.Engine, Models: []ident.Model{"tea"}, Limit: 4})
	}
	r.tables.Publish(list)
}

// submitRequest dispatches a request in the background.
func (r *scriptedDispatcher) submitRequest(e event) {
	scripted := &scriptedRequest{
		request: &work.Request{
			ID: ident.Request(e.Label), Organisation: "o", Operation: work.Chat, Model: "tea",
			Resumable: true, Stream: true, Fingerprint: e.Fingerprint,
		},
		tokens: e.Tokens, answers: make(chan event),
	}
	r.byLabel[e.Label] = scripted
	go func() {
		scripted.err = r.dispatch.Dispatch(context.Background(), scripted.request, scripted)
		scripted.done = true
	}()
}

// Protocol returns the protocol of the scripted endpoints.
func (r *scriptedDispatcher) Protocol() table.Protocol { return table.Engine }

// CheckHealth fails for the endpoints that the trace declares unhealthy.
func (r *scriptedDispatcher) CheckHealth(_ context.Context, address string) error {
	if slices.Contains(r.unhealthy, ident.Endpoint(address)) {
		return code.EndpointUnreachable.New("endpoint %s", address)
	}
	return nil
}

// Send delivers the answers of the trace to the sink until one of them has a
// result code.
func (r *scriptedDispatcher) Send(_ context.Context, e *table.Endpoint, w *work.Request, partial work.PartialAnswer, sink work.Sink) error {
	scripted, nextToken := r.byLabel[string(w.ID)], int(partial.Tokens)
	started := false
	for {
		var answer event
		select {
		case answer = <-scripted.answers:
		case <-r.stopped:
			return errors.New("the trace ended before the attempt was answered")
		}
		endToken := nextToken + answer.Tokens
		if answer.Code == code.Answered {
			endToken = scripted.tokens
		}
		if endToken > nextToken && !started {
			started = true
			if err := sink.Start(work.Head{Endpoint: e.ID}); err != nil {
				return err
			}
		}
		for ; nextToken < endToken; nextToken++ {
			if err := sink.Chunk(work.Chunk{Text: scripted.tokenText(nextToken, nextToken+1), Tokens: 1}); err != nil {
				return err
			}
		}
		switch answer.Code {
		case 0:
		case code.Answered:
			return sink.End(work.End{FinishReason: "stop"})
		default:
			return answer.Code.New("endpoint %s", e.ID)
		}
	}
}

// sendAnswer passes an answer event to the current attempt of its request.
func (r *scriptedDispatcher) sendAnswer(c *qt.C, e event) {
	scripted := r.byLabel[e.Label]
	c.Assert(scripted.done, qt.IsFalse, qt.Commentf("the request ended before the answer event, with the error %v", scripted.err))
	scripted.answers <- e
}

// result returns the code, the outcome and the number of tokens that the caller
// received. It fails the test if a token belongs to another request.
func (r *scriptedDispatcher) result(c *qt.C, e event) []string {
	scripted := r.byLabel[e.Label]
	c.Assert(scripted.done, qt.IsTrue)
	c.Assert(scripted.endCount == 1, qt.Equals, scripted.err == nil)
	tokens := strings.Count(scripted.received, " ")
	c.Assert(scripted.received, qt.Equals, scripted.tokenText(0, tokens))
	return []string{code.Of(scripted.err).String(), string(code.OutcomeOf(scripted.err)), fmt.Sprint(unit.Tokens(tokens))}
}

func (r *scriptedDispatcher) stop() { close(r.stopped) }
