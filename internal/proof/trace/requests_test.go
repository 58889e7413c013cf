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

// requests is a dispatcher with endpoints that behave as the trace says.
type requests struct {
	tables   *table.Publisher
	dispatch *dispatch.Dispatcher
	running  map[string]*request
	dead     []ident.Endpoint
	quit     chan struct{}
}

// request is one request, its answer and its running attempt.
type request struct {
	work    *work.Request
	tokens  int
	command chan event
	got     string
	ends    int
	done    bool
	err     error
}

func (q *request) Start(work.Head) error { return nil }
func (q *request) End(work.End) error    { q.ends++; return nil }
func (q *request) Chunk(p work.Chunk) error {
	q.got += p.Text
	return nil
}

func (q *request) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "%s%d ", q.work.ID, i)
	}
	return b.String()
}

func newRequests(clk clock.Clock, d *daemon) *requests {
	r := &requests{tables: table.NewPublisher(), running: make(map[string]*request), quit: make(chan struct{})}
	o := dispatch.Options{
		Clock: clk, Log: zerolog.Nop(), Tables: r.tables, Records: d.config, Policy: policy.Random2{}, Poison: d.suspects,
		Telemetry: dispatch.NewTelemetry(prometheus.NewRegistry()),
		Settings:  dispatch.Settings{Avoid: settings.DurationOf(2 * time.Second), HealthTimeout: settings.DurationOf(time.Second)},
	}
	// The element type of the map is not exported.
	senders := reflect.ValueOf(&o.Senders).Elem()
	senders.Set(reflect.MakeMap(senders.Type()))
	senders.SetMapIndex(reflect.ValueOf(table.Engine), reflect.ValueOf(r))
	r.dispatch = dispatch.New(o)
	return r
}

func (r *requests) publish(ids []ident.Endpoint) {
	var list []table.Endpoint
	for _, id := range ids {
		list = append(list, table.Endpoint{ID: id, Address: string(id), Protocol: table.Engine, Models: []ident.Model{"tea"}, Limit: 4})
	}
	r.tables.Publish(list)
}

func (r *requests) submit(e event) {
	q := &request{
		work: &work.Request{
			ID: ident.Request(e.Note), Organisation: "o", Operation: work.Chat, Model: "tea",
			Resumable: true, Stream: true, Fingerprint: e.Print,
		},
		tokens: e.Tokens, command: make(chan event),
	}
	r.running[e.Note] = q
	go func() {
		q.err = r.dispatch.Dispatch(context.Background(), q.work, q)
		q.done = true
	}()
}

// Protocol, Healthy and Send make the requests a sender.
func (r *requests) Protocol() table.Protocol { return table.Engine }

func (r *requests) CheckHealth(_ context.Context, address string) error {
	if slices.Contains(r.dead, ident.Endpoint(address)) {
		return code.EndpointUnreachable.New("endpoint %s", address)
	}
	return nil
}

// Send carries out the answers of the trace until one has a code.
func (r *requests) Send(_ context.Context, e *table.Endpoint, w *work.Request, sent work.PartialAnswer, s work.Sink) error {
	q, next := r.running[string(w.ID)], int(sent.Tokens)
	started := false
	for {
		var c event
		select {
		case c = <-q.command:
		case <-r.quit:
			return errors.New("the trace ends")
		}
		to := next + c.Tokens
		if c.Code == code.Answered {
			to = q.tokens
		}
		if to > next && !started {
			started = true
			if err := s.Start(work.Head{Endpoint: e.ID}); err != nil {
				return err
			}
		}
		for ; next < to; next++ {
			if err := s.Chunk(work.Chunk{Text: q.text(next, next+1), Tokens: 1}); err != nil {
				return err
			}
		}
		switch c.Code {
		case 0:
		case code.Answered:
			return s.End(work.End{FinishReason: "stop"})
		default:
			return c.Code.New("endpoint %s", e.ID)
		}
	}
}

func (r *requests) answer(c *qt.C, e event) {
	q := r.running[e.Note]
	c.Assert(q.done, qt.IsFalse, qt.Commentf("%v", q.err))
	q.command <- e
}

// result returns the code, the outcome and the number of tokens that the caller
// got, after a check that they are its own.
func (r *requests) result(c *qt.C, e event) []string {
	q := r.running[e.Note]
	c.Assert(q.done, qt.IsTrue)
	c.Assert(q.ends == 1, qt.Equals, q.err == nil)
	n := strings.Count(q.got, " ")
	c.Assert(q.got, qt.Equals, q.text(0, n))
	return []string{code.Of(q.err).String(), string(code.OutcomeOf(q.err)), fmt.Sprint(unit.Tokens(n))}
}

func (r *requests) close() { close(r.quit) }
