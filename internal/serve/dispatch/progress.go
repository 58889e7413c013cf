package dispatch

import (
	"strings"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/table"
)

// progress is the sink that an endpoint protocol writes to. It passes the
// answer on to the caller's sink over all attempts, and keeps the text already
// passed on, so that another replica can resume it.
type progress struct {
	sink     work.Sink
	clock    clock.Clock
	policy   picker
	endpoint *table.Endpoint
	request  *work.Request

	started      bool
	resumed      bool
	callerClosed bool
	// mayRun is the last failure of an attempt that may have run.
	mayRun error
	sent   strings.Builder
	tokens unit.Tokens

	// flowing says that the attempt has got a piece of its answer; abandoned,
	// that it was cancelled because its endpoint stopped before that.
	flowing   atomic.Bool
	abandoned atomic.Bool

	begun time.Time
	first time.Duration
	last  time.Time
	gaps  []time.Duration
}

// begin marks the start of an attempt.
func (p *progress) begin(e *table.Endpoint, r *work.Request) {
	p.endpoint, p.request = e, r
	p.flowing.Store(false)
	p.abandoned.Store(false)
	p.begun = p.clock.Now()
	p.last = time.Time{}
	p.first = 0
}

// Start passes on the first attempt's head; the caller has seen it when an
// answer is resumed.
func (p *progress) Start(h work.Head) error {
	if p.started {
		return nil
	}
	p.started = true
	return p.caller(p.sink.Start(h))
}

// Chunk passes on a piece.
func (p *progress) Chunk(piece work.Chunk) error {
	now := p.clock.Now()
	p.flowing.Store(true)
	if p.last.IsZero() {
		p.first = now.Sub(p.begun)
		if p.streamed() {
			p.policy.ObserveFirstToken(p.endpoint, p.request, p.first)
		}
	} else {
		gap := now.Sub(p.last)
		p.gaps = append(p.gaps, gap)
		if p.streamed() {
			p.endpoint.Load.ObserveToken(gap)
		}
	}
	p.last = now
	p.tokens += piece.Tokens
	p.sent.WriteString(piece.Text)
	return p.caller(p.sink.Chunk(piece))
}

// streamed reports whether pieces are tokens. The single piece of a whole
// answer comes with its last token, and a plain service has none.
func (p *progress) streamed() bool {
	return p.request.Operation != work.ServiceCall && (p.request.Stream || p.request.Resumable)
}

// End passes on the end, with the tokens of all attempts.
func (p *progress) End(e work.End) error {
	if p.resumed {
		e.Usage.Generated = p.tokens
	}
	return p.caller(p.sink.End(e))
}

// abandon cancels the attempt unless its answer has begun to flow. Silence after
// that is noticed by the endpoint protocol.
func (p *progress) abandon(cancel func()) {
	if !p.flowing.Load() {
		p.abandoned.Store(true)
		cancel()
	}
}

func (p *progress) caller(err error) error {
	if err != nil {
		p.callerClosed = true
	}
	return err
}

// atLimit reports whether every token that the caller allowed was passed on.
func (p *progress) atLimit(r *work.Request) bool {
	return !p.callerClosed && r.Resumable && r.MaxTokens > 0 && p.tokens >= r.MaxTokens
}

// failed keeps the failure of an attempt.
func (p *progress) failed(failure error) {
	if code.OutcomeOf(failure) != code.NotRun {
		p.mayRun = failure
	}
}

// outcome returns the failure as the caller has to see it: after a part of the
// answer was passed on, or after an attempt that may have run, nothing may be
// called "not run".
func (p *progress) outcome(failure error) error {
	switch {
	case code.OutcomeOf(failure) != code.NotRun:
		return failure
	case p.started:
		return code.CutOff.Wrap(failure, "the answer broke off after %d tokens and could not be resumed", p.tokens)
	case p.mayRun != nil:
		return p.mayRun
	}
	return failure
}

// refused returns what to tell the caller when no endpoint could be found for
// another attempt: the earlier failure, if the request may have run.
func (p *progress) refused(failure, refusal error) error {
	if p.started || p.mayRun != nil {
		return p.outcome(failure)
	}
	return refusal
}
