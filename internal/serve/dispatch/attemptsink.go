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

// attemptSink is the sink for the attempts of one request. Endpoint protocols write
// to it, and it forwards the chunks to the caller's sink as one answer. It keeps the
// forwarded text, so that another replica can resume the answer after a failure.
type attemptSink struct {
	callerSink work.Sink
	clock      clock.Clock
	policy     picker
	endpoint   *table.Endpoint
	request    *work.Request

	started      bool
	resumed      bool
	callerClosed bool
	// mayRunFailure is the failure of the last attempt that may have run the
	// request.
	mayRunFailure error
	// sentText and tokens are the text and the tokens that all attempts have
	// forwarded.
	sentText strings.Builder
	tokens   unit.Tokens

	// receiving says that the current attempt has received a chunk.
	// cancelledOnStop says that it was cancelled because its endpoint stopped
	// before the first chunk.
	receiving       atomic.Bool
	cancelledOnStop atomic.Bool

	// The times of the current attempt, and the gaps between chunks of all
	// attempts.
	attemptStart     time.Time
	timeToFirstChunk time.Duration
	lastChunk        time.Time
	chunkGaps        []time.Duration
}

// beginAttempt resets the state of the current attempt.
func (a *attemptSink) beginAttempt(e *table.Endpoint, r *work.Request) {
	a.endpoint, a.request = e, r
	a.receiving.Store(false)
	a.cancelledOnStop.Store(false)
	a.attemptStart = a.clock.Now()
	a.lastChunk = time.Time{}
	a.timeToFirstChunk = 0
}

// Start forwards the head of the first attempt's answer. It drops the head of a
// resumed answer.
func (a *attemptSink) Start(h work.Head) error {
	if a.started {
		return nil
	}
	a.started = true
	return a.noteCallerError(a.callerSink.Start(h))
}

// Chunk forwards a chunk and observes its time for the routing policy.
func (a *attemptSink) Chunk(c work.Chunk) error {
	now := a.clock.Now()
	a.receiving.Store(true)
	if a.lastChunk.IsZero() {
		a.timeToFirstChunk = now.Sub(a.attemptStart)
		if a.streamsTokens() {
			a.policy.ObserveFirstToken(a.endpoint, a.request, a.timeToFirstChunk)
		}
	} else {
		gap := now.Sub(a.lastChunk)
		a.chunkGaps = append(a.chunkGaps, gap)
		if a.streamsTokens() {
			a.endpoint.Load.ObserveToken(gap)
		}
	}
	a.lastChunk = now
	a.tokens += c.Tokens
	a.sentText.WriteString(c.Text)
	return a.noteCallerError(a.callerSink.Chunk(c))
}

// streamsTokens reports whether each chunk is one token, so that the times of chunks
// can be observed as times of tokens. An answer that is not streamed arrives as a
// single chunk with its last token, and a plain service generates no tokens.
func (a *attemptSink) streamsTokens() bool {
	return a.request.Operation != work.ServiceCall && (a.request.Stream || a.request.Resumable)
}

// End forwards the end of the answer. The usage of a resumed answer has the tokens
// of all attempts.
func (a *attemptSink) End(e work.End) error {
	if a.resumed {
		e.Usage.Generated = a.tokens
	}
	return a.noteCallerError(a.callerSink.End(e))
}

// cancelUnlessReceiving cancels the attempt unless it has received a chunk. After the
// first chunk the endpoint protocol detects a stall.
func (a *attemptSink) cancelUnlessReceiving(cancel func()) {
	if !a.receiving.Load() {
		a.cancelledOnStop.Store(true)
		cancel()
	}
}

// noteCallerError records that the caller's sink has failed.
func (a *attemptSink) noteCallerError(err error) error {
	if err != nil {
		a.callerClosed = true
	}
	return err
}

// atLimit reports whether the caller has received as many tokens as the request
// allows.
func (a *attemptSink) atLimit(r *work.Request) bool {
	return !a.callerClosed && r.Resumable && r.MaxTokens > 0 && a.tokens >= r.MaxTokens
}

// recordFailure keeps the failure if the attempt may have run the request.
func (a *attemptSink) recordFailure(failure error) {
	if code.OutcomeOf(failure) != code.NotRun {
		a.mayRunFailure = failure
	}
}

// callerError returns the error for the caller after the failure of the last attempt.
// It never returns the outcome not-run after a part of the answer was forwarded, or
// after an attempt that may have run the request.
func (a *attemptSink) callerError(failure error) error {
	switch {
	case code.OutcomeOf(failure) != code.NotRun:
		return failure
	case a.started:
		return code.CutOff.Wrap(failure, "resume answer: cut off after %d tokens, and no other endpoint could resume it", a.tokens)
	case a.mayRunFailure != nil:
		return a.mayRunFailure
	}
	return failure
}

// callerRefusal returns the error for the caller when no endpoint was found for
// another attempt. This is the earlier failure if the request may have run, and the
// refusal otherwise.
func (a *attemptSink) callerRefusal(failure, refusal error) error {
	if a.started || a.mayRunFailure != nil {
		return a.callerError(failure)
	}
	return refusal
}
