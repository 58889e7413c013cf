package dispatch

import (
	"strings"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/table"
)

// attemptSink is the sink for the attempts of one request. Endpoint protocols write
// to it, and it forwards the chunks to the caller's sink as one answer. It records the
// forwarded text, so that another replica can resume the answer after a failure.
type attemptSink struct {
	callerSink work.Sink
	clock      clock.Clock
	policy     routingPolicy
	endpoint   *table.Endpoint
	request    *work.Request
	// memory is what the answer holds.
	memory *budget.Reply

	// answerStarted says that the head was forwarded, answerResumed that a later
	// attempt continues the answer, and callerClosed that a write to the caller
	// has failed.
	answerStarted bool
	answerResumed bool
	callerClosed  bool
	// possibleRunFailure is the failure of the last attempt that may have run the
	// request.
	possibleRunFailure error
	// sentText and sentTokens are the text and the tokens that all attempts have
	// forwarded.
	sentText   strings.Builder
	sentTokens unit.Tokens

	// receivedChunk says that the current attempt has received a chunk.
	// cancelledOnStop says that it was cancelled because its endpoint stopped
	// before the first chunk.
	receivedChunk   atomic.Bool
	cancelledOnStop atomic.Bool

	// The times of the current attempt, and the gaps between chunks of all
	// attempts.
	attemptStart     time.Time
	timeToFirstChunk time.Duration
	lastChunkAt      time.Time
	chunkGaps        []time.Duration
}

func (d *Dispatcher) newAttemptSink(s work.Sink) *attemptSink {
	return &attemptSink{callerSink: s, clock: d.Clock, policy: d.Policy, memory: d.Replies.Open()}
}

// ReplyMemory returns what the answer holds, for an endpoint protocol that buffers more of it.
func (a *attemptSink) ReplyMemory() *budget.Reply {
	return a.memory
}

// bufferGrowth is the factor by which a buffer that grows may exceed its content.
const bufferGrowth = 2

// reserve reserves what is held of the chunk: the text, for another replica that resumes the answer, and
// what the caller's sink collects of an answer that is not streamed.
//
// Errors carry code.RepliesFull.
func (a *attemptSink) reserve(c work.Chunk) error {
	held := len(c.Text)
	if !a.request.Stream {
		held += len(c.Text) + len(c.Raw)
	}
	if err := a.memory.Reserve(unit.Bytes(bufferGrowth * held)); err != nil {
		return code.RepliesFull.Wrap(err, "hold answer of endpoint %s", a.endpoint.ID)
	}
	return nil
}

// beginAttempt resets the state of the current attempt.
func (a *attemptSink) beginAttempt(e *table.Endpoint, r *work.Request) {
	a.endpoint, a.request = e, r
	a.receivedChunk.Store(false)
	a.cancelledOnStop.Store(false)
	a.attemptStart = a.clock.Now()
	a.lastChunkAt = time.Time{}
	a.timeToFirstChunk = 0
}

// Start forwards the head of the first attempt's answer. It drops the head of a
// resumed answer.
func (a *attemptSink) Start(h work.Head) error {
	if a.answerStarted {
		return nil
	}
	a.answerStarted = true
	return a.recordCallerError(a.callerSink.Start(h))
}

// Chunk forwards a chunk and observes its time for the routing policy.
func (a *attemptSink) Chunk(c work.Chunk) error {
	now := a.clock.Now()
	a.receivedChunk.Store(true)
	if a.lastChunkAt.IsZero() {
		a.timeToFirstChunk = now.Sub(a.attemptStart)
		if a.streamsTokens() {
			a.policy.ObserveFirstToken(a.endpoint, a.request, a.timeToFirstChunk)
		}
	} else {
		gap := now.Sub(a.lastChunkAt)
		a.chunkGaps = append(a.chunkGaps, gap)
		if a.streamsTokens() {
			a.endpoint.Load.ObserveToken(gap)
		}
	}
	a.lastChunkAt = now
	if err := a.reserve(c); err != nil {
		return err
	}
	a.sentTokens += c.Tokens
	a.sentText.WriteString(c.Text)
	return a.recordCallerError(a.callerSink.Chunk(c))
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
	if a.answerResumed {
		e.Usage.Generated = a.sentTokens
	}
	return a.recordCallerError(a.callerSink.End(e))
}

// cancelBeforeFirstChunk cancels the attempt unless it has received a chunk. After the
// first chunk the endpoint protocol detects a stall.
func (a *attemptSink) cancelBeforeFirstChunk(cancel func()) {
	if !a.receivedChunk.Load() {
		a.cancelledOnStop.Store(true)
		cancel()
	}
}

// recordCallerError records a failed write to the caller and returns the error
// unchanged.
func (a *attemptSink) recordCallerError(err error) error {
	if err != nil {
		a.callerClosed = true
	}
	return err
}

// hasReachedTokenLimit reports whether the caller has received as many tokens as the
// request allows.
func (a *attemptSink) hasReachedTokenLimit(r *work.Request) bool {
	return !a.callerClosed && r.Resumable && r.MaxTokens > 0 && a.sentTokens >= r.MaxTokens
}

// recordFailure stores the failure if the attempt may have run the request.
func (a *attemptSink) recordFailure(failure error) {
	if code.OutcomeOf(failure) != code.NotRun {
		a.possibleRunFailure = failure
	}
}

// callerError returns the error for the caller after the failure of the last attempt.
// It never returns the outcome not-run after a part of the answer was forwarded, or
// after an attempt that may have run the request.
func (a *attemptSink) callerError(failure error) error {
	switch {
	case code.OutcomeOf(failure) != code.NotRun:
		return failure
	case a.answerStarted:
		return code.CutOff.Wrap(failure, "resume answer: cut off after %d tokens, and no other endpoint could resume it", a.sentTokens)
	case a.possibleRunFailure != nil:
		return a.possibleRunFailure
	}
	return failure
}

// callerRefusal returns the error for the caller when no endpoint was found for
// another attempt. This is the earlier failure if the request may have run, and the
// refusal otherwise.
func (a *attemptSink) callerRefusal(failure, refusal error) error {
	if a.answerStarted || a.possibleRunFailure != nil {
		return a.callerError(failure)
	}
	return refusal
}
