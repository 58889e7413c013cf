// Package forward takes a caller's request to a server and its reply back, both
// unchanged. It decides which servers are tried, what may be sent again, where a
// broken stream goes on, and what the caller is told if nothing answers. It
// knows no protocol.
package forward

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/admit"
)

type (
	// catalogSource tells what is there to route to.
	catalogSource interface {
		Current() *catalog.Snapshot
	}
	// picker chooses endpoints.
	picker interface {
		Pick(now time.Time, list []*catalog.Endpoint, tried []ident.Instance) *catalog.Endpoint
	}
	// retryBudget bounds what is sent again.
	retryBudget interface {
		RecordRequest()
		AllowRetry() bool
	}
	// poisonDetector knows the requests that crash servers.
	poisonDetector interface {
		Check(ident.Fingerprint) error
		RecordCrash(ident.Fingerprint)
		RecordCompletion(ident.Fingerprint)
	}
	// observer is told of endpoints that fail.
	observer interface {
		EndpointFailed(e *catalog.Endpoint, cause code.Code)
	}
)

// Sender sends a request to a server. silent is asked during each silence of the
// server whether to wait on.
//
// Errors carry code.EndpointUnreachable if nothing was sent, and otherwise
// code.CutOff, code.Stalled or code.ForeignAnswer.
type Sender interface {
	Send(ctx context.Context, a *proxy.Attempt, silent func(time.Duration) bool) (Reply, error)
	// AcceptsConnection reports whether the server takes a new connection.
	AcceptsConnection(ctx context.Context, address string) bool
}

// Reply is a server's reply as it comes.
type Reply interface {
	Head() *proxy.Head
	// ContentLength is that of the body, or negative if it isn't known.
	ContentLength() int
	// Read returns io.EOF only at the end of a whole body.
	Read([]byte) (int, error)
	// Close ends the exchange; a run that has not ended is cancelled.
	Close()
}

// Sink takes the answer to the caller.
type Sink interface {
	Start(status int, fields []proxy.Field, length int)
	Started() bool
	Write([]byte) error
	End([]byte) error
	Abort()
}

// Options are the parts of a Forwarder.
type Options struct {
	Clock     clock.Clock
	Log       zerolog.Logger
	Catalog   catalogSource
	Picker    picker
	Budget    retryBudget
	Poison    poisonDetector
	Sender    Sender
	Observer  observer
	Telemetry *Telemetry
}

// Forwarder forwards requests.
type Forwarder struct {
	Options
	shares *admit.Shares
	queue  *admit.Queue
}

// Bounds of the queue for places.
const (
	queueLimit   = 512
	queueRecheck = 25 * time.Millisecond
)

// New returns a forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{
		Options: o, shares: admit.NewShares(),
		queue: admit.NewQueue(admit.QueueOptions{Clock: o.Clock, Limit: queueLimit, RecheckInterval: queueRecheck}),
	}
}

// Forward answers the request. An error says how the answer failed; the caller
// of Forward tells it to the sink if that has not been started.
func (f *Forwarder) Forward(ctx context.Context, r *proxy.Request, s Sink) error {
	x := &exchange{Forwarder: f, request: r, sink: s}
	err := x.run(ctx)
	f.Telemetry.requestEnded(x, err, f.Clock.Now())
	return err
}

// exchange is one request on its way.
type exchange struct {
	*Forwarder
	request      *proxy.Request
	sink         Sink
	route        *cluster.Route
	service      ident.Service
	organisation *cluster.Organisation
	// deadline is when the caller or the route stops waiting.
	deadline time.Time

	tried []ident.Instance
	// possibleRuns counts the attempts that reached a server and may count as run.
	possibleRuns int
	attempts     int
	// mayRunFailure is the last failure of an attempt that may have run.
	mayRunFailure error
	admission     admit.Admission

	// For the log: the last endpoint with what was in flight there when it was
	// chosen, the wait for a place, the time to the first byte and the longest
	// pause between two events.
	lastEndpoint    ident.Instance
	lastInFlight    unit.Requests
	queueTime       time.Duration
	timeToFirstByte time.Duration
	longestPause    time.Duration
	lastEventTime   time.Time
}

