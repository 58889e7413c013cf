// Package ident holds a named type for each kind of identifier. The compiler
// rejects an identifier of one kind where another kind is expected.
package ident

import (
	"fmt"
	"regexp"
)

type (
	// Organisation identifies a customer. Requests are accounted to their
	// organisation.
	Organisation string
	// DataCentre identifies a zone with its own daemons and endpoints.
	DataCentre string
	// Instance identifies one machine that runs a daemon, an engine or a plain
	// service.
	Instance string
	// Endpoint identifies a target of requests: a replica of a model, or one
	// instance of a plain service.
	Endpoint string
	// Replica identifies a complete copy of a model, which spans several
	// instances.
	Replica string
	// FabricDomain identifies a set of instances on one fast interconnect.
	FabricDomain string
	// Model identifies a model by the name that callers use.
	Model string
	// Adapter identifies a fine-tuned adapter of a model.
	Adapter string
	// Version identifies a version of a model's weights.
	Version string
	// Service identifies a plain service.
	Service string
	// Deployment identifies a deployment record.
	Deployment string
	// Request identifies one request of a caller in logs and events.
	Request string
	// IdempotencyKey is the caller's idempotency key of an at-most-once request.
	IdempotencyKey string
	// Fingerprint is a hash of the content of a request: its organisation and
	// its body.
	Fingerprint uint64
	// PromptPart identifies a part of a prompt. Requests share parts.
	PromptPart uint64
	// ServerIncarnation identifies one incarnation of a server.
	ServerIncarnation uint64
	// Crash identifies the crash of one incarnation of an endpoint.
	Crash uint64
)

// String returns the part as 16 hexadecimal digits, as in log lines.
func (p PromptPart) String() string {
	return fmt.Sprintf("%016x", uint64(p))
}

// String returns the fingerprint as 16 hexadecimal digits, as in log lines and
// messages.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(f))
}

// maxNameLength bounds the length of a name in bytes, and so the state that
// daemons keep for a name.
const maxNameLength = 128

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:/-]*$`)

// CheckName returns an error unless the name is a valid identifier: 1 to 128
// bytes, of letters, digits and ". _ : / -".
func CheckName(name string) error {
	if len(name) > maxNameLength {
		return fmt.Errorf("name of %d bytes exceeds the limit of %d bytes", len(name), maxNameLength)
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("name %q is empty or has a character other than letters, digits and . _ : / -", name)
	}
	return nil
}
