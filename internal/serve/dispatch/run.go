package dispatch

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/table"
)

// maxAttempts bounds the endpoints that one request is sent to. A request that
// crashes what runs it is refused as poison after two.
const maxAttempts = 3

// runRepeatable runs a request that may be sent again: to another endpoint if
// it was not run, or if it may run twice and nothing was passed on yet; and
// from where it broke off if its answer is plain text.
func (d *Dispatcher) runRepeatable(ctx context.Context, r *work.Request, s work.Sink, place admit.Admission) error {
	p := &attemptSink{callerSink: s, clock: d.Clock, policy: d.Policy}
	var failure error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 && !d.mayRetry(ctx, r, p, failure) {
			return p.callerError(failure)
		}
		e, err := d.acquire(ctx, r, place)
		if err != nil {
			return p.callerRefusal(failure, err)
		}
		failure = d.send(ctx, e, r, p)
		d.release(e, r)
		if failure == nil {
			return nil
		}
		p.recordFailure(failure)
		d.handleFailure(ctx, e, r, p, failure)
		if p.atLimit(r) {
			return d.endAtLimit(ctx, r, p)
		}
	}
	return p.callerError(failure)
}

// endAtLimit ends an answer that lost only its end. No endpoint can be asked for
// no tokens, and one more would be beyond the caller's limit.
func (d *Dispatcher) endAtLimit(ctx context.Context, r *work.Request, p *attemptSink) error {
	if err := p.End(work.End{FinishReason: "length", Usage: work.Usage{Prompt: r.PromptTokens, Generated: p.tokens}}); err != nil {
		return d.classifyFailure(ctx, r, p, err)
	}
	return nil
}

// mayRetry reports whether the request may be sent to another endpoint after
// the failure.
func (d *Dispatcher) mayRetry(ctx context.Context, r *work.Request, p *attemptSink, failure error) bool {
	if ctx.Err() != nil || p.callerClosed {
		return false
	}
	switch code.Of(failure) {
	case code.EndpointUnreachable, code.Overloaded:
	case code.NoReplica, code.ColdOnly, code.OverShare, code.Draining, code.NotReady,
		code.DeadlineTooShort, code.UnknownModel, code.UnknownOrganisation:
		// Another daemon refused a relayed request; the last two while it
		// has not heard of a record that this daemon has.
		if code.OutcomeOf(failure) != code.NotRun {
			return false
		}
	case code.CutOff, code.Stalled, code.ForeignAnswer, code.EndpointFailed:
		if !repeatable(r) || d.Poison.Check(r.Fingerprint) != nil {
			return false
		}
	default:
		return false
	}
	if p.started && (!r.Resumable || p.resumed) {
		return false
	}
	p.resumed = p.started
	return d.retryBudget.AllowRetry()
}

// repeatable reports whether a second run does no harm: text generation and
// the safe methods of plain services.
func repeatable(r *work.Request) bool {
	if r.Operation != work.ServiceCall {
		return true
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}

// runAtMostOnce runs a request that must not run twice. The claim is recorded in the
// platform before the request leaves, and nothing is sent again that may have
// been sent. The caller's end does not cancel it: a cancelled call would leave
// its outcome unknown.
func (d *Dispatcher) runAtMostOnce(ctx context.Context, r *work.Request, s work.Sink, place admit.Admission) error {
	e, err := d.acquire(ctx, r, place)
	if err != nil {
		return err
	}
	ticket, err := d.Claims.Claim(ctx, r.IdempotencyKey, r.Organisation, r.Fingerprint)
	if err != nil {
		d.release(e, r)
		return err
	}
	p := &attemptSink{callerSink: s, clock: d.Clock, policy: d.Policy}
	ctx = context.WithoutCancel(ctx)
	var failure error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 {
			if !d.mayResend(failure) {
				break
			}
			if e, err = d.acquire(ctx, r, place); err != nil {
				ticket.Release()
				return err
			}
		}
		if err := ticket.AuthoriseSend(); err != nil {
			d.release(e, r)
			return err
		}
		failure = d.send(ctx, e, r, p)
		d.release(e, r)
		if failure == nil {
			ticket.Finish(code.Answered)
			return nil
		}
		d.handleFailure(ctx, e, r, p, failure)
	}
	if code.OutcomeOf(failure) == code.NotRun {
		ticket.Release()
		return failure
	}
	if p.callerClosed || code.Of(failure) == code.EndpointFailed {
		ticket.Finish(code.Of(failure))
		return failure
	}
	ticket.Finish(code.OutcomeUnknown)
	return code.OutcomeUnknown.Wrap(failure, "request key %s", r.IdempotencyKey)
}

