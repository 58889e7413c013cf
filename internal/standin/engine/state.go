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

// peer is what the last poll of another member showed.
type peer struct {
	contact, ready bool
}

// obey applies an order and reports whether it was obeyed.
func (e *Engine) obey(o *report.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Epoch < e.highest && !e.options.IgnoreFencing {
		return false
	}
	e.highest = max(e.highest, o.Epoch)
	if samePlace(&e.order, o) {
		return true
	}
	e.order = *o
	e.breakRuns()
	e.cache.clear()
	e.reload()
	e.wake()
	return true
}

func samePlace(a, b *report.Order) bool {
	return a.Replica == b.Replica && a.Epoch == b.Epoch && a.Rank == b.Rank && a.Model == b.Model &&
		a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Members, b.Members) && a.Role == b.Role
}

// reload starts to load the weights. The caller holds the lock.
func (e *Engine) reload() {
	now := e.clk.Now()
	start := now
	if e.downUntil.After(now) {
		start = e.downUntil
	}
	e.loadedAt = start.Add(e.options.LoadTime)
	e.coldUntil = e.loadedAt.Add(e.options.ColdTime)
	e.served = 0
	e.peers = make(map[string]peer)
}

// crash drops everything that runs and loads again. With down, the engine
// is also out of reach for a time.
func (e *Engine) crash(down bool) {
	now := e.clk.Now()
	if down {
		e.downUntil = now.Add(e.options.CrashTime)
	}
	e.boot++
	e.sequence = 0
	for r := range e.running {
		_ = r.conn.Close()
	}
	for _, r := range e.waiting {
		_ = r.conn.Close()
	}
	e.breakRuns()
	e.cache.clear()
	e.reload()
}

// ready reports whether the weights are loaded and every other member is in
// contact, with the same replica and epoch.
func (e *Engine) ready() bool {
	return e.loaded() && e.all(func(p peer) bool { return p.contact })
}

// serving reports whether requests are taken: by rank 0, if every other member
// was ready too.
func (e *Engine) serving() bool {
	return e.order.Rank == 0 && e.loaded() && e.all(func(p peer) bool { return p.contact && p.ready })
}

func (e *Engine) loaded() bool {
	now := e.clk.Now()
	return e.order.Replica != "" && !now.Before(e.loadedAt) && !now.Before(e.downUntil)
}

func (e *Engine) all(ok func(peer) bool) bool {
	for _, m := range e.order.Members {
		if m.Instance != e.options.Instance && !ok(e.peers[m.Address]) {
			return false
		}
	}
	return true
}

func (e *Engine) cold() bool {
	return e.served < e.options.ColdRequests && e.clk.Now().Before(e.coldUntil)
}

// Report returns what the engine says of itself.
func (e *Engine) Report() *report.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clk.Now()
	e.sequence++
	l := e.load.shown(now)
	return &report.Report{
		Instance:    e.options.Instance,
		Incarnation: e.boot,
		Sequence:    e.sequence,
		Placement:   e.order.Placement,
		Ready:       e.ready(),
		Cold:        e.cold(),
		Running:     l.running,
		Waiting:     l.waiting,
		Cache:       e.cache.shown(now),
	}
}

// wake makes the polling of members start at once.
func (e *Engine) wake() {
	select {
	case e.poke <- struct{}{}:
	default:
	}
}

// pollMembers polls the other members until the context ends.
func (e *Engine) pollMembers(ctx context.Context) {
	for {
		timer := e.clk.NewTimer(e.options.Poll)
		select {
		case <-timer.Chan():
		case <-e.poke:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		e.mu.Lock()
		order, stopped := e.order, e.faults.Pause || e.clk.Now().Before(e.downUntil)
		e.mu.Unlock()
		if !stopped && order.Replica != "" {
			e.poll(ctx, &order)
		}
	}
}

func (e *Engine) poll(ctx context.Context, o *report.Order) {
	seen := make([]peer, len(o.Members))
	var group sync.WaitGroup
	for i, m := range o.Members {
		if m.Instance != e.options.Instance {
			group.Go(func() { seen[i] = e.ask(ctx, m, o) })
		}
	}
	group.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !samePlace(&e.order, o) {
		return
	}
	for i, m := range o.Members {
		e.peers[m.Address] = seen[i]
	}
	if !e.serving() {
		e.breakRuns()
	}
}

// ask reads a member's report over a new connection, as an old one may have
// fallen silent. The time limit is the clock's.
func (e *Engine) ask(ctx context.Context, m report.Member, o *report.Order) peer {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return peer{}
	}
	defer func() { _ = conn.Close() }()
	limit := e.clk.AfterFunc(e.options.PollLimit, func() { _ = conn.Close() })
	defer limit.Stop()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + m.Address + "/report")
	request.SetConnectionClose()
	w := bufio.NewWriter(conn)
	if request.Write(w) != nil || w.Flush() != nil || response.Read(bufio.NewReader(conn)) != nil {
		return peer{}
	}
	var r report.Report
	if json.Unmarshal(response.Body(), &r) != nil {
		return peer{}
	}
	same := r.Instance == m.Instance && r.Replica == o.Replica && r.Epoch == o.Epoch
	return peer{contact: same, ready: same && r.Ready}
}
