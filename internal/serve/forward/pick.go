package forward

import (
	"context"
	"slices"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/ratelimit"
)

// pickEndpoint returns the endpoint for the next attempt. It waits in the queue while
// no endpoint has a free slot.
//
// Errors carry code.NoReplica, code.Overloaded, code.PoisonRequest or code.CallerClosed.
func (x *exchange) pickEndpoint(ctx context.Context) (*catalog.Endpoint, error) {
	if x.attemptCount > 0 {
		// A crash in an earlier attempt or at another daemon may have been counted.
		if err := x.checkPoison(); err != nil {
			return nil, err
		}
	}
	if successor := x.takeSuccessor(); successor != nil {
		return successor, nil
	}
	r := x.slotRequest()
	class := r.Class(x.Clock.Now())
	// Requests that wait go first, except before a stream that was interrupted.
	if x.mayGoFirst(&r) {
		if e := x.takeSlot(admit.Turn{Class: class, Limit: x.slotLimit(class)}); e != nil {
			return e, nil
		}
	}
	return x.waitForSlot(ctx, &r)
}

// mayGoFirst reports whether the request may take a slot without a wait in the queue.
func (x *exchange) mayGoFirst(r *admit.Request) bool {
	return !r.IsStream || r.Resumed || x.queue.LengthOf(x.queueKey()) == 0
}

// retryTime returns the time after which a caller that is rejected for limits finds an admission.
type retryTime func(now time.Time, queue string, supply ratelimit.Supply, patience time.Duration) time.Duration

// checkLimits rejects the request if every endpoint names a limit of requests or wants a pause,
// and none of them admits it until the end of the wait. A request that may have run can't be
// rejected.
//
// Errors carry code.Overloaded.
func (x *exchange) checkLimits(waitDeadline time.Time, next retryTime) error {
	if x.possibleRuns > 0 || x.sink.Started() {
		return nil
	}
	now := x.Clock.Now()
	endpoints := x.untried(x.candidates())
	supply, exhausted := x.Limits.Exhausted(now, endpoints)
	if !exhausted || supply.Before(waitDeadline) > x.queue.LengthOf(x.queueKey()) {
		return nil
	}
	patience := x.deadline.Sub(now) / retryAfterDivisor
	retryAfter := next(now, string(x.queueKey()), supply, patience)
	return code.WithRetryAfter(code.Overloaded.New("choose endpoint for service %s, model %q: all %d endpoints are at the limits that they name or want a pause", x.service, x.request.Model, len(endpoints)), retryAfter)
}

// untried returns the endpoints that this request was not sent to.
func (x *exchange) untried(endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	if len(x.triedServers) == 0 {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e *catalog.Endpoint) bool { return slices.Contains(x.triedServers, e.ID) })
}

// queueKey returns the key of the queue that the request waits in.
func (x *exchange) queueKey() admit.QueueKey {
	return x.key
}

// priority returns the priority of the organisation or else of the route.
func (x *exchange) priority() unit.Priority {
	if x.organisation != nil && x.organisation.HasPriority {
		return x.organisation.Priority
	}
	return x.route.Priority
}

// Callers honour a Retry-After time of up to a third of the time that they have left.
// maxRetryAfter is the longest Retry-After time that is sent.
const (
	retryAfterDivisor = 3
	maxRetryAfter     = 900 * time.Millisecond
)

// withRetryAfter adds the time after which a retry is useful to a refusal at the given time.
func (x *exchange) withRetryAfter(at time.Time, err error) error {
	timeLeft := x.deadline.Sub(at)
	return code.WithRetryAfter(err, max(0, min(timeLeft/retryAfterDivisor, maxRetryAfter)))
}
