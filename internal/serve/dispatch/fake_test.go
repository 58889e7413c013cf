package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/policy"
	"cuminbay/internal/route/table"
)

// harness is a dispatcher over fakes. The test commands each attempt; the fakes
// note violations, which are read between two steps.
//
// The clock is the one of the synctest bubble. clockwork's fake clock does not
// do, as the Err of its contexts (v0.5.0) waits for their end. Times are a
// thousandth of the usual ones, since rapid ends after a day of the bubble.
type harness struct {
	clock      clock.Clock
	tables     *table.Publisher
	dispatcher *Dispatcher
	stop       chan struct{}
	endpoints  map[ident.Endpoint]table.Endpoint

	mu            sync.Mutex
	attempts      []*attempt
	exchanges     []*exchange
	violations    []string
	inFlight      map[ident.Endpoint]unit.Requests
	grants        map[ident.Endpoint]grant
	claimStates   map[ident.RequestKey]string
	runsByKey     map[ident.RequestKey]int
	crashes       map[ident.Fingerprint]int
	unhealthy     map[ident.Endpoint]bool
	claimsExpired bool
	budget        int
	retries       int
}

type grant struct {
	requests unit.Requests
	until    time.Time
}

// exchange is one request with what its caller got and what its runs were.
type exchange struct {
	harness *harness
	request *work.Request
	tokens  int
	cancel  context.CancelFunc

	sends, resumed, runs int
	received             string
	starts, ends         int
	callerLeft           bool
	done                 bool
	err                  error
}

// deterministicPicker chooses by the request alone, so that a seed repeats its run.
type deterministicPicker struct{ policy.Random2 }

func (deterministicPicker) Pick(now time.Time, list []*table.Endpoint, r *work.Request) *table.Endpoint {
	for i := range list {
		e := list[(i+len(r.ID)+int(r.ID[0]))%len(list)]
		if e.Load.InFlight() < e.EffectiveLimit(now) {
			return e
		}
	}
	return nil
}

// attempt is one call of a sender that waits for its commands.
type attempt struct {
	exchange *exchange
	sink     work.Sink
	endpoint *table.Endpoint
	next     int
	started  bool
	// endsOnCancel says that the sender notices the end of its context by itself.
	endsOnCancel bool
	command      chan command
}

// command passes on pieces up to the count and then ends the attempt, unless
// it is to continue.
type command struct {
	pieces   int
	more     bool
	whole    bool
	ran      bool
	failure  error
	headOnly bool
}

func newHarness() *harness {
	w := &harness{
		clock: clock.Real(), tables: table.NewPublisher(), stop: make(chan struct{}),
		endpoints: make(map[ident.Endpoint]table.Endpoint), inFlight: make(map[ident.Endpoint]unit.Requests),
		grants: make(map[ident.Endpoint]grant), claimStates: make(map[ident.RequestKey]string),
		runsByKey: make(map[ident.RequestKey]int), crashes: make(map[ident.Fingerprint]int),
		unhealthy: make(map[ident.Endpoint]bool),
	}
	w.dispatcher = New(Options{
		Clock: w.clock, Log: zerolog.Nop(), Tables: w.tables, Records: w, Policy: deterministicPicker{}, Claims: w, Poison: w,
		Senders:   map[table.Protocol]sender{table.Engine: fakeSender{w, table.Engine}, table.Service: fakeSender{w, table.Service}},
		Telemetry: NewTelemetry(prometheus.NewRegistry()),
		Settings: Settings{
			QueueLimit: 8, QueueWait: settings.DurationOf(2 * time.Millisecond), Recheck: settings.DurationOf(100 * time.Microsecond),
			RetryAfter: settings.DurationOf(time.Millisecond), Avoid: settings.DurationOf(2 * time.Millisecond), HealthTimeout: settings.DurationOf(500 * time.Microsecond), RelayAvoid: settings.DurationOf(time.Millisecond),
		},
	})
	return w
}

var view = record.NewView([]*record.Record{
	{Name: record.Name{Kind: record.DeploymentKind, Name: "m"}, Deployment: &record.Deployment{Name: "m", Model: "m"}},
	{Name: record.Name{Kind: record.OrganisationKind, Name: "o"}, Organisation: &record.Organisation{Name: "o", Weight: 1}},
	{Name: record.Name{Kind: record.OrganisationKind, Name: "p"}, Organisation: &record.Organisation{Name: "p", Weight: 3, Limit: 4}},
})

func (w *harness) View() *record.View { return view }
func (w *harness) Ready() bool        { return true }

func (w *harness) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// advance lets the bubble's time pass.
func (w *harness) advance(d time.Duration) { <-w.clock.After(d) }

