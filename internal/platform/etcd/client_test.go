package etcd_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/platform/etcd"
	"cuminbay/internal/standin/faultserver"
)

// fakeServer is a platform with one key, whose faults a test switches on.
type fakeServer struct {
	address string

	mu       sync.Mutex
	value    []byte
	revision int
	status   int
	// loseResponses closes the connection after a request has taken effect.
	loseResponses bool
	calls         atomic.Int64
	// messages are sent on a watch; closing the channel ends the stream.
	messages chan string
}

func newFakeServer(c *qt.C, value string, revision int) *fakeServer {
	f := &fakeServer{value: []byte(value), revision: revision, messages: make(chan string)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f.address = listener.Addr().String()
	// The cleaner of the worker pool checks for the shutdown at this interval.
	server := &fasthttp.Server{Handler: f.handle, MaxIdleWorkerDuration: 10 * time.Millisecond}
	accepting, served := make(chan struct{}), make(chan error, 1)
	go func() { served <- server.Serve(&signallingListener{Listener: listener, accepting: accepting}) }()
	c.Cleanup(func() {
		// Shutdown does nothing before Serve has taken the listener.
		<-accepting
		c.Check(server.Shutdown(), qt.IsNil)
		c.Check(<-served, qt.IsNil)
	})
	return f
}

// signallingListener closes accepting when Accept is called first.
type signallingListener struct {
	net.Listener
	once      sync.Once
	accepting chan struct{}
}

func (l *signallingListener) Accept() (net.Conn, error) {
	l.once.Do(func() { close(l.accepting) })
	return l.Listener.Accept()
}

func (f *fakeServer) handle(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls.Add(1)
	if f.status != 0 {
		ctx.Error("refused", f.status)
		return
	}
	switch string(ctx.Path()) {
	case "/v3/kv/range":
		_, _ = fmt.Fprintf(ctx, `{"header":{"revision":"%d"},"kvs":%s}`, f.revision, f.kvs())
	case "/v3/kv/txn":
		f.txn(ctx)
	case "/v3/lease/grant":
		_, _ = fmt.Fprint(ctx, `{"header":{"revision":"1"},"ID":"77","TTL":"3"}`)
	case "/v3/lease/keepalive":
		_, _ = fmt.Fprint(ctx, `{"result":{"header":{"revision":"1"},"ID":"77"}}`)
	case "/v3/lease/revoke":
		ctx.Error(`{"code":5}`, fasthttp.StatusNotFound)
	case "/v3/watch":
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for m := range f.messages {
				_, _ = w.WriteString(m)
				if w.Flush() != nil {
					return
				}
			}
		})
	}
	if f.loseResponses {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

func (f *fakeServer) kvs() string {
	if f.value == nil {
		return "[]"
	}
	raw, _ := json.Marshal(f.value)
	return fmt.Sprintf(`[{"key":"aw==","mod_revision":"%d","value":%s}]`, f.revision, raw)
}

func (f *fakeServer) txn(ctx *fasthttp.RequestCtx) {
	var r struct {
		Compare []struct {
			Target, Result string
			ModRevision    string `json:"mod_revision"`
		}
		Success []struct {
			RequestPut struct{ Value []byte }
		}
		Failure []struct {
			RequestRange struct{ Key []byte }
		}
	}
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.Compare[0].Target != "MOD" || string(r.Failure[0].RequestRange.Key) != "k" {
		ctx.Error("bad request", fasthttp.StatusBadRequest)
		return
	}
	if r.Compare[0].ModRevision == fmt.Sprint(f.revision) {
		f.revision, f.value = f.revision+1, r.Success[0].RequestPut.Value
		_, _ = fmt.Fprintf(ctx, `{"header":{"revision":"%d"},"succeeded":true,"responses":[{"response_put":{}}]}`, f.revision)
		return
	}
	_, _ = fmt.Fprintf(ctx, `{"header":{"revision":"%d"},"responses":[{"response_range":{"kvs":%s}}]}`, f.revision, f.kvs())
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

func newClient(clk clock.Clock, addresses ...string) *etcd.Client {
	return etcd.New(etcd.Options{Addresses: addresses, Clock: clk, Timeout: 2 * time.Second, WatchIdle: 10 * time.Second, MaxResponse: 1 << 20})
}

// TestSwap guards against a write that is sent again although it may have taken
// effect, and against reporting a write with an unknown result as applied or not run.
func TestSwap(t *testing.T) {
	tests := map[string]struct {
		expected         unit.Revision
		status           int
		loseResponse     bool
		firstUnreachable bool
		want             store.SwapResult
		outcome          code.Outcome
		entry            store.Entry
		secondCalls      int64
	}{
		"applied":                           {expected: 5, want: store.Applied, entry: store.Entry{Key: "k", Value: []byte("new"), Revision: 6}},
		"conflict":                          {expected: 4, want: store.Conflict, entry: store.Entry{Key: "k", Value: []byte("old"), Revision: 5}},
		"response lost":                     {expected: 5, loseResponse: true, want: store.Unknown, outcome: code.Unknown},
		"server error":                      {expected: 5, status: 503, want: store.Unknown, outcome: code.Unknown},
		"refused by the server":             {expected: 5, status: 400, want: store.Unknown, outcome: code.NotRun},
		"first address refuses connections": {expected: 5, firstUnreachable: true, want: store.Applied, entry: store.Entry{Key: "k", Value: []byte("new"), Revision: 6}, secondCalls: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			first, second := newFakeServer(c, "old", 5), newFakeServer(c, "old", 5)
			first.status, first.loseResponses = test.status, test.loseResponse
			address := first.address
			if test.firstUnreachable {
				address = unusedAddress(c)
			}
			client := newClient(clock.Real(), address, second.address)
			entry, result, err := client.Swap(context.Background(), store.Swap{Key: "k", ExpectedRevision: test.expected, Value: []byte("new")})
			c.Assert(result, qt.Equals, test.want)
			c.Assert(entry, qt.DeepEquals, test.entry)
			c.Assert(second.calls.Load(), qt.Equals, test.secondCalls)
			if test.want == store.Unknown {
				c.Assert(code.Of(err), qt.Equals, code.PlatformUnavailable)
				c.Assert(code.OutcomeOf(err), qt.Equals, test.outcome)
				c.Assert(first.calls.Load(), qt.Equals, int64(1))
			}
		})
	}
}

// TestRead guards against accepting a stale response as current, and
// against a read that fails although only one of several addresses fails.
func TestRead(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	first, second := newFakeServer(c, "nine", 9), newFakeServer(c, "seven", 7)
	client := newClient(clock.Real(), unusedAddress(c), first.address, second.address)

	entries, revision, err := client.List(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, unit.Revision(9))
	c.Assert(entries, qt.DeepEquals, []store.Entry{{Key: "k", Value: []byte("nine"), Revision: 9}})

	first.mu.Lock()
	first.status = 503
	first.mu.Unlock()
	_, revision, err = client.List(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, unit.Revision(7))
	c.Assert(client.HighestRevision(), qt.Equals, unit.Revision(9))
	_, err = client.Get(ctx, "k")
	c.Assert(code.Of(err), qt.Equals, code.PlatformUnavailable)
	c.Assert(client.StaleResponses(), qt.Equals, int64(2))

	second.mu.Lock()
	second.revision, second.value = 12, nil
	second.mu.Unlock()
	entry, err := client.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(entry, qt.DeepEquals, store.Entry{Key: "k"})
}

// TestMalformedHead guards against a response that counts although its head is malformed: a read that finds
// nothing, a swap with a known result, or a watch that is open.
func TestMalformedHead(t *testing.T) {
	const body = `{"header":{"revision":"9"}}`
	tests := map[string]string{
		"status 000":           "HTTP/1.1 000 X\r\n",
		"name with a blank":    "HTTP/1.1 200 OK\r\nA B: c\r\n",
		"blank before a colon": "HTTP/1.1 200 OK\r\nAb : c\r\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, err := faultserver.ServeRaw(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
			c.Assert(err, qt.IsNil)
			defer server.Close() //nolint:errcheck // the end of the test
			ctx := context.Background()
			client := newClient(clock.Real(), server.Addr().String())
			_, _, err = client.List(ctx, "k")
			c.Check(code.Of(err), qt.Equals, code.PlatformUnavailable)
			_, result, err := client.Swap(ctx, store.Swap{Key: "k", ExpectedRevision: 5, Value: []byte("new")})
			c.Check(result, qt.Equals, store.Unknown)
			c.Check(code.OutcomeOf(err), qt.Equals, code.Unknown)
			c.Check(err, qt.ErrorMatches, "(?s).*malformed head.*")
			err = client.Watch(ctx, "k", 5, func([]store.Change, unit.Revision) { c.Error("the watch is open") })
			c.Check(code.Of(err), qt.Equals, code.PlatformUnavailable)
		})
	}
}

