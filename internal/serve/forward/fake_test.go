package forward

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/balance"
	"cuminbay/internal/serve/poison"
)

// fakeRun is how a fake server treats one request.
type fakeRun struct {
	// refused fails the send before anything is sent; cut fails it afterwards.
	refused bool
	reset   bool
	status  int
	verdict proxy.Disposition
	body    string
	// broken ends the body with an error, and silent with a long silence.
	broken bool
	silent time.Duration
}

// fakeSender plays the runs of each server in order and keeps the attempts.
type fakeSender struct {
	clock    *clockwork.FakeClock
	runs     map[ident.Instance][]fakeRun
	attempts []*proxy.Attempt
	// crashes says that a server that breaks off is gone.
	crashes bool
}

func (s *fakeSender) AcceptsConnection(context.Context, string) bool { return !s.crashes }

func (s *fakeSender) Send(ctx context.Context, a *proxy.Attempt, silent func(time.Duration) bool) (Reply, error) {
	s.attempts = append(s.attempts, a)
	list := s.runs[a.Server]
	if len(list) == 0 {
		return nil, code.EndpointUnreachable.New("server %s: no run left", a.Server)
	}
	r := list[0]
	s.runs[a.Server] = list[1:]
	switch {
	case r.refused:
		return nil, code.EndpointUnreachable.New("server %s: no connection", a.Server)
	case r.reset:
		return nil, code.CutOff.New("server %s: reset", a.Server)
	}
	if r.status == 0 {
		r.status = 200
	}
	return &fakeReply{ctx: ctx, sender: s, run: r, silent: silent}, nil
}

type fakeReply struct {
	ctx    context.Context
	sender *fakeSender
	run    fakeRun
	silent func(time.Duration) bool
	read   int
}

func (r *fakeReply) Head() *proxy.Head {
	return &proxy.Head{Status: r.run.status, Disposition: r.run.verdict, Header: []proxy.Field{{Name: "Server-Mark", Value: r.run.body}}}
}

func (r *fakeReply) ContentLength() int { return -1 }

func (r *fakeReply) Read(b []byte) (int, error) {
	if r.read < len(r.run.body) {
		n := copy(b, r.run.body[r.read:])
		r.read += n
		return n, nil
	}
	for waited := time.Duration(0); r.run.silent > 0 && waited < r.run.silent; {
		r.sender.clock.Advance(SilenceCheckInterval)
		if waited += SilenceCheckInterval; !r.silent(waited) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	if r.run.broken {
		return 0, errors.New("connection reset")
	}
	return 0, io.EOF
}

func (r *fakeReply) Close() {}

// fakeSink is a caller.
type fakeSink struct {
	status     int
	fields     []proxy.Field
	body       []byte
	ended      bool
	aborted    bool
	callerLeft bool
}

func (s *fakeSink) Start(status int, fields []proxy.Field, _ int) {
	s.status, s.fields = status, fields
}
func (s *fakeSink) Started() bool { return s.status != 0 }
func (s *fakeSink) Abort()        { s.aborted = true }

func (s *fakeSink) Write(p []byte) error {
	if s.callerLeft {
		return io.ErrClosedPipe
	}
	s.body = append(s.body, p...)
	return nil
}

func (s *fakeSink) End(p []byte) error {
	s.ended = true
	return s.Write(p)
}

// singleDaemon is a fleet of one daemon.
type singleDaemon struct{}

func (singleDaemon) DaemonCount() int                            { return 1 }
func (singleDaemon) EndpointFailed(*catalog.Endpoint, code.Code) {}

const (
	testModel = ident.Model("m")
	engines   = ident.Service("engines")
	ledger    = ident.Service("ledger")
)

// testConfig has a route of each kind.
func testConfig() *cluster.Config {
	route := func(kind cluster.RouteKind, prefix string, service ident.Service, attempts int) cluster.Route {
		return cluster.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 4 * time.Second, LatencyObjective: 300 * time.Millisecond,
			Targets: []cluster.Target{{Service: service, Weight: 1}}, MaxAttempts: attempts, Resumable: kind == cluster.Stream,
		}
	}
	once := route(cluster.Stream, "/once/", engines, 2)
	once.Resumable = false
	open := route(cluster.Safe, "/open/", ledger, 2)
	open.Public = true
	return &cluster.Config{
		Version: 3,
		Routes: []cluster.Route{
			route(cluster.Safe, "/safe/", ledger, 2), route(cluster.Unsafe, "/unsafe/", ledger, 1),
			route(cluster.Stream, "/stream/", engines, 2), once, open,
		},
		Services: map[ident.Service]*cluster.Service{
			ledger: {Name: ledger},
			engines: {Name: engines, Engine: &cluster.Engine{
				Slots: 8, StepTime: 6 * time.Millisecond, StepsPerPass: 7, PrefillRate: 50_000, PrefillChunk: 2048,
				Models: []cluster.Model{{Name: testModel, ServersPerReplica: 1, InitialShare: 1, TimeFactor: 1}},
			}},
		},
		Organisations: []cluster.Organisation{{Name: "o", Keys: []string{"k"}}},
	}
}

// testServers are two of each service.
func testServers() []*cluster.Server {
	server := func(id ident.Instance, s ident.Service) *cluster.Server {
		v := &cluster.Server{ID: id, Service: s, Address: string(id), DataCentre: "z", Slots: 8}
		if s == engines {
			v.Membership = &cluster.Membership{Replica: ident.Replica(id), Epoch: 1, Model: testModel, State: cluster.Open}
		}
		return v
	}
	return []*cluster.Server{server("a", ledger), server("b", ledger), server("x", engines), server("y", engines)}
}

// newForwarder returns a forwarder before the servers, the first of which in the
// order of their names is always tried first.
func newForwarder(sender *fakeSender) *Forwarder {
	clk := sender.clock
	cat := catalog.New(clk)
	cat.Apply(catalog.Update{Config: testConfig(), Servers: testServers(), Synced: true})
	telemetry, err := NewTelemetry(prometheus.NewRegistry())
	if err != nil {
		panic(err)
	}
	return New(Options{
		Clock: clk, Log: zerolog.Nop(), Catalog: cat, Picker: firstPicker{}, Sender: sender, Observer: singleDaemon{}, Telemetry: telemetry,
		Budget: balance.NewRetryBudget(balance.RetryBudgetOptions{Clock: clk, Fleet: singleDaemon{}, Ratio: 1, BaseRetries: 100, Window: 10 * time.Second}),
		Poison: poison.New(poison.Options{Clock: clk, Self: "d", Lifetime: time.Minute, Limit: 16}),
	})
}

// firstPicker picks the first endpoint that was not tried.
type firstPicker struct{}

func (firstPicker) Pick(_ time.Time, list []*catalog.Endpoint, tried []ident.Instance) *catalog.Endpoint {
	for _, e := range list {
		seen := false
		for _, id := range tried {
			seen = seen || id == e.ID
		}
		if !seen {
			return e
		}
	}
	return nil
}

// emptyCatalog knows nothing yet.
type emptyCatalog struct{}

func (emptyCatalog) Current() *catalog.Snapshot {
	return catalog.New(clockwork.NewFakeClock()).Current()
}
