package dispatch

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/table"
)

// maxAttempts bounds the attempts for one request. A request that crashes its
// endpoints is refused as a poison request after two crashes.
const maxAttempts = 3

// runRepeatable runs a request that may be sent to another endpoint after a failure:
// if the request was not run, or if it may run twice and no part of the answer was
// forwarded. A plain text answer that was cut off is resumed at another endpoint.
func (d *Dispatcher) runRepeatable(ctx context.Context, r *work.Request, s work.Sink, admission admit.Admission) error {
	sink := d.newAttemptSink(s)
	defer sink.memory.Close()
	var failure error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 && !d.mayRetry(ctx, r, sink, failure) {
			return sink.callerError(failure)
		}
		e, err := d.acquireEndpoint(ctx, r, admission)
		if err != nil {
			return sink.callerRefusal(failure, err)
		}
		failure = d.sendAttempt(ctx, e, r, sink)
		d.releaseEndpoint(e, r)
		if failure == nil {
			return nil
		}
		sink.recordFailure(failure)
		d.handleFailure(ctx, e, r, sink, failure)
		if sink.hasReachedTokenLimit(r) {
			return d.endAtLimit(ctx, r, sink)
		}
	}
	return sink.callerError(failure)
}

// endAtLimit ends an answer that was cut off after its last token. The answer is not
// resumed, as the endpoint would generate at least one more token and so exceed the
// request's limit.
func (d *Dispatcher) endAtLimit(ctx context.Context, r *work.Request, sink *attemptSink) error {
	if err := sink.End(work.End{FinishReason: "length", Usage: work.Usage{Prompt: r.PromptTokens, Generated: sink.sentTokens}}); err != nil {
		return d.classifyFailure(ctx, r, sink, err)
	}
	return nil
}

// mayRetry reports whether the request may be sent to another endpoint after the
// failure, and deducts the retry from the budget.
func (d *Dispatcher) mayRetry(ctx context.Context, r *work.Request, sink *attemptSink, failure error) bool {
	if ctx.Err() != nil || sink.callerClosed {
		return false
	}
	switch code.Of(failure) {
	case code.EndpointUnreachable, code.Overloaded:
	case code.NoReplica, code.ColdOnly, code.OverShare, code.Draining, code.NotReady, code.DaemonFull,
		code.DeadlineTooShort, code.UnknownModel, code.UnknownOrganisation:
		// Another daemon has refused a relayed request. It returns the last
		// two codes while it lacks a record that this daemon has.
		if code.OutcomeOf(failure) != code.NotRun {
			return false
		}
	case code.CutOff, code.ConnectionClosed, code.Stalled, code.ForeignAnswer, code.EndpointFailed, code.RepliesFull:
		if !isRepeatable(r) || d.Poison.Check(r.Fingerprint) != nil {
			return false
		}
	default:
		return false
	}
	if sink.answerStarted && (!r.Resumable || sink.answerResumed) {
		return false
	}
	sink.answerResumed = sink.answerStarted
	return d.retryBudget.AllowRetry()
}

// isRepeatable reports whether the request may run twice. This holds for text
// generation and for the safe methods of plain services.
func isRepeatable(r *work.Request) bool {
	if r.Operation != work.ServiceCall {
		return true
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}

// runAtMostOnce runs a request that must not run twice. It records a claim in the
// platform's store before it sends the request, and does not repeat a send that may
// have reached an endpoint. It continues when the caller disconnects, as the outcome of a
// cancelled call would be unknown.
func (d *Dispatcher) runAtMostOnce(ctx context.Context, r *work.Request, s work.Sink, admission admit.Admission) error {
	e, err := d.acquireEndpoint(ctx, r, admission)
	if err != nil {
		return err
	}
	permit, err := d.Claims.Claim(ctx, r.IdempotencyKey, r.Organisation, r.Fingerprint)
	if err != nil {
		d.releaseEndpoint(e, r)
		return err
	}
	sink := d.newAttemptSink(s)
	defer sink.memory.Close()
	ctx = context.WithoutCancel(ctx)
	var failure error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 {
			if !d.mayResend(failure) {
				break
			}
			if e, err = d.acquireEndpoint(ctx, r, admission); err != nil {
				permit.Release()
				return err
			}
		}
		if err := permit.AuthoriseSend(); err != nil {
			d.releaseEndpoint(e, r)
			return err
		}
		failure = d.sendAttempt(ctx, e, r, sink)
		d.releaseEndpoint(e, r)
		if failure == nil {
			permit.Finish(code.Answered)
			return nil
		}
		d.handleFailure(ctx, e, r, sink, failure)
	}
	if code.OutcomeOf(failure) == code.NotRun {
		permit.Release()
		return failure
	}
	if sink.callerClosed || code.Of(failure) == code.EndpointFailed {
		permit.Finish(code.Of(failure))
		return failure
	}
	permit.Finish(code.OutcomeUnknown)
	return code.OutcomeUnknown.Wrap(failure, "run at-most-once request with key %s", r.IdempotencyKey)
}

// mayResend reports whether an at-most-once request may be sent to another endpoint
// after the failure, and deducts the retry from the budget. It returns true only if the
// request was certainly not run and the endpoint, not the request, caused the failure.
func (d *Dispatcher) mayResend(failure error) bool {
	switch code.Of(failure) {
	case code.EndpointUnreachable, code.Overloaded, code.ForeignAnswer:
		return code.OutcomeOf(failure) == code.NotRun && d.retryBudget.AllowRetry()
	default:
		return false
	}
}

