// Package plain is the front end for callers of plain services.
package plain

import (
	"bytes"
	"context"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

func init() {
	plugin.Register(plugin.Caller, "plain", newPlugin)
}

// dispatcher runs requests.
type dispatcher interface {
	Dispatch(ctx context.Context, r *work.Request, s work.Sink) error
}

// records are the active records.
type records interface {
	View() *record.View
}

// Handler answers the paths of plain services. The OpenAI front end's listener
// mounts it.
type Handler struct {
	Options
}

// Options are the parts of a Handler.
type Options struct {
	Clock      clock.Clock
	Records    records
	Dispatcher dispatcher
}

// New returns a handler.
func New(o Options) *Handler {
	return &Handler{o}
}

// Serves reports whether a service record covers the path.
func (h *Handler) Serves(path string) bool {
	s, _ := h.Records.View().ServiceFor(path)
	return s != nil
}

// Handle answers a call.
func (h *Handler) Handle(ctx *fasthttp.RequestCtx) {
	r, err := h.decode(ctx)
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	a := new(answer)
	if err := h.Dispatcher.Dispatch(context.Background(), r, a); err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	a.write(ctx)
	ctx.Response.Header.Set("X-Request-Id", string(r.ID))
}

// decode turns the call into a request.
//
// Errors carry code.UnknownPath, UnknownOrganisation, MissingKey or BadHeader.
func (h *Handler) decode(ctx *fasthttp.RequestCtx) (*work.Request, error) {
	view := h.Records.View()
	service, path := view.ServiceFor(string(ctx.Path()))
	if service == nil {
		return nil, code.UnknownPath.New("path %s: no service record serves it", ctx.Path())
	}
	method := string(ctx.Method())
	call := find(service, method, path)
	if call == nil {
		return nil, code.UnknownPath.New("%s %s: service %s does not serve it", method, path, service.Name)
	}
	organisation, err := httpcall.Organisation(ctx, view)
	if err != nil {
		return nil, err
	}
	if !record.Allows(service.Organisations, organisation.Name) {
		return nil, code.UnknownPath.New("%s %s: service %s does not serve organisation %s", method, path, service.Name, organisation.Name)
	}
	if query := ctx.QueryArgs().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	r := &work.Request{
		Operation:    work.Call,
		Organisation: organisation.Name,
		Service:      service.Name,
		Method:       method,
		Path:         path,
		Header:       forwarded(ctx),
		Body:         bytes.Clone(ctx.PostBody()),
		AtMostOnce:   call.AtMostOnce,
	}
	if err := httpcall.Fill(ctx, r, h.Clock.Now()); err != nil {
		return nil, err
	}
	if r.AtMostOnce && r.Key == "" {
		return nil, code.MissingKey.New("%s %s: the call runs at most once and needs the header %s", method, path, httpcall.KeyHeader)
	}
	r.Fingerprint = work.FingerprintOf(r.Organisation, []byte(method), []byte(path), r.Body)
	return r, nil
}

func find(s *record.Service, method, path string) *record.Call {
	for i := range s.Calls {
		if s.Calls[i].Matches(method, path) {
			return &s.Calls[i]
		}
	}
	return nil
}

// dropped are the request fields that are not passed on: those of one
// connection only, those that the daemon sets, and the caller's key to the
// daemon.
var dropped = map[string]bool{
	fasthttp.HeaderConnection:         true,
	fasthttp.HeaderKeepAlive:          true,
	fasthttp.HeaderProxyAuthenticate:  true,
	fasthttp.HeaderProxyAuthorization: true,
	"Te":                              true,
	fasthttp.HeaderTrailer:            true,
	fasthttp.HeaderTransferEncoding:   true,
	fasthttp.HeaderUpgrade:            true,
	fasthttp.HeaderHost:               true,
	fasthttp.HeaderContentLength:      true,
	fasthttp.HeaderAuthorization:      true,
	httpcall.KeyHeader:                true,
	httpcall.DeadlineHeader:           true,
	httpcall.PriorityHeader:           true,
}

func forwarded(ctx *fasthttp.RequestCtx) []work.Field {
	var fields []work.Field
	for name, value := range ctx.Request.Header.All() {
		if !dropped[string(name)] {
			fields = append(fields, work.Field{Name: string(name), Value: string(value)})
		}
	}
	return fields
}

// answer is the sink of a call. It keeps the whole answer, so that a broken one
// becomes an error instead of a short answer.
type answer struct {
	head work.Head
	body []byte
}

// Start keeps the head.
func (a *answer) Start(h work.Head) error {
	a.head = h
	return nil
}

// Piece keeps the piece.
func (a *answer) Piece(p work.Piece) error {
	a.body = append(a.body, p.Raw...)
	return nil
}

// End does nothing: Dispatch returns nil only after it.
func (a *answer) End(work.End) error {
	return nil
}

func (a *answer) write(ctx *fasthttp.RequestCtx) {
	for _, f := range a.head.Header {
		ctx.Response.Header.Add(f.Name, f.Value)
	}
	if a.head.Status != 0 {
		ctx.SetStatusCode(a.head.Status)
	}
	ctx.Response.Header.Set("X-Endpoint", string(a.head.Endpoint))
	ctx.SetBody(a.body)
}
