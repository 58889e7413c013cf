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

// fakeSection holds a text, which a longer text of a peer replaces. It refuses the delta
// "bad".
type fakeSection struct {
	name   string
	global bool
	mu     sync.Mutex
	text   string
}

func (f *fakeSection) Section() string { return f.name }
func (f *fakeSection) IsGlobal() bool  { return f.global }

func (f *fakeSection) currentText() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text
}

func (f *fakeSection) Digest() []byte { return []byte(f.currentText()) }

func (f *fakeSection) Delta(digest []byte) []byte {
	if text := f.currentText(); len(text) > len(digest) {
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

// fakeMembers has a fixed list of peers and counts the recorded contacts.
type fakeMembers struct {
	peers    []member.Peer
	mu       sync.Mutex
	contacts map[ident.Instance]int
}

func (f *fakeMembers) Self() ident.Instance { return "" }
func (f *fakeMembers) Peers() []member.Peer { return f.peers }
func (f *fakeMembers) RecordContact(id ident.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contacts[id]++
}

// echoTopic answers with the sender and body of the question, or with an error if the
// body is empty.
type echoTopic struct{}

func (echoTopic) Topic() string { return "echo" }

func (echoTopic) Answer(_ context.Context, from ident.Instance, body []byte) ([]byte, error) {
	if len(body) == 0 {
		return nil, code.Overloaded.New("empty question")
	}
	return []byte(string(from) + ":" + string(body)), nil
}

// startPlugin returns a running plug-in that starts exchanges only once, since its
// clock does not advance.
func startPlugin(c *qt.C, name, dataCentre string, members *fakeMembers, provided ...any) *Plugin {
	p := buildPlugin(c, name, dataCentre, members, provided...)
	c.Assert(p.Start(context.Background()), qt.IsNil)
	return p
}

// buildPlugin returns a plug-in that has not been started.
func buildPlugin(c *qt.C, name, dataCentre string, members *fakeMembers, provided ...any) *Plugin {
	clk := clockwork.NewFakeClock()
	d := &plugin.Deps{Settings: &settings.Settings{}, Clock: clk, Log: zerolog.Nop(), Metrics: prometheus.NewRegistry()}
	d.Settings.Daemon.Instance, d.Settings.Daemon.DataCentre = ident.Instance(name), ident.DataCentre(dataCentre)
	d.Timeline = timeline.NewRecorder(timeline.RecorderOptions{HybridClock: timeline.NewHybridClock(clk), Log: zerolog.Nop(), Capacity: 1})
	members.contacts = make(map[ident.Instance]int)
	for _, v := range append(provided, members) {
		d.Provide(v)
	}
	s := defaultSettings().(*Settings)
	s.Listen, s.CallTimeout = "127.0.0.1:0", settings.DurationOf(300*time.Millisecond)
	p, err := newPlugin(d, s)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(p.Stop(context.Background()), qt.IsNil) })
	return p
}

// counterSum returns the sum of a counter over all its labels.
func counterSum(c *qt.C, p *Plugin, name string) float64 {
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

// TestExchange guards against a section that keeps others from being merged, against
// a local section that is sent to another data centre, and against an exchange that
// fails because the other daemon has other sections.
func TestExchange(t *testing.T) {
	tests := map[string]struct {
		a, b       []*fakeSection
		dataCentre string
		wantA      string
		wantB      string
		refused    float64
	}{
		"delta in the answer":               {a: []*fakeSection{{name: "s"}}, b: []*fakeSection{{name: "s", text: "long"}}, dataCentre: "x", wantA: "long", wantB: "long"},
		"delta in the second call":          {a: []*fakeSection{{name: "s", text: "long"}}, b: []*fakeSection{{name: "s"}}, dataCentre: "x", wantA: "long", wantB: "long"},
		"local section, other data centre":  {a: []*fakeSection{{name: "s", text: "long"}}, b: []*fakeSection{{name: "s"}}, dataCentre: "y", wantA: "long"},
		"global section, other data centre": {a: []*fakeSection{{name: "s", text: "long", global: true}}, b: []*fakeSection{{name: "s", global: true}}, dataCentre: "y", wantA: "long", wantB: "long"},
		"different sections":                {a: []*fakeSection{{name: "s", text: "long"}, {name: "new", text: "n"}}, b: []*fakeSection{{name: "s"}, {name: "old"}}, dataCentre: "x", wantA: "long", wantB: "long"},
		"refused delta among others":        {a: []*fakeSection{{name: "s"}, {name: "r"}}, b: []*fakeSection{{name: "s", text: "long"}, {name: "r", text: "bad"}}, dataCentre: "x", wantA: "long", wantB: "long", refused: 1},
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
				return startPlugin(c, name, dataCentre, m, provided...), m
			}
			a, contactsA := run("a", "x", test.a)
			b, contactsB := run("b", test.dataCentre, test.b)
			peer := member.Peer{Instance: "b", DataCentre: ident.DataCentre(test.dataCentre), Address: b.Address()}
			c.Assert(a.exchange(context.Background(), peer), qt.IsNil)
			c.Assert(test.a[0].currentText(), qt.Equals, test.wantA)
			c.Assert(test.b[0].currentText(), qt.Equals, test.wantB)
			c.Assert(contactsA.contacts["b"] > 0 && contactsB.contacts["a"] > 0, qt.IsTrue)
			c.Assert(counterSum(c, a, "refused_total"), qt.Equals, test.refused)
			c.Assert(counterSum(c, a, "sent_bytes_total") > 0 && counterSum(c, b, "received_bytes_total") > 0, qt.IsTrue)
			peer.Instance = "c"
			c.Assert(a.exchange(context.Background(), peer), qt.ErrorMatches, "peer: daemon b answered at the address of daemon c")
		})
	}
}

