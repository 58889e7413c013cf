// Package plain is the front end for callers of plain services. It finds the
// service by path and method, checks the caller's organisation and forwards the
// call.
package plain

import (
	"bytes"
	"context"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

// RecordSource provides the active records.
type RecordSource interface {
	View() *record.View
}

// Dispatcher runs requests.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *work.Request, sink work.Sink) error
}

// FrontEnd decodes calls of plain services. It has no listener: the HTTP server
// of another front end calls Serves and Handle.
type FrontEnd struct {
	Clock      clock.Clock
	Records    RecordSource
	Dispatcher Dispatcher
}

// Serves reports whether a service serves the path.
func (f *FrontEnd) Serves(path string) bool {
	if f.Records == nil {
		return false
	}
	s, _ := f.Records.View().ServiceFor(path)
	return s != nil
}

// notForwarded lists the header fields that belong to one connection (RFC 9110,
// section 7.6.1), and the fields that the daemon sets itself or must not
// forward to a service.
var notForwarded = []string{
	"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
	"te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "authorization",
	"idempotency-key",
}

// Handle answers one call.
func (f *FrontEnd) Handle(ctx *fasthttp.RequestCtx) {
	r, err := f.decodeCall(ctx)
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	sink := &responseSink{ctx: ctx}
	if err := f.Dispatcher.Dispatch(ctx, r, sink); err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	httpcall.ReserveAnswer(ctx, sink.body.Cap())
	ctx.Response.SetBodyRaw(sink.body.Bytes())
}

func (f *FrontEnd) decodeCall(ctx *fasthttp.RequestCtx) (*work.Request, error) {
	view := f.Records.View()
	o, err := httpcall.AuthenticateOrganisation(ctx, view)
	if err != nil {
		return nil, err
	}
	s, path := view.ServiceFor(string(ctx.Path()))
	method := string(ctx.Method())
	if s == nil || !record.Allows(s.Organisations, o.Name) {
		return nil, code.UnknownPath.New("path %s: no service that organisation %s may use", ctx.Path(), o.Name)
	}
	callIndex := slices.IndexFunc(s.Calls, func(c record.Call) bool { return c.Matches(method, path) })
	if callIndex < 0 {
		return nil, code.UnknownPath.New("service %s: no call %s %s", s.Name, method, path)
	}
	r := &work.Request{Organisation: o.Name, Operation: work.ServiceCall, Service: s.Name, Method: method, Path: path, AtMostOnce: s.Calls[callIndex].AtMostOnce}
	if err := httpcall.FillRequest(ctx, r, f.Clock.Now()); err != nil {
		return nil, err
	}
	// A key makes a call at-most-once, even if the record does not.
	if r.AtMostOnce && r.IdempotencyKey == "" {
		return nil, code.MissingKey.New("%s %s: at-most-once call without Idempotency-Key", method, path)
	}
	r.AtMostOnce = r.IdempotencyKey != ""
	if query := ctx.URI().QueryString(); len(query) > 0 {
		r.Path += "?" + string(query)
	}
	r.Body = bytes.Clone(ctx.PostBody())
	r.Header = forwardedHeader(&ctx.Request.Header)
	r.Fingerprint = work.FingerprintOf(o.Name, []byte(s.Name), []byte(method), []byte(r.Path), r.Body)
	return r, nil
}

func forwardedHeader(header *fasthttp.RequestHeader) []work.Field {
	dropped := slices.Clone(notForwarded)
	for _, name := range strings.Split(string(header.Peek("Connection")), ",") {
		dropped = append(dropped, strings.ToLower(strings.TrimSpace(name)))
	}
	var forwarded []work.Field
	for name, value := range header.All() {
		if !slices.Contains(dropped, strings.ToLower(string(name))) {
			forwarded = append(forwarded, work.Field{Name: string(name), Value: string(value)})
		}
	}
	return forwarded
}

// responseSink buffers an answer. If the answer is truncated, the caller can
// still get an error with an accurate status.
type responseSink struct {
	ctx  *fasthttp.RequestCtx
	body bytes.Buffer
}

// Start sets the status and the header of the response.
func (s *responseSink) Start(h work.Head) error {
	if h.Status != 0 {
		s.ctx.SetStatusCode(h.Status)
	}
	s.ctx.Response.Header.SetNoDefaultContentType(true)
	for _, f := range h.Header {
		if !slices.Contains(notForwarded, strings.ToLower(f.Name)) {
			s.ctx.Response.Header.Add(f.Name, f.Value)
		}
	}
	return nil
}

// Chunk appends the chunk to the body.
func (s *responseSink) Chunk(chunk work.Chunk) error {
	s.body.Write(chunk.Raw)
	return nil
}

// End does nothing; Handle writes the buffered body.
func (s *responseSink) End(work.End) error { return nil }

func init() {
	plugin.Register(plugin.Caller, "plain", newPlugin)
}

type component struct {
	plugin.BackgroundTasks
	*FrontEnd
	deps *plugin.Deps
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	f := &FrontEnd{Clock: deps.Clock}
	deps.Provide(f)
	return &component{FrontEnd: f, deps: deps}, nil
}

// Start resolves the records and the dispatcher.
func (c *component) Start(context.Context) error {
	if err := c.deps.Resolve(&c.Records); err != nil {
		return err
	}
	return c.deps.Resolve(&c.Dispatcher)
}
