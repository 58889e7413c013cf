// Package forward forwards requests from the front end to servers, and the servers'
// replies back to callers, both unchanged. It chooses the servers to try, decides
// which failed requests may be repeated, resumes interrupted streams at another
// server, and produces the error when no server answers. It does not depend on any
// protocol.
package forward

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/balance"
	"cuminbay/internal/route/cost"
	"cuminbay/internal/route/ratelimit"
)

type (
	// endpointCatalog has the current routes and endpoints, and is told of servers that
	// leave.
	endpointCatalog interface {
		Current() *catalog.Snapshot
		SetLeaving(server *cluster.Server) bool
	}
	// picker chooses an endpoint.
	picker interface {
		Pick(now time.Time, endpoints []*catalog.Endpoint, r balance.Request) *catalog.Endpoint
	}
	// choiceExplainer explains the choice of an endpoint.
	choiceExplainer interface {
		Explain(now time.Time, endpoints []*catalog.Endpoint, r balance.Request) balance.Explanation
	}
	// retryBudget bounds the retries.
	retryBudget interface {
		RecordRequest(service ident.Service)
		HasRetry(service ident.Service) bool
		AllowRetry(service ident.Service) bool
	}
	// poisonDetector counts crashes of servers by request and refuses poison
	// requests.
	poisonDetector interface {
		Check(ident.Fingerprint) error
		RecordCrash(ident.Fingerprint, ident.Crash)
		RecordCompletion(ident.Fingerprint)
	}
	// platformCopy is the copy of the platform's keys from which routes and callers' keys
	// are known.
	platformCopy interface {
		Status() store.CopyStatus
	}
	// partDetector counts crashes of servers by prompt part and refuses parts that crash
	// servers.
	partDetector interface {
		CheckParts([]ident.PromptPart) error
		RecordPartCrash([]ident.PromptPart, ident.Crash) bool
		RecordPartStart([]ident.PromptPart)
	}
	// requestLimits has the limits of requests that endpoints name in their replies, and
	// the pauses that they want.
	requestLimits interface {
		Observe(e *catalog.Endpoint, limit *unit.RequestRate)
		Pause(e *catalog.Endpoint, d time.Duration)
		Exhausted(now time.Time, endpoints []*catalog.Endpoint) (ratelimit.Supply, bool)
	}
	// linkMonitor finds out whether this daemon reaches endpoints.
	linkMonitor interface {
		CutOff() bool
		LinksWork(ctx context.Context) bool
		Suspect(e *catalog.Endpoint)
	}
	// costModel estimates what a request costs before it runs, and learns from what it did.
	costModel interface {
		Predict(p cost.Profile, engine *cluster.Engine) cost.Estimate
		FirstEventInSlot(p cost.Profile, engine *cluster.Engine) time.Duration
		StartRun(now time.Time, e *catalog.Endpoint, p cost.Profile, estimate cost.Estimate) cost.Run
		Record(now time.Time, p cost.Profile, predicted cost.Estimate, output unit.Tokens)
	}
	// relayPicker chooses a daemon that reaches servers and was not tried.
	relayPicker interface {
		PickRelay(tried []ident.Instance) *catalog.Endpoint
	}
	// failureObserver is notified of endpoints that fail, and of prompt parts with a
	// new crash.
	failureObserver interface {
		EndpointFailed(e *catalog.Endpoint, cause code.Code)
		PartsSuspected()
	}
)

// Sender sends requests to servers.
type Sender interface {
	// Send sends the request and returns when the head of the reply has arrived.
	// After each SilenceCheckInterval in which the server sends nothing, here or
	// during reads of the body, keepWaiting is called with the length of the
	// silence. If it returns false, the server counts as stalled.
	//
	// Errors carry code.EndpointUnreachable if nothing was sent, and otherwise
	// code.ConnectionClosed, code.CutOff, code.Stalled or code.ForeignAnswer.
	Send(ctx context.Context, a *proxy.Attempt, keepWaiting func(time.Duration) bool) (Reply, error)
	// AcceptsConnection reports whether the server accepts a new connection.
	AcceptsConnection(ctx context.Context, address string) bool
}

// Reply is the reply of a server. Its body is read while it arrives.
type Reply interface {
	Head() *proxy.Head
	// ContentLength returns the length of the body in bytes, or a negative number
	// if it is unknown.
	ContentLength() int
	// Read returns io.EOF only at the end of a complete body.
	Read([]byte) (int, error)
	// Abort ends a Read in another goroutine.
	Abort()
	// Close ends the exchange. It cancels a run that has not ended.
	Close()
}

