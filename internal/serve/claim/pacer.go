package claim

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"cuminbay/internal/kernel/clock"
)

// writePriority orders the keepers that wait for a write.
type writePriority int

const (
	// retryWrite is a write whose predecessor lost or had no answer.
	retryWrite writePriority = iota
	// claimWrite is a write with claims that callers wait for.
	claimWrite
	// endWrite is a write that only records ends.
	endWrite
	writePriorities
)

// pacer bounds the platform writes of all keepers of this process with a token
// bucket. A keeper has at most one turn at a time, and turns of equal urgency
// are granted in order of arrival, so that a shard with many claims gets no
// more writes than another one.
type pacer struct {
	clock clock.Clock

	mu      sync.Mutex
	limiter *rate.Limiter
	waiting [writePriorities][]*writeRequest
	// timer grants the next turn.
	timer clockwork.Timer
}

// writeRequest is a keeper's place in the order of writes. Granted is closed when the
// keeper may write once.
type writeRequest struct {
	priority writePriority
	granted  chan struct{}
}

func newPacer(clk clock.Clock, perSecond float64, burst int) *pacer {
	return &pacer{clock: clk, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// request asks for a write.
func (p *pacer) request(u writePriority) *writeRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &writeRequest{priority: u, granted: make(chan struct{})}
	p.waiting[u] = append(p.waiting[u], t)
	p.grantAvailable()
	return t
}

// promote makes an ending turn a claiming one, as a claim has come to its shard.
func (p *pacer) promote(t *writeRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.priority == endWrite && p.remove(t) {
		t.priority = claimWrite
		p.waiting[claimWrite] = append(p.waiting[claimWrite], t)
		p.grantAvailable()
	}
}

// cancel gives the turn up, whether it was granted or not.
func (p *pacer) cancel(t *writeRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.remove(t) {
		p.grantNext()
	}
}

// returnGrant returns a granted write that was not needed. It goes to the next
// keeper in the order; if none waits it is not used, as the limiter takes no
// tokens back.
func (p *pacer) returnGrant() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantNext()
}

func (p *pacer) remove(t *writeRequest) bool {
	i := slices.Index(p.waiting[t.priority], t)
	if i < 0 {
		return false
	}
	p.waiting[t.priority] = slices.Delete(p.waiting[t.priority], i, i+1)
	return true
}

// grantNext grants the next turn, if there is one.
func (p *pacer) grantNext() {
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

// requiredTokens returns the writes that have to be in the bucket for the next turn. An
// end leaves half of the bucket to the claims, so that a claim need not wait
// while the claims alone stay below the rate.
func (p *pacer) requiredTokens() int {
	if len(p.waiting[retryWrite])+len(p.waiting[claimWrite]) > 0 {
		return 1
	}
	return 1 + p.limiter.Burst()/2
}

// grantAvailable grants every turn that the limiter allows, and sets a timer for the
// next one. The timer of an end is replaced when a claim comes, as that is due
// earlier.
func (p *pacer) grantAvailable() {
	now := p.clock.Now()
	for !p.empty() && p.limiter.TokensAt(now) >= float64(p.requiredTokens()) && p.limiter.AllowN(now, 1) {
		p.grantNext()
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	if p.empty() {
		return
	}
	next := p.limiter.ReserveN(now, p.requiredTokens())
	delay := next.DelayFrom(now)
	next.CancelAt(now)
	// The limiter rounds, so that a timer of exactly its delay may come too
	// early for a whole token.
	p.timer = p.clock.AfterFunc(max(delay, time.Millisecond), p.onTimer)
}

func (p *pacer) onTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantAvailable()
}
