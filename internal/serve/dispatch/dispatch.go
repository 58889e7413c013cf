// Package dispatch runs requests for the front ends, from admission to the end of the
// answer. It chooses an endpoint for each decoded request, sends the request through the
// plug-in for the endpoint's protocol, streams the answer to the front end's sink, and
// retries after failures where that is safe. It does not depend on any protocol.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/table"
)

// sender sends requests with one endpoint protocol.
type sender interface {
	Protocol() table.Protocol
	Send(ctx context.Context, e *table.Endpoint, r *work.Request, sent work.PartialAnswer, s work.Sink) error
	CheckHealth(ctx context.Context, address string) error
}

// routingPolicy chooses endpoints and learns from the times to the first token.
type routingPolicy interface {
	Pick(now time.Time, endpoints []*table.Endpoint, r *work.Request) *table.Endpoint
	EstimateFirstToken(e *table.Endpoint, r *work.Request) time.Duration
	ObserveFirstToken(e *table.Endpoint, r *work.Request, d time.Duration)
}

// claimer records a claim for an at-most-once request before the request is sent.
type claimer interface {
	Claim(ctx context.Context, key ident.IdempotencyKey, organisation ident.Organisation, fingerprint ident.Fingerprint) (work.SendPermit, error)
}

// poisonDetector counts crashes of endpoints by request and refuses poison
// requests.
type poisonDetector interface {
	Check(ident.Fingerprint) error
	RecordCrash(ident.Fingerprint, ident.Crash)
}

// recordSource has the active configuration records.
type recordSource interface {
	View() *record.View
	Ready() bool
}

// Options are the dependencies and settings of a Dispatcher.
type Options struct {
	Clock     clock.Clock
	Log       zerolog.Logger
	Tables    *table.Publisher
	Records   recordSource
	Policy    routingPolicy
	Claims    claimer
	Poison    poisonDetector
	Senders   map[table.Protocol]sender
	Telemetry *Telemetry
	// Replies bounds the memory of answers that are held. Nil means no limit.
	Replies  *budget.Replies
	Settings Settings
}

// Dispatcher runs requests. Its methods may be called from several goroutines.
type Dispatcher struct {
	Options
	shares      *admit.Shares
	queue       *admit.Queue
	retryBudget *admit.RetryBudget
	stopping    atomic.Bool
}

// New returns a dispatcher, which accepts requests at once.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		Options:     o,
		shares:      admit.NewShares(),
		retryBudget: admit.NewRetryBudget(),
		queue: admit.NewQueue(admit.QueueOptions{
			Clock:           o.Clock,
			Limit:           o.Settings.QueueLimit,
			RecheckInterval: o.Settings.Recheck.Duration,
		}),
	}
}

// Dispatch runs the request and writes its answer to the sink. It returns nil after
// a complete answer. Otherwise the error carries a result code and an outcome,
// which says whether the request ran. If the sink was started before the error, it
// has received an incomplete answer.
func (d *Dispatcher) Dispatch(ctx context.Context, r *work.Request, s work.Sink) error {
	err := d.runRequest(ctx, r, s)
	d.Telemetry.requestEnded(r, err, d.Clock.Now())
	return err
}

func (d *Dispatcher) runRequest(ctx context.Context, r *work.Request, s work.Sink) error {
	organisation, err := d.checkRequest(r)
	if err != nil {
		return err
	}
	if d.hasNoEndpoint(r) {
		return d.refusal(r)
	}
	admission, err := d.shares.Admit(organisation, max(d.Tables.Current().Capacity(), 1))
	if err != nil {
		return err
	}
	defer admission.Release()
	// A drain that starts after this check counts the admission and waits for
	// it. A drain that started after checkRequest is detected here.
	if d.stopping.Load() {
		return code.Draining.New("admit request: the daemon is stopping and accepts no new requests")
	}
	d.retryBudget.RecordRequest()
	if r.AtMostOnce {
		return d.runAtMostOnce(ctx, r, s, admission)
	}
	return d.runRepeatable(ctx, r, s, admission)
}

