package forward

import (
	"slices"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/admit"
)

// reserveSuccessor reports whether another endpoint takes the request over from the endpoint. It
// reserves that endpoint and a retry, so that the current attempt is ended only if the request can
// go on: what a silent endpoint would still have sent is lost once its attempt has ended.
func (x *exchange) reserveSuccessor(e *catalog.Endpoint) bool {
	if x.successor != nil {
		return true
	}
	if x.possibleRuns+1 >= x.route.MaxAttempts || !x.RetryBudget.HasRetry(x.service) || x.checkPoison() != nil {
		return false
	}
	next := x.pick(append(slices.Clip(x.triedServers), e.ID), x.successorTurn())
	if next == nil || next.Load.Avoided(x.Clock.Now()) || !x.RetryBudget.AllowRetry(x.service) {
		return false
	}
	x.successor = next
	return true
}

// successorTurn returns the turn of the request at the replica that takes it over. It has a slot now, so
// that it goes before others.
func (x *exchange) successorTurn() admit.Turn {
	if x.sink.Started() {
		return admit.Turn{Class: admit.Resumed, Limit: x.slotLimit(admit.Resumed)}
	}
	return admit.Turn{Class: admit.Resumed, Limit: x.Rules.Fill}
}

// takeSuccessor returns the endpoint that was reserved for the next attempt, nil if none was.
func (x *exchange) takeSuccessor() *catalog.Endpoint {
	e := x.successor
	x.successor = nil
	return e
}

// reportStall has the endpoint of the current attempt avoided for its silence, once in an attempt.
// The attempt itself may go on.
func (x *exchange) reportStall(e *catalog.Endpoint) {
	if x.stallReported || e.IsRelay {
		return
	}
	x.stallReported = true
	avoidedFor := x.recordEndpointFailure(e, code.Stalled)
	x.Log.Info().Str("request", string(x.request.ID)).Str("endpoint", string(e.ID)).Int("attempt", x.attemptCount).
		Dur("avoided_ms", avoidedFor).Msg("endpoint-silent")
}
