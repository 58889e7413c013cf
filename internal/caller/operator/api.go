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
	Active() []record.Stored
	Rejected() []record.Rejection
	Write(ctx context.Context, n record.Name, old unit.Revision, raw []byte) (unit.Revision, error)
	Get(ctx context.Context, n record.Name) (record.Stored, error)
	List(ctx context.Context) ([]record.Stored, error)
}

// drainStore sets and lists drain statuses.
type drainStore interface {
	Set(ctx context.Context, t drainstatus.Target, out bool) error
	Marks() []drainstatus.Status
}

// members lists the daemons.
type members interface {
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

// peerAsker sends a request to another daemon.
type peerAsker interface {
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
	Members    members
	Replicas   replicaStates
	Requests   inFlightCounter
	Peers      peerAsker
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
	ID         ident.Endpoint   `json:"endpoint"`
	Protocol   table.Protocol   `json:"protocol"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	Cold       bool             `json:"cold"`
	InFlight   unit.Requests    `json:"inFlight"`
	Bound      unit.Requests    `json:"bound"`
	// FirstToken is the estimated time to the first token in seconds.
	FirstToken float64 `json:"firstToken"`
}

// Status returns the daemon's status.
func (i *API) Status() Status {
	s := Status{
		Instance:   i.Members.Self(),
		DataCentre: i.DataCentre,
		Ready:      i.Records.Ready(),
		InFlight:   i.Requests.InFlight(),
		Revision:   i.Records.Revision(),
		Rejected:   i.Records.Rejected(),
		Daemons:    i.Members.Peers(),
		Replicas:   i.Replicas.AttestedStates(),
		Drains:     i.Drains.Marks(),
	}
	now := i.Clock.Now()
	for _, e := range i.Tables.Current().Endpoints() {
		s.Endpoints = append(s.Endpoints, Endpoint{
			ID: e.ID, Protocol: e.Protocol, DataCentre: e.DataCentre, Cold: e.Cold || e.Load.SuspectCold(),
			InFlight: e.Load.InFlight(), Bound: e.EffectiveLimit(now), FirstToken: e.Load.FirstToken().Seconds(),
		})
	}
	return s
}

// Handler returns the HTTP handler of the API.
func (i *API) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/health", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/status", func(ctx *fasthttp.RequestCtx) { httpcall.WriteJSON(ctx, i.Status()) })
	r.GET("/timeline", i.timeline)
	r.GET("/records", i.listRecords)
	r.GET("/records/{kind}/{name:*}", i.withRecordName(i.getRecord))
	r.PUT("/records/{kind}/{name:*}", i.withRecordName(i.putRecord))
	r.GET("/confirmations/{kind}/{name:*}", i.withRecordName(i.confirmations))
	r.PUT("/drain/{kind}/{id:*}", func(ctx *fasthttp.RequestCtx) { i.setDrain(ctx, true) })
	r.DELETE("/drain/{kind}/{id:*}", func(ctx *fasthttp.RequestCtx) { i.setDrain(ctx, false) })
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

func (i *API) listRecords(ctx *fasthttp.RequestCtx) {
	list, err := i.Records.List(ctx)
	if err != nil {
		// While the platform is unreachable, the response lists the active
		// records.
		ctx.Response.Header.Set("X-Source", "active")
		httpcall.WriteJSON(ctx, i.Records.Active())
		return
	}
	httpcall.WriteJSON(ctx, list)
}

func (i *API) getRecord(ctx *fasthttp.RequestCtx, n record.Name) {
	r, err := i.Records.Get(ctx, n)
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

func (i *API) putRecord(ctx *fasthttp.RequestCtx, n record.Name) {
	expected, err := revisionParameter(ctx)
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	// The record outlives the request, whose buffer fasthttp reuses.
	written, err := i.Records.Write(ctx, n, expected, bytes.Clone(ctx.PostBody()))
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	i.Timeline.Record("record-written", n.String(), "revision", strconv.FormatInt(int64(written), 10))
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
		return 0, code.BadHeader.New("query revision: %q is not a number from 0", raw)
	}
	return unit.Revision(v), nil
}

func (i *API) setDrain(ctx *fasthttp.RequestCtx, drained bool) {
	t := drainstatus.Target{Kind: drainstatus.TargetKind(pathParameter(ctx, "kind")), ID: pathParameter(ctx, "id")}
	if err := t.Check(); err != nil {
		httpcall.WriteError(ctx, code.BadMessage.Wrap(err, "drain target"))
		return
	}
	if err := i.Drains.Set(ctx, t, drained); err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	httpcall.WriteJSON(ctx, i.Drains.Marks())
}

func pathParameter(ctx *fasthttp.RequestCtx, name string) string {
	s, _ := ctx.UserValue(name).(string)
	return s
}
