package forward

import (
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/balance"
	"cuminbay/internal/route/cost"
	"cuminbay/internal/route/ratelimit"
	"cuminbay/internal/serve/poison"
)

// scriptedReply is the behaviour of a fake server for one request.
type scriptedReply struct {
	// unreachable makes the send fail before anything is sent, reset afterwards.
	unreachable bool
	reset       bool
	// closed makes the send fail on a connection that was kept. New connections don't.
	closed      bool
	status      int
	disposition proxy.Disposition
	body        string
	// bodyCutOff ends the body with a connection error. silence is the time for
	// which the server sends nothing before the end of the body.
	bodyCutOff bool
	silence    time.Duration
	// then is a body that follows the silence.
	then string
	// trickle is the time between two bytes that the server sends without end after
	// the body, and flood says that it does so without a pause.
	trickle time.Duration
	flood   bool
	// length is the announced length of the body, unknown if zero.
	length int
	// limit is the limit of requests that the reply names, nil if none.
	limit *unit.RequestRate
	// retryAfter is the time for which the server wants no requests, zero if the reply
	// names none.
	retryAfter time.Duration
	// leaving says that the reply says that the server leaves.
	leaving bool
	// err is the error of a daemon that a request was passed on to.
	err error
}

// fakeSender sends the replies of each server in order and records the attempts.
type fakeSender struct {
	clock    *clockwork.FakeClock
	replies  map[ident.Instance][]scriptedReply
	attempts []*proxy.Attempt
	// serversCrashed says that servers accept no new connections.
	serversCrashed bool
}

func (s *fakeSender) AcceptsConnection(context.Context, string) bool { return !s.serversCrashed }

func (s *fakeSender) Send(ctx context.Context, a *proxy.Attempt, keepWaiting func(time.Duration) bool) (Reply, error) {
	s.attempts = append(s.attempts, a)
	replies := s.replies[a.Server]
	if len(replies) == 0 {
		return nil, code.EndpointUnreachable.New("server %s: the test has no more replies of it", a.Server)
	}
	r := replies[0]
	s.replies[a.Server] = replies[1:]
	switch {
	case r.err != nil:
		return nil, r.err
	case r.unreachable:
		return nil, code.EndpointUnreachable.New("server %s: connection refused", a.Server)
	case r.closed:
		return nil, code.ConnectionClosed.New("server %s: kept connection closed", a.Server)
	case r.reset:
		return nil, code.CutOff.New("server %s: connection reset", a.Server)
	}
	if r.status == 0 {
		r.status = 200
	}
	return &fakeReply{ctx: ctx, sender: s, server: a.Server, script: r, keepWaiting: keepWaiting}, nil
}

type fakeReply struct {
	ctx         context.Context
	sender      *fakeSender
	server      ident.Instance
	script      scriptedReply
	keepWaiting func(time.Duration) bool
	bytesRead   int
}

func (r *fakeReply) Head() *proxy.Head {
	return &proxy.Head{Status: r.script.status, Disposition: r.script.disposition, RequestLimit: r.script.limit, Leaving: r.leaving(), RetryAfter: r.script.retryAfter, Header: []proxy.Field{{Name: "Server-Mark", Value: r.script.body}}}
}

// leaving returns the server if it leaves.
func (r *fakeReply) leaving() ident.Instance {
	if r.script.leaving {
		return r.server
	}
	return ""
}

func (r *fakeReply) ContentLength() int {
	if r.script.length != 0 {
		return r.script.length
	}
	return -1
}

