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

// world is a dispatcher over fakes. The test commands each attempt; the fakes
// note violations, which are read between two steps.
//
// The clock is the one of the synctest bubble. clockwork's fake clock does not
// do, as the Err of its contexts (v0.5.0) waits for their end. Times are a
// thousandth of the usual ones, since rapid ends after a day of the bubble.
type world struct {
	clk   clock.Clock
	pub   *table.Publisher
	d     *Dispatcher
	quit  chan struct{}
	specs map[ident.Endpoint]table.Endpoint

	mu       sync.Mutex
	calls    []*attempt
	exchange []*exchange
	wrong    []string
	active   map[ident.Endpoint]unit.Requests
	grants   map[ident.Endpoint]grant
	keys     map[ident.RequestKey]string
	keyRuns  map[ident.RequestKey]int
	suspects map[ident.Fingerprint]int
	dead     map[ident.Endpoint]bool
	expire   bool
	budget   int
	retries  int
}

type grant struct {
	n     unit.Requests
	until time.Time
}

// exchange is one request with what its caller got and what its runs were.
type exchange struct {
	w       *world
	request *work.Request
	tokens  int
	cancel  context.CancelFunc

	sends, resumed, mayRun int
	got                    string
	starts, ends           int
	left                   bool
	done                   bool
	err                    error
}

// steady chooses by the request alone, so that a seed repeats its run.
type steady struct{ policy.Random2 }

