// Package proxy holds the types of a caller's request that a daemon forwards
// unchanged, and of the reply to the request. The front end, the routing and
// the sender share the types; none of them depends on a protocol.
package proxy

import (
	"errors"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Request is one HTTP request of a caller. If the caller retries, each retry is
// a Request of its own.
type Request struct {
	ID     ident.Request
	Method string
	Host   string
	// Target is the path with its query, unchanged. Path is the path without
	// the query.
	Target string
	Path   string
	// Header holds the header fields that the daemon sends to the server.
	Header []Field
	Body   []byte
	// Credential is the caller's key. It must not be logged or forwarded.
	Credential string
	// Received is the time at which the request was read. Deadline is the time
	// at which the caller gives up.
	Received time.Time
	Deadline time.Time

	Model        ident.Model
	PromptTokens unit.Tokens
	// SharedParts are the parts of the prompt that other requests may share. The last
	// part of a prompt is the request's own and is left out.
	SharedParts []ident.PromptPart
	// OutputTokens is the caller's upper bound for the tokens of the answer, and LengthHint its own
	// estimate of them; zero if it gives none.
	OutputTokens unit.Tokens
	LengthHint   unit.Tokens
	// LastEventID is the id of the last event that the caller received before
	// it resumed the stream; zero means that the caller starts a stream.
	LastEventID EventID
	// Fingerprint identifies the content of the request.
	Fingerprint ident.Fingerprint
	// Relayed is set if another daemon has passed the request on to this one.
	Relayed *Relay
}

// Relay says what a daemon that can't reach the servers knows of a request that it passes on
// to another daemon.
type Relay struct {
	From ident.Instance
	// ConfigVersion is the version of the configuration that allows the request. The other
	// daemon must not handle the request by an older one.
	ConfigVersion uint64
	// PossibleRuns counts the earlier attempts that may have run the request.
	PossibleRuns int
}

// ErrStopping is the cause for which a request's context ends if its daemon stops before the
// request is answered.
var ErrStopping = errors.New("the daemon stops")

// EventID numbers the events of a stream in ascending order.
type EventID uint64

// Field is a header field.
type Field struct {
	Name  string
	Value string
}

// Attempt is one send of a request to a server.
type Attempt struct {
	*Request
	Server       ident.Instance
	Address      string
	Organisation ident.Organisation
	Priority     unit.Priority
	// Urgency says how soon the server should begin with the attempt, if it has others to begin with.
	Urgency Urgency
	// Timeout is the time within which the server has to answer.
	Timeout time.Duration
	// ResumeAfter is the id of the last event already delivered; the stream
	// continues after that event. Zero requests the stream from its start.
	ResumeAfter EventID
	// NewConnection requests a new connection. A server may close an idle
	// connection while the request is sent, and the outcome of the request
	// would then be unknown.
	NewConnection bool
	// Relay is set if the request is passed on to another daemon, which chooses the server.
	Relay *Relay
}

// Urgency orders the attempts that wait at a server. Attempts of equal urgency are ordered by Priority.
type Urgency int

// The urgencies. A server isn't told an Unspecified one. Late attempts have missed the objective of
// their route, Timely ones may still meet it, and Resumed ones continue an answer that has reached its
// caller in part.
const (
	Unspecified Urgency = iota
	Late
	Timely
	Resumed
)

// Disposition says whether the server ran the request, according to the head of
// its reply.
type Disposition int

// The dispositions. Refused means that the server did not run the request.
// Misdirected means that the address belongs to another server or replica,
// which did not run the request either.
const (
	Answered Disposition = iota
	Refused
	Misdirected
)

// Head is the status and the header of a server's reply.
type Head struct {
	Status      int
	Header      []Field
	Disposition Disposition
	// RequestLimit is the rate of requests that the server takes from all daemons
	// together, nil if the reply names none.
	RequestLimit *unit.RequestRate
	// RetryAfter is the time for which the server wants no further requests of this
	// daemon, zero if the reply names none.
	RetryAfter time.Duration
	// Leaving is the server if it says that it gets no new requests, empty otherwise.
	Leaving ident.Instance
}
