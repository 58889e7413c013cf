// Package platform is the stand-in of the user's platform: a key-value
// service by the published etcd v3 JSON protocol, and a list of instances.
package platform

import (
	"bufio"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/roster"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/standin/faultserver"
)

// Options configure a platform.
type Options struct {
	Clock clock.Clock
	// Roster is the first list of instances.
	Roster []roster.Instance
	// Lag is how late changes show in the list of instances.
	Lag time.Duration
}

// Faults are the faults in effect. Setting them replaces all.
type Faults struct {
	// Down is "refuse" to cut the connection of every request, "hang" to
	// leave requests without an answer, or empty.
	Down string `json:"down"`
	// DelayMs delays each request before it takes effect.
	DelayMs int64 `json:"delayMs"`
	// LoseAnswers is how many further writes take effect without an answer.
	LoseAnswers int `json:"loseAnswers"`
	// StaleMs is how long reads answer from the revision that is
	// StaleRevisions before the one at which the fault was set.
	StaleMs        int64 `json:"staleMs"`
	StaleRevisions int64 `json:"staleRevisions"`
}

// Counts are the calls so far and the watches that wait now.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Platform is a key-value service with a list of instances.
type Platform struct {
	*faultserver.Server
	clk  clock.Clock
	gate faultserver.Gate

	mu            sync.Mutex
	revision      int64
	compacted     int64
	data          map[string]*keyValue
	events        []event
	changed       chan struct{}
	leases        map[int64Text]*lease
	lastLease     int64Text
	faults        Faults
	staleUntil    time.Time
	staleRevision int64
	counts        Counts
	list          instances
}

// New returns a platform.
func New(o Options) *Platform {
	p := &Platform{
		clk:      o.Clock,
		revision: 1,
		data:     make(map[string]*keyValue),
		changed:  make(chan struct{}),
		leases:   make(map[int64Text]*lease),
	}
	if p.clk == nil {
		p.clk = clock.Real()
	}
	p.list = newInstances(o.Roster, o.Lag)
	p.Server = faultserver.NewServer(p.Handle)
	return p
}

// Close stops serving and ends the leases' timers.
func (p *Platform) Close() error {
	p.mu.Lock()
	for _, l := range p.leases {
		l.timer.Stop()
	}
	p.mu.Unlock()
	p.gate.Set(false)
	return p.Server.Close()
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetFaults replaces the faults in effect.
func (p *Platform) SetFaults(f Faults) {
	p.set(f, nil)
}

func (p *Platform) set(f Faults, except *faultserver.Conn) {
	p.mu.Lock()
	p.faults = f
	p.staleUntil = p.clk.Now().Add(time.Duration(f.StaleMs) * time.Millisecond)
	p.staleRevision = max(p.revision-f.StaleRevisions, p.compacted, 1)
	p.mu.Unlock()
	p.gate.Set(f.Down == "hang")
	if f.Down == "refuse" {
		p.CutOthers(except)
	}
}

// Handle answers one request.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/faults":
		p.answerFaults(ctx)
		return
	case "/count":
		faultserver.Answer(ctx, fasthttp.StatusOK, p.Counts())
		return
	}
	conn := faultserver.Of(ctx)
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Down == "refuse" || !p.gate.Wait(conn) || !faultserver.Hold(p.clk, conn, time.Duration(f.DelayMs)*time.Millisecond) {
		_ = conn.Close()
		return
	}
	switch {
	case path == "/instances" || strings.HasPrefix(path, "/instances/"):
		p.answerInstances(ctx, strings.TrimPrefix(strings.TrimPrefix(path, "/instances"), "/"))
	case path == "/v3/watch":
		p.answerWatch(ctx)
	default:
		p.answerCall(ctx, path)
	}
}