// sendAttempt makes one attempt to run the request at the endpoint, within the
// request's deadline.
func (d *Dispatcher) sendAttempt(ctx context.Context, e *table.Endpoint, r *work.Request, sink *attemptSink) error {
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithDeadline(ctx, d.Clock, r.Deadline)
		defer cancel()
	}
	s, found := d.Senders[e.Protocol]
	if !found {
		return code.Internal.New("send to endpoint %s: no plug-in for protocol %q", e.ID, e.Protocol)
	}
	if ctx.Err() != nil {
		return d.unsentError(r)
	}
	sink.beginAttempt(e, r)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sink.memory.StartRead(cancel)
	defer sink.memory.EndRead()
	if !r.AtMostOnce && isRepeatable(r) {
		defer e.OnStop(func() { sink.cancelBeforeFirstChunk(cancel) })()
	}
	err := s.Send(ctx, e, r, work.PartialAnswer{Text: sink.sentText.String(), Tokens: sink.sentTokens}, sink)
	if err != nil {
		return d.classifyFailure(ctx, r, sink, err)
	}
	d.Telemetry.requestAnswered(r, sink)
	return nil
}

// unsentError returns the error for a request whose context ended before the send,
// for example during a slow claim. The error does not count against the endpoint.
func (d *Dispatcher) unsentError(r *work.Request) error {
	if !r.Deadline.IsZero() && !d.Clock.Now().Before(r.Deadline) {
		return code.DeadlineTooShort.New("send request %s: the deadline passed before the send", r.ID)
	}
	return code.WithOutcome(code.CallerClosed.New("send request %s: the caller closed the connection before the send", r.ID), code.NotRun)
}

// classifyFailure returns the failure of an attempt. If the caller, the deadline or
// the stop signal of the endpoint ended the attempt, it wraps the failure with the
// code for that cause.
func (d *Dispatcher) classifyFailure(ctx context.Context, r *work.Request, sink *attemptSink, err error) error {
	switch {
	case sink.callerClosed:
		return code.CallerClosed.Wrap(err, "write answer of request %s to the caller", r.ID)
	case sink.memory.IsEnded():
		return code.RepliesFull.Wrap(err, "run request %s", r.ID)
	case sink.cancelledOnStop.Load():
		return code.Stalled.Wrap(err, "wait for the first token: the endpoint stopped serving")
	case ctx.Err() == nil || code.OutcomeOf(err) == code.NotRun:
		return err
	case !r.Deadline.IsZero() && !d.Clock.Now().Before(r.Deadline):
		return code.DeadlineExpired.Wrap(err, "run request %s", r.ID)
	case sink.answerStarted:
		return code.CallerClosed.Wrap(err, "run request %s: cancelled by the caller", r.ID)
	default:
		// The endpoint may or may not have started to run the request.
		return code.WithOutcome(code.CallerClosed.Wrap(err, "run request %s: cancelled by the caller before the answer started", r.ID), code.Unknown)
	}
}

// handleFailure logs the failure of an attempt. It excludes an unreachable endpoint
// from requests for a while, and records a crash of the endpoint for the request. An
// endpoint that passes a health check on a new connection did not crash; only the
// connection of the attempt has failed.
func (d *Dispatcher) handleFailure(ctx context.Context, e *table.Endpoint, r *work.Request, sink *attemptSink, failure error) {
	d.Telemetry.attemptFailed(failure)
	d.Log.Warn().Str("request", string(r.ID)).Str("endpoint", string(e.ID)).
		Str("code", code.Of(failure).String()).Err(failure).Msg("attempt-failed")
	switch code.Of(failure) {
	case code.EndpointUnreachable, code.RepliesFull:
		e.Load.AvoidUntil(d.Clock.Now().Add(d.Settings.Avoid.Duration))
	case code.Overloaded, code.NoReplica, code.ColdOnly, code.Draining, code.NotReady:
		// The daemon was chosen by a summary of its data centre that is out
		// of date, so the next attempt has to choose another daemon.
		if e.Protocol == table.Relay {
			e.Load.AvoidUntil(d.Clock.Now().Add(d.Settings.RelayAvoid.Duration))
		}
	case code.CutOff, code.ConnectionClosed:
		// A daemon only relays requests, so that no request can crash it.
		if !sink.callerClosed && !d.probeEndpoint(ctx, e) && e.Protocol != table.Relay {
			d.Poison.RecordCrash(r.Fingerprint, crashOf(e))
		}
	case code.Stalled:
		// The endpoint may be paused or unreachable, so no crash is
		// recorded.
		if !sink.callerClosed && !sink.cancelledOnStop.Load() {
			d.probeEndpoint(ctx, e)
		}
	}
}

// crashOf identifies the crash of the endpoint. A replica that has crashed serves again at a
// higher epoch. An instance of a plain service may start again without a sign, so each
// observation counts as a crash.
func crashOf(e *table.Endpoint) ident.Crash {
	if e.Epoch == 0 {
		return ident.Crash(rand.Uint64())
	}
	raw := binary.LittleEndian.AppendUint64([]byte(e.ID), uint64(e.Epoch))
	return ident.Crash(xxhash.Sum64(raw))
}

// probeEndpoint reports whether the endpoint passes a health check on a new
// connection. If not, the endpoint gets no requests for a while.
func (d *Dispatcher) probeEndpoint(ctx context.Context, e *table.Endpoint) bool {
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), d.Clock, d.Settings.HealthTimeout.Duration)
	defer cancel()
	if d.Senders[e.Protocol].CheckHealth(ctx, e.Address) == nil {
		return true
	}
	e.Load.AvoidUntil(d.Clock.Now().Add(d.Settings.Avoid.Duration))
	return false
}
