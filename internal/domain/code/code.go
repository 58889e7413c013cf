// Package code holds the numbered result codes and the errors that carry a
// code. Front ends turn the code of an error into the status and the error
// object that a caller gets.
package code

import (
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Code is a numbered result. The thousands digit is the code's group;
// docs/codes.md lists the groups.
type Code int

// Outcome says whether an endpoint ran a request.
type Outcome string

// The three outcomes. NotRun is used only if it is certain that no endpoint ran
// the request.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// The codes. A test compares docs/codes.md with the specs of the codes.
const (
	Answered Code = 1000

	MalformedBody       Code = 2001
	UnknownModel        Code = 2002
	UnknownOrganisation Code = 2003
	BodyTooLarge        Code = 2004
	UnknownPath         Code = 2005
	MissingKey          Code = 2006
	KeyReused           Code = 2007
	PoisonRequest       Code = 2008
	BadHeader           Code = 2009
	EndpointRejected    Code = 2010

	NoReplica           Code = 3001
	Overloaded          Code = 3002
	DeadlineTooShort    Code = 3003
	Draining            Code = 3004
	PlatformUnavailable Code = 3005
	OverShare           Code = 3006
	ColdOnly            Code = 3007
	ClaimsFull          Code = 3008
	NotReady            Code = 3009
	ClaimExpired        Code = 3010
	EndpointUnreachable Code = 3011
	DaemonFull          Code = 3012

	AlreadyRan     Code = 4001
	EndpointFailed Code = 4002
	CallerClosed   Code = 4003

	CutOff           Code = 5001
	OutcomeUnknown   Code = 5002
	KeyTooOld        Code = 5003
	KeyInProgress    Code = 5004
	ForeignAnswer    Code = 5005
	DeadlineExpired  Code = 5006
	Stalled          Code = 5007
	ConnectionClosed Code = 5008
	RepliesFull      Code = 5009

	BadSettings   Code = 6001
	BadRecord     Code = 6002
	UnknownSchema Code = 6003
	RecordRace    Code = 6004
	NoSuchRecord  Code = 6005
	BadReport     Code = 6006
	BadMessage    Code = 6007
	Internal      Code = 6999
)

// Spec describes a code.
type Spec struct {
	Code    Code
	Name    string
	Status  int
	Outcome Outcome
	Meaning string
	Action  string
}

var specs = []Spec{
	{Answered, "answered", http.StatusOK, Ran, "The request ran and its whole answer was sent.", "Nothing."},

	{MalformedBody, "malformed-body", http.StatusBadRequest, NotRun, "The body is not valid JSON of the expected form.", "Correct the body; the message names the field."},
	{UnknownModel, "unknown-model", http.StatusNotFound, NotRun, "No deployment serves this model, version or adapter to this organisation.", "Check the model name against /v1/models."},
	{UnknownOrganisation, "unknown-organisation", http.StatusUnauthorized, NotRun, "The request has no key of a known organisation, or names another organisation.", "Send the organisation's key."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, NotRun, "The body is larger than the limit in the settings.", "Send a smaller body."},
	{UnknownPath, "unknown-path", http.StatusNotFound, NotRun, "No front end or service serves this path and method.", "Check the path against the service records."},
	{MissingKey, "missing-key", http.StatusBadRequest, NotRun, "An at-most-once call came without an Idempotency-Key.", "Send a key that is new for each intended call."},
	{KeyReused, "key-reused", http.StatusUnprocessableEntity, NotRun, "The key was used before with a different request.", "Use a new key for a new request."},
	{PoisonRequest, "poison-request", http.StatusUnprocessableEntity, NotRun, "Earlier runs of this request, or of requests with a part of its prompt, crashed the endpoints that ran them; this request was not run.", "Change the request; the block expires."},
	{BadHeader, "bad-header", http.StatusBadRequest, NotRun, "A header has a value of the wrong form.", "Correct the header that the message names."},
	{EndpointRejected, "endpoint-rejected", http.StatusBadRequest, NotRun, "The endpoint rejected the request as invalid before running it.", "Correct the request; the message quotes the endpoint."},

	{NoReplica, "no-replica", http.StatusServiceUnavailable, NotRun, "No complete replica or service instance is in service.", "Retry after the given time."},
	{Overloaded, "overloaded", http.StatusTooManyRequests, NotRun, "Every endpoint is at its limit.", "Retry after the given time."},
	{DeadlineTooShort, "deadline-too-short", http.StatusServiceUnavailable, NotRun, "The estimated response time exceeds the deadline.", "Retry later or allow more time."},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, "This daemon or data centre accepts no new requests.", "Retry; the balancer will choose another daemon."},
	{PlatformUnavailable, "platform-unavailable", http.StatusServiceUnavailable, NotRun, "The platform could not be reached, rejected a call or has no recent answer; the claim of an at-most-once call, for example, could not be recorded.", "Retry with the same key."},
	{OverShare, "over-share", http.StatusTooManyRequests, NotRun, "The organisation is over its share while capacity is short.", "Retry after the given time."},
	{ColdOnly, "cold-only", http.StatusServiceUnavailable, NotRun, "Only cold endpoints are in service, and they are at their limit.", "Retry after the given time."},
	{ClaimsFull, "claims-full", http.StatusServiceUnavailable, NotRun, "The shard of the claim is full of claims whose retention has not ended.", "Retry later; raise the number of shards."},
	{NotReady, "not-ready", http.StatusServiceUnavailable, NotRun, "The daemon has not received the configuration from the platform or a peer yet, or not recently enough to refuse an unknown path or key for good.", "Retry; the balancer will choose another daemon."},
	{ClaimExpired, "claim-expired", http.StatusServiceUnavailable, NotRun, "The daemon was paused between the claim and the send, so it did not send the request.", "Retry with the same key."},
	{EndpointUnreachable, "endpoint-unreachable", http.StatusBadGateway, NotRun, "The daemon could not connect to an endpoint, so nothing was sent.", "Retry."},
	{DaemonFull, "daemon-full", http.StatusServiceUnavailable, NotRun, "The daemon has no memory left for the request, since requests and answers of callers have used up their budget.", "Retry; the balancer will choose another daemon."},

	{AlreadyRan, "already-ran", http.StatusConflict, Ran, "The request with this key already ran; its answer is no longer stored.", "Do not send the request again; read the result from the service."},
	{EndpointFailed, "endpoint-failed", http.StatusBadGateway, Ran, "The endpoint ran the request and answered with a failure.", "See the message; retry only what may be repeated."},
	{CallerClosed, "caller-closed", 499, Ran, "The caller closed the connection before the end of the answer.", "Nothing."},

	{CutOff, "cut-off", http.StatusBadGateway, Unknown, "The connection to the endpoint ended before the end of the answer, and the answer could not be resumed.", "Retry what may be repeated."},
	{OutcomeUnknown, "outcome-unknown", http.StatusBadGateway, Unknown, "An at-most-once call was sent, and it is not known whether the service ran it.", "Do not send the call again; check with the service whether it ran."},
	{KeyTooOld, "key-too-old", http.StatusConflict, Unknown, "The key contains a time that is older than the retention time of claims.", "Ask the service whether the call ran."},
	{KeyInProgress, "key-in-progress", http.StatusConflict, Unknown, "A request with this key is in flight, or the daemon that sent it is unreachable.", "Retry later with the same key."},
	{ForeignAnswer, "foreign-answer", http.StatusBadGateway, Unknown, "The answer came from another replica or epoch than requested, and was discarded.", "Retry what may be repeated."},
	{DeadlineExpired, "deadline-expired", http.StatusGatewayTimeout, Unknown, "The deadline passed after the request had been sent.", "Retry what may be repeated, with more time."},
	{Stalled, "stalled", http.StatusBadGateway, Unknown, "The endpoint sent no data for too long or stopped serving, and the answer could not be resumed.", "Retry what may be repeated."},
	{ConnectionClosed, "connection-closed", http.StatusBadGateway, Unknown, "The endpoint closed a kept connection as the request was sent on it, and the request could not be sent again.", "Retry what may be repeated."},
	{RepliesFull, "replies-full", http.StatusBadGateway, Unknown, "The daemon gave up the endpoint's reply, since it was the largest one when the memory for replies was used up.", "Retry what may be repeated."},

	{BadSettings, "bad-settings", 0, NotRun, "The settings file is invalid.", "Correct each path that the message names."},
	{BadRecord, "bad-record", http.StatusUnprocessableEntity, NotRun, "A record has an invalid value; its earlier revision stays active.", "Correct the path that the message names."},
	{UnknownSchema, "unknown-schema", http.StatusUnprocessableEntity, NotRun, "A record has a schema version that this daemon does not know.", "Write the record with a known schema, or upgrade the daemons first."},
	{RecordRace, "record-race", http.StatusConflict, NotRun, "Another write to the record came first.", "Read the record again and repeat the change."},
	{NoSuchRecord, "no-such-record", http.StatusNotFound, NotRun, "The record does not exist.", "List the records."},
	{BadReport, "bad-report", http.StatusBadGateway, NotRun, "An endpoint's report is malformed.", "Check the endpoint's version and paths."},
	{BadMessage, "bad-message", http.StatusBadRequest, NotRun, "A message from a peer, a server or the platform is malformed.", "Check that the versions of both are compatible."},
	{Internal, "internal", http.StatusInternalServerError, Unknown, "An internal error of cuminbay.", "Report the error with the log line."},
}