func (w *harness) publish() {
	var list []table.Endpoint
	for _, e := range w.endpoints {
		list = append(list, e)
	}
	w.tables.Publish(list)
}

// locked changes what the fakes read in other goroutines.
func (w *harness) locked(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// waiting returns the attempts that wait for a command.
func (w *harness) waiting() []*attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.attempts)
}

func (w *harness) setEndpoint(e table.Endpoint) {
	w.locked(func() { w.endpoints[e.ID] = e })
}

func (w *harness) grant(id ident.Endpoint, g grant) {
	w.locked(func() { w.grants[id] = g })
	if e := w.tables.Current().Endpoint(id); e != nil {
		e.Load.SetColdGrant(g.requests, g.until)
	}
}

// Check and Suspect stand for the suspicions of poison requests.
func (w *harness) Check(f ident.Fingerprint) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashes[f] >= 2 {
		return code.PoisonRequest.New("fingerprint %d", f)
	}
	return nil
}

func (w *harness) RecordCrash(f ident.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes[f]++
}

// Claim stands for the claims in the platform.
func (w *harness) Claim(_ context.Context, key ident.RequestKey, _ ident.Organisation, _ ident.Fingerprint) (work.SendPermit, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.claimStates[key] {
	case "sent":
		return nil, code.KeyInProgress.New("key %s", key)
	case "done":
		return nil, code.AlreadyRan.New("key %s", key)
	}
	w.claimStates[key] = "sent"
	return &fakePermit{w, key}, nil
}

type fakePermit struct {
	harness *harness
	key     ident.RequestKey
}

func (t *fakePermit) set(state string) {
	t.harness.mu.Lock()
	defer t.harness.mu.Unlock()
	if t.harness.claimStates[t.key] != "sent" {
		t.harness.violation("key %s: ended twice", t.key)
	}
	t.harness.claimStates[t.key] = state
}

func (t *fakePermit) AuthoriseSend() error {
	t.harness.mu.Lock()
	expired := t.harness.claimsExpired
	t.harness.mu.Unlock()
	if expired {
		t.Release()
		return code.ClaimExpired.New("key %s", t.key)
	}
	return nil
}
func (t *fakePermit) Finish(code.Code) { t.set("done") }
func (t *fakePermit) Release()         { t.set("released") }

type fakeSender struct {
	w        *harness
	protocol table.Protocol
}

func (f fakeSender) Protocol() table.Protocol { return f.protocol }

func (f fakeSender) CheckHealth(_ context.Context, address string) error {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if f.w.unhealthy[ident.Endpoint(address)] {
		return code.EndpointUnreachable.New("endpoint %s", address)
	}
	return nil
}

// text is the answer to a request, the same wherever it runs.
func (x *exchange) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "%s.%d ", x.request.ID, i)
	}
	return b.String()
}

func (f fakeSender) Send(ctx context.Context, e *table.Endpoint, r *work.Request, sent work.PartialAnswer, s work.Sink) error {
	if ctx.Err() != nil {
		return code.EndpointUnreachable.Wrap(ctx.Err(), "endpoint %s", e.ID)
	}
	a := &attempt{endpoint: e, sink: s, command: make(chan command)}
	if r.Resumable {
		a.next = int(sent.Tokens)
	}
	f.w.beginAttempt(a, r, sent)
	defer f.w.endAttempt(a)
	done := ctx.Done()
	for {
		select {
		case c := <-a.command:
			if ended, err := a.execute(c); ended {
				return err
			}
		case <-done:
			if a.endsOnCancel {
				a.recordRun()
				return code.CutOff.Wrap(ctx.Err(), "endpoint %s", e.ID)
			}
			done = nil
		case <-f.w.stop:
			return errors.New("the test ends")
		}
	}
}

func (w *harness) beginAttempt(a *attempt, r *work.Request, sent work.PartialAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.exchanges {
		if x.request == r {
			a.exchange = x
		}
	}
	x, id := a.exchange, a.endpoint.ID
	a.endsOnCancel = x.tokens%2 == 0
	if x.sends++; x.sends > 1 {
		w.retries++
	}
	if sent.Text != "" {
		if x.resumed++; x.resumed > 1 {
			w.violation("request %s: resumed %d times", r.ID, x.resumed)
		}
	}
	if want := x.text(0, a.next); sent.Text != "" && sent.Text != want {
		w.violation("request %s: resumed from %q, want %q", r.ID, sent.Text, want)
	}
	now, bound := w.clock.Now(), w.endpoints[id].Limit
	if w.endpoints[id].Cold {
		bound = 0
		if g := w.grants[id]; now.Before(g.until) {
			bound = g.requests
		}
	}
	if w.inFlight[id]++; w.inFlight[id] > bound {
		w.violation("endpoint %s: %d in flight, its bound is %d", id, w.inFlight[id], bound)
	}
	w.attempts = append(w.attempts, a)
}

