package engine

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/endpoint/stream"
)

// FetchReport reads the report of the engine at the address.
//
// Errors carry code.EndpointUnreachable, CutOff, Stalled or BadReport.
func (c *Client) FetchReport(ctx context.Context, address string) (*report.Report, error) {
	return c.fetchReport(ctx, c.controlPool, address)
}

func (c *Client) fetchReport(ctx context.Context, pool *stream.Pool, address string) (*report.Report, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(requestURL(address, c.settings.ReportPath))
	if err := pool.Do(ctx, request, response); err != nil {
		return nil, stream.ErrorWithCode(err, address)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, code.BadReport.New("report of the engine at %s: got status %d, expected 200", address, status)
	}
	r := new(report.Report)
	if err := json.Unmarshal(response.Body(), r); err != nil {
		return nil, code.BadReport.Wrap(err, "report of the engine at %s: cannot decode", address)
	}
	if err := r.Check(); err != nil {
		return nil, code.BadReport.Wrap(err, "report of the engine at %s: invalid value", address)
	}
	return r, nil
}

// SendOrder sends an order to the engine at the address. An engine that checks
// the fencing token refuses an outdated order.
//
// Errors carry code.EndpointUnreachable, CutOff, Stalled or EndpointRejected.
func (c *Client) SendOrder(ctx context.Context, address string, o *report.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return code.Internal.Wrap(err, "order for the engine at %s: cannot encode", address)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(requestURL(address, c.settings.OrderPath))
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	if err := c.controlPool.Do(ctx, request, response); err != nil {
		return stream.ErrorWithCode(err, address)
	}
	if status := response.StatusCode(); status >= fasthttp.StatusMultipleChoices {
		return code.EndpointRejected.New("order for the engine at %s: got status %d, expected below 300: %s", address, status, stream.Excerpt(response.Body()))
	}
	return nil
}