func (x *exchange) run(ctx context.Context) error {
	s := x.Catalog.Current()
	if err := x.resolve(s); err != nil {
		return err
	}
	if err := x.admitRequest(); err != nil {
		return err
	}
	defer x.admission.Release()
	x.Budget.RecordRequest()
	ctx, cancel := clock.WithDeadline(ctx, x.Clock, x.deadline)
	defer cancel()
	if x.route.Kind == cluster.Stream {
		return x.runStream(ctx)
	}
	return x.runPlain(ctx)
}

// resolve finds the route and checks the caller's key.
func (x *exchange) resolve(s *catalog.Snapshot) error {
	r := x.request
	if s.Config == nil {
		return code.NotReady.New("daemon: no configuration has been heard yet")
	}
	x.route = s.Route(r.Host, r.Path)
	if x.route == nil {
		return code.UnknownPath.New("host %q, path %q: no route in version %d", r.Host, r.Path, s.Config.Version)
	}
	x.organisation = s.Organisation(r.Credential)
	if x.organisation == nil && !x.route.Public && len(s.Config.Organisations) > 0 {
		return code.UnknownOrganisation.New("route %s: the key is in no organisation of version %d", x.route.Name, s.Config.Version)
	}
	if err := x.Poison.Check(r.Fingerprint); err != nil {
		return err
	}
	x.service = x.chooseService()
	x.deadline = r.Received.Add(x.route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(x.deadline) {
		x.deadline = r.Deadline
	}
	return nil
}

// chooseService chooses the service by weight. Every attempt of a request goes to the
// same one.
func (x *exchange) chooseService() ident.Service {
	targets := x.route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	var total float64
	for _, t := range targets {
		total += float64(t.Weight)
	}
	const steps = 1 << 20
	at := float64(xxhash.Sum64String(string(x.request.ID))%steps) / steps * total
	for _, t := range targets {
		if at -= float64(t.Weight); at < 0 {
			return t.Service
		}
	}
	return targets[len(targets)-1].Service
}

// candidates returns where the request may go.
func (x *exchange) candidates() []*catalog.Endpoint {
	s := x.Catalog.Current()
	if s.Config == nil {
		return nil
	}
	if service := s.Config.Services[x.service]; service != nil && service.Engine != nil {
		return s.ModelEndpoints(x.service, x.request.Model)
	}
	return s.PlainEndpoints(x.service)
}

// The wait for a place: a new request waits for a part of its objective, above
// which it is better to refuse, and a stream that broke off for as long as its
// caller surely stays.
const (
	queueWaitDivisor = 3
	resumeWait       = time.Second
)

// pick returns the endpoint of the next attempt.
//
// Errors carry code.NoReplica or code.Overloaded.
func (x *exchange) pick(ctx context.Context) (*catalog.Endpoint, error) {
	var chosen *catalog.Endpoint
	try := func() bool {
		chosen = x.Picker.Pick(x.Clock.Now(), x.candidates(), x.tried)
		return chosen != nil
	}
	if try() {
		return chosen, nil
	}
	until := x.request.Received.Add(x.route.LatencyObjective / queueWaitDivisor)
	if x.sink.Started() {
		until = x.Clock.Now().Add(resumeWait)
	}
	if until.After(x.deadline) {
		until = x.deadline
	}
	begun := x.Clock.Now()
	x.queue.Wait(ctx, admit.WaitRequest{Key: x.queueKey(), Priority: -x.priority(), Received: x.request.Received, Admission: x.admission, Deadline: until}, try)
	x.queueTime += x.Clock.Since(begun)
	if chosen != nil {
		return chosen, nil
	}
	list := x.candidates()
	if len(list) == 0 {
		return nil, x.withRetryAfter(code.NoReplica.New("service %s, model %q: no endpoint is in service", x.service, x.request.Model))
	}
	return nil, x.withRetryAfter(code.Overloaded.New("service %s, model %q: none of %d endpoints has room", x.service, x.request.Model, len(list)))
}

// queueKey names what the request waits for.
func (x *exchange) queueKey() admit.QueueKey {
	return admit.QueueKey(string(x.service) + " " + string(x.request.Model))
}

// priority returns the organisation's priority or that of the route; a lower one
// goes first.
func (x *exchange) priority() unit.Priority {
	if x.organisation != nil && x.organisation.HasPriority {
		return x.organisation.Priority
	}
	return x.route.Priority
}

// admitRequest counts the request against its organisation, so that those with little
// at work are first in the queue.
func (x *exchange) admitRequest() error {
	o := record.Organisation{Weight: 1}
	if x.organisation != nil {
		o.Name = x.organisation.Name
	}
	var err error
	x.admission, err = x.shares.Admit(&o, math.MaxInt32)
	return err
}

// Callers honour a wait of up to a third of the time that they have left.
const (
	retryAfterDivisor = 3
	maxRetryAfter     = 900 * time.Millisecond
)

// withRetryAfter adds to a refusal when it is worth coming back.
func (x *exchange) withRetryAfter(err error) error {
	left := x.deadline.Sub(x.Clock.Now())
	return code.WithRetryAfter(err, max(0, min(left/retryAfterDivisor, maxRetryAfter)))
}

// countInFlight counts a request at the endpoint, and the returned function ends that.
func (x *exchange) countInFlight(e *catalog.Endpoint) func() {
	e.Load.RequestStarted()
	return func() {
		e.Load.RequestEnded()
		x.queue.Wake(x.queueKey())
	}
}

// newAttempt returns the next send to the endpoint.
func (x *exchange) newAttempt(e *catalog.Endpoint) *proxy.Attempt {
	a := &proxy.Attempt{
		Request: x.request, Server: e.ID, Address: e.Address,
		Timeout: x.deadline.Sub(x.Clock.Now()), NewConnection: !x.route.Repeatable(),
	}
	if x.organisation != nil {
		a.Organisation = x.organisation.Name
	}
	x.attempts++
	x.lastEndpoint, x.lastInFlight = e.ID, e.Load.TotalInFlight()
	return a
}

// recordFailure records the failure of an attempt.
func (x *exchange) recordFailure(ctx context.Context, e *catalog.Endpoint, err error) {
	cause := code.Of(err)
	if code.OutcomeOf(err) != code.NotRun {
		x.mayRunFailure = err
		x.possibleRuns++
	}
	x.tried = append(x.tried, e.ID)
	if ctx.Err() != nil {
		return
	}
	avoided := time.Duration(0)
	switch cause {
	case code.EndpointUnreachable, code.CutOff, code.Stalled, code.EndpointFailed:
		avoided = e.Load.RecordFailure(x.Clock.Now())
		x.Observer.EndpointFailed(e, cause)
	}
	if cause == code.CutOff && x.crashed(ctx, e) {
		x.Poison.RecordCrash(x.request.Fingerprint)
		x.Log.Warn().Str("request", string(x.request.ID)).Str("endpoint", string(e.ID)).
			Stringer("fingerprint", x.request.Fingerprint).Msg("request-suspected")
	}
	x.Telemetry.failedAttempts.WithLabelValues(cause.Spec().Name).Inc()
	x.Log.Info().Str("request", string(x.request.ID)).Str("endpoint", string(e.ID)).
		Str("replica", string(e.Replica)).Uint64("epoch", uint64(e.Epoch)).
		Int("attempt", x.attempts).Int64("inflight", int64(e.Load.TotalInFlight())).
		Dur("avoided_ms", avoided).Str("cause", cause.Spec().Name).Str("detail", code.Message(err)).Msg("attempt-failed")
}

// crashCheckTimeout bounds the wait for a connection to a server that broke off.
const crashCheckTimeout = 100 * time.Millisecond

// crashed reports whether the server that broke off an answer is gone: one that
// takes a new connection has only lost or spoilt this answer.
func (x *exchange) crashed(ctx context.Context, e *catalog.Endpoint) bool {
	ctx, cancel := clock.WithDeadline(ctx, x.Clock, x.Clock.Now().Add(crashCheckTimeout))
	defer cancel()
	return !x.Sender.AcceptsConnection(ctx, e.Address)
}

// contextError returns why the context ended: the caller left or the time is over.
func (x *exchange) contextError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	if x.Clock.Now().Before(x.deadline) {
		return code.CallerClosed.New("the caller left after %s", x.Clock.Since(x.request.Received))
	}
	if x.mayRunFailure == nil && x.possibleRuns == 0 && x.attempts == 0 {
		return code.DeadlineTooShort.New("the time was over before the request was sent")
	}
	return code.DeadlineExpired.New("no whole answer within %s", x.deadline.Sub(x.request.Received))
}

// callerError returns what to tell the caller after the last failure: nothing may be
// called "not run" after an attempt that may have run.
func (x *exchange) callerError(err error) error {
	if x.mayRunFailure != nil && code.OutcomeOf(err) == code.NotRun {
		return x.mayRunFailure
	}
	return err
}