// Sink writes the answer to the caller.
type Sink interface {
	// Start begins the answer. The length of the body is in bytes, or negative if
	// it is unknown.
	Start(status int, fields []proxy.Field, length int)
	// Started reports whether Start was called.
	Started() bool
	// Write sends a part of the body. It fails if the caller has closed the
	// connection, and so does End.
	Write([]byte) error
	// End sends the last part of the body, which may be empty, and completes the
	// answer.
	End([]byte) error
	// Abort resets the connection, so that the caller does not take the answer for
	// complete.
	Abort()
}

// Options are the dependencies of a Forwarder.
type Options struct {
	Clock       clock.Clock
	Log         zerolog.Logger
	Self        ident.Instance
	Catalog     endpointCatalog
	Picker      picker
	Explainer   choiceExplainer
	RetryBudget retryBudget
	Poison      poisonDetector
	Parts       partDetector
	Limits      requestLimits
	Costs       costModel
	Demand      demandMeter
	Sender      Sender
	Links       linkMonitor
	Relays      relayPicker
	Observer    failureObserver
	Copy        platformCopy
	Telemetry   *Telemetry
	// Replies bounds the memory of replies that are read. Nil means no limit.
	Replies *budget.Replies
	// Contentions are asked beside this daemon's own observations; there may be none.
	Contentions []contentionSource
	Rules       admit.Rules
}

// Forwarder forwards requests. Its methods may be called from several goroutines.
type Forwarder struct {
	Options
	shares  *admit.Shares
	queue   *admit.Queue
	monitor *admit.Monitor
	// retries has the times at which callers that were rejected for limits come back.
	retries ratelimit.RetrySchedule
}

// Bounds of the queue for free slots: the number of requests that wait, and the
// interval at which each of them checks for free slots without a wake-up.
const (
	queueLimit   = 512
	queueRecheck = 25 * time.Millisecond
)

// New returns a forwarder without requests.
func New(o Options) *Forwarder {
	return &Forwarder{
		Options: o, shares: admit.NewShares(),
		queue:   admit.NewQueue(admit.QueueOptions{Clock: o.Clock, Limit: queueLimit, RecheckInterval: queueRecheck}),
		monitor: admit.NewMonitor(o.Clock),
	}
}

// Forward forwards the request and writes the answer to the sink. An error carries
// the result code. If the sink was not started, the caller of Forward has to write
// the error to it. In a request that another daemon has passed on, PossibleRuns is up to date then.
func (f *Forwarder) Forward(ctx context.Context, r *proxy.Request, s Sink) error {
	ex := &exchange{Forwarder: f, request: r, sink: s, draw: rand.Float64(), memory: f.Replies.Open()}
	defer ex.memory.Close()
	err := ex.runRequest(ctx)
	if r.Relayed != nil {
		r.Relayed.PossibleRuns = max(r.Relayed.PossibleRuns, ex.possibleRuns)
	}
	ex.recordRefusal(err)
	f.Telemetry.requestEnded(ex, err, f.Clock.Now())
	return err
}

// exchange is the state of one request while it is forwarded.
type exchange struct {
	*Forwarder
	request *proxy.Request
	sink    Sink
	// memory is what the replies to the request hold.
	memory       *budget.Reply
	route        *cluster.Route
	service      ident.Service
	organisation *cluster.Organisation
	// deadline is the earlier of the request's deadline and the route's timeout.
	deadline time.Time
	// estimate is the expected cost of the request, and engine is nil for a plain service.
	estimate cost.Estimate
	engine   *cluster.Engine
	// key is the key of the queue, isEngineStream says that the request is a stream of an engine, and
	// firstEvent is the expected time from a free slot to its first event.
	key            admit.QueueKey
	isEngineStream bool
	firstEvent     time.Duration
	// draw decides whether the request is admitted while there is room for a share of them only.
	draw float64
	// counted is the endpoint at which the next attempt is counted already, nil if there is none.
	counted *catalog.Endpoint

	triedServers []ident.Instance
	// possibleRuns counts the attempts that reached a server and that may have run
	// the request.
	possibleRuns int
	attemptCount int
	// relayCount counts the daemons to which the request was passed on, and lastWasRelay says
	// that the last attempt was at one of them.
	relayCount   int
	lastWasRelay bool
	// configVersion is the version of the configuration that has the route.
	configVersion uint64
	// successor is the endpoint that is reserved for the next attempt, nil if none is.
	successor *catalog.Endpoint
	// stallReported says that the silence of the current attempt's endpoint was reported.
	stallReported bool
	// needsNewConnection says that an endpoint closed an idle connection as an attempt used
	// it. Others may do so too.
	needsNewConnection bool
	// possibleRunFailure is the failure of the last attempt that may have run the
	// request.
	possibleRunFailure error
	admission          admit.Admission
	// attemptEvents counts the reads of the current attempt that completed an event.
	attemptEvents int

	// For the log: the last endpoint and its requests in flight and the expected time to the
	// first event when it was chosen, the time in the queue, the time to the first byte, and the longest
	// pause between two events.
	lastEndpoint  ident.Instance
	lastInFlight  unit.Requests
	expectedFirst time.Duration
	queueTime     time.Duration
	// predictedWait is the expected time in the queue, zero if the request found a slot at once, and
	// refusal the reason if it was refused.
	predictedWait   time.Duration
	refusal         string
	timeToFirstByte time.Duration
	longestPause    time.Duration
	lastEventTime   time.Time
}

