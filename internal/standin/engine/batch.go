package engine

import (
	"sort"
	"strings"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/standin/faultserver"
)

// run is a request from its arrival to its end.
type run struct {
	conn     *faultserver.Conn
	prompt   string
	prefix   []work.PrefixHash
	priority unit.Priority
	resumed  bool
	answer   *answer
	cached   int
	started  chan struct{}
	// stopped closes when the engine drops the request.
	stopped chan struct{}
}

// Run counts the runs of a prompt.
type Run struct {
	Prompt   string `json:"prompt"`
	Runs     int64  `json:"runs"`
	Resumed  int64  `json:"resumed"`
	Finished int64  `json:"finished"`
}

type admission int

const (
	admitted admission = iota
	notServing
	queueFull
	crashed
)

// admit takes a request into the batch or the queue. A cold engine that is
// given more than it accepts crashes.
func (e *Engine) admit(r *run) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.serving():
		return notServing
	case e.cold() && len(e.running)+len(e.waiting) >= e.options.ColdLimit:
		e.crash(false)
		return crashed
	case len(e.running) >= e.options.Batch && len(e.waiting) >= e.options.Queue:
		return queueFull
	}
	at := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].priority < r.priority })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = r
	e.promote()
	return admitted
}

// promote moves requests from the queue into the batch. The caller holds the
// lock.
func (e *Engine) promote() {
	for len(e.waiting) > 0 && len(e.running) < e.options.Batch {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[r] = struct{}{}
		e.begin(r)
	}
	e.load.note(e.clk.Now(), len(e.running), len(e.waiting))
}

func (e *Engine) begin(r *run) {
	counted := e.runs[r.answer.prompt]
	if counted == nil {
		counted = &Run{Prompt: brief(r.prompt)}
		e.runs[r.answer.prompt] = counted
	}
	counted.Runs++
	if r.resumed {
		counted.Resumed++
	}
	r.cached = e.cache.use(e.clk.Now(), r.prefix)
	close(r.started)
	if e.faults.CrashOn != "" && strings.Contains(r.prompt, e.faults.CrashOn) {
		// The caller goes on with the queue, which the crash has emptied.
		e.crash(true)
		e.Cut()
	}
}

// brief shortens a prompt for the list of runs.
func brief(prompt string) string {
	const most = 80
	if len(prompt) > most {
		return strings.ToValidUTF8(prompt[:most], "")
	}
	return prompt
}

// release ends a request, whether it ran or waited.
func (e *Engine) release(r *run, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.running[r]; ok {
		delete(e.running, r)
		if finished {
			e.served++
			e.runs[r.answer.prompt].Finished++
		}
	}
	for i, w := range e.waiting {
		if w == r {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.promote()
}

// breakRuns drops everything that runs or waits. The caller holds the lock.
func (e *Engine) breakRuns() {
	for r := range e.running {
		close(r.stopped)
	}
	for _, r := range e.waiting {
		close(r.stopped)
	}
	clear(e.running)
	e.waiting = nil
	e.load.note(e.clk.Now(), 0, 0)
}

// prefillTime returns the time to the first token: it falls with the cached
// blocks.
func (e *Engine) prefillTime(r *run) time.Duration {
	blocks := time.Duration(len(r.prefix) - r.cached)
	return e.scaled(e.options.FirstToken + blocks*e.options.BlockTime)
}

// tokenTime returns the time of one token, which grows with the batch.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	others := len(e.running) - 1
	e.mu.Unlock()
	growth := 1 + e.options.BatchFactor*float64(max(others, 0))
	return e.scaled(time.Duration(float64(e.options.TokenTime) * growth))
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := 1.0
	if e.cold() {
		factor = e.options.ColdFactor
	}
	if e.faults.Slow > 0 {
		factor *= e.faults.Slow
	}
	return time.Duration(float64(d) * factor)
}

// wait holds a run and reports whether it may go on afterwards.
func (e *Engine) wait(r *run, d time.Duration) bool {
	timer := e.clk.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-r.stopped:
		return false
	case <-r.conn.Closed():
		return false
	}
	if !e.gate.Wait(r.conn) {
		return false
	}
	select {
	case <-r.stopped:
		return false
	default:
		return true
	}
}
