// Package dispatch takes one request from admission to the last piece of its
// answer. It knows no protocol: front ends give it decoded requests and a sink,
// endpoint plug-ins send them.
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
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/table"
)

// sender sends requests by one endpoint protocol.
type sender interface {
	Protocol() table.Protocol
	Send(ctx context.Context, e *table.Endpoint, r *work.Request, sent work.PartialAnswer, s work.Sink) error
	CheckHealth(ctx context.Context, address string) error
}

// picker is the policy that chooses endpoints.
type picker interface {
	Pick(now time.Time, endpoints []*table.Endpoint, r *work.Request) *table.Endpoint
	EstimateFirstToken(e *table.Endpoint, r *work.Request) time.Duration
	ObserveFirstToken(e *table.Endpoint, r *work.Request, d time.Duration)
}

// claimer records at-most-once requests before they are sent.
type claimer interface {
	Claim(ctx context.Context, key ident.RequestKey, organisation ident.Organisation, fingerprint ident.Fingerprint) (work.SendPermit, error)
}

// poisonDetector knows the requests that crash endpoints.
type poisonDetector interface {
	Check(ident.Fingerprint) error
	RecordCrash(ident.Fingerprint)
}

// recordSource are the active records.
type recordSource interface {
	View() *record.View
	Ready() bool
}

// Options are the parts of a Dispatcher.
type Options struct {
	Clock     clock.Clock
	Log       zerolog.Logger
	Tables    *table.Publisher
	Records   recordSource
	Policy    picker
	Claims    claimer
	Poison    poisonDetector
	Senders   map[table.Protocol]sender
	Telemetry *Telemetry
	Settings  Settings
}

// Dispatcher runs requests.
type Dispatcher struct {
	Options
	shares      *admit.Shares
	queue       *admit.Queue
	retryBudget *admit.RetryBudget
	stopping    atomic.Bool
}

// New returns a dispatcher that takes requests at once.
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

// Dispatch runs the request and writes its answer to the sink. It returns nil
// after a whole answer; an error carries a code that says whether the request
// ran. If the sink was started, the answer before the error is incomplete.
func (d *Dispatcher) Dispatch(ctx context.Context, r *work.Request, s work.Sink) error {
	err := d.run(ctx, r, s)
	d.Telemetry.requestEnded(r, err, d.Clock.Now())
	return err
}

func (d *Dispatcher) run(ctx context.Context, r *work.Request, s work.Sink) error {
	organisation, err := d.checkRequest(r)
	if err != nil {
		return err
	}
	if d.hasNoEndpoint(r) {
		return d.refusal(r)
	}
	place, err := d.shares.Admit(organisation, max(d.Tables.Current().Capacity(), 1))
	if err != nil {
		return err
	}
	defer place.Release()
	// A stop that began after the check above sees the place and waits; one
	// that began before is seen here.
	if d.stopping.Load() {
		return code.Draining.New("daemon: it is stopping and takes no new requests")
	}
	d.retryBudget.RecordRequest()
	if r.AtMostOnce {
		return d.runAtMostOnce(ctx, r, s, place)
	}
	return d.runRepeatable(ctx, r, s, place)
}

// checkRequest refuses what can be refused without an endpoint.
func (d *Dispatcher) checkRequest(r *work.Request) (*record.Organisation, error) {
	if !d.Records.Ready() {
		return nil, code.NotReady.New("daemon: no configuration has been heard yet")
	}
	if d.stopping.Load() {
		return nil, code.Draining.New("daemon: it is stopping and takes no new requests")
	}
	view := d.Records.View()
	organisation := view.Organisation(r.Organisation)
	if organisation == nil {
		return nil, code.UnknownOrganisation.New("organisation %q: no such record", r.Organisation)
	}
	if r.Operation != work.ServiceCall && !view.Serves(r.Model, r.Organisation) {
		return nil, code.UnknownModel.New("model %q: no deployment serves it to organisation %s", r.Model, r.Organisation)
	}
	if err := d.Poison.Check(r.Fingerprint); err != nil {
		return nil, err
	}
	return organisation, nil
}

// candidates returns the endpoints that may take the request.
func (d *Dispatcher) candidates(r *work.Request) []*table.Endpoint {
	t := d.Tables.Current()
	if r.Operation == work.ServiceCall {
		return t.ServiceEndpoints(r.Service)
	}
	return t.ModelEndpoints(r.Model, r.Organisation)
}

// relays returns the daemons of other data centres that may take the request. A
// request that was relayed goes no further, and one that must not run twice
// stays with the daemon that records its claim.
func (d *Dispatcher) relays(r *work.Request) []*table.Endpoint {
	if r.Relayed || r.AtMostOnce || r.Operation == work.ServiceCall {
		return nil
	}
	return d.Tables.Current().Relays(r.Model, r.Organisation)
}

// hasNoEndpoint reports whether nothing is in service that the request could wait
// for. Shares of organisations mean nothing then.
func (d *Dispatcher) hasNoEndpoint(r *work.Request) bool {
	return len(d.candidates(r)) == 0 && len(d.relays(r)) == 0
}

