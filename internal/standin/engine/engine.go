// Package engine is the stand-in of one engine instance of a model server. It
// speaks the OpenAI protocol, reports its state and obeys orders.
package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/standin/faultserver"
)

// Engine is one engine instance.
type Engine struct {
	*faultserver.Server
	options Options
	clk     clock.Clock
	loops   plugin.BackgroundTasks
	poke    chan struct{}
	gate    faultserver.Gate

	mu        sync.Mutex
	faults    Faults
	boot      unit.Incarnation
	sequence  unit.Sequence
	highest   unit.Epoch
	order     report.Order
	peers     map[string]peer
	downUntil time.Time
	loadedAt  time.Time
	coldUntil time.Time
	served    int
	running   map[*run]struct{}
	waiting   []*run
	runs      map[uint64]*Run
	answers   uint64
	cache     *cache
	load      load
}

// New returns an idle engine that polls the members of its replica until
// Close.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options: o,
		clk:     o.Clock,
		poke:    make(chan struct{}, 1),
		boot:    unit.Incarnation(o.Clock.Now().UnixNano()),
		peers:   make(map[string]peer),
		running: make(map[*run]struct{}),
		runs:    make(map[uint64]*Run),
		cache:   newCache(&o),
		load:    load{lag: o.ReportLag},
	}
	e.Server = faultserver.NewServer(e.Handle)
	e.loops.Go(e.pollMembers)
	return e
}

// Close stops serving and polling and drops everything that runs.
func (e *Engine) Close() error {
	err := e.Server.Close()
	e.gate.Set(false)
	e.mu.Lock()
	e.breakRuns()
	e.mu.Unlock()
	if stopped := e.loops.Stop(context.Background()); err == nil {
		err = stopped
	}
	return err
}

// Runs returns how often each prompt ran, by the hash of the prompt.
func (e *Engine) Runs() map[string]Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]Run, len(e.runs))
	for h, r := range e.runs {
		runs[fmt.Sprintf("%016x", h)] = *r
	}
	return runs
}

// SetFaults replaces the faults in effect.
func (e *Engine) SetFaults(f Faults) {
	e.set(f, nil)
}

func (e *Engine) set(f Faults, except *faultserver.Conn) {
	e.mu.Lock()
	e.faults = f
	if f.ColdNow {
		e.coldUntil = e.clk.Now().Add(e.options.ColdTime)
		e.served = 0
	}
	e.mu.Unlock()
	e.gate.Set(f.Pause)
	if f.Silent {
		e.Silence(except)
	}
}

// Handle answers one request.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/faults":
		e.answerFaults(ctx)
		return
	case "/runs":
		faultserver.Answer(ctx, fasthttp.StatusOK, e.Runs())
		return
	}
	conn := faultserver.Of(ctx)
	if !e.gate.Wait(conn) || e.down() {
		_ = conn.Close()
		return
	}
	switch path {
	case "/health":
		faultserver.Answer(ctx, fasthttp.StatusOK, map[string]bool{"healthy": true})
	case "/report":
		faultserver.Answer(ctx, fasthttp.StatusOK, e.Report())
	case "/order":
		e.answerOrder(ctx)
	case "/v1/chat/completions":
		e.answerCompletion(ctx, conn, true)
	case "/v1/completions":
		e.answerCompletion(ctx, conn, false)
	default:
		faultserver.Refuse(ctx, fasthttp.StatusNotFound, "no call %s", path)
	}
	// An answer made before a fault still falls silent with its connection.
	if !e.gate.Wait(conn) {
		_ = conn.Close()
	}
}

func (e *Engine) down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clk.Now().Before(e.downUntil)
}

func (e *Engine) answerFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := faultserver.Decode(ctx, &f); err != nil {
		faultserver.Refuse(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	if ctx.IsPut() {
		e.set(f, faultserver.Of(ctx))
	}
	faultserver.Answer(ctx, fasthttp.StatusOK, f)
}

func (e *Engine) answerOrder(ctx *fasthttp.RequestCtx) {
	var o report.Order
	err := faultserver.Decode(ctx, &o)
	if err == nil {
		err = o.Check()
	}
	switch {
	case err != nil:
		faultserver.Refuse(ctx, fasthttp.StatusBadRequest, "order: %v", err)
	case !e.obey(&o):
		faultserver.Refuse(ctx, fasthttp.StatusConflict, "order of epoch %d is out of date", o.Epoch)
	default:
		faultserver.Answer(ctx, fasthttp.StatusOK, e.Report())
	}
}
