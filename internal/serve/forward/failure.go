package forward

import (
	"context"
	"fmt"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/clock"
)

// recordFailure records the failure of an attempt at the endpoint. Unless the request's
// context has ended, it also logs the failure, excludes an endpoint that caused the
// failure for a while, and records a crash of the server for the request.
func (x *exchange) recordFailure(ctx context.Context, e *catalog.Endpoint, err error) {
	cause := code.Of(err)
	if code.OutcomeOf(err) != code.NotRun {
		x.possibleRunFailure = err
		x.countRuns(err)
	}
	if e.IsRelay {
		x.recordRelayFailure(e, err)
		return
	}
	// An endpoint that closes idle connections can be tried again, unless it crashed.
	crashed := cause == code.ConnectionClosed && x.hasCrashed(ctx, e)
	if cause != code.ConnectionClosed || crashed {
		x.triedServers = append(x.triedServers, e.ID)
	}
	if ctx.Err() != nil {
		return
	}
	x.needsNewConnection = x.needsNewConnection || cause == code.ConnectionClosed
	avoidedFor := time.Duration(0)
	if crashed || isEndpointFailure(err) {
		avoidedFor = x.recordEndpointFailure(e, cause)
	}
	if crashed || cause == code.CutOff && x.hasCrashed(ctx, e) {
		x.recordCrash(e)
	}
	x.Telemetry.failedAttempts.WithLabelValues(cause.Spec().Name).Inc()
	x.Log.Info().Str("request", string(x.request.ID)).Str("endpoint", string(e.ID)).
		Str("replica", string(e.Replica)).Uint64("epoch", uint64(e.Epoch)).
		Int("attempt", x.attemptCount).Int64("inflight", int64(e.Load.TotalInFlight())).
		Dur("avoided_ms", avoidedFor).Str("cause", cause.Spec().Name).Str("detail", code.Message(err)).Msg("attempt-failed")
}

// countRuns counts the runs of an attempt that failed. Another daemon may have made several attempts, and
// says so unless its answer was lost.
func (x *exchange) countRuns(err error) {
	x.possibleRuns++
	if runs, told := code.Runs(err); told {
		x.possibleRuns = max(x.possibleRuns, runs)
	}
}

// recordEndpointFailure has the endpoint avoided, here and at the other daemons, and returns for how
// long it is avoided here. While this daemon reaches no server, the failure says nothing about the
// endpoint.
func (x *exchange) recordEndpointFailure(e *catalog.Endpoint, cause code.Code) time.Duration {
	x.Links.Suspect(e)
	if x.Links.CutOff() {
		return 0
	}
	x.Observer.EndpointFailed(e, cause)
	return e.Load.RecordFailure(x.Clock.Now())
}

// recordCrash records and logs that the endpoint's server crashed while it ran the request.
func (x *exchange) recordCrash(e *catalog.Endpoint) {
	x.Poison.RecordCrash(x.request.Fingerprint, crashOf(e))
	if x.attemptEvents < startedEvents && x.Parts.RecordPartCrash(x.request.SharedParts, crashOf(e)) {
		x.Observer.PartsSuspected()
	}
	x.Log.Warn().Str("request", string(x.request.ID)).Str("endpoint", string(e.ID)).
		Stringer("fingerprint", x.request.Fingerprint).Int("events", x.attemptEvents).
		Str("parts", fmt.Sprint(x.request.SharedParts)).Msg("request-suspected")
}

// isEndpointFailure reports whether the failure of an attempt shows that the endpoint will fail
// other requests too. An endpoint at which another server or replica replies is gone; with no
// requests in flight, it would be chosen for all of them.
func isEndpointFailure(err error) bool {
	switch code.Of(err) {
	case code.EndpointUnreachable, code.CutOff, code.Stalled, code.EndpointFailed, code.RepliesFull:
		return true
	case code.ForeignAnswer:
		return code.OutcomeOf(err) == code.NotRun
	}
	return false
}

// startedEvents is the number of reads with events from which a server has begun to answer a
// prompt. A prompt part that crashes servers does so at the start of the answer, of which the
// first event may still arrive.
const startedEvents = 2

// crashOf identifies the crash of the endpoint's server. A server crashes once in an
// incarnation, and several daemons may observe it.
func crashOf(e *catalog.Endpoint) ident.Crash {
	return ident.Crash(e.IncarnationID())
}

// crashCheckTimeout bounds the wait for a connection to a server whose reply was cut
// off.
const crashCheckTimeout = 100 * time.Millisecond

// hasCrashed reports whether the server of the endpoint has crashed after its reply was
// cut off. A server that accepts a new connection has only lost or corrupted this
// reply, and if no server accepts one, this daemon has lost its links.
func (x *exchange) hasCrashed(ctx context.Context, e *catalog.Endpoint) bool {
	connectCtx, cancel := clock.WithDeadline(ctx, x.Clock, x.Clock.Now().Add(crashCheckTimeout))
	defer cancel()
	return !x.Sender.AcceptsConnection(connectCtx, e.Address) && x.Links.LinksWork(ctx)
}
