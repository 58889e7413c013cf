// Package engine simulates one engine instance of a model server, for tests,
// experiments and demonstrations. It serves the OpenAI API with generated text,
// reports its state, applies orders and can be made to fail.
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

// Engine is a simulated engine instance.
type Engine struct {
	*faultserver.Server
	options Options
	clk     clock.Clock
	tasks   plugin.BackgroundTasks
	// pollNow starts a poll of the other members before the interval ends.
	pollNow   chan struct{}
	pauseGate faultserver.Gate

	mu           sync.Mutex
	faults       Faults
	incarnation  unit.Incarnation
	sequence     unit.Sequence
	highestEpoch unit.Epoch
	order        report.Order
	// memberStates is keyed by the address of the member.
	memberStates     map[string]memberState
	unreachableUntil time.Time
	loadedAt         time.Time
	coldUntil        time.Time
	servedSinceLoad  int
	running          map[*activeRequest]struct{}
	waiting          []*activeRequest
	// promptRuns is keyed by the hash of the prompt.
	promptRuns      map[uint64]*PromptRuns
	completionCount uint64
	cache           *cache
	loadHistory     loadHistory
}

// New returns an engine without an order. The engine polls the other
// members of its replica in the background until Close.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options:      o,
		clk:          o.Clock,
		pollNow:      make(chan struct{}, 1),
		incarnation:  unit.Incarnation(o.Clock.Now().UnixNano()),
		memberStates: make(map[string]memberState),
		running:      make(map[*activeRequest]struct{}),
		promptRuns:   make(map[uint64]*PromptRuns),
		cache:        newCache(&o),
		loadHistory:  loadHistory{lag: o.ReportLag},
	}
	e.Server = faultserver.NewServer(e.Handle)
	e.tasks.Go(e.pollMembers)
	return e
}

// Close stops the server and the polling and aborts all requests.
func (e *Engine) Close() error {
	err := e.Server.Close()
	e.pauseGate.SetClosed(false)
	e.mu.Lock()
	e.dropRequests()
	e.mu.Unlock()
	if stopErr := e.tasks.Stop(context.Background()); err == nil {
		err = stopErr
	}
	return err
}

// RunsByPrompt returns the run counts of each prompt, keyed by the hexadecimal
// hash of the prompt.
func (e *Engine) RunsByPrompt() map[string]PromptRuns {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]PromptRuns, len(e.promptRuns))
	for h, r := range e.promptRuns {
		runs[fmt.Sprintf("%016x", h)] = *r
	}
	return runs
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f Faults) {
	e.applyFaults(f, nil)
}

// applyFaults replaces the active faults. The exempt connection isn't stalled.
func (e *Engine) applyFaults(f Faults, exempt *faultserver.Conn) {
	e.mu.Lock()
	e.faults = f
	if f.ColdNow {
		e.coldUntil = e.clk.Now().Add(e.options.ColdTime)
		e.servedSinceLoad = 0
	}
	e.mu.Unlock()
	e.pauseGate.SetClosed(f.Pause)
	if f.StallConnections {
		e.StallConnectionsExcept(exempt)
	}
}

// Handle serves one HTTP request.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/faults":
		e.handleFaults(ctx)
		return
	case "/runs":
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, e.RunsByPrompt())
		return
	}
	conn := faultserver.ConnOf(ctx)
	if !e.pauseGate.Wait(conn) || e.unreachable() {
		_ = conn.Close()
		return
	}
	switch path {
	case "/health":
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, map[string]bool{"healthy": true})
	case "/report":
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, e.Report())
	case "/order":
		e.handleOrder(ctx)
	case "/v1/chat/completions":
		e.handleCompletion(ctx, conn, true)
	case "/v1/completions":
		e.handleCompletion(ctx, conn, false)
	default:
		faultserver.WriteError(ctx, fasthttp.StatusNotFound, "unknown path %s", path)
	}
	// If the engine was paused while it handled the request, the response waits for
	// the end of the pause.
	if !e.pauseGate.Wait(conn) {
		_ = conn.Close()
	}
}

func (e *Engine) unreachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clk.Now().Before(e.unreachableUntil)
}

func (e *Engine) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := faultserver.DecodeBody(ctx, &f); err != nil {
		faultserver.WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	if ctx.IsPut() {
		e.applyFaults(f, faultserver.ConnOf(ctx))
	}
	faultserver.WriteJSON(ctx, fasthttp.StatusOK, f)
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o report.Order
	err := faultserver.DecodeBody(ctx, &o)
	if err == nil {
		err = o.Check()
	}
	switch {
	case err != nil:
		faultserver.WriteError(ctx, fasthttp.StatusBadRequest, "order: %v", err)
	case !e.applyOrder(&o):
		faultserver.WriteError(ctx, fasthttp.StatusConflict, "order of epoch %d refused: an order of a later epoch was accepted before", o.Epoch)
	default:
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, e.Report())
	}
}
