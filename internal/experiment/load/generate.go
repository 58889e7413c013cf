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

// Result is the result that a caller received for one request, including its retries.
type Result struct {
	// ScheduledAt is the scheduled time of the request, relative to the start of
	// the run. SendLag is the delay with which the generator sent the request.
	ScheduledAt  time.Duration        `json:"at"`
	SendLag      time.Duration        `json:"lag"`
	Kind         scenario.RequestKind `json:"kind"`
	Organisation ident.Organisation   `json:"organisation"`
	// Target is the address that the last attempt was sent to.
	Target  string       `json:"target"`
	Code    code.Code    `json:"code"`
	Outcome code.Outcome `json:"outcome"`
	// FirstTokenTime and TotalTime are measured from the first attempt.
	FirstTokenTime time.Duration   `json:"firstToken"`
	TotalTime      time.Duration   `json:"total"`
	TokenGaps      []time.Duration `json:"-"`
	Tokens         int             `json:"tokens"`
	// Started says that an answer began, Complete that the answer ended with its
	// end marker.
	Started  bool `json:"begun"`
	Complete bool `json:"whole"`
	// Retries is the number of retries by the caller.
	Retries int `json:"retries"`
	// FirstAttemptCode is the code of the first attempt, if the request was
	// retried.
	FirstAttemptCode code.Code `json:"firstCode,omitempty"`
	// Unsent says that the request was not sent because MaxInFlight was reached.
	Unsent bool `json:"unsent"`
}

// Refused reports whether the request certainly did not run: a daemon refused it as
// not run, or no connection could be opened.
func (r *Result) Refused() bool { return !r.Started && r.Outcome == code.NotRun }

// CutOff reports whether an answer began but is incomplete.
func (r *Result) CutOff() bool { return r.Started && !r.Complete }

// Failed reports whether no answer began and the request may have run.
func (r *Result) Failed() bool { return !r.Started && r.Outcome != code.NotRun }

// targetPicker chooses the address that an attempt is sent to. avoid is the address
// of the previous attempt, or empty.
type targetPicker interface {
	PickTarget(avoid string) string
}

// Options configure a Generator.
type Options struct {
	Clock  clock.Clock
	Picker targetPicker
	// Retries is how often a caller retries a request that was refused with a
	// retryable code or got no answer.
	Retries int
	// MaxInFlight limits the number of requests in flight.
	MaxInFlight int
}

const (
	// defaultRetryWait is the wait before a retry if the answer has no
	// Retry-After. maxRetryWait limits the wait that an answer can demand.
	defaultRetryWait = 200 * time.Millisecond
	maxRetryWait     = time.Second
	// answerWait limits the wait for answers after the last request was sent.
	answerWait = 20 * time.Second
)

// Generator sends requests at their scheduled times, whether or not earlier
// requests have been answered.
type Generator struct {
	Options
	client   *client
	inFlight atomic.Int64
}

// New returns a Generator that sends nothing before Run is called.
func New(o Options) *Generator {
	return &Generator{Options: o, client: newClient(o.Clock)}
}

// Run sends the requests and returns their results in the same order. A request
// that has not been answered when answerWait is over has the code NoAnswer.
func (g *Generator) Run(ctx context.Context, start time.Time, requests []scenario.Request) []Result {
	results := make([]Result, len(requests))
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range requests {
		request := &requests[i]
		results[i] = Result{ScheduledAt: request.ArrivalTime, Kind: request.Kind, Organisation: request.Organisation, Code: NoAnswer, Outcome: code.Unknown}
		if !g.waitUntil(ctx, start.Add(request.ArrivalTime)) {
			break
		}
		if g.inFlight.Add(1) > int64(g.MaxInFlight) {
			g.inFlight.Add(-1)
			results[i].Unsent = true
			continue
		}
		group.Go(func() {
			r := g.sendRequest(ctx, start, request)
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

// waitForAnswers waits until all requests are answered, at most for answerWait.
func (g *Generator) waitForAnswers(ctx context.Context, group *sync.WaitGroup) {
	allAnswered := make(chan struct{})
	go func() {
		group.Wait()
		close(allAnswered)
	}()
	timer := g.Clock.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case <-allAnswered:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// waitUntil waits until a point in time and returns false if the context ends earlier.
func (g *Generator) waitUntil(ctx context.Context, deadline time.Time) bool {
	remaining := deadline.Sub(g.Clock.Now())
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	timer := g.Clock.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest sends one request and retries as the caller would.
func (g *Generator) sendRequest(ctx context.Context, start time.Time, scheduled *scenario.Request) Result {
	r := Result{ScheduledAt: scheduled.ArrivalTime, Kind: scheduled.Kind, Organisation: scheduled.Organisation}
	sentAt := g.Clock.Now()
	r.SendLag = sentAt.Sub(start.Add(scheduled.ArrivalTime))
	for {
		r.Target = g.Picker.PickTarget(r.Target)
		a := g.client.send(r.Target, scheduled)
		r.Code, r.Outcome, r.Started, r.Complete = a.code, a.outcome, a.started, a.complete
		r.TokenGaps, r.Tokens, r.TotalTime = a.tokenGaps, a.tokens, a.endedAt.Sub(sentAt)
		if !a.firstTokenAt.IsZero() {
			r.FirstTokenTime = a.firstTokenAt.Sub(sentAt)
		}
		if r.Retries >= g.Retries || !retryable(&a, scheduled) {
			return r
		}
		if r.Retries == 0 {
			r.FirstAttemptCode = a.code
		}
		retryWait := defaultRetryWait
		if a.retryAfter > 0 {
			retryWait = min(a.retryAfter, maxRetryWait)
		}
		if !g.waitUntil(ctx, g.Clock.Now().Add(retryWait)) {
			return r
		}
		r.Retries++
	}
}

// firstRetryable and lastRetryable are the limits of the group of codes that mean
// "not run, may be sent again".
const (
	firstRetryable code.Code = 3000
	lastRetryable  code.Code = 3999
)

// retryable reports whether the caller retries after an attempt: after a refusal
// that allows a retry, and after a connection that failed without an answer. The
// latter is harmless for a chat, and for a call with an idempotency key.
func retryable(a *attempt, _ *scenario.Request) bool {
	if a.started {
		return false
	}
	return a.code == NoAnswer || a.code >= firstRetryable && a.code <= lastRetryable
}
