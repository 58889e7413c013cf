// Package httpcall holds the code that the HTTP front ends share. It reads a
// caller's organisation, deadline, priority and idempotency key from the
// header, and writes errors and JSON responses.
package httpcall

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
)

// The header fields that callers send.
const (
	DeadlineHeader       = "X-Deadline-Ms"
	PriorityHeader       = "X-Priority"
	IdempotencyKeyHeader = "Idempotency-Key"
	OrganisationHeader   = "OpenAI-Organization"
	// RelayedFromHeader names the daemon that relays a request. The field
	// grants no rights; a request that has it is not relayed again.
	RelayedFromHeader = "X-Relayed-From"
)

const (
	// maxIdempotencyKeyBytes bounds the length of an idempotency key, which is
	// hashed and logged.
	maxIdempotencyKeyBytes = 255
	// maxDeadline keeps the sum of the current time and a deadline from
	// overflowing. No request runs as long as a day.
	maxDeadline = 24 * time.Hour
	// maxPriority bounds the absolute value of a priority.
	maxPriority = 1000
)

// AuthenticateOrganisation returns the organisation that owns the bearer key of
// the request. If the request has OpenAI-Organization, the field must name the
// same organisation. The name alone grants no rights, since it is not secret.
//
// Errors carry code.UnknownOrganisation.
func AuthenticateOrganisation(ctx *fasthttp.RequestCtx, v *record.View) (*record.Organisation, error) {
	header := &ctx.Request.Header
	name := ident.Organisation(header.Peek(OrganisationHeader))
	authorization := string(header.Peek(fasthttp.HeaderAuthorization))
	if authorization == "" {
		return nil, code.UnknownOrganisation.New("header Authorization: missing, expected the form Bearer <key>")
	}
	scheme, key, _ := strings.Cut(authorization, " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, code.UnknownOrganisation.New("header Authorization: expected the form Bearer <key>")
	}
	o := v.OrganisationByKey(key)
	if o == nil {
		return nil, code.UnknownOrganisation.New("header Authorization: no organisation has this bearer key")
	}
	if name != "" && name != o.Name {
		return nil, code.UnknownOrganisation.New("header %s: names another organisation than the owner of the bearer key", OrganisationHeader)
	}
	return o, nil
}

// FillRequest sets the id, time of receipt, deadline, priority, credential,
// idempotency key and the field Relayed of the request from the header.
//
// Errors carry code.BadHeader and name the field.
func FillRequest(ctx *fasthttp.RequestCtx, r *work.Request, now time.Time) error {
	header := &ctx.Request.Header
	r.ID = newRequestID()
	r.Received = now
	r.Credential = string(header.Peek(fasthttp.HeaderAuthorization))
	r.Relayed = len(header.Peek(RelayedFromHeader)) > 0
	if raw := header.Peek(DeadlineHeader); len(raw) > 0 {
		timeout, err := parseDeadline(string(raw))
		if err != nil {
			return err
		}
		r.Deadline = now.Add(timeout)
	}
	if raw := header.Peek(PriorityHeader); len(raw) > 0 {
		n, err := strconv.Atoi(string(raw))
		if err != nil || n < -maxPriority || n > maxPriority {
			return code.BadHeader.New("header %s: %q is not a number from -%d to %d", PriorityHeader, raw, maxPriority, maxPriority)
		}
		r.Priority = unit.Priority(n)
	}
	return setIdempotencyKey(header, r)
}

func parseDeadline(raw string) (time.Duration, error) {
	n, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || n <= 0 || n > maxDeadline.Milliseconds() {
		return 0, code.BadHeader.New("header %s: %q is not a number of milliseconds from 1 to %d", DeadlineHeader, raw, maxDeadline.Milliseconds())
	}
	return time.Duration(n) * time.Millisecond, nil
}

func setIdempotencyKey(header *fasthttp.RequestHeader, r *work.Request) error {
	keys := header.PeekAll(IdempotencyKeyHeader)
	if len(keys) == 0 {
		return nil
	}
	if len(keys) > 1 {
		return code.BadHeader.New("header %s: got %d values, expected one", IdempotencyKeyHeader, len(keys))
	}
	key := string(keys[0])
	if len(key) == 0 || len(key) > maxIdempotencyKeyBytes {
		return code.BadHeader.New("header %s: got %d bytes, expected 1 to %d", IdempotencyKeyHeader, len(key), maxIdempotencyKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return code.BadHeader.New("header %s: byte %d is not visible ASCII", IdempotencyKeyHeader, i)
		}
	}
	r.IdempotencyKey = ident.IdempotencyKey(key)
	return nil
}

// newRequestID returns a random id of 128 bits.
func newRequestID() ident.Request {
	return ident.Request(fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()))
}
