package forward

import (
	"context"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/admit"
)

// contentionSource knows for which priorities the endpoints of a model are short of slots.
type contentionSource interface {
	// Contended returns the highest priority of which a request has had to wait or was refused
	// within the last two seconds, at any daemon, and whether there is one. It must not block.
	Contended(service ident.Service, model ident.Model) (priority unit.Priority, recent bool)
}

// slotRequest returns what the admission depends on of the request as it is now.
func (x *exchange) slotRequest() admit.Request {
	return admit.Request{
		Priority: x.priority(), Objective: x.route.LatencyObjective, Timeout: x.route.Timeout,
		Received: x.request.Received, Deadline: x.deadline, FirstEvent: x.firstEvent,
		IsStream: x.isEngineStream, Resumed: x.sink.Started(), MayHaveRun: x.possibleRuns > 0,
	}
}

// contention returns which priorities are short of slots, here or at other daemons.
func (x *exchange) contention() admit.Contention {
	c := x.monitor.Contention(x.queueKey())
	for _, source := range x.Contentions {
		if priority, recent := source.Contended(x.service, x.request.Model); recent && (!c.Recent || priority > c.Priority) {
			c = admit.Contention{Priority: priority, Recent: true}
		}
	}
	return c
}

// slotLimit returns the share of a replica's slots that the request may use.
func (x *exchange) slotLimit(class admit.Class) float64 {
	if !x.isEngineStream {
		return x.Rules.Fill
	}
	return x.Rules.Limit(class, x.priority(), x.contention())
}

// takeSlot picks an endpoint and counts the request there, so that the next one sees the slot as
// taken. It returns nil if there is no free slot.
func (x *exchange) takeSlot(t admit.Turn) *catalog.Endpoint {
	e := x.pick(x.triedServers, t)
	if e != nil {
		e.Load.RequestStarted()
		x.counted = e
	}
	return e
}

// slotDecision is the decision for a request that finds no free slot, or finds requests in the queue
// that go first.
type slotDecision struct {
	admit.Decision
	// wait describes the request to the queue, with its class at arrival.
	wait      admit.WaitRequest
	endpoints int
	// isShort says that the request is on time, so that its wait or refusal counts as contention.
	isShort bool
}

// decideSlot decides whether the request waits for a slot. It changes nothing.
func (x *exchange) decideSlot(r *admit.Request, now time.Time) slotDecision {
	d := slotDecision{endpoints: len(x.candidates()), wait: x.waitRequest(r, now)}
	d.isShort = d.endpoints > 0 && d.wait.Class == admit.OnTime && r.IsStream
	forecast := x.forecast(d.endpoints > 0)
	d.wait.LateInterval = forecast.LateInterval()
	d.Decision = x.Rules.Decide(r, &admit.State{Now: now, HasEndpoints: d.endpoints > 0, Standing: x.queue.Standing(&d.wait), Forecast: forecast})
	return d
}

// queued returns the request as it joins the queue.
func (d *slotDecision) queued() admit.WaitRequest {
	w := d.wait
	w.Class, w.Deadline = d.Class, d.Until
	return w
}

// drawFor returns the draw of the request in the class, zero if it is to be admitted before all others.
func (x *exchange) drawFor(c admit.Class) float64 {
	if c == admit.Resumed || c == admit.LeastShare || x.possibleRuns > 0 {
		return 0
	}
	return x.draw
}

// waitForSlot decides whether the request waits for a slot, and waits for it.
//
// Errors carry code.NoReplica, code.Overloaded, code.PoisonRequest or code.CallerClosed.
func (x *exchange) waitForSlot(ctx context.Context, r *admit.Request) (*catalog.Endpoint, error) {
	now := x.Clock.Now()
	decision := x.decideSlot(r, now)
	if err := x.checkLimits(x.limitsDeadline(decision.Until), x.retries.Next); err != nil {
		return nil, err
	}
	if decision.isShort {
		x.monitor.Flow(x.queueKey()).RecordShortage(x.priority())
	}
	x.predictedWait = decision.Predicted
	if decision.Action == admit.Refuse {
		return nil, x.refuse(refusedAtOnce, decision.Class)
	}
	chosen, last := x.waitInQueue(ctx, &decision, now)
	if chosen == nil {
		if err := x.contextError(ctx); code.Of(err) == code.CallerClosed {
			return nil, err
		}
		return nil, x.refuse(x.refusalReason(ctx, decision.Until), last)
	}
	if err := x.checkPoison(); err != nil {
		x.releaseSlot(chosen)
		return nil, err
	}
	return chosen, nil
}

// waitInQueue waits in the queue and records the wait, which began at the given time. It returns the
// endpoint, nil if none had a slot for the request, and the class of the request in its last turn.
func (x *exchange) waitInQueue(ctx context.Context, d *slotDecision, start time.Time) (chosen *catalog.Endpoint, last admit.Class) {
	if d.isShort {
		x.Demand.RecordWaitStart(x.service, x.request.Model, x.priority())
	}
	last = d.Class
	x.queue.Wait(ctx, d.queued(), func(t admit.Turn) bool {
		if last = t.Class; t.Limit == 0 {
			t.Limit = x.Rules.Fill
		}
		chosen = x.takeSlot(t)
		return chosen != nil
	})
	waited := x.Clock.Since(start)
	x.queueTime += waited
	if d.isShort {
		x.Demand.RecordWaitEnd(x.service, x.request.Model, x.priority(), waited)
	}
	if d.endpoints > 0 {
		x.recordWait(d.Decision, last, waited, chosen != nil)
	}
	return chosen, last
}

