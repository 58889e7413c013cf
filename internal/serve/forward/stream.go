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
	"cuminbay/internal/fleet/catalog"
)

// eventBuffers holds the buffers of events on their way.
var eventBuffers = sync.Pool{New: func() any { b := make([]byte, 0, eventBufferSize); return &b }}

const eventBufferSize = 2048

// runStream runs a request whose answer is passed on event by event. A stream
// that may be resumed goes on at another endpoint when its own fails.
func (x *exchange) runStream(ctx context.Context) error {
	b := eventBuffers.Get().(*[]byte)
	v := &events{last: x.request.LastEventID, lastKnown: x.request.LastEventID > 0, buffer: (*b)[:0]}
	defer func() {
		*b = v.buffer[:0]
		eventBuffers.Put(b)
	}()
	for {
		e, err := x.pick(ctx)
		if err != nil {
			return x.abortStream(x.callerError(err))
		}
		err = x.stream(ctx, e, v)
		if err == nil {
			return nil
		}
		x.recordFailure(ctx, e, err)
		if ended := x.contextError(ctx); ended != nil {
			return x.abortStream(ended)
		}
		if code.Of(err) == code.CallerClosed || !x.mayRetryFailed(err) {
			return x.abortStream(x.callerError(err))
		}
		v.reset()
	}
}

// abortStream ends an answer that was begun so that it doesn't look whole.
func (x *exchange) abortStream(err error) error {
	if !x.sink.Started() {
		return err
	}
	x.sink.Abort()
	if code.OutcomeOf(err) == code.NotRun {
		return code.CutOff.Wrap(err, "the stream broke off and could not go on elsewhere")
	}
	return err
}

// stream sends the request once and passes its events on.
func (x *exchange) stream(ctx context.Context, e *catalog.Endpoint, v *events) error {
	a := x.newAttempt(e)
	if v.lastKnown {
		a.ResumeAfter = v.last
	}
	defer x.countInFlight(e)()
	p := &silenceLimit{exchange: x, endpoint: e, attemptStart: x.Clock.Now()}
	reply, err := x.Sender.Send(ctx, a, p.keepWaiting)
	if err != nil {
		return err
	}
	defer reply.Close()
	head := reply.Head()
	if err := verdictError(e, head); err != nil {
		return err
	}
	if head.Status != http.StatusOK {
		return x.forwardNonStream(e, reply)
	}
	if err := x.copyEvents(e, reply, v, p); err != nil {
		return err
	}
	e.Load.RecordSuccess(x.Clock.Since(p.attemptStart))
	x.Poison.RecordCompletion(x.request.Fingerprint)
	return nil
}

// forwardNonStream passes on a reply that is no stream.
func (x *exchange) forwardNonStream(e *catalog.Endpoint, reply Reply) error {
	head := reply.Head()
	body, err := readBody(reply)
	if err != nil {
		return code.CutOff.Wrap(err, "endpoint %s: the answer broke off after %d bytes", e.ID, len(body))
	}
	if x.sink.Started() || head.Status >= http.StatusInternalServerError && x.possibleRuns+1 < x.route.MaxAttempts {
		return code.EndpointFailed.New("endpoint %s: answered %d", e.ID, head.Status)
	}
	return x.writeAnswer(&bufferedReply{head, body}, nil)
}

func (x *exchange) copyEvents(e *catalog.Endpoint, reply Reply, v *events, p *silenceLimit) error {
	for {
		if len(v.buffer) == cap(v.buffer) {
			v.buffer = append(v.buffer, 0)[:len(v.buffer)]
		}
		n, err := reply.Read(v.buffer[len(v.buffer):cap(v.buffer)])
		v.buffer = v.buffer[:len(v.buffer)+n]
		if n > 0 {
			now := x.Clock.Now()
			e.Load.RecordProgress(now)
			p.receiving = true
			if !x.lastEventTime.IsZero() {
				x.longestPause = max(x.longestPause, now.Sub(x.lastEventTime))
			}
			x.lastEventTime = now
		}
		whole, broken := v.complete()
		if broken != nil {
			return broken
		}
		if errors.Is(err, io.EOF) && len(whole) == len(v.buffer) {
			return x.endStream(reply, v)
		}
		if len(whole) > 0 {
			x.startAnswer(reply.Head())
			if err := x.sink.Write(whole); err != nil {
				return code.CallerClosed.Wrap(err, "an event could not be written")
			}
			v.discard(len(whole))
		}
		if err != nil {
			return streamError(err, e, v)
		}
	}
}

// streamError returns the error of a stream that ended before its end.
func streamError(err error, e *catalog.Endpoint, v *events) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return code.Stalled.Wrap(err, "endpoint %s: silent after event %d", e.ID, v.last)
	}
	return code.CutOff.Wrap(err, "endpoint %s: the stream broke off after event %d", e.ID, v.last)
}

// startAnswer passes on the first run's head, once.
func (x *exchange) startAnswer(head *proxy.Head) {
	if x.sink.Started() {
		return
	}
	x.timeToFirstByte = x.Clock.Since(x.request.Received)
	x.sink.Start(head.Status, head.Header, -1)
}

func (x *exchange) endStream(reply Reply, v *events) error {
	x.startAnswer(reply.Head())
	if err := x.sink.End(v.buffer); err != nil {
		return code.CallerClosed.Wrap(err, "the last event could not be written")
	}
	return nil
}

// silenceLimit decides how long a silent endpoint is waited for.
type silenceLimit struct {
	*exchange
	endpoint     *catalog.Endpoint
	attemptStart time.Time
	// receiving says that an event of this attempt has come.
	receiving bool
}

// Bounds of silence. An endpoint passes all its streams on together, so the
// silence of every stream for several passes is that of the endpoint. One stream
// may wait for longer while others flow, as its prompt is read or memory is
// short.
const (
	// SilenceCheckInterval is the time between two looks at a silent endpoint.
	SilenceCheckInterval = 50 * time.Millisecond
	// minSilence is the shortest silence that ends the wait when no stream of
	// the endpoint flows.
	minSilence = 200 * time.Millisecond
	// passSlack is what a pass may take above its published longest time.
	passSlack = 60 * time.Millisecond
	// maxStreamSilence ends the wait of one stream while others flow or wait for
	// a slot. Callers leave after 2 s.
	maxStreamSilence = 1500 * time.Millisecond
)

// nextEventLimit returns how long the next event may take at an endpoint that sends
// nothing.
func (p *silenceLimit) nextEventLimit() time.Duration {
	e := p.endpoint
	if e.Engine == nil {
		return maxStreamSilence
	}
	return max(e.Engine.MaxPassInterval(e.Model)+passSlack, minSilence)
}

// firstEventLimit returns how long the first event may take at an endpoint that sends
// nothing: the pass at work and one that reads the prompt, and more if the
// request may have to wait for a slot.
func (p *silenceLimit) firstEventLimit() time.Duration {
	e := p.endpoint
	if e.Engine == nil || e.Load.TotalInFlight() >= e.Slots {
		return maxStreamSilence
	}
	return 2*p.nextEventLimit() + e.Engine.PrefillTime(e.Model, p.request.PromptTokens)
}

// keepWaiting reports whether to go on waiting after a silence.
func (p *silenceLimit) keepWaiting(silence time.Duration) bool {
	if !p.route.Repeatable() {
		return true
	}
	if silence >= maxStreamSilence {
		return false
	}
	quiet := p.Clock.Since(p.endpoint.Load.LastProgress())
	if p.receiving {
		return min(silence, quiet) < p.nextEventLimit()
	}
	return min(silence, quiet) < p.firstEventLimit()
}