// TestLease guards against treating an expired lease as valid.
func TestLease(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client := newClient(clock.Real(), newFakeServer(c, "", 1).address)
	id, err := client.Grant(ctx, 2500*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(id, qt.Equals, store.LeaseID(77))
	remaining, err := client.KeepAlive(ctx, id)
	c.Assert(err, qt.IsNil)
	c.Assert(remaining, qt.Equals, time.Duration(0))
	c.Assert(client.Revoke(ctx, id), qt.IsNil)
}

// TestWatch guards against a watch that ends without an error when its stream ends or
// is cancelled, and against a watch that does not return after WatchIdle without a
// message.
func TestWatch(t *testing.T) {
	events := `{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"aw==","value":"dg==","mod_revision":"7"}},{"type":"DELETE","kv":{"key":"aw==","mod_revision":"8"}}]}}`
	tests := map[string]struct {
		lastMessage string
		finish      func(f *fakeServer, clk *clockwork.FakeClock, cancel func())
		want        string
	}{
		"stream ends": {finish: func(f *fakeServer, _ *clockwork.FakeClock, _ func()) { close(f.messages) }, want: ".*stream ended.*"},
		"cancelled":   {lastMessage: `{"result":{"canceled":true,"compact_revision":"8"}}`, want: ".*compacted to 8.*"},
		"error":       {lastMessage: `{"error":{"message":"no leader"}}`, want: ".*no leader.*"},
		"not JSON":    {lastMessage: `<html>`, want: ".*invalid character.*"},
		"silent":      {finish: func(_ *fakeServer, clk *clockwork.FakeClock, _ func()) { clk.Advance(10 * time.Second) }},
		"context":     {finish: func(_ *fakeServer, _ *clockwork.FakeClock, cancel func()) { cancel() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			// This cleanup is registered first, so that it runs after the
			// fake server has stopped.
			leaks := goleak.IgnoreCurrent()
			c.Cleanup(func() {
				goleak.VerifyNone(t, leaks, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
			})
			clk := clockwork.NewFakeClock()
			f := newFakeServer(c, "", 1)
			client := newClient(clk, f.address)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			type emitted struct {
				Changes  []store.Change
				Revision unit.Revision
			}
			emissions, done := make(chan emitted), make(chan error, 1)
			go func() {
				done <- client.Watch(ctx, "k", 5, func(ch []store.Change, r unit.Revision) { emissions <- emitted{ch, r} })
			}()
			f.messages <- `{"result":{"header":{"revision":"9"},"created":true}}`
			c.Assert(<-emissions, qt.DeepEquals, emitted{[]store.Change{}, 5})
			// The two advances of the clock together exceed WatchIdle, so
			// the message between them has to restart the timer.
			clk.Advance(6 * time.Second)
			f.messages <- events
			c.Assert(<-emissions, qt.DeepEquals, emitted{[]store.Change{
				{Entry: store.Entry{Key: "k", Value: []byte("v"), Revision: 7}},
				{Entry: store.Entry{Key: "k", Revision: 8}, Removed: true},
			}, 8})
			clk.Advance(6 * time.Second)
			f.messages <- `{"result":{"header":{"revision":"9"}}}`
			c.Assert(<-emissions, qt.DeepEquals, emitted{[]store.Change{}, 9})
			if test.lastMessage != "" {
				f.messages <- test.lastMessage
			}
			if test.finish != nil {
				test.finish(f, clk, cancel)
			}
			err := <-done
			if name != "stream ends" {
				close(f.messages)
			}
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(code.Of(err), qt.Equals, code.PlatformUnavailable)
		})
	}
}