// queueKey names what the request waits for.
func queueKey(r *work.Request) admit.QueueKey {
	if r.Operation == work.ServiceCall {
		return admit.QueueKey(r.Service)
	}
	return admit.QueueKey(r.Model)
}

// acquire returns an endpoint with a place taken at it: a local one if one has
// room, otherwise a relay. It waits in the queue while every endpoint is at its
// bound.
//
// Errors carry code.NoReplica, ColdOnly, Overloaded or DeadlineTooShort; all
// say that the request was not run.
func (d *Dispatcher) acquire(ctx context.Context, r *work.Request, place admit.Admission) (*table.Endpoint, error) {
	var chosen *table.Endpoint
	try := func() bool {
		chosen = d.acquireAny(r)
		return chosen != nil
	}
	if !try() {
		if d.hasNoEndpoint(r) {
			return nil, d.refusal(r)
		}
		until := d.Clock.Now().Add(d.Settings.QueueWait.Duration)
		if !r.Deadline.IsZero() && r.Deadline.Before(until) {
			until = r.Deadline
		}
		d.queue.Wait(ctx, admit.WaitRequest{Key: queueKey(r), Priority: r.Priority, Received: r.Received, Admission: place, Deadline: until}, try)
	}
	if chosen == nil {
		return nil, d.refusal(r)
	}
	if err := d.checkDeadline(chosen, r); err != nil {
		d.release(chosen, r)
		return nil, err
	}
	return chosen, nil
}

// acquireAny takes a place at a local endpoint or, if none has room, at a relay. It
// returns nil if neither has room. It takes no lock and allocates nothing.
func (d *Dispatcher) acquireAny(r *work.Request) *table.Endpoint {
	if e := d.acquireFrom(d.candidates(r), r); e != nil {
		return e
	}
	return d.acquireFrom(d.relays(r), r)
}

// acquireFrom chooses one of the endpoints and takes a place at it, or returns nil.
func (d *Dispatcher) acquireFrom(list []*table.Endpoint, r *work.Request) *table.Endpoint {
	now := d.Clock.Now()
	// Another request may take the place between choice and Acquire, so the
	// choice is repeated a few times before the request queues.
	const tries = 3
	for range tries {
		e := d.Policy.Pick(now, list, r)
		if e == nil {
			return nil
		}
		if !e.Acquire(now) {
			continue
		}
		// The endpoint may have left or turned cold since it was read from
		// the table. A table published from now on counts the place.
		if d.Tables.Current().Endpoint(e.ID) == e {
			return e
		}
		e.Release()
	}
	return nil
}

func (d *Dispatcher) release(e *table.Endpoint, r *work.Request) {
	e.Release()
	d.queue.Wake(queueKey(r))
}

func (d *Dispatcher) refusal(r *work.Request) error {
	list := d.candidates(r)
	retry := d.Settings.RetryAfter.Duration
	if len(list) == 0 && len(d.relays(r)) > 0 {
		return code.WithRetryAfter(code.Overloaded.New("%s: none is in service in this data centre, and others have no room left", queueKey(r)), retry)
	}
	if len(list) == 0 {
		return code.WithRetryAfter(code.NoReplica.New("%s: no endpoint is in service", queueKey(r)), retry)
	}
	for _, e := range list {
		if !e.Cold {
			return code.WithRetryAfter(code.Overloaded.New("%s: every endpoint is at its limit", queueKey(r)), retry)
		}
	}
	return code.WithRetryAfter(code.ColdOnly.New("%s: only cold endpoints are in service", queueKey(r)), retry)
}

// checkDeadline refuses a request whose deadline is over, or will be before
// its first token, by the policy's estimate. The limit of tokens says nothing of
// the answer's length: callers set it far above what they expect.
func (d *Dispatcher) checkDeadline(e *table.Endpoint, r *work.Request) error {
	if r.Deadline.IsZero() {
		return nil
	}
	left := r.Deadline.Sub(d.Clock.Now())
	need := d.Policy.EstimateFirstToken(e, r)
	if need <= left {
		return nil
	}
	return code.WithRetryAfter(code.DeadlineTooShort.New("deadline: %s left, %s needed at endpoint %s", left, need, e.ID), d.Settings.RetryAfter.Duration)
}

// InFlight returns the requests admitted and not yet ended.
func (d *Dispatcher) InFlight() unit.Requests {
	return d.shares.InFlight()
}

// InFlightTo returns this daemon's requests in flight to the endpoint.
func (d *Dispatcher) InFlightTo(id ident.Endpoint) unit.Requests {
	if e := d.Tables.Current().Endpoint(id); e != nil {
		return e.Load.InFlight()
	}
	return d.Tables.EndpointInFlight(id)
}

// Drain refuses new requests and waits until none is in flight or the context
// ends. It returns the requests still in flight.
func (d *Dispatcher) Drain(ctx context.Context) unit.Requests {
	d.stopping.Store(true)
	const interval = 20 * time.Millisecond
	for d.InFlight() > 0 {
		timer := d.Clock.NewTimer(interval)
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return d.InFlight()
		}
	}
	return 0
}
