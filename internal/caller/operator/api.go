// Package operator is the HTTP API for operators of a daemon. Operators read
// the status, timeline and metrics, read and write records, and drain and
// restore data centres and instances.
package operator

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/drainstatus"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/timeline"
	"cuminbay/internal/route/table"
)

// recordStore reads and writes records.
type recordStore interface {
	Ready() bool
	Revision() unit.Revision
	Active() []record.StoredRecord
	Rejected() []record.Rejection
	Write(ctx context.Context, n record.Name, expected unit.Revision, raw []byte) (unit.Revision, error)
	Get(ctx context.Context, n record.Name) (record.StoredRecord, error)
	List(ctx context.Context) ([]record.StoredRecord, error)
}

// drainStore sets and lists drain statuses.
type drainStore interface {
	Set(ctx context.Context, t drainstatus.Target, drained bool) error
	Statuses() []drainstatus.Status
}

// daemonLister lists the daemons.
type daemonLister interface {
	Self() ident.Instance
	LiveDaemons() []ident.Instance
	Peers() []roster.Peer
}

// replicaStates lists the states of replicas that this daemon uses for routing.
type replicaStates interface {
	AttestedStates() []report.ReplicaState
}

// inFlightCounter returns the number of this daemon's requests in flight.
type inFlightCounter interface {
	InFlight() unit.Requests
}

// peerClient sends a request to another daemon.
type peerClient interface {
	Ask(ctx context.Context, to ident.Instance, topic string, body []byte) ([]byte, error)
}

// Options are the dependencies and settings of an API.
type Options struct {
	Clock      clock.Clock
	DataCentre ident.DataCentre
	Timeline   *timeline.Recorder
	Tables     *table.Publisher
	Records    recordStore
	Drains     drainStore
	Members    daemonLister
	Replicas   replicaStates
	Requests   inFlightCounter
	Peers      peerClient
	// Pool runs the requests to other daemons.
	Pool pond.Pool
	// AskTimeout bounds a request to another daemon.
	AskTimeout time.Duration
}

// API answers the HTTP requests of operators.
type API struct {
	Options
}

// Status is the state of a daemon and of the replicas and endpoints that the
// daemon uses.
type Status struct {
	Instance   ident.Instance        `json:"instance"`
	DataCentre ident.DataCentre      `json:"dataCentre"`
	Ready      bool                  `json:"ready"`
	InFlight   unit.Requests         `json:"inFlight"`
	Revision   unit.Revision         `json:"revision"`
	Rejected   []record.Rejection    `json:"rejected"`
	Daemons    []roster.Peer         `json:"daemons"`
	Replicas   []report.ReplicaState `json:"replicas"`
	Endpoints  []Endpoint            `json:"endpoints"`
	Drains     []drainstatus.Status  `json:"drains"`
}

// Endpoint is an endpoint of the routing table with its load.
type Endpoint struct {
	ID             ident.Endpoint   `json:"endpoint"`
	Protocol       table.Protocol   `json:"protocol"`
	DataCentre     ident.DataCentre `json:"dataCentre"`
	Cold           bool             `json:"cold"`
	InFlight       unit.Requests    `json:"inFlight"`
	EffectiveLimit unit.Requests    `json:"bound"`
	// FirstToken is the estimated time to the first token in seconds.
	FirstToken float64 `json:"firstToken"`
}

// Status returns the daemon's status.
func (a *API) Status() Status {
	s := Status{
		Instance:   a.Members.Self(),
		DataCentre: a.DataCentre,
		Ready:      a.Records.Ready(),
		InFlight:   a.Requests.InFlight(),
		Revision:   a.Records.Revision(),
		Rejected:   a.Records.Rejected(),
		Daemons:    a.Members.Peers(),
		Replicas:   a.Replicas.AttestedStates(),
		Drains:     a.Drains.Statuses(),
	}
	now := a.Clock.Now()
	for _, e := range a.Tables.Current().Endpoints() {
		s.Endpoints = append(s.Endpoints, Endpoint{
			ID: e.ID, Protocol: e.Protocol, DataCentre: e.DataCentre, Cold: e.Cold || e.Load.IsSuspectedCold(),
			InFlight: e.Load.InFlight(), EffectiveLimit: e.EffectiveLimit(now), FirstToken: e.Load.FirstTokenTime().Seconds(),
		})
	}
	return s
}

