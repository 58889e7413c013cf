package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/route/cost"
)

// bufferPool has buffers for events that are forwarded.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, initialBufferSize); return &b }}

// Sizes of the buffers. A larger one, which an event without end leaves, is not kept.
const (
	initialBufferSize = 2 << 10
	maxPooledBuffer   = 8 << 10
)

// runStream runs a request whose answer is forwarded event by event. When an endpoint
// fails, a resumable stream is continued at another endpoint.
func (x *exchange) runStream(ctx context.Context) error {
	b := bufferPool.Get().(*[]byte)
	ev := &eventBuffer{lastID: x.request.LastEventID, hasLastID: x.request.LastEventID > 0, isWhole: x.request.LastEventID == 0, unforwarded: (*b)[:0]}
	// A pooled buffer is within what each reply may hold.
	if err := x.memory.Reserve(unit.Bytes(cap(ev.unforwarded))); err != nil {
		return code.Internal.Wrap(err, "reserve the first buffer of a stream")
	}
	defer func() {
		if cap(ev.unforwarded) <= maxPooledBuffer {
			*b = ev.unforwarded[:0]
			bufferPool.Put(b)
		}
	}()
	for {
		e, err := x.pickEndpoint(ctx)
		if err != nil {
			return x.abortStream(x.callerError(err))
		}
		err = x.streamFrom(ctx, e, ev)
		if err == nil {
			return nil
		}
		x.recordFailure(ctx, e, err)
		if ctxErr := x.contextError(ctx); ctxErr != nil {
			return x.abortStream(ctxErr)
		}
		if code.Of(err) == code.CallerClosed || !x.mayRetryFailed(err) {
			return x.abortStream(x.callerError(err))
		}
		ev.dropIncomplete()
		ev.isWhole = ev.isWhole && ev.count == 0
	}
}

// abortStream aborts an answer that was started, so that it does not look complete to
// the caller, and returns the error for the caller.
func (x *exchange) abortStream(err error) error {
	if !x.sink.Started() {
		return err
	}
	x.sink.Abort()
	if code.OutcomeOf(err) == code.NotRun {
		return code.CutOff.Wrap(err, "forward stream: the stream was cut off and could not be resumed at another endpoint")
	}
	return err
}

// streamFrom makes one attempt at the endpoint and forwards its events.
func (x *exchange) streamFrom(ctx context.Context, e *catalog.Endpoint, ev *eventBuffer) error {
	a := x.newAttempt(e)
	if ev.hasLastID {
		a.ResumeAfter = ev.lastID
	}
	detector := &stallDetector{exchange: x, endpoint: e, attemptStart: x.Clock.Now()}
	defer x.countInFlight(e)()
	detector.run = x.Costs.StartRun(detector.attemptStart, e, x.profile(), x.estimate)
	defer detector.run.End()
	x.expectedFirst = detector.run.Expected()
	reply, err := x.Sender.Send(ctx, a, detector.keepWaiting)
	if err != nil {
		return err
	}
	defer reply.Close()
	head := x.readHead(e, reply)
	if err := dispositionError(e, head); err != nil {
		return err
	}
	if head.Status != http.StatusOK {
		return x.forwardNonStream(e, reply)
	}
	if err := x.copyEvents(e, reply, ev, detector); err != nil {
		return err
	}
	e.Load.RecordSuccess(x.Clock.Since(detector.attemptStart))
	if ev.isWhole {
		now := x.Clock.Now()
		detector.run.Completed(now)
		x.Costs.Record(now, x.profile(), x.estimate, cost.StreamTokens(x.engine, ev.count))
	}
	x.Poison.RecordCompletion(x.request.Fingerprint)
	if x.attemptEvents < startedEvents {
		x.Parts.RecordPartStart(x.request.SharedParts)
	}
	return nil
}

