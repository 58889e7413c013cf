package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/report"
)

// memberState is what the last poll of another member showed.
type memberState struct {
	reachable, ready bool
}

// applyOrder applies an order and reports whether it was obeyed.
func (e *Engine) applyOrder(o *report.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Epoch < e.highestEpoch && !e.options.IgnoreFencing {
		return false
	}
	e.highestEpoch = max(e.highestEpoch, o.Epoch)
	if samePlacement(&e.order, o) {
		return true
	}
	e.order = *o
	e.dropRequests()
	e.cache.clear()
	e.startLoad()
	e.triggerPoll()
	return true
}

func samePlacement(a, b *report.Order) bool {
	return a.Replica == b.Replica && a.Epoch == b.Epoch && a.Rank == b.Rank && a.Model == b.Model &&
		a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Members, b.Members) && a.Role == b.Role
}

// startLoad starts to load the weights. The caller holds the lock.
func (e *Engine) startLoad() {
	now := e.clk.Now()
	start := now
	if e.downUntil.After(now) {
		start = e.downUntil
	}
	e.loadedAt = start.Add(e.options.LoadTime)
	e.coldUntil = e.loadedAt.Add(e.options.ColdTime)
	e.servedSinceLoad = 0
	e.memberStates = make(map[string]memberState)
}

// crash drops everything that runs and loads again. With down, the engine
// is also out of reach for a time.
func (e *Engine) crash(unreachable bool) {
	now := e.clk.Now()
	if unreachable {
		e.downUntil = now.Add(e.options.CrashDowntime)
	}
	e.incarnation++
	e.sequence = 0
	for r := range e.running {
		_ = r.conn.Close()
	}
	for _, r := range e.waiting {
		_ = r.conn.Close()
	}
	e.dropRequests()
	e.cache.clear()
	e.startLoad()
}

// ready reports whether the weights are loaded and every other member is in
// contact, with the same replica and epoch.
func (e *Engine) ready() bool {
	return e.loaded() && e.allOtherMembers(func(p memberState) bool { return p.reachable })
}

// serving reports whether requests are taken: by rank 0, if every other member
// was ready too.
func (e *Engine) serving() bool {
	return e.order.Rank == 0 && e.loaded() && e.allOtherMembers(func(p memberState) bool { return p.reachable && p.ready })
}

func (e *Engine) loaded() bool {
	now := e.clk.Now()
	return e.order.Replica != "" && !now.Before(e.loadedAt) && !now.Before(e.downUntil)
}

func (e *Engine) allOtherMembers(check func(memberState) bool) bool {
	for _, m := range e.order.Members {
		if m.Instance != e.options.Instance && !check(e.memberStates[m.Address]) {
			return false
		}
	}
	return true
}

func (e *Engine) cold() bool {
	return e.servedSinceLoad < e.options.ColdRequests && e.clk.Now().Before(e.coldUntil)
}

// Report returns what the engine says of itself.
func (e *Engine) Report() *report.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clk.Now()
	e.sequence++
	load := e.loadHistory.lagged(now)
	return &report.Report{
		Instance:    e.options.Instance,
		Incarnation: e.incarnation,
		Sequence:    e.sequence,
		Placement:   e.order.Placement,
		Ready:       e.ready(),
		Cold:        e.cold(),
		Running:     load.running,
		Waiting:     load.waiting,
		Cache:       e.cache.visibleEvents(now),
	}
}

// triggerPoll makes the polling of members start at once.
func (e *Engine) triggerPoll() {
	select {
	case e.pollNow <- struct{}{}:
	default:
	}
}

// pollMembers polls the other members until the context ends.
func (e *Engine) pollMembers(ctx context.Context) {
	for {
		timer := e.clk.NewTimer(e.options.PollInterval)
		select {
		case <-timer.Chan():
		case <-e.pollNow:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		e.mu.Lock()
		order, stopped := e.order, e.faults.Pause || e.clk.Now().Before(e.downUntil)
		e.mu.Unlock()
		if !stopped && order.Replica != "" {
			e.pollOnce(ctx, &order)
		}
	}
}

func (e *Engine) pollOnce(ctx context.Context, o *report.Order) {
	states := make([]memberState, len(o.Members))
	var group sync.WaitGroup
	for i, m := range o.Members {
		if m.Instance != e.options.Instance {
			group.Go(func() { states[i] = e.fetchMemberState(ctx, m, o) })
		}
	}
	group.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !samePlacement(&e.order, o) {
		return
	}
	for i, m := range o.Members {
		e.memberStates[m.Address] = states[i]
	}
	if !e.serving() {
		e.dropRequests()
	}
}

// fetchMemberState reads a member's report over a new connection, as an old one may have
// fallen silent. The time limit is the clock's.
func (e *Engine) fetchMemberState(ctx context.Context, m report.Member, o *report.Order) memberState {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return memberState{}
	}
	defer func() { _ = conn.Close() }()
	timeout := e.clk.AfterFunc(e.options.PollTimeout, func() { _ = conn.Close() })
	defer timeout.Stop()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + m.Address + "/report")
	request.SetConnectionClose()
	w := bufio.NewWriter(conn)
	if request.Write(w) != nil || w.Flush() != nil || response.Read(bufio.NewReader(conn)) != nil {
		return memberState{}
	}
	var r report.Report
	if json.Unmarshal(response.Body(), &r) != nil {
		return memberState{}
	}
	matches := r.Instance == m.Instance && r.Replica == o.Replica && r.Epoch == o.Epoch
	return memberState{reachable: matches, ready: matches && r.Ready}
}