// Handler returns the HTTP handler of the API.
func (a *API) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/health", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/status", func(ctx *fasthttp.RequestCtx) { httpcall.WriteJSON(ctx, a.Status()) })
	r.GET("/timeline", a.getTimeline)
	r.GET("/records", a.listRecords)
	r.GET("/records/{kind}/{name:*}", a.withRecordName(a.getRecord))
	r.PUT("/records/{kind}/{name:*}", a.withRecordName(a.putRecord))
	r.GET("/confirmations/{kind}/{name:*}", a.withRecordName(a.getConfirmations))
	r.PUT("/drain/{kind}/{id:*}", func(ctx *fasthttp.RequestCtx) { a.setDrain(ctx, true) })
	r.DELETE("/drain/{kind}/{id:*}", func(ctx *fasthttp.RequestCtx) { a.setDrain(ctx, false) })
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		httpcall.WriteError(ctx, code.UnknownPath.New("%s %s: not a path of the operators' API", ctx.Method(), ctx.Path()))
	}
	return r.Handler
}

type recordHandler func(ctx *fasthttp.RequestCtx, n record.Name)

func (*API) withRecordName(f recordHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		n, err := record.ParseName(pathParameter(ctx, "kind") + "/" + pathParameter(ctx, "name"))
		if err != nil {
			httpcall.WriteError(ctx, err)
			return
		}
		f(ctx, n)
	}
}

func (a *API) listRecords(ctx *fasthttp.RequestCtx) {
	list, err := a.Records.List(ctx)
	if err != nil {
		// While the platform is unreachable, the response lists the active
		// records.
		ctx.Response.Header.Set("X-Source", "active")
		httpcall.WriteJSON(ctx, a.Records.Active())
		return
	}
	httpcall.WriteJSON(ctx, list)
}

func (a *API) getRecord(ctx *fasthttp.RequestCtx, n record.Name) {
	r, err := a.Records.Get(ctx, n)
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	httpcall.WriteJSON(ctx, r)
}

// WriteResult is the response to a write of a record.
type WriteResult struct {
	record.Name
	Revision unit.Revision `json:"revision"`
}

func (a *API) putRecord(ctx *fasthttp.RequestCtx, n record.Name) {
	expected, err := revisionParameter(ctx)
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	// The record outlives the request, whose buffer fasthttp reuses.
	written, err := a.Records.Write(ctx, n, expected, bytes.Clone(ctx.PostBody()))
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	a.Timeline.Record("record-written", n.String(), "revision", strconv.FormatInt(int64(written), 10))
	httpcall.WriteJSON(ctx, WriteResult{n, written})
}

// revisionParameter returns the parameter revision: the expected revision of a
// write, or the revision to be confirmed.
func revisionParameter(ctx *fasthttp.RequestCtx) (unit.Revision, error) {
	raw := string(ctx.QueryArgs().Peek("revision"))
	if raw == "" {
		return 0, nil
	}
	v, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || v < 0 {
		return 0, code.BadHeader.New("query parameter revision: got %q, expected a number of at least 0", raw)
	}
	return unit.Revision(v), nil
}

func (a *API) setDrain(ctx *fasthttp.RequestCtx, drained bool) {
	t := drainstatus.Target{Kind: drainstatus.TargetKind(pathParameter(ctx, "kind")), ID: pathParameter(ctx, "id")}
	if err := t.Check(); err != nil {
		httpcall.WriteError(ctx, code.BadMessage.Wrap(err, "check drain target"))
		return
	}
	if err := a.Drains.Set(ctx, t, drained); err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	httpcall.WriteJSON(ctx, a.Drains.Statuses())
}

func pathParameter(ctx *fasthttp.RequestCtx, name string) string {
	s, _ := ctx.UserValue(name).(string)
	return s
}