var specByCode = func() map[Code]Spec {
	index := make(map[Code]Spec, len(specs))
	for _, s := range specs {
		index[s.Code] = s
	}
	return index
}()

// All returns the specs of all codes in ascending order.
func All() []Spec {
	all := append([]Spec(nil), specs...)
	sort.Slice(all, func(i, j int) bool { return all[i].Code < all[j].Code })
	return all
}

// Spec returns the description of the code. An unlisted code has the
// description of Internal.
func (c Code) Spec() Spec {
	if s, ok := specByCode[c]; ok {
		return s
	}
	return specByCode[Internal]
}

// String returns the number and the name, for example "3001 no-replica".
func (c Code) String() string {
	return fmt.Sprintf("%d %s", int(c), c.Spec().Name)
}

var (
	namespace     = errorx.NewNamespace("cuminbay")
	failureType   = namespace.NewType("failure")
	codeKey       = errorx.RegisterProperty("code")
	retryAfterKey = errorx.RegisterProperty("retry_after")
	outcomeKey    = errorx.RegisterProperty("outcome")
	runsKey       = errorx.RegisterProperty("runs")
)

// New returns an error that carries the code. The message names the operation
// and its subject.
func (c Code) New(format string, args ...any) error {
	return failureType.New(format, args...).WithProperty(codeKey, c)
}

