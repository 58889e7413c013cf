// Package platform simulates the users' platform, for tests, experiments and
// demonstrations. It serves a key-value store over the JSON API of etcd v3, and
// the list of instances. Tests can make the platform slow, stale or unavailable.
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
	// Instances is the initial list of instances.
	Instances []roster.Instance
	// InstanceLag is the delay until a change of the list of instances is visible
	// to readers.
	InstanceLag time.Duration
}

// Faults are the active faults. SetFaults replaces all of them.
type Faults struct {
	// Down is "refuse" to close the connection of every request, "hang" to
	// leave requests unanswered, or empty.
	Down string `json:"down"`
	// DelayMs delays each request before it is executed, in milliseconds.
	DelayMs int64 `json:"delayMs"`
	// LoseAnswers is the number of further writes that take effect but get no
	// answer.
	LoseAnswers int `json:"loseAnswers"`
	// StaleMs is the time in milliseconds for which reads are served from an
	// old revision: the revision at the time when the fault is set, minus
	// StaleRevisions.
	StaleMs        int64 `json:"staleMs"`
	StaleRevisions int64 `json:"staleRevisions"`
}

// Counts are the numbers of reads and writes so far and of the watches open now.
// Reads include watches and reads of the list of instances. Writes include calls
// on leases.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Platform is a simulated platform: a key-value store and a list of instances.
type Platform struct {
	*faultserver.Server
	clk      clock.Clock
	hangGate faultserver.Gate

	mu                sync.Mutex
	revision          int64
	compactedRevision int64
	data              map[string]*keyValue
	events            []event
	// changed is closed and replaced when events are appended.
	changed       chan struct{}
	leases        map[int64String]*lease
	lastLeaseID   int64String
	faults        Faults
	staleUntil    time.Time
	staleRevision int64
	counts        Counts
	instances     instanceHistory
}

// New returns a platform with an empty key-value store.
func New(o Options) *Platform {
	p := &Platform{
		clk:      o.Clock,
		revision: 1,
		data:     make(map[string]*keyValue),
		changed:  make(chan struct{}),
		leases:   make(map[int64String]*lease),
	}
	if p.clk == nil {
		p.clk = clock.Real()
	}
	p.instances = newInstanceHistory(o.Instances, o.InstanceLag)
	p.Server = faultserver.NewServer(p.Handle)
	return p
}

// Close stops the server and the timers of the leases.
func (p *Platform) Close() error {
	p.mu.Lock()
	for _, l := range p.leases {
		l.timer.Stop()
	}
	p.mu.Unlock()
	p.hangGate.SetClosed(false)
	return p.Server.Close()
}

// Counts returns the current counts.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetFaults replaces the active faults.
func (p *Platform) SetFaults(f Faults) {
	p.applyFaults(f, nil)
}

// applyFaults replaces the active faults. The exempt connection stays open.
func (p *Platform) applyFaults(f Faults, exempt *faultserver.Conn) {
	p.mu.Lock()
	p.faults = f
	p.staleUntil = p.clk.Now().Add(time.Duration(f.StaleMs) * time.Millisecond)
	p.staleRevision = max(p.revision-f.StaleRevisions, p.compactedRevision, 1)
	p.mu.Unlock()
	p.hangGate.SetClosed(f.Down == "hang")
	if f.Down == "refuse" {
		p.CloseConnectionsExcept(exempt)
	}
}

// Handle serves one HTTP request.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/faults":
		p.handleFaults(ctx)
		return
	case "/count":
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, p.Counts())
		return
	}
	conn := faultserver.ConnOf(ctx)
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Down == "refuse" || !p.hangGate.Wait(conn) || !faultserver.Delay(p.clk, conn, time.Duration(f.DelayMs)*time.Millisecond) {
		_ = conn.Close()
		return
	}
	switch {
	case path == "/instances" || strings.HasPrefix(path, "/instances/"):
		p.handleInstances(ctx, strings.TrimPrefix(strings.TrimPrefix(path, "/instances"), "/"))
	case path == "/v3/watch":
		p.handleWatch(ctx)
	default:
		p.handleCall(ctx, path)
	}
}

func (p *Platform) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := faultserver.DecodeBody(ctx, &f); err != nil {
		faultserver.WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	faultserver.WriteJSON(ctx, fasthttp.StatusOK, f)
	if !ctx.IsPut() {
		return
	}
	// The connection of this request is exempt, as the response still has to
	// be sent.
	p.applyFaults(f, faultserver.ConnOf(ctx))
}

