// Package code holds the numbered result codes and the errors that carry them.
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

// Code is a numbered result. The thousands digit gives its group; see Spec.
type Code int

// Outcome says whether a request was run by an endpoint.
type Outcome string

// The three outcomes. NotRun is used only where it is known.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// The codes. docs/codes.md lists them; a test compares the two.
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

	AlreadyRan     Code = 4001
	EndpointFailed Code = 4002
	CallerClosed   Code = 4003

	CutOff          Code = 5001
	OutcomeUnknown  Code = 5002
	KeyTooOld       Code = 5003
	KeyInProgress   Code = 5004
	ForeignAnswer   Code = 5005
	DeadlineExpired Code = 5006
	Stalled         Code = 5007

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
	{UnknownOrganisation, "unknown-organisation", http.StatusUnauthorized, NotRun, "The request names no organisation on record.", "Send the organisation's key."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, NotRun, "The body is larger than the limit in the settings.", "Send a smaller body."},
	{UnknownPath, "unknown-path", http.StatusNotFound, NotRun, "No front end or service serves this path and method.", "Check the path against the service records."},
	{MissingKey, "missing-key", http.StatusBadRequest, NotRun, "An at-most-once call came without an Idempotency-Key.", "Send a key that is new for each intended call."},
	{KeyReused, "key-reused", http.StatusUnprocessableEntity, NotRun, "The key was used before with a different request.", "Use a new key for a new request."},
	{PoisonRequest, "poison-request", http.StatusUnprocessableEntity, NotRun, "Earlier runs of this request crashed the endpoints that ran it; this one was not run.", "Change the request; the suspicion expires."},
	{BadHeader, "bad-header", http.StatusBadRequest, NotRun, "A header has a value of the wrong form.", "Correct the header that the message names."},
	{EndpointRejected, "endpoint-rejected", http.StatusBadRequest, NotRun, "The endpoint rejected the request as invalid before running it.", "Correct the request; the message has the endpoint's words."},

	{NoReplica, "no-replica", http.StatusServiceUnavailable, NotRun, "No complete replica or service instance is in service.", "Retry after the given time."},
	{Overloaded, "overloaded", http.StatusTooManyRequests, NotRun, "Every endpoint is at its limit.", "Retry after the given time."},
	{DeadlineTooShort, "deadline-too-short", http.StatusServiceUnavailable, NotRun, "The estimate says that the deadline can't be met.", "Retry later or allow more time."},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, "This daemon or data centre takes no new work.", "Retry; the balancer will choose another daemon."},
	{PlatformUnavailable, "platform-unavailable", http.StatusServiceUnavailable, NotRun, "The claim of an at-most-once call could not be recorded in the platform.", "Retry with the same key."},
	{OverShare, "over-share", http.StatusTooManyRequests, NotRun, "The organisation is over its share while capacity is short.", "Retry after the given time."},
	{ColdOnly, "cold-only", http.StatusServiceUnavailable, NotRun, "Only cold endpoints are in service and they accept no more now.", "Retry after the given time."},
	{ClaimsFull, "claims-full", http.StatusServiceUnavailable, NotRun, "The claim's shard is full of claims that may not be forgotten yet.", "Retry later; raise the number of shards."},
	{NotReady, "not-ready", http.StatusServiceUnavailable, NotRun, "The daemon has not yet heard the configuration from the platform or a peer.", "Retry; the balancer will choose another daemon."},
	{ClaimExpired, "claim-expired", http.StatusServiceUnavailable, NotRun, "The daemon was paused between claim and send, and did not send.", "Retry with the same key."},
	{EndpointUnreachable, "endpoint-unreachable", http.StatusBadGateway, NotRun, "No connection to an endpoint could be opened, so nothing was sent.", "Retry."},

	{AlreadyRan, "already-ran", http.StatusConflict, Ran, "The request with this key already ran; its answer is no longer held.", "Do not send it again; read the result from the service."},
	{EndpointFailed, "endpoint-failed", http.StatusBadGateway, Ran, "The endpoint ran the request and answered with a failure.", "See the message; retry only what may be repeated."},
	{CallerClosed, "caller-closed", 499, Ran, "The caller closed the connection before the end of the answer.", "Nothing."},

	{CutOff, "cut-off", http.StatusBadGateway, Unknown, "The endpoint died or fell silent before the end of the answer, and the answer could not be resumed.", "Retry what may be repeated."},
	{OutcomeUnknown, "outcome-unknown", http.StatusBadGateway, Unknown, "An at-most-once call was sent and its end is not known.", "Do not send it again; ask the service."},
	{KeyTooOld, "key-too-old", http.StatusConflict, Unknown, "The key carries a time older than the retention of claims.", "Ask the service whether it ran."},
	{KeyInProgress, "key-in-progress", http.StatusConflict, Unknown, "A request with this key is in flight or its holder can't be asked.", "Ask again later with the same key."},
	{ForeignAnswer, "foreign-answer", http.StatusBadGateway, Unknown, "The answer came from another replica or epoch than asked and was discarded.", "Retry what may be repeated."},
	{DeadlineExpired, "deadline-expired", http.StatusGatewayTimeout, Unknown, "The deadline passed after the request had been sent.", "Retry what may be repeated, with more time."},
	{Stalled, "stalled", http.StatusBadGateway, Unknown, "The endpoint fell silent or stopped serving, and the answer could not be resumed.", "Retry what may be repeated."},

	{BadSettings, "bad-settings", 0, NotRun, "The settings file is wrong.", "Correct each path that the message names."},
	{BadRecord, "bad-record", http.StatusUnprocessableEntity, NotRun, "A record has a wrong value; the earlier one stays in force.", "Correct the path that the message names."},
	{UnknownSchema, "unknown-schema", http.StatusUnprocessableEntity, NotRun, "A record has a schema version that this daemon does not know.", "Write it with a known schema or upgrade first."},
	{RecordRace, "record-race", http.StatusConflict, NotRun, "Another write to the record came first.", "Read the record again and repeat the change."},
	{NoSuchRecord, "no-such-record", http.StatusNotFound, NotRun, "There is no such record.", "List the records."},
	{BadReport, "bad-report", http.StatusBadGateway, NotRun, "An endpoint's report is malformed.", "Check the endpoint's version and paths."},
	{BadMessage, "bad-message", http.StatusBadRequest, NotRun, "A message from a peer is malformed.", "Check that the daemons' versions may run side by side."},
	{Internal, "internal", http.StatusInternalServerError, Unknown, "A fault of cuminbay itself.", "Report it with the log line."},
}

