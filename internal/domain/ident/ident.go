// Package ident holds the named types of every identifier, so that the
// compiler rejects one kind of id in the place of another.
package ident

import (
	"fmt"
	"regexp"
)

type (
	// Organisation identifies a customer that requests are accounted to.
	Organisation string
	// DataCentre identifies a zone with its own daemons and endpoints.
	DataCentre string
	// Instance identifies one machine, an entry instance or an endpoint's.
	Instance string
	// Endpoint identifies a target of requests: a replica of model engines
	// or one instance of a plain service.
	Endpoint string
	// Replica identifies a complete copy of a model on several instances.
	Replica string
	// FabricDomain identifies a fabric domain: instances on one fast interconnect.
	FabricDomain string
	// Model identifies a model as callers name it.
	Model string
	// Adapter identifies a fine-tuned adapter of a model.
	Adapter string
	// Version identifies a version of a model's weights.
	Version string
	// Service identifies a plain service.
	Service string
	// Deployment identifies a deployment record.
	Deployment string
	// Request identifies one request of a caller, for logs and events.
	Request string
	// RequestKey is the caller's idempotency key of an at-most-once request.
	RequestKey string
	// Fingerprint identifies the content of a request: organisation and body.
	Fingerprint uint64
)

// String returns the fingerprint as log lines and messages have it.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(f))
}

// maxNameLength bounds names, so that state per name is bounded too.
const maxNameLength = 128

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:/-]*$`)

// CheckName reports whether a name may be used as an identifier: letters,
// digits and ". _ : / -", 128 bytes at most.
func CheckName(name string) error {
	if len(name) > maxNameLength {
		return fmt.Errorf("name of %d bytes is longer than %d", len(name), maxNameLength)
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("name %q is empty or has a character other than letters, digits and . _ : / -", name)
	}
	return nil
}