// checkRequest refuses requests for reasons that don't depend on an endpoint. It
// returns the record of the caller's organisation.
func (d *Dispatcher) checkRequest(r *work.Request) (*record.Organisation, error) {
	if !d.Records.Ready() {
		return nil, code.NotReady.New("check request: the daemon has not received any configuration yet")
	}
	if d.stopping.Load() {
		return nil, code.Draining.New("check request: the daemon is stopping and accepts no new requests")
	}
	view := d.Records.View()
	organisation := view.Organisation(r.Organisation)
	if organisation == nil {
		return nil, code.UnknownOrganisation.New("check request: organisation %q has no record", r.Organisation)
	}
	if r.Operation != work.ServiceCall && !view.Serves(r.Model, r.Organisation) {
		return nil, code.UnknownModel.New("check request: no deployment serves model %q to organisation %s", r.Model, r.Organisation)
	}
	if err := d.Poison.Check(r.Fingerprint); err != nil {
		return nil, err
	}
	return organisation, nil
}

// candidates returns the local endpoints that serve the request's model or service.
func (d *Dispatcher) candidates(r *work.Request) []*table.Endpoint {
	t := d.Tables.Current()
	if r.Operation == work.ServiceCall {
		return t.ServiceEndpoints(r.Service)
	}
	return t.ModelEndpoints(r.Model, r.Organisation)
}

// relays returns the daemons of other data centres to which the request may be
// relayed. A relayed request is not relayed again, and an at-most-once request
// stays with the daemon that records its claim.
func (d *Dispatcher) relays(r *work.Request) []*table.Endpoint {
	if r.Relayed || r.AtMostOnce || r.Operation == work.ServiceCall {
		return nil
	}
	return d.Tables.Current().Relays(r.Model, r.Organisation)
}

// hasNoEndpoint reports whether no endpoint or relay is in service for the request,
// so that a wait is pointless. The request is then refused before its organisation's
// share is checked, so that the refusal names the actual reason.
func (d *Dispatcher) hasNoEndpoint(r *work.Request) bool {
	return len(d.candidates(r)) == 0 && len(d.relays(r)) == 0
}

// queueKey returns the key of the queue that the request waits in: its service or
// its model.
func queueKey(r *work.Request) admit.QueueKey {
	if r.Operation == work.ServiceCall {
		return admit.QueueKey(r.Service)
	}
	return admit.QueueKey(r.Model)
}

// acquireEndpoint acquires a slot of an endpoint and returns the endpoint. It prefers
// local endpoints to relays, and waits in the queue while every endpoint is at its limit.
//
// Errors carry code.NoReplica, code.ColdOnly, code.Overloaded or
// code.DeadlineTooShort, all with the outcome not-run.
func (d *Dispatcher) acquireEndpoint(ctx context.Context, r *work.Request, admission admit.Admission) (*table.Endpoint, error) {
	var chosen *table.Endpoint
	tryAcquire := func() bool {
		chosen = d.acquireAny(r)
		return chosen != nil
	}
	if !tryAcquire() {
		if d.hasNoEndpoint(r) {
			return nil, d.refusal(r)
		}
		waitDeadline := d.Clock.Now().Add(d.Settings.QueueWait.Duration)
		if !r.Deadline.IsZero() && r.Deadline.Before(waitDeadline) {
			waitDeadline = r.Deadline
		}
		d.queue.Wait(ctx, admit.WaitRequest{Key: queueKey(r), Priority: r.Priority, Received: r.Received, Admission: admission, Deadline: waitDeadline}, func(admit.Turn) bool { return tryAcquire() })
	}
	if chosen == nil {
		return nil, d.refusal(r)
	}
	if err := d.checkDeadline(chosen, r); err != nil {
		d.releaseEndpoint(chosen, r)
		return nil, err
	}
	return chosen, nil
}