func (w *harness) endAttempt(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight[a.endpoint.ID]--
	for i, o := range w.attempts {
		if o == a {
			w.attempts = append(w.attempts[:i], w.attempts[i+1:]...)
			return
		}
	}
}

func (a *attempt) recordRun() {
	w := a.exchange.harness
	w.mu.Lock()
	defer w.mu.Unlock()
	a.exchange.runs++
	if r := a.exchange.request; r.AtMostOnce {
		if w.runsByKey[r.IdempotencyKey]++; w.runsByKey[r.IdempotencyKey] > 1 {
			w.violation("key %s: run %d times", r.IdempotencyKey, w.runsByKey[r.IdempotencyKey])
		}
	}
	if r := a.exchange.request; r.Operation == work.ServiceCall && r.Method == "POST" && a.exchange.runs > 1 {
		w.violation("request %s: a call that may not be repeated was run %d times", r.ID, a.exchange.runs)
	}
}

// execute carries out a command and reports whether the attempt has ended.
func (a *attempt) execute(c command) (bool, error) {
	if c.failure != nil && !c.ran && !a.started {
		return true, c.failure
	}
	if c.whole {
		c.pieces = a.exchange.tokens - a.next
	}
	if !a.started && (c.pieces > 0 || c.whole || c.headOnly) {
		a.started = true
		if err := a.sink.Start(work.Head{Endpoint: a.endpoint.ID}); err != nil {
			a.recordRun()
			return true, err
		}
	}
	for range c.pieces {
		if a.next == a.exchange.tokens {
			break
		}
		p := work.Chunk{Tokens: 1}
		if text := a.exchange.text(a.next, a.next+1); a.exchange.request.Resumable {
			p.Text = text
		} else {
			p.Raw = []byte(text)
		}
		a.next++
		if err := a.sink.Chunk(p); err != nil {
			a.recordRun()
			return true, err
		}
	}
	if c.more {
		return false, nil
	}
	a.recordRun()
	if !c.whole {
		return true, c.failure
	}
	return true, a.sink.End(work.End{FinishReason: "stop"})
}

var errCallerLeft = errors.New("the caller has gone")

func (x *exchange) write(f func()) error {
	x.harness.mu.Lock()
	defer x.harness.mu.Unlock()
	if x.callerLeft {
		return errCallerLeft
	}
	if x.ends > 0 {
		x.harness.violation("request %s: written to after its end", x.request.ID)
	}
	f()
	return nil
}

func (x *exchange) Start(work.Head) error { return x.write(func() { x.starts++ }) }
func (x *exchange) End(work.End) error    { return x.write(func() { x.ends++ }) }
func (x *exchange) Chunk(p work.Chunk) error {
	return x.write(func() {
		x.received += p.Text + string(p.Raw)
		if !strings.HasPrefix(x.text(0, x.tokens), x.received) || x.starts != 1 {
			x.harness.violation("request %s: got %q after %d starts", x.request.ID, x.received, x.starts)
		}
	})
}

// submit dispatches the request.
func (w *harness) submit(r *work.Request, tokens int) *exchange {
	ctx, cancel := context.WithCancel(context.Background())
	x := &exchange{harness: w, request: r, tokens: tokens, cancel: cancel}
	w.mu.Lock()
	w.exchanges = append(w.exchanges, x)
	w.mu.Unlock()
	go func() {
		err := w.dispatcher.Dispatch(ctx, r, x)
		w.mu.Lock()
		defer w.mu.Unlock()
		x.done, x.err = true, err
		x.checkResult()
	}()
	return x
}

// checkResult compares what the caller was told with what happened.
func (x *exchange) checkResult() {
	w, id := x.harness, x.request.ID
	select {
	case <-w.stop:
		return
	default:
	}
	want := x.text(0, x.tokens)
	switch {
	case x.err == nil && (x.received != want || x.starts != 1 || x.ends != 1):
		w.violation("request %s: success after %d starts, %q, %d ends", id, x.starts, x.received, x.ends)
	case x.err != nil && x.ends > 0:
		w.violation("request %s: an end and then %s", id, x.err)
	case x.err != nil && code.Of(x.err) == code.Internal:
		w.violation("request %s: %s", id, x.err)
	case x.err != nil && code.OutcomeOf(x.err) == code.NotRun && (x.runs > 0 || x.starts > 0):
		w.violation("request %s: run %d times, told not run: %s", id, x.runs, x.err)
	}
}
