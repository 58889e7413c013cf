package engine

import (
	"sort"
	"strings"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/standin/faultserver"
)

// activeRequest is an accepted completion request, either queued or in the
// batch.
type activeRequest struct {
	conn         *faultserver.Conn
	prompt       string
	prefixHashes []work.PrefixHash
	priority     unit.Priority
	resumed      bool
	generation   *generation
	cachedBlocks int
	// started is closed when the request enters the batch.
	started chan struct{}
	// dropped is closed when the engine aborts the request, as on a crash.
	dropped chan struct{}
}

// PromptRuns counts how often a prompt entered the batch, how many of these
// requests resumed an answer, and how many ran to the end. Prompt may be
// shortened.
type PromptRuns struct {
	Prompt   string `json:"prompt"`
	Runs     int64  `json:"runs"`
	Resumed  int64  `json:"resumed"`
	Finished int64  `json:"finished"`
}

// admission is the result of offering a request to the engine.
type admission int

const (
	admitted admission = iota
	notServing
	queueFull
	crashed
)

// admit puts a request into the batch or the queue, which is ordered by
// priority. A cold engine that receives more requests than ColdLimit crashes.
func (e *Engine) admit(r *activeRequest) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.serving():
		return notServing
	case e.cold() && len(e.running)+len(e.waiting) >= e.options.ColdLimit:
		e.crash(false)
		return crashed
	case len(e.running) >= e.options.BatchSize && len(e.waiting) >= e.options.QueueLimit:
		return queueFull
	}
	position := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].priority < r.priority })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[position+1:], e.waiting[position:])
	e.waiting[position] = r
	e.fillBatch()
	return admitted
}

// fillBatch moves requests from the queue into the batch while the batch has
// free slots. The caller holds the lock.
func (e *Engine) fillBatch() {
	for len(e.waiting) > 0 && len(e.running) < e.options.BatchSize {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[r] = struct{}{}
		e.startRequest(r)
	}
	e.loadHistory.recordLoad(e.clk.Now(), len(e.running), len(e.waiting))
}

// startRequest counts a request that entered the batch, looks its prompt up in
// the prefix cache and applies the fault CrashOn. The caller holds the lock.
func (e *Engine) startRequest(r *activeRequest) {
	counts := e.promptRuns[r.generation.promptHash]
	if counts == nil {
		counts = &PromptRuns{Prompt: truncatePrompt(r.prompt)}
		e.promptRuns[r.generation.promptHash] = counts
	}
	counts.Runs++
	if r.resumed {
		counts.Resumed++
	}
	r.cachedBlocks = e.cache.accessBlocks(e.clk.Now(), r.prefixHashes)
	close(r.started)
	if e.faults.CrashOn != "" && strings.Contains(r.prompt, e.faults.CrashOn) {
		// The crash also empties the queue, which ends the loop of fillBatch.
		e.crash(true)
		e.CloseConnections()
	}
}

// truncatePrompt shortens a prompt for PromptRuns.
func truncatePrompt(prompt string) string {
	const maxBytes = 80
	if len(prompt) > maxBytes {
		return strings.ToValidUTF8(prompt[:maxBytes], "")
	}
	return prompt
}

// release removes a request from the batch or the queue and fills the batch from
// the queue. finished says whether the whole answer was sent.
func (e *Engine) release(r *activeRequest, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.running[r]; ok {
		delete(e.running, r)
		if finished {
			e.servedSinceLoad++
			e.promptRuns[r.generation.promptHash].Finished++
		}
	}
	for i, w := range e.waiting {
		if w == r {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.fillBatch()
}

// dropRequests aborts every request in the batch and the queue. The caller
// holds the lock.
func (e *Engine) dropRequests() {
	for r := range e.running {
		close(r.dropped)
	}
	for _, r := range e.waiting {
		close(r.dropped)
	}
	clear(e.running)
	e.waiting = nil
	e.loadHistory.recordLoad(e.clk.Now(), 0, 0)
}

// prefillTime returns the time to the first token. Only the blocks of the prompt
// that were not cached add to this time.
func (e *Engine) prefillTime(r *activeRequest) time.Duration {
	blocks := time.Duration(len(r.prefixHashes) - r.cachedBlocks)
	return e.applySlowdown(e.options.FirstTokenTime + blocks*e.options.BlockTime)
}

// tokenTime returns the time to generate one token, which grows with the number
// of requests in the batch.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	otherRequests := len(e.running) - 1
	e.mu.Unlock()
	growth := 1 + e.options.BatchSlowdown*float64(max(otherRequests, 0))
	return e.applySlowdown(time.Duration(float64(e.options.TokenTime) * growth))
}

// applySlowdown multiplies a duration by the slowdowns of a cold engine and of
// Faults.Slowdown.
func (e *Engine) applySlowdown(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := 1.0
	if e.cold() {
		factor = e.options.ColdSlowdown
	}
	if e.faults.Slowdown > 0 {
		factor *= e.faults.Slowdown
	}
	return time.Duration(float64(d) * factor)
}

// delay waits for the duration d of simulated work and reports whether the
// request should continue: the engine has not dropped it and its connection is
// open.
func (e *Engine) delay(r *activeRequest, d time.Duration) bool {
	timer := e.clk.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-r.dropped:
		return false
	case <-r.conn.Closed():
		return false
	}
	if !e.pauseGate.Wait(r.conn) {
		return false
	}
	select {
	case <-r.dropped:
		return false
	default:
		return true
	}
}
