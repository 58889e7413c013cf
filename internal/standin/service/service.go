// Package service simulates a plain HTTP service, such as a ledger, for tests,
// experiments and demonstrations. It counts how often the call of each idempotency
// key ran. Faults can lose or delay its answers, and refuse or fail calls.
package service

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/standin/faultserver"
)

// Options configure a service.
type Options struct {
	Clock clock.Clock
}

// Faults are the active faults. SetFaults replaces all of them.
type Faults struct {
	// DelayMs delays each response after the call has run, in milliseconds.
	DelayMs int64 `json:"delayMs"`
	// LoseAnswers is the number of further POST calls that run but get no
	// answer.
	LoseAnswers int `json:"loseAnswers"`
	// Refuse closes the connection of each call before it runs.
	Refuse bool `json:"refuse"`
	// FailWith is the HTTP status with which calls fail without running. Zero
	// disables the fault.
	FailWith int `json:"failWith"`
	// Endless makes the body of each answer to a GET call have no end.
	Endless bool `json:"endless"`
	// Head replaces the status line of each answer to a call. Empty disables the fault.
	Head string `json:"head"`
}

const healthPath = "/health"

// Service is a simulated plain service.
type Service struct {
	*faultserver.Server
	clk clock.Clock

	mu     sync.Mutex
	faults Faults
	// lastNumber is the number returned by the last POST call.
	lastNumber int64
	runsByKey  map[string]int64
}

// New returns a Service without faults. It uses the real clock if Options has none.
func New(o Options) *Service {
	s := &Service{clk: o.Clock, runsByKey: make(map[string]int64)}
	if s.clk == nil {
		s.clk = clock.Real()
	}
	s.Server = faultserver.NewServer(s.Handle)
	return s
}

// RunsByKey returns how often the call of each idempotency key ran. A call without
// a key counts under the hash of its body.
func (s *Service) RunsByKey() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int64, len(s.runsByKey))
	for k, n := range s.runsByKey {
		copied[k] = n
	}
	return copied
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handle serves one HTTP request.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case path == "/faults" && method == fasthttp.MethodPut:
		var f Faults
		if err := faultserver.DecodeBody(ctx, &f); err != nil {
			faultserver.WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
			return
		}
		s.SetFaults(f)
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, f)
	case path == "/runs":
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, s.RunsByKey())
	default:
		s.handleCall(ctx, method, path)
	}
}

func (s *Service) handleCall(ctx *fasthttp.RequestCtx, method, path string) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Refuse {
		_ = faultserver.ConnOf(ctx).Close()
		return
	}
	if f.FailWith != 0 {
		faultserver.WriteError(ctx, f.FailWith, "failed on purpose: the fault failWith is set")
		return
	}
	if f.Head != "" && path != healthPath {
		faultserver.ConnOf(ctx).ReplaceStatusLine(f.Head)
	}
	switch {
	case path == healthPath:
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, map[string]bool{"healthy": true})
	case f.Endless && method == fasthttp.MethodGet:
		faultserver.SetEndlessBody(ctx, s.clk, "")
		return
	case method == fasthttp.MethodGet && len(path) > len("/lots/") && path[:len("/lots/")] == "/lots/":
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, map[string]string{"lot": path[len("/lots/"):]})
	case method == fasthttp.MethodPost && (path == "/reserve" || path == "/ship"):
		number, loseAnswer := s.executeCall(ctx)
		if loseAnswer {
			_ = faultserver.ConnOf(ctx).Close()
			return
		}
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, map[string]int64{"number": number})
	default:
		faultserver.WriteError(ctx, fasthttp.StatusNotFound, "unknown call %s %s", method, path)
		return
	}
	faultserver.Delay(s.clk, faultserver.ConnOf(ctx), time.Duration(f.DelayMs)*time.Millisecond)
}

// executeCall runs a POST call. It returns the number of the call and whether a
// fault loses the answer.
func (s *Service) executeCall(ctx *fasthttp.RequestCtx) (int64, bool) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if key == "" {
		key = fmt.Sprintf("body-%016x", xxhash.Sum64(ctx.PostBody()))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	s.runsByKey[key]++
	if s.faults.LoseAnswers == 0 {
		return s.lastNumber, false
	}
	s.faults.LoseAnswers--
	return s.lastNumber, true
}
