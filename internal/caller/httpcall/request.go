// Package httpcall holds what the HTTP front ends share: the organisation of a
// call, its deadline, priority and idempotency key, and the form of errors.
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

// The header fields of callers.
const (
	DeadlineHeader     = "X-Deadline-Ms"
	PriorityHeader     = "X-Priority"
	KeyHeader          = "Idempotency-Key"
	OrganisationHeader = "OpenAI-Organization"
	// RelayedHeader names the daemon that relays a request. It gives no
	// rights: such a request is only not relayed again.
	RelayedHeader = "X-Relayed-From"
)

const (
	// maxKeyBytes bounds what is hashed and logged for a key.
	maxKeyBytes = 255
	// maxDeadline keeps the addition to the current time far from overflow;
	// no request is served for as long as a day.
	maxDeadline = 24 * time.Hour
	// maxPriority bounds priorities on both sides of zero.
	maxPriority = 1000
)

// Organisation returns the organisation of the call, the owner of the bearer
// key. If OpenAI-Organization is present it has to name the same one: a name is
// no secret, so it gives no rights by itself.
//
// Errors carry code.UnknownOrganisation.
func Organisation(ctx *fasthttp.RequestCtx, v *record.View) (*record.Organisation, error) {
	header := &ctx.Request.Header
	name := ident.Organisation(header.Peek(OrganisationHeader))
	authorization := string(header.Peek(fasthttp.HeaderAuthorization))
	if authorization == "" {
		return nil, code.UnknownOrganisation.New("header Authorization: missing, want the form Bearer <key>")
	}
	scheme, key, _ := strings.Cut(authorization, " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, code.UnknownOrganisation.New("header Authorization: want the form Bearer <key>")
	}
	o := v.OrganisationByKey(key)
	if o == nil {
		return nil, code.UnknownOrganisation.New("no organisation has the bearer key")
	}
	if name != "" && name != o.Name {
		return nil, code.UnknownOrganisation.New("header %s names another organisation than the bearer key", OrganisationHeader)
	}
	return o, nil
}

// FillRequest sets the request's id, time of receipt, deadline, priority, credential,
// relay mark and idempotency key from the call's header.
//
// Errors carry code.BadHeader and name the field.
func FillRequest(ctx *fasthttp.RequestCtx, r *work.Request, now time.Time) error {
	header := &ctx.Request.Header
	r.ID = newRequestID()
	r.Received = now
	r.Credential = string(header.Peek(fasthttp.HeaderAuthorization))
	r.Relayed = len(header.Peek(RelayedHeader)) > 0
	if raw := header.Peek(DeadlineHeader); len(raw) > 0 {
		after, err := parseDeadline(string(raw))
		if err != nil {
			return err
		}
		r.Deadline = now.Add(after)
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
	keys := header.PeekAll(KeyHeader)
	if len(keys) == 0 {
		return nil
	}
	if len(keys) > 1 {
		return code.BadHeader.New("header %s: %d values, want one", KeyHeader, len(keys))
	}
	key := string(keys[0])
	if len(key) == 0 || len(key) > maxKeyBytes {
		return code.BadHeader.New("header %s: %d bytes, want 1 to %d", KeyHeader, len(key), maxKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return code.BadHeader.New("header %s: byte %d is not visible ASCII", KeyHeader, i)
		}
	}
	r.IdempotencyKey = ident.RequestKey(key)
	return nil
}

// newRequestID returns an id that is unique in practice: 128 random bits.
func newRequestID() ident.Request {
	return ident.Request(fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()))
}
