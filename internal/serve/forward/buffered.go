package forward

import (
	"context"
	"net/http"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/fleet/catalog"
)

// completeReply is a reply whose body was read to its end.
type completeReply struct {
	head *proxy.Head
	body []byte
}

// runBuffered runs a request whose answer is forwarded when it is complete. A safe
// request is retried after a failure or an error status, up to the maximum attempts of
// the route.
func (x *exchange) runBuffered(ctx context.Context) error {
	var lastReply *completeReply
	for {
		e, err := x.pickEndpoint(ctx)
		if err != nil {
			return x.writeAnswer(lastReply, x.callerError(err))
		}
		reply, err := x.fetchReply(ctx, e)
		if err == nil {
			x.discard(lastReply)
			lastReply = reply
			if reply.head.Status < http.StatusInternalServerError || e.IsRelay || !x.mayRetryErrorStatus() {
				return x.writeAnswer(lastReply, nil)
			}
			x.triedServers = append(x.triedServers, e.ID)
			continue
		}
		x.recordFailure(ctx, e, err)
		if ctxErr := x.contextError(ctx); ctxErr != nil {
			return x.writeAnswer(lastReply, ctxErr)
		}
		if !x.mayRetryFailed(err) {
			return x.writeAnswer(lastReply, x.callerError(err))
		}
	}
}

// writeAnswer forwards the last complete reply. It returns the error if there is no
// such reply or if the caller has closed the connection.
func (x *exchange) writeAnswer(lastReply *completeReply, err error) error {
	if lastReply == nil || code.Of(err) == code.CallerClosed {
		return err
	}
	x.timeToFirstByte = x.Clock.Since(x.request.Received)
	x.sink.Start(lastReply.head.Status, lastReply.head.Header, len(lastReply.body))
	if err := x.sink.End(lastReply.body); err != nil {
		return code.CallerClosed.Wrap(err, "write answer to the caller")
	}
	return nil
}

// mayRetryErrorStatus counts the run of a request that a server answered with an error
// status, and reports whether the request may run again.
func (x *exchange) mayRetryErrorStatus() bool {
	x.possibleRuns++
	return x.route.Kind == cluster.Safe && x.possibleRuns < x.route.MaxAttempts && x.RetryBudget.AllowRetry(x.service)
}

// mayRetryFailed reports whether the request may be sent to another endpoint after the
// failure. A retry is deducted from the budget unless nothing was sent.
func (x *exchange) mayRetryFailed(err error) bool {
	switch {
	case x.successor != nil:
		return true
	case code.Of(err) == code.EndpointUnreachable:
		// Nothing was sent, so the retry does not count against the budget.
		return true
	case code.OutcomeOf(err) == code.NotRun && x.lastWasRelay:
		return mayRelayAgain(err)
	case code.OutcomeOf(err) == code.NotRun:
		return len(x.triedServers) < x.maxTries() && x.RetryBudget.AllowRetry(x.service)
	case !x.route.Repeatable() || x.possibleRuns >= x.route.MaxAttempts:
		return false
	}
	return x.checkPoison() == nil && x.RetryBudget.AllowRetry(x.service)
}

// maxTriesAfterRun is the number of further servers that are tried if these reject a request
// that may have run at an earlier server.
const maxTriesAfterRun = 3

// maxTries returns the number of servers after which a rejected request ends. A request that
// may have run can't be refused as not run any more, and a stream that has started would be
// broken off, so other servers are tried.
func (x *exchange) maxTries() int {
	if x.possibleRuns > 0 {
		return x.route.MaxAttempts + maxTriesAfterRun
	}
	return x.route.MaxAttempts
}

// fetchReply makes one attempt at the endpoint and reads the complete reply.
func (x *exchange) fetchReply(ctx context.Context, e *catalog.Endpoint) (*completeReply, error) {
	a := x.newAttempt(e)
	startedAt := x.Clock.Now()
	defer x.countInFlight(e)()
	reply, err := x.Sender.Send(ctx, a, x.keepWaitingForBuffered(e, startedAt))
	if err != nil {
		return nil, err
	}
	defer reply.Close()
	head := x.readHead(e, reply)
	if err := dispositionError(e, head); err != nil {
		return nil, err
	}
	body, err := x.readBody(e, reply)
	if err != nil {
		return nil, err
	}
	e.Load.RecordSuccess(x.Clock.Since(startedAt))
	if head.Status < http.StatusInternalServerError {
		x.Poison.RecordCompletion(x.request.Fingerprint)
	}
	return &completeReply{head, body}, nil
}

// Stall timeouts of buffered replies. A safe request that another endpoint takes over
// waits for a multiple of the mean response time, but at least for half of
// the route's latency objective.
const (
	bufferedStallFactor     = 4
	bufferedMinStallTimeout = 60 * time.Millisecond
)

// keepWaitingForBuffered returns the function by which Sender.Send decides whether to wait
// further for a reply that is buffered.
func (x *exchange) keepWaitingForBuffered(e *catalog.Endpoint, startedAt time.Time) func(time.Duration) bool {
	if x.route.Kind != cluster.Safe || x.possibleRuns+1 >= x.route.MaxAttempts {
		return func(time.Duration) bool { return true }
	}
	stallTimeout := max(bufferedStallFactor*e.Load.MeanResponseTime(), bufferedMinStallTimeout, x.route.LatencyObjective/2)
	if e.IsRelay {
		// The other daemon tries another server first.
		stallTimeout = maxStallTimeout
	}
	return func(time.Duration) bool {
		if x.Clock.Since(startedAt) < stallTimeout {
			return true
		}
		x.reportStall(e)
		return !x.reserveSuccessor(e)
	}
}

// dispositionError returns an error if the reply says that the server did not run the
// request.
func dispositionError(e *catalog.Endpoint, head *proxy.Head) error {
	switch head.Disposition {
	case proxy.Refused:
		return code.Overloaded.New("read reply of endpoint %s: got status %d, and the request was not run", e.ID, head.Status)
	case proxy.Misdirected:
		return code.WithOutcome(code.ForeignAnswer.New("read reply of endpoint %s: another server or replica replied at address %s", e.ID, e.Address), code.NotRun)
	}
	return nil
}
