package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/route/table"
)

var endpointIDs = []ident.Endpoint{"r0", "r1", "r2", "s0", "s1"}

// bubbleTB hides the testing.T of a synctest bubble from rapid. Rapid would call its
// Deadline method, which is not allowed in a bubble.
type bubbleTB struct{ rapid.TB }

// checkInBubble runs a state machine in a synctest bubble. A step calls
// synctest.Wait to wait until all goroutines are blocked.
func checkInBubble(t *testing.T, check func(*rapid.T)) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, check)
	})
}

// waitAndCheck waits until all goroutines are blocked and reports violations.
func (h *harness) waitAndCheck(t *rapid.T) {
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.violations) > 0 {
		t.Fatalf("%s", h.violations)
	}
	if maxRetries := h.initialRetryBudget + len(h.exchanges)/10; h.retryCount > maxRetries {
		t.Fatalf("%d retries of %d requests, the retry budget is %d", h.retryCount, len(h.exchanges), maxRetries)
	}
}

// submitRandomRequest submits a request with a random kind, deadline and priority.
func (h *harness) submitRandomRequest(t *rapid.T) {
	requestNumber := len(h.exchanges)
	r := &work.Request{
		ID: ident.Request(fmt.Sprint(requestNumber)), Received: h.clock.Now(), Operation: work.Chat, Model: "m",
		Organisation: rapid.SampledFrom([]ident.Organisation{"o", "o", "p"}).Draw(t, "organisation"),
		Fingerprint:  ident.Fingerprint(rapid.IntRange(0, 30).Draw(t, "fingerprint")),
		Priority:     unit.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
	}
	if timeout := rapid.SampledFrom([]time.Duration{0, 0, 300 * time.Microsecond, 3 * time.Millisecond}).Draw(t, "deadline"); timeout > 0 {
		r.Deadline = h.clock.Now().Add(timeout)
	}
	switch rapid.SampledFrom([]string{"text", "text", "several choices", "get", "post", "at most once"}).Draw(t, "kind") {
	case "text":
		r.Resumable, r.Stream = true, true
	case "several choices":
		r.Stream = true
	case "get":
		r.Operation, r.Service, r.Method = work.ServiceCall, "ledger", "GET"
	case "post":
		r.Operation, r.Service, r.Method = work.ServiceCall, "ledger", "POST"
	case "at most once":
		r.Operation, r.Service, r.Method, r.AtMostOnce = work.ServiceCall, "ledger", "POST", true
		r.IdempotencyKey = ident.IdempotencyKey(rapid.SampledFrom([]string{"k", "l", "fresh" + string(r.ID)}).Draw(t, "key"))
	}
	tokens := rapid.IntRange(1, 5).Draw(t, "tokens")
	if rapid.Bool().Draw(t, "limited") {
		r.MaxTokens = unit.Tokens(tokens)
	}
	h.submitRequest(r, tokens)
}

// executeRandomCommand makes one of the waiting attempts send chunks, complete or fail.
func (h *harness) executeRandomCommand(t *rapid.T) {
	waiting := h.waitingAttempts()
	if len(waiting) == 0 {
		t.Skip()
	}
	a := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "attempt")]
	id := a.endpoint.ID
	c := command{ran: true, chunks: rapid.IntRange(0, 4).Draw(t, "chunks")}
	behaviour := rapid.SampledFrom([]string{"complete", "chunks", "cut off", "foreign answer", "misdirected", "overloaded", "unreachable", "rejected", "failed", "crash"}).Draw(t, "behaviour")
	switch behaviour {
	case "complete":
		c.complete = true
	case "chunks":
		c.keepOpen = true
	case "cut off":
		c.headOnly, c.failure = true, code.CutOff.New("endpoint %s", id)
	case "crash":
		c.failure = code.CutOff.New("endpoint %s", id)
	case "foreign answer":
		c.failure = code.ForeignAnswer.New("endpoint %s", id)
	case "misdirected":
		c = notRun(a, code.WithOutcome(code.ForeignAnswer.New("endpoint %s", id), code.NotRun))
	case "overloaded":
		c = notRun(a, code.Overloaded.New("endpoint %s", id))
	case "unreachable":
		c = notRun(a, code.EndpointUnreachable.New("endpoint %s", id))
	case "rejected":
		c = notRun(a, code.EndpointRejected.New("endpoint %s", id))
	case "failed":
		c.chunks, c.failure = 0, code.EndpointFailed.New("endpoint %s", id)
	}
	h.withLock(func() { h.unhealthy[id] = h.unhealthy[id] || behaviour == "crash" })
	a.commands <- c
}

// notRun returns a command that refuses the request as not run, or that cuts off the
// answer if it has started.
func notRun(a *attempt, refusal error) command {
	if a.started {
		return command{ran: true, failure: code.CutOff.New("endpoint %s", a.endpoint.ID)}
	}
	return command{failure: refusal}
}