func (x *exchange) runRequest(ctx context.Context) error {
	snapshot := x.Catalog.Current()
	if err := x.resolveRoute(snapshot); err != nil {
		return err
	}
	if err := x.admitRequest(); err != nil {
		return err
	}
	defer x.admission.Release()
	if x.request.Relayed == nil {
		// The daemon that passed a request on has counted it.
		x.RetryBudget.RecordRequest(x.service)
		x.Demand.RecordArrival(x.service, x.request.Model, x.estimate.Work)
	}
	ctx, cancel := clock.WithDeadline(ctx, x.Clock, x.deadline)
	defer cancel()
	if x.route.Kind == cluster.Stream {
		return x.runStream(ctx)
	}
	return x.runBuffered(ctx)
}

// admitRequest counts the request for its organisation, as the queue prefers
// organisations with few requests in flight.
func (x *exchange) admitRequest() error {
	var err error
	x.admission, err = x.shares.Admit(x.shareRecord(), math.MaxInt32)
	return err
}

// shareRecord returns the record by which the organisation's share is computed.
func (x *exchange) shareRecord() *record.Organisation {
	return &record.Organisation{Name: x.organisationName(), Weight: 1}
}

// readHead returns the head of the endpoint's reply, after recording what it says of the
// server.
func (x *exchange) readHead(e *catalog.Endpoint, reply Reply) *proxy.Head {
	head := reply.Head()
	if head.Disposition == proxy.Misdirected {
		return head
	}
	leaving := e.Server
	if e.IsRelay {
		leaving = x.Catalog.Current().Server(head.Leaving)
	} else {
		x.Limits.Observe(e, head.RequestLimit)
		x.Limits.Pause(e, head.RetryAfter)
	}
	if head.Leaving != "" && leaving != nil && x.Catalog.SetLeaving(leaving) {
		x.Log.Info().Str("request", string(x.request.ID)).Str("endpoint", string(leaving.ID)).Msg("server-leaving")
	}
	return head
}

// newAttempt returns the next attempt, which goes to the endpoint.
func (x *exchange) newAttempt(e *catalog.Endpoint) *proxy.Attempt {
	a := &proxy.Attempt{
		Request: x.request, Server: e.ID, Address: e.Address,
		Priority: x.priority(), Urgency: x.urgency(),
		Timeout: x.deadline.Sub(x.Clock.Now()), NewConnection: !x.route.Repeatable() || x.needsNewConnection,
	}
	if x.organisation != nil {
		a.Organisation = x.organisation.Name
	}
	if x.lastWasRelay = e.IsRelay; x.lastWasRelay {
		a.Relay = &proxy.Relay{From: x.Self, ConfigVersion: x.configVersion, PossibleRuns: x.possibleRuns}
		x.relayCount++
	}
	x.attemptCount++
	x.attemptEvents = 0
	x.stallReported = false
	x.lastEndpoint, x.lastInFlight = e.ID, e.Load.TotalInFlight()
	if x.counted == e {
		x.lastInFlight--
	}
	return a
}

// contextError returns nil, or the error for the reason why the context ended: the
// caller closed the connection or the deadline has passed.
func (x *exchange) contextError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	if errors.Is(context.Cause(ctx), proxy.ErrStopping) {
		return x.stopError()
	}
	if x.Clock.Now().Before(x.deadline) {
		return code.CallerClosed.New("forward request: the caller closed the connection after %s", x.Clock.Since(x.request.Received))
	}
	if x.possibleRunFailure == nil && x.possibleRuns == 0 && x.attemptCount == 0 {
		return code.DeadlineTooShort.New("forward request: the deadline passed before the request was sent")
	}
	return code.DeadlineExpired.New("forward request: no complete answer within %s", x.deadline.Sub(x.request.Received))
}

// stopError returns the error for a request that is not answered when the daemon stops.
func (x *exchange) stopError() error {
	if x.possibleRuns == 0 {
		return code.Draining.New("forward request: the daemon stops before the request was sent to a server that answers")
	}
	return code.OutcomeUnknown.New("forward request: the daemon stops before a server has answered")
}

// callerError returns the error for the caller after the failure of the last attempt.
// It never returns the outcome not-run after an attempt that may have run the
// request.
func (x *exchange) callerError(err error) error {
	if x.possibleRunFailure != nil && code.OutcomeOf(err) == code.NotRun {
		return x.possibleRunFailure
	}
	return err
}