func (steady) Pick(now time.Time, list []*table.Endpoint, r *work.Request) *table.Endpoint {
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
	x        *exchange
	sink     work.Sink
	endpoint *table.Endpoint
	next     int
	started  bool
	// heeds says that the sender notices the end of its context by itself.
	heeds   bool
	command chan command
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

func newWorld() *world {
	w := &world{
		clk: clock.Real(), pub: table.NewPublisher(), quit: make(chan struct{}),
		specs: make(map[ident.Endpoint]table.Endpoint), active: make(map[ident.Endpoint]unit.Requests),
		grants: make(map[ident.Endpoint]grant), keys: make(map[ident.RequestKey]string),
		keyRuns: make(map[ident.RequestKey]int), suspects: make(map[ident.Fingerprint]int),
		dead: make(map[ident.Endpoint]bool),
	}
	w.d = New(Options{
		Clock: w.clk, Log: zerolog.Nop(), Tables: w.pub, Records: w, Policy: steady{}, Claims: w, Poison: w,
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

func (w *world) View() *record.View { return view }
func (w *world) Ready() bool        { return true }

func (w *world) fault(format string, args ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

// advance lets the bubble's time pass.
func (w *world) advance(d time.Duration) { <-w.clk.After(d) }

func (w *world) publish() {
	var list []table.Endpoint
	for _, e := range w.specs {
		list = append(list, e)
	}
	w.pub.Publish(list)
}

// locked changes what the fakes read in other goroutines.
func (w *world) locked(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// waiting returns the attempts that wait for a command.
func (w *world) waiting() []*attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.calls)
}

func (w *world) set(e table.Endpoint) {
	w.locked(func() { w.specs[e.ID] = e })
}

func (w *world) grant(id ident.Endpoint, g grant) {
	w.locked(func() { w.grants[id] = g })
	if e := w.pub.Current().Endpoint(id); e != nil {
		e.Load.SetColdGrant(g.n, g.until)
	}
}

// Check and Suspect stand for the suspicions of poison requests.
func (w *world) Check(f ident.Fingerprint) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.suspects[f] >= 2 {
		return code.PoisonRequest.New("fingerprint %d", f)
	}
	return nil
}

func (w *world) RecordCrash(f ident.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspects[f]++
}

// Claim stands for the claims in the platform.
func (w *world) Claim(_ context.Context, key ident.RequestKey, _ ident.Organisation, _ ident.Fingerprint) (work.SendPermit, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.keys[key] {
	case "sent":
		return nil, code.KeyInProgress.New("key %s", key)
	case "done":
		return nil, code.AlreadyRan.New("key %s", key)
	}
	w.keys[key] = "sent"
	return &ticket{w, key}, nil
}

type ticket struct {
	w   *world
	key ident.RequestKey
}

func (t *ticket) set(state string) {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	if t.w.keys[t.key] != "sent" {
		t.w.fault("key %s: ended twice", t.key)
	}
	t.w.keys[t.key] = state
}

func (t *ticket) AuthoriseSend() error {
	t.w.mu.Lock()
	expired := t.w.expire
	t.w.mu.Unlock()
	if expired {
		t.Release()
		return code.ClaimExpired.New("key %s", t.key)
	}
	return nil
}
func (t *ticket) Finish(code.Code) { t.set("done") }
func (t *ticket) Release()         { t.set("released") }

type fakeSender struct {
	w        *world
	protocol table.Protocol
}

func (f fakeSender) Protocol() table.Protocol { return f.protocol }

func (f fakeSender) CheckHealth(_ context.Context, address string) error {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if f.w.dead[ident.Endpoint(address)] {
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
	f.w.begin(a, r, sent)
	defer f.w.leave(a)
	done := ctx.Done()
	for {
		select {
		case c := <-a.command:
			if ended, err := a.obey(c); ended {
				return err
			}
		case <-done:
			if a.heeds {
				a.ran()
				return code.CutOff.Wrap(ctx.Err(), "endpoint %s", e.ID)
			}
			done = nil
		case <-f.w.quit:
			return errors.New("the test ends")
		}
	}
}

func (w *world) begin(a *attempt, r *work.Request, sent work.PartialAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.exchange {
		if x.request == r {
			a.x = x
		}
	}
	x, id := a.x, a.endpoint.ID
	a.heeds = x.tokens%2 == 0
	if x.sends++; x.sends > 1 {
		w.retries++
	}
	if sent.Text != "" {
		if x.resumed++; x.resumed > 1 {
			w.fault("request %s: resumed %d times", r.ID, x.resumed)
		}
	}
	if want := x.text(0, a.next); sent.Text != "" && sent.Text != want {
		w.fault("request %s: resumed from %q, want %q", r.ID, sent.Text, want)
	}
	now, bound := w.clk.Now(), w.specs[id].Limit
	if w.specs[id].Cold {
		bound = 0
		if g := w.grants[id]; now.Before(g.until) {
			bound = g.n
		}
	}
	if w.active[id]++; w.active[id] > bound {
		w.fault("endpoint %s: %d in flight, its bound is %d", id, w.active[id], bound)
	}
	w.calls = append(w.calls, a)
}

func (w *world) leave(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[a.endpoint.ID]--
	for i, o := range w.calls {
		if o == a {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			return
		}
	}
}

func (a *attempt) ran() {
	w := a.x.w
	w.mu.Lock()
	defer w.mu.Unlock()
	a.x.mayRun++
	if r := a.x.request; r.AtMostOnce {
		if w.keyRuns[r.IdempotencyKey]++; w.keyRuns[r.IdempotencyKey] > 1 {
			w.fault("key %s: run %d times", r.IdempotencyKey, w.keyRuns[r.IdempotencyKey])
		}
	}
	if r := a.x.request; r.Operation == work.ServiceCall && r.Method == "POST" && a.x.mayRun > 1 {
		w.fault("request %s: a call that may not be repeated was run %d times", r.ID, a.x.mayRun)
	}
}

// obey carries out a command and reports whether the attempt has ended.
func (a *attempt) obey(c command) (bool, error) {
	if c.failure != nil && !c.ran && !a.started {
		return true, c.failure
	}
	if c.whole {
		c.pieces = a.x.tokens - a.next
	}
	if !a.started && (c.pieces > 0 || c.whole || c.headOnly) {
		a.started = true
		if err := a.sink.Start(work.Head{Endpoint: a.endpoint.ID}); err != nil {
			a.ran()
			return true, err
		}
	}
	for range c.pieces {
		if a.next == a.x.tokens {
			break
		}
		p := work.Chunk{Tokens: 1}
		if text := a.x.text(a.next, a.next+1); a.x.request.Resumable {
			p.Text = text
		} else {
			p.Raw = []byte(text)
		}
		a.next++
		if err := a.sink.Chunk(p); err != nil {
			a.ran()
			return true, err
		}
	}
	if c.more {
		return false, nil
	}
	a.ran()
	if !c.whole {
		return true, c.failure
	}
	return true, a.sink.End(work.End{FinishReason: "stop"})
}

var errGone = errors.New("the caller has gone")

func (x *exchange) write(f func()) error {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	if x.left {
		return errGone
	}
	if x.ends > 0 {
		x.w.fault("request %s: written to after its end", x.request.ID)
	}
	f()
	return nil
}

func (x *exchange) Start(work.Head) error { return x.write(func() { x.starts++ }) }
func (x *exchange) End(work.End) error    { return x.write(func() { x.ends++ }) }
func (x *exchange) Chunk(p work.Chunk) error {
	return x.write(func() {
		x.got += p.Text + string(p.Raw)
		if !strings.HasPrefix(x.text(0, x.tokens), x.got) || x.starts != 1 {
			x.w.fault("request %s: got %q after %d starts", x.request.ID, x.got, x.starts)
		}
	})
}

// submit dispatches the request.
func (w *world) submit(r *work.Request, tokens int) *exchange {
	ctx, cancel := context.WithCancel(context.Background())
	x := &exchange{w: w, request: r, tokens: tokens, cancel: cancel}
	w.mu.Lock()
	w.exchange = append(w.exchange, x)
	w.mu.Unlock()
	go func() {
		err := w.d.Dispatch(ctx, r, x)
		w.mu.Lock()
		defer w.mu.Unlock()
		x.done, x.err = true, err
		x.judge()
	}()
	return x
}

// judge compares what the caller was told with what happened.
func (x *exchange) judge() {
	w, id := x.w, x.request.ID
	select {
	case <-w.quit:
		return
	default:
	}
	want := x.text(0, x.tokens)
	switch {
	case x.err == nil && (x.got != want || x.starts != 1 || x.ends != 1):
		w.fault("request %s: success after %d starts, %q, %d ends", id, x.starts, x.got, x.ends)
	case x.err != nil && x.ends > 0:
		w.fault("request %s: an end and then %s", id, x.err)
	case x.err != nil && code.Of(x.err) == code.Internal:
		w.fault("request %s: %s", id, x.err)
	case x.err != nil && code.OutcomeOf(x.err) == code.NotRun && (x.mayRun > 0 || x.starts > 0):
		w.fault("request %s: run %d times, told not run: %s", id, x.mayRun, x.err)
	}
}
