package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
)

// call is one call of Claim, taken apart so that the test can put anything
// between its steps.
type call struct {
	daemon  ident.Instance
	key     string
	attempt *attempt
	permit  SendPermit
	sent    bool
	refused bool
	// peersCut says that peers were cut off while it asked for a claim's holder.
	peersCut bool
}

// stateMachine runs daemons against one platform. Its oracle is the list of sends.
type stateMachine struct {
	clock     *clockwork.FakeClock
	platform  *fakePlatform
	peers     *fakePeers
	instances []ident.Instance
	calls     []*call
	sends     map[string][]time.Time
	// crashedWithClaim are keys of which a daemon died with a claim, cutOff those of
	// which a request was cut off.
	crashedWithClaim, cutOff map[string]bool
}

// testEndDelay is short against the pause limit, so that tickets outlive the
// rest of settled.
const testEndDelay = 100 * time.Millisecond

var testRules = Rules{Retention: time.Hour, FullRetention: 2 * time.Second, MaxValueBytes: 1024}

func newStateMachine() *stateMachine {
	m := &stateMachine{
		clock:            clockwork.NewFakeClock(),
		platform:         newFakePlatform(),
		peers:            &fakePeers{daemons: make(map[ident.Instance]*Claims)},
		instances:        []ident.Instance{"a", "b", "c"},
		sends:            make(map[string][]time.Time),
		crashedWithClaim: make(map[string]bool),
		cutOff:           make(map[string]bool),
	}
	for _, n := range m.instances {
		m.restart(n)
	}
	return m
}

// restart kills the daemon and starts it anew. What only its memory held is
// lost: the keys of such attempts may stay claimed.
func (m *stateMachine) restart(n ident.Instance) {
	if old := m.peers.daemons[n]; old != nil {
		old.attempts.Range(func(_, v any) bool {
			for _, key := range []string{"k1", "k2", "k3"} {
				if HashOf("org", ident.RequestKey(key)) == v.(*attempt).proposal.Hash {
					m.crashedWithClaim[key] = true
				}
			}
			return true
		})
	}
	m.peers.daemons[n] = New(Options{
		Self: n, Clock: m.clock, Platform: m.platform, Asker: m.peers, Rules: testRules,
		Shards: 1, PauseLimit: 5 * time.Second, WriteTimeout: time.Second, AskTimeout: time.Second,
		EndDelay: testEndDelay,
		// Cycles run on one thread here and must not wait for the pacer.
		WriteRate: 1, WriteBurst: 1 << 30,
	})
	kept := m.calls[:0]
	for _, c := range m.calls {
		if c.daemon != n {
			kept = append(kept, c)
		}
	}
	m.calls = kept
}

func (m *stateMachine) startCall(t *rapid.T) {
	n := rapid.SampledFrom(m.instances).Draw(t, "daemon")
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	print := ident.Fingerprint(rapid.IntRange(1, 5).Draw(t, "fingerprint") / 5)
	w := Proposal{Hash: HashOf("org", ident.RequestKey(key)), Fingerprint: print}
	m.calls = append(m.calls, &call{daemon: n, key: key, attempt: m.peers.daemons[n].startAttempt(w, 0)})
}

func (m *stateMachine) cycle(t *rapid.T) {
	faults := rapid.SliceOfN(rapid.IntRange(int(healthy), int(delayedApplied)), 0, 4).Draw(t, "faults")
	m.platform.faults = nil
	for _, f := range faults {
		m.platform.faults = append(m.platform.faults, fault(f))
	}
	n := rapid.SampledFrom(m.instances).Draw(t, "daemon")
	_ = m.peers.daemons[n].writers[0].cycle(context.Background())
	m.platform.faults = nil
}

