package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/kernel/clock"
)

// The paths of the protocol.
const (
	pathRange     = "/v3/kv/range"
	pathTxn       = "/v3/kv/txn"
	pathWatch     = "/v3/watch"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
)

// host is one address of the platform.
type host struct {
	base    string
	address string
	tls     bool
	timeout time.Duration
	clock   clock.Clock
	http    *fasthttp.HostClient
}

func newHost(address string, o Options) *host {
	h := &host{base: address, timeout: o.Timeout, clock: o.Clock}
	if !strings.Contains(address, "://") {
		h.base = "http://" + address
	}
	h.base = strings.TrimSuffix(h.base, "/")
	scheme, rest, _ := strings.Cut(h.base, "://")
	h.tls = scheme == "https"
	h.address = fasthttp.AddMissingPort(rest, h.tls)
	h.http = &fasthttp.HostClient{
		Addr:                h.address,
		IsTLS:               h.tls,
		Dial:                h.dial,
		MaxResponseBodySize: int(o.MaxResponse),
		// The library may repeat a read, for an idle connection that the
		// platform has closed in the meantime, but never a write.
		MaxIdemponentCallAttempts: 2,
		RetryIfErr: func(r *fasthttp.Request, _ int, _ error) (bool, bool) {
			return false, string(r.URI().Path()) == pathRange
		},
	}
	return h
}

// unsentError says that no connection was opened, so nothing was sent.
type unsentError struct{ error }

func (e unsentError) Unwrap() error { return e.error }

// isUnsent reports whether the request certainly did not reach the platform.
func isUnsent(err error) bool {
	var unsent unsentError
	return errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

func (h *host) dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, h.timeout)
	if err != nil {
		return nil, unsentError{err}
	}
	return conn, nil
}

// statusError is an answer of the platform that refuses the call.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.text)
}

// refused reports whether the platform refused the call without running it.
// Statuses of the 5xx group, request timeout and cancellation leave it open.
func (e *statusError) refused() bool {
	const cancelled = 499
	return e.status >= fasthttp.StatusBadRequest && e.status < cancelled && e.status != fasthttp.StatusRequestTimeout
}

func isRefusal(err error) bool {
	var status *statusError
	return errors.As(err, &status) && status.refused()
}

func isNotFound(err error) bool {
	var status *statusError
	return errors.As(err, &status) && status.status == fasthttp.StatusNotFound
}

// callError is the failure of a call to one address.
type callError struct {
	target string
	cause  error
}

func (e *callError) Error() string { return e.target + ": " + e.cause.Error() }

func (e *callError) Unwrap() error { return e.cause }

// withCode returns the failure of a call as an error of this package's callers.
// It is made last, since an error with a code hides its cause from errors.As.
func withCode(err error) error {
	if err == nil {
		return nil
	}
	return code.PlatformUnavailable.Wrap(err, "platform")
}

// withSwapCode is coded for a swap. It states the outcome, which is known only if
// nothing was sent or the platform refused.
func withSwapCode(err error) error {
	if isUnsent(err) || isRefusal(err) {
		return withCode(err)
	}
	return code.WithOutcome(withCode(err), code.Unknown)
}

// call sends one request and decodes the answer.
func (h *host) call(ctx context.Context, path string, request, response any) error {
	if err := h.roundTrip(ctx, path, request, response); err != nil {
		return &callError{h.address + path, err}
	}
	return nil
}

func (h *host) roundTrip(ctx context.Context, path string, request, result any) error {
	timeout := h.timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, deadline.Sub(h.clock.Now()))
	}
	if ctx.Err() != nil || timeout <= 0 {
		return unsentError{context.DeadlineExceeded}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := h.fillRequest(req, path, request); err != nil {
		return unsentError{err}
	}
	if err := h.http.DoTimeout(req, resp, timeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return newStatusError(resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), result); err != nil {
		return fmt.Errorf("answer is not of the protocol: %w", err)
	}
	return nil
}

func (h *host) fillRequest(req *fasthttp.Request, path string, request any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI(h.base + path)
	req.SetBody(body)
	return nil
}

func newStatusError(status int, body []byte) *statusError {
	const maxText = 200
	return &statusError{status: status, text: string(body[:min(len(body), maxText)])}
}