// forwardNonStream forwards a reply that is not a stream, or returns an error if the
// request may be tried at another endpoint.
func (x *exchange) forwardNonStream(e *catalog.Endpoint, reply Reply) error {
	head := reply.Head()
	body, err := x.readBody(e, reply)
	if err != nil {
		return err
	}
	mayRetry := head.Status >= http.StatusInternalServerError && !e.IsRelay && x.possibleRuns+1 < x.route.MaxAttempts
	complete := &completeReply{head, body}
	if x.sink.Started() || mayRetry {
		x.discard(complete)
		return code.EndpointFailed.New("read reply of endpoint %s: got status %d instead of a stream", e.ID, head.Status)
	}
	return x.writeAnswer(complete, nil)
}

// copyEvents forwards complete events until the end of the reply's body.
func (x *exchange) copyEvents(e *catalog.Endpoint, reply Reply, ev *eventBuffer, detector *stallDetector) error {
	x.memory.StartRead(reply.Abort)
	defer x.memory.EndRead()
	for {
		if err := x.growBuffer(e, ev); err != nil {
			return err
		}
		n, err := reply.Read(ev.unforwarded[len(ev.unforwarded):cap(ev.unforwarded)])
		ev.unforwarded = ev.unforwarded[:len(ev.unforwarded)+n]
		complete, eventErr := ev.completeEvents()
		switch {
		case len(complete) > 0:
			detector.recordEvent()
		case eventErr == nil && n > 0 && detector.isTrickling():
			return code.Stalled.New("read stream of endpoint %s: bytes arrive, but no event is complete after event %d", e.ID, ev.lastID)
		}
		if eventErr == nil && errors.Is(err, io.EOF) && len(complete) == len(ev.unforwarded) {
			return x.endStream(reply, ev)
		}
		if len(complete) > 0 {
			x.startAnswer(reply.Head())
			if err := x.sink.Write(complete); err != nil {
				return code.CallerClosed.Wrap(err, "write event to the caller")
			}
			ev.discardForwarded(len(complete))
		}
		if eventErr != nil {
			return eventErr
		}
		if err != nil {
			return x.streamError(err, e, ev)
		}
	}
}

// growBuffer doubles the buffer if an incomplete event fills it.
//
// Errors carry code.ForeignAnswer or code.RepliesFull.
func (x *exchange) growBuffer(e *catalog.Endpoint, ev *eventBuffer) error {
	if len(ev.unforwarded) >= maxEventBytes {
		return code.ForeignAnswer.New("read stream of endpoint %s: an event after event %d has over %d bytes", e.ID, ev.lastID, maxEventBytes)
	}
	if len(ev.unforwarded) < cap(ev.unforwarded) {
		return nil
	}
	larger, err := budget.GrowBuffer(x.memory, ev.unforwarded, 2*cap(ev.unforwarded))
	if err != nil {
		return x.readError(err, code.RepliesFull, e)
	}
	ev.unforwarded = larger
	return nil
}

// streamError returns the error for a read that failed before the end of the stream.
func (x *exchange) streamError(err error, e *catalog.Endpoint, ev *eventBuffer) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return code.Stalled.Wrap(err, "read stream of endpoint %s: stalled after event %d", e.ID, ev.lastID)
	}
	return x.readError(err, code.CutOff, e)
}

// startAnswer starts the caller's answer with the head, unless it was started before.
func (x *exchange) startAnswer(head *proxy.Head) {
	if x.sink.Started() {
		return
	}
	x.timeToFirstByte = x.Clock.Since(x.request.Received)
	x.sink.Start(head.Status, head.Header, -1)
}

func (x *exchange) endStream(reply Reply, ev *eventBuffer) error {
	x.startAnswer(reply.Head())
	if err := x.sink.End(ev.unforwarded); err != nil {
		return code.CallerClosed.Wrap(err, "write last event to the caller")
	}
	return nil
}

// stallDetector decides when an endpoint that sends nothing counts as stalled.
type stallDetector struct {
	*exchange
	endpoint     *catalog.Endpoint
	attemptStart time.Time
	// lastEventAt is the time at which this attempt last received a complete event,
	// zero before the first one.
	lastEventAt time.Time
	// run keeps the cost of the attempt in the endpoint's load.
	run cost.Run
}

