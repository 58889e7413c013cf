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

var replicas = []ident.Endpoint{"r0", "r1", "r2", "s0", "s1"}

// bubbleTB hides the testing.T of a bubble from rapid, which would ask it for a
// deadline; that is not allowed there.
type bubbleTB struct{ rapid.TB }

// checkInBubble runs a step machine within a synctest bubble, whose Wait is how
// a step knows that every request waits for the next one.
func checkInBubble(t *testing.T, check func(*rapid.T)) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, check)
	})
}

// waitAndCheck waits until nothing moves and reports the violations.
func (w *harness) waitAndCheck(t *rapid.T) {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) > 0 {
		t.Fatalf("%s", w.violations)
	}
	if most := w.budget + len(w.exchanges)/10; w.retries > most {
		t.Fatalf("%d retries of %d requests, the budget is %d", w.retries, len(w.exchanges), most)
	}
}

// arrive lets a caller send a request of a random kind.
func (w *harness) arrive(t *rapid.T) {
	n := len(w.exchanges)
	r := &work.Request{
		ID: ident.Request(fmt.Sprint(n)), Received: w.clock.Now(), Operation: work.Chat, Model: "m",
		Organisation: rapid.SampledFrom([]ident.Organisation{"o", "o", "p"}).Draw(t, "organisation"),
		Fingerprint:  ident.Fingerprint(rapid.IntRange(0, 30).Draw(t, "fingerprint")),
		Priority:     unit.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
	}
	if wait := rapid.SampledFrom([]time.Duration{0, 0, 300 * time.Microsecond, 3 * time.Millisecond}).Draw(t, "deadline"); wait > 0 {
		r.Deadline = w.clock.Now().Add(wait)
	}
	switch rapid.SampledFrom([]string{"text", "text", "choices", "get", "post", "once"}).Draw(t, "kind") {
	case "text":
		r.Resumable, r.Stream = true, true
	case "choices":
		r.Stream = true
	case "get":
		r.Operation, r.Service, r.Method = work.ServiceCall, "ledger", "GET"
	case "post":
		r.Operation, r.Service, r.Method = work.ServiceCall, "ledger", "POST"
	case "once":
		r.Operation, r.Service, r.Method, r.AtMostOnce = work.ServiceCall, "ledger", "POST", true
		r.IdempotencyKey = ident.RequestKey(rapid.SampledFrom([]string{"k", "l", "fresh" + string(r.ID)}).Draw(t, "key"))
	}
	tokens := rapid.IntRange(1, 5).Draw(t, "tokens")
	if rapid.Bool().Draw(t, "limited") {
		r.MaxTokens = unit.Tokens(tokens)
	}
	w.submit(r, tokens)
}

// endpointActs lets one endpoint act on one of its requests.
func (w *harness) endpointActs(t *rapid.T) {
	waiting := w.waiting()
	if len(waiting) == 0 {
		t.Skip()
	}
	a := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "attempt")]
	id := a.endpoint.ID
	c := command{ran: true, pieces: rapid.IntRange(0, 4).Draw(t, "pieces")}
	behaviour := rapid.SampledFrom([]string{"whole", "pieces", "torn", "crossed", "elsewhere", "overloaded", "unreachable", "rejected", "failed", "crash"}).Draw(t, "behaviour")
	switch behaviour {
	case "whole":
		c.whole = true
	case "pieces":
		c.more = true
	case "torn":
		c.headOnly, c.failure = true, code.CutOff.New("endpoint %s", id)
	case "crash":
		c.failure = code.CutOff.New("endpoint %s", id)
	case "crossed":
		c.failure = code.ForeignAnswer.New("endpoint %s", id)
	case "elsewhere":
		c = notRun(a, code.WithOutcome(code.ForeignAnswer.New("endpoint %s", id), code.NotRun))
	case "overloaded":
		c = notRun(a, code.Overloaded.New("endpoint %s", id))
	case "unreachable":
		c = notRun(a, code.EndpointUnreachable.New("endpoint %s", id))
	case "rejected":
		c = notRun(a, code.EndpointRejected.New("endpoint %s", id))
	case "failed":
		c.pieces, c.failure = 0, code.EndpointFailed.New("endpoint %s", id)
	}
	w.locked(func() { w.unhealthy[id] = w.unhealthy[id] || behaviour == "crash" })
	a.command <- c
}

// notRun refuses a request whose answer has not begun. One that has begun is
// cut off.
func notRun(a *attempt, refusal error) command {
	if a.started {
		return command{ran: true, failure: code.CutOff.New("endpoint %s", a.endpoint.ID)}
	}
	return command{failure: refusal}
}