func (r *fakeReply) Read(b []byte) (int, error) {
	if r.bytesRead < len(r.script.body) {
		n := copy(b, r.script.body[r.bytesRead:])
		r.bytesRead += n
		return n, nil
	}
	for waited := time.Duration(0); r.script.silence > 0 && waited < r.script.silence; {
		r.sender.clock.Advance(SilenceCheckInterval)
		if waited += SilenceCheckInterval; !r.keepWaiting(waited) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	switch {
	case r.script.then != "":
		n := copy(b, r.script.then)
		r.script.silence, r.script.then = 0, r.script.then[n:]
		return n, nil
	case r.script.flood:
		for i := range b {
			b[i] = 'x'
		}
		return len(b), nil
	case r.script.trickle > 0:
		r.sender.clock.Advance(r.script.trickle)
		b[0] = 'x'
		return 1, nil
	}
	if r.script.bodyCutOff {
		return 0, errors.New("connection reset")
	}
	return 0, io.EOF
}

func (r *fakeReply) Abort() {}

func (r *fakeReply) Close() {}

// fakeSink records the answer for the caller. Its writes fail after the caller has
// disconnected.
type fakeSink struct {
	status             int
	fields             []proxy.Field
	body               []byte
	ended              bool
	aborted            bool
	callerDisconnected bool
}

func (s *fakeSink) Start(status int, fields []proxy.Field, _ int) {
	s.status, s.fields = status, fields
}
func (s *fakeSink) Started() bool { return s.status != 0 }
func (s *fakeSink) Abort()        { s.aborted = true }

func (s *fakeSink) Write(p []byte) error {
	if s.callerDisconnected {
		return io.ErrClosedPipe
	}
	s.body = append(s.body, p...)
	return nil
}

func (s *fakeSink) End(p []byte) error {
	s.ended = true
	return s.Write(p)
}

// fakeDaemons reports a count of one daemon and ignores failed endpoints.
type fakeDaemons struct{}

func (fakeDaemons) DaemonCount() int                            { return 1 }
func (fakeDaemons) DaemonPosition() (position, count int)       { return 0, 1 }
func (fakeDaemons) FleetSize() int                              { return 1 }
func (fakeDaemons) Daemons() []ident.Instance                   { return []ident.Instance{"d"} }
func (fakeDaemons) EndpointFailed(*catalog.Endpoint, code.Code) {}
func (fakeDaemons) PartsSuspected()                             {}

// fakeLinks has the state of the daemon's links.
type fakeLinks struct{ cutOff bool }

func (l *fakeLinks) CutOff() bool                   { return l.cutOff }
func (l *fakeLinks) LinksWork(context.Context) bool { return !l.cutOff }
func (*fakeLinks) Suspect(*catalog.Endpoint)        {}

// fakeRelays are daemons that reach servers.
type fakeRelays []ident.Instance

func (r fakeRelays) PickRelay(tried []ident.Instance) *catalog.Endpoint {
	for _, id := range r {
		if !slices.Contains(tried, id) {
			return &catalog.Endpoint{Server: &cluster.Server{ID: id, Address: string(id)}, Load: new(catalog.Load), IsRelay: true}
		}
	}
	return nil
}

const (
	testModel = ident.Model("m")
	engines   = ident.Service("engines")
	ledger    = ident.Service("ledger")
)

// testConfig returns a configuration with a route of each kind.
func testConfig() *cluster.Config {
	newRoute := func(kind cluster.RouteKind, prefix string, service ident.Service, attempts int) cluster.Route {
		return cluster.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 4 * time.Second, LatencyObjective: 300 * time.Millisecond,
			Targets: []cluster.Target{{Service: service, Weight: 1}}, MaxAttempts: attempts, Resumable: kind == cluster.Stream,
		}
	}
	notResumable := newRoute(cluster.Stream, "/not-resumable/", engines, 2)
	notResumable.Resumable = false
	public := newRoute(cluster.Safe, "/public/", ledger, 2)
	public.Public = true
	return &cluster.Config{
		Version: 3,
		Routes: []cluster.Route{
			newRoute(cluster.Safe, "/safe/", ledger, 2), newRoute(cluster.Unsafe, "/unsafe/", ledger, 1),
			newRoute(cluster.Stream, "/stream/", engines, 2), notResumable, public,
		},
		Services: map[ident.Service]*cluster.Service{
			ledger: {Name: ledger},
			engines: {Name: engines, Engine: &cluster.Engine{
				Slots: 8, StepTime: 6 * time.Millisecond, StepsPerPass: 7, PrefillRate: 50_000, PrefillChunk: 2048,
				Models: []cluster.Model{{Name: testModel, ServersPerReplica: 1, InitialShare: 1, TimeFactor: 1}},
			}},
		},
		Organisations: []cluster.Organisation{{Name: "o", Keys: []string{"k"}}}, KeysRequired: true,
	}
}

