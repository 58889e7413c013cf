// Package service is the stand-in of a plain service, a ledger or a store of
// orders. It counts how often each call ran.
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

// Faults are the faults in effect. Setting them replaces all.
type Faults struct {
	// DelayMs delays each answer, after the call ran.
	DelayMs int64 `json:"delayMs"`
	// LoseAnswers is how many further POST calls run without an answer.
	LoseAnswers int `json:"loseAnswers"`
	// Refuse closes the connection of each call before it runs.
	Refuse bool `json:"refuse"`
	// FailWith answers calls with this status without running them.
	FailWith int `json:"failWith"`
}

// Service is a plain service.
type Service struct {
	*faultserver.Server
	clk clock.Clock

	mu     sync.Mutex
	faults Faults
	number int64
	runs   map[string]int64
}

// New returns a service.
func New(o Options) *Service {
	s := &Service{clk: o.Clock, runs: make(map[string]int64)}
	if s.clk == nil {
		s.clk = clock.Real()
	}
	s.Server = faultserver.NewServer(s.Handle)
	return s
}

// Runs returns how often each key ran.
func (s *Service) Runs() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int64, len(s.runs))
	for k, n := range s.runs {
		runs[k] = n
	}
	return runs
}

// SetFaults replaces the faults in effect.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handle answers one request.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case path == "/faults" && method == fasthttp.MethodPut:
		var f Faults
		if err := faultserver.Decode(ctx, &f); err != nil {
			faultserver.Refuse(ctx, fasthttp.StatusBadRequest, "%v", err)
			return
		}
		s.SetFaults(f)
		faultserver.Answer(ctx, fasthttp.StatusOK, f)
	case path == "/runs":
		faultserver.Answer(ctx, fasthttp.StatusOK, s.Runs())
	default:
		s.call(ctx, method, path)
	}
}

func (s *Service) call(ctx *fasthttp.RequestCtx, method, path string) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Refuse {
		_ = faultserver.Of(ctx).Close()
		return
	}
	if f.FailWith != 0 {
		faultserver.Refuse(ctx, f.FailWith, "failing by fault switch")
		return
	}
	switch {
	case path == "/health":
		faultserver.Answer(ctx, fasthttp.StatusOK, map[string]bool{"healthy": true})
	case method == fasthttp.MethodGet && len(path) > len("/lots/") && path[:len("/lots/")] == "/lots/":
		faultserver.Answer(ctx, fasthttp.StatusOK, map[string]string{"lot": path[len("/lots/"):]})
	case method == fasthttp.MethodPost && (path == "/reserve" || path == "/ship"):
		number, lost := s.run(ctx)
		if lost {
			_ = faultserver.Of(ctx).Close()
			return
		}
		faultserver.Answer(ctx, fasthttp.StatusOK, map[string]int64{"number": number})
	default:
		faultserver.Refuse(ctx, fasthttp.StatusNotFound, "no call %s %s", method, path)
		return
	}
	faultserver.Hold(s.clk, faultserver.Of(ctx), time.Duration(f.DelayMs)*time.Millisecond)
}

// run performs a call and reports whether its answer is to be lost.
func (s *Service) run(ctx *fasthttp.RequestCtx) (int64, bool) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if key == "" {
		key = fmt.Sprintf("body-%016x", xxhash.Sum64(ctx.PostBody()))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	s.runs[key]++
	if s.faults.LoseAnswers == 0 {
		return s.number, false
	}
	s.faults.LoseAnswers--
	return s.number, true
}
