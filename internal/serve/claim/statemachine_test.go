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

// call is one call of Claim, split into steps so that the test can run other
// actions between them.
type call struct {
	daemon  ident.Instance
	key     string
	attempt *attempt
	permit  SendPermit
	sent    bool
	refused bool
	// peersUnreachable says that peers were unreachable at a step in which the
	// call may have queried the holder of a claim.
	peersUnreachable bool
}

// stateMachine runs daemons against one store. It records the time of each send by
// key, to check that no key is sent twice within the retention.
type stateMachine struct {
	clock     *clockwork.FakeClock
	store     *fakeStore
	peers     *fakePeers
	instances []ident.Instance
	calls     []*call
	sends     map[string][]time.Time
	// crashedKeys has the keys of attempts that a daemon had when it crashed,
	// cutOffKeys the keys of requests that ended with code.CutOff.
	crashedKeys, cutOffKeys map[string]bool
}

// testTerminalDelay is short compared with the pause limit, so that send permits stay
// valid while quiesce advances the clock.
const testTerminalDelay = 100 * time.Millisecond

var testRules = Rules{Retention: time.Hour, FullRetention: 2 * time.Second, MaxValueBytes: 1024}

func newStateMachine() *stateMachine {
	m := &stateMachine{
		clock:       clockwork.NewFakeClock(),
		store:       newFakeStore(),
		peers:       &fakePeers{daemons: make(map[ident.Instance]*Claims)},
		instances:   []ident.Instance{"a", "b", "c"},
		sends:       make(map[string][]time.Time),
		crashedKeys: make(map[string]bool),
		cutOffKeys:  make(map[string]bool),
	}
	for _, id := range m.instances {
		m.restartDaemon(id)
	}
	return m
}

// restartDaemon replaces the daemon by one with empty memory, as after a crash. The
// keys of its attempts may stay claimed.
func (m *stateMachine) restartDaemon(id ident.Instance) {
	if crashed := m.peers.daemons[id]; crashed != nil {
		crashed.attempts.Range(func(_, v any) bool {
			for _, key := range []string{"k1", "k2", "k3"} {
				if HashOf("org", ident.IdempotencyKey(key)) == v.(*attempt).proposal.Hash {
					m.crashedKeys[key] = true
				}
			}
			return true
		})
	}
	m.peers.daemons[id] = New(Options{
		Self: id, Clock: m.clock, Store: m.store, Peers: m.peers, Rules: testRules,
		Shards: 1, PauseLimit: 5 * time.Second, WriteTimeout: time.Second, QueryTimeout: time.Second,
		TerminalDelay: testTerminalDelay,
		// The test runs cycles on one goroutine, which must not wait for the
		// pacer.
		WriteRate: 1, WriteBurst: 1 << 30,
	})
	remaining := m.calls[:0]
	for _, c := range m.calls {
		if c.daemon != id {
			remaining = append(remaining, c)
		}
	}
	m.calls = remaining
}

func (m *stateMachine) startCall(t *rapid.T) {
	id := rapid.SampledFrom(m.instances).Draw(t, "daemon")
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	fingerprint := ident.Fingerprint(rapid.IntRange(1, 5).Draw(t, "fingerprint") / 5)
	p := Proposal{Hash: HashOf("org", ident.IdempotencyKey(key)), Fingerprint: fingerprint}
	m.calls = append(m.calls, &call{daemon: id, key: key, attempt: m.peers.daemons[id].startAttempt(p, 0)})
}

func (m *stateMachine) cycle(t *rapid.T) {
	faults := rapid.SliceOfN(rapid.IntRange(int(healthy), int(earlierWriteApplied)), 0, 4).Draw(t, "faults")
	m.store.faults = nil
	for _, f := range faults {
		m.store.faults = append(m.store.faults, fault(f))
	}
	id := rapid.SampledFrom(m.instances).Draw(t, "daemon")
	_ = m.peers.daemons[id].writers[0].runCycle(context.Background())
	m.store.faults = nil
}

