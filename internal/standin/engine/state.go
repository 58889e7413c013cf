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

// memberState is the result of the last poll of another member of the replica.
// reachable means that the member answered with the same replica and epoch.
type memberState struct {
	reachable, ready bool
}

// applyOrder applies an order and reports whether the order was accepted. Unless
// IgnoreFencing is set, it refuses an order of an epoch below the highest
// accepted epoch. An order that changes the membership drops all requests and loads
// the weights again.
func (e *Engine) applyOrder(o *report.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Epoch < e.highestEpoch && !e.options.IgnoreFencing {
		return false
	}
	e.highestEpoch = max(e.highestEpoch, o.Epoch)
	if sameOrder(&e.order, o) {
		return true
	}
	e.order = *o
	e.dropRequests()
	e.cache.clear()
	e.startLoad()
	e.triggerPoll()
	return true
}

func sameOrder(a, b *report.Order) bool {
	return a.Replica == b.Replica && a.Epoch == b.Epoch && a.Rank == b.Rank && a.Model == b.Model &&
		a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Members, b.Members) && a.Role == b.Role
}

// startLoad starts loading the weights, after the downtime of a crash if there
// is one. The caller holds the lock.
func (e *Engine) startLoad() {
	now := e.clk.Now()
	start := now
	if e.unreachableUntil.After(now) {
		start = e.unreachableUntil
	}
	e.loadedAt = start.Add(e.options.LoadTime)
	e.coldUntil = e.loadedAt.Add(e.options.ColdTime)
	e.servedSinceLoad = 0
	e.memberStates = make(map[string]memberState)
}

// crash closes the connections of all requests, empties the prefix cache, starts a
// new incarnation and loads the weights again. If unreachable is set, the engine is
// also unreachable for CrashDowntime. The caller holds the lock.
func (e *Engine) crash(unreachable bool) {
	now := e.clk.Now()
	if unreachable {
		e.unreachableUntil = now.Add(e.options.CrashDowntime)
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

// ready reports whether the weights are loaded and every other member is
// reachable.
func (e *Engine) ready() bool {
	return e.loaded() && e.allOtherMembers(func(m memberState) bool { return m.reachable })
}

// serving reports whether the engine accepts requests: it has rank 0, its weights
// are loaded and every other member was ready at its last poll.
func (e *Engine) serving() bool {
	return e.order.Rank == 0 && e.loaded() && e.allOtherMembers(func(m memberState) bool { return m.reachable && m.ready })
}

func (e *Engine) loaded() bool {
	now := e.clk.Now()
	return e.order.Replica != "" && !now.Before(e.loadedAt) && !now.Before(e.unreachableUntil)
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

// Report returns the next report of the engine. Its load and cache events lag
// behind by ReportLag and EventLag.
func (e *Engine) Report() *report.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clk.Now()
	e.sequence++
	load := e.loadHistory.laggedLoad(now)
	return &report.Report{
		Instance:    e.options.Instance,
		Incarnation: e.incarnation,
		Sequence:    e.sequence,
		Membership:  e.order.Membership,
		Ready:       e.ready(),
		Cold:        e.cold(),
		Running:     load.running,
		Waiting:     load.waiting,
		Cache:       e.cache.visibleEvents(now),
	}
}

// triggerPoll starts the next poll of the other members immediately.
func (e *Engine) triggerPoll() {
	select {
	case e.pollNow <- struct{}{}:
	default:
	}
}

// pollMembers polls the other members at an interval until the context ends.
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
		order, suspended := e.order, e.faults.Pause || e.clk.Now().Before(e.unreachableUntil)
		e.mu.Unlock()
		if !suspended && order.Replica != "" {
			e.pollOnce(ctx, &order)
		}
	}
}

// pollOnce polls all other members concurrently. It drops the requests if the replica
// no longer serves, and ignores the result if the order has changed meanwhile.
func (e *Engine) pollOnce(ctx context.Context, o *report.Order) {
	states := make([]memberState, len(o.Members))
	var polls sync.WaitGroup
	for i, m := range o.Members {
		if m.Instance != e.options.Instance {
			polls.Go(func() { states[i] = e.fetchMemberState(ctx, m, o) })
		}
	}
	polls.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !sameOrder(&e.order, o) {
		return
	}
	for i, m := range o.Members {
		e.memberStates[m.Address] = states[i]
	}
	if !e.serving() {
		e.dropRequests()
	}
}

// fetchMemberState reads a member's report. It opens a new connection, as an
// existing connection may be stalled. PollTimeout is measured on the engine's clock.
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
