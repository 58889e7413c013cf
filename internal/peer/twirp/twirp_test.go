package twirp

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/member"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/kernel/timeline"
)

// fakeSection keeps one text; the longer one wins. It refuses "bad".
type fakeSection struct {
	name   string
	global bool
	mu     sync.Mutex
	text   string
}

func (f *fakeSection) Section() string { return f.name }
func (f *fakeSection) Global() bool    { return f.global }

func (f *fakeSection) get() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text
}

func (f *fakeSection) Digest() []byte { return []byte(f.get()) }

func (f *fakeSection) Delta(digest []byte) []byte {
	if text := f.get(); len(text) > len(digest) {
		return []byte(text)
	}
	return nil
}

func (f *fakeSection) Merge(_ ident.Instance, delta []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if string(delta) == "bad" {
		return errors.New("bad delta")
	}
	f.text = string(delta)
	return nil
}

// fakeMembers is a fixed list that records direct contact.
type fakeMembers struct {
	peers []member.Peer
	mu    sync.Mutex
	heard map[ident.Instance]int
}

func (f *fakeMembers) Self() ident.Instance { return "" }
func (f *fakeMembers) Peers() []member.Peer { return f.peers }
func (f *fakeMembers) RecordContact(id ident.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[id]++
}

// echo answers with what it was asked, or with an error for an empty question.
type echo struct{}

func (echo) Topic() string { return "echo" }

func (echo) Answer(_ context.Context, from ident.Instance, body []byte) ([]byte, error) {
	if len(body) == 0 {
		return nil, code.Overloaded.New("nothing asked")
	}
	return []byte(string(from) + ":" + string(body)), nil
}

// start runs a plug-in whose loop makes its first round only; the clock stands
// still.
func start(c *qt.C, name, dataCentre string, members *fakeMembers, provided ...any) *Plugin {
	p := build(c, name, dataCentre, members, provided...)
	c.Assert(p.Start(context.Background()), qt.IsNil)
	return p
}

// build returns a plug-in that is not started.
func build(c *qt.C, name, dataCentre string, members *fakeMembers, provided ...any) *Plugin {
	clk := clockwork.NewFakeClock()
	d := &plugin.Deps{Settings: &settings.Settings{}, Clock: clk, Log: zerolog.Nop(), Metrics: prometheus.NewRegistry()}
	d.Settings.Daemon.Instance, d.Settings.Daemon.DataCentre = ident.Instance(name), ident.DataCentre(dataCentre)
	d.Timeline = timeline.NewRecorder(timeline.RecorderOptions{HybridClock: timeline.NewHybridClock(clk), Log: zerolog.Nop(), Capacity: 1})
	members.heard = make(map[ident.Instance]int)
	for _, v := range append(provided, members) {
		d.Provide(v)
	}
	s := defaults().(*Settings)
	s.Listen, s.CallTimeout = "127.0.0.1:0", settings.DurationOf(300*time.Millisecond)
	p, err := newPlugin(d, s)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(p.Stop(context.Background()), qt.IsNil) })
	return p
}

// count returns the sum of a counter over its labels.
func count(c *qt.C, p *Plugin, name string) float64 {
	families, err := p.deps.Metrics.Gather()
	c.Assert(err, qt.IsNil)
	sum := 0.0
	for _, f := range families {
		if f.GetName() == "cuminbay_peer_"+name {
			for _, m := range f.GetMetric() {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// TestExchange guards against sections that disturb each other, that leave
// their data centre, or that fail because the other daemon is of another
// version.
func TestExchange(t *testing.T) {
	tests := map[string]struct {
		a, b       []*fakeSection
		dataCentre string
		wantA      string
		wantB      string
		refused    float64
	}{
		"the answer brings what is lacking":   {a: []*fakeSection{{name: "s"}}, b: []*fakeSection{{name: "s", text: "long"}}, dataCentre: "x", wantA: "long", wantB: "long"},
		"the second call does":                {a: []*fakeSection{{name: "s", text: "long"}}, b: []*fakeSection{{name: "s"}}, dataCentre: "x", wantA: "long", wantB: "long"},
		"local sections stay":                 {a: []*fakeSection{{name: "s", text: "long"}}, b: []*fakeSection{{name: "s"}}, dataCentre: "y", wantA: "long"},
		"global ones don't":                   {a: []*fakeSection{{name: "s", text: "long", global: true}}, b: []*fakeSection{{name: "s", global: true}}, dataCentre: "y", wantA: "long", wantB: "long"},
		"a section the other lacks":           {a: []*fakeSection{{name: "s", text: "long"}, {name: "new", text: "n"}}, b: []*fakeSection{{name: "s"}, {name: "old"}}, dataCentre: "x", wantA: "long", wantB: "long"},
		"a bad delta doesn't stop the others": {a: []*fakeSection{{name: "s"}, {name: "r"}}, b: []*fakeSection{{name: "s", text: "long"}, {name: "r", text: "bad"}}, dataCentre: "x", wantA: "long", wantB: "long", refused: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			run := func(name, dataCentre string, sections []*fakeSection) (*Plugin, *fakeMembers) {
				var provided []any
				for _, s := range sections {
					provided = append(provided, s)
				}
				m := new(fakeMembers)
				return start(c, name, dataCentre, m, provided...), m
			}
			a, heardA := run("a", "x", test.a)
			b, heardB := run("b", test.dataCentre, test.b)
			peer := member.Peer{Instance: "b", DataCentre: ident.DataCentre(test.dataCentre), Address: b.Address()}
			c.Assert(a.exchange(context.Background(), peer), qt.IsNil)
			c.Assert(test.a[0].get(), qt.Equals, test.wantA)
			c.Assert(test.b[0].get(), qt.Equals, test.wantB)
			c.Assert(heardA.heard["b"] > 0 && heardB.heard["a"] > 0, qt.IsTrue)
			c.Assert(count(c, a, "refused_total"), qt.Equals, test.refused)
			c.Assert(count(c, a, "sent_bytes_total") > 0 && count(c, b, "received_bytes_total") > 0, qt.IsTrue)
			peer.Instance = "c"
			c.Assert(a.exchange(context.Background(), peer), qt.ErrorMatches, "peer: b answered at the address of c")
		})
	}
}

// TestAsk guards against answers that lose their code and against answers of a
// daemon that was not meant.
func TestAsk(t *testing.T) {
	c := qt.New(t)
	members := new(fakeMembers)
	b := start(c, "b", "x", new(fakeMembers), echo{})
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = silent.Close() })
	members.peers = []member.Peer{
		{Instance: "b", DataCentre: "x", Address: b.Address()},
		{Instance: "gone", DataCentre: "x", Address: b.Address()},
		{Instance: "silent", DataCentre: "x", Address: silent.Addr().String()},
	}
	a := start(c, "a", "x", members, echo{})
	tests := map[string]struct {
		to    ident.Instance
		topic string
		body  string
		want  string
		code  code.Code
	}{
		"answered":               {to: "b", topic: "echo", body: "q", want: "a:q", code: code.Answered},
		"itself":                 {to: "a", topic: "echo", body: "q", want: "a:q", code: code.Answered},
		"the topic's error":      {to: "b", topic: "echo", code: code.Overloaded},
		"unknown topic":          {to: "b", topic: "other", code: code.BadMessage},
		"unknown daemon":         {to: "z", topic: "echo", body: "q", code: code.EndpointUnreachable},
		"another at its address": {to: "gone", topic: "echo", body: "q", code: code.BadMessage},
		"no answer in time":      {to: "silent", topic: "echo", body: "q", code: code.EndpointUnreachable},
		"too long for the other": {to: "b", topic: "echo", body: fmt.Sprintf("%01048576d", 1), code: code.EndpointUnreachable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, err := a.Ask(context.Background(), test.to, test.topic, []byte(test.body))
			c.Assert(code.Of(err), qt.Equals, test.code)
			c.Assert(string(got), qt.Equals, test.want)
		})
	}
	c.Assert(count(c, a, "failed_total") >= 2, qt.IsTrue)
}

