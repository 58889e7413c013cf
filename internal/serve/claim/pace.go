package claim

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"cuminbay/internal/kernel/clock"
)

// urgency orders the keepers that wait for a write.
type urgency int

const (
	// repeated is a write whose predecessor lost or had no answer.
	repeated urgency = iota
	// claiming is a write with claims that callers wait for.
	claiming
	// ending is a write that only records ends.
	ending
	urgencies
)

// pacer bounds the platform writes of all keepers of this process with a token
// bucket. A keeper has at most one turn at a time, and turns of equal urgency
// are granted in order of arrival, so that a shard with many claims gets no
// more writes than another one.
type pacer struct {
	clock clock.Clock

	mu      sync.Mutex
	limiter *rate.Limiter
	waiting [urgencies][]*turn
	// timer grants the next turn.
	timer clockwork.Timer
}

// turn is a keeper's place in the order of writes. Granted is closed when the
// keeper may write once.
type turn struct {
	urgency urgency
	granted chan struct{}
}

func newPacer(clk clock.Clock, perSecond float64, burst int) *pacer {
	return &pacer{clock: clk, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// enter asks for a write.
func (p *pacer) enter(u urgency) *turn {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &turn{urgency: u, granted: make(chan struct{})}
	p.waiting[u] = append(p.waiting[u], t)
	p.grant()
	return t
}

// raise makes an ending turn a claiming one, as a claim has come to its shard.
func (p *pacer) raise(t *turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.urgency == ending && p.remove(t) {
		t.urgency = claiming
		p.waiting[claiming] = append(p.waiting[claiming], t)
		p.grant()
	}
}

// leave gives the turn up, whether it was granted or not.
func (p *pacer) leave(t *turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.remove(t) {
		p.pass()
	}
}

// refund returns a granted write that was not needed. It goes to the next
// keeper in the order; if none waits it is not used, as the limiter takes no
// tokens back.
func (p *pacer) refund() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pass()
}

func (p *pacer) remove(t *turn) bool {
	i := slices.Index(p.waiting[t.urgency], t)
	if i < 0 {
		return false
	}
	p.waiting[t.urgency] = slices.Delete(p.waiting[t.urgency], i, i+1)
	return true
}

// pass grants the next turn, if there is one.
func (p *pacer) pass() {
	for u, turns := range p.waiting {
		if len(turns) > 0 {
			close(turns[0].granted)
			p.waiting[u] = slices.Delete(turns, 0, 1)
			return
		}
	}
}

func (p *pacer) empty() bool {
	for _, turns := range p.waiting {
		if len(turns) > 0 {
			return false
		}
	}
	return true
}

// need returns the writes that have to be in the bucket for the next turn. An
// end leaves half of the bucket to the claims, so that a claim need not wait
// while the claims alone stay below the rate.
func (p *pacer) need() int {
	if len(p.waiting[repeated])+len(p.waiting[claiming]) > 0 {
		return 1
	}
	return 1 + p.limiter.Burst()/2
}

// grant grants every turn that the limiter allows, and sets a timer for the
// next one. The timer of an end is replaced when a claim comes, as that is due
// earlier.
func (p *pacer) grant() {
	now := p.clock.Now()
	for !p.empty() && p.limiter.TokensAt(now) >= float64(p.need()) && p.limiter.AllowN(now, 1) {
		p.pass()
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	if p.empty() {
		return
	}
	next := p.limiter.ReserveN(now, p.need())
	delay := next.DelayFrom(now)
	next.CancelAt(now)
	// The limiter rounds, so that a timer of exactly its delay may come too
	// early for a whole token.
	p.timer = p.clock.AfterFunc(max(delay, time.Millisecond), p.tick)
}

func (p *pacer) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grant()
}