// recordEvent records that complete events have arrived.
func (d *stallDetector) recordEvent() {
	now := d.Clock.Now()
	d.endpoint.Load.RecordProgress(now)
	d.run.FirstEvent(now)
	if d.attemptEvents++; d.attemptEvents == startedEvents {
		d.Parts.RecordPartStart(d.request.SharedParts)
	}
	d.lastEventAt = now
	if !d.lastEventTime.IsZero() {
		d.longestPause = max(d.longestPause, now.Sub(d.lastEventTime))
	}
	d.lastEventTime = now
}

// isTrickling reports whether the endpoint has sent no complete event for as long as a
// silent endpoint may take, although bytes arrive.
func (d *stallDetector) isTrickling() bool {
	since := d.lastEventAt
	if since.IsZero() {
		since = d.attemptStart
	}
	silence := d.Clock.Since(since)
	return silence >= maxStallTimeout && d.mayGiveUp(silence)
}

// mayGiveUp reports whether the attempt may end for the endpoint's silence. An answer that has
// begun would be broken off unless another endpoint takes the stream over; a sound endpoint may go
// on. Before its first event, the caller of a stream gets an error and tries elsewhere, which helps
// if this request may not be tried again, or after a longer silence than a sound endpoint's.
func (d *stallDetector) mayGiveUp(silence time.Duration) bool {
	switch {
	case !d.route.Repeatable():
		return false
	case d.reserveSuccessor(d.endpoint):
		return true
	case d.sink.Started():
		return false
	}
	return d.possibleRuns+1 >= d.route.MaxAttempts || silence >= maxStallTimeout
}

// Stall timeouts. In each pass, an engine sends the new tokens of all its streams. If
// no stream has sent anything for several passes, the endpoint has stalled. A single
// stream may pause for longer while other streams continue, because its prompt is
// prefilled or memory is short.
const (
	// SilenceCheckInterval is the time between two checks of an endpoint that
	// sends nothing.
	SilenceCheckInterval = 50 * time.Millisecond
	// minStallTimeout is the shortest stall timeout of an endpoint that sends
	// nothing on any stream.
	minStallTimeout = 200 * time.Millisecond
	// passMargin is the time by which a pass may exceed the longest pass that the
	// engine has published.
	passMargin = 60 * time.Millisecond
	// maxStallTimeout is the stall timeout of one stream while the endpoint sends
	// on other streams, or while the request may wait for a slot. It is longer than the
	// second for which a sound endpoint may be silent. Callers disconnect after 2 s.
	maxStallTimeout = 1500 * time.Millisecond
)

// nextEventTimeout returns how long an endpoint may send nothing on any stream before
// the next event of a stream.
func (d *stallDetector) nextEventTimeout() time.Duration {
	e := d.endpoint
	if e.Engine == nil {
		return maxStallTimeout
	}
	return max(e.Engine.MaxPassInterval(e.Model)+passMargin, minStallTimeout)
}

// firstEventTimeout returns how long an endpoint may send nothing on any stream before
// the first event: the pass that is running and a pass that prefills the prompt. It is
// longer if the request may have to wait for a slot.
func (d *stallDetector) firstEventTimeout() time.Duration {
	e := d.endpoint
	if e.Engine == nil || e.Load.TotalInFlight() >= e.Slots {
		return maxStallTimeout
	}
	return 2*d.nextEventTimeout() + e.Engine.PrefillTime(e.Model, d.request.PromptTokens)
}

// keepWaiting reports whether to wait further for an attempt that has received nothing
// for the given time.
func (d *stallDetector) keepWaiting(silence time.Duration) bool {
	if !d.hasStalled(silence) {
		return true
	}
	d.reportStall(d.endpoint)
	return !d.mayGiveUp(silence)
}

// hasStalled reports whether the endpoint counts as stalled after the silence of this attempt.
func (d *stallDetector) hasStalled(silence time.Duration) bool {
	if silence >= maxStallTimeout {
		return true
	}
	endpointSilence := d.Clock.Since(d.endpoint.Load.LastProgress())
	if !d.lastEventAt.IsZero() || d.Links.CutOff() {
		return min(silence, endpointSilence) >= d.nextEventTimeout()
	}
	return min(silence, endpointSilence) >= d.firstEventTimeout()
}