// stalling is a daemon whose connections answer once and then stall.
type stalling struct {
	first sync.WaitGroup
}

type connection struct{}

func (s *stalling) Exchange(context.Context, *Envelope) (*Envelope, error) {
	return nil, errors.New("not expected")
}

func (s *stalling) Ask(ctx context.Context, _ *Question) (*Answer, error) {
	if ctx.Value(connection{}).(*atomic.Int32).Add(1) > 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.first.Done()
	s.first.Wait()
	return &Answer{Body: []byte("new")}, nil
}

// TestStalledConnections guards against one stalled connection after another
// being used while new ones work.
func TestStalledConnections(t *testing.T) {
	c := qt.New(t)
	s := new(stalling)
	server := httptest.NewUnstartedServer(NewPeerServer(s))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connection{}, new(atomic.Int32))
	}
	server.Start()
	c.Cleanup(server.Close)
	members := &fakeMembers{peers: []member.Peer{{Instance: "b", DataCentre: "y", Address: server.Listener.Addr().String()}}}
	// Without Start no exchange opens a connection of its own.
	a := build(c, "a", "x", members)
	a.members, a.contact = members, members
	ask := func() error {
		_, err := a.Ask(context.Background(), "b", "any", nil)
		return err
	}
	// Both are kept, since neither is answered before the other has come.
	s.first.Add(2)
	second := make(chan error)
	go func() { second <- ask() }()
	c.Assert(ask(), qt.IsNil)
	c.Assert(<-second, qt.IsNil)
	s.first.Add(1)
	c.Assert(ask(), qt.IsNotNil)
	c.Assert(ask(), qt.IsNil)
}

// TestChoose guards against too many exchanges, none with other data centres,
// and partitions that never heal since nobody tries the dead.
func TestChoose(t *testing.T) {
	tests := map[string]struct{ live, dead, far, want, wantDead int }{
		"few":              {live: 2, want: 2},
		"few and dead":     {live: 2, dead: 1, want: 3, wantDead: 1},
		"one and dead":     {live: 1, dead: 5, want: 3, wantDead: 2},
		"many":             {live: 59, far: 60, want: 4},
		"many and dead":    {live: 59, dead: 10, far: 60, want: 5, wantDead: 1},
		"alone among dead": {dead: 10, want: 3, wantDead: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var peers []member.Peer
			add := func(n int, dataCentre ident.DataCentre, alive bool) {
				for range n {
					peers = append(peers, member.Peer{
						Instance: ident.Instance(fmt.Sprint(len(peers))), DataCentre: dataCentre, Address: "x", Alive: alive,
					})
				}
			}
			add(test.live, "x", true)
			add(test.dead, "x", false)
			add(test.far, "y", true)
			p := &Plugin{self: "a", dataCentre: "x", settings: defaults().(*Settings), random: rand.New(rand.NewPCG(1, 2))}
			dead := 0
			chosen := p.choose(peers)
			for _, m := range chosen {
				if !m.Alive {
					dead++
				}
			}
			c.Assert(len(chosen), qt.Equals, test.want)
			c.Assert(dead, qt.Equals, test.wantDead)
		})
	}
}
