package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/kernel/clock"
)

// Result is what the caller of one request saw.
type Result struct {
	// At is the scheduled time and Lag how much later it was sent.
	At           time.Duration      `json:"at"`
	Lag          time.Duration      `json:"lag"`
	Kind         scenario.Kind      `json:"kind"`
	Organisation ident.Organisation `json:"organisation"`
	Target       string             `json:"target"`
	Code         code.Code          `json:"code"`
	Outcome      code.Outcome       `json:"outcome"`
	// FirstToken and Total count from the first attempt.
	FirstToken time.Duration   `json:"firstToken"`
	Total      time.Duration   `json:"total"`
	Gaps       []time.Duration `json:"-"`
	Tokens     int             `json:"tokens"`
	// Begun says that an answer began, Whole that it ended properly.
	Begun bool `json:"begun"`
	Whole bool `json:"whole"`
	// Retries counts the caller's repetitions.
	Retries int `json:"retries"`
	// FirstCode is the result of the first attempt that was repeated.
	FirstCode code.Code `json:"firstCode,omitempty"`
	// Unsent says that the bound of requests in flight kept it from being sent.
	Unsent bool `json:"unsent"`
}

// Refused reports whether the request was refused as not run.
func (r *Result) Refused() bool { return !r.Begun && r.Outcome == code.NotRun }

// CutOff reports whether an answer began and did not end properly.
func (r *Result) CutOff() bool { return r.Begun && !r.Whole }

// Failed reports whether no answer began and it isn't known that nothing ran.
func (r *Result) Failed() bool { return !r.Begun && r.Outcome != code.NotRun }

// targetPicker chooses the target of an attempt.
type targetPicker interface {
	Pick(avoid string) string
}

// Options configure a Generator.
type Options struct {
	Clock  clock.Clock
	Target targetPicker
	// Retries is how often a caller repeats a request that was refused as not
	// run or could not be sent.
	Retries int
	// MaxInFlight bounds the requests at once.
	MaxInFlight int
}

const (
	// defaultRetryWait is the caller's wait where the answer names none; longestWait
	// bounds what an answer may ask for.
	defaultRetryWait = 200 * time.Millisecond
	maxRetryWait     = time.Second
	// answerWait bounds the wait for answers after the last request was sent.
	answerWait = 20 * time.Second
)

// Generator sends requests at their scheduled times, whether or not earlier
// ones are answered.
type Generator struct {
	Options
	client   *client
	inFlight atomic.Int64
}

// New returns a generator.
func New(o Options) *Generator {
	return &Generator{Options: o, client: newClient(o.Clock)}
}

// Run sends the requests and returns their results in the same order. Results
// of requests that did not end in time have the code NoAnswer.
func (g *Generator) Run(ctx context.Context, start time.Time, requests []scenario.Request) []Result {
	results := make([]Result, len(requests))
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range requests {
		q := &requests[i]
		results[i] = Result{At: q.At, Kind: q.Kind, Organisation: q.Organisation, Code: NoAnswer, Outcome: code.Unknown}
		if !g.wait(ctx, start.Add(q.At)) {
			break
		}
		if g.inFlight.Add(1) > int64(g.MaxInFlight) {
			g.inFlight.Add(-1)
			results[i].Unsent = true
			continue
		}
		group.Go(func() {
			r := g.sendRequest(ctx, start, q)
			g.inFlight.Add(-1)
			mu.Lock()
			defer mu.Unlock()
			results[i] = r
		})
	}
	g.waitForAnswers(ctx, &group)
	mu.Lock()
	defer mu.Unlock()
	return append([]Result(nil), results...)
}

func (g *Generator) waitForAnswers(ctx context.Context, group *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	timer := g.Clock.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

func (g *Generator) wait(ctx context.Context, until time.Time) bool {
	d := until.Sub(g.Clock.Now())
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := g.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest sends one request with the caller's repetitions.
func (g *Generator) sendRequest(ctx context.Context, start time.Time, q *scenario.Request) Result {
	r := Result{At: q.At, Kind: q.Kind, Organisation: q.Organisation}
	sent := g.Clock.Now()
	r.Lag = sent.Sub(start.Add(q.At))
	for {
		r.Target = g.Target.Pick(r.Target)
		a := g.client.send(r.Target, q)
		r.Code, r.Outcome, r.Begun, r.Whole = a.code, a.outcome, a.begun, a.whole
		r.Gaps, r.Tokens, r.Total = a.gaps, a.tokens, a.endedAt.Sub(sent)
		if !a.firstTokenAt.IsZero() {
			r.FirstToken = a.firstTokenAt.Sub(sent)
		}
		if r.Retries >= g.Retries || !retryable(&a, q) {
			return r
		}
		if r.Retries == 0 {
			r.FirstCode = a.code
		}
		wait := defaultRetryWait
		if a.retryAfter > 0 {
			wait = min(a.retryAfter, maxRetryWait)
		}
		if !g.wait(ctx, g.Clock.Now().Add(wait)) {
			return r
		}
		r.Retries++
	}
}

// firstRetryable and lastRetryable bound the codes "not run, may be sent again".
const (
	firstRetryable code.Code = 3000
	lastRetryable  code.Code = 3999
)

// retryable reports whether a caller sends the request again: after a refusal
// that allows it, and after a connection without an answer, which is harmless
// for a chat and for a call that carries a key.
func retryable(a *attempt, _ *scenario.Request) bool {
	if a.begun {
		return false
	}
	return a.code == NoAnswer || a.code >= firstRetryable && a.code <= lastRetryable
}
