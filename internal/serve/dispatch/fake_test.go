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

// harness is a dispatcher whose dependencies are fakes. The test controls each
// attempt by commands. The fakes record violations, which the test checks between
// two steps.
//
// The clock is the clock of the synctest bubble. clockwork's fake clock is unsuitable, as
// Err of its contexts (v0.5.0) blocks until they end. All times are a thousandth of
// the usual ones, since rapid stops after one day of bubble time.
type harness struct {
	clock      clock.Clock
	tables     *table.Publisher
	dispatcher *Dispatcher
	stop       chan struct{}
	endpoints  map[ident.Endpoint]table.Endpoint

	mu                 sync.Mutex
	attempts           []*attempt
	exchanges          []*exchange
	violations         []string
	inFlight           map[ident.Endpoint]unit.Requests
	coldGrants         map[ident.Endpoint]coldGrant
	claimStates        map[ident.IdempotencyKey]string
	runsByKey          map[ident.IdempotencyKey]int
	crashes            map[ident.Fingerprint]int
	unhealthy          map[ident.Endpoint]bool
	claimsExpired      bool
	initialRetryBudget int
	retryCount         int
}

type coldGrant struct {
	requests unit.Requests
	until    time.Time
}

// exchange is one request with what its caller received and how often it ran.
type exchange struct {
	harness      *harness
	request      *work.Request
	answerTokens int
	cancel       context.CancelFunc

	sends, resumptions, runs int
	receivedText             string
	starts, ends             int
	callerDisconnected       bool
	ended                    bool
	err                      error
}

// deterministicPicker chooses by the request alone, so that a seed reproduces a run.
type deterministicPicker struct{ policy.Random2 }

func (deterministicPicker) Pick(now time.Time, endpoints []*table.Endpoint, r *work.Request) *table.Endpoint {
	for i := range endpoints {
		e := endpoints[(i+len(r.ID)+int(r.ID[0]))%len(endpoints)]
		if e.Load.InFlight() < e.EffectiveLimit(now) {
			return e
		}
	}
	return nil
}

// attempt is one call of fakeSender.Send, which waits for commands of the test.
type attempt struct {
	exchange  *exchange
	sink      work.Sink
	endpoint  *table.Endpoint
	nextToken int
	started   bool
	// endsOnCancel says that the sender returns when its context ends.
	endsOnCancel bool
	commands     chan command
}

// command instructs an attempt to forward chunks and then to end, unless keepOpen is
// set.
type command struct {
	chunks   int
	keepOpen bool
	// complete forwards all remaining chunks and the end of the answer.
	complete bool
	// ran says that the request ran before the failure. Otherwise an attempt that
	// has not started its answer fails without a run.
	ran     bool
	failure error
	// headOnly starts the answer even without a chunk.
	headOnly bool
}

func newHarness() *harness {
	h := &harness{
		clock: clock.Real(), tables: table.NewPublisher(), stop: make(chan struct{}),
		endpoints: make(map[ident.Endpoint]table.Endpoint), inFlight: make(map[ident.Endpoint]unit.Requests),
		coldGrants: make(map[ident.Endpoint]coldGrant), claimStates: make(map[ident.IdempotencyKey]string),
		runsByKey: make(map[ident.IdempotencyKey]int), crashes: make(map[ident.Fingerprint]int),
		unhealthy: make(map[ident.Endpoint]bool),
	}
	h.dispatcher = New(Options{
		Clock: h.clock, Log: zerolog.Nop(), Tables: h.tables, Records: h, Policy: deterministicPicker{}, Claims: h, Poison: h,
		Senders:   map[table.Protocol]sender{table.Engine: fakeSender{h, table.Engine}, table.Service: fakeSender{h, table.Service}},
		Telemetry: NewTelemetry(prometheus.NewRegistry()),
		Settings: Settings{
			QueueLimit: 8, QueueWait: settings.DurationOf(2 * time.Millisecond), Recheck: settings.DurationOf(100 * time.Microsecond),
			RetryAfter: settings.DurationOf(time.Millisecond), Avoid: settings.DurationOf(2 * time.Millisecond), HealthTimeout: settings.DurationOf(500 * time.Microsecond), RelayAvoid: settings.DurationOf(time.Millisecond),
		},
	})
	return h
}

var testView = record.NewView([]*record.Record{
	{Name: record.Name{Kind: record.DeploymentKind, Name: "m"}, Deployment: &record.Deployment{Name: "m", Model: "m"}},
	{Name: record.Name{Kind: record.OrganisationKind, Name: "o"}, Organisation: &record.Organisation{Name: "o", Weight: 1}},
	{Name: record.Name{Kind: record.OrganisationKind, Name: "p"}, Organisation: &record.Organisation{Name: "p", Weight: 3, Limit: 4}},
})

func (h *harness) View() *record.View { return testView }
func (h *harness) Ready() bool        { return true }

