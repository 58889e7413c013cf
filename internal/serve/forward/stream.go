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

// buffers holds the buffers of events on their way.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, eventBuffer); return &b }}

const eventBuffer = 2048

// runStream runs a request whose answer is passed on event by event. A stream
// that may be resumed goes on at another endpoint when its own fails.
func (x *exchange) runStream(ctx context.Context) error {
	b := buffers.Get().(*[]byte)
	v := &events{last: x.request.LastEventID, begun: x.request.LastEventID > 0, buffer: (*b)[:0]}
	defer func() {
		*b = v.buffer[:0]
		buffers.Put(b)
	}()
	for {
		e, err := x.pick(ctx)
		if err != nil {
			return x.broken(x.outcome(err))
		}
		err = x.stream(ctx, e, v)
		if err == nil {
			return nil
		}
		x.failed(ctx, e, err)
		if ended := x.ended(ctx); ended != nil {
			return x.broken(ended)
		}
		if code.Of(err) == code.CallerClosed || !x.mayGoOn(err) {
			return x.broken(x.outcome(err))
		}
		v.restart()
	}
}

// broken ends an answer that was begun so that it doesn't look whole.
func (x *exchange) broken(err error) error {
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
	a := x.attempt(e)
	if v.begun {
		a.ResumeAfter = v.last
	}
	defer x.begin(e)()
	p := &patience{exchange: x, endpoint: e, begun: x.Clock.Now()}
	reply, err := x.Sender.Send(ctx, a, p.wait)
	if err != nil {
		return err
	}
	defer reply.Close()
	head := reply.Head()
	if err := verdict(e, head); err != nil {
		return err
	}
	if head.Status != http.StatusOK {
		return x.passFailure(e, reply)
	}
	if err := x.copyEvents(e, reply, v, p); err != nil {
		return err
	}
	e.Load.RecordSuccess(x.Clock.Since(p.begun))
	x.Poison.RecordCompletion(x.request.Fingerprint)
	return nil
}

// passFailure passes on a reply that is no stream.
func (x *exchange) passFailure(e *catalog.Endpoint, reply Reply) error {
	head := reply.Head()
	body, err := readWhole(reply)
	if err != nil {
		return code.CutOff.Wrap(err, "endpoint %s: the answer broke off after %d bytes", e.ID, len(body))
	}
	if x.sink.Started() || head.Status >= http.StatusInternalServerError && x.sends+1 < x.route.MaxAttempts {
		return code.EndpointFailed.New("endpoint %s: answered %d", e.ID, head.Status)
	}
	return x.conclude(&answer{head, body}, nil)
}

func (x *exchange) copyEvents(e *catalog.Endpoint, reply Reply, v *events, p *patience) error {
	for {
		if len(v.buffer) == cap(v.buffer) {
			v.buffer = append(v.buffer, 0)[:len(v.buffer)]
		}
		n, err := reply.Read(v.buffer[len(v.buffer):cap(v.buffer)])
		v.buffer = v.buffer[:len(v.buffer)+n]
		if n > 0 {
			now := x.Clock.Now()
			e.Load.RecordProgress(now)
			p.flowing = true
			if !x.last.IsZero() {
				x.pause = max(x.pause, now.Sub(x.last))
			}
			x.last = now
		}
		whole, broken := v.take()
		if broken != nil {
			return broken
		}
		if errors.Is(err, io.EOF) && len(whole) == len(v.buffer) {
			return x.endStream(reply, v)
		}
		if len(whole) > 0 {
			x.start(reply.Head())
			if err := x.sink.Write(whole); err != nil {
				return code.CallerClosed.Wrap(err, "an event could not be written")
			}
			v.drop(len(whole))
		}
		if err != nil {
			return brokeOff(err, e, v)
		}
	}
}

// brokeOff returns the error of a stream that ended before its end.
func brokeOff(err error, e *catalog.Endpoint, v *events) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return code.Stalled.Wrap(err, "endpoint %s: silent after event %d", e.ID, v.last)
	}
	return code.CutOff.Wrap(err, "endpoint %s: the stream broke off after event %d", e.ID, v.last)
}

// start passes on the first run's head, once.
func (x *exchange) start(head *proxy.Head) {
	if x.sink.Started() {
		return
	}
	x.first = x.Clock.Since(x.request.Received)
	x.sink.Start(head.Status, head.Header, -1)
}

func (x *exchange) endStream(reply Reply, v *events) error {
	x.start(reply.Head())
	if err := x.sink.End(v.buffer); err != nil {
		return code.CallerClosed.Wrap(err, "the last event could not be written")
	}
	return nil
}

// patience decides how long a silent endpoint is waited for.
type patience struct {
	*exchange
	endpoint *catalog.Endpoint
	begun    time.Time
	// flowing says that an event of this attempt has come.
	flowing bool
}

// Bounds of silence. An endpoint passes all its streams on together, so the
// silence of every stream for several passes is that of the endpoint. One stream
// may wait for longer while others flow, as its prompt is read or memory is
// short.
const (
	// SilenceCheckInterval is the time between two looks at a silent endpoint.
	SilenceCheckInterval = 50 * time.Millisecond
	// leastSilence is the shortest silence that ends the wait when no stream of
	// the endpoint flows.
	leastSilence = 200 * time.Millisecond
	// passSlack is what a pass may take above its published longest time.
	passSlack = 60 * time.Millisecond
	// streamSilence ends the wait of one stream while others flow or wait for
	// a slot. Callers leave after 2 s.
	streamSilence = 1500 * time.Millisecond
)

// nextWait returns how long the next event may take at an endpoint that sends
// nothing.
func (p *patience) nextWait() time.Duration {
	e := p.endpoint
	if e.Engine == nil {
		return streamSilence
	}
	return max(e.Engine.MaxPassInterval(e.Model)+passSlack, leastSilence)
}

// firstWait returns how long the first event may take at an endpoint that sends
// nothing: the pass at work and one that reads the prompt, and more if the
// request may have to wait for a slot.
func (p *patience) firstWait() time.Duration {
	e := p.endpoint
	if e.Engine == nil || e.Load.TotalInFlight() >= e.Slots {
		return streamSilence
	}
	return 2*p.nextWait() + e.Engine.PrefillTime(e.Model, p.request.PromptTokens)
}

// wait reports whether to go on waiting after a silence.
func (p *patience) wait(silence time.Duration) bool {
	if !p.route.Repeatable() {
		return true
	}
	if silence >= streamSilence {
		return false
	}
	quiet := p.Clock.Since(p.endpoint.Load.LastProgress())
	if p.flowing {
		return min(silence, quiet) < p.nextWait()
	}
	return min(silence, quiet) < p.firstWait()
}