// acquireAny acquires a slot of a local endpoint or, if none has a free slot, of a
// relay. It returns nil if there is no free slot. It takes no lock and allocates
// nothing.
func (d *Dispatcher) acquireAny(r *work.Request) *table.Endpoint {
	if e := d.acquireFrom(d.candidates(r), r); e != nil {
		return e
	}
	return d.acquireFrom(d.relays(r), r)
}

// acquireFrom chooses one of the endpoints, acquires a slot of it and returns it. It
// returns nil if no slot was acquired.
func (d *Dispatcher) acquireFrom(endpoints []*table.Endpoint, r *work.Request) *table.Endpoint {
	now := d.Clock.Now()
	// Another request may take the last slot between Pick and Acquire, so the
	// choice is repeated before the request is queued.
	const maxTries = 3
	for range maxTries {
		e := d.Policy.Pick(now, endpoints, r)
		if e == nil {
			return nil
		}
		if !e.Acquire(now) {
			continue
		}
		// The endpoint may have been removed or turned cold since it was read
		// from the table. A table that is published after this check counts
		// the acquired slot.
		if d.Tables.Current().Endpoint(e.ID) == e {
			return e
		}
		e.Release()
	}
	return nil
}

// releaseEndpoint releases the slot and wakes a request that waits for one.
func (d *Dispatcher) releaseEndpoint(e *table.Endpoint, r *work.Request) {
	e.Release()
	d.queue.Wake(queueKey(r))
}

// refusal returns the error for a request that found no endpoint with a free slot.
func (d *Dispatcher) refusal(r *work.Request) error {
	endpoints := d.candidates(r)
	retryAfter := d.Settings.RetryAfter.Duration
	if len(endpoints) == 0 && len(d.relays(r)) > 0 {
		return code.WithRetryAfter(code.Overloaded.New("choose endpoint for %s: no endpoint is in service in this data centre, and other data centres have no free slots", queueKey(r)), retryAfter)
	}
	if len(endpoints) == 0 {
		return code.WithRetryAfter(code.NoReplica.New("choose endpoint for %s: no endpoint is in service", queueKey(r)), retryAfter)
	}
	for _, e := range endpoints {
		if !e.Cold {
			return code.WithRetryAfter(code.Overloaded.New("choose endpoint for %s: all endpoints are at their limits", queueKey(r)), retryAfter)
		}
	}
	return code.WithRetryAfter(code.ColdOnly.New("choose endpoint for %s: only cold endpoints are in service", queueKey(r)), retryAfter)
}

// checkDeadline refuses a request whose deadline has passed or will pass before the
// first token, by the policy's estimate. It ignores the request's token limit,
// which says little about the length of the answer: callers set the limit far above
// the length that they expect.
func (d *Dispatcher) checkDeadline(e *table.Endpoint, r *work.Request) error {
	if r.Deadline.IsZero() {
		return nil
	}
	timeLeft := r.Deadline.Sub(d.Clock.Now())
	estimate := d.Policy.EstimateFirstToken(e, r)
	if estimate <= timeLeft {
		return nil
	}
	return code.WithRetryAfter(code.DeadlineTooShort.New("check deadline: %s left, expected %s to the first token at endpoint %s", timeLeft, estimate, e.ID), d.Settings.RetryAfter.Duration)
}

// InFlight returns the number of requests that were admitted and have not ended.
func (d *Dispatcher) InFlight() unit.Requests {
	return d.shares.InFlight()
}

// InFlightTo returns the number of this daemon's requests in flight to the endpoint,
// which may have left the table.
func (d *Dispatcher) InFlightTo(id ident.Endpoint) unit.Requests {
	if e := d.Tables.Current().Endpoint(id); e != nil {
		return e.Load.InFlight()
	}
	return d.Tables.EndpointInFlight(id)
}

// Drain refuses new requests and waits until no request is in flight or the context
// ends. It returns the number of requests still in flight.
func (d *Dispatcher) Drain(ctx context.Context) unit.Requests {
	d.stopping.Store(true)
	const pollInterval = 20 * time.Millisecond
	for d.InFlight() > 0 {
		timer := d.Clock.NewTimer(pollInterval)
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return d.InFlight()
		}
	}
	return 0
}