func (h *harness) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// advanceClock waits for the duration in bubble time.
func (h *harness) advanceClock(d time.Duration) { <-h.clock.After(d) }

func (h *harness) publishEndpoints() {
	var endpoints []table.Endpoint
	for _, e := range h.endpoints {
		endpoints = append(endpoints, e)
	}
	h.tables.Publish(endpoints)
}

// withLock runs change under the lock of the fakes.
func (h *harness) withLock(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// waitingAttempts returns the attempts that wait for a command.
func (h *harness) waitingAttempts() []*attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.attempts)
}

func (h *harness) setEndpoint(e table.Endpoint) {
	h.withLock(func() { h.endpoints[e.ID] = e })
}

func (h *harness) setColdGrant(id ident.Endpoint, g coldGrant) {
	h.withLock(func() { h.coldGrants[id] = g })
	if e := h.tables.Current().Endpoint(id); e != nil {
		e.Load.SetColdGrant(g.requests, g.until)
	}
}

// Check and RecordCrash implement poisonDetector.
func (h *harness) Check(f ident.Fingerprint) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.crashes[f] >= 2 {
		return code.PoisonRequest.New("fingerprint %d", f)
	}
	return nil
}

func (h *harness) RecordCrash(f ident.Fingerprint, _ ident.Crash) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes[f]++
}

// Claim implements claimer.
func (h *harness) Claim(_ context.Context, key ident.IdempotencyKey, _ ident.Organisation, _ ident.Fingerprint) (work.SendPermit, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.claimStates[key] {
	case "sent":
		return nil, code.KeyInProgress.New("key %s", key)
	case "done":
		return nil, code.AlreadyRan.New("key %s", key)
	}
	h.claimStates[key] = "sent"
	return &fakePermit{h, key}, nil
}

type fakePermit struct {
	harness *harness
	key     ident.IdempotencyKey
}

func (p *fakePermit) endWithState(state string) {
	p.harness.mu.Lock()
	defer p.harness.mu.Unlock()
	if p.harness.claimStates[p.key] != "sent" {
		p.harness.addViolation("key %s: its send permit was used after its end", p.key)
	}
	p.harness.claimStates[p.key] = state
}

func (p *fakePermit) AuthoriseSend() error {
	p.harness.mu.Lock()
	expired := p.harness.claimsExpired
	p.harness.mu.Unlock()
	if expired {
		p.Release()
		return code.ClaimExpired.New("key %s", p.key)
	}
	return nil
}
func (p *fakePermit) Finish(code.Code) { p.endWithState("done") }
func (p *fakePermit) Release()         { p.endWithState("released") }

type fakeSender struct {
	harness  *harness
	protocol table.Protocol
}

func (f fakeSender) Protocol() table.Protocol { return f.protocol }

func (f fakeSender) CheckHealth(_ context.Context, address string) error {
	f.harness.mu.Lock()
	defer f.harness.mu.Unlock()
	if f.harness.unhealthy[ident.Endpoint(address)] {
		return code.EndpointUnreachable.New("endpoint %s", address)
	}
	return nil
}

// answerText returns a part of the answer to the request, which is the same at every
// endpoint.
func (x *exchange) answerText(from, to int) string {
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
	a := &attempt{endpoint: e, sink: s, commands: make(chan command)}
	if r.Resumable {
		a.nextToken = int(sent.Tokens)
	}
	f.harness.beginAttempt(a, r, sent)
	defer f.harness.endAttempt(a)
	done := ctx.Done()
	for {
		select {
		case c := <-a.commands:
			if ended, err := a.executeCommand(c); ended {
				return err
			}
		case <-done:
			if a.endsOnCancel {
				a.recordRun()
				return code.CutOff.Wrap(ctx.Err(), "endpoint %s", e.ID)
			}
			done = nil
		case <-f.harness.stop:
			return errors.New("the test has ended")
		}
	}
}

func (h *harness) beginAttempt(a *attempt, r *work.Request, sent work.PartialAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ex := range h.exchanges {
		if ex.request == r {
			a.exchange = ex
		}
	}
	ex, id := a.exchange, a.endpoint.ID
	a.endsOnCancel = ex.answerTokens%2 == 0
	if ex.sends++; ex.sends > 1 {
		h.retryCount++
	}
	if sent.Text != "" {
		if ex.resumptions++; ex.resumptions > 1 {
			h.addViolation("request %s: resumed %d times", r.ID, ex.resumptions)
		}
	}
	if want := ex.answerText(0, a.nextToken); sent.Text != "" && sent.Text != want {
		h.addViolation("request %s: resumed after %q, want %q", r.ID, sent.Text, want)
	}
	now, limit := h.clock.Now(), h.endpoints[id].Limit
	if h.endpoints[id].Cold {
		limit = 0
		if g := h.coldGrants[id]; now.Before(g.until) {
			limit = g.requests
		}
	}
	if h.inFlight[id]++; h.inFlight[id] > limit {
		h.addViolation("endpoint %s: %d requests in flight, its limit is %d", id, h.inFlight[id], limit)
	}
	h.attempts = append(h.attempts, a)
}