// testServers returns two plain servers and three engines.
func testServers() []*cluster.Server {
	newServer := func(id ident.Instance, service ident.Service) *cluster.Server {
		s := &cluster.Server{ID: id, Service: service, Address: string(id), DataCentre: "z", Incarnation: 1, Slots: 8}
		if service == engines {
			s.Membership = &cluster.Membership{Replica: ident.Replica(id), Epoch: 1, Model: testModel, State: cluster.Open}
		}
		return s
	}
	return []*cluster.Server{newServer("a", ledger), newServer("b", ledger), newServer("x", engines), newServer("y", engines), newServer("z", engines)}
}

// retryWindow is the time over which retries are counted. In the first one after the start of a
// daemon there are no base retries.
const retryWindow = 10 * time.Second

// newTestForwarder returns a forwarder to the test servers, which tries them in the order
// of their names.
func newTestForwarder(sender *fakeSender) *Forwarder {
	clk := sender.clock
	cat := catalog.New(clk)
	cat.Apply(catalog.Update{Config: testConfig(), Servers: testServers(), Synced: true})
	telemetry, err := NewTelemetry(prometheus.NewRegistry())
	if err != nil {
		panic(err)
	}
	retryBudget := balance.NewRetryBudget(balance.RetryBudgetOptions{Clock: clk, Daemons: fakeDaemons{}, Ratio: 1, BaseRetries: 100, Window: retryWindow})
	clk.Advance(retryWindow)
	return New(Options{
		Clock: clk, Log: zerolog.Nop(), Catalog: cat, Picker: firstPicker{}, Sender: sender, Self: "d", Links: new(fakeLinks), Relays: fakeRelays{}, Observer: fakeDaemons{}, Telemetry: telemetry, Copy: fakeCopy{},
		RetryBudget: retryBudget, Rules: admit.Rules{Fill: 1},
		Poison: poison.New(poison.Options{Clock: clk, Self: "d", Lifetime: time.Minute, Limit: 16}),
		Costs:  cost.New(),
		Demand: new(fakeDemand),
		Limits: ratelimit.New(ratelimit.Options{Clock: clk, Log: zerolog.Nop(), Self: "d", Daemons: fakeDaemons{}, Catalog: cat}),
		Parts:  poison.NewPartDetector(poison.PartOptions{Clock: clk, Threshold: 3, Lifetime: time.Minute, Limit: 16}),
	})
}

// fakeDemand counts what it is told.
type fakeDemand struct {
	mu                        sync.Mutex
	arrivals, refusals, waits int
	work                      time.Duration
}

func (d *fakeDemand) RecordArrival(_ ident.Service, _ ident.Model, work time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals++
	d.work += work
}

func (d *fakeDemand) RecordRefusal(ident.Service, ident.Model, unit.Priority, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusals++
}

func (d *fakeDemand) RecordWaitStart(ident.Service, ident.Model, unit.Priority) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waits++
}

func (d *fakeDemand) RecordWaitEnd(ident.Service, ident.Model, unit.Priority, time.Duration) {
}

// fakeCopy is a copy of the platform's keys with a fixed status.
type fakeCopy store.CopyStatus

func (c fakeCopy) Status() store.CopyStatus { return store.CopyStatus(c) }

// firstPicker picks the first endpoint that was not tried.
type firstPicker struct{}

func (firstPicker) Pick(_ time.Time, endpoints []*catalog.Endpoint, r balance.Request) *catalog.Endpoint {
	for _, e := range endpoints {
		wasTried := false
		for _, id := range r.Tried {
			wasTried = wasTried || id == e.ID
		}
		if !wasTried {
			return e
		}
	}
	return nil
}

// unconfiguredCatalog has no configuration.
type unconfiguredCatalog struct{ endpointCatalog }

func (unconfiguredCatalog) Current() *catalog.Snapshot {
	return catalog.New(clockwork.NewFakeClock()).Current()
}