// pickCall returns one of the calls that match the condition, or nil.
func (m *stateMachine) pickCall(t *rapid.T, matches func(*call) bool) *call {
	var matching []*call
	for _, c := range m.calls {
		if matches(c) {
			matching = append(matching, c)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return rapid.SampledFrom(matching).Draw(t, "call")
}

// takeResult lets a call receive the result of its attempt.
func (m *stateMachine) takeResult(t *rapid.T) {
	c := m.pickCall(t, func(c *call) bool { return c.permit == nil && len(c.attempt.result) > 0 })
	if c != nil {
		m.resolveCall(t, c, <-c.attempt.result)
	}
}

func (m *stateMachine) resolveCall(t *rapid.T, c *call, r attemptResult) {
	claims := m.peers.daemons[c.daemon]
	c.peersUnreachable = c.peersUnreachable || m.peers.unreachable
	next, err := claims.handleResult(context.Background(), c.attempt, r)
	switch {
	case err != nil:
		c.refused = true
		m.removeCall(c)
		if code.Of(err) == code.AlreadyRan && len(m.sends[c.key]) == 0 {
			t.Fatalf("%s: refused as already run, but never sent: %v", c.key, err)
		}
		// The holder answers queries about a terminal state that is not in the
		// store yet.
		if code.Of(err) == code.OutcomeUnknown && !c.peersUnreachable && !m.crashedKeys[c.key] && !m.cutOffKeys[c.key] {
			t.Fatalf("%s: refused with an unknown outcome although its holder is running: %v", c.key, err)
		}
		if code.OutcomeOf(err) == code.NotRun && c.attempt.phase.Load() != phaseAbandoned {
			t.Fatalf("%s: refused as not run, but its attempt is in phase %d", c.key, c.attempt.phase.Load())
		}
	case next != nil:
		c.attempt = next
	default:
		c.permit = &sendPermit{attempt: c.attempt, claims: claims}
	}
}

func (m *stateMachine) removeCall(target *call) {
	for i, c := range m.calls {
		if c == target {
			m.calls = append(m.calls[:i], m.calls[i+1:]...)
			return
		}
	}
}

// abandon lets a caller time out before its attempt has a result.
func (m *stateMachine) abandon(t *rapid.T) {
	c := m.pickCall(t, func(c *call) bool { return c.permit == nil })
	if c != nil && c.attempt.abandon() {
		c.refused = true
		m.removeCall(c)
	}
}

func (m *stateMachine) send(t *rapid.T) {
	c := m.pickCall(t, func(c *call) bool { return c.permit != nil && !c.sent })
	if c == nil {
		return
	}
	if err := c.permit.AuthoriseSend(); err != nil {
		m.removeCall(c)
		return
	}
	if rapid.Bool().Draw(t, "unreachable") {
		c.permit.Release()
		m.removeCall(c)
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
	if c := m.pickCall(t, func(c *call) bool { return c.sent }); c != nil {
		result := rapid.SampledFrom([]code.Code{code.Answered, code.CutOff}).Draw(t, "code")
		c.permit.Finish(result)
		m.cutOffKeys[c.key] = m.cutOffKeys[c.key] || result == code.CutOff
		m.removeCall(c)
	}
}

// quiesce ends all faults, applies delayed writes, and runs cycles until all
// attempts have their results.
func (m *stateMachine) quiesce(t *rapid.T) {
	m.peers.unreachable, m.store.unavailable, m.store.faults = false, false, nil
	for len(m.store.delayedWrites) > 0 {
		m.store.applyDelayed()
	}
	for range 8 {
		m.clock.Advance(testTerminalDelay)
		for _, id := range m.instances {
			w := m.peers.daemons[id].writers[0]
			for firstCycle := true; firstCycle || w.queue.Load() != nil; firstCycle = false {
				if err := w.runCycle(context.Background()); err != nil {
					t.Fatalf("cycle on a healthy store: %v", err)
				}
			}
		}
		for _, c := range append([]*call(nil), m.calls...) {
			if c.permit == nil && len(c.attempt.result) > 0 {
				m.resolveCall(t, c, <-c.attempt.result)
			}
		}
	}
}

// checkQuiescent checks that, after quiesce, each claim in the state Sent belongs
// to a send permit in use or to a crashed daemon, and that no daemon still has
// an attempt that has ended.
func (m *stateMachine) checkQuiescent(t *rapid.T) {
	m.quiesce(t)
	inUse := make(map[uint64]bool)
	for _, c := range m.calls {
		inUse[c.attempt.proposal.Nonce] = true
	}
	s, err := Decode(m.store.entries["/cuminbay/claims/00"].Value)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"k1", "k2", "k3"} {
		c, found := s.Find(HashOf("org", ident.IdempotencyKey(key)))
		// An expired claim counts as absent, although it stays in the stored
		// value until the next write.
		found = found && !testRules.hasExpired(&c, m.clock.Now())
		if found && c.State == Sent && !inUse[c.Nonce] && !m.crashedKeys[key] {
			t.Fatalf("%s: claim of %s stays Sent although it was abandoned", key, c.Holder)
		}
	}
	for id, c := range m.peers.daemons {
		c.attempts.Range(func(nonce, _ any) bool {
			if !inUse[nonce.(uint64)] {
				t.Fatalf("daemon %s still has an attempt that has ended", id)
			}
			return true
		})
	}
}

// TestClaimStateMachine guards against a second send of a key within the retention,
// a refusal as not run of a request that may have been sent, and claims that stay
// Sent for no request. The faults are lost replies and delayed writes of the store,
// outages, unreachable peers, pauses and crashes.
func TestClaimStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"start call":    m.startCall,
			"cycle":         m.cycle,
			"cycle2":        m.cycle,
			"take result":   m.takeResult,
			"abandon":       m.abandon,
			"send":          m.send,
			"finish":        m.finish,
			"apply delayed": func(*rapid.T) { m.store.applyDelayed() },
			"store outage":  func(*rapid.T) { m.store.unavailable = !m.store.unavailable },
			"cut peers":     func(*rapid.T) { m.peers.unreachable = !m.peers.unreachable },
			"pause": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.SampledFrom([]int{50, 1000, 6000, 4_000_000}).Draw(t, "ms")) * time.Millisecond)
			},
			"crash":           func(t *rapid.T) { m.restartDaemon(rapid.SampledFrom(m.instances).Draw(t, "daemon")) },
			"check quiescent": m.checkQuiescent,
		})
	})
}

// ExampleRules_Apply adds two claims of one batch to a shard with one write.
func ExampleRules_Apply() {
	rules := Rules{Retention: time.Hour, MaxValueBytes: 1000}
	b := &Batch{Holder: "a", Proposals: []Proposal{{Hash: HashOf("org", "k1"), Nonce: 1}, {Hash: HashOf("org", "k2"), Nonce: 2}}}
	applied := rules.Apply(&Shard{}, 0, b, time.Unix(0, 0))
	fmt.Println(applied.NeedsWrite, applied.Next.Len(), len(applied.Next.Encode()))
	// Output: true 2 99
}