var specByCode = func() map[Code]Spec {
	index := make(map[Code]Spec, len(specs))
	for _, s := range specs {
		index[s.Code] = s
	}
	return index
}()

// All returns the specs of every code in ascending order.
func All() []Spec {
	all := append([]Spec(nil), specs...)
	sort.Slice(all, func(i, j int) bool { return all[i].Code < all[j].Code })
	return all
}

// Spec returns the description of the code; an unlisted code is described as
// Internal.
func (c Code) Spec() Spec {
	if s, ok := specByCode[c]; ok {
		return s
	}
	return specByCode[Internal]
}

// String returns the number and name, as in "3001 no-replica".
func (c Code) String() string {
	return fmt.Sprintf("%d %s", int(c), c.Spec().Name)
}

var (
	namespace  = errorx.NewNamespace("cuminbay")
	failure    = namespace.NewType("failure")
	codeKey    = errorx.RegisterProperty("code")
	retryKey   = errorx.RegisterProperty("retry_after")
	outcomeKey = errorx.RegisterProperty("outcome")
)

// New returns an error that carries the code. The message says what and where.
func (c Code) New(format string, args ...any) error {
	return failure.New(format, args...).WithProperty(codeKey, c)
}

// Wrap returns an error that carries the code and the cause.
func (c Code) Wrap(cause error, format string, args ...any) error {
	return failure.Wrap(cause, format, args...).WithProperty(codeKey, c)
}

// WithRetryAfter returns the error with the time after which a retry is worth
// while.
func WithRetryAfter(err error, after time.Duration) error {
	return errorx.Decorate(err, "retry after %s", after).WithProperty(retryKey, after)
}

// WithOutcome returns the error with an outcome other than the code's usual one.
func WithOutcome(err error, outcome Outcome) error {
	return errorx.Decorate(err, "outcome %s", outcome).WithProperty(outcomeKey, outcome)
}

// findProperty finds a property also below errors that were wrapped by others than
// errorx.
func findProperty(err error, key errorx.Property) (any, bool) {
	var e *errorx.Error
	if !errors.As(err, &e) {
		return nil, false
	}
	return e.Property(key)
}

// Of returns the code that the error carries: Answered for nil and Internal
// for an error without one.
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

// OutcomeOf returns the outcome that the error states.
func OutcomeOf(err error) Outcome {
	if v, ok := findProperty(err, outcomeKey); ok {
		if o, ok := v.(Outcome); ok {
			return o
		}
	}
	return Of(err).Spec().Outcome
}

// Message returns the error's text for people, without the name of the error
// type that errorx puts before each part.
func Message(err error) string {
	return strings.ReplaceAll(err.Error(), failure.FullName()+": ", "")
}

// RetryAfter returns the time after which a retry is worth while, or zero.
func RetryAfter(err error) time.Duration {
	if v, ok := findProperty(err, retryKey); ok {
		if d, ok := v.(time.Duration); ok {
			return d
		}
	}
	return 0
}