// changeRandomEndpoint adds or removes an endpoint, gives it a new epoch, turns it
// cold or warm, sets its cold grant, or makes it healthy again.
func (h *harness) changeRandomEndpoint(t *rapid.T) {
	id := rapid.SampledFrom(endpointIDs).Draw(t, "endpoint")
	e, exists := h.endpoints[id]
	switch action := rapid.SampledFrom([]string{"remove", "new epoch", "cold or warm", "cold grant", "healthy"}).Draw(t, "change"); {
	case action == "healthy":
		h.withLock(func() { h.unhealthy[id] = false })
	case !exists:
		h.addEndpoint(id)
	case action == "remove":
		h.withLock(func() { delete(h.endpoints, id) })
	case action == "new epoch":
		e.Epoch++
		h.setEndpoint(e)
	case action == "cold or warm":
		e.Cold = !e.Cold
		h.setEndpoint(e)
	case action == "cold grant":
		h.setColdGrant(id, coldGrant{unit.Requests(rapid.IntRange(0, 2).Draw(t, "granted")), h.clock.Now().Add(2 * time.Millisecond)})
	}
	h.publishEndpoints()
}

func (h *harness) addEndpoint(id ident.Endpoint) {
	e := table.Endpoint{ID: id, Address: string(id), Protocol: table.Engine, Replica: ident.Replica(id), Epoch: 1, Models: []ident.Model{"m"}, Limit: 2}
	if id[0] == 's' {
		e.Protocol, e.Replica, e.Models, e.Service = table.Service, "", nil, "ledger"
	}
	h.setEndpoint(e)
	h.publishEndpoints()
	h.setColdGrant(id, coldGrant{})
}

// drainAndCheck drains the dispatcher and ends every request.
func (h *harness) drainAndCheck(t *rapid.T) {
	drained := make(chan unit.Requests, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { drained <- h.dispatcher.Drain(ctx) }()
	h.waitAndCheck(t)
	late := h.submitRequest(&work.Request{ID: "late", Organisation: "o", Operation: work.Chat, Model: "m"}, 1)
	h.waitAndCheck(t)
	if code.Of(late.err) != code.Draining {
		t.Fatalf("a request after the start of the drain got %v, want code.Draining", late.err)
	}
	for h.dispatcher.InFlight() > 0 {
		if len(drained) > 0 {
			t.Fatalf("the drain ended with %d requests in flight", h.dispatcher.InFlight())
		}
		if waiting := h.waitingAttempts(); len(waiting) > 0 {
			waiting[0].commands <- command{complete: true}
		} else {
			h.advanceClock(100 * time.Microsecond)
		}
		h.waitAndCheck(t)
	}
	h.advanceClock(20 * time.Millisecond)
	h.waitAndCheck(t)
	if len(drained) != 1 || <-drained != 0 {
		t.Fatalf("the drain has not ended although no request is in flight")
	}
	for _, id := range endpointIDs {
		if inFlight := h.dispatcher.InFlightTo(id); inFlight != 0 {
			t.Fatalf("endpoint %s: %d slots are not released", id, inFlight)
		}
	}
	for _, ex := range h.exchanges {
		if !ex.ended {
			t.Fatalf("request %s has not ended", ex.request.ID)
		}
	}
}

// TestDispatcherStateMachine guards against the answer of another request, a wrong
// outcome not-run, a second run of a request that must not run twice, more slots than
// an endpoint's limit, slots that are not released, and a drain that ends early or
// admits requests.
func TestDispatcherStateMachine(t *testing.T) {
	checkInBubble(t, func(rt *rapid.T) {
		h := newHarness()
		h.initialRetryBudget = rapid.SampledFrom([]int{0, 1, 3, 20}).Draw(rt, "budget")
		for range 20 - h.initialRetryBudget {
			h.dispatcher.retryBudget.AllowRetry()
		}
		defer h.close()
		for _, id := range endpointIDs {
			h.addEndpoint(id)
		}
		// One sequence of steps is too short to use up the retry budget.
		for range 3 {
			rt.Repeat(map[string]func(*rapid.T){
				"request":          h.submitRandomRequest,
				"request2":         h.submitRandomRequest,
				"endpoint acts":    h.executeRandomCommand,
				"endpoint acts2":   h.executeRandomCommand,
				"endpoint changes": h.changeRandomEndpoint,
				"wait": func(t *rapid.T) {
					h.advanceClock(time.Duration(rapid.IntRange(1, 1500).Draw(t, "time")) * time.Microsecond)
				},
				"expire claims": func(t *rapid.T) {
					expire := rapid.IntRange(0, 3).Draw(t, "expired") == 0
					h.withLock(func() { h.claimsExpired = expire })
				},
				"caller disconnects": h.disconnectRandomCaller,
				"":                   h.waitAndCheck,
			})
		}
		h.drainAndCheck(rt)
	})
}

// disconnectRandomCaller closes the connection of one caller. The daemon detects this
// at once or with its next write.
func (h *harness) disconnectRandomCaller(t *rapid.T) {
	if len(h.exchanges) == 0 {
		t.Skip()
	}
	ex := h.exchanges[rapid.IntRange(0, len(h.exchanges)-1).Draw(t, "request")]
	h.withLock(func() { ex.callerDisconnected = true })
	if rapid.Bool().Draw(t, "noticed") {
		ex.cancel()
	}
}

// close ends the requests that a failed check has left in flight.
func (h *harness) close() {
	close(h.stop)
	for _, ex := range h.exchanges {
		ex.cancel()
	}
	h.advanceClock(10 * time.Millisecond)
	synctest.Wait()
}
