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
	"cuminbay/internal/kernel/http1"
)

// The paths of the etcd gateway protocol.
const (
	pathRange     = "/v3/kv/range"
	pathTxn       = "/v3/kv/txn"
	pathWatch     = "/v3/watch"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
)

// host calls one address of the platform.
type host struct {
	baseURL string
	address string
	tls     bool
	timeout time.Duration
	clock   clock.Clock
	client  *fasthttp.HostClient
}

func newHost(address string, o Options) *host {
	h := &host{baseURL: address, timeout: o.Timeout, clock: o.Clock}
	if !strings.Contains(address, "://") {
		h.baseURL = "http://" + address
	}
	h.baseURL = strings.TrimSuffix(h.baseURL, "/")
	scheme, hostPort, _ := strings.Cut(h.baseURL, "://")
	h.tls = scheme == "https"
	h.address = fasthttp.AddMissingPort(hostPort, h.tls)
	h.client = &fasthttp.HostClient{
		Addr:                h.address,
		IsTLS:               h.tls,
		Dial:                h.dial,
		MaxResponseBodySize: int(o.MaxResponse),
		// The library may retry a read on an idle connection that the
		// platform has closed in the meantime, but never a write.
		MaxIdemponentCallAttempts: 2,
		RetryIfErr: func(r *fasthttp.Request, _ int, _ error) (bool, bool) {
			return false, string(r.URI().Path()) == pathRange
		},
	}
	http1.CheckResponses(h.client)
	return h
}

// unsentError says that the request was not sent.
type unsentError struct{ error }

func (e unsentError) Unwrap() error { return e.error }

// isUnsent reports whether the request was certainly not sent.
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

// statusError is a response of the platform with another status than 200.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.text)
}

// refused reports whether the platform certainly refused the call without running it.
// After a status of the 5xx group, a request timeout or a cancellation (499) the call
// may have run.
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

// withCode adds code.PlatformUnavailable to the error of a call. It is applied last,
// since errors.As does not find the cause of an error with a code.
func withCode(err error) error {
	if err == nil {
		return nil
	}
	return code.PlatformUnavailable.Wrap(err, "call the platform's store")
}

// withSwapCode adds code.PlatformUnavailable to the error of a swap. It sets the outcome
// to code.Unknown, unless nothing was sent or the platform refused the swap.
func withSwapCode(err error) error {
	if isUnsent(err) || isRefusal(err) {
		return withCode(err)
	}
	return code.WithOutcome(withCode(err), code.Unknown)
}

// call sends one request and decodes the response.
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
	if err := h.client.DoTimeout(req, resp, timeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return newStatusError(resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), result); err != nil {
		return fmt.Errorf("decode response: %w", err)
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
	req.SetRequestURI(h.baseURL + path)
	req.SetBody(body)
	return nil
}

func newStatusError(status int, body []byte) *statusError {
	const maxTextBytes = 200
	return &statusError{status: status, text: string(body[:min(len(body), maxTextBytes)])}
}
