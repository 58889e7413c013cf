package openai

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
)

var errCallerClosed = errors.New("caller closed the connection")

// dispatcher runs requests.
type dispatcher interface {
	Dispatch(ctx context.Context, r *work.Request, s work.Sink) error
}

// drainer refuses new requests and waits for requests in flight. Drain returns
// the number of requests still in flight when the context ends.
type drainer interface {
	Drain(ctx context.Context) unit.Requests
}

// recordSource provides the active records.
type recordSource interface {
	View() *record.View
	Ready() bool
}

// peerLister lists the other daemons.
type peerLister interface {
	Peers() []roster.Peer
}

// rosterStatus provides the age of the platform's list of instances.
type rosterStatus interface {
	ListAge() time.Duration
}

// pathHandler handles paths that are not part of the OpenAI protocol.
type pathHandler interface {
	Serves(path string) bool
	Handle(ctx *fasthttp.RequestCtx)
}

// frontend answers the requests of callers.
type frontend struct {
	clock        clock.Clock
	started      time.Time
	records      recordSource
	dispatcher   dispatcher
	drainer      drainer
	peers        peerLister
	roster       rosterStatus
	pathHandlers []pathHandler
	stopping     atomic.Bool
}

// isolationLimit is the age of the list of instances above which a daemon
// without a reachable peer counts as isolated.
const isolationLimit = 10 * time.Second

// isIsolated reports whether neither a peer nor the platform has reached the
// daemon recently, so that the daemon may have missed drains and records. An
// isolated daemon still serves requests, since it may be the last daemon of a
// disconnected data centre. Its health check fails, so that the load balancer
// prefers other daemons. A daemon without peers never counts as isolated.
func (f *frontend) isIsolated() bool {
	peers := f.peers.Peers()
	alive := slices.ContainsFunc(peers, func(p roster.Peer) bool { return p.Alive })
	return len(peers) > 0 && !alive && f.roster.ListAge() > isolationLimit
}

// handle answers one HTTP request.
func (f *frontend) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/v1/chat/completions":
		f.serveGeneration(ctx, work.Chat)
	case "/v1/completions":
		f.serveGeneration(ctx, work.Completion)
	case "/v1/models":
		f.serveModels(ctx)
	case "/health":
		f.serveHealth(ctx)
	default:
		f.callPathHandler(ctx, path)
	}
}

func (f *frontend) callPathHandler(ctx *fasthttp.RequestCtx, path string) {
	for _, h := range f.pathHandlers {
		if h.Serves(path) {
			h.Handle(ctx)
			return
		}
	}
	if !f.records.Ready() {
		httpcall.WriteError(ctx, code.NotReady.New("daemon: no configuration received yet"))
		return
	}
	httpcall.WriteError(ctx, code.UnknownPath.New("%s %s: no front end or service record serves this path", ctx.Method(), path))
}

// serveHealth answers the load balancer's health check, which fails if the load
// balancer should prefer other daemons.
func (f *frontend) serveHealth(ctx *fasthttp.RequestCtx) {
	switch {
	case f.stopping.Load():
		httpcall.WriteError(ctx, code.Draining.New("daemon: stopping"))
	case !f.records.Ready():
		httpcall.WriteError(ctx, code.NotReady.New("daemon: no configuration received yet"))
	case f.isIsolated():
		httpcall.WriteError(ctx, code.NotReady.New("daemon: no contact with a peer or the platform for %s", isolationLimit))
	default:
		ctx.SetBodyString("ok\n")
	}
}

func (f *frontend) serveModels(ctx *fasthttp.RequestCtx) {
	if !f.records.Ready() {
		httpcall.WriteError(ctx, code.NotReady.New("daemon: no configuration received yet"))
		return
	}
	organisation, err := httpcall.AuthenticateOrganisation(ctx, f.records.View())
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	httpcall.WriteJSON(ctx, newModelList(f.records.View().Models(organisation.Name), f.started))
}

func (f *frontend) serveGeneration(ctx *fasthttp.RequestCtx, o work.Operation) {
	if !ctx.IsPost() {
		httpcall.WriteError(ctx, code.UnknownPath.New("%s %s: method not allowed, expected POST", ctx.Method(), ctx.Path()))
		return
	}
	if !f.records.Ready() {
		httpcall.WriteError(ctx, code.NotReady.New("daemon: no configuration received yet"))
		return
	}
	r, b, err := parseRequest(ctx, o)
	if err == nil {
		err = f.applyHeader(ctx, r)
	}
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	if r.Stream {
		f.sendStreamedAnswer(ctx, r, b)
		return
	}
	f.sendCompleteAnswer(ctx, r)
}

// sendCompleteAnswer answers a request that is not streamed.
func (f *frontend) sendCompleteAnswer(ctx *fasthttp.RequestCtx, r *work.Request) {
	c := &collectingSink{template: newResponseTemplate(r)}
	if err := f.dispatcher.Dispatch(context.Background(), r, c); err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	raw, err := c.encodeBody()
	if err != nil {
		httpcall.WriteError(ctx, code.Internal.Wrap(err, "request %s: cannot encode the answer", r.ID))
		return
	}
	setResponseHeader(ctx, r, c.head)
	ctx.SetContentType("application/json")
	httpcall.ReserveAnswer(ctx, len(raw))
	ctx.Response.SetBodyRaw(raw)
}

// startResult is the head of an answer, or the error of a request that ended
// before its answer began.
type startResult struct {
	head work.Head
	err  error
}

// sendStreamedAnswer answers a streamed request. The dispatcher runs in its own
// goroutine, since the status must be known before fasthttp reads the body.
func (f *frontend) sendStreamedAnswer(ctx *fasthttp.RequestCtx, r *work.Request, b *requestBody) {
	started := make(chan startResult, 1)
	s := &streamSink{
		template:     newResponseTemplate(r),
		includeUsage: b.StreamOptions.IncludeUsage,
		forwardsRaw:  !r.Resumable,
		started:      started,
		out:          newPipe(),
	}
	go func() {
		err := f.dispatcher.Dispatch(context.Background(), r, s)
		switch {
		case !s.hasStarted:
			started <- startResult{err: err}
		case err != nil:
			// The write fails if the caller has closed the connection.
			_ = s.writeError(err)
		}
		s.out.markEnded()
	}()
	result := <-started
	if result.err != nil {
		httpcall.WriteError(ctx, result.err)
		return
	}
	setResponseHeader(ctx, r, result.head)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStream(s.out, -1)
}

// setResponseHeader sets the request id and the endpoint, by which a caller can
// refer to the answer.
func setResponseHeader(ctx *fasthttp.RequestCtx, r *work.Request, h work.Head) {
	ctx.Response.Header.Set("X-Request-Id", string(r.ID))
	ctx.Response.Header.Set("X-Endpoint", string(h.Endpoint))
}
