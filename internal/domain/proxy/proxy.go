// Package proxy holds a caller's request that is forwarded unchanged, and the
// reply that it gets. It belongs to no protocol.
package proxy

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Request is one attempt of a caller.
type Request struct {
	ID     ident.Request
	Method string
	Host   string
	// Target is the path with its query, unchanged; Path is without the query.
	Target string
	Path   string
	// Header are the header fields that go to the server.
	Header []Field
	Body   []byte
	// Credential is the caller's credential. It must not be logged or passed on.
	Credential string
	// Received is when the request was read, Deadline when the caller gives up.
	Received time.Time
	Deadline time.Time

	Model        ident.Model
	PromptTokens unit.Tokens
	OutputTokens unit.Tokens
	// LastEventID is the id of the event after which the caller resumes a
	// stream, zero for none.
	LastEventID EventID
	// Fingerprint identifies the content of the request.
	Fingerprint ident.Fingerprint
}

// EventID numbers the events of a stream; ids rise.
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
	// Timeout is the time that the server is given.
	Timeout time.Duration
	// ResumeAfter is the id after which a stream goes on, zero for its start.
	ResumeAfter EventID
	// NewConnection asks for a new connection, since a server may close an idle one
	// as the request is sent, which leaves its outcome unknown.
	NewConnection bool
}

// Disposition is what a reply's head says of the run.
type Disposition int

// The verdicts. Refused says that the server did not run the request, Elsewhere
// that the address belongs to another server or replica, which did not run it
// either.
const (
	Answered Disposition = iota
	Refused
	Misdirected
)

// Head is the head of a server's reply.
type Head struct {
	Status      int
	Header      []Field
	Disposition Disposition
}