// limitsWaitDivisor sets the wait for the admission of a server that names a limit or a pause to a
// third of the objective. The time of that admission is known, so that the caller is told it instead.
const limitsWaitDivisor = 3

// limitsDeadline returns the end of a wait that ends at until if all servers name limits or want a
// pause.
func (x *exchange) limitsDeadline(until time.Time) time.Time {
	if end := x.request.Received.Add(x.route.LatencyObjective / limitsWaitDivisor); end.Before(until) {
		return end
	}
	return until
}

// forecast returns the forecast of waits for the endpoints of the request.
func (x *exchange) forecast(hasEndpoints bool) admit.Forecast {
	if !hasEndpoints {
		return admit.Forecast{}
	}
	return x.monitor.Peek(x.queueKey()).Forecast(x.estimate.Work)
}

// waitRequest describes the request to the queue.
func (x *exchange) waitRequest(r *admit.Request, now time.Time) admit.WaitRequest {
	w := admit.WaitRequest{
		Key: x.queueKey(), Priority: r.Priority, Received: r.Received, Admission: x.admission,
		Class: r.Class(now), LatestStart: r.LatestStart(), FirstSent: r.FirstSent(), Draw: x.drawFor(r.Class(now)),
		Organisation: x.organisationName(), Tokens: x.request.PromptTokens + x.estimate.OutputTokens,
		Restricted: len(x.triedServers) > 0, Displaceable: !r.Resumed && !r.MayHaveRun,
	}
	if r.IsStream {
		w.Limit = x.slotLimit
	}
	return w
}

// recordWait records the wait for the forecast and the metrics. The wait of a request that was on time
// counts until it was late.
func (x *exchange) recordWait(d admit.Decision, last admit.Class, waited time.Duration, gotSlot bool) {
	x.Telemetry.recordWait(last, d.Predicted, waited, gotSlot)
	gotSlot = gotSlot && last == d.Class
	x.monitor.Flow(x.queueKey()).RecordWait(d.Class, d.Predicted, waited, gotSlot)
}

// Reasons of refusals in logs and metrics.
const (
	refusedAtOnce    = "no-slot-in-time"
	refusedAfterWait = "no-slot-after-wait"
	refusedDisplaced = "queue-full"
	refusedNoReplica = "no-replica"
)

// refusalReason returns why a wait ended without a slot.
func (x *exchange) refusalReason(ctx context.Context, until time.Time) string {
	if x.Clock.Now().Before(until) && ctx.Err() == nil {
		return refusedDisplaced
	}
	return refusedAfterWait
}

// refuse returns the error for a request that found no slot, with the time after which a retry is
// useful.
func (x *exchange) refuse(reason string, class admit.Class) error {
	endpoints := len(x.candidates())
	x.refusal = refusalOf(reason, endpoints)
	x.Telemetry.recordRefusal(x.priority(), class, x.refusal)
	return x.refusalError(x.Clock.Now(), endpoints, func(waiting unit.Requests, patience time.Duration) time.Duration {
		flow := x.monitor.Flow(x.queueKey())
		return flow.Return(waiting, flow.Forecast(x.estimate.Work), patience)
	})
}

// refusalOf returns the reason of a refusal; without endpoints there is no other one.
func refusalOf(reason string, endpoints int) string {
	if endpoints == 0 {
		return refusedNoReplica
	}
	return reason
}

// returnTime returns the time after which a refused caller finds a slot, with the number of requests
// that wait and the longest time for which the caller would come back.
type returnTime func(waiting unit.Requests, patience time.Duration) time.Duration

// refusalError returns the error for a request that is refused at the given time for lack of a slot.
func (x *exchange) refusalError(at time.Time, endpoints int, next returnTime) error {
	if endpoints == 0 {
		return x.withRetryAfter(at, code.NoReplica.New("choose endpoint for service %s, model %q: no endpoint is in service", x.service, x.request.Model))
	}
	err := code.Overloaded.New("choose endpoint for service %s, model %q: none of %d endpoints has a free slot", x.service, x.request.Model, endpoints)
	if !x.isEngineStream {
		return x.withRetryAfter(at, err)
	}
	return code.WithRetryAfter(err, next(x.queue.LengthOf(x.queueKey()), x.deadline.Sub(at)/retryAfterDivisor))
}

// countInFlight counts a request in flight to the endpoint, unless takeSlot has counted it, until the
// returned function is called.
func (x *exchange) countInFlight(e *catalog.Endpoint) func() {
	if x.counted != e {
		e.Load.RequestStarted()
	}
	x.counted = nil
	flow := x.monitor.Flow(x.queueKey())
	flow.SlotTaken()
	return func() {
		flow.SlotFreed()
		x.releaseSlot(e)
	}
}

// releaseSlot ends the count of the request at the endpoint and offers the slot to waiting requests.
func (x *exchange) releaseSlot(e *catalog.Endpoint) {
	x.counted = nil
	e.Load.RequestEnded()
	x.queue.Wake(x.queueKey())
}

// organisationName returns the name of the caller's organisation, empty on a public route.
func (x *exchange) organisationName() ident.Organisation {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// urgency returns what the engine is told about the attempt.
func (x *exchange) urgency() proxy.Urgency {
	if !x.isEngineStream {
		return proxy.Unspecified
	}
	r := x.slotRequest()
	switch r.Class(x.Clock.Now()) {
	case admit.Resumed:
		return proxy.Resumed
	case admit.Late:
		return proxy.Late
	}
	return proxy.Timely
}