// pick returns one of the calls that the condition holds for, or nil.
func (m *stateMachine) pick(t *rapid.T, fits func(*call) bool) *call {
	var some []*call
	for _, c := range m.calls {
		if fits(c) {
			some = append(some, c)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return rapid.SampledFrom(some).Draw(t, "call")
}

// takeResult concludes a call that has its result.
func (m *stateMachine) takeResult(t *rapid.T) {
	c := m.pick(t, func(c *call) bool { return c.permit == nil && len(c.attempt.result) > 0 })
	if c != nil {
		m.resolve(t, c, <-c.attempt.result)
	}
}

func (m *stateMachine) resolve(t *rapid.T, c *call, r result) {
	claims := m.peers.daemons[c.daemon]
	c.peersCut = c.peersCut || m.peers.unreachable
	next, err := claims.resolve(context.Background(), c.attempt, r)
	switch {
	case err != nil:
		c.refused = true
		m.remove(c)
		if code.Of(err) == code.AlreadyRan && len(m.sends[c.key]) == 0 {
			t.Fatalf("%s: refused as already run, never sent: %v", c.key, err)
		}
		// The holder answers for an end that is not in the platform yet.
		if code.Of(err) == code.OutcomeUnknown && !c.peersCut && !m.crashedWithClaim[c.key] && !m.cutOff[c.key] {
			t.Fatalf("%s: refused as unknown though its holder lives: %v", c.key, err)
		}
		if code.OutcomeOf(err) == code.NotRun && c.attempt.phase.Load() != abandoned {
			t.Fatalf("%s: refused as not run but in phase %d", c.key, c.attempt.phase.Load())
		}
	case next != nil:
		c.attempt = next
	default:
		c.permit = &sendPermit{attempt: c.attempt, claims: claims}
	}
}

func (m *stateMachine) remove(gone *call) {
	for i, c := range m.calls {
		if c == gone {
			m.calls = append(m.calls[:i], m.calls[i+1:]...)
			return
		}
	}
}

// abandon is a caller that runs out of time before the platform has answered.
func (m *stateMachine) abandon(t *rapid.T) {
	c := m.pick(t, func(c *call) bool { return c.permit == nil })
	if c != nil && c.attempt.abandon() {
		c.refused = true
		m.remove(c)
	}
}

func (m *stateMachine) send(t *rapid.T) {
	c := m.pick(t, func(c *call) bool { return c.permit != nil && !c.sent })
	if c == nil {
		return
	}
	if err := c.permit.AuthoriseSend(); err != nil {
		m.remove(c)
		return
	}
	if rapid.Bool().Draw(t, "unreachable") {
		c.permit.Release()
		m.remove(c)
		return
	}
	c.sent = true
	now := m.clock.Now()
	for _, earlier := range m.sends[c.key] {
		if now.Sub(earlier) <= testRules.Retention {
			t.Fatalf("%s: sent at %s and again at %s", c.key, earlier, now)
		}
	}
	m.sends[c.key] = append(m.sends[c.key], now)
}

func (m *stateMachine) finish(t *rapid.T) {
	if c := m.pick(t, func(c *call) bool { return c.sent }); c != nil {
		ended := rapid.SampledFrom([]code.Code{code.Answered, code.CutOff}).Draw(t, "code")
		c.permit.Finish(ended)
		m.cutOff[c.key] = m.cutOff[c.key] || ended == code.CutOff
		m.remove(c)
	}
}

// quiesce lets everything come to rest: no faults, no delayed writes, no waiting
// calls.
func (m *stateMachine) quiesce(t *rapid.T) {
	m.peers.unreachable, m.platform.down, m.platform.faults = false, false, nil
	for len(m.platform.delayed) > 0 {
		m.platform.applyDelayed()
	}
	for range 8 {
		m.clock.Advance(testEndDelay)
		for _, n := range m.instances {
			k := m.peers.daemons[n].writers[0]
			for first := true; first || k.queue.Load() != nil; first = false {
				if err := k.cycle(context.Background()); err != nil {
					t.Fatalf("cycle on a healthy platform: %v", err)
				}
			}
		}
		for _, c := range append([]*call(nil), m.calls...) {
			if c.permit == nil && len(c.attempt.result) > 0 {
				m.resolve(t, c, <-c.attempt.result)
			}
		}
	}
}

// checkQuiescent checks that, at rest, a claim in the state Sent belongs to a ticket
// in use or to a process that has died, and that no memory is left behind.
func (m *stateMachine) checkQuiescent(t *rapid.T) {
	m.quiesce(t)
	held := make(map[uint64]bool)
	for _, c := range m.calls {
		held[c.attempt.proposal.Nonce] = true
	}
	s, err := Decode(m.platform.entries["/cuminbay/claims/00"].Value)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"k1", "k2", "k3"} {
		c, found := s.Find(HashOf("org", ident.RequestKey(key)))
		// An expired claim counts as absent, though it stays in the value
		// until the next write.
		found = found && !testRules.expired(&c, m.clock.Now())
		if found && c.State == Sent && !held[c.Nonce] && !m.crashedWithClaim[key] {
			t.Fatalf("%s: claim of %s stays sent although it was given up", key, c.Holder)
		}
	}
	for n, c := range m.peers.daemons {
		c.attempts.Range(func(nonce, _ any) bool {
			if !held[nonce.(uint64)] {
				t.Fatalf("%s remembers an attempt that has ended", n)
			}
			return true
		})
	}
}

// TestMachine guards against a second send of a key within the retention, a
// refusal as not run of something that may have been sent, and claims that
// stay behind after lost answers, delayed writes, outages, pauses and deaths.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"begin":   m.startCall,
			"cycle":   m.cycle,
			"cycle2":  m.cycle,
			"collect": m.takeResult,
			"leave":   m.abandon,
			"send":    m.send,
			"finish":  m.finish,
			"land":    func(*rapid.T) { m.platform.applyDelayed() },
			"outage":  func(*rapid.T) { m.platform.down = !m.platform.down },
			"cut":     func(*rapid.T) { m.peers.unreachable = !m.peers.unreachable },
			"pause": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.SampledFrom([]int{50, 1000, 6000, 4_000_000}).Draw(t, "ms")) * time.Millisecond)
			},
			"death":   func(t *rapid.T) { m.restart(rapid.SampledFrom(m.instances).Draw(t, "daemon")) },
			"settled": m.checkQuiescent,
		})
	})
}

// ExampleRules_Apply shows two claims of one batch in one value.
func ExampleRules_Apply() {
	rules := Rules{Retention: time.Hour, MaxValueBytes: 1000}
	b := &Batch{Holder: "a", Proposals: []Proposal{{Hash: HashOf("org", "k1"), Nonce: 1}, {Hash: HashOf("org", "k2"), Nonce: 2}}}
	o := rules.Apply(&Shard{}, 0, b, time.Unix(0, 0))
	fmt.Println(o.NeedsWrite, o.Next.Len(), len(o.Next.Encode()))
	// Output: true 2 99
}