// handleCall executes one call of the key-value store and sends the result.
func (p *Platform) handleCall(ctx *fasthttp.RequestCtx, path string) {
	p.mu.Lock()
	response, isWrite, apiErr := p.executeCall(ctx, path)
	loseAnswer := apiErr == nil && isWrite && p.faults.LoseAnswers > 0
	if loseAnswer {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	switch {
	case loseAnswer:
		_ = faultserver.ConnOf(ctx).Close()
	case apiErr != nil:
		faultserver.WriteJSON(ctx, apiErr.status, apiErr)
	default:
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, response)
	}
}

// executeCall executes a call and reports whether the call is a write, whose answer
// the fault LoseAnswers may lose. A transaction is a write only if it changed the
// store; every put, every delete and every call on a lease is a write. The caller holds
// the lock.
func (p *Platform) executeCall(ctx *fasthttp.RequestCtx, path string) (response any, isWrite bool, apiErr *apiError) {
	decodeBody := func(v any) bool {
		if err := faultserver.DecodeBody(ctx, v); err != nil {
			apiErr = newAPIError(fasthttp.StatusBadRequest, 3, err.Error())
		}
		return apiErr == nil
	}
	switch path {
	case "/v3/kv/range":
		p.counts.Reads++
		var r rangeRequest
		if decodeBody(&r) {
			response, apiErr = p.readRange(&r, true)
		}
		return response, false, apiErr
	case "/v3/kv/put":
		var r putRequest
		if decodeBody(&r) {
			response, apiErr = p.put(&r)
		}
	case "/v3/kv/deleterange":
		var r deleteRequest
		if decodeBody(&r) {
			response, apiErr = p.deleteRange(&r)
		}
	case "/v3/kv/txn":
		p.counts.Writes++
		var r txnRequest
		if decodeBody(&r) {
			response, isWrite, apiErr = p.executeTxn(&r)
		}
		return response, isWrite, apiErr
	case "/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke":
		var r leaseRequest
		if decodeBody(&r) {
			response, apiErr = p.executeLease(path, &r)
		}
	default:
		return nil, false, errUnknownPath
	}
	p.counts.Writes++
	return response, true, apiErr
}

func (p *Platform) executeLease(path string, r *leaseRequest) (any, *apiError) {
	switch path {
	case "/v3/lease/grant":
		return p.grantLease(r)
	case "/v3/lease/keepalive":
		return streamMessage{p.keepLeaseAlive(r)}, nil
	default:
		return p.revokeLease(r)
	}
}

func (p *Platform) handleWatch(ctx *fasthttp.RequestCtx) {
	var r watchRequest
	if err := faultserver.DecodeBody(ctx, &r); err != nil {
		apiErr := newAPIError(fasthttp.StatusBadRequest, 3, err.Error())
		faultserver.WriteJSON(ctx, apiErr.status, apiErr)
		return
	}
	conn := faultserver.ConnOf(ctx)
	ctx.SetContentType("application/json")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { p.watch(conn, &r, w) })
}

// watch streams the events of a key range until the connection is closed or the
// watch falls behind the compacted revision.
func (p *Platform) watch(conn *faultserver.Conn, r *watchRequest, w *bufio.Writer) {
	p.mu.Lock()
	p.counts.Reads++
	p.counts.Watches++
	nextRevision := int64(r.Create.StartRevision)
	if nextRevision <= 0 {
		nextRevision = p.revision + 1
	}
	created := watchResult{Header: p.header(), Created: true}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.counts.Watches--
		p.mu.Unlock()
	}()
	if !writeStreamMessage(w, created) {
		return
	}
	for {
		p.mu.Lock()
		changed := p.changed
		message := watchResult{Header: p.header()}
		if nextRevision <= p.compactedRevision {
			message.Canceled, message.CompactRevision = true, int64String(p.compactedRevision+1)
		} else {
			message.Events = p.eventsSince(nextRevision, r.Create.Key, r.Create.RangeEnd)
		}
		nextRevision = max(nextRevision, p.revision+1)
		p.mu.Unlock()
		if (len(message.Events) > 0 || message.Canceled) && (!p.hangGate.Wait(conn) || !writeStreamMessage(w, message) || message.Canceled) {
			return
		}
		select {
		case <-changed:
		case <-conn.Closed():
			return
		}
	}
}

// eventsSince returns the events of a key range, starting at a revision. The
// caller holds the lock.
func (p *Platform) eventsSince(fromRevision int64, key, end []byte) []event {
	var events []event
	for i := len(p.events) - 1; i >= 0 && int64(p.events[i].Kv.ModRevision) >= fromRevision; i-- {
		if inRange(string(p.events[i].Kv.Key), key, end) {
			events = append(events, p.events[i])
		}
	}
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
	return events
}

// writeStreamMessage sends a message of a watch and reports whether the write
// succeeded.
func writeStreamMessage(w *bufio.Writer, r watchResult) bool {
	if err := json.NewEncoder(w).Encode(streamMessage{r}); err != nil {
		return false
	}
	return w.Flush() == nil
}