// Wrap returns an error that carries the code and has the cause.
func (c Code) Wrap(cause error, format string, args ...any) error {
	return failureType.Wrap(cause, format, args...).WithProperty(codeKey, c)
}

// WithRetryAfter returns the error with the time after which the caller should
// retry.
func WithRetryAfter(err error, after time.Duration) error {
	return errorx.Decorate(err, "retry after %s", after).WithProperty(retryAfterKey, after)
}

// WithRuns returns the error of a request that another daemon has passed on, with the number of attempts
// that may have run it.
func WithRuns(err error, runs int) error {
	return errorx.Decorate(err, "runs %d", runs).WithProperty(runsKey, runs)
}

// Runs returns the number of attempts that may have run the request, and false if the error has none.
func Runs(err error) (int, bool) {
	v, found := findProperty(err, runsKey)
	runs, ok := v.(int)
	return runs, found && ok
}

// WithOutcome returns the error with an outcome that differs from the default
// of its code.
func WithOutcome(err error, outcome Outcome) error {
	return errorx.Decorate(err, "outcome %s", outcome).WithProperty(outcomeKey, outcome)
}

// findProperty returns a property of the first errorx error in the chain of
// err, also if errors of other packages wrap that error.
func findProperty(err error, key errorx.Property) (any, bool) {
	var e *errorx.Error
	if !errors.As(err, &e) {
		return nil, false
	}
	return e.Property(key)
}

// Of returns the code that the error carries: Answered for nil, and Internal
// for an error without a code.
func Of(err error) Code {
	if err == nil {
		return Answered
	}
	if v, ok := findProperty(err, codeKey); ok {
		if c, ok := v.(Code); ok {
			return c
		}
	}
	return Internal
}

// OutcomeOf returns the outcome that the error carries, or the default outcome
// of its code.
func OutcomeOf(err error) Outcome {
	if v, ok := findProperty(err, outcomeKey); ok {
		if o, ok := v.(Outcome); ok {
			return o
		}
	}
	return Of(err).Spec().Outcome
}

// Message returns the text of the error without the type name that errorx puts
// before each part.
func Message(err error) string {
	return strings.ReplaceAll(err.Error(), failureType.FullName()+": ", "")
}

// RetryAfter returns the time after which the caller should retry, or zero if
// the error has none.
func RetryAfter(err error) time.Duration {
	if v, ok := findProperty(err, retryAfterKey); ok {
		if d, ok := v.(time.Duration); ok {
			return d
		}
	}
	return 0
}