func (h *harness) endAttempt(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight[a.endpoint.ID]--
	for i, other := range h.attempts {
		if other == a {
			h.attempts = append(h.attempts[:i], h.attempts[i+1:]...)
			return
		}
	}
}

func (a *attempt) recordRun() {
	h := a.exchange.harness
	h.mu.Lock()
	defer h.mu.Unlock()
	a.exchange.runs++
	if r := a.exchange.request; r.AtMostOnce {
		if h.runsByKey[r.IdempotencyKey]++; h.runsByKey[r.IdempotencyKey] > 1 {
			h.addViolation("key %s: ran %d times", r.IdempotencyKey, h.runsByKey[r.IdempotencyKey])
		}
	}
	if r := a.exchange.request; r.Operation == work.ServiceCall && r.Method == "POST" && a.exchange.runs > 1 {
		h.addViolation("request %s: a service call that is not repeatable ran %d times", r.ID, a.exchange.runs)
	}
}

// executeCommand executes a command and reports whether the attempt has ended.
func (a *attempt) executeCommand(c command) (bool, error) {
	if c.failure != nil && !c.ran && !a.started {
		return true, c.failure
	}
	if c.complete {
		c.chunks = a.exchange.answerTokens - a.nextToken
	}
	if !a.started && (c.chunks > 0 || c.complete || c.headOnly) {
		a.started = true
		if err := a.sink.Start(work.Head{Endpoint: a.endpoint.ID}); err != nil {
			a.recordRun()
			return true, err
		}
	}
	for range c.chunks {
		if a.nextToken == a.exchange.answerTokens {
			break
		}
		chunk := work.Chunk{Tokens: 1}
		if text := a.exchange.answerText(a.nextToken, a.nextToken+1); a.exchange.request.Resumable {
			chunk.Text = text
		} else {
			chunk.Raw = []byte(text)
		}
		a.nextToken++
		if err := a.sink.Chunk(chunk); err != nil {
			a.recordRun()
			return true, err
		}
	}
	if c.keepOpen {
		return false, nil
	}
	a.recordRun()
	if !c.complete {
		return true, c.failure
	}
	return true, a.sink.End(work.End{FinishReason: "stop"})
}

var errCallerDisconnected = errors.New("the caller has closed the connection")

func (x *exchange) recordWrite(f func()) error {
	x.harness.mu.Lock()
	defer x.harness.mu.Unlock()
	if x.callerDisconnected {
		return errCallerDisconnected
	}
	if x.ends > 0 {
		x.harness.addViolation("request %s: a write after the end of its answer", x.request.ID)
	}
	f()
	return nil
}

func (x *exchange) Start(work.Head) error { return x.recordWrite(func() { x.starts++ }) }
func (x *exchange) End(work.End) error    { return x.recordWrite(func() { x.ends++ }) }
func (x *exchange) Chunk(c work.Chunk) error {
	return x.recordWrite(func() {
		x.receivedText += c.Text + string(c.Raw)
		if !strings.HasPrefix(x.answerText(0, x.answerTokens), x.receivedText) || x.starts != 1 {
			x.harness.addViolation("request %s: got %q after %d starts", x.request.ID, x.receivedText, x.starts)
		}
	})
}

// submitRequest dispatches the request in the background. The answer has the given
// number of tokens.
func (h *harness) submitRequest(r *work.Request, tokens int) *exchange {
	ctx, cancel := context.WithCancel(context.Background())
	ex := &exchange{harness: h, request: r, answerTokens: tokens, cancel: cancel}
	h.mu.Lock()
	h.exchanges = append(h.exchanges, ex)
	h.mu.Unlock()
	go func() {
		err := h.dispatcher.Dispatch(ctx, r, ex)
		h.mu.Lock()
		defer h.mu.Unlock()
		ex.ended, ex.err = true, err
		ex.checkResult()
	}()
	return ex
}

// checkResult compares the result that the caller received with what happened.
func (x *exchange) checkResult() {
	h, id := x.harness, x.request.ID
	select {
	case <-h.stop:
		return
	default:
	}
	want := x.answerText(0, x.answerTokens)
	switch {
	case x.err == nil && (x.receivedText != want || x.starts != 1 || x.ends != 1):
		h.addViolation("request %s: success with %d starts, text %q and %d ends", id, x.starts, x.receivedText, x.ends)
	case x.err != nil && x.ends > 0:
		h.addViolation("request %s: the answer ended and then failed: %s", id, x.err)
	case x.err != nil && code.Of(x.err) == code.Internal:
		h.addViolation("request %s: %s", id, x.err)
	case x.err != nil && code.OutcomeOf(x.err) == code.NotRun && (x.runs > 0 || x.starts > 0):
		h.addViolation("request %s: ran %d times, but was reported as not run: %s", id, x.runs, x.err)
	}
}