// TestAsk guards against an error that loses its code in transfer, and against accepting
// an answer from the wrong daemon.
func TestAsk(t *testing.T) {
	c := qt.New(t)
	members := new(fakeMembers)
	b := startPlugin(c, "b", "x", new(fakeMembers), echoTopic{})
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = silent.Close() })
	members.peers = []member.Peer{
		{Instance: "b", DataCentre: "x", Address: b.Address()},
		{Instance: "gone", DataCentre: "x", Address: b.Address()},
		{Instance: "silent", DataCentre: "x", Address: silent.Addr().String()},
	}
	a := startPlugin(c, "a", "x", members, echoTopic{})
	tests := map[string]struct {
		to    ident.Instance
		topic string
		body  string
		want  string
		code  code.Code
	}{
		"answered":                        {to: "b", topic: "echo", body: "q", want: "a:q", code: code.Answered},
		"topic of the asking daemon":      {to: "a", topic: "echo", body: "q", want: "a:q", code: code.Answered},
		"error of the topic":              {to: "b", topic: "echo", code: code.Overloaded},
		"unknown topic":                   {to: "b", topic: "other", code: code.BadMessage},
		"unknown daemon":                  {to: "z", topic: "echo", body: "q", code: code.EndpointUnreachable},
		"another daemon at the address":   {to: "gone", topic: "echo", body: "q", code: code.BadMessage},
		"no answer within the time limit": {to: "silent", topic: "echo", body: "q", code: code.EndpointUnreachable},
		"question larger than the limit":  {to: "b", topic: "echo", body: fmt.Sprintf("%01048576d", 1), code: code.EndpointUnreachable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, err := a.Ask(context.Background(), test.to, test.topic, []byte(test.body))
			c.Assert(code.Of(err), qt.Equals, test.code)
			c.Assert(string(got), qt.Equals, test.want)
		})
	}
	c.Assert(counterSum(c, a, "failed_total") >= 2, qt.IsTrue)
}

// stallingPeer is a daemon that answers the first call of each connection and then
// stalls the connection.
type stallingPeer struct {
	firstCalls sync.WaitGroup
}

type callCountKey struct{}

func (s *stallingPeer) Exchange(context.Context, *Envelope) (*Envelope, error) {
	return nil, errors.New("stallingPeer does not expect exchanges")
}

func (s *stallingPeer) Ask(ctx context.Context, _ *Question) (*Answer, error) {
	if ctx.Value(callCountKey{}).(*atomic.Int32).Add(1) > 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.firstCalls.Done()
	s.firstCalls.Wait()
	return &Answer{Body: []byte("new")}, nil
}

// TestStalledConnections guards against a client that uses one stalled idle
// connection after another while new connections work.
func TestStalledConnections(t *testing.T) {
	c := qt.New(t)
	peer := new(stallingPeer)
	server := httptest.NewUnstartedServer(NewPeerServer(peer))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, callCountKey{}, new(atomic.Int32))
	}
	server.Start()
	c.Cleanup(server.Close)
	members := &fakeMembers{peers: []member.Peer{{Instance: "b", DataCentre: "y", Address: server.Listener.Addr().String()}}}
	// The plug-in is not started, so that no exchange opens a connection.
	a := buildPlugin(c, "a", "x", members)
	a.members, a.contacts = members, members
	ask := func() error {
		_, err := a.Ask(context.Background(), "b", "any", nil)
		return err
	}
	// Each call is answered only after both calls have arrived, so they use two
	// connections, which both stay open.
	peer.firstCalls.Add(2)
	second := make(chan error)
	go func() { second <- ask() }()
	c.Assert(ask(), qt.IsNil)
	c.Assert(<-second, qt.IsNil)
	peer.firstCalls.Add(1)
	c.Assert(ask(), qt.IsNotNil)
	c.Assert(ask(), qt.IsNil)
}

// TestChooseTargets guards against too many exchanges, against no exchanges with other
// data centres, and against a partition that never heals because no daemon contacts
// unreachable daemons.
func TestChooseTargets(t *testing.T) {
	tests := map[string]struct{ live, unreachable, remote, want, wantUnreachable int }{
		"few live":                   {live: 2, want: 2},
		"few live, one unreachable":  {live: 2, unreachable: 1, want: 3, wantUnreachable: 1},
		"one live, many unreachable": {live: 1, unreachable: 5, want: 3, wantUnreachable: 2},
		"many live":                  {live: 59, remote: 60, want: 4},
		"many live and unreachable":  {live: 59, unreachable: 10, remote: 60, want: 5, wantUnreachable: 1},
		"none live":                  {unreachable: 10, want: 3, wantUnreachable: 3},
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
			add(test.unreachable, "x", false)
			add(test.remote, "y", true)
			p := &Plugin{self: "a", dataCentre: "x", settings: defaultSettings().(*Settings), random: rand.New(rand.NewPCG(1, 2))}
			unreachable := 0
			chosen := p.chooseTargets(peers)
			for _, m := range chosen {
				if !m.Alive {
					unreachable++
				}
			}
			c.Assert(len(chosen), qt.Equals, test.want)
			c.Assert(unreachable, qt.Equals, test.wantUnreachable)
		})
	}
}
