package forward

import (
	"context"
	"slices"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/admit"
)

// Bounds of the wait for a free slot. A new request waits for a third of its latency
// objective; after a longer wait, an early refusal is more useful to the caller. An
// interrupted stream waits for resumeWait, which is below the 2 s after which callers
// disconnect.
const (
	queueWaitDivisor = 3
	resumeWait       = time.Second
)

// pickEndpoint returns the endpoint for the next attempt. It waits in the queue while
// no endpoint has a free slot.
//
// Errors carry code.NoReplica, code.Overloaded or code.PoisonRequest.
func (x *exchange) pickEndpoint(ctx context.Context) (*catalog.Endpoint, error) {
	var chosen *catalog.Endpoint
	tryPick := func() bool {
		chosen = x.pick(x.triedServers)
		return chosen != nil
	}
	if x.attemptCount > 0 {
		// A crash in an earlier attempt or at another daemon may have been counted.
		if err := x.checkPoison(); err != nil {
			return nil, err
		}
	}
	if successor := x.takeSuccessor(); successor != nil {
		return successor, nil
	}
	if tryPick() {
		return chosen, nil
	}
	waitDeadline := x.request.Received.Add(x.route.LatencyObjective / queueWaitDivisor)
	if x.sink.Started() {
		waitDeadline = x.Clock.Now().Add(resumeWait)
	}
	if waitDeadline.After(x.deadline) {
		waitDeadline = x.deadline
	}
	if err := x.checkLimits(waitDeadline); err != nil {
		return nil, err
	}
	waitStart := x.Clock.Now()
	x.Demand.RecordWaitStart(x.service, x.request.Model, x.priority())
	x.queue.Wait(ctx, admit.WaitRequest{Key: x.queueKey(), Priority: x.priority(), Received: x.request.Received, Admission: x.admission, Deadline: waitDeadline}, tryPick)
	waited := x.Clock.Since(waitStart)
	x.Demand.RecordWaitEnd(x.service, x.request.Model, x.priority(), waited)
	x.queueTime += waited
	if chosen != nil {
		return chosen, x.checkPoison()
	}
	candidates := x.candidates()
	if len(candidates) == 0 {
		return nil, x.withRetryAfter(code.NoReplica.New("choose endpoint for service %s, model %q: no endpoint is in service", x.service, x.request.Model))
	}
	return nil, x.withRetryAfter(code.Overloaded.New("choose endpoint for service %s, model %q: none of %d endpoints has a free slot", x.service, x.request.Model, len(candidates)))
}

// checkLimits rejects the request if every endpoint names a limit of requests or wants a pause,
// and none of them admits it until the end of the wait. A request that may have run can't be
// rejected.
//
// Errors carry code.Overloaded.
func (x *exchange) checkLimits(waitDeadline time.Time) error {
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
	retryAfter := x.retries.Next(now, string(x.queueKey()), supply, patience)
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
	return admit.QueueKey(string(x.service) + " " + string(x.request.Model))
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

// withRetryAfter adds the time after which a retry is useful to a refusal.
func (x *exchange) withRetryAfter(err error) error {
	timeLeft := x.deadline.Sub(x.Clock.Now())
	return code.WithRetryAfter(err, max(0, min(timeLeft/retryAfterDivisor, maxRetryAfter)))
}
