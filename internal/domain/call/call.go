// Package call holds a caller's request that is forwarded unchanged, and the
// reply that it gets. It belongs to no protocol.
package call

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
	// Fields are the header fields that go to the server.
	Fields []Field
	Body   []byte
	// Key is the caller's credential. It must not be logged or passed on.
	Key string
	// Received is when the request was read, Deadline when the caller gives up.
	Received time.Time
	Deadline time.Time

	Model  ident.Model
	Prompt unit.Tokens
	Output unit.Tokens
	// LastEvent is the id of the event after which the caller resumes a
	// stream, zero for none.
	LastEvent EventID
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
	// Left is the time that the server is given.
	Left time.Duration
	// Resume is the id after which a stream goes on, zero for its start.
	Resume EventID
	// Fresh asks for a new connection, since a server may close an idle one
	// as the request is sent, which leaves its outcome unknown.
	Fresh bool
}

// Verdict is what a reply's head says of the run.
type Verdict int

// The verdicts. Refused says that the server did not run the request, Elsewhere
// that the address belongs to another server or replica, which did not run it
// either.
const (
	Answered Verdict = iota
	Refused
	Elsewhere
)

// Head is the head of a server's reply.
type Head struct {
	Status  int
	Fields  []Field
	Verdict Verdict
}
