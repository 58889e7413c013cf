package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/fleet/catalog"
)

// bufferedReply is a whole reply of a plain service.
type bufferedReply struct {
	head *proxy.Head
	body []byte
}

// runPlain runs a request whose answer is passed on whole. An idempotent one is
// sent again after a failure or an error status, within the route's attempts.
func (x *exchange) runPlain(ctx context.Context) error {
	var kept *bufferedReply
	for {
		e, err := x.pick(ctx)
		if err != nil {
			return x.writeAnswer(kept, err)
		}
		reply, err := x.fetch(ctx, e)
		if err == nil {
			kept = reply
			if reply.head.Status < http.StatusInternalServerError || !x.mayRetryAnswered() {
				return x.writeAnswer(kept, nil)
			}
			x.tried = append(x.tried, e.ID)
			continue
		}
		x.recordFailure(ctx, e, err)
		if ended := x.contextError(ctx); ended != nil {
			return x.writeAnswer(kept, ended)
		}
		if !x.mayRetryFailed(err) {
			return x.writeAnswer(kept, x.callerError(err))
		}
	}
}

// writeAnswer passes on the reply that was kept, or returns the error if there is
// none.
func (x *exchange) writeAnswer(kept *bufferedReply, err error) error {
	if kept == nil || code.Of(err) == code.CallerClosed {
		return err
	}
	x.timeToFirstByte = x.Clock.Since(x.request.Received)
	x.sink.Start(kept.head.Status, kept.head.Header, len(kept.body))
	if err := x.sink.End(kept.body); err != nil {
		return code.CallerClosed.Wrap(err, "the answer could not be written")
	}
	return nil
}

// mayRetryAnswered reports whether a request that has run may run once more.
func (x *exchange) mayRetryAnswered() bool {
	x.possibleRuns++
	return x.route.Kind == cluster.Safe && x.possibleRuns < x.route.MaxAttempts && x.Budget.AllowRetry()
}

// mayRetryFailed reports whether the request may be sent to another endpoint after the
// failure.
func (x *exchange) mayRetryFailed(err error) bool {
	switch {
	case code.Of(err) == code.EndpointUnreachable:
		// Nothing arrived anywhere, so this costs no budget.
		return true
	case code.OutcomeOf(err) == code.NotRun:
		return len(x.tried) < x.route.MaxAttempts && x.Budget.AllowRetry()
	case !x.route.Repeatable() || x.possibleRuns >= x.route.MaxAttempts:
		return false
	}
	return x.Poison.Check(x.request.Fingerprint) == nil && x.Budget.AllowRetry()
}

// fetch sends the request once and reads the whole reply.
func (x *exchange) fetch(ctx context.Context, e *catalog.Endpoint) (*bufferedReply, error) {
	a := x.newAttempt(e)
	begun := x.Clock.Now()
	defer x.countInFlight(e)()
	reply, err := x.Sender.Send(ctx, a, x.plainSilenceLimit(e, begun))
	if err != nil {
		return nil, err
	}
	defer reply.Close()
	head := reply.Head()
	if err := verdictError(e, head); err != nil {
		return nil, err
	}
	body, err := readBody(reply)
	if err != nil {
		return nil, code.CutOff.Wrap(err, "endpoint %s: the answer broke off after %d bytes", e.ID, len(body))
	}
	e.Load.RecordSuccess(x.Clock.Since(begun))
	x.Poison.RecordCompletion(x.request.Fingerprint)
	return &bufferedReply{head, body}, nil
}

// Patience with a plain service: an idempotent request that may still be sent
// elsewhere waits for a multiple of the usual time, within a part of the
// objective.
const (
	plainSlowFactor = 4
	plainMinSilence = 60 * time.Millisecond
)

func (x *exchange) plainSilenceLimit(e *catalog.Endpoint, begun time.Time) func(time.Duration) bool {
	if x.route.Kind != cluster.Safe || x.possibleRuns+1 >= x.route.MaxAttempts {
		return func(time.Duration) bool { return true }
	}
	limit := max(plainSlowFactor*e.Load.MeanResponseTime(), plainMinSilence, x.route.LatencyObjective/2)
	return func(time.Duration) bool { return x.Clock.Since(begun) < limit }
}

// verdictError returns the error of a reply that says that the server did not run
// the request.
func verdictError(e *catalog.Endpoint, head *proxy.Head) error {
	switch head.Disposition {
	case proxy.Refused:
		return code.Overloaded.New("endpoint %s: answered %d without running the request", e.ID, head.Status)
	case proxy.Misdirected:
		return code.WithOutcome(code.ForeignAnswer.New("endpoint %s: another server or replica answers at %s", e.ID, e.Address), code.NotRun)
	}
	return nil
}

// readBody reads the body to its end.
func readBody(reply Reply) ([]byte, error) {
	const usual = 2048
	size := reply.ContentLength()
	if size < 0 {
		size = usual
	}
	body := make([]byte, 0, size+1)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := reply.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}
