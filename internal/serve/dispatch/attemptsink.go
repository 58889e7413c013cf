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

// attemptSink is the sink that an endpoint protocol writes to. It passes the
// answer on to the caller's sink over all attempts, and keeps the text already
// passed on, so that another replica can resume it.
type attemptSink struct {
	callerSink work.Sink
	clock      clock.Clock
	policy     picker
	endpoint   *table.Endpoint
	request    *work.Request

	started      bool
	resumed      bool
	callerClosed bool
	// mayRunFailure is the last failure of an attempt that may have run.
	mayRunFailure error
	sentText      strings.Builder
	tokens        unit.Tokens

	// receiving says that the attempt has got a piece of its answer; abandoned,
	// that it was cancelled because its endpoint stopped before that.
	receiving       atomic.Bool
	cancelledOnStop atomic.Bool

	attemptStart time.Time
	timeToFirst  time.Duration
	lastPiece    time.Time
	gaps         []time.Duration
}

// beginAttempt marks the start of an attempt.
func (p *attemptSink) beginAttempt(e *table.Endpoint, r *work.Request) {
	p.endpoint, p.request = e, r
	p.receiving.Store(false)
	p.cancelledOnStop.Store(false)
	p.attemptStart = p.clock.Now()
	p.lastPiece = time.Time{}
	p.timeToFirst = 0
}

// Start passes on the first attempt's head; the caller has seen it when an
// answer is resumed.
func (p *attemptSink) Start(h work.Head) error {
	if p.started {
		return nil
	}
	p.started = true
	return p.noteCallerError(p.callerSink.Start(h))
}

// Chunk passes on a piece.
func (p *attemptSink) Chunk(piece work.Chunk) error {
	now := p.clock.Now()
	p.receiving.Store(true)
	if p.lastPiece.IsZero() {
		p.timeToFirst = now.Sub(p.attemptStart)
		if p.streamsTokens() {
			p.policy.ObserveFirstToken(p.endpoint, p.request, p.timeToFirst)
		}
	} else {
		gap := now.Sub(p.lastPiece)
		p.gaps = append(p.gaps, gap)
		if p.streamsTokens() {
			p.endpoint.Load.ObserveToken(gap)
		}
	}
	p.lastPiece = now
	p.tokens += piece.Tokens
	p.sentText.WriteString(piece.Text)
	return p.noteCallerError(p.callerSink.Chunk(piece))
}

// streamsTokens reports whether pieces are tokens. The single piece of a whole
// answer comes with its last token, and a plain service has none.
func (p *attemptSink) streamsTokens() bool {
	return p.request.Operation != work.ServiceCall && (p.request.Stream || p.request.Resumable)
}

// End passes on the end, with the tokens of all attempts.
func (p *attemptSink) End(e work.End) error {
	if p.resumed {
		e.Usage.Generated = p.tokens
	}
	return p.noteCallerError(p.callerSink.End(e))
}

// cancelUnlessReceiving cancels the attempt unless its answer has begun to flow. Silence after
// that is noticed by the endpoint protocol.
func (p *attemptSink) cancelUnlessReceiving(cancel func()) {
	if !p.receiving.Load() {
		p.cancelledOnStop.Store(true)
		cancel()
	}
}

func (p *attemptSink) noteCallerError(err error) error {
	if err != nil {
		p.callerClosed = true
	}
	return err
}

// atLimit reports whether every token that the caller allowed was passed on.
func (p *attemptSink) atLimit(r *work.Request) bool {
	return !p.callerClosed && r.Resumable && r.MaxTokens > 0 && p.tokens >= r.MaxTokens
}

// recordFailure keeps the failure of an attempt.
func (p *attemptSink) recordFailure(failure error) {
	if code.OutcomeOf(failure) != code.NotRun {
		p.mayRunFailure = failure
	}
}

// callerError returns the failure as the caller has to see it: after a part of the
// answer was passed on, or after an attempt that may have run, nothing may be
// called "not run".
func (p *attemptSink) callerError(failure error) error {
	switch {
	case code.OutcomeOf(failure) != code.NotRun:
		return failure
	case p.started:
		return code.CutOff.Wrap(failure, "the answer broke off after %d tokens and could not be resumed", p.tokens)
	case p.mayRunFailure != nil:
		return p.mayRunFailure
	}
	return failure
}

// callerRefusal returns what to tell the caller when no endpoint could be found for
// another attempt: the earlier failure, if the request may have run.
func (p *attemptSink) callerRefusal(failure, refusal error) error {
	if p.started || p.mayRunFailure != nil {
		return p.callerError(failure)
	}
	return refusal
}