// mayResend reports whether a request that must not run twice may be sent to
// another endpoint after the failure: only if it was certainly not run, and
// only if that was due to the endpoint and not to the request.
func (d *Dispatcher) mayResend(failure error) bool {
	switch code.Of(failure) {
	case code.EndpointUnreachable, code.Overloaded, code.ForeignAnswer:
		return code.OutcomeOf(failure) == code.NotRun && d.retryBudget.AllowRetry()
	default:
		return false
	}
}

// send sends the request once, within its deadline.
func (d *Dispatcher) send(ctx context.Context, e *table.Endpoint, r *work.Request, p *attemptSink) error {
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithDeadline(ctx, d.Clock, r.Deadline)
		defer cancel()
	}
	s, known := d.Senders[e.Protocol]
	if !known {
		return code.Internal.New("endpoint %s: no plug-in speaks protocol %q", e.ID, e.Protocol)
	}
	if ctx.Err() != nil {
		return d.unsentError(r)
	}
	p.beginAttempt(e, r)
	if !r.AtMostOnce && repeatable(r) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer e.OnStop(func() { p.cancelUnlessReceiving(cancel) })()
	}
	err := s.Send(ctx, e, r, work.PartialAnswer{Text: p.sentText.String(), Tokens: p.tokens}, p)
	if err != nil {
		return d.classifyFailure(ctx, r, p, err)
	}
	d.Telemetry.requestAnswered(r, p)
	return nil
}

// unsentError returns the refusal of a request whose time was over before it was
// sent, such as after a slow claim. The endpoint has no part in that.
func (d *Dispatcher) unsentError(r *work.Request) error {
	if !r.Deadline.IsZero() && !d.Clock.Now().Before(r.Deadline) {
		return code.DeadlineTooShort.New("request %s: its deadline passed before it was sent", r.ID)
	}
	return code.WithOutcome(code.CallerClosed.New("request %s: its caller left before it was sent", r.ID), code.NotRun)
}

// classifyFailure gives the failure the code of its cause where that is not the
// endpoint.
func (d *Dispatcher) classifyFailure(ctx context.Context, r *work.Request, p *attemptSink, err error) error {
	switch {
	case p.callerClosed:
		return code.CallerClosed.Wrap(err, "request %s", r.ID)
	case p.cancelledOnStop.Load():
		return code.Stalled.Wrap(err, "endpoint stopped serving before the first token")
	case ctx.Err() == nil || code.OutcomeOf(err) == code.NotRun:
		return err
	case !r.Deadline.IsZero() && !d.Clock.Now().Before(r.Deadline):
		return code.DeadlineExpired.Wrap(err, "request %s", r.ID)
	case p.started:
		return code.CallerClosed.Wrap(err, "request %s", r.ID)
	default:
		// Whether an endpoint began to run it can't be told.
		return code.WithOutcome(code.CallerClosed.Wrap(err, "request %s", r.ID), code.Unknown)
	}
}

// handleFailure learns from a failure at an endpoint: what is unreachable gets nothing
// for a while, and what died with the request in flight makes the request
// suspect. An endpoint that answers on a new connection did not die; only the
// open connection had stalled.
func (d *Dispatcher) handleFailure(ctx context.Context, e *table.Endpoint, r *work.Request, p *attemptSink, failure error) {
	d.Telemetry.attemptFailed(failure)
	d.Log.Warn().Str("request", string(r.ID)).Str("endpoint", string(e.ID)).
		Str("code", code.Of(failure).String()).Err(failure).Msg("attempt-failed")
	switch code.Of(failure) {
	case code.EndpointUnreachable:
		e.Load.Avoid(d.Clock.Now().Add(d.Settings.Avoid.Duration))
	case code.Overloaded, code.NoReplica, code.ColdOnly, code.Draining, code.NotReady:
		// The summary that offered this daemon is out of date; the next
		// attempt has to go elsewhere.
		if e.Protocol == table.Relay {
			e.Load.Avoid(d.Clock.Now().Add(d.Settings.RelayAvoid.Duration))
		}
	case code.CutOff:
		// A daemon runs no request, so none can crash it.
		if !p.callerClosed && !d.probe(ctx, e) && e.Protocol != table.Relay {
			d.Poison.RecordCrash(r.Fingerprint)
		}
	case code.Stalled:
		// A paused or unreachable endpoint says nothing against the request.
		if !p.callerClosed && !p.cancelledOnStop.Load() {
			d.probe(ctx, e)
		}
	}
}

// probe reports whether the endpoint answers on a new connection, and keeps
// requests away from it for a while if not.
func (d *Dispatcher) probe(ctx context.Context, e *table.Endpoint) bool {
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), d.Clock, d.Settings.HealthTimeout.Duration)
	defer cancel()
	if d.Senders[e.Protocol].CheckHealth(ctx, e.Address) == nil {
		return true
	}
	e.Load.Avoid(d.Clock.Now().Add(d.Settings.Avoid.Duration))
	return false
}