// endpointChanges lets an endpoint leave, come back with a new epoch, turn cold or warm,
// or be granted requests.
func (w *harness) endpointChanges(t *rapid.T) {
	id := rapid.SampledFrom(replicas).Draw(t, "endpoint")
	e, in := w.endpoints[id]
	switch action := rapid.SampledFrom([]string{"leave", "epoch", "cold", "grant", "revive"}).Draw(t, "change"); {
	case action == "revive":
		w.locked(func() { w.unhealthy[id] = false })
	case !in:
		w.addEndpoint(id)
	case action == "leave":
		w.locked(func() { delete(w.endpoints, id) })
	case action == "epoch":
		e.Epoch++
		w.setEndpoint(e)
	case action == "cold":
		e.Cold = !e.Cold
		w.setEndpoint(e)
	case action == "grant":
		w.grant(id, grant{unit.Requests(rapid.IntRange(0, 2).Draw(t, "granted")), w.clock.Now().Add(2 * time.Millisecond)})
	}
	w.publish()
}

func (w *harness) addEndpoint(id ident.Endpoint) {
	e := table.Endpoint{ID: id, Address: string(id), Protocol: table.Engine, Replica: ident.Replica(id), Epoch: 1, Models: []ident.Model{"m"}, Limit: 2}
	if id[0] == 's' {
		e.Protocol, e.Replica, e.Models, e.Service = table.Service, "", nil, "ledger"
	}
	w.setEndpoint(e)
	w.publish()
	w.grant(id, grant{})
}

// drainAndCheck drains the dispatcher and ends every request.
func (w *harness) drainAndCheck(t *rapid.T) {
	drained := make(chan unit.Requests, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { drained <- w.dispatcher.Drain(ctx) }()
	w.waitAndCheck(t)
	late := w.submit(&work.Request{ID: "late", Organisation: "o", Operation: work.Chat, Model: "m"}, 1)
	w.waitAndCheck(t)
	if code.Of(late.err) != code.Draining {
		t.Fatalf("a request after the drain began got %v", late.err)
	}
	for w.dispatcher.InFlight() > 0 {
		if len(drained) > 0 {
			t.Fatalf("the drain ended with %d requests in flight", w.dispatcher.InFlight())
		}
		if waiting := w.waiting(); len(waiting) > 0 {
			waiting[0].command <- command{whole: true}
		} else {
			w.advance(100 * time.Microsecond)
		}
		w.waitAndCheck(t)
	}
	w.advance(20 * time.Millisecond)
	w.waitAndCheck(t)
	if len(drained) != 1 || <-drained != 0 {
		t.Fatalf("the drain did not end with the last request")
	}
	for _, id := range replicas {
		if n := w.dispatcher.InFlightTo(id); n != 0 {
			t.Fatalf("endpoint %s: %d places are not given back", id, n)
		}
	}
	for _, x := range w.exchanges {
		if !x.done {
			t.Fatalf("request %s has not ended", x.request.ID)
		}
	}
}

// TestRequests guards against an answer that is not the request's own, a wrong
// "not run", a second run, places beyond the bound of an endpoint or not given
// back, and a drain that ends early or lets requests in.
func TestRequests(t *testing.T) {
	checkInBubble(t, func(rt *rapid.T) {
		w := newHarness()
		w.budget = rapid.SampledFrom([]int{0, 1, 3, 20}).Draw(rt, "budget")
		for range 20 - w.budget {
			w.dispatcher.retryBudget.AllowRetry()
		}
		defer w.close()
		for _, id := range replicas {
			w.addEndpoint(id)
		}
		// One run of the steps is too short for retries to run out.
		for range 3 {
			rt.Repeat(map[string]func(*rapid.T){
				"arrive":  w.arrive,
				"arrive2": w.arrive,
				"behave":  w.endpointActs,
				"behave2": w.endpointActs,
				"change":  w.endpointChanges,
				"wait": func(t *rapid.T) {
					w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "time")) * time.Microsecond)
				},
				"expire": func(t *rapid.T) {
					expire := rapid.IntRange(0, 3).Draw(t, "expired") == 0
					w.locked(func() { w.claimsExpired = expire })
				},
				"gone": w.callerLeaves,
				"":     w.waitAndCheck,
			})
		}
		w.drainAndCheck(rt)
	})
}

// callerLeaves lets a caller leave, which the daemon notices now or with the next
// write.
func (w *harness) callerLeaves(t *rapid.T) {
	if len(w.exchanges) == 0 {
		t.Skip()
	}
	x := w.exchanges[rapid.IntRange(0, len(w.exchanges)-1).Draw(t, "request")]
	w.locked(func() { x.callerLeft = true })
	if rapid.Bool().Draw(t, "noticed") {
		x.cancel()
	}
}

// close ends what a failed check has left.
func (w *harness) close() {
	close(w.stop)
	for _, x := range w.exchanges {
		x.cancel()
	}
	w.advance(10 * time.Millisecond)
	synctest.Wait()
}