func (p *Platform) answerFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := faultserver.Decode(ctx, &f); err != nil {
		faultserver.Refuse(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	faultserver.Answer(ctx, fasthttp.StatusOK, f)
	if !ctx.IsPut() {
		return
	}
	// The connection that asks is kept, as it still carries this answer.
	p.set(f, faultserver.Of(ctx))
}

// answerCall performs one call of the key-value service.
func (p *Platform) answerCall(ctx *fasthttp.RequestCtx, path string) {
	p.mu.Lock()
	answer, write, f := p.call(ctx, path)
	lost := f == nil && write && p.faults.LoseAnswers > 0
	if lost {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	switch {
	case lost:
		_ = faultserver.Of(ctx).Close()
	case f != nil:
		faultserver.Answer(ctx, f.status, f)
	default:
		faultserver.Answer(ctx, fasthttp.StatusOK, answer)
	}
}

// call performs a call under the lock and reports whether it took effect as a
// write. Calls on leases count as writes.
func (p *Platform) call(ctx *fasthttp.RequestCtx, path string) (answer any, write bool, f *fault) {
	decode := func(v any) bool {
		if err := faultserver.Decode(ctx, v); err != nil {
			f = newFault(fasthttp.StatusBadRequest, 3, err.Error())
		}
		return f == nil
	}
	switch path {
	case "/v3/kv/range":
		p.counts.Reads++
		var r rangeRequest
		if decode(&r) {
			answer, f = p.read(&r, true)
		}
		return answer, false, f
	case "/v3/kv/put":
		var r putRequest
		if decode(&r) {
			answer, f = p.put(&r)
		}
	case "/v3/kv/deleterange":
		var r deleteRequest
		if decode(&r) {
			answer, f = p.remove(&r)
		}
	case "/v3/kv/txn":
		p.counts.Writes++
		var r txnRequest
		if decode(&r) {
			answer, write, f = p.txn(&r)
		}
		return answer, write, f
	case "/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke":
		var r leaseRequest
		if decode(&r) {
			answer, f = p.callLease(path, &r)
		}
	default:
		return nil, false, errNoPath
	}
	p.counts.Writes++
	return answer, true, f
}

func (p *Platform) callLease(path string, r *leaseRequest) (any, *fault) {
	switch path {
	case "/v3/lease/grant":
		return p.grant(r)
	case "/v3/lease/keepalive":
		return result{p.keepAlive(r)}, nil
	default:
		return p.revoke(r)
	}
}

func (p *Platform) answerWatch(ctx *fasthttp.RequestCtx) {
	var r watchRequest
	if err := faultserver.Decode(ctx, &r); err != nil {
		f := newFault(fasthttp.StatusBadRequest, 3, err.Error())
		faultserver.Answer(ctx, f.status, f)
		return
	}
	conn := faultserver.Of(ctx)
	ctx.SetContentType("application/json")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { p.watch(conn, &r, w) })
}

func (p *Platform) watch(conn *faultserver.Conn, r *watchRequest, w *bufio.Writer) {
	p.mu.Lock()
	p.counts.Reads++
	p.counts.Watches++
	next := int64(r.Create.StartRevision)
	if next <= 0 {
		next = p.revision + 1
	}
	first := watchResult{Header: p.header(), Created: true}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.counts.Watches--
		p.mu.Unlock()
	}()
	if !send(w, first) {
		return
	}
	for {
		p.mu.Lock()
		changed := p.changed
		out := watchResult{Header: p.header()}
		if next <= p.compacted {
			out.Canceled, out.CompactRevision = true, int64Text(p.compacted+1)
		} else {
			out.Events = p.since(next, r.Create.Key, r.Create.RangeEnd)
		}
		next = max(next, p.revision+1)
		p.mu.Unlock()
		if (len(out.Events) > 0 || out.Canceled) && (!p.gate.Wait(conn) || !send(w, out) || out.Canceled) {
			return
		}
		select {
		case <-changed:
		case <-conn.Closed():
			return
		}
	}
}

// since returns the events of a range from a revision on.
func (p *Platform) since(from int64, key, end []byte) []event {
	var events []event
	for i := len(p.events) - 1; i >= 0 && int64(p.events[i].Kv.ModRevision) >= from; i-- {
		if within(string(p.events[i].Kv.Key), key, end) {
			events = append(events, p.events[i])
		}
	}
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
	return events
}

func send(w *bufio.Writer, r watchResult) bool {
	if err := json.NewEncoder(w).Encode(result{r}); err != nil {
		return false
	}
	return w.Flush() == nil
}
